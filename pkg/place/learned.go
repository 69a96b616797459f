package place

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/workload"
)

// loadRates gets the rates of a request for all of its candidates.
func (p *Placer) loadRates(r *Request, candidates []Candidate, f ServiceProperties, now time.Time) {
	if p.model == nil {
		return
	}
	p.query = baseQuery(r)
	if r.OnEngine {
		p.query.Output = p.model.ExpectedOutput(outputQuery(r), now)
	}
	p.rates = p.model.Rates(p.query, now)
	p.unreported = p.estimateUnreported(candidates, f.Endpoints, now)
}

// baseQuery returns what a query to the model holds on all endpoints.
func baseQuery(r *Request) workload.Query {
	return workload.Query{Service: r.Service, Model: r.Model, Route: r.Route, OnEngine: r.OnEngine, Whole: r.Whole}
}

// outputQuery returns the request whose output the model observes.
func outputQuery(r *Request) workload.OutputQuery {
	return workload.OutputQuery{
		Service: r.Service, Model: r.Model, Workspace: r.Workspace, Route: r.Route, Hint: r.Output, Limit: r.OutputLimit,
	}
}

// predictLearned predicts the time to the first token by the model. addTransfers adds the cost of the shared parts.
func (p *Placer) predictLearned(c *Candidate, r *Request, f ServiceProperties, now time.Time) {
	local := c.state.slowdown(now)
	// The pooled factors are a few seconds old. What this VM saw of the endpoint corrects them at once.
	c.factor = p.rates.Factor * p.model.EndpointFactor(c.Endpoint.ID, c.Endpoint.StartTimeMs, now) * local
	cost := p.rates.Cost(p.queryAt(c, r, f, now))
	c.Expected = cost.FirstTokenMs * c.factor
	c.Prefill = cost.PrefillMs * c.factor
}

// queryAt returns the query for the request on a candidate, without the shared parts that the candidate lacks.
func (p *Placer) queryAt(c *Candidate, r *Request, f ServiceProperties, now time.Time) workload.Query {
	q := p.query
	load := p.forecast(c, now)
	q.Running, q.Slots = load.Running, f.Slots
	if r.OnEngine {
		q.Uncached = float64(max(r.Prompt-r.sharedTokens(), 0))
		q.Queued = float64(load.PendingPrefill)
		q.Memory, q.MemoryNeeded, q.MemoryLimit = load.Memory, r.Prompt+r.Output, f.CacheTokens
	}
	return q
}

// describe completes the choice of a candidate with what the model needs to learn from its outcome.
func (p *Placer) describe(choice *Choice, c *Candidate, r *Request, f ServiceProperties, now time.Time) {
	q := p.queryAt(c, r, f, now)
	q.Endpoint, q.Born = c.Endpoint.ID, c.Endpoint.StartTimeMs
	q.LocalFactor = c.state.slowdown(now)
	if r.OnEngine {
		q.Uncached = float64(choice.UncachedTokens)
		q.FetchMs = c.fetchMs
	}
	choice.query, choice.endpoints = q, p.unreported.endpoints
	choice.Output = milliseconds(p.model.Predict(q, now).OutputMs)
}

// prefillMs returns the time that a candidate takes to compute a number of prompt tokens, in milliseconds.
func (p *Placer) prefillMs(c *Candidate, tokens int) float64 {
	if p.model == nil {
		return float64(tokens) / prefillTokensPerMs
	}
	return float64(tokens) * p.rates.PrefillMs * c.factor
}

// observeEnd lets the model learn from the end of an attempt.
func (p *Placer) observeEnd(x *attempt, outcome Outcome, now time.Time) {
	if p.model == nil {
		return
	}
	if !x.answered {
		if endedWaiting(outcome) {
			took := toMilliseconds(now.Sub(x.sentAt))
			p.model.ObserveFirstToken(workload.Observation{Query: x.query, TookMs: took, Censored: true}, now)
		}
		return
	}
	if outcome != Answered || x.outputTokens == 0 {
		return
	}
	took := toMilliseconds(now.Sub(x.firstAt))
	p.model.ObserveOutput(workload.Output{
		OutputQuery: x.output, Tokens: x.outputTokens, TookMs: took, ReadMs: p.readMs(x, took, now),
	}, now)
}

// endedWaiting reports whether an attempt with an outcome may have ended while it waited for a slow endpoint. Attempts
// that were refused or never reached the endpoint did not wait.
func endedWaiting(o Outcome) bool {
	return o == Neutral || o == TimedOut
}

// maxReadShare bounds the part of the time of an output in which the engine reads prompts.
const maxReadShare = 0.9

// readMs estimates how long an engine read the prompts of other requests during an output: those that waited at the first
// token, and those that all VMs sent since.
func (p *Placer) readMs(x *attempt, tookMs float64, now time.Time) float64 {
	rates := p.model.Rates(x.query, now)
	tokens := float64(x.pendingAtFirst) + tookMs*rates.SentTokensPerMs/max(x.endpoints, 1)
	return min(tokens*rates.PrefillMs, maxReadShare*tookMs)
}

// RecordOutputTokens records how many output tokens an attempt has brought. A call of RecordOutcome follows.
func (p *Placer) RecordOutputTokens(id uint64, tokens int) {
	if x := p.attempts[id]; x != nil {
		x.outputTokens = tokens
	}
}

// toMilliseconds converts a duration to a number of milliseconds.
func toMilliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
