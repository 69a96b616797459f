package order

import (
	"maps"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
)

// Planner decides the orders of the VM that holds the lease "orders". It compares the configuration with the engine
// states at each Plan, so that the effect of any lost, late or foreign order is corrected. It is not safe for
// concurrent use.
type Planner struct {
	s        Settings
	versions *Versions
	right    Right
	// superseded is the highest fencing number with which an order was refused as old, or -1.
	superseded int64
	// flights holds the order in progress on each endpoint.
	flights map[string]*flight
	// paused holds the time until which an endpoint gets no order after a failed one.
	paused map[string]time.Time
	// unwanted holds the time at which a loaded version was first seen without use.
	unwanted map[held]time.Time
	// blocked holds the models whose load waits for capacity.
	blocked map[string]bool
}

// flight is an order in progress.
type flight struct {
	order       Order
	firstSent   time.Time
	lastSent    time.Time
	incarnation string
	// repeatAt is the time at which the order is sent again. It is far away once the engine accepted.
	repeatAt time.Time
}

// held names a version on an endpoint.
type held struct {
	endpoint string
	loaded   Loaded
}

// NewPlanner returns a planner without the right to issue orders.
func NewPlanner(s Settings) *Planner {
	s = s.withDefaults()
	return &Planner{
		s:          s,
		versions:   NewVersions(s.StaleAfter),
		superseded: -1,
		flights:    make(map[string]*flight),
		paused:     make(map[string]time.Time),
		unwanted:   make(map[held]time.Time),
		blocked:    make(map[string]bool),
	}
}

// Versions returns the choice of versions that Plan keeps up to date.
func (p *Planner) Versions() *Versions {
	return p.versions
}

// ReadyVersion returns the version to route requests of a model to.
func (p *Planner) ReadyVersion(model string) string {
	return p.versions.ReadyVersion(model)
}

// SetRight tells whether this VM may issue orders and since when. Orders in progress are kept while the right rests,
// and forgotten under a new claim; what they did shows in the engine states.
func (p *Planner) SetRight(r Right) {
	if !r.Held {
		p.right.Held = false
		return
	}
	if r.Fence != p.right.Fence {
		clear(p.flights)
		clear(p.paused)
	}
	p.right = r
}

// Superseded reports whether an engine refused an order of the present right as old. The issuer then waits for a
// newer claim of its own.
func (p *Planner) Superseded() bool {
	return p.right.Held && p.superseded >= p.right.Fence
}

// Blocked lists the models whose version in force waits, at the last Plan, since a load would leave too few ready
// endpoints.
func (p *Planner) Blocked() []string {
	return slices.Sorted(maps.Keys(p.blocked))
}

// Plan returns the orders to send now. Report what became of each with Reply; an order without a reply counts as
// lost and is repeated. Call Plan a few times a second.
func (p *Planner) Plan(state State, observed Observed, now time.Time) []Order {
	f := newFleet(state, observed, p.s.StaleAfter, now)
	p.versions.observe(f)
	clear(p.blocked)
	if !p.right.Held || p.Superseded() {
		return nil
	}
	p.settle(f, now)
	orders := p.repeats(f, now)
	orders = append(orders, p.loads(f, now)...)
	return append(orders, p.unloads(f, now)...)
}

// Reply reports what became of an order that was sent.
func (p *Planner) Reply(o Order, outcome Outcome, now time.Time) {
	if outcome == OutcomeStale {
		p.superseded = max(p.superseded, o.Fence)
		return
	}
	fl := p.flights[o.Endpoint]
	if fl == nil || fl.order != o {
		return
	}
	switch outcome {
	case OutcomeAccepted:
		fl.repeatAt = fl.firstSent.Add(p.s.LoadTimeout)
	case OutcomeFailed:
		delete(p.flights, o.Endpoint)
		p.paused[o.Endpoint] = now.Add(p.s.RetryAfter)
	}
}

