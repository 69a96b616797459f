package gateway

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/corneldeal/corneldeal/pkg/digestage"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/share"
)

const (
	// peerSilenceLimit is the age of a peer's last digest at which the peer counts as down.
	peerSilenceLimit = 1500 * time.Millisecond
	// peerStateExpiry is the age at which a peer's reported loads and versions are no longer used.
	peerStateExpiry = 3 * time.Second
	// storeFreshness is the age of the store's last answer up to which a VM counts as in reach of it.
	storeFreshness = 1500 * time.Millisecond
)

// peerState is the last reported state of another VM.
type peerState struct {
	vm         string
	boot       uint64
	sequence   uint64
	address    string
	dataCentre string
	lastSeen   time.Time
	// workIgnoredAt is when it was last logged that learned costs of the peer were ignored.
	workIgnoredAt time.Time
	// storeAnsweredAt is when the store last answered the peer.
	storeAnsweredAt time.Time
	// operatorNext and endpointNext are the positions after the newest records of the streams that the peer holds.
	operatorNext logpos.Position
	endpointNext logpos.Position
	// endpointChanged is the position after the newest endpoint record known to the peer that changed more than a heartbeat
	// does.
	endpointChanged logpos.Position
	// configVersion and weightVersions tell which operator records the peer holds, see gossip.Digest.
	configVersion, weightVersions int64
	leaving                       bool
	// takesRequests is set if the peer recently received requests.
	takesRequests bool
	loading       []string
	// started is when the peer's process started, and startedUnixMs the time of day then by its own clock.
	started       time.Time
	startedUnixMs int64
	clock         digestage.Clock
	// leaseAt is the position of the claim under which the peer holds the order lease, or issuer.NoClaim.
	leaseAt logpos.Position
	// lastOrder is when the peer's process or a holder before it may have given its last order, or the start of the
	// process if there was none.
	lastOrder time.Time
	// crashSum is the checksum of the crashes in the peer's tally.
	crashSum uint64
	// refusalsDifferSince is when the peer began to refuse other requests for their crashes than this VM, or zero while
	// both refuse the same.
	refusalsDifferSince time.Time
}

// peerID is the name and the address of a VM. Unlike a peerState it may be used without the lock.
type peerID struct {
	vm, address string
}

// id returns the name and the address of the peer. The caller holds the lock.
func (p *peerState) id() *peerID {
	if p == nil {
		return nil
	}
	return &peerID{vm: p.vm, address: p.address}
}

// live reports whether the peer's digests arrive and it is not stopping.
func (p *peerState) live(now time.Time) bool {
	return !p.leaving && now.Sub(p.lastSeen) < peerSilenceLimit
}

// next returns the position after the newest record of a stream that the peer holds.
func (p *peerState) next(s Stream) logpos.Position {
	if s == OperatorStream {
		return p.operatorNext
	}
	return p.endpointNext
}

// isAhead reports whether a peer holds records of a stream that this VM lacks. The caller holds the lock.
func (g *Gateway) isAhead(p *peerState, s Stream) bool {
	if p.next(s).After(g.streams[s].next) {
		return true
	}
	config, weights := g.operatorVersions()
	return s == OperatorStream && (p.configVersion > config || p.weightVersions > weights)
}

// reachesStore reports whether the peer is live and the store answered it recently.
func (p *peerState) reachesStore(now time.Time) bool {
	return p.live(now) && now.Sub(p.storeAnsweredAt) < storeFreshness
}

// livePeers returns the names of the live peers. The caller holds the lock.
func (g *Gateway) livePeers(now time.Time) []string {
	out := make([]string, 0, len(g.peers))
	for vm, p := range g.peers {
		if p.live(now) {
			out = append(out, vm)
		}
	}
	return out
}

// receiveDigests applies the batches of peers and forwards those that are to be forwarded, until the socket is closed.
func (g *Gateway) receiveDigests() {
	for {
		b, size, dropped, err := g.gossipSocket.Receive()
		if dropped > 0 {
			g.metrics.counters.Add("digests_unreadable_total", int64(dropped))
		}
		if err != nil {
			return
		}
		g.recordDigestSize(size, len(b.GetDigests()))
		g.sendBatches(g.applyBatch(b, g.now()))
	}
}

// recordDigestSize records the size of a datagram with that many digests.
func (g *Gateway) recordDigestSize(bytes, digests int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.digestSize.Observe(bytes, digests)
}

