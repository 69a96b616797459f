package route

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

// Constants of the spreading of hot prefixes.
const (
	// hotRate is the rate over all VMs, in requests per second, at which a prefix counts as hot; coldRate is the
	// rate at which it ceases to. A VM takes its own rate for that of each peer.
	hotRate  = 3.0
	coldRate = 1.5
	// rateMemory is the time after which a request counts for 1/e in the rate.
	rateMemory = 4 * time.Second
	// A prefix is spread further when the best copy's queue exceeds this share of the time to compute the
	// prefix, but not below the minimum.
	growShare     = 0.1
	minGrowMillis = 20.0
	// It shrinks when the queue stays below this share of the growth threshold for shrinkAfter.
	shrinkShare = 0.25
	// penaltyShare of the growth threshold is charged on endpoints beyond the copies. A full threshold made the
	// tail longer, since it also kept requests from idle endpoints that still held the prefix.
	penaltyShare = 0.3
	shrinkAfter  = 5 * time.Second
	// growPause is the time for a new copy to show in the queues, at least the lag of a load report.
	growPause = time.Second
	// delayMemory smooths the queue delay, so that one burst does not spread a prefix.
	delayMemory = 500 * time.Millisecond
	// reuseTime is the time over which a new copy is expected to be used before eviction.
	reuseTime = 2 * time.Second
	// maxPrefixes bounds the table.
	maxPrefixes = 8192
)

// prefix is the demand for one block chain.
type prefix struct {
	// demand decays by rateMemory; divided by it, it is the rate in requests per second.
	demand float64
	seen   time.Time
	hot    bool
	// copies is the number of endpoints that share the prefix, from 1.
	copies   int
	delay    float64
	delayAt  time.Time
	changed  time.Time
	lowSince time.Time
}

func (p *prefix) rate(now time.Time) float64 {
	return p.demand * math.Exp(-now.Sub(p.seen).Seconds()/rateMemory.Seconds()) / rateMemory.Seconds()
}

func (p *prefix) touch(vms int, now time.Time) {
	rate := p.rate(now)
	p.demand = rate*rateMemory.Seconds() + 1
	p.seen = now
	rate *= float64(vms)
	if rate >= hotRate {
		p.hot = true
	}
	if rate < coldRate {
		p.hot = false
		p.copies = 1
	}
}

// prefixes is the bounded table of demands.
type prefixes struct {
	table map[uint64]*prefix
}

// touch counts a request and returns the position of the deepest hot block, or -1.
func (t *prefixes) touch(hashes []uint64, vms int, now time.Time) int {
	deepest := -1
	for i, h := range hashes {
		p := t.table[h]
		if p == nil {
			t.makeRoom(now)
			p = &prefix{copies: 1, seen: now}
			t.table[h] = p
		}
		p.touch(vms, now)
		if p.hot {
			deepest = i
		}
	}
	return deepest
}

// makeRoom drops prefixes when the table is full: those not seen for a while, and if these are few, others that
// are not hot, and at last any. An eighth of the table becomes free, so that the cost is rare.
func (t *prefixes) makeRoom(now time.Time) {
	if len(t.table) < maxPrefixes {
		return
	}
	drops := [...]func(*prefix) bool{
		func(p *prefix) bool { return now.Sub(p.seen) > rateMemory },
		func(p *prefix) bool { return !p.hot },
		func(*prefix) bool { return true },
	}
	for _, drop := range drops {
		for h, p := range t.table {
			if len(t.table) <= maxPrefixes-maxPrefixes/8 {
				return
			}
			if drop(p) {
				delete(t.table, h)
			}
		}
	}
}

// spread is the decision for one request with a hot prefix.
type spread struct {
	// depth is the number of blocks of the hot prefix.
	depth int
	// copies is the number of ranks that are preferred.
	copies int
	// discount is the share of the computation that this request is charged.
	discount float64
	// penalty is the charge in milliseconds on endpoints beyond the copies. It is zero while the copies are busy.
	penalty float64
}

// plan decides how many copies a hot prefix has and returns the decision, or nil when nothing is hot. The copies
// are the first in rendezvous order, so all VMs that count alike choose alike.
func (t *prefixes) plan(r *Request, candidates []Candidate, peers int, random *rand.Rand, now time.Time) *spread {
	vms := max(peers, 0) + 1
	at := t.touch(r.Hashes, vms, now)
	if at < 0 || len(candidates) < 2 {
		return nil
	}
	key := r.Hashes[at]
	p := t.table[key]
	if p == nil {
		return nil
	}
	rank(key, candidates)
	cost := candidates[0].state.computeMillis(r, at+1)
	grow := max(growShare*cost, minGrowMillis)
	p.copies = min(p.copies, len(candidates))
	p.adapt(candidates, grow, now)
	s := &spread{
		depth:    at + 1,
		copies:   p.copies,
		discount: 1,
	}
	if p.delay < grow*shrinkShare {
		s.penalty = grow * penaltyShare
	}
	// One VM in all starts a new copy at a time on average; the others learn of it from cache events.
	if random.IntN(vms) == 0 {
		reuses := p.rate(now) * float64(vms) * reuseTime.Seconds()
		s.discount = 1 / (1 + reuses)
	}
	return s
}

// rank orders the candidates by falling rendezvous weight.
func rank(key uint64, candidates []Candidate) {
	order := make([]weighted, len(candidates))
	for i := range candidates {
		order[i] = weighted{rendezvous.Weight(key, candidates[i].Name), i}
	}
	slices.SortFunc(order, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	for i, w := range order {
		candidates[w.index].rank = i
	}
}

type weighted struct {
	weight uint64
	index  int
}

// adapt changes the number of copies by at most one.
func (p *prefix) adapt(candidates []Candidate, grow float64, now time.Time) {
	inside, outside := math.Inf(1), math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if c.rank < p.copies {
			inside = min(inside, c.Queue)
		} else {
			outside = min(outside, c.Queue)
		}
	}
	keep := math.Exp(-now.Sub(p.delayAt).Seconds() / delayMemory.Seconds())
	p.delay = p.delay*keep + inside*(1-keep)
	p.delayAt = now
	if p.delay >= grow*shrinkShare {
		p.lowSince = now
	}
	switch {
	case p.delay > grow && outside+grow/2 < inside && now.Sub(p.changed) >= growPause:
		p.copies++
		p.changed = now
	case p.copies > 1 && now.Sub(p.lowSince) >= shrinkAfter:
		p.copies--
		p.changed = now
		p.lowSince = now
	}
}

// score returns the preference for a candidate in milliseconds.
func (s *spread) score(c *Candidate, r *Request) float64 {
	if c.rank >= s.copies {
		return s.penalty
	}
	shared := s.depth - max(c.Import, c.Matched)
	if shared <= 0 {
		return 0
	}
	tail := c.state.computeMillis(r, 0)
	return -(c.state.computeMillis(r, shared) - tail) * (1 - s.discount)
}
