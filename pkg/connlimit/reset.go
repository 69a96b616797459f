package connlimit

import "time"

const (
	// nearShare is the part of its share from which a VM counts as near it. A share of a few connections is always near, so
	// it shows something only if this VM has minNearConnections or all VMs run loadedFraction of the limit. Otherwise a
	// request that crashes an idle endpoint would not be noticed.
	nearShare          = 0.75
	minNearConnections = 3
	loadedFraction     = 0.25
	// busyFraction is the part of a connection limit from which the running requests of all VMs make a reset plausible.
	// Idle connections, which nobody reports, use up to as many again.
	busyFraction = 0.5
	// maxRefusalTime is the time after a request was sent within which an endpoint that refuses the connection resets it.
	// It decides when it accepts, which takes some milliseconds; a later reset comes from a request that was running.
	maxRefusalTime = time.Second
	// reductionHold is the time after a reset in which a reduced share stays as it is. The queue of an endpoint, for which
	// it may accept fewer connections, lasts a second or two.
	reductionHold = 2 * time.Second
	// recoveryInterval is the time after which a reduced share grows by a recoveryFraction of the full one, at least by one.
	recoveryInterval = 500 * time.Millisecond
	recoveryFraction = 0.125
)

// reduction lowers a share for some seconds after a reset.
type reduction struct {
	// limit is the share as of holdUntil. The reduction is not in force if holdUntil is zero.
	limit     int
	holdUntil time.Time
}

// apply returns a share under the reduction.
func (r *reduction) apply(full int, now time.Time) int {
	if r.holdUntil.IsZero() {
		return full
	}
	reduced := r.limit
	if recovering := now.Sub(r.holdUntil); recovering > 0 {
		step := max(int(recoveryFraction*float64(full)), 1)
		reduced += step * int(recovering/recoveryInterval)
	}
	if reduced >= full {
		r.holdUntil = time.Time{}
		return full
	}
	return reduced
}

// Ending describes a connection of this VM that an endpoint closed before any byte of an answer.
type Ending struct {
	// Address is the address of the endpoint.
	Address string
	// Reused is set if the connection had carried a request before, so that the endpoint had accepted it.
	Reused bool
	// Accepted is the number of other connections in use from this VM to the endpoint.
	Accepted int
	// Running is the number of requests of all VMs on the endpoint, with this one, and Slots how many it runs at the same
	// time, or zero if that is not known.
	Running, Slots int
	// Took is the time from the send to the end of the connection.
	Took time.Duration
}

// Verdict is the decision on an Ending and what it is based on.
type Verdict struct {
	// AtLimit is set if the endpoint most likely refused the connection because it had as many as it accepts.
	AtLimit bool
	// Limited is set if the endpoint has a limit. The fields below are set only then.
	Limited bool
	// Limit and Share are the endpoint's limit and this VM's share of it before the ending, and NextShare that after it.
	Limit, Share, NextShare int
}

// JudgeEnding decides whether an endpoint refused a connection for its limit: the connection was new, it ended soon, and
// this VM is near its share or the endpoint has many requests or a queue. Such a refusal lowers this VM's share to what
// the endpoint accepted.
func (t *Table) JudgeEnding(x Ending, now time.Time) Verdict {
	share, limited := t.Share(x.Address, now)
	if !limited {
		return Verdict{}
	}
	e := t.entries[x.Address]
	v := Verdict{Limited: true, Limit: e.Limit, Share: share, NextShare: share}
	own := x.Accepted + 1
	loaded := own >= minNearConnections || float64(x.Running) >= loadedFraction*float64(e.Limit)
	near := loaded && float64(own) >= nearShare*float64(share)
	busy := float64(x.Running) >= busyFraction*float64(e.Limit) || x.Slots > 0 && x.Running > x.Slots
	v.AtLimit = !x.Reused && x.Took <= maxRefusalTime && (near || busy)
	if v.AtLimit {
		v.NextShare = min(x.Accepted, max(share-1, 0))
		e.reduction = reduction{limit: v.NextShare, holdUntil: now.Add(reductionHold)}
	}
	return v
}
