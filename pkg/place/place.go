// Package place chooses the endpoint of each request by the expected time to its first token.
//
// The estimate uses the requests in flight of this VM and its peers, the prompt parts that the engines are expected to
// hold in their caches, and the recent answers of each endpoint. Filters drop endpoints, scorers add expected
// milliseconds, and the lowest sum wins. The package does no I/O; callers pass the current time.
package place

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

// Part is a section of a prompt with its length in tokens.
type Part struct {
	ID     uint64
	Tokens int
}

// Request holds the properties of a request that placement uses.
type Request struct {
	// ID identifies the request within the VM.
	ID uint64
	// OnEngine reports whether the request runs on a model engine rather than a plain service.
	OnEngine bool
	// Model is the name of the model. Empty for plain services.
	Model string
	// Salt returns the cache salt of the request under a weight version. Parts with different salts are never shared.
	// Nil for plain services.
	Salt func(version int64) string
	// Chain holds the parts of the prompt in order. The last part belongs to this request alone.
	Chain []Part
	// Prompt is the number of prompt tokens, Output the expected number of output tokens.
	Prompt, Output int
	// Exclude holds the IDs of endpoints on which an attempt of this request failed.
	Exclude []string
	// Announced holds the announced weight versions of the model, oldest first.
	Announced []Announcement
}

// Announcement is a weight version and the time at which it was announced.
type Announcement struct {
	Version int64
	At      time.Time
	// Estimated reports whether the time of the announcement is not known yet, in which case At is a late estimate.
	Estimated bool
}

// superseded returns the time at which the first newer version was announced. It reports false for the newest version.
func (r *Request) superseded(version int64) (time.Time, bool) {
	for _, n := range r.Announced {
		if n.Version > version {
			return n.At, true
		}
	}
	return time.Time{}, false
}

// ServiceProperties holds the properties of a service that do not change from request to request, and the VM's place in
// the system.
type ServiceProperties struct {
	// Slots is the number of requests that one endpoint runs at the same time.
	Slots int
	// CacheTokens is the capacity of an engine's KV cache, in tokens. Zero for plain services.
	CacheTokens int
	// StoreTokensPerMs is the speed of a transfer from the cache store and LinkTokensPerMs that of a transfer from an
	// engine, both in tokens per millisecond.
	StoreTokensPerMs, LinkTokensPerMs float64
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Store is the source name of the cache store for the request's subject, or empty.
	Store string
	// StoreTokens is the capacity of that store, in tokens. Zero where it is not known.
	StoreTokens int
	// VersionLimit is the time after the announcement of a newer version from which the older weights may not start a
	// request. Zero refuses them at once.
	VersionLimit time.Duration
	// Limits are the rate limits that endpoints named, or nil if there are none.
	Limits RateLimits
}

// RateLimits are the rate limits that endpoints named for all VMs together.
type RateLimits interface {
	// NextSend returns when this VM may send the next request to an endpoint: now or earlier if it may send one.
	NextSend(e *fleet.Endpoint, now time.Time) time.Time
	// CheckDue reports whether this VM should send an endpoint a request to learn whether its limit still holds.
	CheckDue(e *fleet.Endpoint, now time.Time) bool
}

// Load is the work in flight on an endpoint, from one VM or summed over several.
type Load struct {
	// Running is the number of requests.
	Running int
	// PendingPrefill is the number of prompt tokens that are still to be computed.
	PendingPrefill int
	// Memory is the number of KV cache tokens that the requests occupy or will occupy.
	Memory int
}

// add adds another load.
func (l *Load) add(o Load) {
	l.Running += o.Running
	l.PendingPrefill += o.PendingPrefill
	l.Memory += o.Memory
}

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
	// fetchFrom is the source from which shared parts would be fetched, or empty, and fetchTokens the number of tokens
	// fetched.
	fetchFrom   string
	fetchTokens int
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
	// because every allowed endpoint asked this VM to wait or is at its rate limit.
	WaitUntil time.Time
	// AtLimit is the number of endpoints that were left out because of their rate limits.
	AtLimit int
	// FetchFrom is the source from which the endpoint fetches shared parts that it lacks, or empty.
	FetchFrom string
	// SaveTo is the cache store to which the endpoint saves the shared parts, or empty. It is set where the store lacks
	// enough of them to be worth a transfer.
	SaveTo string
}

// Performance that is assumed until the observed slowdown of an endpoint corrects it.
const (
	// prefillTokensPerMs is the speed of prompt computation, in tokens per millisecond.
	prefillTokensPerMs = 70.0
	// idleFirstTokenMs is the time to the first token of an empty prompt on an idle engine.
	idleFirstTokenMs = 75.0
	// plainServiceMs is the time of a call to an idle plain service.
	plainServiceMs = 60.0
	// batchDelayMs is the delay that each running request adds to the next token of the others.
	batchDelayMs = 0.6
	// outputTokenMs is the time to generate one output token.
	outputTokenMs = 10.0
)

// Placer chooses endpoints and adjusts its estimates to the outcomes. It is not safe for concurrent use.
type Placer struct {
	states   map[string]*endpointState
	attempts map[uint64]*attempt
	peers    map[string]map[string]Load
	// peerSum is the load summed over all peers, by endpoint ID.
	peerSum map[string]Load
	cache   *cacheIndex
	// candidates is the buffer that Place reuses between calls.
	candidates []Candidate
	// loading holds the IDs of the engines that drain or load new weights.
	loading map[string]bool
}

