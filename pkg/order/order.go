// Package order decides the orders that the router gives to model engines: which weights to load and to drop, on
// which endpoint and when. It also decides the version of each model that requests are routed to.
//
// The package holds no I/O. The observed engine states are passed in, the orders to send are returned.
package order

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
)

// State is the part of the configuration that orders depend on.
type State struct {
	Models    []config.Model
	Endpoints []config.Endpoint
}

// Loaded is one version that an engine holds ready.
type Loaded struct {
	Model   string
	Version string
}

// Reading is the state that an engine reported.
type Reading struct {
	Endpoint string
	// Incarnation is new at every start of the engine.
	Incarnation string
	Loaded      []Loaded
	// LastFence is the highest fencing number that the engine saw, or -1.
	LastFence int64
	// ReadAt is the start of the read. What the engine reports may be older by Settings.StateLag.
	ReadAt time.Time
}

// Observed holds the newest reading of each engine. An engine that does not answer keeps its last reading, which
// goes stale.
type Observed []Reading

// Kind is the kind of an order.
type Kind string

// Kinds of orders.
const (
	KindLoad   Kind = "load"
	KindUnload Kind = "unload"
)

// Order is one order to an engine. Check the lease of the issuer once more right before it is sent; the order is
// dropped if it was not sent within Settings.OrderTimeout after Plan.
type Order struct {
	Endpoint string
	// Address is IP:port of the endpoint.
	Address string
	// Fence is the fencing number of the issuer.
	Fence   int64
	Kind    Kind
	Model   string
	Version string
}

// Outcome is what became of an order that was sent.
type Outcome int

const (
	// OutcomeLost means that no reply came. The order may have taken effect and is repeated.
	OutcomeLost Outcome = iota
	// OutcomeAccepted means that the engine carries the order out.
	OutcomeAccepted
	// OutcomeStale means that the engine saw a higher fencing number.
	OutcomeStale
	// OutcomeFailed means that the engine refused the order or was not reached, so that nothing takes effect.
	OutcomeFailed
)

// Takeover tells how the right to issue orders came to this VM.
type Takeover int

const (
	// TakeoverLapsed means that the earlier issuer did not release its right. This is the safe default.
	TakeoverLapsed Takeover = iota
	// TakeoverReleased means that the earlier issuer released its right, or was an earlier process of this VM that is
	// gone.
	TakeoverReleased
	// TakeoverFirst means that nobody held the right before.
	TakeoverFirst
)

// Right is the right to issue orders, from the lease "orders".
type Right struct {
	// Held tells that the lease allows this VM to act.
	Held bool
	// Fence is the offset of the claim.
	Fence int64
	// Since is the time at which this VM read its claim back.
	Since time.Time
	// Takeover tells how the right came to this VM.
	Takeover Takeover
}

// Settings bound the pace of orders.
type Settings struct {
	// MaxLoads is the number of loads in progress over all endpoints. Default 2, since loads slow each other down
	// beyond two and the weight store is rate limited.
	MaxLoads int
	// RightLapse is the time after which the right of an earlier issuer has lapsed, counted from the read-back of
	// the claim. Default 13.5 s: F = 3 s, L = 10 s and 0.5 s of the lease rules.
	RightLapse time.Duration
	// OrderTimeout is the time after which an order is no longer in transit. Default 2 s.
	OrderTimeout time.Duration
	// StateLag is the greatest age of what an engine reports. Default 1 s.
	StateLag time.Duration
	// StaleAfter is the age of a reading from which on its engine does not count as ready. Default 5 s.
	StaleAfter time.Duration
	// LoadTime is the time within which a load of an earlier issuer has ended. Default 4 s.
	LoadTime time.Duration
	// LoadTimeout is the time after which an accepted load counts as failed. Default 30 s.
	LoadTimeout time.Duration
	// RetryAfter is the pause of an endpoint after a failed order. Default 5 s.
	RetryAfter time.Duration
	// UnloadAfter is the time for which a version that is no longer routed to stays loaded, so that streams that
	// use it can be resumed. Default 60 s.
	UnloadAfter time.Duration
	// LoadReplaces tells that a load takes the older version out at once. A model then stays at its version, and is
	// listed by Blocked, while a load would leave fewer than MinReady endpoints; it needs twice MinReady endpoints.
	// Default false: an engine keeps a version until an unload order, and such a model loads on one endpoint at a
	// time.
	LoadReplaces bool
}

func (s Settings) withDefaults() Settings {
	if s.MaxLoads <= 0 {
		s.MaxLoads = 2
	}
	setDuration(&s.RightLapse, 13500*time.Millisecond)
	setDuration(&s.OrderTimeout, 2*time.Second)
	setDuration(&s.StateLag, time.Second)
	setDuration(&s.StaleAfter, 5*time.Second)
	setDuration(&s.LoadTime, 4*time.Second)
	setDuration(&s.LoadTimeout, 30*time.Second)
	setDuration(&s.RetryAfter, 5*time.Second)
	setDuration(&s.UnloadAfter, time.Minute)
	return s
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
