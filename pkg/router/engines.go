package router

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/corneldeal/corneldeal/pkg/cacheindex"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/engine"
	"github.com/corneldeal/corneldeal/pkg/peer"
	"github.com/corneldeal/corneldeal/pkg/route"
)

const (
	// statePollInterval is the time between two state requests to an engine.
	statePollInterval = 250 * time.Millisecond
	// eventLongPoll is the long-poll time of cache events.
	eventLongPoll = time.Second
	// unresponsiveAfter is the time without an answer after which the attempts on an engine are cancelled.
	unresponsiveAfter = 2 * time.Second
	// statusNoStateReport is the HTTP status of an engine without a state report. Such an engine is taken to serve what
	// it is configured for.
	statusNoStateReport = statusNotFound
)

// engineInfo is what this VM has observed of one engine.
type engineInfo struct {
	endpoint config.Endpoint
	state    engine.State
	// hasAnswered is set once the engine has answered.
	hasAnswered bool
	// noStateReport is set if the engine offers no state report.
	noStateReport bool
	// lastAnswered is the start of the newest request that the engine answered.
	lastAnswered time.Time
	// down is set if the engine refused a connection or crashed since it last answered.
	down bool
	// lastFailed is the start of the newest request that the engine did not answer.
	lastFailed time.Time
	// followedSince is when this VM began to follow the engine.
	followedSince time.Time
	// stop ends the goroutines that follow the engine.
	stop context.CancelFunc
}

// engineTable holds the engines by endpoint name.
type engineTable struct {
	engines map[string]*engineInfo
}

func newEngineTable() *engineTable {
	return &engineTable{engines: map[string]*engineInfo{}}
}

// routeEndpoint returns the endpoint in the form that the placer takes.
func (t *engineTable) routeEndpoint(e config.Endpoint, model, adapter, version string, peers route.PeerLoad) route.Endpoint {
	c := route.Endpoint{
		Name:       e.Name,
		DataCentre: e.DataCentre,
		MaxRunning: e.MaxRunning,
		Draining:   e.Leaving,
		PeerLoad:   peers,
	}
	info, ok := t.engines[e.Name]
	if !ok {
		return c
	}
	c.Incarnation = info.state.Incarnation
	c.Serves = info.serves(model, adapter, version)
	if info.hasAnswered && !info.noStateReport {
		c.Load = route.Load{
			Running:    info.state.Running,
			Waiting:    info.state.Waiting,
			MeasuredAt: info.lastAnswered.Add(-time.Duration(info.state.AgeMs) * time.Millisecond),
		}
	}
	return c
}

// serves reports whether the engine is up and has the weights ready.
func (i *engineInfo) serves(model, adapter, version string) bool {
	if i.down || !i.hasAnswered {
		return false
	}
	if i.noStateReport {
		return true
	}
	if i.state.Role != "" && i.state.Role != engine.RoleServe {
		return false
	}
	return i.state.Ready(model, version, adapter)
}

// syncEngines starts and stops following engines after a change of the configuration.
func (r *Router) syncEngines(state *config.State) {
	now := time.Now()
	wanted := map[string]config.Endpoint{}
	for _, e := range state.Endpoints() {
		if e.Kind == config.EndpointEngine {
			wanted[e.Name] = e
		}
	}
	var removed []string
	r.engineInfos.do(func(t *engineTable) {
		for name, info := range t.engines {
			if e, ok := wanted[name]; !ok || e.Address != info.endpoint.Address {
				info.stop()
				delete(t.engines, name)
				removed = append(removed, name)
			}
		}
		for name, e := range wanted {
			if info, ok := t.engines[name]; ok {
				info.endpoint = e
				continue
			}
			ctx, cancel := context.WithCancel(r.ctx)
			t.engines[name] = &engineInfo{endpoint: e, followedSince: now, stop: cancel}
			r.spawn(func() { r.followState(ctx, e) })
			r.spawn(func() { r.followEvents(ctx, e) })
		}
	})
	r.index.do(func(x *cacheindex.Index) {
		for _, name := range removed {
			x.DropEndpoint(name, now)
		}
	})
}

