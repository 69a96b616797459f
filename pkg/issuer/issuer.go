// Package issuer decides who gives orders to engines, and which engine loads new weights next.
//
// One VM at a time holds the lease on giving orders. The holder is the author of the newest claim in the platform's
// log; the claim's offset is its fencing token. A holder reads the end of the log before it gives orders and may
// give them for HoldFor after that read began. A VM with a newer claim waits until the older holder's last order
// must have arrived. The package holds no I/O; time is an argument and must come from a clock that counts
// suspension.
package issuer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// HoldFor is the time after the start of a read of the log's end for which its result permits orders.
	HoldFor = 600 * time.Millisecond
	// orderFlight bounds the time in which an order reaches its engine.
	orderFlight = 300 * time.Millisecond
	// claimPause is the pause after a claim that failed, so that two VMs do not contend.
	claimPause = 400 * time.Millisecond
)

// Claim is the newest claim in the log.
type Claim struct {
	// Holder is the VM that claimed, Boot its process.
	Holder string
	Boot   uint64
	// Token is the offset of the claim.
	Token int64
}

// Situation is what the decision rests on.
type Situation struct {
	// Pending tells that orders are due.
	Pending bool
	// Reachable tells that this VM reached the store lately.
	Reachable bool
	// Holder is the newest claim known. Its Token is -1 where there is none.
	Holder Claim
	// HolderActive tells that the holder's process is seen and reaches the store.
	HolderActive bool
	// First tells that this VM comes first among the live VMs that reach the store.
	First bool
}

// Step is what the VM does next.
type Step int

const (
	// Idle means nothing.
	Idle Step = iota
	// Acquire means to append a claim behind the newest one.
	Acquire
	// Act means that loads may be planned. Each order needs MayOrder besides.
	Act
)

// Lease is this VM's part in the lease on giving orders. It is safe for one goroutine.
type Lease struct {
	// handover is the time within which two VMs must not take turns.
	handover time.Duration
	// token is the own claim, or -1.
	token int64
	// actFrom is when the own claim permits the first order.
	actFrom time.Time
	// lastOrder is the latest time at which this VM or a holder before it may have given an order, or zero.
	lastOrder time.Time
	// readAt is the start of the newest read that showed the own claim as the newest.
	readAt time.Time
	// nextTry is the earliest time of the next claim.
	nextTry time.Time
	// fenced is set once an engine refused the own token for a higher one.
	fenced bool
}

// NewLease returns the part of a VM that holds nothing. Orders of two VMs are at least handover apart.
func NewLease(handover time.Duration) *Lease {
	return &Lease{handover: handover, token: -1}
}

// Token returns the fencing token of the own claim, or -1.
func (r *Lease) Token() int64 {
	return r.token
}

// Next returns the next step.
func (r *Lease) Next(s Situation, now time.Time) Step {
	if !s.Pending || !s.Reachable {
		return Idle
	}
	if r.token >= 0 && s.Holder.Token == r.token && !r.fenced {
		if now.Before(r.actFrom) {
			return Idle
		}
		return Act
	}
	if now.Before(r.nextTry) || s.HolderActive || !s.First {
		return Idle
	}
	return Acquire
}

// MayOrder reports whether an order may be sent now. It is asked again right before each send.
func (r *Lease) MayOrder(now time.Time) bool {
	return r.token >= 0 && !r.fenced && !now.Before(r.actFrom) && now.Sub(r.readAt) < HoldFor
}

// Predecessor is what is known of the holder before an own claim.
type Predecessor int

const (
	// NoPredecessor means that there was no claim before. An older claim of this VM is none that can be passed over: its
	// process may have ended while it waited for the holder before.
	NoPredecessor Predecessor = iota
	// StoppedPredecessor means that the holder has announced that it gives no more orders.
	StoppedPredecessor
	// UnknownPredecessor means that the holder may give orders until its last read ends.
	UnknownPredecessor
)

