package order

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
)

// engineSet is the configuration joined with the readings at one moment.
type engineSet struct {
	models  map[string]*config.Model
	engines []engine
}

// engine is an endpoint that may serve models, with its newest reading.
type engine struct {
	endpoint config.Endpoint
	// reading is the newest reading, or nil.
	reading *Reading
	// fresh reports whether the reading is recent enough to count the engine as ready.
	fresh bool
}

// newEngineSet joins configuration and readings. Endpoints are ordered by name, so that plans do not depend on the
// order of the configuration.
func newEngineSet(cfg Config, readings Readings, staleAfter time.Duration, now time.Time) *engineSet {
	set := &engineSet{models: make(map[string]*config.Model, len(cfg.Models))}
	for i := range cfg.Models {
		set.models[cfg.Models[i].Name] = &cfg.Models[i]
	}
	newest := make(map[string]*Reading, len(readings))
	for i := range readings {
		r := &readings[i]
		if old := newest[r.Endpoint]; old == nil || old.ReadAt.Before(r.ReadAt) {
			newest[r.Endpoint] = r
		}
	}
	for _, e := range cfg.Endpoints {
		if e.Kind != config.EndpointEngine {
			continue
		}
		r := newest[e.Name]
		fresh := r != nil && now.Sub(r.ReadAt) <= staleAfter
		set.engines = append(set.engines, engine{endpoint: e, reading: r, fresh: fresh})
	}
	slices.SortFunc(set.engines, func(a, b engine) int {
		if a.endpoint.Name < b.endpoint.Name {
			return -1
		}
		return 1
	})
	return set
}

// serves reports whether the engine may receive requests for a model.
func (e *engine) serves(model string) bool {
	return !e.endpoint.Leaving && slices.Contains(e.endpoint.Models, model)
}

// holds reports whether the newest reading contains a version, however old the reading is.
func (e *engine) holds(model, version string) bool {
	return e.reading != nil && slices.Contains(e.reading.Loaded, Loaded{Model: model, Version: version})
}

// ready reports whether the engine can serve a version now.
func (e *engine) ready(model, version string) bool {
	return e.fresh && e.serves(model) && e.holds(model, version)
}

// ready returns the number of engines that can serve a version now.
func (set *engineSet) ready(model, version string) int {
	n := 0
	for i := range set.engines {
		if set.engines[i].ready(model, version) {
			n++
		}
	}
	return n
}

// serving returns the number of engines that may serve a model.
func (set *engineSet) serving(model string) int {
	n := 0
	for i := range set.engines {
		if set.engines[i].serves(model) {
			n++
		}
	}
	return n
}

// minReady returns the number of endpoints that must hold a version before requests are routed to it. It is at most the
// number of endpoints of the model.
func (set *engineSet) minReady(m *config.Model) int {
	n := max(m.MinReady, 1)
	if serving := set.serving(m.Name); serving > 0 {
		n = min(n, serving)
	}
	return n
}

// heldAnywhere reports whether an engine that may serve the model held the version at its last reading.
func (set *engineSet) heldAnywhere(model, version string) bool {
	for i := range set.engines {
		if set.engines[i].serves(model) && set.engines[i].holds(model, version) {
			return true
		}
	}
	return false
}
