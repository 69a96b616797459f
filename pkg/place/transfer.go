package place

import (
	"math"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

const (
	// fetchOverheadMs is the time of a fetch in addition to the transfer.
	fetchOverheadMs = 6.0
	// crossDataCentreFactor multiplies the time of a fetch between data centres.
	crossDataCentreFactor = 2.0
	// awayFromHomePenaltyMs is the cost of placing a request, whose shared parts the engine lacks, on another engine
	// than their home: a transfer takes link bandwidth, and another copy takes memory.
	awayFromHomePenaltyMs = 120.0
	// duplicatePrefillPenaltyMs is the cost of an engine computing parts that another VM may send to their home at the
	// same time.
	duplicatePrefillPenaltyMs = 150.0
)

// minTransferTokens is the number of shared tokens below which computing them is cheaper than a transfer.
const minTransferTokens = 800

// addTransfers adds the cost of the shared parts that each candidate lacks: a transfer where another source holds them,
// and prefill where none does. Penalties steer parts that no source holds to one home engine per version, so that the
// VMs do not have several engines compute the same parts.
func (p *Placer) addTransfers(r *Request, candidates []Candidate, endpoints []*fleet.Endpoint, f ServiceProperties, now time.Time) {
	shared := r.sharedTokens()
	if !r.OnEngine || shared < minTransferTokens {
		for i := range candidates {
			candidates[i].addPrefillMs(p.prefillMs(&candidates[i], shared-candidates[i].CachedTokens))
		}
		return
	}
	for version, group := range groupByVersion(candidates) {
		sources := p.findSources(r, version, endpoints, f, now)
		home := p.home(r, candidates, group)
		for _, i := range group {
			c := &candidates[i]
			lacks := shared - c.CachedTokens
			if lacks < minTransferTokens {
				c.addPrefillMs(p.prefillMs(c, lacks))
				continue
			}
			fetchFrom, tokens, ms := sources.bestFor(c, p.prefillMs(c, 1))
			c.fetchFrom, c.fetchTokens, c.fetchMs = fetchFrom, tokens, ms
			uncached := lacks - tokens
			c.addPrefillMs(ms + p.prefillMs(c, uncached))
			c.home = i == home
			if i != home {
				c.Score += awayFromHomePenaltyMs
			}
			if uncached >= minTransferTokens && i != home {
				c.Score += duplicatePrefillPenaltyMs
			}
		}
	}
}

// addPrefillMs adds to the prefill time, the expected time and the score.
func (c *Candidate) addPrefillMs(ms float64) {
	c.Prefill += ms
	c.Expected += ms
	c.Score += ms
}

// groupByVersion returns the indexes of the candidates by weight version.
func groupByVersion(candidates []Candidate) map[int64][]int {
	out := map[int64][]int{}
	for i := range candidates {
		out[candidates[i].Version] = append(out[candidates[i].Version], i)
	}
	return out
}

// source is an engine or cache store from which shared parts can be fetched.
type source struct {
	name        string
	endpoint    *fleet.Endpoint
	held        int
	tokensPerMs float64
}

// sources lists the sources of a request's shared parts under one weight version.
type sources []source

// findSources returns the sources that hold at least minTransferTokens of the request's shared parts under a version.
func (p *Placer) findSources(r *Request, version int64, endpoints []*fleet.Endpoint, f ServiceProperties, now time.Time) sources {
	var out sources
	salt := r.Salt(version)
	for _, e := range endpoints {
		s := p.states[e.ID]
		if s == nil || now.Before(s.ejectUntil) || s.unresponsive(now) {
			continue
		}
		if held := p.cache.fetchableTokens(SourceOf(e), salt, r, unwatchedSentTTL, now); held >= minTransferTokens {
			out = append(out, source{name: e.Address, endpoint: e, held: held, tokensPerMs: f.LinkTokensPerMs})
		}
	}
	if f.Store != "" {
		if held := p.cache.fetchableTokens(f.Store, salt, r, p.cache.storeTTL(f, now), now); held >= minTransferTokens {
			out = append(out, source{name: f.Store, held: held, tokensPerMs: f.StoreTokensPerMs})
		}
	}
	return out
}

// bestFor returns the source whose fetch saves a candidate the most time, with the number of tokens fetched and the
// expected time of the fetch in milliseconds. The name is empty if no fetch saves time. The candidate computes a token in
// the given number of milliseconds.
func (s sources) bestFor(c *Candidate, tokenMs float64) (name string, tokens int, ms float64) {
	bestValue := 0.0
	for _, src := range s {
		gain := src.held - c.CachedTokens
		if gain < minTransferTokens || src.endpoint != nil && src.endpoint.ID == c.Endpoint.ID {
			continue
		}
		took := fetchOverheadMs + float64(gain)/math.Max(src.tokensPerMs, 1)
		if src.endpoint != nil && src.endpoint.DataCentre != c.Endpoint.DataCentre {
			took *= crossDataCentreFactor
		}
		if value := float64(gain)*tokenMs - took; value > bestValue {
			name, tokens, ms, bestValue = src.name, gain, took, value
		}
	}
	return name, tokens, ms
}

// home returns the index of the candidate in group that all VMs prefer for the request's shared parts, or -1 if there
// is none.
func (p *Placer) home(r *Request, candidates []Candidate, group []int) int {
	if len(r.sharedParts()) == 0 {
		return -1
	}
	subject := r.Subject()
	best, bestWeight := -1, uint64(0)
	for _, i := range group {
		if p.loading[candidates[i].Endpoint.ID] {
			continue
		}
		if w := rendezvous.Weight(subject, candidates[i].Endpoint.ID); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// savedTokens returns the number of tokens of the leading shared parts that the cache store holds or is about to
// receive.
func (p *Placer) savedTokens(r *Request, version int64, f ServiceProperties, now time.Time) int {
	salt := r.Salt(version)
	return max(
		p.cache.expectedTokens(f.Store, salt, r, p.cache.storeTTL(f, now), now),
		p.cache.fetchableTokens(f.Store, salt, r, p.cache.storeTTL(f, now), now),
	)
}
