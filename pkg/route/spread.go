package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

// Parameters of the replication of hot prefixes.
const (
	// hotRequestsPerSecond is the request rate over all VMs at which a prefix becomes hot, and coldRequestsPerSecond
	// the rate below which it ceases to be. A VM assumes that each peer has the same rate as itself.
	hotRequestsPerSecond  = 3.0
	coldRequestsPerSecond = 1.5
	// rateTimeConstant is the time after which a request counts for 1/e in the rate.
	rateTimeConstant = 4 * time.Second
	// A prefix gets another copy when the smoothed queue delay exceeds growDelayShare of the time to compute the
	// prefix, but at least minGrowDelayMillis.
	growDelayShare     = 0.1
	minGrowDelayMillis = 20.0
	// A prefix loses a copy when the delay stays below shrinkDelayShare of the growth threshold for shrinkAfter.
	shrinkDelayShare = 0.25
	// penaltyShare of the growth threshold is charged on endpoints beyond the copies. The full threshold made the
	// tail longer, since it also kept requests away from idle endpoints that still held the prefix.
	penaltyShare = 0.3
	shrinkAfter  = 5 * time.Second
	// growCooldown is the time for a new copy to affect the queues, at least the lag of a load report.
	growCooldown = time.Second
	// delayTimeConstant smooths the queue delay, so that a single burst does not replicate a prefix.
	delayTimeConstant = 500 * time.Millisecond
	// reuseHorizon is the time for which a new copy is expected to be used before it is evicted.
	reuseHorizon = 2 * time.Second
	// maxPrefixes limits the number of prefixes in a prefixTable.
	maxPrefixes = 8192
)

// prefixDemand holds the request rate and the number of copies of one prefix.
type prefixDemand struct {
	// demand is the number of requests, decaying with rateTimeConstant; divided by rateTimeConstant it is the rate in
	// requests per second.
	demand        float64
	lastRequestAt time.Time
	hot           bool
	// copies is the number of endpoints that share the prefix, at least 1.
	copies              int
	smoothedQueueMillis float64
	smoothedAt          time.Time
	copiesChangedAt     time.Time
	lowQueueSince       time.Time
}

// requestRate returns this VM's rate in requests per second.
func (p *prefixDemand) requestRate(now time.Time) float64 {
	return p.demand * math.Exp(-now.Sub(p.lastRequestAt).Seconds()/rateTimeConstant.Seconds()) / rateTimeConstant.Seconds()
}

// countRequest counts a request and updates whether the prefix is hot, scaling this VM's rate by the number of VMs.
func (p *prefixDemand) countRequest(vms int, now time.Time) {
	rate := p.requestRate(now)
	p.demand = rate*rateTimeConstant.Seconds() + 1
	p.lastRequestAt = now
	rate *= float64(vms)
	if rate >= hotRequestsPerSecond {
		p.hot = true
	}
	if rate < coldRequestsPerSecond {
		p.hot = false
		p.copies = 1
	}
}

// prefixTable holds the demand of at most maxPrefixes prefixes.
type prefixTable struct {
	byHash map[uint64]*prefixDemand
}

// countRequest counts a request on each of its prefixes. It returns the index of the last block whose prefix is hot,
// or -1.
func (t *prefixTable) countRequest(hashes []uint64, vms int, now time.Time) int {
	deepest := -1
	for i, h := range hashes {
		p := t.byHash[h]
		if p == nil {
			t.evictWhenFull(now)
			p = &prefixDemand{copies: 1, lastRequestAt: now}
			t.byHash[h] = p
		}
		p.countRequest(vms, now)
		if p.hot {
			deepest = i
		}
	}
	return deepest
}

// evictWhenFull drops prefixes when the table is full: first those without a request for rateTimeConstant, then
// others that are not hot, and finally any. It frees an eighth of the table, so that it rarely has to run.
func (t *prefixTable) evictWhenFull(now time.Time) {
	if len(t.byHash) < maxPrefixes {
		return
	}
	drops := [...]func(*prefixDemand) bool{
		func(p *prefixDemand) bool { return now.Sub(p.lastRequestAt) > rateTimeConstant },
		func(p *prefixDemand) bool { return !p.hot },
		func(*prefixDemand) bool { return true },
	}
	for _, drop := range drops {
		for h, p := range t.byHash {
			if len(t.byHash) <= maxPrefixes-maxPrefixes/8 {
				return
			}
			if drop(p) {
				delete(t.byHash, h)
			}
		}
	}
}

