// Package issuer decides which VM sends orders to engines, and which engine loads new weights next.
//
// One VM at a time holds the lease for sending orders. The holder is the author of the newest claim in the platform's
// log; the claim's position gives its fencing token. A restore of the log's store ends every lease, since it may have lost
// the newest claims. A holder reads the end of the log before it sends orders and may
// send them for ReadValidity after that read began. A VM with a newer claim waits until the previous holder's last
// order must have arrived. The package does no I/O. Times are arguments and must come from a clock that keeps running while
// the VM is suspended, such as steady.Now.
package issuer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/logpos"
)

const (
	// ReadValidity is how long a read of the log's end permits orders, counted from the start of the read.
	ReadValidity = 600 * time.Millisecond
	// maxOrderTransit bounds the time that an order takes to reach its engine.
	maxOrderTransit = 300 * time.Millisecond
	// claimRetryDelay is the delay after a failed claim. It keeps two VMs from contending.
	claimRetryDelay = 400 * time.Millisecond
)

// Claim is a claim to the lease, as recorded in the log.
type Claim struct {
	// Holder is the name of the VM that appended the claim, and Boot identifies its process.
	Holder string
	Boot   uint64
	// At is the position of the claim in the log, or NoClaim.
	At logpos.Position
}

// NoClaim is the position of the newest claim of a log without claims.
var NoClaim = logpos.Position{Offset: -1}

const (
	// tokenOffsetBits is the number of bits of a fencing token for the offset of the claim. The era is above them, so that
	// a restore neither repeats nor lowers a token.
	tokenOffsetBits = 32
	// maxTokenEra and maxTokenOffset are the limits of the two parts of a token. Up to maxTokenEra a token is exact as a
	// floating-point number too.
	maxTokenEra    = 1<<21 - 1
	maxTokenOffset = 1<<tokenOffsetBits - 1
)

// TokenRangeError reports a claim that has no fencing token.
type TokenRangeError struct {
	At logpos.Position
}

// Error implements error.
func (e *TokenRangeError) Error() string {
	return fmt.Sprintf("issuer: no fencing token for offset %d of era %d", e.At.Offset, e.At.Era)
}

// FencingToken returns the token for orders under the claim at a position. Tokens are ordered like positions. The error is
// a *TokenRangeError.
func FencingToken(at logpos.Position) (int64, error) {
	if at.Era < 0 || at.Era > maxTokenEra || at.Offset < 0 || at.Offset > maxTokenOffset {
		return 0, &TokenRangeError{At: at}
	}
	return at.Era<<tokenOffsetBits | at.Offset, nil
}

// Situation is the input of Lease.Next.
type Situation struct {
	// Pending reports whether orders are due.
	Pending bool
	// Reachable reports whether this VM reached the store recently.
	Reachable bool
	// Holder is the newest claim known to this VM.
	Holder Claim
	// HolderIsSelf reports whether this process made that claim. It may not hold the lease, if the claim is from before a
	// restore.
	HolderIsSelf bool
	// HolderActive reports whether the holder's process is alive, reaches the store, knows that it holds the lease, and gives
	// orders.
	HolderActive bool
	// First reports whether this VM is the one that claims: the first of the live VMs that reach the store, or one that takes
	// over since none of those before it has claimed.
	First bool
}

// SuccessorWait returns how long a VM waits after a claim whose predecessor it knows nothing about.
func SuccessorWait(orderGap time.Duration) time.Duration {
	return ReadValidity + maxOrderTransit + orderGap
}

// Step is the next action of a VM.
type Step int

const (
	// Idle means that there is nothing to do.
	Idle Step = iota
	// Acquire means that the VM appends a claim after the newest one.
	Acquire
	// Act means that the VM may plan loads. Each order also needs MayOrder.
	Act
)

