package crashguard

import "testing"

// Guards against clean runs that are forgotten too soon, or that pile up.
func TestCleanRunsAreRememberedAndBounded(t *testing.T) {
	c := NewCleanRuns()
	if c.Has(1) {
		t.Fatal("a request that never ran has run clean")
	}
	for i := range uint64(5 * maxClean) {
		c.Note(i)
		if i >= maxClean && !c.Has(i-maxClean+1) {
			t.Fatalf("request %d is forgotten after %d others", i-maxClean+1, maxClean-1)
		}
	}
	if n := len(c.young) + len(c.old); n > 2*maxClean {
		t.Fatalf("%d requests remembered", n)
	}
}
