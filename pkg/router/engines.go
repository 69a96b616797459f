package router

import (
	"context"
	"errors"
	"time"

	"github.com/corneldeal/corneldeal/pkg/cacheindex"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/engine"
	"github.com/corneldeal/corneldeal/pkg/peer"
	"github.com/corneldeal/corneldeal/pkg/route"
)

const (
	// statePoll is the time between two state requests to an engine.
	statePoll = 250 * time.Millisecond
	// eventPoll is the long-poll time of cache events.
	eventPoll = time.Second
	// silentAfter is the time without an answer after which an engine gets no new work.
	silentAfter = 2 * time.Second
	// engineWithoutState marks engines without a state report; they are taken as serving what they are configured for.
	engineWithoutState = statusNotFound
)

// engineInfo is what this VM knows about one engine.
type engineInfo struct {
	endpoint config.Endpoint
	state    engine.State
	// known tells that the engine has answered at least once.
	known bool
	// plain tells that the engine offers no state report.
	plain bool
	// answered is the start of the newest request that the engine answered.
	answered time.Time
	// down tells that the engine refused a connection or crashed since it last answered.
	down bool
	// failed is the start of the newest request that the engine did not answer.
	failed time.Time
	// started is when this VM began to follow the engine.
	started time.Time
	stop    context.CancelFunc
}

// engineTable holds the engines by endpoint name.
type engineTable struct {
	engines map[string]*engineInfo
}

func newEngineTable() *engineTable {
	return &engineTable{engines: map[string]*engineInfo{}}
}

// candidate describes an endpoint to the placer.
func (t *engineTable) candidate(e config.Endpoint, model, adapter, version string, peers route.PeerLoad) route.Endpoint {
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
	if info.known && !info.plain {
		c.Load = route.Load{
			Running:    info.state.Running,
			Waiting:    info.state.Waiting,
			MeasuredAt: info.answered.Add(-time.Duration(info.state.AgeMs) * time.Millisecond),
		}
	}
	return c
}

// serves tells whether the engine is up and holds the weights.
func (i *engineInfo) serves(model, adapter, version string) bool {
	if i.down || !i.known {
		return false
	}
	if i.plain {
		return true
	}
	if i.state.Role != "" && i.state.Role != engine.RoleServe {
		return false
	}
	return i.state.Ready(model, version, adapter)
}

// syncEngines starts and stops the followers of engines after a change of the configuration.
func (r *Router) syncEngines(state *config.State) {
	now := time.Now()
	wanted := map[string]config.Endpoint{}
	for _, e := range state.Endpoints() {
		if e.Kind == config.EndpointEngine {
			wanted[e.Name] = e
		}
	}
	var gone []string
	r.fleet.do(func(t *engineTable) {
		for name, info := range t.engines {
			if e, ok := wanted[name]; !ok || e.Address != info.endpoint.Address {
				info.stop()
				delete(t.engines, name)
				gone = append(gone, name)
			}
		}
		for name, e := range wanted {
			if info, ok := t.engines[name]; ok {
				info.endpoint = e
				continue
			}
			ctx, cancel := context.WithCancel(r.ctx)
			t.engines[name] = &engineInfo{endpoint: e, started: now, stop: cancel}
			r.loop(func() { r.followState(ctx, e) })
			r.loop(func() { r.followEvents(ctx, e) })
		}
	})
	r.index.do(func(x *cacheindex.Index) {
		for _, name := range gone {
			x.DropEndpoint(name, now)
		}
	})
}

// followState polls an engine's report.
func (r *Router) followState(ctx context.Context, e config.Endpoint) {
	ticker := time.NewTicker(statePoll)
	defer ticker.Stop()
	for ctx.Err() == nil {
		r.pollState(ctx, e)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// pollState asks an engine once and reports whether it answered.
func (r *Router) pollState(ctx context.Context, e config.Endpoint) (engine.State, bool) {
	asked := time.Now()
	state, err := r.engines.State(ctx, e.Address)
	plain := isStatus(err, engineWithoutState)
	if err != nil && !plain {
		r.fleet.do(func(t *engineTable) {
			if info, ok := t.engines[e.Name]; ok && !asked.Before(info.answered) {
				info.down = true
				info.failed = asked
			}
		})
		return engine.State{}, false
	}
	now := time.Now()
	r.index.do(func(x *cacheindex.Index) { x.ObserveIncarnation(e.Name, state.Incarnation, asked, now) })
	r.fleet.do(func(t *engineTable) {
		info, ok := t.engines[e.Name]
		if !ok || asked.Before(info.answered) {
			return
		}
		info.state = state
		info.known = true
		info.plain = plain
		info.answered = asked
		info.down = false
	})
	r.dispatch()
	return state, true
}

func isStatus(err error, status int) bool {
	var call *engine.CallError
	return errors.As(err, &call) && call.Status == status
}

// followEvents feeds an engine's cache events to the index.
func (r *Router) followEvents(ctx context.Context, e config.Endpoint) {
	for ctx.Err() == nil {
		after := read(&r.index, func(x *cacheindex.Index) uint64 { return x.LastSeq(e.Name) })
		asked := time.Now()
		page, err := r.engines.Events(ctx, e.Address, int64(after), eventPoll)
		if err != nil {
			r.pause(retryPause)
			continue
		}
		r.applyEvents(e.Name, page, asked)
	}
}

func (r *Router) applyEvents(endpoint string, page engine.EventPage, asked time.Time) {
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
		x.ObserveIncarnation(endpoint, page.Incarnation, asked, now)
		x.ApplyEvents(endpoint, page.Incarnation, events, now)
	})
}

// markDown keeps new work away from an engine until it answers again.
func (r *Router) markDown(endpoint string) {
	r.fleet.do(func(t *engineTable) {
		if info, ok := t.engines[endpoint]; ok {
			info.down = true
		}
	})
}

// engineSilent tells whether an engine has not answered a state request for too long.
func (r *Router) engineSilent(endpoint string) bool {
	now := time.Now()
	return read(&r.fleet, func(t *engineTable) bool {
		info, ok := t.engines[endpoint]
		// Without a failed request it is this process that was paused.
		return !ok || info.failed.After(info.answered) && now.Sub(info.answered) > silentAfter
	})
}

// endpointLoads lists this VM's requests in flight for heartbeats.
func (r *Router) endpointLoads() []*peer.EndpointLoad {
	names := read(&r.fleet, func(t *engineTable) []string {
		names := make([]string, 0, len(t.engines))
		for name := range t.engines {
			names = append(names, name)
		}
		return names
	})
	now := time.Now()
	var loads []*peer.EndpointLoad
	r.placer.do(func(p *placement) {
		for _, name := range names {
			if p.placer.InFlight(name) > 0 {
				loads = append(loads, p.load(name, now))
			}
		}
	})
	return loads
}
