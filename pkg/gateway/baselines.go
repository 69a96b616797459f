package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/affinity"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/logpos"
)

const (
	// baselineKeyPrefix is the prefix of the store keys of the baselines, before the name of the service.
	baselineKeyPrefix = "baseline/"
	// baselineCheckInterval is the interval between two checks of the baselines.
	baselineCheckInterval = 500 * time.Millisecond
)

// applyBaseline applies the stored baseline of a service. The caller holds the lock.
func (g *Gateway) applyBaseline(service string, r Record) {
	var b affinity.Baseline
	if err := json.Unmarshal(r.Value, &b); err != nil || b.Software == "" {
		g.log.warn(partStore).Str("key", r.Key).Err(err).Msg("baseline is unreadable")
		return
	}
	if b.Era != r.Position.Era {
		// It is from before a restore of the store, which may have lost a later one.
		g.origins.SetFormerBaseline(service, b.Software)
		return
	}
	g.setBaseline(service, b)
}

// applyPeerBaselines applies the baselines of a peer, for services of which this VM knows none. The caller holds the lock.
func (g *Gateway) applyPeerBaselines(baselines []*gossip.Baseline) {
	for _, b := range baselines {
		if _, known := g.origins.Baseline(b.GetService()); known || b.GetEra() != g.storeEra {
			continue
		}
		g.setBaseline(b.GetService(), affinity.Baseline{Software: b.GetSoftware(), Era: b.GetEra(), Provisional: b.GetProvisional()})
	}
}

// setBaseline records a baseline and logs a new one. The caller holds the lock.
func (g *Gateway) setBaseline(service string, b affinity.Baseline) {
	if old, known := g.origins.Baseline(service); !known || old != b {
		g.log.info(partStore).Str("service", service).Str("software", b.Software).Int64("era", b.Era).
			Bool("provisional", b.Provisional).Msg("baseline of stream origins")
	}
	g.origins.SetBaseline(service, b, g.now())
}

// maintainBaselines keeps the baselines of the services with resumable streams known, and writes those that are this VM's to
// write.
func (g *Gateway) maintainBaselines() {
	removed := false
	for g.sleep(g.jitter(baselineCheckInterval)) {
		steps := g.baselineSteps(g.now())
		if len(steps) == 0 {
			continue
		}
		end, err := g.listOrigins()
		if err != nil {
			g.log.info(partStore).Err(err).Msg("stream origins not read")
			g.askPeerForBaselines()
			continue
		}
		if !removed {
			removed = true
			g.removeOldOrigins()
		}
		for service, step := range steps {
			if step == affinity.Write {
				end = g.writeBaseline(service, end)
			}
		}
	}
}

// askPeerForBaselines requests the baselines from a peer, since the store does not tell them.
func (g *Gateway) askPeerForBaselines() {
	now := g.now()
	g.mu.Lock()
	peers := slices.Sorted(slices.Values(g.livePeers(now)))
	var p *peerID
	if len(peers) > 0 {
		p = g.peers[peers[g.random.IntN(len(peers))]].id()
	}
	g.mu.Unlock()
	if p != nil && !g.fetchState(p.vm, p.address) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.originSync.unreadable = true
}

// beginsUntracked reports whether new streams of a service begin without a record of their origin. The caller holds the
// lock.
func (g *Gateway) beginsUntracked(service string) bool {
	_, known := g.origins.Baseline(service)
	return !known && g.originSync.unreadable
}

// baselineSteps observes the software versions in service and returns what is due for each service with resumable streams.
func (g *Gateway) baselineSteps(now time.Time) map[string]affinity.Step {
	steps := map[string]affinity.Step{}
	c := g.config.Load()
	if c == nil {
		return steps
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, service := range c.ResumableServices() {
		if !g.observeSoftware(service, now) {
			continue
		}
		if step := g.origins.Next(service, g.writesBaseline(service, now), g.originSync.listedAt, now); step != affinity.Keep {
			steps[service] = step
		}
	}
	return steps
}

// observeSoftware records which software versions of a service are in service. It reports whether there are any. The caller
// holds the lock.
func (g *Gateway) observeSoftware(service string, now time.Time) bool {
	versions := softwareVersions(g.endpoints.Usable(service))
	if len(versions) == 0 {
		return false
	}
	g.origins.Observe(service, versions, now.Add(-g.streams[EndpointStream].verifiedAge(now)), now)
	return true
}

// writesBaseline reports whether this VM is the one to write the baseline of a service now. The caller holds the lock.
func (g *Gateway) writesBaseline(service string, now time.Time) bool {
	undone := g.originSync.baselineUndoneSince
	if !g.origins.NeedsWrite(service, now) {
		delete(undone, service)
		return false
	}
	undone[service] = startedAt(undone[service], now)
	return g.takesOver(undone[service], now)
}

// softwareVersions returns the software versions of endpoints, that of most endpoints first.
func softwareVersions(endpoints []*fleet.Endpoint) []string {
	counts := map[string]int{}
	for _, e := range endpoints {
		counts[e.Software]++
	}
	return slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
}

// writeBaseline writes the baseline of a service if the stream ends where it was read. It returns the new end.
func (g *Gateway) writeBaseline(service string, end logpos.Position) logpos.Position {
	g.mu.Lock()
	versions := softwareVersions(g.endpoints.Usable(service))
	lossless := g.settings.FirstStart && !g.storeRestored
	b, write := g.origins.Proposal(service, versions, lossless, g.now())
	g.mu.Unlock()
	if !write {
		return end
	}
	b.Era = end.Era
	value, err := json.Marshal(b)
	if err != nil {
		// The type has no field that JSON cannot encode.
		panic(err)
	}
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	at, err := g.platform.Store.AppendAt(ctx, StreamOriginStream, baselineKeyPrefix+service, value, end.Offset)
	if err == nil && at.Era != end.Era {
		err = errStoreRestored
	}
	if err != nil {
		g.log.info(partStore).Str("service", service).Err(err).Msg("baseline not written")
		return end
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setBaseline(service, b)
	return at.Next()
}
