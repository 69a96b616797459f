package place

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

// Part is a section of a prompt with its length in tokens.
type Part struct {
	ID     uint64
	Tokens int
}

// Request holds the properties of a request that placement uses.
type Request struct {
	// ID identifies the request within the VM.
	ID uint64
	// Service, Route and Workspace are names under which costs are learned.
	Service, Route, Workspace string
	// OnEngine reports whether the request runs on a model engine rather than a plain service.
	OnEngine bool
	// Model is the name of the model. Empty for plain services.
	Model string
	// Salt returns the cache salt of the request under a weight version. Parts with different salts are never shared.
	// Nil for plain services.
	Salt func(version int64) string
	// Chain holds the parts of the prompt in order. The last part belongs to this request alone.
	Chain []Part
	// Prompt is the number of prompt tokens, Output the expected number of output tokens.
	Prompt, Output int
	// OutputLimit is the maximum number of output tokens, or zero if there is none.
	OutputLimit int
	// Whole reports whether the answer arrives as a whole, so that its first byte follows the last token.
	Whole bool
	// Exclude holds the IDs of endpoints on which an attempt of this request failed.
	Exclude []string
	// Announced holds the announced weight versions of the model, oldest first.
	Announced []Announcement
}

// Announcement is a weight version and the time at which it was announced.
type Announcement struct {
	Version int64
	At      time.Time
	// Estimated reports whether the time of the announcement is not known yet, in which case At is a late estimate.
	Estimated bool
}

// superseded returns the time at which the first newer version was announced. It reports false for the newest version.
func (r *Request) superseded(version int64) (time.Time, bool) {
	for _, n := range r.Announced {
		if n.Version > version {
			return n.At, true
		}
	}
	return time.Time{}, false
}

// ServiceProperties holds the properties of a service that do not change from request to request, and the VM's place in
// the system.
type ServiceProperties struct {
	// Slots is the number of requests that one endpoint runs at the same time.
	Slots int
	// Endpoints is the number of endpoints of the service that are in use, some of which may not be candidates. Zero stands for
	// the number of those that are passed.
	Endpoints int
	// CacheTokens is the capacity of an engine's KV cache, in tokens. Zero for plain services.
	CacheTokens int
	// StoreTokensPerMs is the speed of a transfer from the cache store and LinkTokensPerMs that of a transfer from an
	// engine, both in tokens per millisecond.
	StoreTokensPerMs, LinkTokensPerMs float64
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Store is the source name of the cache store for the request's subject, or empty.
	Store string
	// StoreTokens is the capacity of that store, in tokens. Zero where it is not known.
	StoreTokens int
	// VersionLimit is the time after the announcement of a newer version from which the older weights may not start a
	// request. Zero refuses them at once.
	VersionLimit time.Duration
	// Limits are the rate limits that endpoints advertised, or nil if there are none.
	Limits RateLimits
	// Connections are this VM's shares of the connections that the endpoints accept, or nil if they accept any number.
	Connections Connections
	// Rejections are what the endpoints tolerate of rejected requests, or nil if they tolerate any number.
	Rejections Rejections
}

// Rejections are the numbers of requests that endpoints may reject, over all VMs together, without failing.
type Rejections interface {
	// NextSend returns when this VM may send the next request to an endpoint: now or earlier if it may send one. own is the
	// number of this VM's requests on it, and total that of all VMs. It is called for each candidate of each placement.
	NextSend(e *fleet.Endpoint, own, total int, now time.Time) time.Time
}

// Connections are this VM's shares of the connections that endpoints accept from all VMs together.
type Connections interface {
	// To describes the connections to an endpoint. running is the number of this VM's requests on it. It is called for each
	// candidate of each placement.
	To(e *fleet.Endpoint, running int, now time.Time) ConnectionState
}

// ConnectionState describes this VM's connections to an endpoint.
type ConnectionState struct {
	// Room is set if this VM may send the endpoint another request without a connection beyond its share.
	Room bool
	// Idle is set if an idle connection to the endpoint is open.
	Idle bool
}

// RateLimits are the rate limits that endpoints advertised for all VMs together.
type RateLimits interface {
	// NextSend returns when this VM may send the next request to an endpoint: now or earlier if it may send one.
	NextSend(e *fleet.Endpoint, now time.Time) time.Time
	// ProbeDue reports whether this VM should send an endpoint a request to learn whether its limit still holds.
	ProbeDue(e *fleet.Endpoint, now time.Time) bool
}

// nextSend returns when a request may be sent to an endpoint under its rate limit.
func (f *ServiceProperties) nextSend(e *fleet.Endpoint, now time.Time) time.Time {
	if f.Limits == nil {
		return now
	}
	return f.Limits.NextSend(e, now)
}

// nextWithoutRejection returns when a request may be sent to a candidate without too many rejections.
func (f *ServiceProperties) nextWithoutRejection(c *Candidate, now time.Time) time.Time {
	if f.Rejections == nil {
		return now
	}
	return f.Rejections.NextSend(c.Endpoint, c.state.load.Running, c.Load.Running, now)
}

// sharedParts returns the parts that other requests may share, which are all but the last.
func (r *Request) sharedParts() []Part {
	return r.Chain[:max(len(r.Chain)-1, 0)]
}

// Subject returns the ID of the last part that other requests may share, or zero if there is none.
func (r *Request) Subject() uint64 {
	sharedParts := r.sharedParts()
	if len(sharedParts) == 0 {
		return 0
	}
	return sharedParts[len(sharedParts)-1].ID
}

// sharedTokens returns the number of tokens of the parts that other requests may share.
func (r *Request) sharedTokens() int {
	n := 0
	for _, part := range r.sharedParts() {
		n += part.Tokens
	}
	return n
}
