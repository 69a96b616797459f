package crashguard

import (
	"testing"
	"time"
)

// Guards against clean runs that are dropped too soon, and against a set that grows without bound.
func TestCleanRunsAreRememberedAndBounded(t *testing.T) {
	c := NewCleanRuns(0)
	now := time.Unix(1000, 0)
	if c.Contains(1, now) {
		t.Fatal("an empty set contains request 1")
	}
	for i := range uint64(5 * maxCleanPerGeneration) {
		c.Add(i, now)
		if i >= maxCleanPerGeneration && !c.Contains(i-maxCleanPerGeneration+1, now) {
			t.Fatalf("request %d was dropped after %d others", i-maxCleanPerGeneration+1, maxCleanPerGeneration-1)
		}
	}
	if n := len(c.recent) + len(c.previous); n > 2*maxCleanPerGeneration {
		t.Fatalf("%d requests are held", n)
	}
}

// Guards against a clean run long ago that excuses a part of a prompt which crashes endpoints now.
func TestCleanRunsExpire(t *testing.T) {
	c := NewCleanRuns(2 * time.Second)
	now := time.Unix(1000, 0)
	c.Add(1, now)
	if !c.Contains(1, now.Add(2*time.Second)) || c.Contains(1, now.Add(2*time.Second+1)) {
		t.Error("a clean run does not count for exactly 2 s")
	}
}
