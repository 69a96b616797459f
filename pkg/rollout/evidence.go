package rollout

import "maps"

// RouteID identifies a route by a hash of its name.
type RouteID uint64

// Counts are requests and answers on one route. All only grow.
type Counts struct {
	// OldAnswers and OldBad are the answers of other versions than the target, and the bad ones among them.
	OldAnswers, OldBad int64
	// NewAnswers and NewBad are those of the target.
	NewAnswers, NewBad int64
	// NewSent are the attempts sent to the target, answered or not.
	NewSent int64
	// Sent are the requests sent to any version; retries are not counted.
	Sent int64
}

// plus returns the sums of two counts.
func (c Counts) plus(d Counts) Counts {
	return Counts{
		OldAnswers: c.OldAnswers + d.OldAnswers, OldBad: c.OldBad + d.OldBad,
		NewAnswers: c.NewAnswers + d.NewAnswers, NewBad: c.NewBad + d.NewBad,
		NewSent: c.NewSent + d.NewSent, Sent: c.Sent + d.Sent,
	}
}

// max returns the greater ones of two counts of the same process.
func (c Counts) max(d Counts) Counts {
	return Counts{
		OldAnswers: max(c.OldAnswers, d.OldAnswers), OldBad: max(c.OldBad, d.OldBad),
		NewAnswers: max(c.NewAnswers, d.NewAnswers), NewBad: max(c.NewBad, d.NewBad),
		NewSent: max(c.NewSent, d.NewSent), Sent: max(c.Sent, d.Sent),
	}
}

// clean returns the answers of the target that are not bad.
func (c Counts) clean() int64 {
	return c.NewAnswers - c.NewBad
}

// Evidence is what was counted since an order, by route.
type Evidence map[RouteID]Counts

// Total returns the sums over all routes.
func (e Evidence) Total() Counts {
	var sum Counts
	for _, c := range e {
		sum = sum.plus(c)
	}
	return sum
}

// coversRoutes reports whether the target has a number of answers on each route on which the old version has as many.
func (e Evidence) coversRoutes(answers int64) bool {
	for _, c := range e {
		if c.OldAnswers >= answers && c.NewAnswers < answers {
			return false
		}
	}
	return true
}

// Version tells which software version an attempt was sent to.
type Version int

const (
	// Old is any version other than the target.
	Old Version = iota
	// Target is the version that is rolled out.
	Target
)

// Tally counts what one process sees of a roll-out.
type Tally struct {
	counts Evidence
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{counts: Evidence{}}
}

// Sent counts an attempt. First is set for the first attempt of a request.
func (t *Tally) Sent(route RouteID, v Version, first bool) {
	c := t.counts[route]
	if first {
		c.Sent++
	}
	if v == Target {
		c.NewSent++
	}
	t.counts[route] = c
}

// Answered counts an answer.
func (t *Tally) Answered(route RouteID, v Version, bad bool) {
	c := t.counts[route]
	if v == Target {
		c.NewAnswers++
	} else {
		c.OldAnswers++
	}
	t.counts[route] = c
	if bad {
		t.TurnedBad(route, v)
	}
}

// TurnedBad counts an answer as bad that was counted before, such as a stream that broke off after a first token in time.
func (t *Tally) TurnedBad(route RouteID, v Version) {
	c := t.counts[route]
	if v == Target {
		c.NewBad++
	} else {
		c.OldBad++
	}
	t.counts[route] = c
}

// Evidence returns a copy of the counts.
func (t *Tally) Evidence() Evidence {
	return maps.Clone(t.counts)
}

// Process identifies a process of a VM.
type Process struct {
	VM   string
	Boot uint64
}

// Pool holds the counts of all processes that took part in a roll-out. Counts are cumulative, so a report that is lost,
// repeated or late changes nothing once a later one has arrived. The counts of processes that ended are kept.
type Pool struct {
	processes map[Process]Evidence
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{processes: map[Process]Evidence{}}
}

// Merge adds the report of a process. Reports may arrive in any order.
func (p *Pool) Merge(from Process, e Evidence) {
	known := p.processes[from]
	if known == nil {
		known = Evidence{}
		p.processes[from] = known
	}
	for route, c := range e {
		known[route] = known[route].max(c)
	}
}

// Evidence returns the sums over all processes.
func (p *Pool) Evidence() Evidence {
	sum := Evidence{}
	for _, e := range p.processes {
		for route, c := range e {
			sum[route] = sum[route].plus(c)
		}
	}
	return sum
}
