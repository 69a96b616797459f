package route

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

// Picker chooses one of the candidates that passed the filters.
type Picker interface {
	// Pick returns an index into candidates, which is not empty and is sorted by name.
	Pick(candidates []Candidate, r *Request) int
}

// Policy names the algorithm by which a Placer chooses among the eligible endpoints.
type Policy string

// Placement policies. All but PolicyDelay are baselines for measurements.
const (
	// PolicyDelay chooses the lowest expected time to first token.
	PolicyDelay Policy = "corneldeal"
	// PolicyRoundRobin chooses the endpoints in turn.
	PolicyRoundRobin Policy = "round_robin"
	// PolicyLeastLoad chooses the endpoint with the fewest requests, counting its last load report and the requests
	// that this VM has sent since.
	PolicyLeastLoad Policy = "least_load"
	// PolicyPrefixHash chooses the endpoint by rendezvous hashing of the prompt's first blocks.
	PolicyPrefixHash Policy = "prefix_hash"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyRoundRobin, PolicyLeastLoad, PolicyPrefixHash, PolicyDelay}
}

// delayPicker chooses the lowest score. Scores within tieToleranceMillis of the lowest count as equal, since the
// prediction is not more exact. When blocks are missing, the rendezvous hash of the first missing block breaks the
// tie, so that all VMs compute a new prefix on the same endpoint. Otherwise the choice among the closest endpoints
// is random, so that the VMs do not all choose the same one.
type delayPicker struct {
	random *rand.Rand
}

// tieToleranceMillis is the difference up to which scores count as equal. A tolerance of 5% of the score came to
// 150 ms on long prompts and queued requests behind prefills: p99 was 3.2 s instead of 0.4 s in the simulation.
const tieToleranceMillis = 3.0

func (p *delayPicker) Pick(candidates []Candidate, r *Request) int {
	best := 0
	for i := range candidates {
		if candidates[i].ScoreMillis < candidates[best].ScoreMillis {
			best = i
		}
	}
	lowest := candidates[best].ScoreMillis
	limit := lowest + tieToleranceMillis
	var near []int
	for i := range candidates {
		if candidates[i].ScoreMillis <= limit {
			near = append(near, i)
		}
	}
	if len(near) == 1 {
		return best
	}
	matched := candidates[best].MatchedBlocks
	if matched >= len(r.Hashes) {
		near = nearest(candidates, near)
		return near[p.random.IntN(len(near))]
	}
	key := r.Hashes[matched]
	return slices.MaxFunc(near, func(a, b int) int {
		return cmp.Compare(rendezvous.Weight(key, candidates[a].Name), rendezvous.Weight(key, candidates[b].Name))
	})
}

// nearest returns the indices whose candidates have the lowest network time. It modifies indices.
func nearest(candidates []Candidate, indices []int) []int {
	lowest := candidates[indices[0]].NetworkMillis
	for _, i := range indices {
		lowest = min(lowest, candidates[i].NetworkMillis)
	}
	return slices.DeleteFunc(indices, func(i int) bool { return candidates[i].NetworkMillis > lowest })
}

// roundRobinPicker chooses the endpoints in turn.
type roundRobinPicker struct {
	next int
}

func (p *roundRobinPicker) Pick(candidates []Candidate, _ *Request) int {
	i := p.next % len(candidates)
	p.next = i + 1
	return i
}

// leastLoadPicker chooses the lowest reported load; ties are broken at random.
type leastLoadPicker struct {
	random *rand.Rand
}

func (p *leastLoadPicker) Pick(candidates []Candidate, _ *Request) int {
	best, equal := 0, 0
	for i := range candidates {
		switch {
		case candidates[i].ReportedLoad < candidates[best].ReportedLoad:
			best, equal = i, 1
		case candidates[i].ReportedLoad == candidates[best].ReportedLoad:
			equal++
			if p.random.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

// prefixHashPicker chooses the endpoint by rendezvous hashing of the prompt's first prefixBlocks blocks.
type prefixHashPicker struct {
	prefixBlocks int
	random       *rand.Rand
}

func (p *prefixHashPicker) Pick(candidates []Candidate, r *Request) int {
	if len(r.Hashes) == 0 {
		return p.random.IntN(len(candidates))
	}
	key := r.Hashes[min(p.prefixBlocks, len(r.Hashes))-1]
	best := 0
	for i := range candidates {
		if rendezvous.Weight(key, candidates[i].Name) > rendezvous.Weight(key, candidates[best].Name) {
			best = i
		}
	}
	return best
}
