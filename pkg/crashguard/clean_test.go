package crashguard

import "testing"

// Guards against clean runs that are dropped too soon, and against a set that grows without bound.
func TestCleanRunsAreRememberedAndBounded(t *testing.T) {
	c := NewCleanRuns()
	if c.Contains(1) {
		t.Fatal("an empty set contains request 1")
	}
	for i := range uint64(5 * maxCleanPerGeneration) {
		c.Add(i)
		if i >= maxCleanPerGeneration && !c.Contains(i-maxCleanPerGeneration+1) {
			t.Fatalf("request %d was dropped after %d others", i-maxCleanPerGeneration+1, maxCleanPerGeneration-1)
		}
	}
	if n := len(c.recent) + len(c.previous); n > 2*maxCleanPerGeneration {
		t.Fatalf("%d requests are held", n)
	}
}
