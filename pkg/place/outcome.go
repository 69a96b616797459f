package place

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/workload"
)

// Outcome is the result of an attempt at an endpoint.
type Outcome int

const (
	// Answered is a complete answer.
	Answered Outcome = iota
	// Failed is an answer in which the endpoint reports a failure of its own.
	Failed
	// Broken is a connection that ended early. The endpoint may have ended.
	Broken
	// Unreachable means that no connection could be made.
	Unreachable
	// Full means that the endpoint refused the request because it was at capacity.
	Full
	// Neutral means that the attempt shows nothing about the endpoint, for instance because the caller left.
	Neutral
	// TimedOut means that this VM gave up waiting for the endpoint.
	TimedOut
	// Malformed is an answer that breaks the protocol or belongs to another request. The endpoint is in trouble, but it runs.
	Malformed
	// ConnectionRefused means that the endpoint reset a new connection, most likely because it had as many as it accepts.
	// Unlike Full it does not prove that the endpoint works.
	ConnectionRefused
)

// attempt is a request that was sent to an endpoint and has not ended.
type attempt struct {
	source     string
	state      *endpointState
	load       Load
	prefill    int
	sentAt     time.Time
	expectedMs float64
	answered   bool
	// query describes the request to the model of work, and output its output.
	query  workload.Query
	output workload.OutputQuery
	// firstAt is the time of the first token, pendingAtFirst the prompt tokens that the endpoint had to compute then, and
	// outputTokens the number of output tokens.
	firstAt                      time.Time
	pendingAtFirst, outputTokens int
	// endpoints is the number of endpoints of the service.
	endpoints float64
}

// RecordSend records that a request is sent to the chosen endpoint. A call of RecordOutcome must follow.
func (p *Placer) RecordSend(r *Request, c Choice, now time.Time) {
	s := p.stateOf(c.Endpoint)
	x := &attempt{
		source:     SourceOf(c.Endpoint),
		state:      s,
		sentAt:     now,
		expectedMs: float64(c.Expected) / float64(time.Millisecond),
		load:       Load{Running: 1, Memory: r.Prompt + r.Output},
		prefill:    c.UncachedTokens,
		query:      c.query,
		output:     outputQuery(r),
		endpoints:  c.endpoints,
	}
	s.load.Running += x.load.Running
	s.load.Memory += x.load.Memory
	s.load.PendingPrefill += x.prefill
	s.addPending(x)
	p.attempts[r.ID] = x
	if p.model != nil {
		p.model.ObserveSend(c.query, now)
	}
	if r.OnEngine {
		p.cache.recordSend(SourceOf(c.Endpoint), r.Salt(c.Version), r, now)
		if c.SaveTo != "" {
			p.cache.recordSend(c.SaveTo, r.Salt(c.Version), r, now)
		}
	}
}

// RecordFirstToken records that the first byte of an answer arrived.
func (p *Placer) RecordFirstToken(id uint64, now time.Time) {
	x := p.attempts[id]
	if x == nil || x.answered {
		return
	}
	x.answered = true
	x.firstAt = now
	x.state.lastAnswer = now
	x.state.load.PendingPrefill -= x.prefill
	x.prefill = 0
	x.pendingAtFirst = p.totalLoad(x.query.Endpoint).PendingPrefill
	took := toMilliseconds(now.Sub(x.sentAt))
	if p.model != nil {
		p.model.ObserveFirstToken(workload.Observation{Query: x.query, TookMs: took}, now)
	}
	x.state.observeSlowdown(took/max(x.expectedMs, 1)*x.state.slowdown(now), now)
}

// RecordOutcome records the end of an attempt and takes its load off the endpoint.
func (p *Placer) RecordOutcome(id uint64, outcome Outcome, now time.Time) {
	x := p.attempts[id]
	if x == nil {
		return
	}
	delete(p.attempts, id)
	s := x.state
	s.dropPending(x)
	s.load.Running -= x.load.Running
	s.load.Memory -= x.load.Memory
	s.load.PendingPrefill -= x.prefill
	p.observeEnd(x, outcome, now)
	switch outcome {
	case Answered:
		s.recordResult(0, now)
		s.ejections = 0
	case Failed:
		s.recordResult(1, now)
	case Broken, TimedOut, Malformed:
		s.recordResult(1, now)
		s.consecutiveBroken++
		p.cache.forgetSent(x.source)
		if s.consecutiveBroken >= ejectAfter {
			s.eject(now)
		}
	case Unreachable:
		s.recordResult(1, now)
		s.eject(now)
		p.cache.forgetSent(x.source)
	case Full, ConnectionRefused:
		s.busyUntil = now.Add(busyFor)
	case Neutral:
	}
	if outcome == Answered || outcome == Failed || outcome == Full {
		s.consecutiveBroken = 0
	}
}

// ejectAfter is the number of consecutive broken or timed-out attempts after which an endpoint is ejected.
const ejectAfter = 3

// RecordVersion records the weight version of a model that an endpoint reported in an answer, in a load report or
// through a peer's digest.
func (p *Placer) RecordVersion(e *fleet.Endpoint, model string, version int64) {
	s := p.stateOf(e)
	if version > s.versions[model] {
		s.versions[model] = version
	}
}

// KnownVersion returns the newest known weight version of a model on an endpoint, or 0.
func (p *Placer) KnownVersion(e *fleet.Endpoint, model string) int64 {
	return p.stateOf(e).version(e, model)
}
