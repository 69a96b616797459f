package freshness

import (
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// Guards against a copy that counts as complete because of a time that lies before its newest verification.
func TestTrackerKeepsTheNewestVerification(t *testing.T) {
	var tracker Tracker
	if _, verified := tracker.Age(start); verified || !tracker.Overdue(start, time.Hour, 0) {
		t.Fatal("a copy that was never verified counts as verified")
	}
	tracker.Verified(start)
	tracker.Verified(start.Add(-time.Second))
	if age, verified := tracker.Age(start.Add(2 * time.Second)); !verified || age != 2*time.Second {
		t.Fatalf("age %v, verified %v; want 2s", age, verified)
	}
}

// Guards against a copy that is never checked again, or that all VMs check at the same moment.
func TestOverdueAfterLimitAndSpread(t *testing.T) {
	const limit, spread = time.Second, 300 * time.Millisecond
	early, late := 0, 0
	for range 1000 {
		var tracker Tracker
		tracker.Verified(start)
		if tracker.Overdue(start.Add(limit-time.Millisecond), limit, spread) {
			t.Fatal("overdue before the limit")
		}
		if !tracker.Overdue(start.Add(limit+spread), limit, spread) {
			t.Fatal("not overdue after limit and spread")
		}
		if tracker.Overdue(start.Add(limit+spread/2), limit, spread) {
			early++
		} else {
			late++
		}
	}
	if early < 400 || late < 400 {
		t.Fatalf("%d before and %d after the middle of the spread, want about as many", early, late)
	}
}

// Guards against taking the arrival of an answer for the time that it proves: a record may be stored while an answer is on
// its way.
func TestVerifiedAt(t *testing.T) {
	const wait = time.Second
	for _, c := range []struct {
		name     string
		answered time.Duration
		wait     time.Duration
		records  int
		want     time.Duration
	}{
		{"no wait", 40 * time.Millisecond, 0, 0, 0},
		{"whole wait without records", 1200 * time.Millisecond, wait, 0, wait},
		{"answered early without records", 700 * time.Millisecond, wait, 0, 0},
		{"records during the wait", 700 * time.Millisecond, wait, 3, 0},
		{"records after the wait", 1200 * time.Millisecond, wait, 3, 0},
	} {
		if got := VerifiedAt(start, start.Add(c.answered), c.wait, c.records); !got.Equal(start.Add(c.want)) {
			t.Errorf("%s: verified at %v after the start, want %v", c.name, got.Sub(start), c.want)
		}
	}
}
