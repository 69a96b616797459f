// Package place chooses the endpoint of each request by the expected time to its first token.
//
// The estimate uses the requests in flight of this VM and its peers, the prompt parts that the engines are expected to
// hold in their caches, and the recent answers of each endpoint. Filters drop endpoints, scorers add expected
// milliseconds, and the lowest sum wins, in large systems among a few drawn endpoints. The package does no I/O;
// callers pass the current time.
package place

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/workload"
)

// Candidate is an endpoint under consideration for a request.
type Candidate struct {
	Endpoint *fleet.Endpoint
	// Load is the load of all VMs on the endpoint.
	Load Load
	// Version is the newest known weight version of the request's model.
	Version int64
	// CachedTokens is the number of shared tokens that the endpoint is expected to hold.
	CachedTokens int
	// Expected is the predicted time to the first token, in milliseconds.
	Expected float64
	// Prefill is the part of Expected that the request's own prompt takes, in milliseconds.
	Prefill float64
	// Score is Expected plus all penalties, in milliseconds.
	Score float64

	state *endpointState
	// home is set for the endpoint that all VMs prefer for the request's shared parts.
	home bool
	// connections is the state of this VM's connections to the endpoint, or zero if it accepts any number.
	connections ConnectionState
	// fetchFrom is the source from which shared parts would be fetched, or empty, and fetchTokens the number of tokens
	// fetched.
	fetchFrom   string
	fetchTokens int
	// fetchMs is the expected time of the fetch, in milliseconds, and factor the endpoint's time relative to its service.
	fetchMs, factor float64
	// recent is the number of this VM's requests on the endpoint that were sent since the peers' reports.
	recent int
}

// Choice is the placement decision for a request.
type Choice struct {
	// Endpoint is nil when no endpoint may serve the request.
	Endpoint *fleet.Endpoint
	// Version is the weight version that the endpoint is believed to run.
	Version int64
	// Expected is the predicted time to the first token.
	Expected time.Duration
	// Prefill is the part of Expected that the request's own prompt takes.
	Prefill time.Duration
	// UncachedTokens is the number of prompt tokens that the endpoint has to compute.
	UncachedTokens int
	// Running is the number of requests of all VMs on the endpoint, without this one.
	Running int
	// Candidates is the number of endpoints that passed the filters.
	Candidates int
	// WaitUntil is the earliest time at which an endpoint accepts requests again. It is set only where Endpoint is nil
	// because every allowed endpoint asked this VM to wait, is at its rate limit or is full.
	WaitUntil time.Time
	// AtLimit is the number of endpoints that were left out because of their rate limits.
	AtLimit int
	// Full is the number of endpoints that were left out because they might reject the request and fail.
	Full int
	// NoConnection is the number of endpoints that were left out because this VM uses its share of their connections.
	NoConnection int
	// BeyondShare is set if this VM uses its share of the connections of every endpoint, so that the shares were not regarded.
	BeyondShare bool
	// FetchFrom is the source from which the endpoint fetches shared parts that it lacks, or empty.
	FetchFrom string
	// SaveTo is the cache store to which the endpoint saves the shared parts, or empty. It is set where the store lacks
	// enough of them to be worth a transfer.
	SaveTo string
	// Output is the predicted time from the first to the last token. It is zero with fixed figures.
	Output time.Duration

	// query describes the request on the endpoint to the model of work.
	query workload.Query
	// endpoints is the number of endpoints of the service.
	endpoints float64
}

// Performance that is assumed by a placer with fixed figures, and by the model of work until observations correct it.
const (
	// prefillTokensPerMs is the speed of prompt computation, in tokens per millisecond.
	prefillTokensPerMs = workload.PriorPrefillTokensPerMs
	// idleFirstTokenMs is the time to the first token of an empty prompt on an idle engine.
	idleFirstTokenMs = workload.PriorIdleFirstTokenMs
	// plainServiceMs is the time of a call to an idle plain service.
	plainServiceMs = workload.PriorPlainMs
	// batchDelayMs is the delay that each running request adds to the next token of the others.
	batchDelayMs = workload.PriorRunningMs
	// outputTokenMs is the time to generate one output token.
	outputTokenMs = workload.PriorOutputTokenMs
)

