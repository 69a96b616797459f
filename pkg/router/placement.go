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

// placement is the placer with the first tokens that requests wait for.
type placement struct {
	placer *route.Placer
	// first holds a channel per request whose first token others wait for. It is closed at the first token.
	first map[uint64]chan struct{}
}

func newPlacement(s settings.Settings) (*placement, error) {
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
	return &placement{placer: placer, first: map[uint64]chan struct{}{}}, nil
}

// end closes the request's first-token channel.
func (p *placement) end(id uint64) {
	if ch, ok := p.first[id]; ok {
		close(ch)
		delete(p.first, id)
	}
}

// lockedIndex lets the placer read the cache index.
type lockedIndex struct {
	r *Router
}

// Match implements route.Cache.
func (x lockedIndex) Match(endpoint string, hashes []uint64, now time.Time) int {
	return read(&x.r.index, func(i *cacheindex.Index) int { return i.Match(endpoint, hashes, now) })
}

// view collects what this VM knows about the endpoints of a model.
func (r *Router) view(model config.Model, adapter, version string, suspect bool, now time.Time) route.View {
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
	r.fleet.do(func(t *engineTable) {
		for i, e := range endpoints {
			v.Endpoints = append(v.Endpoints, t.candidate(e, model.Name, adapter, version, peers[i]))
		}
	})
	r.index.do(func(x *cacheindex.Index) {
		for i := range v.Endpoints {
			v.Endpoints[i].Evicting = x.Evicting(v.Endpoints[i].Name, now)
		}
	})
	if suspect {
		r.reserve(v.Endpoints, now)
	}
	return v
}

// reserve marks the endpoints on which another accused request runs. Two accused requests never share an
// endpoint, so that a second crash tells which of them is to blame.
func (r *Router) reserve(endpoints []route.Endpoint, now time.Time) {
	reserved := read(&r.crashes, func(g *crashguard.Guard) []string { return g.ClaimedEndpoints(now) })
	for i := range endpoints {
		for _, name := range reserved {
			if endpoints[i].Name == name {
				endpoints[i].Reserved = true
			}
		}
	}
}
