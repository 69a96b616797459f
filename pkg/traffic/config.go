// Package traffic holds the configuration that operators publish for the gateway: routes, services, workspaces and
// limits. A Config is immutable once built; a new version replaces it as a whole. The package does no I/O.
package traffic

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

// Kind classifies the requests of a route by whether they may be repeated.
type Kind int

const (
	// Unsafe requests run at most once. It is the default for unknown kinds.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by a stream of events.
	Streaming
)

// Target is a service of a route with its relative weight.
type Target struct {
	Service string
	Weight  int
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for the complete answer. Zero means no limit.
	Timeout time.Duration
	// Objective is the latency within which an answer, or the first event of a stream, counts as on time.
	Objective time.Duration
	// MaxEventGap is the longest pause between two events with which a stream counts as on time. Zero where none is
	// configured.
	MaxEventGap time.Duration
	// Priority is the rank of the requests. Zero is the highest.
	Priority int
	Targets  []Target
	// Attempts is the largest number of endpoints that may run one request.
	Attempts int
	// Public reports whether requests need no key.
	Public bool
	// Resumable reports whether a stream may continue on another endpoint after its last event.
	Resumable bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// TargetOrder returns the services in the order in which a request tries them. The first is chosen by weight from a
// hash of the request's ID, so that repeated calls return the same order. Targets without weight are left out.
func (r *Route) TargetOrder(id string) []string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	point := int(h.Sum32() % uint32(total))
	var first string
	rest := make([]string, 0, len(r.Targets))
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		if first == "" && point < t.Weight {
			first = t.Service
			continue
		}
		if first == "" {
			point -= t.Weight
		}
		rest = append(rest, t.Service)
	}
	return append([]string{first}, rest...)
}

// ResumableServices returns the services of the routes whose streams may go on at another endpoint, sorted.
func (c *Config) ResumableServices() []string {
	names := map[string]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != Streaming || !r.Resumable {
			continue
		}
		for _, t := range r.Targets {
			names[t.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Engine holds the properties of the model engines of a service.
type Engine struct {
	// Slots is the largest number of requests in one batch.
	Slots int
	// CacheTokens is the KV cache capacity of one engine, in tokens.
	CacheTokens int
	// TokenBytes is the size of one token in the KV cache, in bytes.
	TokenBytes int
	// LinkMbps is the bandwidth of an engine for cache transfers, in Mbit/s.
	LinkMbps float64
	// MaxWatches is the largest number of event watches on one engine at the same time, over all VMs.
	MaxWatches int
	// Models holds the names of the models that the engines serve.
	Models []string
}

// CacheStore describes a store of cached prompt parts.
type CacheStore struct {
	Address    string
	DataCentre string
	// LinkMbps is the bandwidth of the store, in Mbit/s.
	LinkMbps float64
	// CacheTokens is the capacity of the store, in tokens. Zero where it is not known.
	CacheTokens int
	// MaxWatches is the largest number of event watches on the store at the same time, over all VMs.
	MaxWatches int
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
	// Store is set only for a cache store, which cannot be the target of a route.
	Store *CacheStore
	// ConnectionLimit is the number of connections that an endpoint accepts from all VMs together. Zero means no limit.
	ConnectionLimit int
	// ConnectionLimitUnreadable is set if the configuration names a limit that could not be decoded. The limit of the
	// configuration before stays in force then.
	ConnectionLimitUnreadable bool
}

// KeepUnreadableLimits sets the connection limits that could not be decoded to those of the configuration before, which
// may be nil. It must be called before c is shared.
func (c *Config) KeepUnreadableLimits(before *Config) {
	if before == nil {
		return
	}
	for name, s := range c.Services {
		if old := before.Services[name]; old != nil && s.ConnectionLimitUnreadable {
			s.ConnectionLimit = old.ConnectionLimit
		}
	}
}

// Workspace is a tenant with its keys, priority and limits.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the limit in tokens per second and Burst in tokens, over all VMs. A rate of zero means no limit.
	Rate, Burst int64
	// DefaultCost is the charge for a request that declares no token counts, in tokens.
	DefaultCost int64
	// Isolated reports whether the workspace shares no cached prompt parts with others.
	Isolated bool
}

// Limits bounds the size and duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Services   map[string]*Service
	Workspaces []Workspace
	// KeyRequired is set if requests need a key even if there is no workspace that could be read.
	KeyRequired bool
	Limits      Limits

	byHost map[string][]*Route
	byKey  map[string]*Workspace
	stores []*CacheStore
	// sharedScope is the cache scope of the workspaces in sharing.
	sharedScope string
	sharing     map[string]bool
}

// Build creates the lookup indexes and returns c. Call it once, before the Config is shared.
func (c *Config) Build() *Config {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.stores = nil
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if store := c.Services[name].Store; store != nil {
			c.stores = append(c.stores, store)
		}
	}
	c.byKey = map[string]*Workspace{}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.byKey[key] = &c.Workspaces[i]
		}
	}
	c.buildCacheScopes()
	return c
}

// buildCacheScopes sets sharing and sharedScope.
func (c *Config) buildCacheScopes() {
	c.sharing = map[string]bool{}
	for i := range c.Workspaces {
		if w := &c.Workspaces[i]; !w.Isolated {
			c.sharing[w.Name] = true
		}
	}
	h := fnv.New64a()
	for _, name := range slices.Sorted(maps.Keys(c.sharing)) {
		_, _ = fmt.Fprintf(h, "%q", name)
	}
	c.sharedScope = "shared " + strconv.FormatUint(h.Sum64(), 36)
}

// CacheScope returns the scope within which the requests of a workspace share cached material, for "" that of requests
// without a workspace. The shared scope is named after the workspaces that share it: when one becomes isolated, or leaves or
// joins them, the others go on in another scope, so nobody uses what a workspace cached that is no longer among them. A VM
// needs to know nothing but the configuration in force. An isolated workspace, and one that the configuration does not
// have, has a scope of its own.
func (c *Config) CacheScope(workspace string) string {
	if workspace == "" || c.sharing[workspace] {
		return c.sharedScope
	}
	return c.OwnCacheScope(workspace)
}

// OwnCacheScope returns a scope that only the requests of one workspace use, for "" those without a workspace.
func (c *Config) OwnCacheScope(workspace string) string {
	return "own " + workspace
}

// Match returns the route with the longest matching prefix for a host and path, or nil. It ignores case and port of the
// host.
func (c *Config) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests need a key, except on public routes.
func (c *Config) RequiresKey() bool {
	return c.KeyRequired || len(c.Workspaces) > 0
}

// WorkspaceByKey returns the workspace that a key belongs to, or nil.
func (c *Config) WorkspaceByKey(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}

// StoreFor returns the cache store for a subject, or nil. All VMs choose the same store by rendezvous hashing, so that
// the stores hold different subjects and together as many as they have room for.
func (c *Config) StoreFor(subject uint64) *CacheStore {
	var best *CacheStore
	bestWeight := uint64(0)
	for _, s := range c.stores {
		if w := rendezvous.Weight(subject, s.Address); best == nil || w > bestWeight {
			best, bestWeight = s, w
		}
	}
	return best
}
