package route

// Scorer predicts one part of the time to first token on an endpoint.
type Scorer interface {
	// Score returns the milliseconds to add to the expected time to first token. Lower is better. The doc comment of
	// a scorer that expresses a preference rather than a delay must say so and state its weight in milliseconds.
	Score(c *Candidate, r *Request) float64
}

// queueScorer returns the predicted time in milliseconds before the engine starts on the request.
type queueScorer struct{}

func (queueScorer) Score(c *Candidate, _ *Request) float64 {
	return c.QueueMillis
}

// prefillScorer returns the time in milliseconds to compute the blocks that are neither cached nor imported.
type prefillScorer struct{}

func (prefillScorer) Score(c *Candidate, r *Request) float64 {
	return c.state.prefillMillis(r, len(r.Hashes)-c.AvailableBlocks)
}

// interferenceScorer returns the delay in milliseconds that the prefill causes to other requests: those that arrive
// meanwhile wait for it, and the blocks that it stores evict others, which must be computed again. Without this
// score, every queue that is longer than a prefill spreads all prefixes over all engines, the hit rate falls, and
// the queues grow further.
type interferenceScorer struct{}

// interferenceWeight is the delay of other requests per millisecond of prefill.
const interferenceWeight = 3.0

// interferenceWeightWithoutEviction replaces interferenceWeight on an endpoint that evicts nothing, where a prefill
// displaces no blocks. With interferenceWeight there too, all first requests of a workspace queued on one engine
// after a cold start.
const interferenceWeightWithoutEviction = 0.25

func (interferenceScorer) Score(c *Candidate, r *Request) float64 {
	weight := interferenceWeight
	if !c.Evicting {
		weight = interferenceWeightWithoutEviction
	}
	return weight * c.state.prefillMillis(r, len(r.Hashes)-c.AvailableBlocks)
}

// transferScorer returns the time in milliseconds to import blocks from the cache store.
type transferScorer struct {
	costs TransferCosts
}

func (s transferScorer) Score(c *Candidate, _ *Request) float64 {
	return s.costs.importMillis(c.AvailableBlocks - c.MatchedBlocks)
}

// networkScorer returns the added network time in milliseconds to another data centre.
type networkScorer struct{}

// crossDataCentreMillis is the added network time for an endpoint in another data centre: a round trip for the
// request and one way for the first token, on the links measured by the platform.
const crossDataCentreMillis = 1.5

func (networkScorer) Score(c *Candidate, _ *Request) float64 {
	return c.NetworkMillis
}

// spreadScorer returns a preference in milliseconds, not a delay. It credits the chosen copies of a hot prefix with
// the part of the prefill that later requests share, and charges other holders, so that they become idle and evict
// the prefix.
type spreadScorer struct {
	spread *spreadPlan
}

func (s spreadScorer) Score(c *Candidate, r *Request) float64 {
	if s.spread == nil {
		return 0
	}
	return s.spread.scoreMillis(c, r)
}

// TransferCosts is the cost model of an import from the cache store.
type TransferCosts struct {
	// BaseMicros is the fixed time of an import, in microseconds. Default 5000.
	BaseMicros int64
	// MicrosPerBlock is the time per block, in microseconds. Default 2000.
	MicrosPerBlock int64
}

const (
	defaultTransferBaseMicros     = 5000
	defaultTransferMicrosPerBlock = 2000
)

// importMillis returns the time in milliseconds to import the blocks. Importing no blocks takes no time.
func (t TransferCosts) importMillis(blocks int) float64 {
	if blocks <= 0 {
		return 0
	}
	return float64(t.BaseMicros+t.MicrosPerBlock*int64(blocks)) / microsPerMilli
}

const microsPerMilli = 1000.0
