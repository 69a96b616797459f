package weightstore

import (
	"testing"
	"time"
)

// Loads at full speed beyond two would hide the cost of loading everywhere at once.
func TestMoreThanTwoLoadsShareTheBandwidth(t *testing.T) {
	for loads, want := range map[int]time.Duration{1: time.Second, 2: time.Second, 4: time.Second / 2} {
		if got := progress(time.Second, loads); got != want {
			t.Errorf("%d loads: %v of work in a second, want %v", loads, got, want)
		}
	}
}
