package place

import "time"

// Preferences, in milliseconds of expected first token that an endpoint may be slower and still win.
const (
	// crossDataCentreMs stands for the delay and the price of bytes between data centres.
	crossDataCentreMs = 8.0
	// loadingMs keeps new work from an engine that drains or loads new weights.
	loadingMs = 2000.0
	// oldVersionMs is the loss of an answer on replaced weights.
	oldVersionMs = 200.0
	// failureMs is the loss of an attempt that fails.
	failureMs = 600.0
	// busyMs follows a refusal by a full endpoint.
	busyMs = 150.0
	// noMemoryMs is the loss of a request that preempts others or is preempted.
	noMemoryMs = 150.0
	// memoryHeadroom is the share of an engine's memory that running requests may fill.
	memoryHeadroom = 0.9
)

// oldVersionGrace is the age of a newer version within which older weights cost nothing.
const oldVersionGrace = 1200 * time.Millisecond

// score predicts the first token on a candidate and adds the preferences.
func (p *Placer) score(c *Candidate, r *Request, f Facts, now time.Time) {
	if r.Engine {
		c.Expected = p.engineMs(c, r, f, now)
	} else {
		c.Expected = serviceTimeMs(c, f)
	}
	slowness := c.state.slowness(now)
	c.Expected *= slowness
	c.Reading *= slowness
	c.Score = c.Expected
	if c.Endpoint.DataCentre != f.DataCentre {
		c.Score += crossDataCentreMs
	}
	if p.loading[c.Endpoint.ID] {
		c.Score += loadingMs
	}
	if at, old := r.superseded(c.Version); r.Engine && old && now.Sub(at) > oldVersionGrace {
		c.Score += oldVersionMs
	}
	if now.Before(c.state.busyUntil) {
		c.Score += busyMs
	}
	c.Score += failureMs * c.state.failureRate(now)
}

// engineMs predicts the time to the first token on an engine from the prompts before it, its own part of the prompt and
// the running batch. The shared parts are added by addTransfers.
func (p *Placer) engineMs(c *Candidate, r *Request, f Facts, now time.Time) float64 {
	shared := r.sharedTokens()
	c.Held = min(p.cache.held(SourceOf(c.Endpoint), r.Salt(c.Version), r, unwatchedFor, now), shared)
	c.Reading = float64(max(r.Prompt-shared, 0)) / prefillTokensPerMs
	t := firstTokenMs + float64(c.Load.Unread)/prefillTokensPerMs + c.Reading
	t += batchMs * float64(c.Load.Running)
	if over := c.Load.Running + 1 - f.Slots; over > 0 && f.Slots > 0 {
		t += float64(over) * float64(r.Output) * generateMs / float64(f.Slots)
	}
	room := memoryHeadroom * float64(f.CacheTokens)
	if need := float64(c.Load.Memory + r.Prompt + r.Output); f.CacheTokens > 0 && need > room {
		t += noMemoryMs * (1 + (need-room)/float64(f.CacheTokens)*4)
	}
	return t
}

// serviceTimeMs predicts the answer of a plain service from the requests before it.
func serviceTimeMs(c *Candidate, f Facts) float64 {
	slots := max(f.Slots, 1)
	ahead := float64(max(c.Load.Running+1-slots, 0)) / float64(slots)
	return serviceMs*(1+ahead) + float64(c.Load.Running)
}
