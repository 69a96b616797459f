package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// orderPause is the pause between two looks at what is due.
	orderPause = 100 * time.Millisecond
	// orderTimeout bounds an order or a report.
	orderTimeout = 400 * time.Millisecond
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
	// holderSilence is the age of the holder's last digest at which another VM claims.
	holderSilence = 1100 * time.Millisecond
	// sameStart is the difference of two start times up to which the VMs count as started together.
	sameStart = 2 * time.Second
	// settledAfter is the uptime from which a VM may hold the right to give orders before older ones.
	settledAfter = 2 * time.Second
	// claimRetry is the pause after a claim that could not be confirmed.
	claimRetry = 300 * time.Millisecond
	// holderKey is the key of the claims.
	holderKey = "orders"
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

// claimRecord is the value of a claim.
type claimRecord struct {
	VM   string `json:"vm"`
	Boot uint64 `json:"boot"`
}

// giveOrders brings the engines to the named versions while this VM holds the right to do so.
func (g *Gateway) giveOrders() {
	for g.sleep(orderPause) {
		now := steady.Now()
		g.mu.Lock()
		step := g.right.Next(g.situation(now), now)
		g.mu.Unlock()
		switch step {
		case issuer.Idle:
		case issuer.ClaimIt:
			g.claimOrders()
		case issuer.Act:
			g.advanceLoads()
		}
	}
}

// situation returns what the right to give orders depends on. The caller holds the lock.
func (g *Gateway) situation(now time.Time) issuer.Situation {
	s := issuer.Situation{
		Self:      g.settings.VM,
		Boot:      g.boot,
		Pending:   g.ordersDue() && !g.leaving.Load(),
		Reachable: g.storeAge(now) < storeFresh,
		Holder:    g.claim,
		First:     g.comesFirst(now),
	}
	if p := g.peers[g.claim.Holder]; p != nil {
		s.HolderAble = p.holds(g.claim, now)
	}
	if !s.Pending {
		clear(g.loads)
		g.loading = nil
	}
	return s
}

// holds reports whether the peer made a claim and is able to use it.
func (p *peerState) holds(claim issuer.Claim, now time.Time) bool {
	return p.boot == claim.Boot && p.able(now) && now.Sub(p.heard) < holderSilence
}

// comesFirst reports whether this VM is the one that acts where one has to. The caller holds the lock.
func (g *Gateway) comesFirst(now time.Time) bool {
	for _, p := range g.peers {
		if p.able(now) && g.before(p, now) {
			return false
		}
	}
	return true
}

// before reports whether a peer comes before this VM as the next holder. In a rolling restart those that have
// restarted already stay, so a VM that started clearly later comes first; otherwise the name decides.
func (g *Gateway) before(p *peerState, now time.Time) bool {
	later := p.started.Sub(g.started)
	settled := now.Sub(p.started) > settledAfter
	switch {
	case later > sameStart:
		return settled
	case later < -sameStart:
		return now.Sub(g.started) <= settledAfter
	}
	return p.vm < g.settings.VM
}

// ordersDue reports whether an engine runs an older version than the one named. The caller holds the lock.
func (g *Gateway) ordersDue() bool {
	for model := range g.named {
		for _, e := range g.enginesOf(model) {
			if g.placer.KnownVersion(e, model) < g.newestOf(model) {
				return true
			}
		}
	}
	return false
}

// enginesOf returns the usable endpoints that serve a model. The caller holds the lock.
func (g *Gateway) enginesOf(model string) []*fleet.Endpoint {
	c := g.config.Load()
	if c == nil {
		return nil
	}
	var out []*fleet.Endpoint
	for name, s := range c.Services {
		if s.Engine != nil && slices.Contains(s.Engine.Models, model) {
			out = append(out, g.endpoints.Usable(name)...)
		}
	}
	return out
}

// newestClaim reads the newest claim and the end of the claims.
func (g *Gateway) newestClaim() (claim issuer.Claim, end int64, err error) {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout*2)
	defer cancel()
	records, end, err := g.platform.Store.Newest(ctx, HolderStream)
	if err != nil {
		return issuer.Claim{}, 0, err
	}
	claim.Token = -1
	for _, r := range records {
		var value claimRecord
		if r.Key != holderKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &value); err != nil {
			g.book.warn(partOrder).Int64("offset", r.Offset).Err(err).Msg("claim is unreadable")
		}
		claim = issuer.Claim{Holder: value.VM, Boot: value.Boot, Token: r.Offset}
	}
	return claim, end, nil
}

// confirmClaim reads the newest claim. It reports whether orders may be given now.
func (g *Gateway) confirmClaim() bool {
	started := steady.Now()
	g.mu.Lock()
	fresh := g.right.MayOrder(started)
	g.mu.Unlock()
	if fresh {
		return true
	}
	claim, _, err := g.newestClaim()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.storeFailedAt = steady.Now()
		g.book.warn(partOrder).Err(err).Msg("claim not confirmed")
		return false
	}
	g.claim = claim
	g.right.Confirmed(claim, started)
	if claim.Token != g.right.Token() {
		g.book.line(partOrder).Str("holder", claim.Holder).Int64("token", claim.Token).Msg("right to give orders lost")
	}
	return g.right.MayOrder(steady.Now())
}

// claimOrders claims the right to give orders, unless its holder is able to use it.
func (g *Gateway) claimOrders() {
	claim, end, err := g.newestClaim()
	now := steady.Now()
	g.mu.Lock()
	if err == nil {
		g.claim = claim
		err = g.mayClaim(claim, now)
	}
	g.mu.Unlock()
	var token int64
	if err == nil {
		token, err = g.appendClaim(end)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now = steady.Now()
	if err != nil {
		g.right.Failed(now)
		g.book.line(partOrder).Err(err).Msg("right to give orders not claimed")
		return
	}
	before, lastOrder := g.holderBefore(claim, now)
	g.right.Claimed(token, before, lastOrder, now)
	g.claim = issuer.Claim{Holder: g.settings.VM, Boot: g.boot, Token: token}
	g.book.line(partOrder).Int64("token", token).Str("before", claim.Holder).Int("known", int(before)).
		Msg("right to give orders claimed")
}

// holderBefore returns what is known of the holder of an older claim. The caller holds the lock.
func (g *Gateway) holderBefore(claim issuer.Claim, now time.Time) (issuer.Before, time.Time) {
	if claim.Token < 0 {
		return issuer.Nobody, now
	}
	p := g.peers[claim.Holder]
	if p != nil && p.boot == claim.Boot && p.leaving {
		return issuer.Stopped, p.lastOrder
	}
	return issuer.Unsure, now
}

// errHolderAble means that the holder of the newest claim can use it.
var errHolderAble = errors.New("gateway: the holder is able to give orders")

// mayClaim checks the newest claim as just read. The caller holds the lock.
func (g *Gateway) mayClaim(claim issuer.Claim, now time.Time) error {
	p := g.peers[claim.Holder]
	if p != nil && p.holds(claim, now) {
		return errHolderAble
	}
	return nil
}

func (g *Gateway) appendClaim(end int64) (int64, error) {
	value, err := json.Marshal(claimRecord{VM: g.settings.VM, Boot: g.boot})
	if err != nil {
		// The type has no field that JSON cannot hold.
		panic(err)
	}
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout*2)
	defer cancel()
	return g.platform.Store.Append(ctx, HolderStream, holderKey, value, end)
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
