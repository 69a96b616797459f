package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// drainFor is the longest time for which an engine is drained before its order.
	drainFor = 600 * time.Millisecond
	// firstReportShare is the part of the usual time of a load after which its end is first asked for, and reportPause the
	// pause between two questions.
	firstReportShare = 0.8
	reportPause      = 150 * time.Millisecond
	// unknownLoad is the time that a load is taken to last until the first has ended. shortestLoad is the least that is
	// expected of any, and the time after which the end of an unknown one is first asked for.
	unknownLoad  = 2 * time.Second
	shortestLoad = 500 * time.Millisecond
	// loadLearnShare is the weight of the newest load in the usual time.
	loadLearnShare = 0.5
	// loadLimit is the time after which a load that shows no result is ordered again.
	loadLimit = 9 * time.Second
	// callTimeout bounds a report and the order behind it. An engine is not asked again within it.
	callTimeout = 3 * orderTimeout
	// failedPause is the pause after an engine did not answer.
	failedPause = time.Second
	// claimRetry is the pause after a claim that could not be confirmed.
	claimRetry = 300 * time.Millisecond
)

// loadTimes learns how long a load usually lasts, until the engine's report shows its end. After this time the next load
// may begin, though the report, which lags, does not show the end yet. Models differ from a half to several seconds.
type loadTimes struct {
	usual time.Duration
}

func (l *loadTimes) time() time.Duration {
	if l.usual == 0 {
		return unknownLoad
	}
	return max(l.usual, shortestLoad)
}

// firstReport returns the time after an order at which its end is first asked for.
func (l *loadTimes) firstReport() time.Duration {
	if l.usual == 0 {
		return shortestLoad
	}
	return time.Duration(firstReportShare * float64(l.time()))
}

// note takes the duration of a load that ended. One that took as long as a lost order is no measure.
func (l *loadTimes) note(took time.Duration) {
	if took >= loadLimit {
		return
	}
	if l.usual == 0 {
		l.usual = took
		return
	}
	l.usual += time.Duration(loadLearnShare * float64(took-l.usual))
}

// loadState is what the holder does with one engine.
type loadState struct {
	model string
	phase issuer.Phase
	since time.Time
	// target is the ordered version, once an order was given.
	target int64
	// nextAsk is the earliest time of the next call.
	nextAsk time.Time
}

// currentPhase returns the phase of an engine, which serves where nothing is planned with it.
func (st *loadState) currentPhase() issuer.Phase {
	if st == nil {
		return issuer.Serving
	}
	return st.phase
}

// due is one engine that needs a call now.
type due struct {
	endpoint *fleet.Endpoint
	model    string
	target   int64
	phase    issuer.Phase
}

// advanceLoads moves each engine on by one step.
func (g *Gateway) advanceLoads() {
	now := steady.Now()
	g.mu.Lock()
	g.dropFinishedLoads(now)
	g.startDrains(now)
	calls := g.dueCalls(now)
	g.mu.Unlock()
	for _, d := range calls {
		go g.callEngine(d)
	}
}

// dropFinishedLoads forgets the engines that run the ordered version or have left. The caller holds the lock.
func (g *Gateway) dropFinishedLoads(now time.Time) {
	for id, st := range g.loads {
		e := g.endpoints.Get(id)
		if e == nil {
			g.endLoad(id)
			continue
		}
		version := g.placer.KnownVersion(e, st.model)
		if st.phase == issuer.Loading && version >= st.target {
			took := now.Sub(st.since)
			g.loadTimes.note(took)
			g.log.line(partOrder).Str("endpoint", id).Int64("version", version).Dur("took_ms", took).Msg("weights loaded")
			g.endLoad(id)
		}
	}
}

// endLoad puts an engine back into service and tells the peers. The caller holds the lock.
func (g *Gateway) endLoad(id string) {
	delete(g.loads, id)
	g.digestSoon()
}

// startDrains chooses the engines to load next and keeps new work from them. The caller holds the lock.
func (g *Gateway) startDrains(now time.Time) {
	for model := range g.announced {
		engines := g.enginesOf(model)
		view := make([]issuer.Engine, 0, len(engines))
		for _, e := range engines {
			view = append(view, issuer.Engine{
				ID:         e.ID,
				DataCentre: e.DataCentre,
				Version:    g.placer.KnownVersion(e, model),
				Load:       g.placer.Running(e.ID),
				Phase:      g.loads[e.ID].currentPhase(),
			})
		}
		for _, id := range issuer.Choose(view, g.newestOf(model), issuer.LoadsFor(len(engines))) {
			g.loads[id] = &loadState{model: model, phase: issuer.Draining, since: now}
			g.digestSoon()
		}
	}
}

