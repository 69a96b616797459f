package route

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Options configure a Placer.
type Options struct {
	// Policy selects the picker. Default PolicyDelay.
	Policy Policy
	// Seed makes chance reproducible. VMs should differ.
	Seed uint64
	// PrefixHashBlocks is the number of blocks that PolicyPrefixHash hashes. Default 4.
	PrefixHashBlocks int
	// Transfer describes imports from the cache store.
	Transfer TransferCosts
	// NoSpread turns the spreading of hot prefixes off, for measurement.
	NoSpread bool
	// NoCoalesce turns waiting behind a first computation off, for measurement.
	NoCoalesce bool
}

const (
	defaultPrefixHashBlocks = 4
	// maxCoalesceWait bounds the wait behind another request's computation, since that request may fail.
	maxCoalesceWait = 2 * time.Second
	// minCoalesceBlocks is the least number of shared blocks worth a wait.
	minCoalesceBlocks = 2
	// A request that was never reported done is dropped after this time.
	maxPendingAge = 10 * time.Minute
	// Learned state of endpoints that are not in any view is dropped above this number.
	maxStates = 4096
)

// Placer chooses the endpoint of each request of one VM and learns from the outcome. It is safe for one
// goroutine.
type Placer struct {
	options Options
	filters []Filter
	picker  Picker
	random  *rand.Rand
	states  map[string]*endpointState
	pending map[uint64]*pending
	// held are the requests that wait behind a first computation.
	held     map[uint64]hold
	prefixes prefixes
	swept    time.Time
}

// hold is a request that waits. It counts as load of the endpoint, since it will soon be sent there.
type hold struct {
	endpoint string
	until    time.Time
}

// NewPlacer returns a placer. The error names an unknown policy.
func NewPlacer(options Options) (*Placer, error) {
	options.Policy = cmp.Or(options.Policy, PolicyDelay)
	options.PrefixHashBlocks = cmp.Or(options.PrefixHashBlocks, defaultPrefixHashBlocks)
	options.Transfer.BaseMicros = cmp.Or(options.Transfer.BaseMicros, defaultTransferBaseMicros)
	options.Transfer.MicrosPerBlock = cmp.Or(options.Transfer.MicrosPerBlock, defaultTransferMicrosPerBlock)
	p := &Placer{
		options:  options,
		filters:  []Filter{servesFilter{}, excludeFilter{}, reservedFilter{}},
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		states:   make(map[string]*endpointState),
		pending:  make(map[uint64]*pending),
		held:     make(map[uint64]hold),
		prefixes: prefixes{table: make(map[uint64]*prefix)},
	}
	switch options.Policy {
	case PolicyDelay:
		p.picker = &delayPicker{random: p.random}
	case PolicyRoundRobin:
		p.picker = &roundRobinPicker{}
	case PolicyLeastLoad:
		p.picker = &leastLoadPicker{random: p.random}
	case PolicyPrefixHash:
		p.picker = &prefixHashPicker{blocks: options.PrefixHashBlocks, random: p.random}
	default:
		return nil, fmt.Errorf("unknown placement policy %q", options.Policy)
	}
	return p, nil
}

// Place chooses an endpoint. The caller reports Sent when it sends the request there.
func (p *Placer) Place(r Request, v View, now time.Time) Placement {
	p.release(r.ID, now)
	candidates := p.candidates(&r, &v, now)
	if len(candidates) == 0 {
		return Placement{}
	}
	p.score(candidates, &r, &v, now)
	c := &candidates[p.picker.Pick(candidates, &r)]
	queue := millis(c.Queue)
	work := c.state.computeMillis(&r, len(r.Hashes)-c.Import) + p.options.Transfer.millis(c.Import-c.Matched)
	out := Placement{
		Endpoint:    c.Name,
		Incarnation: c.Incarnation,
		Matched:     c.Matched,
		Import:      c.Import,
		Missing:     len(r.Hashes) - c.Import,
		Expected:    queue + millis(work),
		Queue:       queue,
	}
	if p.options.Policy == PolicyDelay && !p.options.NoCoalesce {
		out.Behind, out.Wait = p.computing(c, &r, now)
	}
	if out.Wait > 0 {
		p.held[r.ID] = hold{c.Name, now.Add(out.Wait)}
		c.state.held++
	}
	return out
}

// release ends the hold of a request, and holds that are over and were not followed by another Place.
func (p *Placer) release(id uint64, now time.Time) {
	for other, h := range p.held {
		if other == id || now.Sub(h.until) > maxCoalesceWait {
			delete(p.held, other)
			p.states[h.endpoint].held--
		}
	}
}

