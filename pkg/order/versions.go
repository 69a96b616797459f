package order

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
)

// Versions decides the version of each model that requests are routed to. Every VM runs one, the issuer's is part of
// its Planner. It is not safe for concurrent use.
type Versions struct {
	staleAfter time.Duration
	routed     map[string]*routed
}

// routed is the choice for one model.
type routed struct {
	version string
	// open tells that no version had enough endpoints yet, so that the choice is not final.
	open bool
}

// NewVersions returns an empty choice. StaleAfter is as in Settings; zero means its default.
func NewVersions(staleAfter time.Duration) *Versions {
	s := Settings{StaleAfter: staleAfter}.withDefaults()
	return &Versions{staleAfter: s.StaleAfter, routed: make(map[string]*routed)}
}

// ReadyVersion returns the version to route requests of a model to, or "" for an unknown model. After a start it is
// the one with most ready endpoints until one has enough; from then on it only moves to the version in force.
func (v *Versions) ReadyVersion(model string) string {
	if r := v.routed[model]; r != nil {
		return r.version
	}
	return ""
}

// Adopt takes the version that a peer routes to, for a VM that has just started and would else choose by counting.
func (v *Versions) Adopt(model, version string) {
	if r := v.routed[model]; (r == nil || r.open) && version != "" {
		v.routed[model] = &routed{version: version}
	}
}

// Observe follows configuration and engine states. A model moves only towards its version in force, once enough
// endpoints hold it; it never goes back to the older one, whatever happens to the new endpoints.
func (v *Versions) Observe(state State, observed Observed, now time.Time) {
	v.observe(newFleet(state, observed, v.staleAfter, now))
}

func (v *Versions) observe(f *fleet) {
	for name := range v.routed {
		if f.models[name] == nil {
			delete(v.routed, name)
		}
	}
	for name, m := range f.models {
		r := v.routed[name]
		switch {
		case r == nil || r.open:
			v.routed[name] = first(f, m)
		case r.version != m.Version && f.maySwitch(m, r.version):
			r.version = m.Version
		}
	}
}

// maySwitch reports whether requests may go to the version in force. Where no endpoint holds the old version any
// more, one ready endpoint is enough, since staying would refuse every request.
func (f *fleet) maySwitch(m *config.Model, old string) bool {
	ready := f.ready(m.Name, m.Version)
	return ready >= f.minReady(m) || ready > 0 && !f.heldAnywhere(m.Name, old)
}

// first chooses the version of a model that was not routed before. It is the version in force unless only another
// one has enough endpoints. Readings arrive one by one after a start, so the choice stays open until one has.
func first(f *fleet, m *config.Model) *routed {
	best, most := m.Version, f.ready(m.Name, m.Version)
	need := f.minReady(m)
	if most < need {
		for _, version := range f.versions(m.Name) {
			if n := f.ready(m.Name, version); n > most {
				best, most = version, n
			}
		}
	}
	return &routed{version: best, open: most < need}
}

// versions lists the versions of a model that any engine holds, sorted.
func (f *fleet) versions(model string) []string {
	var versions []string
	for i := range f.engines {
		if f.engines[i].reading == nil {
			continue
		}
		for _, l := range f.engines[i].reading.Loaded {
			if l.Model == model && !slices.Contains(versions, l.Version) {
				versions = append(versions, l.Version)
			}
		}
	}
	slices.Sort(versions)
	return versions
}
