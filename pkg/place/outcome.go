package place

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

// Outcome tells how an attempt at an endpoint ended.
type Outcome int

const (
	// Answered means a complete answer.
	Answered Outcome = iota
	// Failed means an answer of the endpoint that reports a failure of its own.
	Failed
	// Broken means a connection that ended or an answer that is none.
	Broken
	// Unreachable means that no connection could be made.
	Unreachable
	// Full means that the endpoint refused because it was full.
	Full
	// Neutral means that the attempt says nothing of the endpoint, for instance when the caller left.
	Neutral
	// Silent means that this VM gave up waiting for the endpoint.
	Silent
)

// sent is one request on its way.
type sent struct {
	source   string
	state    *state
	load     Load
	unread   int
	at       time.Time
	expected float64
	answered bool
}

// Sent records that a request goes to the chosen endpoint. Done must follow.
func (p *Placer) Sent(r *Request, c Choice, now time.Time) {
	s := p.stateOf(c.Endpoint)
	x := &sent{
		source:   SourceOf(c.Endpoint),
		state:    s,
		at:       now,
		expected: float64(c.Expected) / float64(time.Millisecond),
		load:     Load{Running: 1, Memory: r.Prompt + r.Output},
		unread:   c.Missing,
	}
	s.load.Running += x.load.Running
	s.load.Memory += x.load.Memory
	s.load.Unread += x.unread
	s.pending[r.ID] = x
	p.sent[r.ID] = x
	if r.Engine {
		p.cache.add(SourceOf(c.Endpoint), r.Salt(c.Version), r, now)
		if c.SaveTo != "" {
			p.cache.add(c.SaveTo, r.Salt(c.Version), r, now)
		}
	}
}

// FirstToken records the first byte of an answer.
func (p *Placer) FirstToken(id uint64, now time.Time) {
	x := p.sent[id]
	if x == nil || x.answered {
		return
	}
	x.answered = true
	x.state.lastAnswer = now
	x.state.load.Unread -= x.unread
	x.unread = 0
	took := float64(now.Sub(x.at)) / float64(time.Millisecond)
	x.state.observe(took/max(x.expected, 1)*x.state.slowness(now), now)
}

// Done records the end of an attempt.
func (p *Placer) Done(id uint64, outcome Outcome, now time.Time) {
	x := p.sent[id]
	if x == nil {
		return
	}
	delete(p.sent, id)
	s := x.state
	delete(s.pending, id)
	s.load.Running -= x.load.Running
	s.load.Memory -= x.load.Memory
	s.load.Unread -= x.unread
	switch outcome {
	case Answered:
		s.recordResult(0, now)
		s.ejections = 0
	case Failed:
		s.recordResult(1, now)
	case Broken, Silent:
		s.recordResult(1, now)
		s.consecutiveUnhealthy++
		p.cache.forgetSent(x.source)
		if s.consecutiveUnhealthy >= ejectAfter {
			s.eject(now)
		}
	case Unreachable:
		s.recordResult(1, now)
		s.eject(now)
		p.cache.forgetSent(x.source)
	case Full:
		s.busyUntil = now.Add(busyFor)
	case Neutral:
	}
	if outcome == Answered || outcome == Failed || outcome == Full {
		s.consecutiveUnhealthy = 0
	}
}

// ejectAfter is the number of broken answers in a row after which an endpoint is left out for a while.
const ejectAfter = 3

// Version records the weight version that an endpoint reported in an answer, a report or a peer's digest.
func (p *Placer) Version(e *fleet.Endpoint, model string, version int64) {
	s := p.stateOf(e)
	if version > s.versions[model] {
		s.versions[model] = version
	}
}

// KnownVersion returns the newest known weight version of a model on an endpoint, or 0.
func (p *Placer) KnownVersion(e *fleet.Endpoint, model string) int64 {
	return p.stateOf(e).version(e, model)
}
