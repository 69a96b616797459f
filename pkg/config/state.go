package config

import (
	"strings"
	"sync"
)

// State is the configuration after a prefix of the config stream. It is immutable and safe for concurrent
// reads. Slices in returned items belong to the state and must not be modified.
type State struct {
	// next is the offset of the first record that is not contained.
	next int64
	// floor is the oldest offset whose verdict and withdrawals are remembered.
	floor int64
	// marks are the offsets of the newest snapshot records that count as ticks, oldest first.
	marks []int64

	workspaces *table[Workspace]
	keys       *table[Key]
	models     *table[Model]
	routes     *table[Route]
	endpoints  *table[Endpoint]
	defaults   *table[Defaults]

	// withdrawals and verdicts are ordered by offset. States share the arrays behind them, which only grow.
	withdrawals []withdrawal
	verdicts    []Verdict

	digest  func() string
	routing func() routingIndex
	serving func() servingIndex
}

// withdrawal remembers that an item was withdrawn, so that a note with an older base conflicts with it.
type withdrawal struct {
	Ref    Ref   `json:"ref"`
	Offset int64 `json:"offset"`
}

// routingIndex maps what callers name to routes.
type routingIndex struct {
	byModel  map[string]Route
	byPrefix map[string]Route
}

// servingIndex lists endpoints by what they serve.
type servingIndex struct {
	byModel   map[string][]Endpoint
	byService map[string][]Endpoint
}

// emptyState is the configuration before the first record.
func emptyState() *State {
	s := &State{
		workspaces: newTable(map[string]*entry[Workspace]{}),
		keys:       newTable(map[string]*entry[Key]{}),
		models:     newTable(map[string]*entry[Model]{}),
		routes:     newTable(map[string]*entry[Route]{}),
		endpoints:  newTable(map[string]*entry[Endpoint]{}),
		defaults:   newTable(map[string]*entry[Defaults]{}),
	}
	s.finish(&State{})
	return s
}

// finish prepares the digest and the indexes of a new state, which are computed on first use. Indexes of tables
// that the previous state has too are kept.
func (s *State) finish(previous *State) {
	s.digest = sync.OnceValue(func() string { return digestOf(bodyOf(s)) })
	routes, endpoints := s.routes, s.endpoints
	if routes != previous.routes {
		s.routing = sync.OnceValue(func() routingIndex { return indexRouting(routes) })
	}
	if endpoints != previous.endpoints {
		s.serving = sync.OnceValue(func() servingIndex { return indexServing(endpoints) })
	}
}

func indexRouting(routes *table[Route]) routingIndex {
	index := routingIndex{byModel: map[string]Route{}, byPrefix: map[string]Route{}}
	for _, r := range routes.sorted() {
		if r.Kind == RouteChat {
			index.byModel[r.CallerModel()] = r
			continue
		}
		index.byPrefix[r.Prefix] = r
	}
	return index
}

func indexServing(endpoints *table[Endpoint]) servingIndex {
	index := servingIndex{byModel: map[string][]Endpoint{}, byService: map[string][]Endpoint{}}
	for _, e := range endpoints.sorted() {
		for _, model := range e.Models {
			index.byModel[model] = append(index.byModel[model], e)
		}
		if e.Kind == EndpointService {
			index.byService[e.Service] = append(index.byService[e.Service], e)
		}
	}
	return index
}

// Offset is the offset of the newest record contained, or -1 for none.
func (s *State) Offset() int64 { return s.next - 1 }

// NextOffset is the offset of the first record that is not contained.
func (s *State) NextOffset() int64 { return s.next }

// OldestBase is the oldest base that a note may still have.
func (s *State) OldestBase() int64 { return s.floor - 1 }

// Digest is the lower-case hexadecimal SHA-256 over the canonical encoding. The first call computes it.
func (s *State) Digest() string { return s.digest() }

// Workspace returns the workspace with that name.
func (s *State) Workspace(name string) (Workspace, bool) { return s.workspaces.lookup(name) }

// KeyWorkspace returns the workspace that the key with that digest admits to.
func (s *State) KeyWorkspace(digest string) (Workspace, bool) {
	key, ok := s.keys.lookup(digest)
	if !ok {
		return Workspace{}, false
	}
	return s.workspaces.lookup(key.Workspace)
}

// Model returns the model with that name, with defaults filled in.
func (s *State) Model(name string) (Model, bool) { return s.models.lookup(name) }

// Endpoint returns the endpoint with that name, with defaults filled in.
func (s *State) Endpoint(name string) (Endpoint, bool) { return s.endpoints.lookup(name) }

// ChatRoute returns the chat route of the model name that a caller sends, with defaults filled in.
func (s *State) ChatRoute(model string) (Route, bool) {
	r, ok := s.routing().byModel[model]
	return r, ok
}

// ServiceRoute returns the service route with the longest prefix of path, with defaults filled in. A prefix
// matches whole path segments only.
func (s *State) ServiceRoute(path string) (Route, bool) {
	prefixes := s.routing().byPrefix
	for path != "" {
		if r, ok := prefixes[path]; ok {
			return r, true
		}
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	return Route{}, false
}

// Workspaces returns all workspaces in order of name.
func (s *State) Workspaces() []Workspace { return s.workspaces.sorted() }

// Keys returns all keys in order of digest.
func (s *State) Keys() []Key { return s.keys.sorted() }

// Models returns all models in order of name, with defaults filled in.
func (s *State) Models() []Model { return s.models.sorted() }

// Routes returns all routes in order of name, with defaults filled in.
func (s *State) Routes() []Route { return s.routes.sorted() }

// Endpoints returns all endpoints in order of name, with defaults filled in.
func (s *State) Endpoints() []Endpoint { return s.endpoints.sorted() }

// ModelEndpoints returns the engines that may serve the model, in order of name.
func (s *State) ModelEndpoints(model string) []Endpoint { return s.serving().byModel[model] }

// ServiceEndpoints returns the endpoints of a plain service, in order of name.
func (s *State) ServiceEndpoints(service string) []Endpoint { return s.serving().byService[service] }

// Defaults returns the settings of the deployment with defaults filled in.
func (s *State) Defaults() Defaults {
	d, ok := s.defaults.lookup(DefaultsName)
	if !ok {
		return fillDefaults(Defaults{})
	}
	return d
}