// candidates returns the endpoints that pass the filters, by name.
func (p *Placer) candidates(r *Request, v *View, now time.Time) []Candidate {
	out := make([]Candidate, 0, len(v.Endpoints))
	for _, e := range v.Endpoints {
		state := p.state(e.Name, e.Incarnation)
		others := state.others(&e, v.Peers, now)
		c := Candidate{
			Endpoint: e,
			InFlight: others + float64(len(state.own)),
			state:    state,
		}
		if e.DataCentre != v.DataCentre {
			c.Distance = otherDataCentreMillis
		}
		if !p.keep(&c, r) {
			continue
		}
		sent := len(state.own) - state.ownAt(e.Load.MeasuredAt)
		c.ReportedLoad = float64(e.Load.Running + e.Load.Waiting + max(sent, 0))
		if v.Cache != nil {
			c.Matched = v.Cache.Match(e.Name, r.Hashes, now)
		}
		c.Import = p.importDepth(&c, r)
		c.Queue = state.queueMillis(&e, r, others, now)
		out = append(out, c)
	}
	byName := func(a, b Candidate) int { return cmp.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(out, byName) {
		slices.SortFunc(out, byName)
	}
	return out
}

func (p *Placer) keep(c *Candidate, r *Request) bool {
	for _, f := range p.filters {
		if !f.Keep(c, r) {
			return false
		}
	}
	return true
}

// importDepth returns the number of leading blocks present after an import from the cache store, where that is
// faster than computing them.
func (p *Placer) importDepth(c *Candidate, r *Request) int {
	extra := min(r.StoreBlocks, len(r.Hashes)) - c.Matched
	if extra <= 0 {
		return c.Matched
	}
	compute := c.state.computeMillis(r, extra) - c.state.computeMillis(r, 0)
	if p.options.Transfer.millis(extra) >= compute {
		return c.Matched
	}
	return c.Matched + extra
}

func (p *Placer) score(candidates []Candidate, r *Request, v *View, now time.Time) {
	if p.options.Policy != PolicyDelay {
		return
	}
	var hot *spread
	if !p.options.NoSpread {
		hot = p.prefixes.plan(r, candidates, v.Peers, p.random, now)
	}
	scorers := [...]Scorer{
		queueScorer{},
		computeScorer{},
		loadScorer{},
		transferScorer{p.options.Transfer},
		distanceScorer{},
		spreadScorer{hot},
	}
	for i := range candidates {
		for _, s := range scorers {
			candidates[i].Score += s.Score(&candidates[i], r)
		}
	}
}

// computing finds an own request on the endpoint that computes blocks which r shares, and the time until it is
// expected to have done so.
func (p *Placer) computing(c *Candidate, r *Request, now time.Time) (uint64, time.Duration) {
	var behind uint64
	var wait time.Duration
	for _, q := range c.state.own {
		if !q.first.IsZero() || q.blocks == 0 {
			continue
		}
		if common(q.hashes, r.Hashes)-q.matched < minCoalesceBlocks {
			continue
		}
		left := q.sent.Add(q.expected).Sub(now)
		if left > wait {
			behind, wait = q.id, left
		}
	}
	return behind, min(wait, max(maxCoalesceWait-r.Held, 0))
}

// common returns the length of the common prefix. Equal hashes at one position mean equal hashes before it, so a
// binary search does.
func common(a, b []uint64) int {
	low, high := 0, min(len(a), len(b))
	for low < high {
		middle := (low + high + 1) / 2
		if a[middle-1] == b[middle-1] {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// Sent records that the request was sent as placed. Hashes are kept until Done. An earlier attempt of the request
// counts as done.
func (p *Placer) Sent(r Request, placed Placement, now time.Time) {
	p.sweep(now)
	p.Done(r.ID, false, now)
	state := p.state(placed.Endpoint, "")
	q := &pending{
		id:       r.ID,
		endpoint: placed.Endpoint,
		hashes:   r.Hashes,
		matched:  placed.Import,
		sent:     now,
		expected: placed.Expected,
		queue:    placed.Queue.Seconds() * millisPerSecond,
		work:     (placed.Expected - placed.Queue).Seconds() * millisPerSecond,
		blocks:   placed.Missing,
		base:     baseMillis(&r, placed.Missing),
	}
	p.pending[r.ID] = q
	state.sent(q, now)
}

// FirstToken records the first token of a request.
func (p *Placer) FirstToken(id uint64, now time.Time) {
	q := p.pending[id]
	if q == nil || !q.first.IsZero() {
		return
	}
	p.states[q.endpoint].firstToken(q, now)
}

// Done records the end of a request on its endpoint. ok tells that the answer was complete. It must follow every
// Sent, also after an error.
func (p *Placer) Done(id uint64, ok bool, now time.Time) {
	q := p.pending[id]
	if q == nil {
		return
	}
	delete(p.pending, id)
	p.states[q.endpoint].done(q, ok, now)
}

// InFlight returns the number of this VM's requests on an endpoint, for heartbeats.
func (p *Placer) InFlight(endpoint string) int {
	if s := p.states[endpoint]; s != nil {
		return len(s.own)
	}
	return 0
}

// Prefill returns the expected time until the prompts of this VM's requests on an endpoint are computed, for peers.
func (p *Placer) Prefill(endpoint string, now time.Time) time.Duration {
	if s := p.states[endpoint]; s != nil {
		return max(s.busyUntil.Sub(now), 0)
	}
	return 0
}

// state returns what is known of an endpoint. A new incarnation starts with the requests still open on the old
// one, which end soon with an error.
func (p *Placer) state(name, incarnation string) *endpointState {
	s := p.states[name]
	if s == nil {
		s = newEndpointState(incarnation)
		p.states[name] = s
		return s
	}
	if incarnation != "" && s.incarnation != incarnation {
		fresh := newEndpointState(incarnation)
		fresh.own = s.own
		fresh.history = s.history
		fresh.held = s.held
		p.states[name] = fresh
		return fresh
	}
	return s
}

// sweep drops requests that were never reported done, and states of endpoints without requests when there are
// too many.
func (p *Placer) sweep(now time.Time) {
	if now.Sub(p.swept) < time.Minute {
		return
	}
	p.swept = now
	for id, q := range p.pending {
		if now.Sub(q.sent) > maxPendingAge {
			p.Done(id, false, now)
		}
	}
	for name, s := range p.states {
		if len(p.states) > maxStates && len(s.own) == 0 && s.held == 0 {
			delete(p.states, name)
		}
	}
}