// settle ends the orders that took effect, timed out or concern endpoints that no longer exist.
func (p *Planner) settle(f *fleet, now time.Time) {
	for name, fl := range p.flights {
		e := f.engine(name)
		switch {
		case e == nil || p.done(fl, e):
			delete(p.flights, name)
		case now.Sub(fl.firstSent) >= p.s.LoadTimeout && now.Sub(fl.lastSent) >= p.s.OrderTimeout+p.s.LoadTime:
			// The newest copy of the order may have started a load, so its place is kept until that has ended.
			delete(p.flights, name)
			p.paused[name] = now.Add(p.s.RetryAfter)
		case e.reading != nil && e.reading.Incarnation != fl.incarnation:
			// The engine restarted and may have forgotten the order.
			fl.incarnation = e.reading.Incarnation
			fl.repeatAt = now
		}
	}
}

// done reports whether the engine's state shows the effect of an order.
func (p *Planner) done(fl *flight, e *engine) bool {
	if e.reading == nil {
		return false
	}
	holds := e.holds(fl.order.Model, fl.order.Version)
	if fl.order.Kind == KindLoad {
		return holds && e.reading.ReadAt.After(fl.firstSent)
	}
	return !holds && !e.reading.ReadAt.Before(fl.firstSent.Add(p.s.StateLag))
}

// repeats sends orders again whose reply was lost, as long as they are still wanted.
func (p *Planner) repeats(f *fleet, now time.Time) []Order {
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(p.flights)) {
		fl := p.flights[name]
		m := f.models[fl.order.Model]
		wanted := m != nil && (fl.order.Kind == KindUnload) == (fl.order.Version != m.Version)
		wanted = wanted && now.Sub(fl.firstSent) < p.s.LoadTimeout
		if !wanted || now.Before(fl.repeatAt) || !p.mayOrder(f.engine(name), now) {
			continue
		}
		fl.lastSent = now
		fl.repeatAt = now.Add(p.s.OrderTimeout)
		orders = append(orders, fl.order)
	}
	return orders
}

// mayOrder reports whether an order may go to an endpoint now. An endpoint that does not check fencing numbers gets
// none until no order of the earlier issuer can arrive, and until its state was read after that.
func (p *Planner) mayOrder(e *engine, now time.Time) bool {
	if e == nil || !e.fresh || e.endpoint.Leaving || now.Before(p.paused[e.endpoint.Name]) {
		return false
	}
	if e.endpoint.ChecksFencing {
		return e.reading.LastFence <= p.right.Fence
	}
	if p.right.Takeover == TakeoverFirst {
		return true
	}
	quiet := p.right.Since.Add(p.s.OrderTimeout)
	if p.right.Takeover == TakeoverLapsed {
		quiet = quiet.Add(p.s.RightLapse)
	}
	return !now.Before(quiet) && !e.reading.ReadAt.Before(quiet.Add(p.s.StateLag))
}

// loads starts loads of the versions in force on endpoints that lack them.
func (p *Planner) loads(f *fleet, now time.Time) []Order {
	if p.right.Takeover != TakeoverFirst && now.Before(p.right.Since.Add(p.s.OrderTimeout+p.s.LoadTime)) {
		// Loads of the earlier issuer may be in progress and do not show in the engine states.
		return nil
	}
	var orders []Order
	for _, c := range p.candidates(f, now) {
		if p.loading() >= p.s.MaxLoads {
			break
		}
		if p.flights[c.engine.endpoint.Name] != nil {
			continue
		}
		if !p.capacity(f, c) {
			p.blocked[c.model.Name] = true
			continue
		}
		orders = append(orders, p.start(c.engine, KindLoad, c.model.Name, c.model.Version, now))
	}
	return orders
}

// candidate is a load that is wanted.
type candidate struct {
	engine *engine
	model  *config.Model
	// spare tells that the engine serves no request of the model now.
	spare bool
}

