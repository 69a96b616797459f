// Package standstill notices when this process stood still: it was suspended, or its VM was, or it got no processor time.
//
// Time that passes meanwhile says nothing about others. What they sent waits in the buffers of the sockets, and timers
// that expired fire before it is read. The package does no I/O.
package standstill

import (
	"sync"
	"time"
)

const (
	// Interval is the interval at which Detector.Observe is to be called.
	Interval = 200 * time.Millisecond
	// minGap is the time between two observations from which the process counts as having stood still.
	minGap = 500 * time.Millisecond
)

// Gap is a time in which the process stood still. The zero value stands for none.
type Gap struct {
	// From is the last time at which the process is known to have run before, and To the first after it.
	From, To time.Time
}

// Duration returns the length of the gap.
func (g Gap) Duration() time.Duration {
	return g.To.Sub(g.From)
}

// Gaps finds the gaps in a series of observations of this process. The zero value has observed nothing. It is not safe for
// concurrent use.
type Gaps struct {
	observed time.Time
	last     Gap
}

// Observe records that the process runs now. It returns the gap that has just ended, if at least minGap has passed since
// the last observation.
func (g *Gaps) Observe(now time.Time, minGap time.Duration) (ended Gap, stood bool) {
	if !g.Empty() && now.Sub(g.observed) >= minGap {
		ended, stood = Gap{From: g.observed, To: now}, true
		g.last = ended
	}
	if now.After(g.observed) {
		g.observed = now
	}
	return ended, stood
}

// Empty reports whether nothing was observed.
func (g *Gaps) Empty() bool {
	return g.observed.IsZero()
}

// Last returns the last gap that was found.
func (g *Gaps) Last() Gap {
	return g.last
}

// Detector holds the last standstill. It is safe for concurrent use. The zero value has observed nothing.
type Detector struct {
	mu   sync.Mutex
	gaps Gaps
}

// Observe records that the process runs now. It returns the standstill that has just ended, if there was one. Whatever
// depends on a standstill calls it first, since nothing else may have run after it.
func (d *Detector) Observe(now time.Time) (ended Gap, stood bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gaps.Observe(now, minGap)
}

// Last returns the last standstill that was observed.
func (d *Detector) Last() Gap {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gaps.Last()
}
