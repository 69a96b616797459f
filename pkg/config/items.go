// Package config holds the configuration items, the release notes that change them and their
// deterministic replay from the log.
package config

// Kind names a type of configuration item.
type Kind string

// Kinds of items that a release note may add, change or withdraw.
const (
	KindWorkspace Kind = "workspace"
	KindKey       Kind = "key"
	KindModel     Kind = "model"
	KindRoute     Kind = "route"
	KindEndpoint  Kind = "endpoint"
	KindDefaults  Kind = "defaults"
)

// Workspace is a customer whose requests share one token rate.
type Workspace struct {
	// Name identifies the workspace.
	Name string `json:"name" yaml:"name"`
	// TokensPerSecond is the sustained rate over all VMs, in tokens per second.
	TokensPerSecond int64 `json:"tokens_per_second" yaml:"tokens_per_second"`
	// BurstTokens is the largest stock over all VMs, in tokens.
	BurstTokens int64 `json:"burst_tokens" yaml:"burst_tokens"`
	// Priority is passed to the engines; a higher value is served first. Default 0.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
}

// Key admits callers to one workspace.
type Key struct {
	// Digest is the lower-case hexadecimal SHA-256 of the key.
	Digest string `json:"digest" yaml:"digest"`
	// Workspace is the name of the workspace that the key admits to.
	Workspace string `json:"workspace" yaml:"workspace"`
}

// Model describes a model that the engines serve.
type Model struct {
	// Name is the name that callers send.
	Name string `json:"name" yaml:"name"`
	// Version is the weight version in force.
	Version string `json:"version" yaml:"version"`
	// Adapters are the names of the adapters that the model may be used with.
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	// BlockBytes is the size of one cached prompt block in bytes. Default 4000.
	BlockBytes int `json:"block_bytes,omitempty" yaml:"block_bytes,omitempty"`
	// MinReady is the number of endpoints that must hold a new version before routes switch to it. Default 1.
	MinReady int `json:"min_ready,omitempty" yaml:"min_ready,omitempty"`
	// PrefillMicrosPerBlock is the expected time to compute one missing block, in microseconds. Default 25000.
	PrefillMicrosPerBlock int64 `json:"prefill_us_per_block,omitempty" yaml:"prefill_us_per_block,omitempty"`
	// MaxOutputTokens is the output allowed when a request names none. Default 512.
	MaxOutputTokens int64 `json:"max_output_tokens,omitempty" yaml:"max_output_tokens,omitempty"`
}

// RouteKind tells what a route leads to.
type RouteKind string

const (
	// RouteChat leads to model engines.
	RouteChat RouteKind = "chat"
	// RouteService leads to plain services.
	RouteService RouteKind = "service"
)

// Route maps requests to endpoints.
type Route struct {
	// Name identifies the route.
	Name string `json:"name" yaml:"name"`
	// Kind tells what the route leads to.
	Kind RouteKind `json:"kind" yaml:"kind"`
	// Model is the model of a chat route. Callers name it in the request, unless the route has an adapter.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
	// Adapter is the adapter of a chat route, or empty. Callers name it instead of the model.
	Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	// Prefix is the path prefix of a service route, such as /services/bookings.
	Prefix string `json:"prefix,omitempty" yaml:"prefix,omitempty"`
	// Service is the service name that endpoints of a service route carry.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	// IdempotentMethods are the HTTP methods that may be repeated. Default GET, HEAD and OPTIONS.
	IdempotentMethods []string `json:"idempotent_methods,omitempty" yaml:"idempotent_methods,omitempty"`
	// Open admits callers without a key. Their requests run under Workspace.
	Open bool `json:"open,omitempty" yaml:"open,omitempty"`
	// Workspace is the workspace of an open route.
	Workspace string `json:"workspace,omitempty" yaml:"workspace,omitempty"`
	// TokensPerCall is the charge of one call on a service route, in tokens. Default 1.
	TokensPerCall int64 `json:"tokens_per_call,omitempty" yaml:"tokens_per_call,omitempty"`
	// DeadlineMs is the longest wait for the first byte, in milliseconds. Default 30000.
	DeadlineMs int64 `json:"deadline_ms,omitempty" yaml:"deadline_ms,omitempty"`
}