// String returns the name in logs.
func (p Predecessor) String() string {
	return [...]string{"none", "stopped", "unknown"}[p]
}

// Claimed records that the own claim was appended at token. LastOrder is the LastOrder of the holder before, which
// matters where it has stopped.
func (r *Lease) Claimed(token int64, predecessor Predecessor, lastOrder, now time.Time) {
	r.token = token
	r.fenced = false
	r.readAt = now
	switch predecessor {
	case NoPredecessor:
		r.actFrom = now
	case StoppedPredecessor:
		r.lastOrder = lastOrder
		r.actFrom = lastOrder.Add(orderFlight + r.handover)
	case UnknownPredecessor:
		r.lastOrder = now.Add(HoldFor)
		r.actFrom = now.Add(HoldFor + orderFlight + r.handover)
	}
}

// Ordered records that an order is sent now.
func (r *Lease) Ordered(now time.Time) {
	r.lastOrder = now
}

// LastOrder returns the latest time at which this VM or a holder before it may have given an order, or zero. It may
// lie in the future.
func (r *Lease) LastOrder() time.Time {
	return r.lastOrder
}

// Failed records a claim that failed or was late.
func (r *Lease) Failed(now time.Time) {
	r.nextTry = now.Add(claimPause)
}

// Confirmed records a read that began at started and showed newest as the newest claim.
func (r *Lease) Confirmed(newest Claim, started time.Time) {
	if newest.Token == r.token {
		r.readAt = started
	}
}

// Fenced records that an engine refused an order because of a higher token. The lease has ended.
func (r *Lease) Fenced() {
	r.fenced = true
	r.token = -1
}

// Engine is an engine as the load order sees it.
type Engine struct {
	ID         string
	DataCentre string
	// Version is the weight version that it runs.
	Version int64
	// Load is the number of requests there.
	Load int
	// Phase is what the holder is doing with it.
	Phase Phase
}

// Phase is the state of one load.
type Phase int

const (
	// Serving means that no load is planned.
	Serving Phase = iota
	// Draining means that the VMs send no new work there, so that the load disturbs few requests.
	Draining
	// Loading means that the order was given.
	Loading
)

// Loads bound the engines that are out of service for a load.
type Loads struct {
	// AtOnce is the number of loads in progress at once.
	AtOnce int
	// Ahead is the number of engines that drain ahead of their load.
	Ahead int
}

// LoadsFor returns the bounds for a number of engines. More loads at once slow each other down.
func LoadsFor(engines int) Loads {
	atOnce := max(minLoads, engines/enginesPerLoad)
	return Loads{AtOnce: atOnce, Ahead: max(atOnce/2, 1)}
}

const (
	minLoads       = 2
	enginesPerLoad = 5
)

// Choose returns the engines to drain next. Those with the oldest weights go first, since their time to be replaced
// ends first; then data centres with fewer engines out of service, so that none loses all of its own at once; then
// the least loaded, so that few requests are disturbed.
func Choose(engines []Engine, target int64, limits Loads) []string {
	out := map[string]int{}
	busy := 0
	var due []Engine
	for _, e := range engines {
		switch {
		case e.Phase != Serving:
			out[e.DataCentre]++
			busy++
		case e.Version < target:
			due = append(due, e)
		}
	}
	var chosen []string
	for len(due) > 0 && busy < limits.AtOnce+limits.Ahead {
		i := next(due, out)
		chosen = append(chosen, due[i].ID)
		out[due[i].DataCentre]++
		due = slices.Delete(due, i, i+1)
		busy++
	}
	return chosen
}

func next(due []Engine, out map[string]int) int {
	best := 0
	for i := 1; i < len(due); i++ {
		a, b := due[i], due[best]
		order := cmp.Or(
			cmp.Compare(a.Version, b.Version),
			cmp.Compare(out[a.DataCentre], out[b.DataCentre]),
			cmp.Compare(a.Load, b.Load),
			cmp.Compare(a.ID, b.ID),
		)
		if order < 0 {
			best = i
		}
	}
	return best
}