// dueCalls returns the engines that are to be asked now: those that are drained, as far as loads may begin, and those
// whose load should have ended. The caller holds the lock.
func (g *Gateway) dueCalls(now time.Time) []due {
	var calls []due
	for model := range g.announced {
		engines := g.enginesOf(model)
		free := issuer.LoadsFor(len(engines)).AtOnce - g.loadsUnderWay(engines, now)
		for _, e := range engines {
			st := g.loads[e.ID]
			if st == nil || now.Before(st.nextAsk) {
				continue
			}
			switch {
			case st.phase == issuer.Draining && free > 0 && g.drained(e, st, now):
				free--
			case st.phase == issuer.Loading && now.Sub(st.since) > g.loadTimes.firstReport():
			default:
				continue
			}
			st.nextAsk = now.Add(callTimeout)
			calls = append(calls, due{endpoint: e, model: model, target: g.newestOf(model), phase: st.phase})
		}
	}
	return calls
}

// loadsUnderWay returns the number of loads that should not have ended yet. The caller holds the lock.
func (g *Gateway) loadsUnderWay(engines []*fleet.Endpoint, now time.Time) int {
	n := 0
	for _, e := range engines {
		if st := g.loads[e.ID]; st.currentPhase() == issuer.Loading && now.Sub(st.since) < g.loadTimes.time() {
			n++
		}
	}
	return n
}

// outOfService returns the engines that this VM, as the holder, drains or loads. The caller holds the lock.
func (g *Gateway) outOfService() []string {
	return slices.Sorted(maps.Keys(g.loads))
}

// drained reports whether an engine got no new work for long enough.
func (g *Gateway) drained(e *fleet.Endpoint, st *loadState, now time.Time) bool {
	age := now.Sub(st.since)
	return age > drainFor || age > digestPause && g.placer.Running(e.ID) == 0
}

// callEngine asks an engine for its state and gives the order where one is due.
func (g *Gateway) callEngine(d due) {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	report, err := g.platform.Engines.Report(ctx, d.endpoint)
	now := steady.Now()
	if err != nil {
		g.log.line(partOrder).Str("endpoint", d.endpoint.ID).Err(err).Msg("engine did not report")
		g.mu.Lock()
		defer g.mu.Unlock()
		g.postpone(d.endpoint.ID, now.Add(failedPause))
		return
	}
	g.mu.Lock()
	g.placer.Version(d.endpoint, d.model, report.Versions[d.model])
	st := g.loads[d.endpoint.ID]
	again := d.phase == issuer.Loading && !report.Busy && st != nil && now.Sub(st.since) > loadLimit
	wanted := d.phase == issuer.Draining && !report.Busy || again
	wanted = wanted && report.Versions[d.model] < d.target
	if !wanted {
		g.postpone(d.endpoint.ID, now.Add(reportPause))
	}
	g.mu.Unlock()
	if wanted {
		g.order(d, report.Sequence)
	}
}

// postpone sets the next call to an engine. The caller holds the lock.
func (g *Gateway) postpone(id string, at time.Time) {
	if st := g.loads[id]; st != nil {
		st.nextAsk = at
	}
}

// order tells an engine to load the announced version, if this VM still holds the lease at this moment.
func (g *Gateway) order(d due, sequence int64) {
	confirmed := g.confirmClaim()
	g.mu.Lock()
	now := steady.Now()
	token := g.lease.Token()
	may := confirmed && g.lease.MayOrder(now) && !g.leaving.Load()
	if may {
		g.lease.Ordered(now)
	} else {
		g.postpone(d.endpoint.ID, now.Add(claimRetry))
	}
	g.mu.Unlock()
	if !may {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	result, err := g.platform.Engines.Order(ctx, d.endpoint, Order{
		Model: d.model, Version: d.target, Holder: g.settings.VM, Token: token, Expected: sequence,
	})
	now = steady.Now()
	g.metrics.count("orders_total")
	line := g.log.line(partOrder).Str("endpoint", d.endpoint.ID).Str("model", d.model).Int64("version", d.target).
		Int64("token", token).Int64("expected", sequence).Str("result", result.String())
	if err != nil {
		line.Err(err)
	}
	line.Msg("order given")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteOrder(d, result, now)
}

// noteOrder records the result of an order. The caller holds the lock.
func (g *Gateway) noteOrder(d due, result OrderResult, now time.Time) {
	st := g.loads[d.endpoint.ID]
	if st == nil {
		return
	}
	switch result {
	case OrderAccepted, OrderUnknown:
		// An order without an answer may take effect, also later; the expected sequence keeps a repeat from loading
		// twice.
		st.phase = issuer.Loading
		st.since = now
		st.target = d.target
		st.nextAsk = now
	case OrderHolds:
		g.placer.Version(d.endpoint, d.model, d.target)
		g.endLoad(d.endpoint.ID)
	case OrderConflict:
		st.nextAsk = now.Add(reportPause)
	case OrderRefused:
		st.nextAsk = now.Add(failedPause)
	case OrderFenced:
		g.lease.Fenced()
	}
}
