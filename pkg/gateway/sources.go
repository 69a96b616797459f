package gateway

import (
	"cmp"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/steady"
)

// sources are the random numbers and the clocks of a gateway. Simulations supply their own, so that a run follows from its
// seed.
type sources struct {
	// random must be safe for concurrent use if several goroutines use the gateway.
	random *rand.Rand
	// now returns the time since boot, see steady.Now.
	now func() time.Time
	// timeOfDay returns the time of day, which other VMs and later processes understand.
	timeOfDay func() time.Time
}

// globalRandom is a source of random numbers that is safe for concurrent use.
type globalRandom struct{}

// Uint64 implements rand.Source.
func (globalRandom) Uint64() uint64 {
	return rand.Uint64()
}

// systemSources returns the sources of a process that serves callers.
func systemSources() sources {
	return sources{random: rand.New(globalRandom{}), now: steady.Now, timeOfDay: time.Now}
}

// randomUpTo returns a random duration that is not negative and below limit, which must be positive.
func (s *sources) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// sorted returns the entries of a map in the order of their keys, for iterations whose order has an effect.
func sorted[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, key := range slices.Sorted(maps.Keys(m)) {
			if !yield(key, m[key]) {
				return
			}
		}
	}
}

// maxJitter is the largest factor of jitter.
const maxJitter = 1.5

// jitter returns a random duration between half of d and maxJitter times d.
func (s *sources) jitter(d time.Duration) time.Duration {
	return d/2 + s.randomUpTo(d)
}
