package gateway

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/corneldeal/corneldeal/pkg/gossip"
)

const (
	// sharePlaced is the number of peers from which VMs tell each other which prompt parts they sent where, since engines
	// take fewer watches than there are VMs.
	sharePlaced = 10
	// digestNeighbours is the number of other VMs that a digest names.
	digestNeighbours = 16
	// lastSequence is the number of a process's last digest.
	lastSequence = 1 << 62
	// dropPeerAfter is the age at which a silent VM is forgotten with its address.
	dropPeerAfter = 10 * time.Minute
	// neverAnswered stands for the age of an answer that never came.
	neverAnswered = time.Hour
	// departuresFor is the time for which a departure is sent to peers.
	departuresFor = 8 * time.Second
	// announcementsFor is the time for which peers learn when a version was announced.
	announcementsFor = 60 * time.Second
)

// expire ages what is known. The caller holds the lock.
func (g *Gateway) expire(now time.Time) {
	g.limiter.Tick(now)
	for _, id := range g.endpoints.Expire(now) {
		g.endpointLeft(id, "not back after the store's return", 0)
	}
	g.countUnanswered(now)
	g.shareRetries(now)
	g.placer.Forget(func(id string) bool { return g.endpoints.Get(id) != nil })
	loading := g.outOfService()
	for vm, p := range g.peers {
		silence := now.Sub(p.lastSeen)
		if silence > dropPeerAfter {
			delete(g.peers, vm)
			delete(g.vms, vm)
			continue
		}
		if silence > forgetAfter {
			g.placer.SetPeer(vm, nil)
			continue
		}
		loading = append(loading, p.loading...)
	}
	g.placer.SetLoading(loading)
	for _, st := range g.streams {
		st.dropTombstones()
	}
}

// digest builds the digest of this VM. The caller holds the lock.
func (g *Gateway) digest(sequence uint64, now time.Time) *gossip.Digest {
	op, ep := g.streams[OperatorStream], g.streams[EndpointStream]
	d := &gossip.Digest{
		Vm:             g.settings.VM,
		Boot:           g.boot,
		Sequence:       sequence,
		Address:        g.settings.Address,
		DataCentre:     g.settings.DataCentre,
		OperatorOffset: op.next,
		EndpointOffset: ep.next,
		StoreAgeMs:     g.storeAge(now).Milliseconds(),
		UptimeMs:       now.Sub(g.started).Milliseconds(),
		Leaving:        g.leaving.Load(),
		Loading:        g.outOfService(),
		LinkMbps:       float32(g.settings.LinkMbps),
		// Peers that do not read the records themselves ask for them when this passes what they know.
		EndpointChanged: ep.changedEnd,
	}
	if last := g.lease.LastOrder(); !last.IsZero() {
		d.LastOrderAgeMs = proto.Int64(now.Sub(last).Milliseconds())
	}
	usage, all := g.limiter.Usage(sequence, now)
	d.AllUsage = all
	for _, u := range usage {
		d.Usage = append(d.Usage, &gossip.Usage{Workspace: u.Workspace, Admitted: u.Admitted, Level: u.Level})
	}
	for id, l := range g.placer.Own() {
		d.Loads = append(d.Loads, &gossip.Load{
			Endpoint: id, Running: int32(l.Running), Unread: int32(l.Unread), Memory: int32(l.Memory),
		})
	}
	d.Departures = g.departures(now)
	d.Accusations = g.recentCrashes(now)
	d.CrashSum, d.CrashVerdicts = g.crashes.Sum(), g.crashes.Verdicts()
	if placed := g.placer.TakePlaced(); len(g.peers) >= sharePlaced {
		for _, x := range placed {
			d.Placed = append(d.Placed, &gossip.Placed{Source: x.Source, Parts: x.Parts, Tokens: x.Tokens})
		}
	}
	d.Versions = g.learnedVersions()
	if !g.large() || g.isHub(now) {
		// The digests of hubs reach every VM, so the others need not repeat these.
		d.Announcements = g.recentAnnouncements(now)
	}
	if !g.large() {
		d.Neighbours = g.someNeighbours(sequence, now)
	}
	return d
}

// departures returns the endpoints that left lately, and those that are registered but said in an answer that they
// leave. The latter are repeated for as long as they are registered, since no record tells a VM that restarts.
// The caller holds the lock.
func (g *Gateway) departures(now time.Time) []*gossip.Departure {
	var out []*gossip.Departure
	for _, dep := range g.endpoints.Departures(now.Add(-departuresFor)) {
		if !dep.Draining {
			out = append(out, &gossip.Departure{Endpoint: dep.ID, Offset: dep.Offset})
		}
	}
	for _, dep := range g.endpoints.Draining() {
		out = append(out, &gossip.Departure{Endpoint: dep.ID, Offset: dep.Offset, Draining: true, Born: dep.Born})
	}
	return out
}

// someNeighbours returns live peers, others with each digest. The caller holds the lock.
func (g *Gateway) someNeighbours(sequence uint64, now time.Time) []*gossip.Neighbour {
	vms := slices.Sorted(slices.Values(g.livePeers(now)))
	count := min(len(vms), digestNeighbours)
	out := make([]*gossip.Neighbour, 0, count)
	for i := range count {
		place := (sequence*uint64(count) + uint64(i)) % uint64(len(vms))
		p := g.peers[vms[place]]
		out = append(out, &gossip.Neighbour{Vm: p.vm, Address: p.address})
	}
	return out
}

// recentAnnouncements returns the versions whose time matters for placement. A guess is no news: peers that know the time
// would take their engines out of use for it. The caller holds the lock.
func (g *Gateway) recentAnnouncements(now time.Time) []*gossip.Announcement {
	var out []*gossip.Announcement
	for model, known := range g.announced {
		for _, n := range known {
			if age := now.Sub(n.At); age < announcementsFor && !n.Guessed {
				out = append(out, &gossip.Announcement{Model: model, Version: n.Version, AgeMs: age.Milliseconds()})
			}
		}
	}
	return out
}

// storeAge returns the age of the store's last answer, zero while no call has failed since, and large where it never
// answered. The caller holds the lock.
func (g *Gateway) storeAge(now time.Time) time.Duration {
	newest := g.streams[OperatorStream].okAt
	if at := g.streams[EndpointStream].okAt; at.After(newest) {
		newest = at
	}
	switch {
	case newest.IsZero():
		return neverAnswered
	case newest.After(g.storeFailedAt):
		// A waiting read may be under way; nothing shows that it will fail.
		return 0
	}
	return now.Sub(newest)
}

// learnedVersions returns the weight versions that are newer than the endpoints' own records tell.
func (g *Gateway) learnedVersions() []*gossip.Version {
	var out []*gossip.Version
	for model := range g.announced {
		for _, e := range g.enginesOf(model) {
			if v := g.placer.KnownVersion(e, model); v > e.Versions[model] && v <= g.newestOf(model) {
				out = append(out, &gossip.Version{Endpoint: e.ID, Born: e.Born, Model: model, Version: v})
			}
		}
	}
	return out
}
