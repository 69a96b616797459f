package config

import (
	"strings"
	"sync"
)

// State is the configuration after a prefix of the config stream. It is immutable and safe for concurrent use. Slices
// in returned items belong to the state and must not be modified.
type State struct {
	// nextOffset is the offset of the first record that is not part of the state.
	nextOffset int64
	// oldestRetained is the oldest offset whose verdict and withdrawals are kept.
	oldestRetained int64
	// checkpoints holds the offsets of the newest checkpoints, oldest first.
	checkpoints []int64

	workspaces *table[Workspace]
	keys       *table[Key]
	models     *table[Model]
	routes     *table[Route]
	endpoints  *table[Endpoint]
	defaults   *table[Defaults]

	// withdrawals and verdicts are ordered by offset. States share the underlying arrays, which are only appended to.
	withdrawals []withdrawal
	verdicts    []Verdict

	digest            func() string
	routesByName      func() routeIndex
	endpointsByTarget func() endpointIndex
}

// withdrawal records that an item was withdrawn, so that a note with an older base conflicts with it.
type withdrawal struct {
	Ref    Ref   `json:"ref"`
	Offset int64 `json:"offset"`
}

// routeIndex holds routes by the model name or path prefix that callers send.
type routeIndex struct {
	byModel  map[string]Route
	byPrefix map[string]Route
}

// endpointIndex holds endpoints by model and by service.
type endpointIndex struct {
	byModel   map[string][]Endpoint
	byService map[string][]Endpoint
}

// emptyState returns the configuration before the first record.
func emptyState() *State {
	s := &State{
		workspaces: newTable(map[string]*entry[Workspace]{}),
		keys:       newTable(map[string]*entry[Key]{}),
		models:     newTable(map[string]*entry[Model]{}),
		routes:     newTable(map[string]*entry[Route]{}),
		endpoints:  newTable(map[string]*entry[Endpoint]{}),
		defaults:   newTable(map[string]*entry[Defaults]{}),
	}
	s.initDerived(&State{})
	return s
}

// initDerived sets up the digest and the indexes of a new state, which are computed on first use. Indexes over tables
// that the previous state shares are kept.
func (s *State) initDerived(previous *State) {
	s.digest = sync.OnceValue(func() string { return bodyDigest(newSnapshotBody(s)) })
	routes, endpoints := s.routes, s.endpoints
	if routes != previous.routes {
		s.routesByName = sync.OnceValue(func() routeIndex { return indexRoutes(routes) })
	}
	if endpoints != previous.endpoints {
		s.endpointsByTarget = sync.OnceValue(func() endpointIndex { return indexEndpoints(endpoints) })
	}
}

func indexRoutes(routes *table[Route]) routeIndex {
	index := routeIndex{byModel: map[string]Route{}, byPrefix: map[string]Route{}}
	for _, r := range routes.sorted() {
		if r.Kind == RouteChat {
			index.byModel[r.CallerModel()] = r
			continue
		}
		index.byPrefix[r.Prefix] = r
	}
	return index
}

func indexEndpoints(endpoints *table[Endpoint]) endpointIndex {
	index := endpointIndex{byModel: map[string][]Endpoint{}, byService: map[string][]Endpoint{}}
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

// Offset returns the offset of the newest record in the state, or -1 if there is none.
func (s *State) Offset() int64 { return s.nextOffset - 1 }

// NextOffset returns the offset of the first record that is not part of the state.
func (s *State) NextOffset() int64 { return s.nextOffset }

// OldestBase returns the oldest base that a new note may have.
func (s *State) OldestBase() int64 { return s.oldestRetained - 1 }

// Digest returns the lower-case hexadecimal SHA-256 of the canonical encoding. It is computed on the first call.
func (s *State) Digest() string { return s.digest() }

// Workspace returns the workspace with that name.
func (s *State) Workspace(name string) (Workspace, bool) { return s.workspaces.lookup(name) }

// KeyWorkspace returns the workspace of the key with that digest.
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

// ChatRoute returns the chat route for the model name that a caller sends, with defaults filled in.
func (s *State) ChatRoute(model string) (Route, bool) {
	r, ok := s.routesByName().byModel[model]
	return r, ok
}

// ServiceRoute returns the service route with the longest prefix of path, with defaults filled in. A prefix
// matches whole path segments only.
func (s *State) ServiceRoute(path string) (Route, bool) {
	prefixes := s.routesByName().byPrefix
	for path != "" {
		if r, ok := prefixes[path]; ok {
			return r, true
		}
		path = path[:max(strings.LastIndexByte(path, '/'), 0)]
	}
	return Route{}, false
}

// Workspaces returns all workspaces, sorted by name.
func (s *State) Workspaces() []Workspace { return s.workspaces.sorted() }

// Keys returns all keys, sorted by digest.
func (s *State) Keys() []Key { return s.keys.sorted() }

// Models returns all models, sorted by name, with defaults filled in.
func (s *State) Models() []Model { return s.models.sorted() }

// Routes returns all routes, sorted by name, with defaults filled in.
func (s *State) Routes() []Route { return s.routes.sorted() }

// Endpoints returns all endpoints, sorted by name, with defaults filled in.
func (s *State) Endpoints() []Endpoint { return s.endpoints.sorted() }

// ModelEndpoints returns the engines that may serve the model, sorted by name.
func (s *State) ModelEndpoints(model string) []Endpoint { return s.endpointsByTarget().byModel[model] }

// ServiceEndpoints returns the endpoints of a plain service, sorted by name.
func (s *State) ServiceEndpoints(service string) []Endpoint {
	return s.endpointsByTarget().byService[service]
}

// Defaults returns the settings of the deployment with defaults filled in.
func (s *State) Defaults() Defaults {
	d, ok := s.defaults.lookup(DefaultsName)
	if !ok {
		return completeDefaults(Defaults{})
	}
	return d
}
