package rollout

import (
	"cmp"
	"hash/fnv"
	"time"

	"github.com/corneldeal/corneldeal/pkg/logpos"
)

// InstructionValidity is the time for which an instruction permits requests to the target, counted from when the holder
// made it. It covers the way of a digest through hubs, 0.7 s, and the loss of one.
const InstructionValidity = 1500 * time.Millisecond

// Instruction tells all VMs how much of a service's traffic goes to the target.
type Instruction struct {
	// Order is the position of the order, and Claim that of the holder's claim.
	Order, Claim logpos.Position
	// Revision rises with each instruction under one claim.
	Revision int64
	State    State
	// SharePerMille is the share of new requests that go to the target while the state is Running.
	SharePerMille int
	MadeAt        time.Time
}

// compare orders instructions on one order: a final one is after all others, then the claim and the revision decide.
func (i Instruction) compare(j Instruction) int {
	final := func(x Instruction) int {
		if x.State.IsFinal() {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(final(i), final(j)), i.Claim.Compare(j.Claim), cmp.Compare(i.Revision, j.Revision))
}

// Follower holds the newest instruction on an order. It is not safe for concurrent use.
type Follower struct {
	order    logpos.Position
	validity time.Duration
	newest   Instruction
	known    bool
}

// rollbackPart is the part of the roll-back limit for which an instruction is valid at most.
const rollbackPart = 0.3

// NewFollower returns a follower of an order that knows no instruction. Instructions are valid for InstructionValidity, or for
// a shorter time if the roll-back limit, within which a bad version must get no more requests, is short.
func NewFollower(order logpos.Position, rollback time.Duration) *Follower {
	return &Follower{order: order, validity: min(InstructionValidity, time.Duration(rollbackPart*float64(rollback)))}
}

// Renamed records that the order was repeated at another position, as after a restore of the store.
func (f *Follower) Renamed(order logpos.Position) {
	f.order = order
	f.newest.Order = order
}

// Apply applies an instruction unless it is on another order or not newer than the known one. It reports whether it was
// applied.
func (f *Follower) Apply(i Instruction) bool {
	if i.Order != f.order || f.known && i.compare(f.newest) <= 0 {
		return false
	}
	f.newest, f.known = i, true
	return true
}

// Newest returns the newest instruction. It reports false if none is known.
func (f *Follower) Newest() (Instruction, bool) {
	return f.newest, f.known
}

// State returns the state of the roll-out as far as it is known here.
func (f *Follower) State() State {
	if !f.known {
		return Running
	}
	return f.newest.State
}

// FullPerMille is the share of an instruction that sends all requests to the target, in per mille.
const FullPerMille = perMille

// SealedPerMille is the share of an instruction that sends all requests to the target and none to old endpoints, even if the
// target takes none. It precedes Completed: without it a VM could begin a request at an old endpoint after its last report.
const SealedPerMille = perMille + 1

// sealFactor is the number of validities for which a sealed instruction forbids old endpoints. It outlasts the permission to
// use the target, so that a report on it is still true when it has reached the holder and the end has reached the sender.
const sealFactor = 2

// IsSealed reports whether no request may be sent to old endpoints now.
func (f *Follower) IsSealed(now time.Time) bool {
	return f.known && f.newest.State == Running && f.newest.SharePerMille == SealedPerMille && f.SealsUntil(f.newest.MadeAt).After(now)
}

// SealsUntil returns when a sealed instruction that was made at a time ends.
func (f *Follower) SealsUntil(madeAt time.Time) time.Time {
	return madeAt.Add(sealFactor * f.validity)
}

// SharePerMille returns the share of new requests to send to the target now. It is zero without a valid instruction.
func (f *Follower) SharePerMille(now time.Time) int {
	switch {
	case !f.known || f.newest.State == RolledBack:
		return 0
	case f.newest.State == Completed:
		return perMille
	case now.Sub(f.newest.MadeAt) >= f.validity:
		return 0
	}
	return f.newest.SharePerMille
}

// Draw returns a stable number below 1000 for a request of an order. The request goes to the target if it is below the
// share, so one that goes there at a share does so at every higher one.
func Draw(order logpos.Position, request string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(order.Era), byte(order.Offset), byte(order.Offset >> 8)})
	_, _ = h.Write([]byte(request))
	x := h.Sum64()
	// FNV mixes the last bytes poorly into the high bits, and ids often differ in the last bytes only.
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	x ^= x >> 29
	return int(x % perMille)
}
