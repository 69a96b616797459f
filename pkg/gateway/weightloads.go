package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/issuer"
)

const (
	// maxDrainTime is the longest time for which an engine is drained before it is ordered to load weights.
	maxDrainTime = 600 * time.Millisecond
	// firstReportFraction is the part of the estimated load duration after which the engine is first asked for a report,
	// and reportInterval the interval between two reports.
	firstReportFraction = 0.8
	reportInterval      = 150 * time.Millisecond
	// initialLoadEstimate is the estimated load duration until the first load has ended. minLoadEstimate is the lower
	// bound of later estimates, and the time after which the first report is requested while the duration is unknown.
	initialLoadEstimate = 2 * time.Second
	minLoadEstimate     = 500 * time.Millisecond
	// newestLoadWeight is the weight of the newest load in the average duration.
	newestLoadWeight = 0.5
	// loadTimeout is the time after which a load without a visible result is ordered again.
	loadTimeout = 9 * time.Second
	// engineCallTimeout limits a report and the order that follows it. The engine is not called again within it.
	engineCallTimeout = 3 * orderTimeout
	// engineRetryDelay is the pause after an engine did not answer or refused an order.
	engineRetryDelay = time.Second
	// claimRetryDelay is the pause after a claim that could not be confirmed.
	claimRetryDelay = 300 * time.Millisecond
)

// loadDurationEstimate estimates the time from an order until the engine's report shows the end of the load. After this
// time the next load may begin, although the reports lag and may not show the end yet. Durations range from half a
// second to several seconds, depending on the model.
type loadDurationEstimate struct {
	average time.Duration
}

// estimate returns the expected duration of a load.
func (l *loadDurationEstimate) estimate() time.Duration {
	if l.average == 0 {
		return initialLoadEstimate
	}
	return max(l.average, minLoadEstimate)
}

// firstReport returns the time after an order at which the first report is requested.
func (l *loadDurationEstimate) firstReport() time.Duration {
	if l.average == 0 {
		return minLoadEstimate
	}
	return time.Duration(firstReportFraction * float64(l.estimate()))
}

// addLoad adds the duration of a load that ended. One of loadTimeout or longer is ignored, because its order may have
// been lost.
func (l *loadDurationEstimate) addLoad(took time.Duration) {
	if took >= loadTimeout {
		return
	}
	if l.average == 0 {
		l.average = took
		return
	}
	l.average += time.Duration(newestLoadWeight * float64(took-l.average))
}

// weightLoad is the progress of one engine's change to new weights, kept by the holder of the order lease.
type weightLoad struct {
	model      string
	phase      issuer.Phase
	phaseSince time.Time
	// targetVersion is the ordered version. It is zero before an order was sent.
	targetVersion int64
	// nextCallAt is the earliest time of the next call.
	nextCallAt time.Time
}

// currentPhase returns the phase of an engine. An engine without a weightLoad is serving.
func (st *weightLoad) currentPhase() issuer.Phase {
	if st == nil {
		return issuer.Serving
	}
	return st.phase
}

// engineCall is a call to an engine that is due now.
type engineCall struct {
	endpoint      *fleet.Endpoint
	model         string
	targetVersion int64
	phase         issuer.Phase
}

// advanceLoads performs the next step of each engine's change to new weights.
func (g *Gateway) advanceLoads() {
	now := g.now()
	g.mu.Lock()
	g.dropFinishedLoads(now)
	g.startDrains(now)
	calls := g.dueCalls(now)
	g.mu.Unlock()
	for _, call := range calls {
		go g.callEngine(call)
	}
}

// dropFinishedLoads removes the loads of engines that run the ordered version or have left. The caller holds the lock.
func (g *Gateway) dropFinishedLoads(now time.Time) {
	for id, st := range g.weightLoads {
		e := g.endpoints.Get(id)
		if e == nil {
			g.endLoad(id)
			continue
		}
		version := g.placer.KnownVersion(e, st.model)
		if st.phase == issuer.Loading && version >= st.targetVersion {
			took := now.Sub(st.phaseSince)
			g.loadDurationEstimate.addLoad(took)
			g.log.info(partOrder).Str("endpoint", id).Int64("version", version).Dur("took_ms", took).Msg("weights loaded")
			g.endLoad(id)
		}
	}
}

// endLoad returns an engine to service and requests a digest that announces it. The caller holds the lock.
func (g *Gateway) endLoad(id string) {
	delete(g.weightLoads, id)
	g.requestDigest()
}

// startDrains selects the engines to load next and keeps new requests from them. The caller holds the lock.
func (g *Gateway) startDrains(now time.Time) {
	for model := range g.announcements {
		engines := g.enginesServing(model)
		view := make([]issuer.Engine, 0, len(engines))
		for _, e := range engines {
			view = append(view, issuer.Engine{
				ID:         e.ID,
				DataCentre: e.DataCentre,
				Version:    g.placer.KnownVersion(e, model),
				Load:       g.placer.Running(e.ID),
				Phase:      g.weightLoads[e.ID].currentPhase(),
			})
		}
		for _, id := range issuer.Choose(view, g.newestVersion(model), issuer.LoadsFor(len(engines))) {
			g.weightLoads[id] = &weightLoad{model: model, phase: issuer.Draining, phaseSince: now}
			g.requestDigest()
		}
	}
}

