package route

// Scorer predicts one part of the time to first token on an endpoint.
type Scorer interface {
	// Score returns milliseconds to add to the expected time to first token. Lower is better. A scorer that
	// prefers an endpoint without a delay behind it says so and states its weight in milliseconds.
	Score(c *Candidate, r *Request) float64
}

// queueScorer is the predicted time in milliseconds before the engine starts to compute the request.
type queueScorer struct{}

func (queueScorer) Score(c *Candidate, _ *Request) float64 {
	return c.Queue
}

// computeScorer is the time in milliseconds to compute the blocks that are neither cached nor imported.
type computeScorer struct{}

func (computeScorer) Score(c *Candidate, r *Request) float64 {
	return c.state.computeMillis(r, len(r.Hashes)-c.Import)
}

// loadScorer is the delay in milliseconds that the computation causes to others: requests that arrive meanwhile
// wait for it, and the blocks that it stores evict others that must be computed again. Without it every queue
// that is longer than a computation spreads all prefixes over all engines, the hit rate falls, and the queues
// grow further. See docs/placement.md for the weight.
type loadScorer struct{}

// loadWeight is the delay of others per millisecond of computation.
const loadWeight = 3.0

// idleLoadWeight is the same for an endpoint that evicts nothing: its computation costs others no block. With
// loadWeight also there, all first requests of a workspace queued on one engine after a cold start.
const idleLoadWeight = 0.25

func (loadScorer) Score(c *Candidate, r *Request) float64 {
	weight := loadWeight
	if !c.Evicts {
		weight = idleLoadWeight
	}
	return weight * c.state.computeMillis(r, len(r.Hashes)-c.Import)
}

// transferScorer is the time in milliseconds to import blocks from the cache store.
type transferScorer struct {
	costs TransferCosts
}

func (s transferScorer) Score(c *Candidate, _ *Request) float64 {
	return s.costs.millis(c.Import - c.Matched)
}

// distanceScorer is the added network time in milliseconds to another data centre: one round trip for the
// request and one way for the first token come to 1.5 ms on the links measured by the platform.
type distanceScorer struct{}

// otherDataCentreMillis is the added time for an endpoint in another data centre.
const otherDataCentreMillis = 1.5

func (distanceScorer) Score(c *Candidate, _ *Request) float64 {
	return c.Distance
}

// spreadScorer is a preference in milliseconds, not a delay: it credits the chosen copies of a hot prefix with
// the part of the computation that later requests share, and charges other holders, so that they fall idle and
// evict the prefix.
type spreadScorer struct {
	spread *spread
}

func (s spreadScorer) Score(c *Candidate, r *Request) float64 {
	if s.spread == nil {
		return 0
	}
	return s.spread.score(c, r)
}

// TransferCosts describe an import from the cache store.
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

// millis returns the time of an import in milliseconds. No blocks take no time.
func (t TransferCosts) millis(blocks int) float64 {
	if blocks <= 0 {
		return 0
	}
	return float64(t.BaseMicros+t.MicrosPerBlock*int64(blocks)) / microsPerMilli
}

const microsPerMilli = 1000.0