// Placer chooses endpoints and adjusts its estimates to the outcomes. It is not safe for concurrent use.
type Placer struct {
	states   map[string]*endpointState
	attempts map[uint64]*attempt
	peers    map[string]map[string]Load
	// peerSum is the load summed over all peers, by endpoint ID.
	peerSum map[string]Load
	// peerReports are the times of the peers' loads, and epoch is the first of them. peerTokenSeconds is the sum over all
	// peers of PendingPrefill times the time of the report, in seconds since epoch, by endpoint ID.
	peerReports      map[string]time.Time
	epoch            time.Time
	peerTokenSeconds map[string]float64
	// datedReports is the number of peerReports with a time, and reportSeconds the sum of their times since epoch.
	datedReports  int
	reportSeconds float64
	cache         *cacheIndex
	// candidates is the buffer that Place reuses between calls.
	candidates []Candidate
	// loading holds the IDs of the engines that drain or load new weights.
	loading map[string]bool
	// model predicts the costs of requests. It is nil for a placer with fixed figures.
	model *workload.Model
	// query is what a query for the request that is being placed holds on all endpoints, and rates are its rates.
	query workload.Query
	rates workload.Rates
	// unreported is what peers have sent since their reports, as far as it matters to that request.
	unreported unreported
	// seed and choices determine the choices between endpoints that are about equal.
	seed, choices uint64
}

// New returns a placer without any recorded state that learns the costs of requests.
func New() *Placer {
	p := NewFixed()
	p.model = workload.New()
	return p
}

// NewFixed returns a placer without any recorded state that predicts costs by fixed figures.
func NewFixed() *Placer {
	return &Placer{
		states:   map[string]*endpointState{},
		attempts: map[uint64]*attempt{},
		peers:    map[string]map[string]Load{},
		peerSum:  map[string]Load{},

		peerTokenSeconds: map[string]float64{},
		peerReports:      map[string]time.Time{},
		cache:            newCacheIndex(),
		loading:          map[string]bool{},
	}
}

// Model returns the model of work, or nil for a placer with fixed figures.
func (p *Placer) Model() *workload.Model {
	return p.model
}

// Place chooses one of the endpoints, all of which must be usable and belong to the request's service.
func (p *Placer) Place(r *Request, endpoints []*fleet.Endpoint, f ServiceProperties, now time.Time) Choice {
	candidates, left := p.filter(r, endpoints, f, now)
	candidates = healthy(candidates, now)
	if len(candidates) == 0 {
		return Choice{WaitUntil: left.waitUntil, AtLimit: left.atLimit, Full: left.full}
	}
	candidates, noConnection := withRoom(candidates, f, now)
	p.loadRates(r, candidates, f, now)
	for i := range candidates {
		p.score(&candidates[i], r, f, now)
	}
	p.addTransfers(r, candidates, endpoints, f, now)
	best := p.best(candidates, r, f)
	choice := newChoice(best, r)
	if p.model != nil {
		p.describe(&choice, best, r, f, now)
	}
	choice.Candidates = len(candidates)
	choice.AtLimit = left.atLimit
	choice.Full = left.full
	choice.NoConnection = noConnection
	choice.BeyondShare = f.Connections != nil && !best.connections.Room
	if r.OnEngine && f.Store != "" && p.savedTokens(r, choice.Version, f, now) < r.sharedTokens()-minTransferTokens {
		choice.SaveTo = f.Store
	}
	return choice
}

