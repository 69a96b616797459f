package order

import (
	"maps"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
)

// Planner decides the orders of the VM that holds the lease "orders". It compares the configuration with the engine
// states at each Plan, so that it corrects the effect of any lost, late or foreign order. It is not safe for concurrent
// use.
type Planner struct {
	settings Settings
	versions *Versions
	lease    IssuerLease
	// superseded is the highest fencing number with which an order was refused as stale, or -1.
	superseded int64
	// pendingOrders contains the order in progress by endpoint.
	pendingOrders map[string]*pendingOrder
	// pausedUntil contains, by endpoint, the time until which it receives no order after a failed one.
	pausedUntil map[string]time.Time
	// unusedSince contains the time at which a loaded version was first observed to be unused.
	unusedSince map[endpointVersion]time.Time
	// blocked contains the models whose load waits for capacity.
	blocked map[string]bool
}

// pendingOrder is an order in progress.
type pendingOrder struct {
	order       Order
	firstSent   time.Time
	lastSent    time.Time
	incarnation string
	// repeatAt is the time at which the order is sent again. Once the engine has accepted the order, it is the end of
	// LoadTimeout.
	repeatAt time.Time
}

// endpointVersion identifies a version loaded on an endpoint.
type endpointVersion struct {
	endpoint string
	loaded   Loaded
}

// NewPlanner returns a planner that does not hold the lease.
func NewPlanner(settings Settings) *Planner {
	settings = settings.withDefaults()
	return &Planner{
		settings:      settings,
		versions:      NewVersions(settings.StaleAfter),
		superseded:    -1,
		pendingOrders: make(map[string]*pendingOrder),
		pausedUntil:   make(map[string]time.Time),
		unusedSince:   make(map[endpointVersion]time.Time),
		blocked:       make(map[string]bool),
	}
}

// Versions returns the routed versions, which Plan keeps up to date.
func (p *Planner) Versions() *Versions {
	return p.versions
}

// ReadyVersion returns the version to route requests for a model to.
func (p *Planner) ReadyVersion(model string) string {
	return p.versions.ReadyVersion(model)
}

// SetLease records whether this VM may issue orders and since when. Pending orders are kept while the lease is not
// held, and dropped under a new claim; their effects show in the engine states.
func (p *Planner) SetLease(r IssuerLease) {
	if !r.Held {
		p.lease.Held = false
		return
	}
	if r.Fence != p.lease.Fence {
		clear(p.pendingOrders)
		clear(p.pausedUntil)
	}
	p.lease = r
}

// Superseded reports whether an engine refused an order under the present claim as stale. The issuer then waits until
// it holds a newer claim.
func (p *Planner) Superseded() bool {
	return p.lease.Held && p.superseded >= p.lease.Fence
}

// Blocked returns the models, sorted, whose configured version was not loaded at the last Plan because a load would
// leave too few ready endpoints.
func (p *Planner) Blocked() []string {
	return slices.Sorted(maps.Keys(p.blocked))
}

// Plan returns the orders to send now. The caller passes the outcome of each to Reply; an order without a reply counts
// as lost and is repeated. Plan is meant to be called a few times per second.
func (p *Planner) Plan(cfg Config, readings Readings, now time.Time) []Order {
	set := newEngineSet(cfg, readings, p.settings.StaleAfter, now)
	p.versions.observe(set)
	clear(p.blocked)
	if !p.lease.Held || p.Superseded() {
		return nil
	}
	p.dropFinished(set, now)
	orders := p.resendOrders(set, now)
	orders = append(orders, p.startLoads(set, now)...)
	return append(orders, p.startUnloads(set, now)...)
}

// Reply records the outcome of an order that was sent.
func (p *Planner) Reply(o Order, outcome Outcome, now time.Time) {
	if outcome == OutcomeStale {
		p.superseded = max(p.superseded, o.Fence)
		return
	}
	po := p.pendingOrders[o.Endpoint]
	if po == nil || po.order != o {
		return
	}
	switch outcome {
	case OutcomeAccepted:
		po.repeatAt = po.firstSent.Add(p.settings.LoadTimeout)
	case OutcomeFailed:
		delete(p.pendingOrders, o.Endpoint)
		p.pausedUntil[o.Endpoint] = now.Add(p.settings.RetryAfter)
	}
}

