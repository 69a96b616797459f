package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/share"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// silentAfter is the age of a peer's last digest at which the peer counts as down.
	silentAfter = 1500 * time.Millisecond
	// forgetAfter is the age at which what a peer said of its load and versions no longer counts.
	forgetAfter = 3 * time.Second
	// storeFresh is the age of the store's last answer up to which a VM counts as in reach of it.
	storeFresh = 1500 * time.Millisecond
)

// peerState is what this VM knows of another.
type peerState struct {
	vm         string
	boot       uint64
	sequence   uint64
	address    string
	dataCentre string
	lastSeen   time.Time
	// storeAt is when the store last answered the peer.
	storeAt        time.Time
	operatorOffset int64
	endpointOffset int64
	// endpointChanged is the offset after the newest record that told more than a heartbeat, as far as the peer knows.
	endpointChanged int64
	leaving         bool
	loading         []string
	// started is when the peer's process started.
	started time.Time
	// lastOrder is when the peer's process or a holder before it may have given its last order, or the start of the
	// process where there was none.
	lastOrder time.Time
	// crashSum is the sum over the crashes that the peer remembers.
	crashSum uint64
	// verdictsDiffer is since when the peer refuses other requests for their crashes than this VM. Zero while it does not.
	verdictsDiffer time.Time
}

func (p *peerState) live(now time.Time) bool {
	return !p.leaving && now.Sub(p.lastSeen) < silentAfter
}

// offset returns up to where the peer knows a stream.
func (p *peerState) offset(s Stream) int64 {
	if s == OperatorStream {
		return p.operatorOffset
	}
	return p.endpointOffset
}

