// Package traffic holds the configuration that operators publish for the gateway: routes, services, workspaces and
// limits. A Config is immutable once built; a new version replaces it as a whole. The package holds no I/O.
package traffic

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

// Kind tells what may be repeated of a request.
type Kind int

const (
	// Unsafe requests run at most once. It is the default for kinds that are not known.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by a series of events.
	Streaming
)

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting for the final answer. Zero means none.
	Timeout time.Duration
	// Objective is the latency within which an answer, or the first event of a stream, is on time.
	Objective time.Duration
	// Gap is the longest pause between two events with which a stream is on time. Zero where none is named.
	Gap time.Duration
	// Priority is the rank of the requests, 0 first.
	Priority int
	Targets  []Target
	// Attempts is the largest number of endpoints that may run one request.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Pick returns the targets in the order in which a request tries them. The first is chosen by weight from the
// request's id, so that a repeat of the decision gives the same result.
func (r *Route) Pick(id string) []string {
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

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// CacheTokens is the memory of one engine, in tokens.
	CacheTokens int
	// TokenBytes is the size of one token's cache, in bytes.
	TokenBytes int
	// LinkMbps is the bandwidth of an engine for cache transfers, in Mbit/s.
	LinkMbps float64
	// MaxWatches is the number of event watches that one engine holds at once over all VMs.
	MaxWatches int
	// Models are the models that the engines serve.
	Models []string
}

// CacheStore describes a store of cached prompt parts.
type CacheStore struct {
	Address    string
	DataCentre string
	// LinkMbps is the bandwidth of the store, in Mbit/s.
	LinkMbps float64
	// CacheTokens is the memory of the store, in tokens. Zero where it is not known.
	CacheTokens int
	// MaxWatches is the number of event watches that the store holds at once over all VMs.
	MaxWatches int
}

// Service is a set of equal endpoints.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
	// Store is set for a cache store, which is no target of routes.
	Store *CacheStore
}

// Workspace is one customer.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's where HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in tokens per second and Burst in tokens, over all VMs. Zero means no limit.
	Rate, Burst int64
	// DefaultCost is the charge of a request that declares no token counts, in tokens.
	DefaultCost int64
	// Isolated workspaces share no cached material with others.
	Isolated bool
}

// Limits bound what callers may send.
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
	Limits     Limits

	byHost map[string][]*Route
	byKey  map[string]*Workspace
	stores []*CacheStore
}

// Build indexes the configuration. It must be called once, before the Config is shared.
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
	return c
}

// Match returns the route of a host and path, or nil. The longest prefix wins.
func (c *Config) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed tells whether requests need a key at all.
func (c *Config) Keyed() bool {
	return len(c.Workspaces) > 0
}

// WorkspaceOf returns the workspace that holds a key, or nil.
func (c *Config) WorkspaceOf(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}

// StoreFor returns the cache store for a subject, or nil. All VMs choose the same one, so that the stores together hold
// as many subjects as they have room for, rather than each the same ones.
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
