package order

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
)

// fleet is the configuration joined with the readings at one moment.
type fleet struct {
	models  map[string]*config.Model
	engines []engine
}

// engine is one endpoint that may serve models.
type engine struct {
	endpoint config.Endpoint
	// reading is the newest reading, nil if there is none.
	reading *Reading
	// fresh tells that the reading is new enough to count the engine as ready.
	fresh bool
}

// newFleet joins configuration and readings. Endpoints are ordered by name, so that plans do not depend on the
// order of the configuration.
func newFleet(state State, observed Observed, staleAfter time.Duration, now time.Time) *fleet {
	f := &fleet{models: make(map[string]*config.Model, len(state.Models))}
	for i := range state.Models {
		f.models[state.Models[i].Name] = &state.Models[i]
	}
	readings := make(map[string]*Reading, len(observed))
	for i := range observed {
		r := &observed[i]
		if old := readings[r.Endpoint]; old == nil || old.ReadAt.Before(r.ReadAt) {
			readings[r.Endpoint] = r
		}
	}
	for _, e := range state.Endpoints {
		if e.Kind != config.EndpointEngine {
			continue
		}
		r := readings[e.Name]
		fresh := r != nil && now.Sub(r.ReadAt) <= staleAfter
		f.engines = append(f.engines, engine{endpoint: e, reading: r, fresh: fresh})
	}
	slices.SortFunc(f.engines, func(a, b engine) int {
		if a.endpoint.Name < b.endpoint.Name {
			return -1
		}
		return 1
	})
	return f
}

// serves reports whether the engine may take requests of a model.
func (e *engine) serves(model string) bool {
	return !e.endpoint.Leaving && slices.Contains(e.endpoint.Models, model)
}

// holds reports whether the newest reading lists a version, however old the reading is.
func (e *engine) holds(model, version string) bool {
	return e.reading != nil && slices.Contains(e.reading.Loaded, Loaded{Model: model, Version: version})
}

// ready reports whether the engine can serve a version now.
func (e *engine) ready(model, version string) bool {
	return e.fresh && e.serves(model) && e.holds(model, version)
}

// ready counts the engines that can serve a version now.
func (f *fleet) ready(model, version string) int {
	n := 0
	for i := range f.engines {
		if f.engines[i].ready(model, version) {
			n++
		}
	}
	return n
}

// serving counts the engines that may serve a model.
func (f *fleet) serving(model string) int {
	n := 0
	for i := range f.engines {
		if f.engines[i].serves(model) {
			n++
		}
	}
	return n
}

// minReady is the number of endpoints that must hold a version before requests are routed to it. It cannot exceed
// the number of endpoints of the model.
func (f *fleet) minReady(m *config.Model) int {
	n := max(m.MinReady, 1)
	if serving := f.serving(m.Name); serving > 0 {
		n = min(n, serving)
	}
	return n
}

// heldAnywhere reports whether an engine that may serve the model held the version at its last reading.
func (f *fleet) heldAnywhere(model, version string) bool {
	for i := range f.engines {
		if f.engines[i].serves(model) && f.engines[i].holds(model, version) {
			return true
		}
	}
	return false
}
