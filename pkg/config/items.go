// Package config defines the configuration items, the release notes that change them and the deterministic replay of
// those notes from the log.
package config

// Kind is the type of a configuration item.
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
	// BurstTokens is the largest number of unused tokens that may accumulate over all VMs.
	BurstTokens int64 `json:"burst_tokens" yaml:"burst_tokens"`
	// Priority is passed to the engines; a higher value is served first. Default 0.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
}

// Key is an API key that gives access to one workspace.
type Key struct {
	// Digest is the lower-case hexadecimal SHA-256 of the key.
	Digest string `json:"digest" yaml:"digest"`
	// Workspace is the name of the workspace that the key gives access to.
	Workspace string `json:"workspace" yaml:"workspace"`
}

// Model describes a model that the engines serve.
type Model struct {
	// Name is the name that callers send.
	Name string `json:"name" yaml:"name"`
	// Version is the version of the weights in use.
	Version string `json:"version" yaml:"version"`
	// Adapters are the names of the adapters that the model may be used with.
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	// BlockBytes is the size of one cached prompt block in bytes. Default 4000.
	BlockBytes int `json:"block_bytes,omitempty" yaml:"block_bytes,omitempty"`
	// MinReady is the number of endpoints that must hold a new version before routes switch to it. Default 1.
	MinReady int `json:"min_ready,omitempty" yaml:"min_ready,omitempty"`
	// PrefillMicrosPerBlock is the expected time to compute one missing block, in microseconds. Default 25000.
	PrefillMicrosPerBlock int64 `json:"prefill_us_per_block,omitempty" yaml:"prefill_us_per_block,omitempty"`
	// MaxOutputTokens is the output limit of a request that sets none. Default 512.
	MaxOutputTokens int64 `json:"max_output_tokens,omitempty" yaml:"max_output_tokens,omitempty"`
}

// RouteKind is the type of endpoint that a route sends requests to.
type RouteKind string

const (
	// RouteChat sends requests to model engines.
	RouteChat RouteKind = "chat"
	// RouteService sends requests to plain services.
	RouteService RouteKind = "service"
)

// Route maps requests to endpoints.
type Route struct {
	// Name identifies the route.
	Name string `json:"name" yaml:"name"`
	// Kind is the type of endpoint that the route sends requests to.
	Kind RouteKind `json:"kind" yaml:"kind"`
	// Model is the model of a chat route. Callers send its name, unless the route has an adapter.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
	// Adapter is the adapter of a chat route, or empty. Callers send its name instead of the model's.
	Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	// Prefix is the path prefix of a service route, such as /services/bookings.
	Prefix string `json:"prefix,omitempty" yaml:"prefix,omitempty"`
	// Service is the service name of the endpoints of a service route.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	// IdempotentMethods are the HTTP methods that may be repeated. Default GET, HEAD and OPTIONS.
	IdempotentMethods []string `json:"idempotent_methods,omitempty" yaml:"idempotent_methods,omitempty"`
	// Open admits callers without a key. Their requests are charged to Workspace.
	Open bool `json:"open,omitempty" yaml:"open,omitempty"`
	// Workspace is the workspace of an open route.
	Workspace string `json:"workspace,omitempty" yaml:"workspace,omitempty"`
	// TokensPerCall is the charge of one call on a service route, in tokens. Default 1.
	TokensPerCall int64 `json:"tokens_per_call,omitempty" yaml:"tokens_per_call,omitempty"`
	// DeadlineMs is the longest wait for the first byte, in milliseconds. Default 30000.
	DeadlineMs int64 `json:"deadline_ms,omitempty" yaml:"deadline_ms,omitempty"`
}

// CallerModel returns the model name that callers of a chat route send: the adapter's name, or the model's if the
// route has no adapter.
func (r *Route) CallerModel() string {
	if r.Adapter != "" {
		return r.Adapter
	}
	return r.Model
}

// EndpointKind is the type of server at an endpoint.
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
	// Kind is the type of server at the endpoint.
	Kind EndpointKind `json:"kind" yaml:"kind"`
	// Address is the endpoint's IP:port.
	Address string `json:"address" yaml:"address"`
	// DataCentre is the data centre that the endpoint runs in.
	DataCentre string `json:"data_centre" yaml:"data_centre"`
	// Service is the service name of a plain service.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	// Models are the names of the models that an engine may serve.
	Models []string `json:"models,omitempty" yaml:"models,omitempty"`
	// ChecksFencing is set if the engine refuses orders with an outdated fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
	// Leaving is set while the endpoint is being drained and gets no new requests.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
	// MaxRunning is the number of requests that the endpoint runs concurrently. Default 16.
	MaxRunning int `json:"max_running,omitempty" yaml:"max_running,omitempty"`
}

// Defaults holds the settings of the whole deployment.
type Defaults struct {
	// LimitSlots is the number of slots that rates and bursts are divided into. Default 16.
	LimitSlots int `json:"limit_slots,omitempty" yaml:"limit_slots,omitempty"`
	// CacheStore is the address of the KV cache store, or empty.
	CacheStore string `json:"cache_store,omitempty" yaml:"cache_store,omitempty"`
	// RetentionSeconds is the time that the log keeps records, in seconds. Default 3600.
	RetentionSeconds int64 `json:"retention_seconds,omitempty" yaml:"retention_seconds,omitempty"`
}

// Items is a set of configuration items that a release note adds or changes.
type Items struct {
	Workspaces []Workspace `json:"workspaces,omitempty" yaml:"workspaces,omitempty"`
	Keys       []Key       `json:"keys,omitempty" yaml:"keys,omitempty"`
	Models     []Model     `json:"models,omitempty" yaml:"models,omitempty"`
	Routes     []Route     `json:"routes,omitempty" yaml:"routes,omitempty"`
	Endpoints  []Endpoint  `json:"endpoints,omitempty" yaml:"endpoints,omitempty"`
	Defaults   *Defaults   `json:"defaults,omitempty" yaml:"defaults,omitempty"`
}

// Ref identifies one configuration item.
type Ref struct {
	Kind Kind `json:"kind" yaml:"kind"`
	// Name is the item's name, or the digest of a key.
	Name string `json:"name" yaml:"name"`
}

// ReleaseNote is one change of the configuration. It is accepted as a whole or not at all.
type ReleaseNote struct {
	// ID is unique; a second note with the same ID is ignored.
	ID string `json:"id" yaml:"id"`
	// Base is the newest offset of the config stream that the author had seen. -1 means none.
	Base int64 `json:"base" yaml:"base"`
	// Author is free text about who wrote the note.
	Author string `json:"author,omitempty" yaml:"author,omitempty"`
	// Added lists new items. An item that already exists is a conflict.
	Added Items `json:"added,omitzero" yaml:"added,omitempty"`
	// Changed lists complete items that replace existing ones.
	Changed Items `json:"changed,omitzero" yaml:"changed,omitempty"`
	// Withdrawn lists items to remove.
	Withdrawn []Ref `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
}
