package httpcall

import (
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// maxLongIdleTime is the longest time that a connection to a bounded address stays pooled if the server's keep-alive
	// time allows it. Each VM of a large system seldom sends to the same endpoint, so with maxIdleTime nearly every request
	// opens a connection. Longer idle times find few more uses and keep connections from other VMs.
	maxLongIdleTime = 60 * time.Second
	// maxSweepGap is the time since the last call of Sweep from which this process counts as having stood still.
	maxSweepGap = 2 * time.Second
	// SweepInterval is the interval in which Sweep is to be called.
	SweepInterval = 500 * time.Millisecond
)

// Bounds bounds the open connections to servers that accept only some from all callers together. Its methods are called
// concurrently and with locks of the client held, so they must not call the client.
type Bounds interface {
	// Bound returns the largest number of connections to an address that are open because they are idle. Connections in
	// use may be more. It reports false if the address has no bound.
	Bound(address string) (connections int, bounded bool)
}

// SetBounds sets the bounds. It must be called before any other method.
func (c *Client) SetBounds(b Bounds) {
	c.bounds = b
}

// bound returns the bound of an address.
func (c *Client) bound(address string) (connections int, bounded bool) {
	if c.bounds == nil {
		return 0, false
	}
	return c.bounds.Bound(address)
}

// openCounts counts the open connections by address, those that are being opened included.
type openCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

// add adds n connections to an address.
func (o *openCounts) add(address string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[address] += n
	if o.counts[address] == 0 {
		delete(o.counts, address)
	}
}

// of returns the number of open connections to an address.
func (o *openCounts) of(address string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts[address]
}

// Connections are the numbers of open connections to an address.
type Connections struct {
	InUse, Idle int
}

// Connections returns the numbers of open connections to an address.
func (c *Client) Connections(address string) Connections {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := len(c.idle[address])
	return Connections{InUse: max(c.open.of(address)-idle, 0), Idle: idle}
}

// longestIdleTime returns the longest time that a connection to an address may stay pooled.
func (c *Client) longestIdleTime(address string) time.Duration {
	if _, bounded := c.bound(address); bounded {
		return maxLongIdleTime
	}
	return maxIdleTime
}

// makeRoom closes idle connections to an address so that the open ones, with the one that is being opened, keep to its
// bound, those that became idle first before the others.
func (c *Client) makeRoom(address string) {
	bound, bounded := c.bound(address)
	if !bounded {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeIdle(address, c.open.of(address)-bound)
}

// closeIdle closes up to count idle connections to an address, those that became idle first. The caller holds mu.
func (c *Client) closeIdle(address string, count int) (closed int) {
	conns := c.idle[address]
	closed = min(max(count, 0), len(conns))
	for _, conn := range conns[:closed] {
		_ = conn.Close()
	}
	c.idle[address] = append([]*persistConn(nil), conns[closed:]...)
	if len(c.idle[address]) == 0 {
		delete(c.idle, address)
	}
	return closed
}

// stoodStill reports whether this process stood still since the last sweep, so that servers may have dropped the
// connections that were idle then. The caller holds mu.
func (c *Client) stoodStill(now time.Time) bool {
	return !c.sweptAt.IsZero() && now.Sub(c.sweptAt) >= maxSweepGap
}

// Sweep closes the idle connections to bounded addresses that are beyond their bounds or may no longer be reused, or all
// of them if this process stood still. It returns how many it closed. It is to be called every SweepInterval.
func (c *Client) Sweep() (closed int) {
	now := steady.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	stale := c.stoodStill(now)
	c.sweptAt = now
	for address, conns := range c.idle {
		bound, bounded := c.bound(address)
		if !bounded {
			continue
		}
		count := c.open.of(address) - bound
		if stale {
			count = len(conns)
		}
		closed += c.closeIdle(address, count)
		closed += c.closeExpired(address, now)
	}
	return closed
}

// closeExpired closes the idle connections to an address that may no longer be reused. The caller holds mu.
func (c *Client) closeExpired(address string, now time.Time) (closed int) {
	kept := c.idle[address][:0]
	for _, conn := range c.idle[address] {
		if now.Before(conn.reuseUntil) {
			kept = append(kept, conn)
			continue
		}
		_ = conn.Close()
		closed++
	}
	c.idle[address] = kept
	if len(kept) == 0 {
		delete(c.idle, address)
	}
	return closed
}
