// Package load generates the arrivals of a user profile, sends them and computes the measured figures.
//
// Arrivals, bucket accounting and reports are pure functions of their arguments, so that they are tested without
// a clock.
package load

import (
	"time"
)

// Names used in requests and release notes.
const (
	// Model is the model that all chat requests name.
	Model = "house-7b"
	// Version is its weight version.
	Version = "v1"
	// ServicePrefix is the path prefix of the plain service.
	ServicePrefix = "/services/orders"
	// ServiceName is the name that service endpoints carry.
	ServiceName = "orders"
	// BlockBytes is the size of a cached block.
	BlockBytes = 4000
)

// Workspace is one sender of requests.
type Workspace struct {
	Name string
	// Share is its part of the profile's request rate.
	Share float64
	// Catalogues is the number of second-level prefixes under its house rules.
	Catalogues int
	// Overload multiplies its rate between OverloadFrom and OverloadTo. 0 means never.
	Overload float64
}

// Profile describes a deployment and its traffic.
type Profile struct {
	Name        string
	Engines     int
	Services    int
	VMs         int
	DataCentres []string
	// CacheBlocks is the prefix cache of one engine.
	CacheBlocks int
	// RequestsPerSecond is the mean rate of chat requests without the overload.
	RequestsPerSecond float64
	// CallsPerSecond is the mean rate of calls to the plain service, half of them bookings.
	CallsPerSecond float64
	Workspaces     []Workspace
	// RulesBytes, CatalogueBytes, OrderBytes are the sizes of the three shared prompt levels.
	RulesBytes     int
	CatalogueBytes int
	OrderBytes     int
	// FollowUps is the share of requests that return to a recent order.
	FollowUps float64
	// MinOutput and MaxOutput bound the answer in tokens.
	MinOutput int
	MaxOutput int
	// RateHeadroom is a workspace's token rate over its mean demand.
	RateHeadroom float64
	// BurstTime is a workspace's burst, in time at its rate.
	BurstTime time.Duration
}

// Points of a run, as shares of its length.
const (
	coldUntil    = 0.15
	overloadFrom = 0.25
	overloadTo   = 0.50
	crashAt      = 0.40
	shiftAt      = 0.50
	killAt       = 0.75
)

// phase is a part of a run that begins with one disturbance, as shares of the run's length.
type phase struct {
	name     string
	from, to float64
}

// phases returns the parts of a run. All caches are empty at the start.
func phases() []phase {
	return []phase{
		{"cold start", 0, coldUntil},
		{"steady", coldUntil, overloadFrom},
		{"overload", overloadFrom, crashAt},
		{"engine crash", crashAt, shiftAt},
		{"shift", shiftAt, killAt},
		{"VM kill", killAt, 1},
	}
}

// Profiles returns the measured profiles.
func Profiles() []Profile {
	return []Profile{retail(), workshop()}
}

// retail has late-evening questions on long shared catalogues, with a few large workspaces.
func retail() Profile {
	return Profile{
		Name:              "retail",
		Engines:           12,
		Services:          3,
		VMs:               9,
		DataCentres:       []string{"dc-1", "dc-2", "dc-3"},
		CacheBlocks:       60,
		RequestsPerSecond: 44,
		CallsPerSecond:    3,
		Workspaces: []Workspace{
			{Name: "large-1", Share: 0.36, Catalogues: 10},
			{Name: "large-2", Share: 0.30, Catalogues: 10},
			{Name: "small-1", Share: 0.12, Catalogues: 4},
			{Name: "small-2", Share: 0.11, Catalogues: 4, Overload: 6},
			{Name: "small-3", Share: 0.11, Catalogues: 4},
		},
		RulesBytes:     8200,
		CatalogueBytes: 12000,
		OrderBytes:     4000,
		FollowUps:      0.4,
		MinOutput:      12,
		MaxOutput:      32,
		RateHeadroom:   2,
		BurstTime:      2 * time.Second,
	}
}

// workshop has fewer and longer answers and more plain calls.
func workshop() Profile {
	return Profile{
		Name:              "workshop",
		Engines:           9,
		Services:          3,
		VMs:               7,
		DataCentres:       []string{"dc-1", "dc-2", "dc-3"},
		CacheBlocks:       60,
		RequestsPerSecond: 28,
		CallsPerSecond:    4,
		Workspaces: []Workspace{
			{Name: "large-1", Share: 0.34, Catalogues: 6},
			{Name: "large-2", Share: 0.28, Catalogues: 6},
			{Name: "small-1", Share: 0.14, Catalogues: 3, Overload: 6},
			{Name: "small-2", Share: 0.12, Catalogues: 3},
			{Name: "small-3", Share: 0.12, Catalogues: 3},
		},
		RulesBytes:     4100,
		CatalogueBytes: 16200,
		OrderBytes:     4100,
		FollowUps:      0.5,
		MinOutput:      16,
		MaxOutput:      48,
		RateHeadroom:   2,
		BurstTime:      2 * time.Second,
	}
}

// Limit is the token rate and burst of a workspace.
type Limit struct {
	TokensPerSecond int64
	BurstTokens     int64
}

// questionBytes is the mean size of the last, unshared prompt level.
const questionBytes = 400

// meanCost is the mean charge of one request in tokens.
func (p Profile) meanCost() float64 {
	prompt := p.RulesBytes + p.CatalogueBytes + p.OrderBytes + questionBytes
	return float64(prompt)/bytesPerToken + float64(p.MinOutput+p.MaxOutput)/2
}

// Limit returns the rate and burst of the workspace.
func (p Profile) Limit(w Workspace) Limit {
	rate := p.RequestsPerSecond * w.Share * p.meanCost() * p.RateHeadroom
	return Limit{
		TokensPerSecond: int64(rate),
		BurstTokens:     int64(rate * p.BurstTime.Seconds()),
	}
}

// overloading reports whether the workspace sends above its rate during the run.
func (w Workspace) overloading() bool {
	return w.Overload > 0
}

// at returns the point of a run of the given length.
func at(length time.Duration, share float64) time.Duration {
	return time.Duration(float64(length) * share)
}

// overloading returns the workspaces that send above their rate.
func (p Profile) overloading() map[string]bool {
	out := map[string]bool{}
	for _, w := range p.Workspaces {
		out[w.Name] = w.overloading()
	}
	return out
}
