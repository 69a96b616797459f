package router

import (
	"hash/fnv"
	"time"

	"github.com/corneldeal/corneldeal/pkg/cacheindex"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/member"
	"github.com/corneldeal/corneldeal/pkg/route"
	"github.com/corneldeal/corneldeal/pkg/settings"
)

// placementTable holds the placer and the channels of requests that wait for a first token.
type placementTable struct {
	placer *route.Placer
	// firstToken holds a channel for each request in flight whose first token others may wait for. It is closed at the
	// first token, or at the end of the attempt.
	firstToken map[uint64]chan struct{}
}

// newPlacementTable returns a table with the placement policy of the settings.
func newPlacementTable(s settings.Settings) (*placementTable, error) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.VM))
	placer, err := route.NewPlacer(route.Options{
		Policy: route.Policy(s.PlacementPolicy),
		// VMs with equal seeds would make the same random choices at the same time.
		Seed: h.Sum64(),
	})
	if err != nil {
		return nil, err
	}
	return &placementTable{placer: placer, firstToken: map[uint64]chan struct{}{}}, nil
}

// closeFirstToken closes the first-token channel of a request.
func (p *placementTable) closeFirstToken(id uint64) {
	if ch, ok := p.firstToken[id]; ok {
		close(ch)
		delete(p.firstToken, id)
	}
}

// lockedIndex gives the placer locked access to the cache index.
type lockedIndex struct {
	r *Router
}

// Match implements route.Cache.
func (x lockedIndex) Match(endpoint string, hashes []uint64, now time.Time) int {
	return locked(&x.r.index, func(i *cacheindex.Index) int { return i.Match(endpoint, hashes, now) })
}

// placementView returns the state of a model's endpoints for the placer. With exclusive set, it marks the endpoints on
// which an accused request runs as reserved.
func (r *Router) placementView(model config.Model, adapter, version string, exclusive bool, now time.Time) route.View {
	endpoints := r.state.Load().ModelEndpoints(model.Name)
	v := route.View{
		DataCentre: r.settings.DataCentre,
		Endpoints:  make([]route.Endpoint, 0, len(endpoints)),
		Cache:      lockedIndex{r},
	}
	peers := make([]route.PeerLoad, len(endpoints))
	r.members.do(func(t *member.Table) {
		v.PeerCount = len(t.Live(now))
		prefills := t.Prefills(now)
		for i, e := range endpoints {
			peers[i] = route.PeerLoad{
				InFlight:        t.InFlight(e.Name, now),
				PrefillKnown:    true,
				PrefillBacklog:  prefills[e.Name],
				Complete:        true,
				OldestHeartbeat: now,
			}
		}
	})
	r.engineInfos.do(func(t *engineTable) {
		for i, e := range endpoints {
			v.Endpoints = append(v.Endpoints, t.routeEndpoint(e, model.Name, adapter, version, peers[i]))
		}
	})
	r.index.do(func(x *cacheindex.Index) {
		for i := range v.Endpoints {
			v.Endpoints[i].Evicting = x.Evicting(v.Endpoints[i].Name, now)
		}
	})
	if exclusive {
		r.markReserved(v.Endpoints, now)
	}
	return v
}

// markReserved marks the endpoints on which another accused request runs. Two accused requests never share an endpoint,
// so that a second crash identifies which of them caused it.
func (r *Router) markReserved(endpoints []route.Endpoint, now time.Time) {
	reserved := locked(&r.crashes, func(g *crashguard.Guard) []string { return g.ClaimedEndpoints(now) })
	for i := range endpoints {
		for _, name := range reserved {
			if endpoints[i].Name == name {
				endpoints[i].Reserved = true
			}
		}
	}
}
