package gateway

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/logpos"
)

const (
	// minPeersToSharePlacements is the number of peers from which VMs send each other the placements of prompt parts,
	// since engines accept fewer watches than there are VMs.
	minPeersToSharePlacements = 10
	// neighboursPerDigest is the number of other VMs that a digest names.
	neighboursPerDigest = 16
	// finalSequence is the sequence number of a process's last digest.
	finalSequence = 1 << 62
	// forgetPeerAfter is the age of the last digest at which a silent VM is removed together with its address.
	forgetPeerAfter = 10 * time.Minute
	// unknownStoreAge is the age reported for the store's last answer if the store never answered.
	unknownStoreAge = time.Hour
	// allLimitsInterval is the number of digests of which one, from a VM that is not a hub, contains all limits in force,
	// so that peers correct a VM that missed the end of one.
	allLimitsInterval = 32
	// allLimitsRepeats is the number of successive digests with all limits. They go to different hubs, so that the loss of
	// one datagram does not delay the correction by a whole interval.
	allLimitsRepeats = 2
	// departureReportPeriod is the time for which a departure is sent to peers.
	departureReportPeriod = 8 * time.Second
	// announcementReportPeriod is the time for which the announcement of a version is sent to peers.
	announcementReportPeriod = 60 * time.Second
)

// expireState removes expired state and updates what depends on elapsed time. The caller holds the lock.
func (g *Gateway) expireState(now time.Time) {
	g.countFormerVMs(now)
	g.limiter.UpdateSilence(now)
	g.endpoints.ListComplete(now.Add(-g.streams[EndpointStream].verifiedAge(now)))
	for _, id := range g.endpoints.Expire(now) {
		g.announceDeparture(id, "not registered again after the store's return", logpos.Position{Era: g.storeEra})
	}
	g.addUnansweredCrashes(now)
	g.origins.Expire(now)
	g.refusals.TakeOver(func(undoneSince time.Time) bool { return g.takesOver(undoneSince, now) })
	g.shareRetries(now)
	g.updateLimits(now)
	g.updateBrittle(now)
	g.updateConnectionShares(now)
	g.placer.ForgetEndpoints(func(id string) bool { return g.endpoints.Get(id) != nil })
	loading := g.enginesOutOfService()
	for vm, p := range g.peers {
		silence := now.Sub(p.lastSeen)
		if silence > forgetPeerAfter {
			delete(g.peers, vm)
			delete(g.vms, vm)
			g.forgetWork(vm)
			continue
		}
		if silence > peerStateExpiry {
			g.placer.SetPeerLoads(vm, nil)
			continue
		}
		loading = append(loading, p.loading...)
	}
	g.placer.SetLoading(loading)
	g.activity.Record(g.started, now)
	g.logSharing(now)
	g.logCurrency(now)
	g.showWork(now)
	for s, st := range g.streams {
		st.dropTombstones()
		g.metrics.set(s.String()+"_verified_age_ms", float64(st.verifiedAge(now).Milliseconds()))
	}
}

// digest returns the digest of this VM with the given sequence number. The caller holds the lock.
func (g *Gateway) digest(sequence uint64, now time.Time) *gossip.Digest {
	operator, endpoint := g.streams[OperatorStream], g.streams[EndpointStream]
	d := &gossip.Digest{
		Vm:             g.settings.VM,
		Boot:           g.boot,
		Sequence:       sequence,
		Address:        g.settings.Address,
		DataCentre:     g.settings.DataCentre,
		OperatorOffset: operator.next.Offset,
		EndpointOffset: endpoint.next.Offset,
		StoreAgeMs:     g.storeAge(now).Milliseconds(),
		UptimeMs:       now.Sub(g.started).Milliseconds(),
		StartedUnixMs:  g.startedUnixMs,
		Leaving:        g.leaving.Load(),
		Loading:        g.enginesOutOfService(),
		LinkMbps:       float32(g.settings.LinkMbps),
		// Peers that do not read the records themselves request them when this exceeds their own offset.
		EndpointChanged:       endpoint.changedEnd.Offset,
		OperatorVerifiedAgeMs: operator.proofAge(now),
		EndpointVerifiedAgeMs: endpoint.proofAge(now),
	}
	g.setEras(d)
	g.setLease(d)
	if last := g.lease.LastOrder(); !last.IsZero() {
		d.LastOrderAgeMs = proto.Int64(now.Sub(last).Milliseconds())
	}
	g.addUsage(d, now)
	g.addLoads(d)
	d.Departures = g.departureReports(now)
	d.Accusations = g.crashReports(now)
	d.EndedStarts = g.endedReports(now)
	d.SavedRefusals = g.savedRefusalReports(now)
	d.CrashSum, d.CrashVerdicts = g.crashes.Checksum(), g.crashes.RefusedChecksum()
	g.addSentParts(d)
	g.addWorkReport(d, now)
	d.Versions = g.versionReports()
	d.RolloutInstructions = g.rolloutInstructions(now)
	d.RolloutEvidence = g.rolloutEvidence(now)
	reachesAll := !g.isLargeSystem() || g.isHub(now)
	d.Limits = limitsToProto(g.limits.Reports(reachesAll || sequence%allLimitsInterval < allLimitsRepeats, now))
	g.addBrittle(d, reachesAll || sequence%allLimitsInterval < allLimitsRepeats, now)
	d.TakesRequests = g.takesRequests(now)
	if reachesAll || g.reportsAnnouncements(now) {
		// The digests of hubs reach every VM, so the others need not repeat these.
		d.Announcements = g.announcementReports(now)
	}
	if !g.isLargeSystem() {
		d.Neighbours = g.nextNeighbours(sequence, now)
	}
	return d
}