// candidates lists the wanted loads, those that cost no capacity first.
func (p *Planner) candidates(f *fleet, now time.Time) []candidate {
	var list []candidate
	for i := range f.engines {
		e := &f.engines[i]
		if !p.mayOrder(e, now) {
			continue
		}
		for _, name := range e.endpoint.Models {
			m := f.models[name]
			if m == nil || e.holds(name, m.Version) {
				continue
			}
			list = append(list, candidate{engine: e, model: m, spare: !e.ready(name, p.versions.ReadyVersion(name))})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		switch {
		case a.spare == b.spare:
			return 0
		case a.spare:
			return -1
		}
		return 1
	})
	return list
}

// capacity reports whether enough endpoints of the routed version stay ready while the load runs. An engine that
// loads counts as not ready.
func (p *Planner) capacity(f *fleet, c candidate) bool {
	name := c.model.Name
	routed := p.versions.ReadyVersion(name)
	if c.spare {
		return true
	}
	left, loading := 0, false
	for i := range f.engines {
		e := &f.engines[i]
		busy := p.loadsOn(e.endpoint.Name)
		loading = loading || busy && e.serves(name)
		if e.ready(name, routed) && !busy && e != c.engine {
			left++
		}
	}
	need := f.minReady(c.model)
	if left >= need {
		return true
	}
	// Without an endpoint to spare the version could never change. An engine that keeps its old version until an
	// unload order may load all the same, one at a time in case it is slow meanwhile.
	return !p.s.LoadReplaces && !loading
}

// unloads drops versions that are neither in force nor routed to, from engines that hold the version in force.
func (p *Planner) unloads(f *fleet, now time.Time) []Order {
	var orders []Order
	seen := make(map[held]time.Time)
	for i := range f.engines {
		e := &f.engines[i]
		if e.reading == nil {
			continue
		}
		for _, l := range e.reading.Loaded {
			if !p.useless(f, e, l) {
				continue
			}
			key := held{endpoint: e.endpoint.Name, loaded: l}
			since, ok := p.unwanted[key]
			if !ok {
				since = now
			}
			seen[key] = since
			if now.Sub(since) < p.s.UnloadAfter || p.flights[e.endpoint.Name] != nil || !p.mayOrder(e, now) {
				continue
			}
			orders = append(orders, p.start(e, KindUnload, l.Model, l.Version, now))
		}
	}
	p.unwanted = seen
	return orders
}

func (p *Planner) useless(f *fleet, e *engine, l Loaded) bool {
	m := f.models[l.Model]
	if m == nil || l.Version == m.Version || l.Version == p.versions.ReadyVersion(l.Model) {
		return false
	}
	return e.holds(l.Model, m.Version)
}

func (p *Planner) start(e *engine, kind Kind, model, version string, now time.Time) Order {
	o := Order{
		Endpoint: e.endpoint.Name,
		Address:  e.endpoint.Address,
		Fence:    p.right.Fence,
		Kind:     kind,
		Model:    model,
		Version:  version,
	}
	p.flights[o.Endpoint] = &flight{
		order:       o,
		firstSent:   now,
		lastSent:    now,
		incarnation: e.reading.Incarnation,
		repeatAt:    now.Add(p.s.OrderTimeout),
	}
	return o
}

// loading counts the loads in progress.
func (p *Planner) loading() int {
	n := 0
	for name := range p.flights {
		if p.loadsOn(name) {
			n++
		}
	}
	return n
}

func (p *Planner) loadsOn(endpoint string) bool {
	fl := p.flights[endpoint]
	return fl != nil && fl.order.Kind == KindLoad
}

// engine returns the engine of an endpoint, or nil.
func (f *fleet) engine(name string) *engine {
	for i := range f.engines {
		if f.engines[i].endpoint.Name == name {
			return &f.engines[i]
		}
	}
	return nil
}
