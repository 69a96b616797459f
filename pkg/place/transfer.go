package place

import (
	"math"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

const (
	// fetchFixedMs is the time of a fetch besides the transfer.
	fetchFixedMs = 6.0
	// farTransfer is the factor on a transfer between data centres.
	farTransfer = 2.0
	// awayMs is the loss of placing a request away from the engine that holds its shared parts, or from the one that all VMs
	// prefer for them: a transfer takes links, and another copy takes memory.
	awayMs = 120.0
	// readTwiceMs is the loss of having an engine read parts that another VM may have the home read now.
	readTwiceMs = 150.0
)

// leastTransfer is the number of shared tokens below which reading them is cheaper than a transfer.
const leastTransfer = 800

// addTransfers adds the cost of the shared parts that each candidate lacks: a transfer where another source holds them, and
// reading them where none does. Parts that nobody holds are read at one home per version, so that the VMs do not have
// several engines read the same.
func (p *Placer) addTransfers(r *Request, candidates []Candidate, endpoints []*fleet.Endpoint, f Facts, now time.Time) {
	shared := r.sharedTokens()
	if !r.Engine || shared < leastTransfer {
		for i := range candidates {
			candidates[i].addMs(float64(shared-candidates[i].Held) / prefillTokensPerMs)
		}
		return
	}
	for version, group := range byVersion(candidates) {
		sources := p.sourcesOf(r, version, endpoints, f, now)
		home := p.home(r, candidates, group)
		for _, i := range group {
			c := &candidates[i]
			lacks := shared - c.Held
			if lacks < leastTransfer {
				c.addMs(float64(lacks) / prefillTokensPerMs)
				continue
			}
			from, tokens, ms := sources.best(c)
			c.from, c.fetched = from, tokens
			unread := lacks - tokens
			c.addMs(ms + float64(unread)/prefillTokensPerMs)
			if i != home {
				c.Score += awayMs
			}
			if unread >= leastTransfer && i != home {
				c.Score += readTwiceMs
			}
		}
	}
}

// addMs adds a part of the reading to the expected time and the score.
func (c *Candidate) addMs(ms float64) {
	c.Reading += ms
	c.Expected += ms
	c.Score += ms
}

func byVersion(candidates []Candidate) map[int64][]int {
	out := map[int64][]int{}
	for i := range candidates {
		out[candidates[i].Version] = append(out[candidates[i].Version], i)
	}
	return out
}

// source is one holder of shared parts.
type source struct {
	name        string
	endpoint    *fleet.Endpoint
	held        int
	tokensPerMs float64
}

// sources are the holders of a request's shared parts under one version.
type sources []source

func (p *Placer) sourcesOf(r *Request, version int64, endpoints []*fleet.Endpoint, f Facts, now time.Time) sources {
	var out sources
	salt := r.Salt(version)
	for _, e := range endpoints {
		s := p.states[e.ID]
		if s == nil || now.Before(s.ejectUntil) || s.silent(now) {
			continue
		}
		if held := p.cache.stored(SourceOf(e), salt, r, unwatchedFor, now); held >= leastTransfer {
			out = append(out, source{name: e.Address, endpoint: e, held: held, tokensPerMs: f.LinkTokensPerMs})
		}
	}
	if f.Store != "" {
		if held := p.cache.stored(f.Store, salt, r, p.cache.keptFor(f, now), now); held >= leastTransfer {
			out = append(out, source{name: f.Store, held: held, tokensPerMs: f.StoreTokensPerMs})
		}
	}
	return out
}

// best returns the source from which a candidate gets most, the tokens that it gets and the expected time.
func (s sources) best(c *Candidate) (name string, tokens int, ms float64) {
	bestValue := 0.0
	for _, src := range s {
		gain := src.held - c.Held
		if gain < leastTransfer || src.endpoint != nil && src.endpoint.ID == c.Endpoint.ID {
			continue
		}
		took := fetchFixedMs + float64(gain)/math.Max(src.tokensPerMs, 1)
		if src.endpoint != nil && src.endpoint.DataCentre != c.Endpoint.DataCentre {
			took *= farTransfer
		}
		if value := float64(gain)/prefillTokensPerMs - took; value > bestValue {
			name, tokens, ms, bestValue = src.name, gain, took, value
		}
	}
	return name, tokens, ms
}

// home returns the index of the candidate of a group that all VMs prefer for the request's shared parts.
func (p *Placer) home(r *Request, candidates []Candidate, group []int) int {
	if len(r.shared()) == 0 {
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

// saved returns the tokens of the leading shared parts that the cache store holds or is getting.
func (p *Placer) saved(r *Request, version int64, f Facts, now time.Time) int {
	salt := r.Salt(version)
	return max(
		p.cache.held(f.Store, salt, r, p.cache.keptFor(f, now), now),
		p.cache.stored(f.Store, salt, r, p.cache.keptFor(f, now), now),
	)
}
