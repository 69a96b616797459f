package crashguard

import (
	"slices"
	"strconv"
	"time"
)

const (
	// keepUnanswered is the time within which the list of endpoints shows that one has ended.
	keepUnanswered = time.Minute
	// maxUnanswered bounds the remembered attempts at one endpoint.
	maxUnanswered = 256
)

// Start is one start of an endpoint.
type Start struct {
	ID   string
	Born int64
}

// Name returns the name of the start as crashes have it.
func (s Start) Name() string {
	return s.ID + "/" + strconv.FormatInt(s.Born, 10)
}

// unanswered is an attempt that was given up.
type unanswered struct {
	fingerprint  uint64
	began, ended time.Time
}

// Unanswered remembers attempts that this VM gave up, or whose callers left, before the endpoint answered or broke off. An
// endpoint that ends without closing its connections leaves nothing else, so such an attempt counts as a crash once the
// list of endpoints shows that the endpoint ended. It is safe for one goroutine.
type Unanswered struct {
	attempts map[Start][]unanswered
}

// NewUnanswered returns an empty memory.
func NewUnanswered() *Unanswered {
	return &Unanswered{attempts: map[Start][]unanswered{}}
}

// Note remembers an attempt.
func (u *Unanswered) Note(fingerprint uint64, endpoint Start, began, ended time.Time) {
	all := append(u.attempts[endpoint], unanswered{fingerprint: fingerprint, began: began, ended: ended})
	u.attempts[endpoint] = all[max(len(all)-maxUnanswered, 0):]
}

// Answered tells that an endpoint answered an attempt. It outlived the attempts that began after that one.
func (u *Unanswered) Answered(endpoint Start, began time.Time) {
	u.keep(endpoint, func(a unanswered) bool { return a.began.Before(began) })
}

// Crashes returns the attempts at endpoints that have ended as crashes, and forgets these and old ones.
func (u *Unanswered) Crashes(hasEnded func(Start) bool, now time.Time) []Crash {
	var out []Crash
	for endpoint, attempts := range u.attempts {
		if hasEnded(endpoint) {
			for _, a := range attempts {
				out = append(out, Crash{Fingerprint: a.fingerprint, Endpoint: endpoint.Name()})
			}
			delete(u.attempts, endpoint)
			continue
		}
		u.keep(endpoint, func(a unanswered) bool { return now.Sub(a.ended) <= keepUnanswered })
	}
	return out
}

func (u *Unanswered) keep(endpoint Start, keeps func(unanswered) bool) {
	left := slices.DeleteFunc(u.attempts[endpoint], func(a unanswered) bool { return !keeps(a) })
	if len(left) == 0 {
		delete(u.attempts, endpoint)
		return
	}
	u.attempts[endpoint] = left
}