// withRoom drops the candidates of whose connections this VM uses its share, unless none would be left. It returns how
// many it dropped and reuses the slice.
func withRoom(candidates []Candidate, f ServiceProperties, now time.Time) (left []Candidate, dropped int) {
	if f.Connections == nil {
		return candidates, 0
	}
	for i := range candidates {
		c := &candidates[i]
		c.connections = f.Connections.To(c.Endpoint, c.state.load.Running, now)
		if !c.connections.Room {
			dropped++
		}
	}
	if dropped == len(candidates) {
		return candidates, 0
	}
	return slices.DeleteFunc(candidates, func(c Candidate) bool { return !c.connections.Room }), dropped
}

// leftOut describes the allowed endpoints that accept no request now.
type leftOut struct {
	// waitUntil is the earliest time at which one of them accepts requests again, or zero.
	waitUntil time.Time
	// atLimit is the number of those that are at their rate limits, and full that of those that might fail.
	atLimit, full int
}

// filter returns the endpoints that may take the request now. The slice is reused by the next call.
func (p *Placer) filter(r *Request, endpoints []*fleet.Endpoint, f ServiceProperties, now time.Time) ([]Candidate, leftOut) {
	candidates := p.candidates[:0]
	var left leftOut
	for _, e := range endpoints {
		c := Candidate{Endpoint: e, state: p.stateOf(e), Load: p.totalLoad(e.ID)}
		c.Version = c.state.version(e, r.Model)
		if !p.allowed(&c, r, f, now) {
			continue
		}
		until := c.state.waitUntil
		if next := f.nextSend(e, now); next.After(now) {
			left.atLimit++
			until = later(until, next)
		}
		if next := f.nextWithoutRejection(&c, now); next.After(now) {
			left.full++
			until = later(until, next)
		}
		if !now.Before(until) {
			candidates = append(candidates, c)
		} else if left.waitUntil.IsZero() || until.Before(left.waitUntil) {
			left.waitUntil = until
		}
	}
	p.candidates = candidates
	return candidates, left
}

// best returns the candidate for a request.
func (p *Placer) best(candidates []Candidate, r *Request, f ServiceProperties) *Candidate {
	candidates = p.draw(candidates, r, f)
	best := lowestScore(candidates)
	if p.model == nil || p.unreported.peers == 0 {
		return best
	}
	return p.anyNear(best, candidates)
}

// lowestScore returns the first candidate with the lowest score.
func lowestScore(candidates []Candidate) *Candidate {
	best := &candidates[0]
	for i := range candidates {
		if candidates[i].Score < best.Score {
			best = &candidates[i]
		}
	}
	return best
}

// newChoice returns the choice of a candidate.
func newChoice(c *Candidate, r *Request) Choice {
	return Choice{
		Endpoint:       c.Endpoint,
		Version:        c.Version,
		Expected:       milliseconds(c.Expected),
		Prefill:        milliseconds(c.Prefill),
		UncachedTokens: max(r.Prompt-c.CachedTokens-c.fetchTokens, 0),
		Running:        c.Load.Running,
		FetchFrom:      c.fetchFrom,
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// allowed reports whether a candidate passes the filters that are never relaxed: endpoints excluded by the request and,
// for engines, an unknown or uncertain weight version or one that was superseded VersionLimit ago.
func (p *Placer) allowed(c *Candidate, r *Request, f ServiceProperties, now time.Time) bool {
	if slices.Contains(r.Exclude, c.Endpoint.ID) {
		return false
	}
	if !r.OnEngine {
		return true
	}
	if c.Version == 0 || now.Before(c.state.versionUncertainUntil) {
		return false
	}
	at, old := r.superseded(c.Version)
	return !old || now.Sub(at) < f.VersionLimit
}

// ForgetEndpoints drops the state of endpoints for which keep returns false and on which this VM has no request.
func (p *Placer) ForgetEndpoints(keep func(id string) bool) {
	for id, s := range p.states {
		if s.load.Running == 0 && !keep(id) {
			delete(p.states, id)
		}
	}
}
