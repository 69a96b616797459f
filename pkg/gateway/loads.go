package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// emptyFor is the longest time for which an engine is emptied before its order.
	emptyFor = 600 * time.Millisecond
	// firstReport is the time after an order at which its end is first asked for, and reportPause the pause between
	// two questions.
	firstReport = 1950 * time.Millisecond
	reportPause = 150 * time.Millisecond
	// loadTime is the usual time of a load. After it the next load may begin, though the engine's report, which lags,
	// does not show the end yet.
	loadTime = 2 * time.Second
	// loadLimit is the time after which a load that shows no result is ordered again.
	loadLimit = 9 * time.Second
	// failedPause is the pause after an engine did not answer.
	failedPause = time.Second
	// claimRetry is the pause after a claim that could not be confirmed.
	claimRetry = 300 * time.Millisecond
)

// loadState is what the holder does with one engine.
type loadState struct {
	phase issuer.Phase
	since time.Time
	// target is the ordered version.
	target int64
	// nextAsk is the earliest time of the next call.
	nextAsk time.Time
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
	calls := g.planLoads(now)
	g.mu.Unlock()
	for _, d := range calls {
		g.run(func() { g.callEngine(d) })
	}
}

// planLoads chooses the engines to empty and returns the calls that are due. The caller holds the lock.
func (g *Gateway) planLoads(now time.Time) []due {
	var calls []due
	var loading []string
	for model := range g.named {
		newest := g.newestOf(model)
		engines := g.enginesOf(model)
		view := make([]issuer.Engine, 0, len(engines))
		inLoad := 0
		for _, e := range engines {
			st := g.loads[e.ID]
			version := g.placer.KnownVersion(e, model)
			if st != nil && st.phase != issuer.Serving && version >= max(st.target, 1) && st.target > 0 {
				g.book.line(partOrder).Str("endpoint", e.ID).Int64("version", version).
					Dur("took_ms", now.Sub(st.since)).Msg("weights loaded")
				delete(g.loads, e.ID)
				st = nil
			}
			phase := issuer.Serving
			if st != nil {
				phase = st.phase
			}
			if phase == issuer.Loading && now.Sub(st.since) < loadTime {
				inLoad++
			}
			view = append(view, issuer.Engine{
				ID: e.ID, DataCentre: e.DataCentre, Version: version, Load: g.placer.Running(e.ID), Phase: phase,
			})
		}
		limits := issuer.LoadsFor(len(engines))
		for _, id := range issuer.Choose(view, newest, limits) {
			g.loads[id] = &loadState{phase: issuer.Emptying, since: now}
		}
		for _, e := range engines {
			st := g.loads[e.ID]
			if st == nil {
				continue
			}
			loading = append(loading, e.ID)
			if now.Before(st.nextAsk) {
				continue
			}
			d := due{endpoint: e, model: model, target: newest, phase: st.phase}
			switch {
			case st.phase == issuer.Emptying && inLoad < limits.AtOnce && g.empty(e, st, now):
				inLoad++
			case st.phase == issuer.Loading && now.Sub(st.since) > firstReport:
			default:
				continue
			}
			st.nextAsk = now.Add(orderTimeout * 3)
			calls = append(calls, d)
		}
	}
	slices.Sort(loading)
	if !slices.Equal(loading, g.loading) {
		g.loading = loading
		g.wake()
	}
	return calls
}

// empty reports whether an engine has been emptied long enough.
func (g *Gateway) empty(e *fleet.Endpoint, st *loadState, now time.Time) bool {
	age := now.Sub(st.since)
	return age > emptyFor || age > digestPause && g.placer.Running(e.ID) == 0
}

// callEngine asks an engine for its state and gives the order where one is due.
func (g *Gateway) callEngine(d due) {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	report, err := g.platform.Engines.Report(ctx, d.endpoint)
	now := steady.Now()
	if err != nil {
		g.book.line(partOrder).Str("endpoint", d.endpoint.ID).Err(err).Msg("engine did not report")
		g.mu.Lock()
		defer g.mu.Unlock()
		g.postpone(d.endpoint.ID, now.Add(failedPause))
		return
	}
	g.mu.Lock()
	g.placer.Version(d.endpoint, d.model, report.Versions[d.model])
	st := g.loads[d.endpoint.ID]
	again := d.phase == issuer.Loading && !report.Busy && st != nil && now.Sub(st.since) > loadLimit
	wanted := d.phase == issuer.Emptying && !report.Busy || again
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

// order tells an engine to load the named version, if this VM still holds the right at this moment.
func (g *Gateway) order(d due, sequence int64) {
	confirmed := g.confirmClaim()
	g.mu.Lock()
	now := steady.Now()
	token := g.right.Token()
	may := confirmed && g.right.MayOrder(now) && !g.leaving.Load()
	if may {
		g.right.Ordered(now)
	} else {
		g.postpone(d.endpoint.ID, now.Add(claimRetry))
	}
	g.mu.Unlock()
	if !may {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	result := g.platform.Engines.Order(ctx, d.endpoint, Order{
		Model: d.model, Version: d.target, Holder: g.settings.VM, Token: token, Expected: sequence,
	})
	now = steady.Now()
	g.meters.count("orders_total")
	g.book.line(partOrder).Str("endpoint", d.endpoint.ID).Str("model", d.model).Int64("version", d.target).
		Int64("token", token).Int64("expected", sequence).Str("result", result.String()).Msg("order given")
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
		delete(g.loads, d.endpoint.ID)
	case OrderConflict:
		st.nextAsk = now.Add(reportPause)
	case OrderRefused:
		st.nextAsk = now.Add(failedPause)
	case OrderFenced:
		g.right.Fenced()
	}
}