// dueCalls returns the engines to call now: drained ones, as far as loads may begin, and those whose load should have
// ended. The caller holds the lock.
func (g *Gateway) dueCalls(now time.Time) []engineCall {
	var calls []engineCall
	for model := range g.announcements {
		engines := g.enginesServing(model)
		free := issuer.LoadsFor(len(engines)).AtOnce - g.loadsUnderWay(engines, now)
		for _, e := range engines {
			st := g.weightLoads[e.ID]
			if st == nil || now.Before(st.nextCallAt) {
				continue
			}
			switch {
			case st.phase == issuer.Draining && free > 0 && g.isDrained(e, st, now):
				free--
			case st.phase == issuer.Loading && now.Sub(st.phaseSince) > g.loadDurationEstimate.firstReport():
			default:
				continue
			}
			st.nextCallAt = now.Add(engineCallTimeout)
			calls = append(calls, engineCall{endpoint: e, model: model, targetVersion: g.newestVersion(model), phase: st.phase})
		}
	}
	return calls
}

// loadsUnderWay returns the number of loads that are expected to be still running. The caller holds the lock.
func (g *Gateway) loadsUnderWay(engines []*fleet.Endpoint, now time.Time) int {
	n := 0
	for _, e := range engines {
		if st := g.weightLoads[e.ID]; st.currentPhase() == issuer.Loading && now.Sub(st.phaseSince) < g.loadDurationEstimate.estimate() {
			n++
		}
	}
	return n
}

// enginesOutOfService returns the ids of the engines that this VM, as the lease holder, drains or loads. The caller
// holds the lock.
func (g *Gateway) enginesOutOfService() []string {
	return slices.Sorted(maps.Keys(g.weightLoads))
}

// isDrained reports whether an engine has received no new requests for long enough. The caller holds the lock.
func (g *Gateway) isDrained(e *fleet.Endpoint, st *weightLoad, now time.Time) bool {
	age := now.Sub(st.phaseSince)
	return age > maxDrainTime || age > maxDigestInterval && g.placer.Running(e.ID) == 0
}

// callEngine requests an engine's report and sends the order if one is due.
func (g *Gateway) callEngine(call engineCall) {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	report, err := g.platform.Engines.Report(ctx, call.endpoint)
	now := g.now()
	if err != nil {
		g.log.info(partOrder).Str("endpoint", call.endpoint.ID).Err(err).Msg("engine did not report")
		g.mu.Lock()
		defer g.mu.Unlock()
		g.postponeCall(call.endpoint.ID, now.Add(engineRetryDelay))
		return
	}
	g.mu.Lock()
	g.placer.RecordVersion(call.endpoint, call.model, report.Versions[call.model])
	st := g.weightLoads[call.endpoint.ID]
	reorder := call.phase == issuer.Loading && !report.Busy && st != nil && now.Sub(st.phaseSince) > loadTimeout
	wanted := call.phase == issuer.Draining && !report.Busy || reorder
	wanted = wanted && report.Versions[call.model] < call.targetVersion
	if !wanted {
		g.postponeCall(call.endpoint.ID, now.Add(reportInterval))
	}
	g.mu.Unlock()
	if wanted {
		g.sendOrder(call, report.Sequence)
	}
}

// postponeCall sets the time of the next call to an engine. The caller holds the lock.
func (g *Gateway) postponeCall(id string, at time.Time) {
	if st := g.weightLoads[id]; st != nil {
		st.nextCallAt = at
	}
}

// sendOrder orders an engine to load the announced version if this VM still holds the lease.
func (g *Gateway) sendOrder(call engineCall, sequence int64) {
	confirmed := g.confirmClaim()
	g.mu.Lock()
	now := g.now()
	token, err := issuer.FencingToken(g.lease.Claim())
	allowed := err == nil && confirmed && g.lease.MayOrder(now) && !g.leaving.Load()
	if allowed {
		g.lease.Ordered(now)
	} else {
		g.postponeCall(call.endpoint.ID, now.Add(claimRetryDelay))
	}
	g.mu.Unlock()
	if !allowed {
		if confirmed && err != nil {
			g.log.warn(partOrder).Str("endpoint", call.endpoint.ID).Err(err).Msg("no order can be given")
		}
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	result, err := g.platform.Engines.Order(ctx, call.endpoint, Order{
		Model: call.model, Version: call.targetVersion, Holder: g.settings.VM, Token: token, Expected: sequence,
	})
	now = g.now()
	g.metrics.count("orders_total")
	line := g.log.info(partOrder).Str("endpoint", call.endpoint.ID).Str("model", call.model).Int64("version", call.targetVersion).
		Int64("token", token).Int64("expected", sequence).Str("result", result.String())
	if err != nil {
		line.Err(err)
	}
	line.Msg("order given")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordOrderResult(call, result, now)
}

// recordOrderResult applies the result of an order. The caller holds the lock.
func (g *Gateway) recordOrderResult(call engineCall, result OrderResult, now time.Time) {
	st := g.weightLoads[call.endpoint.ID]
	if st == nil {
		return
	}
	switch result {
	case OrderAccepted, OrderUnknown:
		// An order without an answer may take effect, also later; the expected sequence number prevents a repeated order from
		// loading twice.
		st.phase = issuer.Loading
		st.phaseSince = now
		st.targetVersion = call.targetVersion
		st.nextCallAt = now
	case OrderAlreadyApplied:
		g.placer.RecordVersion(call.endpoint, call.model, call.targetVersion)
		g.endLoad(call.endpoint.ID)
	case OrderConflict:
		st.nextCallAt = now.Add(reportInterval)
	case OrderRefused:
		st.nextCallAt = now.Add(engineRetryDelay)
	case OrderFenced:
		g.lease.Fenced()
	}
}