// New returns a placer without any recorded state.
func New() *Placer {
	return &Placer{
		states:   map[string]*endpointState{},
		attempts: map[uint64]*attempt{},
		peers:    map[string]map[string]Load{},
		peerSum:  map[string]Load{},
		cache:    newCacheIndex(),
		loading:  map[string]bool{},
	}
}

// Place chooses one of the endpoints, all of which must be usable and belong to the request's service.
func (p *Placer) Place(r *Request, endpoints []*fleet.Endpoint, f ServiceProperties, now time.Time) Choice {
	candidates := p.candidates[:0]
	var waitUntil time.Time
	atLimit := 0
	for _, e := range endpoints {
		c := Candidate{Endpoint: e, state: p.stateOf(e), Load: p.totalLoad(e.ID)}
		c.Version = c.state.version(e, r.Model)
		if !p.allowed(&c, r, f, now) {
			continue
		}
		until := c.state.waitUntil
		if next := f.nextSend(e, now); next.After(now) {
			atLimit++
			until = later(until, next)
		}
		if now.Before(until) {
			if waitUntil.IsZero() || until.Before(waitUntil) {
				waitUntil = until
			}
			continue
		}
		candidates = append(candidates, c)
	}
	p.candidates = candidates
	candidates = healthy(candidates, now)
	if len(candidates) == 0 {
		return Choice{WaitUntil: waitUntil, AtLimit: atLimit}
	}
	best := 0
	for i := range candidates {
		p.score(&candidates[i], r, f, now)
	}
	p.addTransfers(r, candidates, endpoints, f, now)
	for i := range candidates {
		if candidates[i].Score < candidates[best].Score {
			best = i
		}
	}
	c := candidates[best]
	choice := Choice{
		Endpoint:       c.Endpoint,
		Version:        c.Version,
		Expected:       milliseconds(c.Expected),
		Prefill:        milliseconds(c.Prefill),
		UncachedTokens: max(r.Prompt-c.CachedTokens-c.fetchTokens, 0),
		Running:        c.Load.Running,
		Candidates:     len(candidates),
		AtLimit:        atLimit,
		FetchFrom:      c.fetchFrom,
	}
	if r.OnEngine && f.Store != "" && p.savedTokens(r, c.Version, f, now) < r.sharedTokens()-minTransferTokens {
		choice.SaveTo = f.Store
	}
	return choice
}

// nextSend returns when a request may be sent to an endpoint under its rate limit.
func (f *ServiceProperties) nextSend(e *fleet.Endpoint, now time.Time) time.Time {
	if f.Limits == nil {
		return now
	}
	return f.Limits.NextSend(e, now)
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

// totalLoad returns the load of all VMs on an endpoint.
func (p *Placer) totalLoad(id string) Load {
	var sum Load
	if s := p.states[id]; s != nil {
		sum = s.load
	}
	sum.add(p.peerSum[id])
	return sum
}

// sharedParts returns the parts that other requests may share, which are all but the last.
func (r *Request) sharedParts() []Part {
	return r.Chain[:max(len(r.Chain)-1, 0)]
}

// Subject returns the ID of the last part that other requests may share, or zero if there is none.
func (r *Request) Subject() uint64 {
	sharedParts := r.sharedParts()
	if len(sharedParts) == 0 {
		return 0
	}
	return sharedParts[len(sharedParts)-1].ID
}

// sharedTokens returns the number of tokens of the parts that other requests may share.
func (r *Request) sharedTokens() int {
	n := 0
	for _, part := range r.sharedParts() {
		n += part.Tokens
	}
	return n
}

// SetLoading replaces the set of engines that drain or load new weights.
func (p *Placer) SetLoading(ids []string) {
	clear(p.loading)
	for _, id := range ids {
		p.loading[id] = true
	}
}

// SetPeerLoads replaces the loads that a peer reported, by endpoint ID, and keeps the map. Nil removes the peer.
func (p *Placer) SetPeerLoads(vm string, loads map[string]Load) {
	for id, l := range p.peers[vm] {
		p.addPeerLoad(id, Load{Running: -l.Running, PendingPrefill: -l.PendingPrefill, Memory: -l.Memory})
	}
	delete(p.peers, vm)
	if loads == nil {
		return
	}
	p.peers[vm] = loads
	for id, l := range loads {
		p.addPeerLoad(id, l)
	}
}

// addPeerLoad adds a load to the sum over all peers. Negative fields subtract.
func (p *Placer) addPeerLoad(id string, l Load) {
	sum := p.peerSum[id]
	sum.add(l)
	if sum == (Load{}) {
		delete(p.peerSum, id)
		return
	}
	p.peerSum[id] = sum
}

// OwnLoads returns the load of this VM, by endpoint ID, on every endpoint where it has running requests.
func (p *Placer) OwnLoads() map[string]Load {
	out := map[string]Load{}
	for id, s := range p.states {
		if s.load.Running > 0 {
			out[id] = s.load
		}
	}
	return out
}

// Running returns the number of running requests of all VMs on an endpoint.
func (p *Placer) Running(id string) int {
	return p.totalLoad(id).Running
}

// ForgetEndpoints drops the state of endpoints for which keep returns false and on which this VM has no request.
func (p *Placer) ForgetEndpoints(keep func(id string) bool) {
	for id, s := range p.states {
		if s.load.Running == 0 && !keep(id) {
			delete(p.states, id)
		}
	}
}