// applyBatch applies a batch and returns the batches to forward.
func (g *Gateway) applyBatch(b *gossip.Batch, now time.Time) (forward []outgoingBatch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.activity.Record(g.started, now)
	direct := len(b.GetDigests()) == 1 && b.GetSpread() == gossip.Spread_SPREAD_NONE
	for _, d := range b.GetDigests() {
		if d.GetVm() == g.settings.VM {
			continue
		}
		back := g.applyDigest(d, now)
		if !g.catchUp.IsBehind() && g.isAhead(g.peers[d.GetVm()], OperatorStream) {
			g.catchUp.Behind(!g.operatorReadByOthers(now), g.randomUpTo, now)
		}
		if b.GetSpread() == gossip.Spread_SPREAD_ALL {
			g.collectedDigests[d.GetVm()] = d
		}
		if back && direct {
			g.digestsForHub[d.GetVm()] = d
		}
	}
	if b.GetSpread() != gossip.Spread_SPREAD_DATA_CENTRE {
		return nil
	}
	return []outgoingBatch{{batch: &gossip.Batch{Digests: b.GetDigests()}, recipients: g.localVMs(now)}}
}

// applyDigest applies the digest of a peer. It reports whether the peer was not live before. The caller holds the lock.
func (g *Gateway) applyDigest(d *gossip.Digest, now time.Time) (appeared bool) {
	p := g.peers[d.GetVm()]
	if p != nil && p.boot == d.GetBoot() && d.GetSequence() <= p.sequence {
		return false
	}
	appeared = p == nil || p.boot != d.GetBoot() || !p.live(now)
	if p == nil || p.boot != d.GetBoot() {
		g.log.info(partPeer).Str("peer", d.GetVm()).Str("peer_boot", fmt.Sprintf("%x", d.GetBoot())).
			Str("address", d.GetAddress()).Msg("peer discovered")
		p = &peerState{vm: d.GetVm(), boot: d.GetBoot()}
		g.peers[d.GetVm()] = p
		g.requestDigest()
	} else if now.Sub(p.lastSeen) >= peerSilenceLimit {
		g.log.info(partPeer).Str("peer", p.vm).Dur("silent_ms", now.Sub(p.lastSeen)).Msg("peer is back")
	}
	p.sequence = d.GetSequence()
	p.address = d.GetAddress()
	p.dataCentre = d.GetDataCentre()
	p.lastSeen = now
	p.storeAnsweredAt = now.Add(-time.Duration(d.GetStoreAgeMs()) * time.Millisecond)
	uptime := time.Duration(d.GetUptimeMs()) * time.Millisecond
	underway := p.clock.Observe(uptime, g.activity.MayReadQueued(now), now)
	g.applyPeerPositions(p, d, now)
	p.leaving = d.GetLeaving()
	p.takesRequests = d.GetTakesRequests()
	p.loading = d.GetLoading()
	p.started = now.Add(-uptime)
	p.startedUnixMs = d.GetStartedUnixMs()
	g.applyPeerLease(p, d, now)
	p.lastOrder = p.started
	if d.LastOrderAgeMs != nil {
		p.lastOrder = now.Add(-time.Duration(d.GetLastOrderAgeMs()) * time.Millisecond)
	}
	if ip, err := netip.ParseAddr(p.address); err == nil {
		g.addVM(p.vm, knownVM{ip: ip, dataCentre: p.dataCentre, linkMbps: float64(d.GetLinkMbps())}, now)
	}
	for _, n := range d.GetNeighbours() {
		if ip, err := netip.ParseAddr(n.GetAddress()); err == nil && g.vms[n.GetVm()] == nil {
			g.addVM(n.GetVm(), knownVM{ip: ip}, now)
		}
	}
	g.applyDigestContents(p, d, now.Add(-max(underway, 0)), now)
	g.applyPeerRollouts(p, d, now.Add(-underway))
	g.compareCrashState(p, d, appeared, now)
	g.recordLostConfig(p)
	if p.clock.Known() {
		g.applyPeerProofs(p, d, now.Add(-underway))
	}
	return appeared
}

