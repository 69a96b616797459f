// Package freshness records when the copy of a log was last known to be complete, and decides when that has to be checked
// again.
//
// A read that waits for new records looks the same whether there are none or its answer was lost. Only an answer proves
// that the copy is complete, so the age of the last proof bounds how old the copy may be.
package freshness

import (
	"math/rand/v2"
	"time"
)

// Tracker records when a copy was last verified. The zero value is a copy that was never verified. It is not safe for
// concurrent use.
type Tracker struct {
	// Draw returns a random number that is at least 0 and below 1. Nil stands for the global source.
	Draw       func() float64
	verifiedAt time.Time
	// extension is the random part of the age limit, between 0 and 1. It is drawn at each verification.
	extension float64
}

// Verified records that the copy holds every record that the log held at the given time. Earlier times than the newest
// known one change nothing.
func (t *Tracker) Verified(at time.Time) {
	if !at.After(t.verifiedAt) {
		return
	}
	t.verifiedAt = at
	draw := t.Draw
	if draw == nil {
		draw = rand.Float64
	}
	t.extension = draw()
}

// Reset records that the copy was never verified.
func (t *Tracker) Reset() {
	*t = Tracker{Draw: t.Draw}
}

// Age returns the time since the copy was last known to be complete. It reports false if it never was.
func (t *Tracker) Age(now time.Time) (age time.Duration, verified bool) {
	if t.verifiedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(t.verifiedAt)), true
}

// Overdue reports whether the copy has to be verified again: its last verification is older than limit and a random part
// of spread, which keeps the VMs of a system from checking at the same moment. A copy that was never verified is
// overdue.
func (t *Tracker) Overdue(now time.Time, limit, spread time.Duration) bool {
	age, verified := t.Age(now)
	return !verified || age >= limit+time.Duration(t.extension*float64(spread))
}

// VerifiedAt returns the time at which an answered read of a log proves the reader's copy complete. The read was started
// and answered at the given times, allowed to wait for records, and returned them if there were any. A read that waited
// for the whole time and returned none proves that there was none when its wait ended. Any other one proves only that
// there were no more when it started.
func VerifiedAt(started, answered time.Time, wait time.Duration, records int) time.Time {
	waited := started.Add(wait)
	if records > 0 || answered.Before(waited) {
		return started
	}
	return waited
}
