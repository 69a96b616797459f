// Package digestage estimates how long the digests of peers were on their way when they are read.
//
// A digest may be old: a hub held it, or it waited in the socket's buffer while this process stood still. The clocks of
// two VMs can't be compared, so a digest states the uptime of its sender. The package does no I/O.
package digestage

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/standstill"
)

const (
	// MinStandstill is the time between two activities of this process from which it counts as having stood still.
	MinStandstill = time.Second
	// QueuedTime is the time after a standstill within which digests may have waited in the socket's buffer.
	QueuedTime = time.Second
)

// Activity records when this process stood still. The digests that peers send each few hundred milliseconds, and its own,
// keep it active. The zero value has recorded nothing. It is not safe for concurrent use.
type Activity struct {
	gaps standstill.Gaps
}

// Record records that the process runs now. started is the start of the process, its first activity.
func (a *Activity) Record(started, now time.Time) {
	if a.gaps.Empty() {
		a.gaps.Observe(started, MinStandstill)
	}
	a.gaps.Observe(now, MinStandstill)
}

// MayReadQueued reports whether a digest that is read now may have arrived during a standstill.
func (a *Activity) MayReadQueued(now time.Time) bool {
	resumedAt := a.gaps.Last().To
	return !resumedAt.IsZero() && now.Sub(resumedAt) < QueuedTime
}

// Clock converts the uptime that a peer's digests state to this VM's clock. The earliest start of the peer that any digest
// implied is that of the digest with the shortest way, so a later implied start shows how long its digest was on its way.
// The zero value has read no digest. It is not safe for concurrent use.
type Clock struct {
	// start is the earliest implied start of the peer's process.
	start time.Time
	known bool
}

// Observe takes in a digest that states the given uptime and was read at the given time. queued is set if it may have
// waited in the buffer. It returns how long the digest was on its way, which holds only if Known reports true.
func (c *Clock) Observe(uptime time.Duration, queued bool, now time.Time) time.Duration {
	start := now.Add(-uptime)
	if c.start.IsZero() || start.Before(c.start) {
		c.start = start
	}
	c.known = c.known || !queued
	return start.Sub(c.start)
}

// Known reports whether a digest was read that can't have waited in the buffer.
func (c *Clock) Known() bool {
	return c.known
}
