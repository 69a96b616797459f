package route

import "time"

// Cache predicts which blocks an endpoint holds. *cacheindex.Index implements it.
type Cache interface {
	// Match returns the number of leading blocks that the endpoint is expected to hold.
	Match(endpoint string, hashes []uint64, now time.Time) int
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	// ID identifies the request within the VM.
	ID uint64
	// Hashes is the hash chain of the prompt's complete blocks.
	Hashes []uint64
	// RestBlocks is the length of the prompt's incomplete last block as a fraction of a block.
	RestBlocks float64
	// MicrosPerBlock is the configured time to compute one block, in microseconds. Default 25000.
	MicrosPerBlock int64
	// StoreBlocks is the number of leading blocks in the cache store, or zero when unknown.
	StoreBlocks int
	// Exclude names the endpoints on which an attempt of the request failed.
	Exclude []string
	// Held is how long the request has been held back so far because of Placement.Wait.
	Held time.Duration
}

// Load is a load report of an engine. It describes a moment before its arrival.
type Load struct {
	// Running and Waiting are the numbers of requests in each state.
	Running, Waiting int
	// MeasuredAt is the estimated time of the measurement. Zero means that there is no report.
	MeasuredAt time.Time
}

// PeerLoad is the load that the other VMs report for an endpoint.
type PeerLoad struct {
	// InFlight is the number of requests in flight, summed over the peers.
	InFlight int
	// Timed reports whether Prefill is known.
	Timed bool
	// Prefill is the expected time until the prompts that peers have sent to the endpoint are computed.
	Prefill time.Duration
	// Complete reports whether every live peer is counted.
	Complete bool
	// At is the time of the oldest heartbeat counted. Zero means that there is none.
	At time.Time
}

// Endpoint is an endpoint of the requested model with its latest known load.
type Endpoint struct {
	// Name identifies the endpoint.
	Name string
	// Incarnation is the engine's latest known incarnation. A change resets the estimates for the endpoint.
	Incarnation string
	// DataCentre is the data centre of the endpoint.
	DataCentre string
	// MaxRunning is the number of requests that the engine runs at once. Default 16.
	MaxRunning int
	// Serves reports whether the endpoint is up and holds the request's model, adapter and version.
	Serves bool
	// Evicts reports whether the endpoint has evicted blocks recently, so that new blocks displace others.
	Evicts bool
	// Leaving reports whether the endpoint is draining and must get no new requests.
	Leaving bool
	// Reserved reports whether the endpoint is reserved for another request that runs alone.
	Reserved bool
	// Load is the engine's latest load report.
	Load Load
	// Peers is the load that the other VMs report.
	Peers PeerLoad
}

// View is the input to a placement decision: all that a VM knows about the endpoints of a model.
type View struct {
	// DataCentre is the data centre of the VM.
	DataCentre string
	// Peers is the number of other live VMs.
	Peers int
	// Endpoints holds all endpoints of the model.
	Endpoints []Endpoint
	// Cache predicts the cached blocks. Nil means that nothing is cached.
	Cache Cache
}

// Placement is the placement decision for one request.
type Placement struct {
	// Endpoint is the name of the chosen endpoint, or empty when no endpoint may serve the request.
	Endpoint string
	// Incarnation is the incarnation of the endpoint that the decision assumes.
	Incarnation string
	// Matched is the number of leading blocks that the endpoint is expected to hold.
	Matched int
	// Import is the number of leading blocks that the endpoint holds after an import from the cache store. It equals
	// Matched when an import does not pay off.
	Import int
	// Missing is the number of complete blocks that the engine has to compute.
	Missing int
	// Expected is the predicted time to first token, including Wait.
	Expected time.Duration
	// Queue is the part of Expected that is neither prefill nor import of this request.
	Queue time.Duration
	// Wait is positive when the caller should hold the request back until the first token of request Behind, but not
	// longer than Wait, and then place it again with the elapsed time added to Held. The engine computes a shared
	// prefix only once when the second request arrives after the first has computed it.
	Wait time.Duration
	// Behind is the request that is computing the shared prefix.
	Behind uint64
}

// Found reports whether an endpoint was chosen.
func (p Placement) Found() bool {
	return p.Endpoint != ""
}

// Candidate is an eligible endpoint with the predictions for one request.
type Candidate struct {
	Endpoint
	// Matched is the number of leading blocks that the endpoint is expected to hold.
	Matched int
	// Import is the number of leading blocks present after an import that pays off. It is at least Matched.
	Import int
	// InFlight is the estimated number of requests running or waiting on the endpoint.
	InFlight float64
	// ReportedLoad is the number of requests in the last report plus those that this VM has sent since.
	ReportedLoad float64
	// NetworkMillis is the added network time.
	NetworkMillis float64
	// ScoreMillis is the sum of the scorers' results.
	ScoreMillis float64
	// QueueMillis is the predicted queue delay.
	QueueMillis float64
	state       *endpointState
	// rank is the position among the candidates, from 0, by descending rendezvous weight of the hot prefix.
	rank int
}
