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
	// PartialBlock is the length of the prompt's incomplete last block as a fraction of a block.
	PartialBlock float64
	// MicrosPerBlock is the configured time to compute one block, in microseconds. Default 25000.
	MicrosPerBlock int64
	// StoreBlocks is the number of leading blocks in the cache store, or zero when unknown.
	StoreBlocks int
	// Exclude names the endpoints on which an attempt of the request failed.
	Exclude []string
	// HeldFor is how long the request has been held back so far because of Placement.Wait.
	HeldFor time.Duration
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
	// PrefillKnown reports whether PrefillBacklog is known.
	PrefillKnown bool
	// PrefillBacklog is the expected time until the prompts that peers have sent to the endpoint are computed.
	PrefillBacklog time.Duration
	// Complete reports whether every live peer is counted.
	Complete bool
	// OldestHeartbeat is the time of the oldest heartbeat counted. Zero means that there is none.
	OldestHeartbeat time.Time
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
	// Evicting reports whether the endpoint has evicted blocks recently, so that new blocks displace others.
	Evicting bool
	// Draining reports whether the endpoint is draining and must get no new requests.
	Draining bool
	// Reserved reports whether the endpoint is reserved for another request that runs alone.
	Reserved bool
	// Load is the engine's latest load report.
	Load Load
	// PeerLoad is the load that the other VMs report.
	PeerLoad PeerLoad
}

// View is the input to a placement decision: all that a VM knows about the endpoints of a model.
type View struct {
	// DataCentre is the data centre of the VM.
	DataCentre string
	// PeerCount is the number of other live VMs.
	PeerCount int
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
	// MatchedBlocks is the number of leading blocks that the endpoint is expected to hold.
	MatchedBlocks int
	// AvailableBlocks is the number of leading blocks that the endpoint holds after an import from the cache store. It
	// equals MatchedBlocks when an import does not pay off.
	AvailableBlocks int
	// MissingBlocks is the number of complete blocks that the engine has to compute.
	MissingBlocks int
	// ExpectedTTFT is the predicted time to first token, including Wait.
	ExpectedTTFT time.Duration
	// QueueDelay is the part of ExpectedTTFT that is neither prefill nor import of this request.
	QueueDelay time.Duration
	// Wait is positive when the caller should hold the request back until the first token of WaitForRequest, but
	// not longer than Wait, and then place it again with the elapsed time added to HeldFor. The engine computes a
	// shared prefix only once when the second request arrives after the first has computed it.
	Wait time.Duration
	// WaitForRequest is the request that is computing the shared prefix.
	WaitForRequest uint64
}

// Found reports whether an endpoint was chosen.
func (p Placement) Found() bool {
	return p.Endpoint != ""
}

// Candidate is an eligible endpoint with the predictions for one request.
type Candidate struct {
	Endpoint
	// MatchedBlocks is the number of leading blocks that the endpoint is expected to hold.
	MatchedBlocks int
	// AvailableBlocks is the number of leading blocks present after an import that pays off. It is at least
	// MatchedBlocks.
	AvailableBlocks int
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
