// Package failover decides when an attempt at an endpoint that sends nothing is given up so that another endpoint takes
// the request over.
//
// Silence alone is no reason: an endpoint may stand still for a moment and go on, and its answer is lost with the attempt.
// So an attempt is given up only once everything that its successor needs is there. The package does no I/O.
package failover

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/standstill"
)

// RecheckInterval is the time after which a silent attempt that was kept is looked at again.
const RecheckInterval = 400 * time.Millisecond

// patience is the number of rechecks after which an attempt is given up although no retry is left for the way back.
const patience = 2

// RetriesNeeded returns the least and the most retries to reserve before an attempt is given up. silence is how long it has been
// silent, and wait the silence that it was allowed. Once events were passed on, a successor that turns the request away would cut
// the stream, so a second retry is reserved for the way back to the silent endpoint. After patience rechecks the second one is
// reserved only if the budget has it.
func RetriesNeeded(started bool, silence, wait time.Duration) (least, most int) {
	switch {
	case !started:
		return 1, 1
	case silence < wait+patience*RecheckInterval:
		return 2, 2
	}
	return 1, 2
}

// Reason is why an attempt at a silent endpoint is kept.
type Reason string

// The reasons, in the order in which they are looked at.
const (
	// Stopping means that this VM is stopping and sends nothing more to endpoints.
	Stopping Reason = "stopping"
	// NoTime means that too little time is left for another attempt.
	NoTime Reason = "no_time"
	// NoPosition means that events were passed on that do not tell where another endpoint would go on.
	NoPosition Reason = "no_position"
	// Suspect means that the request may crash endpoints, so that it is not sent again.
	Suspect Reason = "suspect"
	// NoEndpoint means that no other endpoint may take the request now.
	NoEndpoint Reason = "no_endpoint"
	// NoRetry means that the budget of retries is spent.
	NoRetry Reason = "no_retry"
)

// Situation is what a decision rests on.
type Situation struct {
	// Stopping is set if this VM sends nothing more to endpoints.
	Stopping bool
	// Left is the time until the deadline, and MinLeft the least for which a request is sent.
	Left, MinLeft time.Duration
	// Started is set if events were passed on, and HasPosition if the last of them had an id.
	Started, HasPosition bool
	// Suspect is set if the request may crash endpoints.
	Suspect bool
	// HasSuccessor is set if another endpoint would be chosen now and is expected to answer in time.
	HasSuccessor bool
	// HasRetry is set if the budget allows a retry.
	HasRetry bool
}

// Silence returns how long an endpoint has been silent from which something last arrived at the time since. The silence begins anew
// at the end of this process's last standstill, since what the endpoint sent meanwhile may not be read yet.
func Silence(since time.Time, last standstill.Gap, now time.Time) time.Duration {
	if last.To.After(since) {
		since = last.To
	}
	return now.Sub(since)
}

// Decide returns why the attempt is kept, or an empty reason if it is given up.
func Decide(s Situation) Reason {
	switch {
	case s.Stopping:
		return Stopping
	case s.Left < s.MinLeft:
		return NoTime
	case s.Started && !s.HasPosition:
		return NoPosition
	case s.Suspect:
		return Suspect
	case !s.HasSuccessor:
		return NoEndpoint
	case !s.HasRetry:
		return NoRetry
	}
	return ""
}
