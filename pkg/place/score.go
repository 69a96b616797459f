package place

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/workload"
)

// Penalties, in milliseconds added to the expected time to the first token.
const (
	// crossDataCentrePenaltyMs covers the latency and the cost of traffic between data centres.
	crossDataCentrePenaltyMs = 8.0
	// loadingPenaltyMs keeps new work away from an engine that drains or loads new weights.
	loadingPenaltyMs = 2000.0
	// oldVersionPenaltyMs is the cost of an answer from superseded weights.
	oldVersionPenaltyMs = 200.0
	// failurePenaltyMs is the cost of a failed attempt. It is multiplied by the failure rate.
	failurePenaltyMs = 600.0
	// busyPenaltyMs applies for busyFor after an endpoint refused a request because it was full.
	busyPenaltyMs = 150.0
	// probeBonusMs is how much longer a request may take on an endpoint that is due to be probed for the end of its rate
	// limit.
	probeBonusMs = 100.0
	// idleConnectionBonusMs is how much longer a request may take on an endpoint to which an idle connection is open. It is
	// about the round trip of a handshake, and less than the differences that matter for placement.
	idleConnectionBonusMs = 3.0
)

// oldVersionGrace is the time after the announcement of a newer version during which older weights have no penalty.
const oldVersionGrace = 1200 * time.Millisecond

// score predicts the time to the first token on a candidate and adds the penalties.
func (p *Placer) score(c *Candidate, r *Request, f ServiceProperties, now time.Time) {
	if r.OnEngine {
		c.CachedTokens = min(p.cache.expectedTokens(SourceOf(c.Endpoint), r.Salt(c.Version), r, unwatchedSentTTL, now), r.sharedTokens())
	}
	if p.model != nil {
		p.predictLearned(c, r, f, now)
	} else {
		predictFixed(c, r, f, now)
	}
	c.Score = c.Expected
	if c.Endpoint.DataCentre != f.DataCentre {
		c.Score += crossDataCentrePenaltyMs
	}
	if p.loading[c.Endpoint.ID] {
		c.Score += loadingPenaltyMs
	}
	if at, old := r.superseded(c.Version); r.OnEngine && old && now.Sub(at) > oldVersionGrace {
		c.Score += oldVersionPenaltyMs
	}
	if now.Before(c.state.busyUntil) {
		c.Score += busyPenaltyMs
	}
	c.Score += failurePenaltyMs * c.state.failureRate(now)
	if f.Limits != nil && f.Limits.ProbeDue(c.Endpoint, now) {
		c.Score -= probeBonusMs
	}
	if c.connections.Idle {
		c.Score -= idleConnectionBonusMs
	}
}

// predictFixed predicts the time to the first token by fixed figures and the slowdown that this VM observed.
func predictFixed(c *Candidate, r *Request, f ServiceProperties, now time.Time) {
	if r.OnEngine {
		c.Expected = engineFirstTokenMs(c, r, f)
	} else {
		c.Expected = serviceTimeMs(c, f)
	}
	slowdown := c.state.slowdown(now)
	c.Expected *= slowdown
	c.Prefill *= slowdown
}

// engineFirstTokenMs predicts the time to the first token on an engine, in milliseconds, from the prompts queued before
// the request, its unshared prompt tokens and the running batch. addTransfers adds the cost of the shared parts.
func engineFirstTokenMs(c *Candidate, r *Request, f ServiceProperties) float64 {
	c.Prefill = float64(max(r.Prompt-r.sharedTokens(), 0)) / prefillTokensPerMs
	t := idleFirstTokenMs + float64(c.Load.PendingPrefill)/prefillTokensPerMs + c.Prefill
	t += batchDelayMs * float64(c.Load.Running)
	if over := c.Load.Running + 1 - f.Slots; over > 0 && f.Slots > 0 {
		t += float64(over) * float64(r.Output) * outputTokenMs / float64(f.Slots)
	}
	usable := workload.UsableMemoryShare * float64(f.CacheTokens)
	if need := float64(c.Load.Memory + r.Prompt + r.Output); f.CacheTokens > 0 && need > usable {
		t += workload.PriorMemoryWaitMs * (1 + (need-usable)/float64(f.CacheTokens)*workload.MemoryWaitGrowth)
	}
	return t
}

// serviceTimeMs predicts the response time of a plain service, in milliseconds, from the number of requests ahead.
func serviceTimeMs(c *Candidate, f ServiceProperties) float64 {
	slots := max(f.Slots, 1)
	ahead := float64(max(c.Load.Running+1-slots, 0)) / float64(slots)
	return plainServiceMs*(1+ahead) + float64(c.Load.Running)
}
