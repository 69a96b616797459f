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
	// Seed seeds the random choices. VMs should have different seeds.
	Seed uint64
	// PrefixHashBlocks is the number of blocks that PolicyPrefixHash hashes. Default 4.
	PrefixHashBlocks int
	// Transfer is the cost of an import from the cache store.
	Transfer TransferCosts
	// NoSpread disables the replication of hot prefixes to several endpoints, for measurements.
	NoSpread bool
	// NoCoalesce disables holding a request back until another has computed the shared prefix, for measurements.
	NoCoalesce bool
}

const (
	defaultPrefixHashBlocks = 4
	// maxCoalesceWait limits how long a request is held back for another's prefill, since that request may fail.
	maxCoalesceWait = 2 * time.Second
	// minCoalesceBlocks is the number of shared blocks below which a request is not held back.
	minCoalesceBlocks = 2
	// maxPendingAge is the age at which a request without a call of RecordDone is dropped.
	maxPendingAge = 10 * time.Minute
	// maxEndpointStates is the number of endpoint states above which those without requests are dropped.
	maxEndpointStates = 4096
)

// Placer chooses the endpoint of each request of one VM and updates its estimates from the observed times. It is
// not safe for concurrent use.
type Placer struct {
	options Options
	filters []Filter
	picker  Picker
	random  *rand.Rand
	states  map[string]*endpointState
	pending map[uint64]*sentRequest
	// held contains the requests that are held back for another's prefill, by request ID.
	held      map[uint64]heldRequest
	prefixes  prefixTable
	lastSweep time.Time
}

// heldRequest is a request that is held back. It counts as load of the endpoint, since it will soon be sent there.
type heldRequest struct {
	endpoint string
	until    time.Time
}

// NewPlacer returns a Placer. It fails when the policy is unknown.
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
		pending:  make(map[uint64]*sentRequest),
		held:     make(map[uint64]heldRequest),
		prefixes: prefixTable{byHash: make(map[uint64]*prefixDemand)},
	}
	switch options.Policy {
	case PolicyDelay:
		p.picker = &delayPicker{random: p.random}
	case PolicyRoundRobin:
		p.picker = &roundRobinPicker{}
	case PolicyLeastLoad:
		p.picker = &leastLoadPicker{random: p.random}
	case PolicyPrefixHash:
		p.picker = &prefixHashPicker{prefixBlocks: options.PrefixHashBlocks, random: p.random}
	default:
		return nil, fmt.Errorf("unknown placement policy %q", options.Policy)
	}
	return p, nil
}

// Place chooses an endpoint. The caller must call RecordSent when it sends the request there.
func (p *Placer) Place(r Request, v View, now time.Time) Placement {
	p.releaseHolds(r.ID, now)
	candidates := p.eligibleCandidates(&r, &v, now)
	if len(candidates) == 0 {
		return Placement{}
	}
	p.scoreCandidates(candidates, &r, &v, now)
	c := &candidates[p.picker.Pick(candidates, &r)]
	queue := millisToDuration(c.QueueMillis)
	work := c.state.prefillMillis(&r, len(r.Hashes)-c.AvailableBlocks) + p.options.Transfer.importMillis(c.AvailableBlocks-c.MatchedBlocks)
	out := Placement{
		Endpoint:        c.Name,
		Incarnation:     c.Incarnation,
		MatchedBlocks:   c.MatchedBlocks,
		AvailableBlocks: c.AvailableBlocks,
		MissingBlocks:   len(r.Hashes) - c.AvailableBlocks,
		ExpectedTTFT:    queue + millisToDuration(work),
		QueueDelay:      queue,
	}
	if p.options.Policy == PolicyDelay && !p.options.NoCoalesce {
		out.WaitForRequest, out.Wait = p.findSharedPrefill(c, &r, now)
	}
	if out.Wait > 0 {
		p.held[r.ID] = heldRequest{c.Name, now.Add(out.Wait)}
		c.state.heldCount++
	}
	return out
}

