package place

import (
	"math"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

// Term is one part of a score, in milliseconds.
type Term struct {
	Name string
	Ms   float64
}

// Names of the terms of a score, in the order in which they are added.
const (
	TermBase          = "idle endpoint"
	TermOwnPrompt     = "own prompt"
	TermQueuedPrompts = "queued prompts"
	TermRunning       = "running requests"
	TermMemory        = "memory"
	TermSlowdown      = "observed slowdown"
	TermDataCentre    = "data centre"
	TermLoading       = "loading weights"
	TermOldVersion    = "old version"
	TermBusy          = "busy"
	TermFailures      = "failures"
	TermLimitProbe    = "probe of a limit"
	TermSharedParts   = "shared parts"
	TermAwayFromHome  = "away from home"
)

// minTermMs is the size below which a term is a rounding error, in milliseconds.
const minTermMs = 1e-6

// Reasons for which endpoints are left out.
const (
	ReasonExcluded     = "an attempt failed there"
	ReasonNoVersion    = "weight version unknown"
	ReasonUncertain    = "weight version uncertain"
	ReasonOldVersion   = "weights too old"
	ReasonFiltered     = "not allowed"
	ReasonAskedToWait  = "asked to wait"
	ReasonAtLimit      = "at its rate limit"
	ReasonEjected      = "ejected after failures"
	ReasonUnresponsive = "unresponsive"
	ReasonFull         = "full, it might fail"
	ReasonNoConnection = "this VM's share of the connections is in use"
)

// ExplainedCandidate is an endpoint that may take a request, with the terms of its score.
type ExplainedCandidate struct {
	Candidate
	// Terms add up to Score. Terms of zero are left out.
	Terms []Term
	// LastAnswer is when an attempt of this VM was last answered there, and SlowdownAt and FailureAt are when the averages
	// last changed; all are zero if that never happened.
	LastAnswer, SlowdownAt, FailureAt time.Time
}

// LeftOut is an endpoint that may not take a request now.
type LeftOut struct {
	Endpoint *fleet.Endpoint
	Reason   string
	// Until is when the reason ends, or zero if that is not known.
	Until time.Time
}

// Explanation describes a decision of Place. Candidates are all that passed the filters; in a large system the choice is
// drawn from some of them, so it need not have the lowest score.
type Explanation struct {
	Choice     Choice
	Candidates []ExplainedCandidate
	LeftOut    []LeftOut
}

// copyForReading returns a placer with the same decisions, whose Place leaves the original unchanged.
func (p *Placer) copyForReading() *Placer {
	q := *p
	q.candidates = nil
	q.states = make(map[string]*endpointState, len(p.states))
	for id, s := range p.states {
		state := *s
		q.states[id] = &state
	}
	return &q
}

// Explain describes what Place would choose, without a change of any state.
func (p *Placer) Explain(r *Request, endpoints []*fleet.Endpoint, f ServiceProperties, now time.Time) Explanation {
	q := p.copyForReading()
	x := Explanation{Choice: q.Place(r, endpoints, f, now)}
	accepting, _ := q.filter(r, endpoints, f, now)
	accepting = slices.Clone(accepting)
	candidates, _ := withRoom(healthy(slices.Clone(accepting), now), f, now)
	for i := range candidates {
		q.score(&candidates[i], r, f, now)
	}
	scored := slices.Clone(candidates)
	q.addTransfers(r, candidates, endpoints, f, now)
	for i, c := range candidates {
		x.Candidates = append(x.Candidates, ExplainedCandidate{
			Candidate: c, Terms: q.terms(c, scored[i], r, f, now),
			LastAnswer: c.state.lastAnswer, SlowdownAt: c.state.slowdownAt, FailureAt: c.state.failureAt,
		})
	}
	for _, e := range endpoints {
		if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Endpoint == e }) {
			x.LeftOut = append(x.LeftOut, q.whyLeftOut(r, e, f, now))
		}
	}
	return x
}

