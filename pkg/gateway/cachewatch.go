package gateway

import (
	"context"
	"time"

	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

const (
	// watchCallWait is the longest time that one call waits for events.
	watchCallWait = time.Second
	// watchCallInterval is the pause between two calls, so that events arrive in batches.
	watchCallInterval = 120 * time.Millisecond
	// watchCallMargin is added to the wait of a call to obtain its timeout.
	watchCallMargin = 700 * time.Millisecond
	// watchRetryDelay is the pause after a failed call.
	watchRetryDelay = 700 * time.Millisecond
	// spareWatches is the number of a source's watches that are left unused, since the watch of a killed process remains
	// for a while.
	spareWatches = 2
	// watchCheckInterval is the interval between two checks of the set of watched sources.
	watchCheckInterval = 400 * time.Millisecond
)

// watchCaches follows the cache contents of engines and cache stores.
func (g *Gateway) watchCaches() {
	running := map[string]context.CancelFunc{}
	for g.sleep(watchCheckInterval) {
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

// sourcesToWatch returns the addresses of the sources that this VM watches. A source that accepts fewer watches than
// there are VMs is watched by the VMs with the highest rendezvous weight.
func (g *Gateway) sourcesToWatch() map[string]bool {
	out := map[string]bool{}
	c := g.config.Load()
	if c == nil || g.leaving.Load() {
		return out
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	peers := g.livePeers(g.now())
	for name, s := range c.Services {
		if s.Store != nil && g.isWatcher(s.Store.Address, s.Store.MaxWatches, peers) {
			out[s.Store.Address] = true
		}
		if s.Engine == nil {
			continue
		}
		for _, e := range g.endpoints.Usable(name) {
			if g.isWatcher(e.Address, s.Engine.MaxWatches, peers) {
				out[place.SourceOf(e)] = true
			}
		}
	}
	return out
}

// isWatcher reports whether this VM is among those that watch a source.
func (g *Gateway) isWatcher(address string, maxWatches int, peers []string) bool {
	return rendezvous.IsAmongFirst(rendezvous.Key(address), g.settings.VM, peers, maxWatches-spareWatches)
}

// watchSource follows one source until ctx ends.
func (g *Gateway) watchSource(ctx context.Context, address string) {
	w := &cacheWatch{address: address}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchCallWait+watchCallMargin)
		events, err := g.platform.Engines.CacheEvents(call, address, w.nextEvent, watchCallWait)
		cancel()
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			g.recordWatchFailure(w, err)
			sleepContext(ctx, watchRetryDelay)
			continue
		}
		g.applyCacheEvents(w, events)
		sleepContext(ctx, watchCallInterval)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.DropCacheSource(address)
}

// cacheWatch is the position of this VM in the events of one source.
type cacheWatch struct {
	address string
	// nextEvent is the number from which the next call continues, and epoch identifies the source's start. Both are zero
	// before the first answer.
	nextEvent, epoch int64
	failing          bool
}

// recordWatchFailure discards the known contents of a source that does not answer. The next call starts anew. A malformed answer
// tells nothing about the contents, so what is known stays, and the next call asks for the same events.
func (g *Gateway) recordWatchFailure(w *cacheWatch, err error) {
	g.metrics.count("cache_watch_errors_total")
	if !w.failing {
		g.log.warn(partCache).Str("source", w.address).Bool("malformed", isMalformed(err)).Err(err).Msg("cache events lost")
	}
	w.failing = true
	if isMalformed(err) {
		return
	}
	w.nextEvent = 0
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.DropCacheSource(w.address)
}

// applyCacheEvents applies the events of a source and advances its watch.
func (g *Gateway) applyCacheEvents(w *cacheWatch, events CacheEvents) {
	if w.failing {
		g.log.info(partCache).Str("source", w.address).Int64("epoch", events.Epoch).Msg("cache events back")
	}
	if w.epoch != 0 && w.epoch != events.Epoch {
		g.log.info(partCache).Str("source", w.address).Int64("epoch", events.Epoch).Msg("cache restarted")
	}
	gap := events.Lost && w.nextEvent > 0
	w.failing = false
	w.epoch, w.nextEvent = events.Epoch, events.Next
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.ApplyCacheEvents(w.address, events.Epoch, gap, events.Events)
}

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