// releaseHolds ends the hold of request id, and all holds that expired more than maxCoalesceWait ago without
// another call of Place.
func (p *Placer) releaseHolds(id uint64, now time.Time) {
	for other, h := range p.held {
		if other == id || now.Sub(h.until) > maxCoalesceWait {
			delete(p.held, other)
			p.states[h.endpoint].heldCount--
		}
	}
}

// eligibleCandidates returns the endpoints that pass the filters, sorted by name.
func (p *Placer) eligibleCandidates(r *Request, v *View, now time.Time) []Candidate {
	out := make([]Candidate, 0, len(v.Endpoints))
	for _, e := range v.Endpoints {
		state := p.stateFor(e.Name, e.Incarnation)
		others := state.otherRequests(&e, v.PeerCount, now)
		c := Candidate{
			Endpoint: e,
			InFlight: others + float64(len(state.ownRequests)),
			state:    state,
		}
		if e.DataCentre != v.DataCentre {
			c.NetworkMillis = crossDataCentreMillis
		}
		if !p.eligible(&c, r) {
			continue
		}
		sent := len(state.ownRequests) - state.ownCountAt(e.Load.MeasuredAt)
		c.ReportedLoad = float64(e.Load.Running + e.Load.Waiting + max(sent, 0))
		if v.Cache != nil {
			c.MatchedBlocks = v.Cache.Match(e.Name, r.Hashes, now)
		}
		c.AvailableBlocks = p.importDepth(&c, r)
		c.QueueMillis = state.queueMillis(&e, r, others, now)
		out = append(out, c)
	}
	byName := func(a, b Candidate) int { return cmp.Compare(a.Name, b.Name) }
	if !slices.IsSortedFunc(out, byName) {
		slices.SortFunc(out, byName)
	}
	return out
}

func (p *Placer) eligible(c *Candidate, r *Request) bool {
	for _, f := range p.filters {
		if !f.Eligible(c, r) {
			return false
		}
	}
	return true
}

// importDepth returns the number of leading blocks that the candidate holds after an import from the cache store,
// if the import is faster than computing them, or else the number of matched blocks.
func (p *Placer) importDepth(c *Candidate, r *Request) int {
	extra := min(r.StoreBlocks, len(r.Hashes)) - c.MatchedBlocks
	if extra <= 0 {
		return c.MatchedBlocks
	}
	compute := c.state.prefillMillis(r, extra) - c.state.prefillMillis(r, 0)
	if p.options.Transfer.importMillis(extra) >= compute {
		return c.MatchedBlocks
	}
	return c.MatchedBlocks + extra
}

// scoreCandidates sets the scores for PolicyDelay. The other policies need none.
func (p *Placer) scoreCandidates(candidates []Candidate, r *Request, v *View, now time.Time) {
	if p.options.Policy != PolicyDelay {
		return
	}
	var hot *spreadPlan
	if !p.options.NoSpread {
		hot = p.prefixes.planSpread(r, candidates, v.PeerCount, p.random, now)
	}
	scorers := [...]Scorer{
		queueScorer{},
		prefillScorer{},
		interferenceScorer{},
		transferScorer{p.options.Transfer},
		networkScorer{},
		spreadScorer{hot},
	}
	for i := range candidates {
		for _, s := range scorers {
			candidates[i].ScoreMillis += s.Score(&candidates[i], r)
		}
	}
}

// findSharedPrefill returns the request of this VM whose prefill on the endpoint computes blocks that r shares, and
// the expected time until it is done. Of several it returns the one that ends last.
func (p *Placer) findSharedPrefill(c *Candidate, r *Request, now time.Time) (uint64, time.Duration) {
	var behind uint64
	var wait time.Duration
	for _, q := range c.state.ownRequests {
		if !q.firstTokenAt.IsZero() || q.missingBlocks == 0 {
			continue
		}
		if commonPrefixLen(q.hashes, r.Hashes)-q.availableBlocks < minCoalesceBlocks {
			continue
		}
		left := q.sentAt.Add(q.expectedTTFT).Sub(now)
		if left > wait {
			behind, wait = q.id, left
		}
	}
	return behind, min(wait, max(maxCoalesceWait-r.HeldFor, 0))
}

