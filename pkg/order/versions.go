package order

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
)

// Versions holds the version of each model that requests are routed to. Every VM has one, and the issuer's is part of
// its Planner. It is not safe for concurrent use.
type Versions struct {
	staleAfter time.Duration
	routed     map[string]*routed
}

// routed is the version that requests for one model are routed to.
type routed struct {
	version string
	// provisional reports whether no version has had enough endpoints yet, so that the choice may still change.
	provisional bool
}

// NewVersions returns a Versions without models. staleAfter is as in Settings; zero means its default.
func NewVersions(staleAfter time.Duration) *Versions {
	s := Settings{StaleAfter: staleAfter}.withDefaults()
	return &Versions{staleAfter: s.StaleAfter, routed: make(map[string]*routed)}
}

// ReadyVersion returns the version to route requests for a model to, or "" for an unknown model. After a start it is
// the version with the most ready endpoints until one version has enough; from then on it changes only to the
// configured version.
func (v *Versions) ReadyVersion(model string) string {
	if r := v.routed[model]; r != nil {
		return r.version
	}
	return ""
}

// AdoptPeer sets the version of a model to the one that a peer routes to, unless this VM has made its final choice. A
// VM that has just started would otherwise choose by the number of ready endpoints.
func (v *Versions) AdoptPeer(model, version string) {
	if r := v.routed[model]; (r == nil || r.provisional) && version != "" {
		v.routed[model] = &routed{version: version}
	}
}

// Observe updates the routed versions from configuration and engine states. A model changes only to its configured
// version, once enough endpoints hold it, and never back to the older one, even if endpoints lose the new version.
func (v *Versions) Observe(cfg Config, readings Readings, now time.Time) {
	v.observe(newEngineSet(cfg, readings, v.staleAfter, now))
}

// observe updates the routed versions from one engineSet.
func (v *Versions) observe(set *engineSet) {
	for name := range v.routed {
		if set.models[name] == nil {
			delete(v.routed, name)
		}
	}
	for name, m := range set.models {
		r := v.routed[name]
		switch {
		case r == nil || r.provisional:
			v.routed[name] = initialVersion(set, m)
		case r.version != m.Version && set.maySwitch(m, r.version):
			r.version = m.Version
		}
	}
}

// maySwitch reports whether requests may be routed to the configured version. If no endpoint holds the old version any
// more, one ready endpoint is enough, since staying would refuse every request.
func (set *engineSet) maySwitch(m *config.Model, old string) bool {
	ready := set.ready(m.Name, m.Version)
	return ready >= set.minReady(m) || ready > 0 && !set.heldAnywhere(m.Name, old)
}

// initialVersion returns the version of a model that was not routed before: the configured version, or another one if
// that has more ready endpoints and the configured one has not enough. Readings arrive one by one after a start, so the
// result is provisional until the configured version or another has enough.
func initialVersion(set *engineSet, m *config.Model) *routed {
	best, most := m.Version, set.ready(m.Name, m.Version)
	need := set.minReady(m)
	if most < need {
		for _, version := range set.versions(m.Name) {
			if n := set.ready(m.Name, version); n > most {
				best, most = version, n
			}
		}
	}
	return &routed{version: best, provisional: most < need}
}

// versions returns the versions of a model that any engine holds, sorted.
func (set *engineSet) versions(model string) []string {
	var versions []string
	for i := range set.engines {
		if set.engines[i].reading == nil {
			continue
		}
		for _, l := range set.engines[i].reading.Loaded {
			if l.Model == model && !slices.Contains(versions, l.Version) {
				versions = append(versions, l.Version)
			}
		}
	}
	slices.Sort(versions)
	return versions
}