func (p *peerState) reachesStore(now time.Time) bool {
	return p.live(now) && now.Sub(p.storeAt) < storeFresh
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

// receiveDigests applies the batches of peers and sends on what they ask for.
func (g *Gateway) receiveDigests() {
	for {
		b, dropped, err := g.socket.Receive()
		if dropped > 0 {
			g.metrics.counters.Add("digests_unreadable_total", int64(dropped))
		}
		if err != nil {
			return
		}
		g.send(g.applyBatch(b, steady.Now()))
	}
}

// applyBatch applies a batch and returns what is to be sent on.
func (g *Gateway) applyBatch(b *gossip.Batch, now time.Time) []outgoing {
	g.mu.Lock()
	defer g.mu.Unlock()
	direct := len(b.GetDigests()) == 1 && b.GetSpread() == gossip.Spread_SPREAD_NONE
	for _, d := range b.GetDigests() {
		if d.GetVm() == g.settings.VM {
			continue
		}
		back := g.applyDigest(d, now)
		if b.GetSpread() == gossip.Spread_SPREAD_ALL {
			g.collected[d.GetVm()] = d
		}
		if back && direct {
			g.introduced[d.GetVm()] = d
		}
	}
	if b.GetSpread() != gossip.Spread_SPREAD_DATA_CENTRE {
		return nil
	}
	return []outgoing{{batch: &gossip.Batch{Digests: b.GetDigests()}, to: g.nearVMs(now)}}
}

// applyDigest applies the digest of a peer. It reports whether the peer was not live before. The caller holds the lock.
func (g *Gateway) applyDigest(d *gossip.Digest, now time.Time) (back bool) {
	p := g.peers[d.GetVm()]
	if p != nil && p.boot == d.GetBoot() && d.GetSequence() <= p.sequence {
		return false
	}
	back = p == nil || p.boot != d.GetBoot() || !p.live(now)
	if p == nil || p.boot != d.GetBoot() {
		g.log.line(partPeer).Str("peer", d.GetVm()).Str("peer_boot", fmt.Sprintf("%x", d.GetBoot())).
			Str("address", d.GetAddress()).Msg("peer discovered")
		p = &peerState{vm: d.GetVm(), boot: d.GetBoot()}
		g.peers[d.GetVm()] = p
		g.digestSoon()
	} else if now.Sub(p.lastSeen) >= silentAfter {
		g.log.line(partPeer).Str("peer", p.vm).Dur("silent_ms", now.Sub(p.lastSeen)).Msg("peer is back")
	}
	p.sequence = d.GetSequence()
	p.address = d.GetAddress()
	p.dataCentre = d.GetDataCentre()
	p.lastSeen = now
	p.storeAt = now.Add(-time.Duration(d.GetStoreAgeMs()) * time.Millisecond)
	p.operatorOffset = d.GetOperatorOffset()
	p.endpointOffset = d.GetEndpointOffset()
	p.endpointChanged = d.GetEndpointChanged()
	p.leaving = d.GetLeaving()
	p.loading = d.GetLoading()
	p.started = now.Add(-time.Duration(d.GetUptimeMs()) * time.Millisecond)
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
	g.applyToTables(p, d, now)
	g.compareCrashes(p, d, back, now)
	g.checkLag(p, now)
	return back
}

// applyToTables hands the parts of a digest to the tables. The caller holds the lock.
func (g *Gateway) applyToTables(p *peerState, d *gossip.Digest, now time.Time) {
	usage := make([]share.Usage, 0, len(d.GetUsage()))
	for _, u := range d.GetUsage() {
		usage = append(usage, share.Usage{Workspace: u.GetWorkspace(), Admitted: u.GetAdmitted(), Level: u.GetLevel()})
	}
	g.limiter.Report(share.Report{VM: p.vm, Boot: p.boot, Usage: usage, All: d.GetAllUsage()}, now)
	if p.leaving && d.GetSequence() == lastSequence {
		g.limiter.Left(p.vm)
	}
	loads := make(map[string]place.Load, len(d.GetLoads()))
	for _, l := range d.GetLoads() {
		loads[l.GetEndpoint()] = place.Load{
			Running: int(l.GetRunning()), Unread: int(l.GetUnread()), Memory: int(l.GetMemory()),
		}
	}
	g.placer.SetPeer(p.vm, loads)
	for _, x := range d.GetPlaced() {
		g.placer.PeerPlaced(place.Placed{Source: x.GetSource(), Parts: x.GetParts(), Tokens: x.GetTokens()}, now)
	}
	for _, dep := range d.GetDepartures() {
		if dep.GetDraining() {
			if g.endpoints.Drain(dep.GetEndpoint(), dep.GetBorn(), now) {
				g.endpointLeft(dep.GetEndpoint(), "said so to peer "+p.vm, dep.GetOffset())
			}
			continue
		}
		if g.endpoints.Leave(dep.GetEndpoint(), dep.GetOffset(), now) {
			g.endpointLeft(dep.GetEndpoint(), "peer "+p.vm, dep.GetOffset())
		}
	}
	g.countCrashes(d.GetAccusations(), p.vm, now)
	for _, n := range d.GetAnnouncements() {
		at := now.Add(-time.Duration(n.GetAgeMs()) * time.Millisecond)
		g.noteAnnouncement(n.GetModel(), place.Announcement{Version: n.GetVersion(), At: at})
	}
	for _, v := range d.GetVersions() {
		if e := g.endpoints.Get(v.GetEndpoint()); e != nil && e.Born == v.GetBorn() {
			g.placer.Version(e, v.GetModel(), v.GetVersion())
		}
	}
}

// checkLag asks a peer for operator's records that peers have known for a while and this VM has not. The caller holds
// the lock.
func (g *Gateway) checkLag(p *peerState, now time.Time) {
	if !g.lagging(p, now) {
		return
	}
	if ahead := g.relayFor(OperatorStream, now); ahead != nil {
		p = ahead
	}
	go g.fetchFrom(p.vm, p.address)
}

// lagging reports whether a peer is to be asked now: it is ahead, peers have been for relayLag, and none was asked within
// it. All peers know a new record at about the same time, so asking each of them would fill the links of a large system.
// The caller holds the lock.
func (g *Gateway) lagging(p *peerState, now time.Time) bool {
	if p.operatorOffset <= g.streams[OperatorStream].next {
		return false
	}
	if g.behindSince.IsZero() {
		g.behindSince = g.lagStart(now)
		return false
	}
	if now.Sub(g.behindSince) < relayLag {
		return false
	}
	g.behindSince = g.lagStart(now)
	return true
}

// lagStart returns when the wait for relayLag begins. In a large system it is drawn, so that peers that were asked first can
// answer the others. The caller holds the lock.
func (g *Gateway) lagStart(now time.Time) time.Time {
	if !g.large() {
		return now
	}
	return now.Add(rand.N(relayLag))
}