// dropFinished removes pending orders that took effect, timed out or concern endpoints that no longer exist.
func (p *Planner) dropFinished(set *engineSet, now time.Time) {
	for name, po := range p.pendingOrders {
		e := set.engine(name)
		switch {
		case e == nil || p.isFinished(po, e):
			delete(p.pendingOrders, name)
		case now.Sub(po.firstSent) >= p.settings.LoadTimeout &&
			now.Sub(po.lastSent) >= p.settings.OrderTimeout+p.settings.LoadTime:
			// The newest copy of the order may have started a load, so the order counts as pending until that load has
			// ended.
			delete(p.pendingOrders, name)
			p.pausedUntil[name] = now.Add(p.settings.RetryAfter)
		case e.reading != nil && e.reading.Incarnation != po.incarnation:
			// The engine restarted and may have lost the order.
			po.incarnation = e.reading.Incarnation
			po.repeatAt = now
		}
	}
}

// isFinished reports whether the engine's state shows the effect of an order.
func (p *Planner) isFinished(po *pendingOrder, e *engine) bool {
	if e.reading == nil {
		return false
	}
	holds := e.holds(po.order.Model, po.order.Version)
	if po.order.Kind == KindLoad {
		return holds && e.reading.ReadAt.After(po.firstSent)
	}
	return !holds && !e.reading.ReadAt.Before(po.firstSent.Add(p.settings.StateLag))
}

// resendOrders returns the pending orders whose reply was lost and that are still wanted, to be sent again.
func (p *Planner) resendOrders(set *engineSet, now time.Time) []Order {
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(p.pendingOrders)) {
		po := p.pendingOrders[name]
		m := set.models[po.order.Model]
		wanted := m != nil && (po.order.Kind == KindUnload) == (po.order.Version != m.Version)
		wanted = wanted && now.Sub(po.firstSent) < p.settings.LoadTimeout
		if !wanted || now.Before(po.repeatAt) || !p.mayOrder(set.engine(name), now) {
			continue
		}
		po.lastSent = now
		po.repeatAt = now.Add(p.settings.OrderTimeout)
		orders = append(orders, po.order)
	}
	return orders
}

// mayOrder reports whether an order may be sent to an endpoint now. An endpoint that does not check fencing numbers
// receives none until no order of the earlier issuer can arrive and its state was read after that.
func (p *Planner) mayOrder(e *engine, now time.Time) bool {
	if e == nil || !e.fresh || e.endpoint.Leaving || now.Before(p.pausedUntil[e.endpoint.Name]) {
		return false
	}
	if e.endpoint.ChecksFencing {
		return e.reading.LastFence <= p.lease.Fence
	}
	if p.lease.Takeover == TakeoverFirst {
		return true
	}
	safeAfter := p.lease.Since.Add(p.settings.OrderTimeout)
	if p.lease.Takeover == TakeoverLapsed {
		safeAfter = safeAfter.Add(p.settings.LeaseExpiry)
	}
	return !now.Before(safeAfter) && !e.reading.ReadAt.Before(safeAfter.Add(p.settings.StateLag))
}

// startLoads returns orders to load the configured versions on endpoints that lack them.
func (p *Planner) startLoads(set *engineSet, now time.Time) []Order {
	if p.lease.Takeover != TakeoverFirst && now.Before(p.lease.Since.Add(p.settings.OrderTimeout+p.settings.LoadTime)) {
		// Loads of the earlier issuer may be in progress without showing in the engine states.
		return nil
	}
	var orders []Order
	for _, c := range p.candidates(set, now) {
		if p.activeLoads() >= p.settings.MaxLoads {
			break
		}
		if p.pendingOrders[c.engine.endpoint.Name] != nil {
			continue
		}
		if !p.keepsEnoughReady(set, c) {
			p.blocked[c.model.Name] = true
			continue
		}
		orders = append(orders, p.startOrder(c.engine, KindLoad, c.model.Name, c.model.Version, now))
	}
	return orders
}

// candidate is a load that the configuration requires.
type candidate struct {
	engine *engine
	model  *config.Model
	// idle reports whether the engine can serve no request for the model now.
	idle bool
}