// spreadPlan holds the scoring parameters for one request with a hot prefix.
type spreadPlan struct {
	// hotBlocks is the number of blocks of the hot prefix.
	hotBlocks int
	// copies is the number of preferred ranks.
	copies int
	// computeShare is the share of the prefill that this request is charged.
	computeShare float64
	// penaltyMillis is charged on endpoints beyond the copies. It is zero while the copies are busy.
	penaltyMillis float64
}

// planSpread counts the request, adapts the number of copies of its hot prefix and returns the scoring parameters,
// or nil when no prefix is hot. The copies are the first endpoints in rendezvous order, so all VMs that arrive at
// the same number choose the same endpoints.
func (t *prefixTable) planSpread(r *Request, candidates []Candidate, peers int, random *rand.Rand, now time.Time) *spreadPlan {
	vms := max(peers, 0) + 1
	deepest := t.countRequest(r.Hashes, vms, now)
	if deepest < 0 || len(candidates) < 2 {
		return nil
	}
	key := r.Hashes[deepest]
	p := t.byHash[key]
	if p == nil {
		return nil
	}
	assignRanks(key, candidates)
	cost := candidates[0].state.prefillMillis(r, deepest+1)
	growMillis := max(growDelayShare*cost, minGrowDelayMillis)
	p.copies = min(p.copies, len(candidates))
	p.adaptCopies(candidates, growMillis, now)
	s := &spreadPlan{
		hotBlocks:    deepest + 1,
		copies:       p.copies,
		computeShare: 1,
	}
	if p.smoothedQueueMillis < growMillis*shrinkDelayShare {
		s.penaltyMillis = growMillis * penaltyShare
	}
	// On average a single VM starts a new copy at a time; the others see it in the cache events.
	if random.IntN(vms) == 0 {
		reuses := p.requestRate(now) * float64(vms) * reuseHorizon.Seconds()
		s.computeShare = 1 / (1 + reuses)
	}
	return s
}

// assignRanks sets the ranks of the candidates by descending rendezvous weight.
func assignRanks(key uint64, candidates []Candidate) {
	order := make([]weightedCandidate, len(candidates))
	for i := range candidates {
		order[i] = weightedCandidate{rendezvous.Weight(key, candidates[i].Name), i}
	}
	slices.SortFunc(order, func(a, b weightedCandidate) int { return cmp.Compare(b.weight, a.weight) })
	for i, w := range order {
		candidates[w.index].rank = i
	}
}

// weightedCandidate is the index of a candidate with its rendezvous weight.
type weightedCandidate struct {
	weight uint64
	index  int
}

// adaptCopies updates the smoothed queue delay and changes the number of copies by at most one. growMillis is the
// growth threshold.
func (p *prefixDemand) adaptCopies(candidates []Candidate, growMillis float64, now time.Time) {
	inside, outside := math.Inf(1), math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if c.rank < p.copies {
			inside = min(inside, c.QueueMillis)
		} else {
			outside = min(outside, c.QueueMillis)
		}
	}
	decay := math.Exp(-now.Sub(p.smoothedAt).Seconds() / delayTimeConstant.Seconds())
	p.smoothedQueueMillis = p.smoothedQueueMillis*decay + inside*(1-decay)
	p.smoothedAt = now
	if p.smoothedQueueMillis >= growMillis*shrinkDelayShare {
		p.lowQueueSince = now
	}
	switch {
	case p.smoothedQueueMillis > growMillis && outside+growMillis/2 < inside && now.Sub(p.copiesChangedAt) >= growCooldown:
		p.copies++
		p.copiesChangedAt = now
	case p.copies > 1 && now.Sub(p.lowQueueSince) >= shrinkAfter:
		p.copies--
		p.copiesChangedAt = now
		p.lowQueueSince = now
	}
}

// scoreMillis returns the preference for a candidate in milliseconds; negative values favour it.
func (s *spreadPlan) scoreMillis(c *Candidate, r *Request) float64 {
	if c.rank >= s.copies {
		return s.penaltyMillis
	}
	shared := s.hotBlocks - max(c.AvailableBlocks, c.MatchedBlocks)
	if shared <= 0 {
		return 0
	}
	tail := c.state.prefillMillis(r, 0)
	return -(c.state.prefillMillis(r, shared) - tail) * (1 - s.computeShare)
}