// terms returns the terms of the score of a candidate; scored is the candidate before addTransfers. The endpoint is scored as
// if it were idle and nothing were known of it, and then with one input after the other, so the terms add up to the score
// whatever its formula.
func (p *Placer) terms(c, scored Candidate, r *Request, f ServiceProperties, now time.Time) []Term {
	q, input, request, properties := *p, scored, *r, f
	idle := endpointState{slowdownAvg: 1, versions: c.state.versions}
	input.state, input.Load = &idle, Load{}
	q.loading, request.Announced, properties.Limits, properties.DataCentre = nil, nil, nil, c.Endpoint.DataCentre
	score := func() Candidate {
		out := input
		out.Expected, out.Prefill, out.Score = 0, 0, 0
		q.score(&out, &request, properties, now)
		return out
	}
	base := score()
	terms := []Term{{TermBase, base.Score - base.Prefill}, {TermOwnPrompt, base.Prefill}}
	reached := base.Score
	for _, step := range []struct {
		name string
		set  func()
	}{
		{TermQueuedPrompts, func() { input.Load.PendingPrefill = c.Load.PendingPrefill }},
		{TermRunning, func() { input.Load.Running = c.Load.Running }},
		{TermMemory, func() { input.Load.Memory = c.Load.Memory }},
		{TermSlowdown, func() { idle.slowdownAvg, idle.slowdownAt = c.state.slowdownAvg, c.state.slowdownAt }},
		{TermDataCentre, func() { properties.DataCentre = f.DataCentre }},
		{TermLoading, func() { q.loading = p.loading }},
		{TermOldVersion, func() { request.Announced = r.Announced }},
		{TermBusy, func() { idle.busyUntil = c.state.busyUntil }},
		{TermFailures, func() { idle.failureAvg, idle.failureAt = c.state.failureAvg, c.state.failureAt }},
		{TermLimitProbe, func() { properties.Limits = f.Limits }},
	} {
		step.set()
		next := score().Score
		terms = append(terms, Term{step.name, next - reached})
		reached = next
	}
	transfer := c.Expected - scored.Expected
	terms = append(terms, Term{TermSharedParts, transfer}, Term{TermAwayFromHome, c.Score - scored.Score - transfer})
	return slices.DeleteFunc(terms, func(t Term) bool { return math.Abs(t.Ms) < minTermMs })
}

// whyLeftOut returns why an endpoint may not take a request.
func (p *Placer) whyLeftOut(r *Request, e *fleet.Endpoint, f ServiceProperties, now time.Time) LeftOut {
	s := p.stateOf(e)
	c := Candidate{Endpoint: e, state: s, Load: p.totalLoad(e.ID), Version: s.version(e, r.Model)}
	if !p.allowed(&c, r, f, now) {
		return whyNotAllowed(&c, r, f, now)
	}
	next := f.nextSend(e, now)
	switch {
	case next.After(now) && !next.Before(s.waitUntil):
		return LeftOut{Endpoint: e, Reason: ReasonAtLimit, Until: next}
	case now.Before(s.waitUntil):
		return LeftOut{Endpoint: e, Reason: ReasonAskedToWait, Until: s.waitUntil}
	case f.nextWithoutRejection(&c, now).After(now):
		return LeftOut{Endpoint: e, Reason: ReasonFull, Until: f.nextWithoutRejection(&c, now)}
	case now.Before(s.ejectUntil):
		return LeftOut{Endpoint: e, Reason: ReasonEjected, Until: s.ejectUntil}
	case s.unresponsive(now):
		return LeftOut{Endpoint: e, Reason: ReasonUnresponsive}
	case f.Connections != nil && !f.Connections.To(e, s.load.Running, now).Room:
		return LeftOut{Endpoint: e, Reason: ReasonNoConnection}
	}
	return LeftOut{Endpoint: e, Reason: ReasonFiltered}
}

// whyNotAllowed returns which of the filters that are never relaxed leaves a candidate out.
func whyNotAllowed(c *Candidate, r *Request, f ServiceProperties, now time.Time) LeftOut {
	out := LeftOut{Endpoint: c.Endpoint, Reason: ReasonFiltered}
	at, old := r.superseded(c.Version)
	switch {
	case slices.Contains(r.Exclude, c.Endpoint.ID):
		out.Reason = ReasonExcluded
	case c.Version == 0:
		out.Reason = ReasonNoVersion
	case now.Before(c.state.versionUncertainUntil):
		out.Reason, out.Until = ReasonUncertain, c.state.versionUncertainUntil
	case old && now.Sub(at) >= f.VersionLimit:
		out.Reason = ReasonOldVersion
	}
	return out
}