// candidates returns the required loads, those that cost no capacity first.
func (p *Planner) candidates(set *engineSet, now time.Time) []candidate {
	var list []candidate
	for i := range set.engines {
		e := &set.engines[i]
		if !p.mayOrder(e, now) {
			continue
		}
		for _, name := range e.endpoint.Models {
			m := set.models[name]
			if m == nil || e.holds(name, m.Version) {
				continue
			}
			list = append(list, candidate{engine: e, model: m, idle: !e.ready(name, p.versions.ReadyVersion(name))})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		switch {
		case a.idle == b.idle:
			return 0
		case a.idle:
			return -1
		}
		return 1
	})
	return list
}

// keepsEnoughReady reports whether enough endpoints of the routed version stay ready while the load runs. An engine
// that is loading counts as not ready.
func (p *Planner) keepsEnoughReady(set *engineSet, c candidate) bool {
	name := c.model.Name
	routed := p.versions.ReadyVersion(name)
	if c.idle {
		return true
	}
	left, loading := 0, false
	for i := range set.engines {
		e := &set.engines[i]
		busy := p.isLoading(e.endpoint.Name)
		loading = loading || busy && e.serves(name)
		if e.ready(name, routed) && !busy && e != c.engine {
			left++
		}
	}
	need := set.minReady(c.model)
	if left >= need {
		return true
	}
	// Without a spare endpoint the version could never change. An engine that keeps its old version until an unload
	// order may load nevertheless, one at a time because it may be slow meanwhile.
	return !p.settings.LoadReplaces && !loading
}

// startUnloads returns orders to unload versions that are neither configured nor routed to, from engines that hold the
// configured version.
func (p *Planner) startUnloads(set *engineSet, now time.Time) []Order {
	var orders []Order
	seen := make(map[endpointVersion]time.Time)
	for i := range set.engines {
		e := &set.engines[i]
		if e.reading == nil {
			continue
		}
		for _, l := range e.reading.Loaded {
			if !p.isUnused(set, e, l) {
				continue
			}
			key := endpointVersion{endpoint: e.endpoint.Name, loaded: l}
			since, ok := p.unusedSince[key]
			if !ok {
				since = now
			}
			seen[key] = since
			if now.Sub(since) < p.settings.UnloadAfter || p.pendingOrders[e.endpoint.Name] != nil || !p.mayOrder(e, now) {
				continue
			}
			orders = append(orders, p.startOrder(e, KindUnload, l.Model, l.Version, now))
		}
	}
	p.unusedSince = seen
	return orders
}

// isUnused reports whether a loaded version is neither configured nor routed to, on an engine that holds the configured
// version.
func (p *Planner) isUnused(set *engineSet, e *engine, l Loaded) bool {
	m := set.models[l.Model]
	if m == nil || l.Version == m.Version || l.Version == p.versions.ReadyVersion(l.Model) {
		return false
	}
	return e.holds(l.Model, m.Version)
}

// startOrder creates an order to an engine and records it as pending.
func (p *Planner) startOrder(e *engine, kind Kind, model, version string, now time.Time) Order {
	o := Order{
		Endpoint: e.endpoint.Name,
		Address:  e.endpoint.Address,
		Fence:    p.lease.Fence,
		Kind:     kind,
		Model:    model,
		Version:  version,
	}
	p.pendingOrders[o.Endpoint] = &pendingOrder{
		order:       o,
		firstSent:   now,
		lastSent:    now,
		incarnation: e.reading.Incarnation,
		repeatAt:    now.Add(p.settings.OrderTimeout),
	}
	return o
}

// activeLoads returns the number of loads in progress.
func (p *Planner) activeLoads() int {
	n := 0
	for name := range p.pendingOrders {
		if p.isLoading(name) {
			n++
		}
	}
	return n
}

// isLoading reports whether the pending order of an endpoint is a load.
func (p *Planner) isLoading(endpoint string) bool {
	po := p.pendingOrders[endpoint]
	return po != nil && po.order.Kind == KindLoad
}

// engine returns the engine of an endpoint, or nil.
func (set *engineSet) engine(name string) *engine {
	for i := range set.engines {
		if set.engines[i].endpoint.Name == name {
			return &set.engines[i]
		}
	}
	return nil
}
