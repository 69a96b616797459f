// Package timeline records the events of a VM and merges the events of several VMs into one causal order.
package timeline

import (
	"cmp"
	"fmt"
	"math"
	"sync"
	"time"
)

// MaxDrift is the maximum time by which a peer's stamp may be ahead of the local wall clock. A stamp further ahead is
// not adopted, because one wrong clock would otherwise advance the clocks of all VMs.
const MaxDrift = 10 * time.Second

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// WallNs is the wall time in nanoseconds since 1970.
	WallNs int64 `json:"hlc_wall_ns"`
	// Counter orders stamps that have the same wall time.
	Counter uint32 `json:"hlc_counter"`
}

// Compare returns -1 if s is before other, 0 if they are equal and 1 if s is after other.
func (s Stamp) Compare(other Stamp) int {
	if c := cmp.Compare(s.WallNs, other.WallNs); c != 0 {
		return c
	}
	return cmp.Compare(s.Counter, other.Counter)
}

// next returns the smallest stamp after s.
func (s Stamp) next() Stamp {
	if s.Counter == math.MaxUint32 {
		return Stamp{WallNs: s.WallNs + 1}
	}
	return Stamp{WallNs: s.WallNs, Counter: s.Counter + 1}
}

// DriftError reports a stamp of a peer whose clock is too far ahead.
type DriftError struct {
	// Ahead is the time by which the stamp is ahead of the local wall clock.
	Ahead time.Duration
}

// Error implements error.
func (e *DriftError) Error() string {
	return fmt.Sprintf("timeline: clock of peer is %s ahead, at most %s is allowed", e.Ahead, MaxDrift)
}

// Clock is a hybrid logical clock. Its stamps strictly increase, even if the wall clock steps back. It is safe for
// concurrent use. The zero value is ready to use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp for an event at the given wall time.
func (c *Clock) Now(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Stamp{WallNs: now.UnixNano()})
}

// Observe adopts the stamp of a received message, so that later stamps of this clock are after it. If the stamp is more
// than MaxDrift ahead of now, Observe returns a *DriftError and adopts nothing.
func (c *Clock) Observe(remote Stamp, now time.Time) error {
	if remote.WallNs > now.Add(MaxDrift).UnixNano() {
		return &DriftError{Ahead: time.Duration(remote.WallNs - now.UnixNano())}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Compare(remote) < 0 {
		c.last = remote
	}
	return nil
}

// advance returns wall, or the smallest stamp after the last one if wall is not after it. The caller holds c.mu.
func (c *Clock) advance(wall Stamp) Stamp {
	if wall.Compare(c.last) <= 0 {
		wall = c.last.next()
	}
	c.last = wall
	return wall
}
