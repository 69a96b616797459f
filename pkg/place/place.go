// Package place chooses the endpoint of each request from the expected time to its first token.
//
// It follows what this VM has sent, what peers say they have sent, which prompt parts the engines should hold, and
// how the endpoints have answered lately. Filters drop endpoints, scorers add expected milliseconds, and the lowest
// sum wins. The package holds no I/O; time is an argument.
package place

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what placement needs to know of a request.
type Request struct {
	// ID identifies the request within the VM.
	ID uint64
	// Engine tells that the request runs on a model engine.
	Engine bool
	// Model is the model, empty for plain services.
	Model string
	// Salt returns what separates cached material under a weight version. Nil for plain services.
	Salt func(version int64) string
	// Chain holds the parts in order; the last belongs to the request alone.
	Chain []Part
	// Prompt and Output are token counts. Output is the expected number.
	Prompt, Output int
	// Exclude names endpoints on which an attempt failed.
	Exclude []string
	// Announced are the weight versions that were announced, oldest first.
	Announced []Announcement
}

// Announcement is one weight version with the time at which it was announced.
type Announcement struct {
	Version int64
	At      time.Time
	// Guessed tells that nobody has told the time yet, so that a late one is assumed.
	Guessed bool
}

// superseded returns when a version was first superseded. It reports false for the newest.
func (r *Request) superseded(version int64) (time.Time, bool) {
	for _, n := range r.Announced {
		if n.Version > version {
			return n.At, true
		}
	}
	return time.Time{}, false
}

// Facts are properties of the service that do not change from request to request.
type Facts struct {
	// Slots is the number of requests that run at once on one endpoint.
	Slots int
	// CacheTokens is the memory of an engine, in tokens. Zero for plain services.
	CacheTokens int
	// StoreTokensPerMs and LinkTokensPerMs are the speeds of transfers from the cache store and from an engine, in
	// tokens per millisecond.
	StoreTokensPerMs, LinkTokensPerMs float64
	// DataCentre is the VM's own.
	DataCentre string
	// Store is the name of the cache store of the request's subject as a source, or empty.
	Store string
	// StoreTokens is the memory of that store, in tokens. Zero where it is not known.
	StoreTokens int
	// VersionLimit is the age of a newer version from which older weights may not start a request. Zero means none.
	VersionLimit time.Duration
}

// Load is what one VM has on an endpoint.
type Load struct {
	// Running is the number of requests.
	Running int
	// Unread is the number of prompt tokens that wait to be computed.
	Unread int
	// Memory is the number of tokens that the requests hold or will hold.
	Memory int
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.Unread += o.Unread
	l.Memory += o.Memory
}

// Candidate is an endpoint while a request is placed.
type Candidate struct {
	Endpoint *fleet.Endpoint
	// Load is the sum over all VMs.
	Load Load
	// Version is the newest known weight version of the request's model.
	Version int64
	// Held is the number of shared tokens that the endpoint is expected to hold.
	Held int
	// Expected is the predicted time to the first token, in milliseconds.
	Expected float64
	// Reading is the part of Expected that the request's own prompt takes, in milliseconds.
	Reading float64
	// Score is Expected with all preferences added, in milliseconds.
	Score float64

	state *state
	// from is the source of fetched tokens.
	from    string
	fetched int
}

// Choice is the decision for one request.
type Choice struct {
	// Endpoint is nil when no endpoint may serve the request.
	Endpoint *fleet.Endpoint
	// Version is the weight version that the endpoint is believed to run.
	Version int64
	// Expected is the predicted time to the first token.
	Expected time.Duration
	// Reading is the part of Expected that the request's own prompt takes.
	Reading time.Duration
	// Missing is the number of prompt tokens that the endpoint has to compute.
	Missing int
	// Running is the number of requests there over all VMs.
	Running int
	// Candidates is the number of endpoints that passed the filters.
	Candidates int
	// WaitUntil is set where there is no endpoint only because all asked this VM to wait: when the first may be asked
	// again.
	WaitUntil time.Time
	// FetchFrom is the source of shared parts that the chosen endpoint lacks, or empty.
	FetchFrom string
	// SaveTo is the cache store where it lacks shared parts that are worth a transfer, or empty.
	SaveTo string
}

// Defaults of what is learned.
const (
	// prefillTokensPerMs is the assumed speed of reading a prompt until an endpoint's answers correct it.
	prefillTokensPerMs = 70.0
	// firstTokenMs is the time to the first token of an empty prompt on an idle engine.
	firstTokenMs = 75.0
	// serviceMs is the assumed time of a plain call.
	serviceMs = 60.0
	// batchMs is the delay that each running request adds to the others' next token.
	batchMs = 0.6
	// generateMs is the assumed time of one output token.
	generateMs = 10.0
)