// CallerModel is the model name that callers of a chat route send: the adapter's name, or the model's where the route
// has no adapter.
func (r *Route) CallerModel() string {
	if r.Adapter != "" {
		return r.Adapter
	}
	return r.Model
}

// EndpointKind tells what runs on an endpoint.
type EndpointKind string

const (
	// EndpointEngine is a model engine.
	EndpointEngine EndpointKind = "engine"
	// EndpointService is a plain service.
	EndpointService EndpointKind = "service"
)

// Endpoint is one process that serves requests.
type Endpoint struct {
	// Name identifies the endpoint.
	Name string `json:"name" yaml:"name"`
	// Kind tells what runs there.
	Kind EndpointKind `json:"kind" yaml:"kind"`
	// Address is IP:port.
	Address string `json:"address" yaml:"address"`
	// DataCentre is where the endpoint stands.
	DataCentre string `json:"data_centre" yaml:"data_centre"`
	// Service is the service name of a plain service.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	// Models are the names of the models that an engine may serve.
	Models []string `json:"models,omitempty" yaml:"models,omitempty"`
	// ChecksFencing tells that the engine refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
	// Leaving tells that the endpoint gets no new work.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
	// MaxRunning is the number of requests that the endpoint runs at once. Default 16.
	MaxRunning int `json:"max_running,omitempty" yaml:"max_running,omitempty"`
}

// Defaults holds the settings of the deployment.
type Defaults struct {
	// LimitSlots is the number of slots over which rates and bursts are divided. Default 16.
	LimitSlots int `json:"limit_slots,omitempty" yaml:"limit_slots,omitempty"`
	// CacheStore is the address of the KV cache store, or empty.
	CacheStore string `json:"cache_store,omitempty" yaml:"cache_store,omitempty"`
	// RetentionSeconds is the time for which the log keeps records, in seconds. Default 3600.
	RetentionSeconds int64 `json:"retention_seconds,omitempty" yaml:"retention_seconds,omitempty"`
}

// Items is a set of configuration items, as listed in a release note or held in a state.
type Items struct {
	Workspaces []Workspace `json:"workspaces,omitempty" yaml:"workspaces,omitempty"`
	Keys       []Key       `json:"keys,omitempty" yaml:"keys,omitempty"`
	Models     []Model     `json:"models,omitempty" yaml:"models,omitempty"`
	Routes     []Route     `json:"routes,omitempty" yaml:"routes,omitempty"`
	Endpoints  []Endpoint  `json:"endpoints,omitempty" yaml:"endpoints,omitempty"`
	Defaults   *Defaults   `json:"defaults,omitempty" yaml:"defaults,omitempty"`
}

// Ref names one configuration item.
type Ref struct {
	Kind Kind `json:"kind" yaml:"kind"`
	// Name is the item's name, or the digest of a key.
	Name string `json:"name" yaml:"name"`
}

// ReleaseNote is one change of the configuration. It is accepted whole or not at all.
type ReleaseNote struct {
	// ID is unique; a second note with the same ID is ignored.
	ID string `json:"id" yaml:"id"`
	// Base is the newest offset of the config stream that the author had seen. -1 means none.
	Base int64 `json:"base" yaml:"base"`
	// Author is free text.
	Author string `json:"author,omitempty" yaml:"author,omitempty"`
	// Added lists new items. An item that exists is a conflict.
	Added Items `json:"added,omitzero" yaml:"added,omitempty"`
	// Changed lists whole items that replace existing ones.
	Changed Items `json:"changed,omitzero" yaml:"changed,omitempty"`
	// Withdrawn names items that cease to exist.
	Withdrawn []Ref `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}
