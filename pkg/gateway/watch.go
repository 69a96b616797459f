package gateway

import (
	"context"
	"time"

	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/rendezvous"
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
			go g.watchSource(ctx, address)
		}
	}
}

// sourcesToWatch returns the addresses of the sources that this VM watches. A source that takes fewer watches than
// there are VMs is watched by those of the highest rendezvous weight.
func (g *Gateway) sourcesToWatch() map[string]bool {
	out := map[string]bool{}
	c := g.config.Load()
	if c == nil || g.leaving.Load() {
		return out
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	peers := g.livePeers(steady.Now())
	for name, s := range c.Services {
		if s.Store != nil && g.watches(s.Store.Address, s.Store.MaxWatches, peers) {
			out[s.Store.Address] = true
		}
		if s.Engine == nil {
			continue
		}
		for _, e := range g.endpoints.Usable(name) {
			if g.watches(e.Address, s.Engine.MaxWatches, peers) {
				out[place.SourceOf(e)] = true
			}
		}
	}
	return out
}

// watches reports whether this VM is among those that watch a source.
func (g *Gateway) watches(address string, most int, peers []string) bool {
	key := rendezvous.Key(address)
	own := rendezvous.Weight(key, g.settings.VM)
	left := most - watchSpare
	for _, vm := range peers {
		if left <= 0 {
			return false
		}
		if rendezvous.Weight(key, vm) > own {
			left--
		}
	}
	return left > 0
}

// watchSource follows one source until ctx ends.
func (g *Gateway) watchSource(ctx context.Context, address string) {
	w := &watch{address: address}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchWait+watchTimeout)
		events, err := g.platform.Engines.CacheEvents(call, address, w.since, watchWait)
		cancel()
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			g.watchFailed(w, err)
			pause(ctx, watchRetry)
			continue
		}
		g.watched(w, events)
		pause(ctx, watchPause)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.CacheLost(address)
}

// watch is how far this VM knows the events of one source.
type watch struct {
	address string
	// since is where the next call goes on, and epoch the source's start, both zero before the first answer.
	since, epoch int64
	failing      bool
}

func (g *Gateway) watchFailed(w *watch, err error) {
	g.metrics.count("cache_watch_errors_total")
	if !w.failing {
		g.log.warn(partCache).Str("source", w.address).Err(err).Msg("cache events lost")
	}
	w.failing = true
	w.since = 0
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.CacheLost(w.address)
}

func (g *Gateway) watched(w *watch, events CacheEvents) {
	if w.failing {
		g.log.line(partCache).Str("source", w.address).Int64("epoch", events.Epoch).Msg("cache events back")
	}
	if w.epoch != 0 && w.epoch != events.Epoch {
		g.log.line(partCache).Str("source", w.address).Int64("epoch", events.Epoch).Msg("cache restarted")
	}
	gap := events.Lost && w.since > 0
	w.failing = false
	w.epoch, w.since = events.Epoch, events.Next
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.CacheEvents(w.address, events.Epoch, gap, events.Events)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