// Placer chooses endpoints and learns from the outcome. It is safe for one goroutine.
type Placer struct {
	states map[string]*state
	sent   map[uint64]*sent
	peers  map[string]map[string]Load
	// peerSum is the sum over peers, by endpoint.
	peerSum map[string]Load
	cache   *holdings
	// candidates is the space for those of the present call.
	candidates []Candidate
	// loading names the engines that drain or load new weights.
	loading map[string]bool
}

// New returns a placer that knows nothing.
func New() *Placer {
	return &Placer{
		states:  map[string]*state{},
		sent:    map[uint64]*sent{},
		peers:   map[string]map[string]Load{},
		peerSum: map[string]Load{},
		cache:   newHoldings(),
		loading: map[string]bool{},
	}
}

// Place chooses among endpoints. They must be usable and serve the request's service.
func (p *Placer) Place(r *Request, endpoints []*fleet.Endpoint, f Facts, now time.Time) Choice {
	candidates := p.candidates[:0]
	var waitUntil time.Time
	for _, e := range endpoints {
		c := Candidate{Endpoint: e, state: p.stateOf(e), Load: p.total(e.ID)}
		c.Version = c.state.version(e, r.Model)
		if !p.allowed(&c, r, f, now) {
			continue
		}
		if until := c.state.waitUntil; now.Before(until) {
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
		return Choice{WaitUntil: waitUntil}
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
		Endpoint:   c.Endpoint,
		Version:    c.Version,
		Expected:   milliseconds(c.Expected),
		Reading:    milliseconds(c.Reading),
		Missing:    max(r.Prompt-c.Held-c.fetched, 0),
		Running:    c.Load.Running,
		Candidates: len(candidates),
		FetchFrom:  c.from,
	}
	if r.Engine && f.Store != "" && p.saved(r, c.Version, f, now) < r.sharedTokens()-leastTransfer {
		choice.SaveTo = f.Store
	}
	return choice
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// allowed holds the filters that are never relaxed.
func (p *Placer) allowed(c *Candidate, r *Request, f Facts, now time.Time) bool {
	if slices.Contains(r.Exclude, c.Endpoint.ID) {
		return false
	}
	if !r.Engine {
		return true
	}
	if c.Version == 0 || now.Before(c.state.doubtUntil) {
		return false
	}
	at, old := r.superseded(c.Version)
	return !old || now.Sub(at) < f.VersionLimit
}

// total returns the load of all VMs on an endpoint.
func (p *Placer) total(id string) Load {
	var sum Load
	if s := p.states[id]; s != nil {
		sum = s.load
	}
	sum.add(p.peerSum[id])
	return sum
}

// shared returns the parts that other requests may share.
func (r *Request) shared() []Part {
	return r.Chain[:max(len(r.Chain)-1, 0)]
}

// Subject identifies the last part that other requests may share. It is zero where there is none.
func (r *Request) Subject() uint64 {
	shared := r.shared()
	if len(shared) == 0 {
		return 0
	}
	return shared[len(shared)-1].ID
}

// sharedTokens returns the tokens of the parts that other requests may share.
func (r *Request) sharedTokens() int {
	n := 0
	for _, part := range r.shared() {
		n += part.Tokens
	}
	return n
}

// SetLoading sets the engines that drain or load new weights.
func (p *Placer) SetLoading(ids []string) {
	clear(p.loading)
	for _, id := range ids {
		p.loading[id] = true
	}
}

// SetPeer replaces the loads that a peer reports. Nil forgets the peer.
func (p *Placer) SetPeer(vm string, loads map[string]Load) {
	for id, l := range p.peers[vm] {
		p.addPeerLoad(id, Load{Running: -l.Running, Unread: -l.Unread, Memory: -l.Memory})
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

func (p *Placer) addPeerLoad(id string, l Load) {
	sum := p.peerSum[id]
	sum.add(l)
	if sum == (Load{}) {
		delete(p.peerSum, id)
		return
	}
	p.peerSum[id] = sum
}

// Own returns this VM's load on each endpoint that has any.
func (p *Placer) Own() map[string]Load {
	out := map[string]Load{}
	for id, s := range p.states {
		if s.load.Running > 0 {
			out[id] = s.load
		}
	}
	return out
}

// Running returns the number of requests of all VMs on an endpoint.
func (p *Placer) Running(id string) int {
	return p.total(id).Running
}

// Forget drops endpoints that are not in keep and have no request of this VM.
func (p *Placer) Forget(keep func(id string) bool) {
	for id, s := range p.states {
		if s.load.Running == 0 && !keep(id) {
			delete(p.states, id)
		}
	}
}