// commonPrefixLen returns the length of the common prefix of two hash chains. Equal hashes at one position imply
// equal hashes before it, so a binary search suffices.
func commonPrefixLen(a, b []uint64) int {
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

// RecordSent records that the request was sent as placed. It retains the hashes until RecordDone. An earlier
// attempt of the request counts as done.
func (p *Placer) RecordSent(r Request, placed Placement, now time.Time) {
	p.sweep(now)
	p.RecordDone(r.ID, false, now)
	state := p.stateFor(placed.Endpoint, "")
	q := &sentRequest{
		id:               r.ID,
		endpoint:         placed.Endpoint,
		hashes:           r.Hashes,
		availableBlocks:  placed.AvailableBlocks,
		sentAt:           now,
		expectedTTFT:     placed.ExpectedTTFT,
		queueMillis:      placed.QueueDelay.Seconds() * millisPerSecond,
		workMillis:       (placed.ExpectedTTFT - placed.QueueDelay).Seconds() * millisPerSecond,
		missingBlocks:    placed.MissingBlocks,
		configuredMillis: configuredPrefillMillis(&r, placed.MissingBlocks),
	}
	p.pending[r.ID] = q
	state.addRequest(q, now)
}

// RecordFirstToken records the first token of a request.
func (p *Placer) RecordFirstToken(id uint64, now time.Time) {
	q := p.pending[id]
	if q == nil || !q.firstTokenAt.IsZero() {
		return
	}
	p.states[q.endpoint].recordFirstToken(q, now)
}

// RecordDone records the end of a request on its endpoint. ok reports whether the answer was complete. RecordDone must
// follow every RecordSent, also after an error.
func (p *Placer) RecordDone(id uint64, ok bool, now time.Time) {
	q := p.pending[id]
	if q == nil {
		return
	}
	delete(p.pending, id)
	p.states[q.endpoint].finishRequest(q, ok, now)
}

// InFlight returns the number of this VM's requests on an endpoint. Heartbeats report it to the peers.
func (p *Placer) InFlight(endpoint string) int {
	if s := p.states[endpoint]; s != nil {
		return len(s.ownRequests)
	}
	return 0
}

// PrefillBacklog returns the expected time until the prompts of this VM's requests on an endpoint are computed.
// Heartbeats report it to the peers.
func (p *Placer) PrefillBacklog(endpoint string, now time.Time) time.Duration {
	if s := p.states[endpoint]; s != nil {
		return max(s.busyUntil.Sub(now), 0)
	}
	return 0
}

// stateFor returns the state of an endpoint, which it creates if needed. A new incarnation resets the estimates but
// keeps the requests that are still open on the old one, which will soon fail.
func (p *Placer) stateFor(name, incarnation string) *endpointState {
	s := p.states[name]
	if s == nil {
		s = newEndpointState(incarnation)
		p.states[name] = s
		return s
	}
	if incarnation != "" && s.incarnation != incarnation {
		fresh := newEndpointState(incarnation)
		fresh.ownRequests = s.ownRequests
		fresh.ownHistory = s.ownHistory
		fresh.heldCount = s.heldCount
		p.states[name] = fresh
		return fresh
	}
	return s
}

// sweep drops requests that were never reported done and, if there are too many endpoint states, those without
// requests. It runs at most once a minute.
func (p *Placer) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < time.Minute {
		return
	}
	p.lastSweep = now
	for id, q := range p.pending {
		if now.Sub(q.sentAt) > maxPendingAge {
			p.RecordDone(id, false, now)
		}
	}
	for name, s := range p.states {
		if len(p.states) > maxEndpointStates && len(s.ownRequests) == 0 && s.heldCount == 0 {
			delete(p.states, name)
		}
	}
}
