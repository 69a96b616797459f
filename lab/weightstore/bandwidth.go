package weightstore

import (
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// fullSpeedLoads is the number of loads that run at full speed; more share its bandwidth.
const fullSpeedLoads = 2

// tick is the time between two updates of the running loads.
const tick = 10 * time.Millisecond

// Bandwidth is shared by all running loads. It is safe for concurrent use.
type Bandwidth struct {
	mu    sync.Mutex
	loads int
}

// NewBandwidth returns an unused bandwidth.
func NewBandwidth() *Bandwidth {
	return &Bandwidth{}
}

// Loads returns the number of running loads.
func (b *Bandwidth) Loads() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loads
}

func (b *Bandwidth) add(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads += n
}

// Load takes the given time while at most two loads run, and longer in proportion while more do. It reports
// false when stop closed first.
func (b *Bandwidth) Load(work time.Duration, stop <-chan struct{}) bool {
	b.add(1)
	defer b.add(-1)
	last := time.Now()
	for work > 0 {
		if !standin.Pause(min(tick, work), stop) {
			return false
		}
		now := time.Now()
		work -= progress(now.Sub(last), b.Loads())
		last = now
	}
	return true
}

// progress is the work done in the elapsed time while the given number of loads share the bandwidth.
func progress(elapsed time.Duration, loads int) time.Duration {
	if loads <= fullSpeedLoads {
		return elapsed
	}
	return elapsed * fullSpeedLoads / time.Duration(loads)
}
