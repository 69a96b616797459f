package route

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

// Picker chooses one of the candidates that passed the filters.
type Picker interface {
	// Pick returns an index into the candidates, which are not empty and ordered by name.
	Pick(candidates []Candidate, r *Request) int
}

// Policy names a picker.
type Policy string

// Policies. All but PolicyDelay are baselines for measurement.
const (
	// PolicyDelay takes the lowest expected time to first token.
	PolicyDelay Policy = "corneldeal"
	// PolicyRoundRobin takes the endpoints in turn.
	PolicyRoundRobin Policy = "round_robin"
	// PolicyLeastLoad takes the endpoint with the fewest requests: the last report and what this VM sent since.
	PolicyLeastLoad Policy = "least_load"
	// PolicyPrefixHash takes the endpoint by rendezvous hash of the first blocks.
	PolicyPrefixHash Policy = "prefix_hash"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyRoundRobin, PolicyLeastLoad, PolicyPrefixHash, PolicyDelay}
}

// delayPicker takes the lowest score. Scores within the tolerance count as equal, since the prediction is not
// more exact. Among equals with blocks to compute, the rendezvous hash of the first missing block decides, so
// that all VMs compute a new prefix on the same endpoint; otherwise chance decides among the nearest, so that
// the VMs do not all take the same one.
type delayPicker struct {
	random *rand.Rand
}

// tieMillis is the tolerance of the comparison of scores, in milliseconds. A tolerance of 5% of the score was
// 150 ms on long prompts and put requests behind computations: p99 3.2 s instead of 0.4 s in the simulation.
const tieMillis = 3.0

func (p *delayPicker) Pick(candidates []Candidate, r *Request) int {
	best := 0
	for i := range candidates {
		if candidates[i].Score < candidates[best].Score {
			best = i
		}
	}
	lowest := candidates[best].Score
	limit := lowest + tieMillis
	var near []int
	for i := range candidates {
		if candidates[i].Score <= limit {
			near = append(near, i)
		}
	}
	if len(near) == 1 {
		return best
	}
	matched := candidates[best].Matched
	if matched >= len(r.Hashes) {
		near = nearest(candidates, near)
		return near[p.random.IntN(len(near))]
	}
	key := r.Hashes[matched]
	return slices.MaxFunc(near, func(a, b int) int {
		return cmp.Compare(rendezvous.Weight(key, candidates[a].Name), rendezvous.Weight(key, candidates[b].Name))
	})
}

// nearest returns those of the indices whose candidates have the lowest network time.
func nearest(candidates []Candidate, indices []int) []int {
	lowest := candidates[indices[0]].Distance
	for _, i := range indices {
		lowest = min(lowest, candidates[i].Distance)
	}
	return slices.DeleteFunc(indices, func(i int) bool { return candidates[i].Distance > lowest })
}

// roundRobinPicker takes the endpoints in turn.
type roundRobinPicker struct {
	next int
}

func (p *roundRobinPicker) Pick(candidates []Candidate, _ *Request) int {
	i := p.next % len(candidates)
	p.next = i + 1
	return i
}

// leastLoadPicker takes the lowest reported load; chance decides among equals.
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

// prefixHashPicker takes the endpoint by rendezvous hash of the prompt's first blocks.
type prefixHashPicker struct {
	blocks int
	random *rand.Rand
}

func (p *prefixHashPicker) Pick(candidates []Candidate, r *Request) int {
	if len(r.Hashes) == 0 {
		return p.random.IntN(len(candidates))
	}
	key := r.Hashes[min(p.blocks, len(r.Hashes))-1]
	best := 0
	for i := range candidates {
		if rendezvous.Weight(key, candidates[i].Name) > rendezvous.Weight(key, candidates[best].Name) {
			best = i
		}
	}
	return best
}
