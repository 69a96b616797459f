package digestage

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against digests that waited during a standstill and pass for new ones, and against a distrust that does not end.
func TestDigestsAfterAStandstillMayHaveWaited(t *testing.T) {
	var a Activity
	if a.MayReadQueued(start) {
		t.Error("digests have waited before any activity")
	}
	now := start.Add(MinStandstill - time.Millisecond)
	a.Record(start, now)
	if a.MayReadQueued(now) {
		t.Errorf("a pause of %v counts as a standstill", MinStandstill-time.Millisecond)
	}
	resumed := now.Add(MinStandstill)
	a.Record(start, resumed)
	if last := resumed.Add(QueuedTime - time.Millisecond); !a.MayReadQueued(resumed) || !a.MayReadQueued(last) {
		t.Error("a digest that is read after a standstill counts as new")
	}
	if a.MayReadQueued(resumed.Add(QueuedTime)) {
		t.Errorf("digests may still have waited %v after the standstill", QueuedTime)
	}
}

// Guards against a process that stood still from its start on and takes its first digests for new.
func TestStandstillSinceTheStartIsNoticed(t *testing.T) {
	var a Activity
	first := start.Add(MinStandstill)
	a.Record(start, first)
	if !a.MayReadQueued(first) {
		t.Error("the first digest counts as new")
	}
}

// Guards against an estimate that forgets the shortest way, or trusts a digest that may have waited.
func TestClockMeasuresAgainstTheShortestWay(t *testing.T) {
	var c Clock
	// read reads a digest that was sent at an uptime and was on its way for the given time.
	read := func(uptime, way time.Duration, queued bool) time.Duration {
		return c.Observe(uptime, queued, start.Add(uptime+way))
	}
	if way := read(time.Second, 3*time.Second, true); way != 0 || c.Known() {
		t.Errorf("way %v, known %v after a digest that may have waited", way, c.Known())
	}
	if way := read(2*time.Second, 10*time.Millisecond, false); way != 0 || !c.Known() {
		t.Errorf("way %v, known %v after the digest with the shortest way", way, c.Known())
	}
	if way := read(3*time.Second, 500*time.Millisecond, true); way != 490*time.Millisecond || !c.Known() {
		t.Errorf("way %v, known %v, want 490ms more than the shortest", way, c.Known())
	}
}