// Lease is one VM's view of the lease for sending orders. It is not safe for concurrent use.
type Lease struct {
	// orderGap is the least time between orders of two VMs.
	orderGap time.Duration
	// claim is the position of this VM's claim, or NoClaim.
	claim logpos.Position
	// ordersFrom is the time from which this VM's claim permits orders.
	ordersFrom time.Time
	// lastOrder is the latest time at which this VM or a previous holder may have sent an order, or zero.
	lastOrder time.Time
	// confirmedAt is the start of the last read in which this VM's claim was the newest.
	confirmedAt time.Time
	// nextClaim is the earliest time of the next attempt to claim.
	nextClaim time.Time
	// fenced is set when an engine refused this VM's token because it has seen a higher one.
	fenced bool
}

// NewLease returns the view of a VM that has no claim. Orders of two VMs are at least orderGap apart.
func NewLease(orderGap time.Duration) *Lease {
	return &Lease{orderGap: orderGap, claim: NoClaim}
}

// Claim returns the position of this VM's claim, or NoClaim.
func (l *Lease) Claim() logpos.Position {
	return l.claim
}

// Next returns what this VM does next in situation s.
func (l *Lease) Next(s Situation, now time.Time) Step {
	if !s.Pending || !s.Reachable {
		return Idle
	}
	if l.claim != NoClaim && s.Holder.At == l.claim && !l.fenced {
		if now.Before(l.ordersFrom) {
			return Idle
		}
		return Act
	}
	if now.Before(l.nextClaim) {
		return Idle
	}
	// While the VM that made the newest claim is active, no other VM claims.
	if !s.HolderIsSelf && (s.HolderActive || !s.First) {
		return Idle
	}
	return Acquire
}

// MayOrder reports whether an order may be sent now. It must be checked right before each send.
func (l *Lease) MayOrder(now time.Time) bool {
	return l.claim != NoClaim && !l.fenced && !now.Before(l.ordersFrom) && now.Sub(l.confirmedAt) < ReadValidity
}

// HoldsClaim reports whether a recent read found this VM's claim to be the newest. It permits decisions that are ordered by the
// claim itself, such as on roll-outs, and need no pause after those of the previous holder.
func (l *Lease) HoldsClaim(now time.Time) bool {
	return l.claim != NoClaim && !l.fenced && now.Sub(l.confirmedAt) < ReadValidity
}

// Predecessor is what a claimant knows about the previous holder.
type Predecessor int

const (
	// NoPredecessor means that the log contained no claim. An older claim of the same VM counts as a predecessor,
	// because its process may have ended while it waited for the holder before it. A claim may have been lost in a restore,
	// but its holder orders only until ReadValidity after the store entered its present era.
	NoPredecessor Predecessor = iota
	// StoppedPredecessor means that the previous holder has announced that it sends no more orders.
	StoppedPredecessor
	// UnknownPredecessor means that the previous holder may send orders until ReadValidity after its last read.
	UnknownPredecessor
)

// String returns the name that is used in logs.
func (p Predecessor) String() string {
	return [...]string{"none", "stopped", "unknown"}[p]
}

// Claimed records that this VM's claim was appended at a position. The argument lastOrder is the previous holder's
// LastOrder for a StoppedPredecessor, and for NoPredecessor the latest time of an order whose claim was lost, or zero.
func (l *Lease) Claimed(at logpos.Position, predecessor Predecessor, lastOrder, now time.Time) {
	l.claim = at
	l.fenced = false
	l.confirmedAt = now
	switch predecessor {
	case NoPredecessor:
		l.ordersFrom = now
		if !lastOrder.IsZero() {
			l.lastOrder = lastOrder
			l.ordersFrom = lastOrder.Add(maxOrderTransit + l.orderGap)
		}
	case StoppedPredecessor:
		l.lastOrder = lastOrder
		l.ordersFrom = lastOrder.Add(maxOrderTransit + l.orderGap)
	case UnknownPredecessor:
		l.lastOrder = now.Add(ReadValidity)
		l.ordersFrom = now.Add(SuccessorWait(l.orderGap))
	}
}

