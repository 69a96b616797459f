package crashguard

import (
	"cmp"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

const (
	// unansweredRetention is the time within which the list of endpoints shows that an endpoint has ended.
	unansweredRetention = time.Minute
	// maxUnansweredPerEndpoint bounds the attempts held for one incarnation of an endpoint.
	maxUnansweredPerEndpoint = 256
)

// unansweredAttempt is an attempt that was given up before it was answered.
type unansweredAttempt struct {
	fingerprint  uint64
	began, ended time.Time
}

// UnansweredAttempts holds attempts that this VM gave up, or whose callers left, before the endpoint answered or closed the
// connection. An endpoint that ends without closing its connections leaves no other trace, so such an attempt counts
// as a crash once the list of endpoints shows that the endpoint ended. It is not safe for concurrent use.
type UnansweredAttempts struct {
	attempts map[fleet.Incarnation][]unansweredAttempt
}

// NewUnansweredAttempts returns an empty UnansweredAttempts.
func NewUnansweredAttempts() *UnansweredAttempts {
	return &UnansweredAttempts{attempts: map[fleet.Incarnation][]unansweredAttempt{}}
}

// Add adds an attempt.
func (u *UnansweredAttempts) Add(fingerprint uint64, endpoint fleet.Incarnation, began, ended time.Time) {
	all := append(u.attempts[endpoint], unansweredAttempt{fingerprint: fingerprint, began: began, ended: ended})
	u.attempts[endpoint] = all[max(len(all)-maxUnansweredPerEndpoint, 0):]
}

// RecordAnswer records that an endpoint answered an attempt that began at the given time. It drops the attempts that
// began then or later, because the endpoint survived them.
func (u *UnansweredAttempts) RecordAnswer(endpoint fleet.Incarnation, began time.Time) {
	u.retain(endpoint, func(a unansweredAttempt) bool { return a.began.Before(began) })
}

// TakeCrashes removes the attempts at endpoints that have ended and returns them as crashes, ordered by endpoint. It
// also drops attempts older than unansweredRetention.
func (u *UnansweredAttempts) TakeCrashes(hasEnded func(fleet.Incarnation) bool, now time.Time) []Crash {
	var out []Crash
	for endpoint, attempts := range u.attempts {
		if hasEnded(endpoint) {
			for _, a := range attempts {
				out = append(out, Crash{Fingerprint: a.fingerprint, Endpoint: endpoint.Name(), SentAt: a.began})
			}
			delete(u.attempts, endpoint)
			continue
		}
		u.retain(endpoint, func(a unansweredAttempt) bool { return now.Sub(a.ended) <= unansweredRetention })
	}
	slices.SortStableFunc(out, func(a, b Crash) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// retain drops the attempts at an endpoint for which keep returns false.
func (u *UnansweredAttempts) retain(endpoint fleet.Incarnation, keep func(unansweredAttempt) bool) {
	left := slices.DeleteFunc(u.attempts[endpoint], func(a unansweredAttempt) bool { return !keep(a) })
	if len(left) == 0 {
		delete(u.attempts, endpoint)
		return
	}
	u.attempts[endpoint] = left
}
