package route

import "time"

// Cache predicts which blocks an endpoint holds. cacheindex.Index implements it.
type Cache interface {
	// Match returns the number of leading blocks that the endpoint is expected to hold.
	Match(endpoint string, hashes []uint64, now time.Time) int
}

// Request is what placement needs to know of a request.
type Request struct {
	// ID identifies the request within the VM.
	ID uint64
	// Hashes is the block chain of the prompt.
	Hashes []uint64
	// RestBlocks is the length of the prompt behind the last complete block, as a share of a block.
	RestBlocks float64
	// MicrosPerBlock is the configured time to compute one block, in microseconds. Default 25000.
	MicrosPerBlock int64
	// StoreBlocks is the number of leading blocks that the cache store holds. Zero when unknown.
	StoreBlocks int
	// Exclude names endpoints on which an attempt failed.
	Exclude []string
	// Held is the time for which the request was held back so far because of Placement.Wait.
	Held time.Duration
}

// Load is an engine's own report. It describes a moment before it arrives.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running, Waiting int
	// MeasuredAt is the best estimate of the moment described. Zero means that there is no report.
	MeasuredAt time.Time
}

// PeerLoad is what the other VMs say they have in flight on an endpoint.
type PeerLoad struct {
	// InFlight is the sum over peers.
	InFlight int
	// Timed tells that Prefill is known.
	Timed bool
	// Prefill is the expected time until the prompts that peers have sent there are computed.
	Prefill time.Duration
	// Complete tells that every live peer is counted.
	Complete bool
	// At is the time of the oldest heartbeat counted. Zero means that there is none.
	At time.Time
}

// Endpoint is one candidate with the newest known load.
type Endpoint struct {
	// Name identifies the endpoint.
	Name string
	// Incarnation is the engine's newest known incarnation. A change resets what was learned of the endpoint.
	Incarnation string
	// DataCentre is where the endpoint stands.
	DataCentre string
	// MaxRunning is the number of requests that run at once. Default 16.
	MaxRunning int
	// Serves tells that the endpoint is up and holds the request's model, adapter and version.
	Serves bool
	// Evicts tells that the endpoint has evicted blocks lately, so that new blocks push others out.
	Evicts bool
	// Leaving tells that the endpoint gets no new work.
	Leaving bool
	// Reserved tells that another request runs alone there.
	Reserved bool
	// Load is the engine's report.
	Load Load
	// Peers is the load that peers report.
	Peers PeerLoad
}

// View is what a VM knows when it places a request.
type View struct {
	// DataCentre is the VM's own.
	DataCentre string
	// Peers is the number of other live VMs.
	Peers int
	// Endpoints are all endpoints of the model.
	Endpoints []Endpoint
	// Cache predicts cached blocks. Nil means that nothing is cached.
	Cache Cache
}

// Placement is the decision for one request.
type Placement struct {
	// Endpoint is empty when no endpoint may serve the request.
	Endpoint string
	// Incarnation is the endpoint's incarnation that the decision assumes.
	Incarnation string
	// Matched is the number of leading blocks that the endpoint is expected to hold.
	Matched int
	// Import is the number of leading blocks after an import from the cache store. Equal to Matched when an
	// import does not pay.
	Import int
	// Missing is the number of blocks that the engine has to compute.
	Missing int
	// Expected is the predicted time to first token, including Wait.
	Expected time.Duration
	// Queue is the part of Expected that is not computation or transfer for this request.
	Queue time.Duration
	// Wait is positive when the request should be held back until the first token of request Behind, at most
	// for this time, and then be placed again with the time added to Held. The engine computes a shared prefix only once
	// when the second request arrives after the first has computed it.
	Wait time.Duration
	// Behind is the request that computes the shared prefix now.
	Behind uint64
}

// Found reports whether an endpoint may serve the request.
func (p Placement) Found() bool {
	return p.Endpoint != ""
}

// Candidate is an endpoint while a request is placed.
type Candidate struct {
	Endpoint
	// Matched is the number of leading blocks expected on the endpoint.
	Matched int
	// Import is the number of leading blocks present after an import that pays, at least Matched.
	Import int
	// InFlight is the corrected number of requests running or waiting there.
	InFlight float64
	// ReportedLoad is the number of requests last reported plus those this VM sent since.
	ReportedLoad float64
	// Distance is the added network time, in milliseconds.
	Distance float64
	// Score is the sum of the scorers, in milliseconds.
	Score float64
	// Queue is the predicted queue delay, in milliseconds.
	Queue float64
	state *endpointState
	// rank is the position among the candidates by rendezvous weight of a hot prefix, from 0.
	rank int
}
