package place

import (
	"math"
	"time"

	"github.com/corneldeal/corneldeal/pkg/splitmix"
	"github.com/corneldeal/corneldeal/pkg/workload"
)

// unreported is an estimate of what peers have sent since their last reports.
type unreported struct {
	// ageMs is the mean age of the peers' reports, in milliseconds, and since the time that long ago.
	ageMs float64
	since time.Time
	// own is the number of requests that this VM sent to the candidates in that time, and peers that of the peers.
	own, peers float64
	// endpoints is the number of endpoints of the service.
	endpoints float64
	// drawn is set if there are so many peers that candidates are drawn.
	drawn bool
	// each is the mean load of a request, in tokens.
	each struct{ tokens, memory float64 }
}

// estimateUnreported estimates what peers have sent since their last reports: what they usually send in that time, more
// where this VM sent more than usual.
func (p *Placer) estimateUnreported(candidates []Candidate, endpoints int, now time.Time) unreported {
	u := unreported{endpoints: float64(max(endpoints, len(candidates))), drawn: len(p.peers) >= sampleFromPeers}
	if len(p.peers) == 0 || p.epoch.IsZero() || p.datedReports == 0 {
		return u
	}
	u.ageMs = max(now.Sub(p.epoch).Seconds()-p.reportSeconds/float64(p.datedReports), 0) * msPerSecond
	u.since = now.Add(-milliseconds(u.ageMs))
	memory := 0.0
	for i := range candidates {
		c := &candidates[i]
		for _, x := range c.state.pending {
			if x.sentAt.After(u.since) {
				c.recent++
				memory += float64(x.load.Memory)
			}
		}
		u.own += float64(c.recent)
	}
	expected := p.rates.OwnSentPerMs * u.ageMs
	recent := (u.own + ownSendsPrior) / (expected + ownSendsPrior)
	u.own = max(u.own, expected*float64(len(candidates))/u.endpoints)
	u.peers = (p.rates.SentPerMs - p.rates.OwnSentPerMs) * u.ageMs * recent * p.rates.Confidence
	u.each.tokens = p.rates.MeanUncached
	u.each.memory = memory / max(u.own, 1)
	return u
}

// ownSendsPrior is the number of requests that this VM's own count of sends is drawn to its mean by.
const ownSendsPrior = 4.0

// msPerSecond is the number of milliseconds in a second.
const msPerSecond = 1e3

// choicePrior is the number of choices of each candidate that is added to those that this VM made.
const choicePrior = 0.5

// sentTo returns how many requests the peers have sent to a candidate since their reports. Peers know about the same as
// this VM, so they choose alike; the share of a candidate is that of this VM's choices, with one more choice of each
// candidate as the prior (Laplace's rule of succession).
func (u *unreported) sentTo(c *Candidate) float64 {
	if u.drawn {
		// Peers draw their candidates, so their choices do not resemble this VM's.
		return u.peers / u.endpoints
	}
	return u.peers * (float64(c.recent) + choicePrior) / (u.own + choicePrior*u.endpoints)
}

// forecast returns the load that all VMs have on a candidate now: this VM's, and what peers reported less what the
// endpoint has done since, plus what they have sent since. Without observations it is the reported load.
func (p *Placer) forecast(c *Candidate, now time.Time) Load {
	reported := p.peerSum[c.Endpoint.ID]
	u := &p.unreported
	if u.ageMs == 0 || p.rates.Confidence == 0 {
		return c.Load
	}
	own := c.Load
	own.add(Load{Running: -reported.Running, PendingPrefill: -reported.PendingPrefill, Memory: -reported.Memory})
	sent := u.sentTo(c)
	tokens := float64(reported.PendingPrefill) + sent*u.each.tokens
	tokens -= p.drained(c, tokens, now) * p.rates.Confidence
	left := 1 - p.rates.Confidence*(1-math.Exp(-u.ageMs/p.lifeMs(c)))
	return Load{
		Running:        own.Running + int(float64(reported.Running)*left+sent+0.5),
		PendingPrefill: own.PendingPrefill + int(max(tokens, 0)),
		Memory:         own.Memory + int(float64(reported.Memory)*left+sent*u.each.memory),
	}
}

// drained returns how many of the peers' prompt tokens an endpoint has computed since the reports: its speed serves the
// prompts of all VMs in proportion.
func (p *Placer) drained(c *Candidate, tokens float64, now time.Time) float64 {
	own := float64(c.Load.PendingPrefill - p.peerSum[c.Endpoint.ID].PendingPrefill)
	age := p.unreported.ageMs
	if at := p.peerReportAge(c.Endpoint.ID, now); at > 0 {
		age = toMilliseconds(at)
	}
	speed := 1 / (p.rates.PrefillMs * c.factor)
	return min(speed*age*tokens/max(tokens+own, 1), tokens)
}

// lifeMs returns the expected time that a request spends at a candidate.
func (p *Placer) lifeMs(c *Candidate) float64 {
	if !p.query.OnEngine {
		return max(p.rates.PlainMs*c.factor, 1)
	}
	cost := p.rates.Cost(workload.Query{OnEngine: true, Output: p.query.Output, Queued: float64(c.Load.PendingPrefill)})
	return max((cost.FirstTokenMs+cost.OutputMs)*c.factor, 1)
}

// peerReportAge returns the mean age of the prompt tokens that peers reported for an endpoint.
func (p *Placer) peerReportAge(id string, now time.Time) time.Duration {
	sum := p.peerSum[id].PendingPrefill
	if sum <= 0 || p.epoch.IsZero() {
		return 0
	}
	seconds := now.Sub(p.epoch).Seconds() - p.peerTokenSeconds[id]/float64(sum)
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

const (
	// maxNearMs bounds the difference of scores within which endpoints are about equal. It is below awayFromHomePenaltyMs, so
	// that prompts stay where their shared parts are.
	maxNearMs = 60.0
	// fullSpreadPeers is the number of peers from which requests are spread in full. The choices of few peers are foreseen well
	// enough by those of this VM: with 9 VMs spreading makes the first token 2 to 20 % later.
	fullSpreadPeers = 40.0
	// nearDeviations is that difference in standard deviations of the unknown part of a queue.
	nearDeviations = 1.0
)

// SetSeed sets the seed of the choices between endpoints that are about equal. It must differ between VMs.
func (p *Placer) SetSeed(seed uint64) {
	p.seed = seed
}

// anyNear returns one of the candidates whose scores differ from the best one by less than what is unknown of their queues.
// If all VMs took the best one by the same reports, its queue would grow until the next reports (Mitzenmacher, How useful is
// old information?, 2000).
func (p *Placer) anyNear(best *Candidate, candidates []Candidate) *Candidate {
	limit := best.Score + p.nearMs()
	near := 0
	chosen := best
	for i := range candidates {
		if candidates[i].Score > limit {
			continue
		}
		near++
		p.choices++
		if splitmix.Number(p.seed, p.choices)%uint64(near) == 0 {
			chosen = &candidates[i]
		}
	}
	return chosen
}

// nearMs returns the difference of scores within which endpoints are about equal.
func (p *Placer) nearMs() float64 {
	unknown := math.Sqrt(p.unreported.peers/p.unreported.endpoints) * p.requestMs()
	spread := min(float64(len(p.peers))/fullSpreadPeers, 1)
	return min(nearDeviations*unknown*spread*spread, maxNearMs)
}

// requestMs returns the mean time for which one more request delays those behind it.
func (p *Placer) requestMs() float64 {
	if !p.query.OnEngine {
		return p.rates.PlainMs
	}
	return p.rates.MeanUncached * p.rates.PrefillMs
}
