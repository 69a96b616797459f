// Package order decides the orders that the router sends to model engines: which weights to load and unload, on which
// endpoint and when. It also decides the version of each model that requests are routed to.
//
// The package does no I/O. The observed engine states are passed in, and the orders to send are returned.
package order

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
)

// Config is the part of the configuration that orders depend on.
type Config struct {
	Models    []config.Model
	Endpoints []config.Endpoint
}

// Loaded is a model version that an engine has loaded and can serve.
type Loaded struct {
	Model   string
	Version string
}

// Reading is the state that an engine reported.
type Reading struct {
	Endpoint string
	// Incarnation differs at every start of the engine.
	Incarnation string
	Loaded      []Loaded
	// LastFence is the highest fencing number that the engine has received, or -1.
	LastFence int64
	// ReadAt is the start of the read. The reported state may be older by up to Settings.StateLag.
	ReadAt time.Time
}

// Readings contains the newest reading of each engine. An engine that does not answer keeps its last reading, which
// becomes stale.
type Readings []Reading

// Kind is the kind of an order.
type Kind string

// Kinds of orders.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
)

// Order is one order to an engine. The caller must check the lease of the issuer once more right before it sends the
// order, and must drop an order that it has not sent within Settings.OrderTimeout after Plan.
type Order struct {
	Endpoint string
	// Address is the IP:port of the endpoint.
	Address string
	// Fence is the fencing number of the issuer.
	Fence   int64
	Kind    Kind
	Model   string
	Version string
}

// Outcome is the result of sending an order.
type Outcome int

const (
	// OutcomeLost means that no reply arrived. The order may have taken effect and is repeated.
	OutcomeLost Outcome = iota
	// OutcomeAccepted means that the engine executes the order.
	OutcomeAccepted
	// OutcomeStale means that the engine has received a higher fencing number.
	OutcomeStale
	// OutcomeFailed means that the engine refused the order or was not reached, so that the order has no effect.
	OutcomeFailed
)

// Takeover is how the previous lease to issue orders ended.
type Takeover int

const (
	// TakeoverLapsed means that the earlier issuer did not release its lease. This is the safe default.
	TakeoverLapsed Takeover = iota
	// TakeoverReleased means that the earlier issuer released its lease, or was an earlier process of this VM that has
	// ended.
	TakeoverReleased
	// TakeoverFirst means that no issuer held the lease before.
	TakeoverFirst
)

// IssuerLease is the state of the lease "orders", whose holder may issue orders.
type IssuerLease struct {
	// Held reports whether this VM holds the lease and may act on it.
	Held bool
	// Fence is the offset of the claim, used as fencing number.
	Fence int64
	// Since is the time at which this VM read its claim back.
	Since time.Time
	// Takeover is how the previous lease ended.
	Takeover Takeover
}

// Settings contains the limits and timeouts of orders.
type Settings struct {
	// MaxLoads is the largest number of loads in progress over all endpoints. Default 2, since more loads slow each
	// other down and the weight store is rate limited.
	MaxLoads int
	// LeaseExpiry is the time after which the lease of an earlier issuer has expired, counted from the read-back of the
	// claim. Default 13.5 s, the takeover wait of pkg/lease: 3 s of evidence, 10 s of absence from the VM list and 0.5
	// s of clock drift.
	LeaseExpiry time.Duration
	// OrderTimeout is the time after which an order is no longer in transit. Default 2 s.
	OrderTimeout time.Duration
	// StateLag is the greatest age of the state that an engine reports. Default 1 s.
	StateLag time.Duration
	// StaleAfter is the age at which a reading becomes stale, so that its engine no longer counts as ready. Default 5
	// s.
	StaleAfter time.Duration
	// LoadTime is the time within which a load that an earlier issuer ordered has ended. Default 4 s.
	LoadTime time.Duration
	// LoadTimeout is the time after which an accepted load counts as failed. Default 30 s.
	LoadTimeout time.Duration
	// RetryAfter is the time for which an endpoint receives no orders after a failed one. Default 5 s.
	RetryAfter time.Duration
	// UnloadAfter is the time for which a version that is no longer routed to stays loaded, so that streams that use it
	// can be resumed. Default 60 s.
	UnloadAfter time.Duration
	// LoadReplaces reports whether a load unloads the older version at once. A model then stays at its version, and
	// Blocked returns it, while a load would leave fewer than MinReady endpoints; it needs twice MinReady endpoints.
	// Default false: an engine keeps a version until an unload order, and such a model loads on one endpoint at a time.
	LoadReplaces bool
}

// withDefaults returns the settings with defaults in place of values that are not positive.
func (s Settings) withDefaults() Settings {
	if s.MaxLoads <= 0 {
		s.MaxLoads = 2
	}
	setDuration(&s.LeaseExpiry, 13500*time.Millisecond)
	setDuration(&s.OrderTimeout, 2*time.Second)
	setDuration(&s.StateLag, time.Second)
	setDuration(&s.StaleAfter, 5*time.Second)
	setDuration(&s.LoadTime, 4*time.Second)
	setDuration(&s.LoadTimeout, 30*time.Second)
	setDuration(&s.RetryAfter, 5*time.Second)
	setDuration(&s.UnloadAfter, time.Minute)
	return s
}

// setDuration sets a duration that is not positive to a value.
func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