// addUsage adds the use of the workspaces' rates to a digest. The caller holds the lock.
func (g *Gateway) addUsage(d *gossip.Digest, now time.Time) {
	usage, all := g.limiter.Usage(d.GetSequence(), now)
	d.AllUsage = all
	for _, u := range usage {
		d.Usage = append(d.Usage, &gossip.Usage{Workspace: u.Workspace, Admitted: u.Admitted, Level: u.Level})
	}
}

// addLoads adds the load of this VM's requests on endpoints to a digest. The caller holds the lock.
func (g *Gateway) addLoads(d *gossip.Digest) {
	for id, l := range sorted(g.placer.OwnLoads()) {
		d.Loads = append(d.Loads, &gossip.Load{
			Endpoint: id, Running: int32(l.Running), Unread: int32(l.PendingPrefill), Memory: int32(l.Memory),
		})
	}
}

// addSentParts adds the prompt parts that this VM sent to endpoints since its last digest, if the system is large enough for
// peers to need them. The caller holds the lock.
func (g *Gateway) addSentParts(d *gossip.Digest) {
	placed := g.placer.TakeSentParts()
	if len(g.peers) < minPeersToSharePlacements {
		return
	}
	for _, x := range placed {
		d.Placed = append(d.Placed, &gossip.Placed{Source: x.Source, Parts: x.Parts, Tokens: x.Tokens})
	}
}

// departureReports returns the endpoints that left recently and the registered ones that announced in an answer that
// they leave. The latter are repeated for as long as they are registered, since a VM that restarts finds this in no
// record. The caller holds the lock.
func (g *Gateway) departureReports(now time.Time) []*gossip.Departure {
	var out []*gossip.Departure
	for _, dep := range g.endpoints.Departures(now.Add(-departureReportPeriod)) {
		if !dep.Draining {
			out = append(out, departureToProto(dep))
		}
	}
	for _, dep := range g.endpoints.Draining() {
		out = append(out, departureToProto(dep))
	}
	return out
}

// departureToProto converts a departure to the peer protocol.
func departureToProto(dep fleet.Departure) *gossip.Departure {
	return &gossip.Departure{
		Endpoint: dep.ID, Era: dep.Position.Era, Offset: dep.Position.Offset,
		Draining: dep.Draining, Born: dep.Count.StartTimeMs, Heartbeat: dep.Count.Heartbeat,
	}
}

// departureFromProto converts a departure of the peer protocol.
func departureFromProto(dep *gossip.Departure) fleet.Departure {
	return fleet.Departure{
		ID: dep.GetEndpoint(), Position: logpos.Position{Era: dep.GetEra(), Offset: dep.GetOffset()},
		Draining: dep.GetDraining(),
		Count:    fleet.HeartbeatCount{StartTimeMs: dep.GetBorn(), Heartbeat: dep.GetHeartbeat()},
	}
}

// nextNeighbours returns live peers, chosen in turn by the digest's sequence number. The caller holds the lock.
func (g *Gateway) nextNeighbours(sequence uint64, now time.Time) []*gossip.Neighbour {
	vms := slices.Sorted(slices.Values(g.livePeers(now)))
	count := min(len(vms), neighboursPerDigest)
	out := make([]*gossip.Neighbour, 0, count)
	for i := range count {
		index := (sequence*uint64(count) + uint64(i)) % uint64(len(vms))
		p := g.peers[vms[index]]
		out = append(out, &gossip.Neighbour{Vm: p.vm, Address: p.address})
	}
	return out
}

// announcementReports returns the versions whose announcement time still matters for placement. Estimated times are left
// out: peers that have the actual time would take their engines out of use because of them. The caller holds the lock.
func (g *Gateway) announcementReports(now time.Time) []*gossip.Announcement {
	var out []*gossip.Announcement
	for model, known := range sorted(g.announcements) {
		for _, n := range known {
			if age := now.Sub(n.At); age < announcementReportPeriod && !n.Estimated {
				stored := g.announcementDutyOf(model).storedVersion >= n.Version
				out = append(out, &gossip.Announcement{Model: model, Version: n.Version, AgeMs: age.Milliseconds(), Stored: stored})
			}
		}
	}
	return out
}

// storeAge returns the age of the store's last answer, zero while no call has failed since, and unknownStoreAge if the
// store never answered. The caller holds the lock.
func (g *Gateway) storeAge(now time.Time) time.Duration {
	newest := g.streams[OperatorStream].answeredAt
	if at := g.streams[EndpointStream].answeredAt; at.After(newest) {
		newest = at
	}
	switch {
	case newest.IsZero():
		return unknownStoreAge
	case newest.After(g.storeFailedAt):
		// A blocking read may be in progress; nothing indicates that it will fail.
		return 0
	}
	return now.Sub(newest)
}

// versionReports returns the weight versions that are newer than those in the endpoints' own records. The caller holds
// the lock.
func (g *Gateway) versionReports() []*gossip.Version {
	var out []*gossip.Version
	for model := range sorted(g.announcements) {
		for _, e := range g.enginesServing(model) {
			if v := g.placer.KnownVersion(e, model); v > e.Versions[model] && v <= g.newestVersion(model) {
				out = append(out, &gossip.Version{Endpoint: e.ID, Born: e.StartTimeMs, Model: model, Version: v})
			}
		}
	}
	return out
}