// Ordered records that this VM sends an order now.
func (l *Lease) Ordered(now time.Time) {
	l.lastOrder = now
}

// LastOrder returns the latest time at which this VM or a previous holder may have sent an order, or zero. It may lie
// in the future.
func (l *Lease) LastOrder() time.Time {
	return l.lastOrder
}

// Failed records that an attempt to claim failed or completed too late.
func (l *Lease) Failed(now time.Time) {
	l.nextClaim = now.Add(claimRetryDelay)
}

// Confirmed records a read of the log that began at started and returned newest as the newest claim.
func (l *Lease) Confirmed(newest Claim, started time.Time) {
	if newest.At == l.claim {
		l.confirmedAt = started
	}
}

// Ended records that the claims of this VM no longer count, since the store was restored or an engine has seen a newer
// one.
func (l *Lease) Ended() {
	l.claim = NoClaim
}

// Fenced records that an engine refused an order because it has seen a higher token. This ends the lease.
func (l *Lease) Fenced() {
	l.fenced = true
	l.Ended()
}

// Engine is an engine that may load new weights.
type Engine struct {
	ID         string
	DataCentre string
	// Version is the version of the weights that the engine runs.
	Version int64
	// Load is the number of requests on the engine.
	Load int
	// Phase is the progress of its weight load.
	Phase Phase
}

// Phase is the state of an engine in a weight load.
type Phase int

const (
	// Serving means that no load is planned.
	Serving Phase = iota
	// Draining means that the VMs send no new work to the engine, so that the load disturbs few requests.
	Draining
	// Loading means that the order to load was sent.
	Loading
)

// Loads limits the number of engines that are out of service for weight loads.
type Loads struct {
	// AtOnce is the maximum number of concurrent loads.
	AtOnce int
	// Ahead is the number of engines that may be out of service beyond AtOnce, so that they are drained when a load
	// ends.
	Ahead int
}

// LoadsFor returns the limits for a number of engines. Concurrent loads slow each other down, so their number is
// limited.
func LoadsFor(engines int) Loads {
	concurrent := max(minConcurrentLoads, engines/enginesPerLoad)
	return Loads{AtOnce: concurrent, Ahead: max(concurrent/2, 1)}
}

const (
	minConcurrentLoads = 2
	enginesPerLoad     = 5
)

// Choose returns the IDs of the engines to drain next. Engines with the oldest weights come first, because their
// deadline for replacement is the earliest; then engines in data centres with fewer engines out of service, so that no
// data centre loses all of its engines at once; then engines with fewer requests, so that few requests are disturbed.
func Choose(engines []Engine, target int64, limits Loads) []string {
	// outOfService counts the engines of each data centre that drain or load.
	outOfService := map[string]int{}
	inProgress := 0
	var due []Engine
	for _, e := range engines {
		switch {
		case e.Phase != Serving:
			outOfService[e.DataCentre]++
			inProgress++
		case e.Version < target:
			due = append(due, e)
		}
	}
	var chosen []string
	for len(due) > 0 && inProgress < limits.AtOnce+limits.Ahead {
		i := nextToDrain(due, outOfService)
		chosen = append(chosen, due[i].ID)
		outOfService[due[i].DataCentre]++
		due = slices.Delete(due, i, i+1)
		inProgress++
	}
	return chosen
}

// nextToDrain returns the index of the engine in due to drain first.
func nextToDrain(due []Engine, outOfService map[string]int) int {
	best := 0
	for i := 1; i < len(due); i++ {
		a, b := due[i], due[best]
		order := cmp.Or(
			cmp.Compare(a.Version, b.Version),
			cmp.Compare(outOfService[a.DataCentre], outOfService[b.DataCentre]),
			cmp.Compare(a.Load, b.Load),
			cmp.Compare(a.ID, b.ID),
		)
		if order < 0 {
			best = i
		}
	}
	return best
}