// applyDigestContents applies the usage, loads, placements, learned costs, departures, crashes and versions of a digest
// that was sent at a time. The caller holds the lock.
func (g *Gateway) applyDigestContents(p *peerState, d *gossip.Digest, sent, now time.Time) {
	usage := make([]share.Usage, 0, len(d.GetUsage()))
	for _, u := range d.GetUsage() {
		usage = append(usage, share.Usage{Workspace: u.GetWorkspace(), Admitted: u.GetAdmitted(), Level: u.GetLevel()})
	}
	g.limiter.ApplyReport(share.Report{VM: p.vm, Boot: p.boot, Usage: usage, All: d.GetAllUsage()}, now)
	if p.leaving && d.GetSequence() == finalSequence {
		g.limiter.PeerLeft(p.vm)
	}
	loads := make(map[string]place.Load, len(d.GetLoads()))
	for _, l := range d.GetLoads() {
		loads[l.GetEndpoint()] = place.Load{
			Running: int(l.GetRunning()), PendingPrefill: int(l.GetUnread()), Memory: int(l.GetMemory()),
		}
	}
	g.placer.SetPeerLoadsAt(p.vm, loads, sent)
	g.applyPeerWork(p, d, now)
	for _, x := range d.GetPlaced() {
		g.placer.RecordPeerSentParts(place.SentParts{Source: x.GetSource(), Parts: x.GetParts(), Tokens: x.GetTokens()}, now)
	}
	g.applyPeerDepartures(p, d.GetDepartures(), now)
	g.addPeerCrashes(d.GetAccusations(), p.vm, now)
	g.applyPeerRefusals(d)
	g.applyPeerEnded(d, now)
	g.addPeerLimits(d.GetLimits(), p.vm, now)
	g.addPeerBrittle(d, p.vm, now)
	for _, n := range d.GetAnnouncements() {
		at := now.Add(-time.Duration(n.GetAgeMs()) * time.Millisecond)
		g.addAnnouncement(n.GetModel(), place.Announcement{Version: n.GetVersion(), At: at})
		if n.GetStored() && g.sharesEra(d) {
			g.recordStored(n.GetModel(), n.GetVersion())
		}
	}
	for _, v := range d.GetVersions() {
		if e := g.endpoints.Get(v.GetEndpoint()); e != nil && e.StartTimeMs == v.GetBorn() {
			g.placer.RecordVersion(e, v.GetModel(), v.GetVersion())
		}
	}
}

// applyPeerPositions applies what a digest says of the records that the peer holds. The caller holds the lock.
func (g *Gateway) applyPeerPositions(p *peerState, d *gossip.Digest, now time.Time) {
	era := d.GetStoreEra()
	p.operatorNext = logpos.Position{Era: era - d.GetOperatorErasBehind(), Offset: d.GetOperatorOffset()}
	p.endpointNext = logpos.Position{Era: era - d.GetEndpointErasBehind(), Offset: d.GetEndpointOffset()}
	p.endpointChanged = logpos.Position{Era: era - d.GetEndpointChangedErasBehind(), Offset: d.GetEndpointChanged()}
	p.configVersion, p.weightVersions = d.GetConfigVersion(), d.GetWeightVersions()
	if d.StoreEra != nil {
		g.applyEra(era, "peer "+p.vm, now)
	}
}

// applyPeerLease applies what a digest says of the order lease. A claim that is newer than the known one replaces it, so
// that VMs that do not claim themselves know the holder without a call to the store. The caller holds the lock.
func (g *Gateway) applyPeerLease(p *peerState, d *gossip.Digest, now time.Time) {
	p.leaseAt = issuer.NoClaim
	if d.LeaseOffset == nil {
		return
	}
	p.leaseAt = logpos.Position{Era: d.GetLeaseEra(), Offset: d.GetLeaseOffset()}
	if g.inPresentEra(p.leaseAt) && (g.orderClaim.At == issuer.NoClaim || p.leaseAt.After(g.orderClaim.At)) {
		g.setOrderClaim(issuer.Claim{Holder: p.vm, Boot: p.boot, At: p.leaseAt}, now)
	}
}

// applyPeerDepartures applies the departures that a peer reports. The caller holds the lock.
func (g *Gateway) applyPeerDepartures(p *peerState, departures []*gossip.Departure, now time.Time) {
	for _, reported := range departures {
		dep := departureFromProto(reported)
		if dep.Draining {
			if g.endpoints.MarkDraining(dep.ID, dep.Count.StartTimeMs, now) {
				g.announceDeparture(dep.ID, "draining, reported by peer "+p.vm, dep.Position)
			}
			continue
		}
		if g.endpoints.ApplyDeparture(dep, now) {
			g.announceDeparture(dep.ID, "peer "+p.vm, dep.Position)
		}
	}
}
