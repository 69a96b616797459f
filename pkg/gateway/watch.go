package gateway

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// watchWait is the longest wait of one call for events.
	watchWait = time.Second
	// watchPause is the pause between two calls, so that events come in batches.
	watchPause = 120 * time.Millisecond
	// watchTimeout bounds a call beyond its wait.
	watchTimeout = 700 * time.Millisecond
	// watchRetry is the pause after a call that failed.
	watchRetry = 700 * time.Millisecond
	// watchSpare is the number of a source's watches that are left free, since a watch of a process that was killed
	// lasts a while.
	watchSpare = 2
	// watchLook is the pause between two looks at the sources.
	watchLook = 400 * time.Millisecond
)

// watchCaches follows what the engines and cache stores hold.
func (g *Gateway) watchCaches() {
	running := map[string]context.CancelFunc{}
	for g.sleep(watchLook) {
		wanted := g.sourcesToWatch()
		for address, stop := range running {
			if !wanted[address] {
				stop()
				delete(running, address)
			}
		}
		for address := range wanted {
			if running[address] != nil {
				continue
			}
			ctx, stop := context.WithCancel(g.ctx)
			running[address] = stop
			g.run(func() { g.watchSource(ctx, address) })
		}
	}
}

// sourcesToWatch returns the addresses of the sources that this VM watches. A source that takes fewer watches than
// there are VMs is watched by those that come first by a hash.
func (g *Gateway) sourcesToWatch() map[string]bool {
	out := map[string]bool{}
	c := g.config.Load()
	if c == nil || g.leaving.Load() {
		return out
	}
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range c.Services {
		if s.Store != nil && g.watches(s.Store.Address, s.Store.MaxWatches, now) {
			out[s.Store.Address] = true
		}
		if s.Engine == nil {
			continue
		}
		for _, e := range g.endpoints.Usable(name) {
			if g.watches(e.Address, s.Engine.MaxWatches, now) {
				out[place.SourceOf(e)] = true
			}
		}
	}
	return out
}

// watches reports whether this VM is among those that watch a source. The caller holds the lock.
func (g *Gateway) watches(address string, most int, now time.Time) bool {
	own := watchRank(g.settings.VM, address)
	before := 0
	for vm, p := range g.peers {
		if p.live(now) && watchRank(vm, address) < own {
			before++
		}
	}
	return before < most-watchSpare
}

func watchRank(vm, address string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, address, vm)
	return h.Sum64()
}

// watchSource follows one source until ctx ends.
func (g *Gateway) watchSource(ctx context.Context, address string) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.placer.CacheLost(address)
	}()
	var since int64
	var epoch int64
	failing := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchWait+watchTimeout)
		events, err := g.platform.Engines.CacheEvents(call, address, since, watchWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.meters.count("cache_watch_errors_total")
			if !failing {
				failing = true
				g.book.warn(partCache).Str("source", address).Err(err).Msg("cache events lost")
			}
			g.mu.Lock()
			g.placer.CacheLost(address)
			g.mu.Unlock()
			since = 0
			pause(ctx, watchRetry)
			continue
		}
		if failing {
			failing = false
			g.book.line(partCache).Str("source", address).Int64("epoch", events.Epoch).Msg("cache events back")
		}
		gap := events.Lost && since > 0
		if epoch != 0 && epoch != events.Epoch {
			g.book.line(partCache).Str("source", address).Int64("epoch", events.Epoch).Msg("cache restarted")
			gap = true
		}
		epoch, since = events.Epoch, events.Next
		g.mu.Lock()
		g.placer.CacheEvents(address, events.Epoch, gap, events.Events)
		g.mu.Unlock()
		pause(ctx, watchPause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
