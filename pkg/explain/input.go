// Package explain reports how a gateway would decide about a request now: the route, the workspace, the verdicts on its
// rate, on crashes and on admission, the endpoints with the terms of their scores, and the choice. It does no I/O but
// writing to the given writer. A report holds no key.
package explain

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// Input is what a gateway knows about a request at one moment. What was not reached before a refusal is nil.
type Input struct {
	VM  string
	Now time.Time
	// ID is the caller's id of the request. Path has no query.
	ID, Method, Host, Path string
	Model                  string
	PromptTokens           int
	OutputTokens           int
	Route                  *traffic.Route
	// Workspace is the name, or empty.
	Workspace string
	Rate      *RateInput
	Stream    *StreamInput
	// Probe is set if the request would be sent to learn whether a part of its prompt crashes endpoints.
	Probe    bool
	Services []ServiceInput
	// Refusal is the refusal, or nil if the request would be sent.
	Refusal *refusal.Error
	Times   Times
}

// RateInput is the verdict on the rate of the workspace, in tokens.
type RateInput struct {
	Limited, Allowed bool
	Cost, Left       int64
	Wait             time.Duration
}

// StreamInput is what is known of the origin of a stream that the request takes up.
type StreamInput struct {
	Source, Service, Software string
}

// ServiceInput is the placement on one service of the route.
type ServiceInput struct {
	Name string
	// Registered is the number of usable endpoints, and Eligible that of those that may serve this request's stream or probe.
	Registered, Eligible int
	Placement            place.Explanation
}

// Times are when the inputs of the decision were last known to be current. The zero time means never.
type Times struct {
	ConfigVersion int64
	ConfigApplied time.Time
	// ConfigVerified is when the configuration was last known to be the newest.
	ConfigVerified time.Time
	// EndpointsRead is when the list of endpoints was last read.
	EndpointsRead time.Time
	// Peers is the number of live peers, and OldestDigest the time of the oldest of their last digests.
	Peers        int
	OldestDigest time.Time
}