// followState polls an engine's state until ctx ends.
func (r *Router) followState(ctx context.Context, e config.Endpoint) {
	ticker := time.NewTicker(statePollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.pollState(ctx, e)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// pollState requests an engine's state once. It returns the state and whether the engine answered.
func (r *Router) pollState(ctx context.Context, e config.Endpoint) (engine.State, bool) {
	requestStart := time.Now()
	state, err := r.engines.State(ctx, e.Address)
	noStateReport := isStatus(err, statusNoStateReport)
	if err != nil && !noStateReport {
		r.engineInfos.do(func(t *engineTable) {
			if info, ok := t.engines[e.Name]; ok && !requestStart.Before(info.lastAnswered) {
				info.down = true
				info.lastFailed = requestStart
			}
		})
		return engine.State{}, false
	}
	now := time.Now()
	r.index.do(func(x *cacheindex.Index) { x.ObserveIncarnation(e.Name, state.Incarnation, requestStart, now) })
	r.engineInfos.do(func(t *engineTable) {
		info, ok := t.engines[e.Name]
		if !ok || requestStart.Before(info.lastAnswered) {
			return
		}
		info.state = state
		info.hasAnswered = true
		info.noStateReport = noStateReport
		info.lastAnswered = requestStart
		info.down = false
	})
	r.dispatch()
	return state, true
}

// isStatus reports whether err is an answer of an engine with the given HTTP status.
func isStatus(err error, status int) bool {
	var call *engine.CallError
	return errors.As(err, &call) && call.Status == status
}

// followEvents adds an engine's cache events to the index until ctx ends.
func (r *Router) followEvents(ctx context.Context, e config.Endpoint) {
	for ctx.Err() == nil {
		after := locked(&r.index, func(x *cacheindex.Index) uint64 { return x.LastSeq(e.Name) })
		requestStart := time.Now()
		page, err := r.engines.Events(ctx, e.Address, int64(after), eventLongPoll)
		if err != nil {
			r.pause(retryPause)
			continue
		}
		r.applyEvents(e.Name, page, requestStart)
	}
}

// applyEvents adds one page of cache events to the index.
func (r *Router) applyEvents(endpoint string, page engine.EventPage, requestStart time.Time) {
	events := make([]cacheindex.Event, 0, len(page.Events))
	for _, event := range page.Events {
		events = append(events, cacheindex.Event{
			Seq:    uint64(event.Seq),
			Kind:   cacheindex.EventKind(event.Kind),
			Hashes: event.Hashes,
		})
	}
	count(metricCacheEvents, int64(len(events)))
	now := time.Now()
	r.index.do(func(x *cacheindex.Index) {
		x.ObserveIncarnation(endpoint, page.Incarnation, requestStart, now)
		x.ApplyEvents(endpoint, page.Incarnation, events, now)
	})
}

// markDown keeps new requests away from an engine until it answers again.
func (r *Router) markDown(endpoint string) {
	r.engineInfos.do(func(t *engineTable) {
		if info, ok := t.engines[endpoint]; ok {
			info.down = true
		}
	})
}

// engineUnresponsive reports whether an engine has answered no state request for longer than unresponsiveAfter.
func (r *Router) engineUnresponsive(endpoint string) bool {
	return r.engineSilentFor(endpoint, time.Now()) > unresponsiveAfter
}

// engineSilentFor returns for how long an engine has answered no state request, or zero if none has failed since. An engine
// that is no longer followed is silent for ever.
func (r *Router) engineSilentFor(endpoint string, now time.Time) time.Duration {
	return locked(&r.engineInfos, func(t *engineTable) time.Duration {
		info, ok := t.engines[endpoint]
		switch {
		case !ok:
			return math.MaxInt64
		case !info.lastFailed.After(info.lastAnswered):
			// This process was paused, not the engine.
			return 0
		}
		return now.Sub(info.lastAnswered)
	})
}

// endpointLoads returns this VM's requests in flight per engine, for heartbeats.
func (r *Router) endpointLoads() []*peer.EndpointLoad {
	names := locked(&r.engineInfos, func(t *engineTable) []string {
		names := make([]string, 0, len(t.engines))
		for name := range t.engines {
			names = append(names, name)
		}
		return names
	})
	now := time.Now()
	var loads []*peer.EndpointLoad
	r.placer.do(func(p *placementTable) {
		for _, name := range names {
			if p.placer.InFlight(name) > 0 {
				loads = append(loads, p.endpointLoad(name, now))
			}
		}
	})
	return loads
}
