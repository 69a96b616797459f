package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/share"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// digestPause is the pause between two digests to a peer in a small system.
	digestPause = 250 * time.Millisecond
	// digestPausePerPeer stretches the pause so that a large system's digests stay within the bytes for control.
	digestPausePerPeer = 20 * time.Millisecond
	// kickPause is the least time between two digests.
	kickPause = 25 * time.Millisecond
	// silentAfter is the age of a peer's last digest at which the peer counts as down.
	silentAfter = 1500 * time.Millisecond
	// forgetAfter is the age at which what a peer said of its load and versions no longer counts.
	forgetAfter = 3 * time.Second
	// dropAfter is the age at which digests to a silent address become rare.
	dropAfter = 30 * time.Second
	// rareDigests is the share of digests that a silent address still gets.
	rareDigests = 40
	// storeFresh is the age of the store's last answer up to which a VM counts as in reach of it.
	storeFresh = 1500 * time.Millisecond
	// departuresFor is the time for which a departure is told to peers.
	departuresFor = 8 * time.Second
	// crashesFor is the time for which a crash is told to peers.
	crashesFor = 3 * time.Second
	// namingsFor is the time for which peers are told when a version was named.
	namingsFor = 60 * time.Second
	// announcePause is the pause between two tries to register this VM.
	announcePause = time.Second
	// relayLag is the time for which peers may know more than this VM before it asks one.
	relayLag = 300 * time.Millisecond
)

// peerState is what this VM knows of another.
type peerState struct {
	vm         string
	boot       uint64
	sequence   uint64
	address    string
	dataCentre string
	heard      time.Time
	// storeAt is when the store last answered the peer.
	storeAt        time.Time
	operatorOffset int64
	endpointOffset int64
	// aheadSince is when the peer first told of an operator's record that this VM lacks.
	aheadSince time.Time
	leaving    bool
	loading    []string
	// started is when the peer's process started.
	started time.Time
	// lastOrder is when the peer's process or a holder before it may have given its last order, or the start of the
	// process where there was none.
	lastOrder time.Time
}

func (p *peerState) live(now time.Time) bool {
	return !p.leaving && now.Sub(p.heard) < silentAfter
}

func (p *peerState) able(now time.Time) bool {
	return p.live(now) && now.Sub(p.storeAt) < storeFresh
}

// vmRecord is the registration of a gateway in the store.
type vmRecord struct {
	Address string `json:"address"`
}

// announceVM registers this VM and learns of the others. Later ones make themselves known by their digests.
func (g *Gateway) announceVM() {
	g.addSeeds()
	for !g.tryAnnounce() {
		if !g.sleep(jitter(announcePause)) {
			return
		}
	}
}

func (g *Gateway) addSeeds() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, seed := range g.settings.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil || addr.Addr().String() == g.settings.Address {
			continue
		}
		ip := addr.Addr().String()
		g.contacts["seed "+ip] = ip
	}
	g.wake()
}

func (g *Gateway) tryAnnounce() bool {
	value, err := json.Marshal(vmRecord{Address: g.settings.Address})
	if err != nil {
		// The type has no field that JSON cannot hold.
		panic(err)
	}
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	if _, err := g.platform.Store.Append(ctx, VMStream, g.settings.VM, value, -1); err != nil {
		g.book.warn(partPeer).Err(err).Msg("registration failed")
		return false
	}
	records, _, err := g.platform.Store.Newest(ctx, VMStream)
	if err != nil {
		g.book.warn(partPeer).Err(err).Msg("list of gateways not read")
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range records {
		if model, found := strings.CutPrefix(r.Key, namingPrefix); found {
			g.recallNamings(model, r)
			continue
		}
		var vm vmRecord
		if err := json.Unmarshal(r.Value, &vm); err != nil {
			g.book.warn(partPeer).Str("key", r.Key).Err(err).Msg("registration is unreadable")
			continue
		}
		g.addContact(r.Key, vm.Address)
	}
	g.wake()
	return true
}

// addContact remembers where a VM is. The caller holds the lock.
func (g *Gateway) addContact(vm, address string) {
	if vm == g.settings.VM || address == g.settings.Address || address == "" {
		return
	}
	delete(g.contacts, "seed "+address)
	g.contacts[vm] = address
}

// sendDigests tells the peers what this VM knows, regularly and when something changed.
func (g *Gateway) sendDigests() {
	var sequence uint64
	for {
		g.mu.Lock()
		pause := max(digestPause, time.Duration(len(g.contacts))*digestPausePerPeer)
		g.mu.Unlock()
		if !g.sleep(kickPause) {
			return
		}
		select {
		case <-g.ctx.Done():
			return
		case <-g.kick:
		case <-time.After(pause - kickPause):
		}
		sequence++
		g.sendDigest(sequence)
	}
}

func (g *Gateway) sendDigest(sequence uint64) {
	now := steady.Now()
	g.mu.Lock()
	g.tick(now)
	digest := g.digest(sequence, now)
	to := g.recipients(sequence, now)
	g.mu.Unlock()
	datagram, err := gossip.Encode(digest)
	if err != nil || len(datagram) > gossip.MaxDigestBytes {
		g.book.warn(partPeer).Int("bytes", len(datagram)).Err(err).Msg("digest not sent")
		return
	}
	for _, address := range to {
		if err := g.socket.Send(address, datagram); err != nil {
			g.meters.count("digest_send_errors_total")
		}
	}
	g.meters.counters.Add("digest_bytes_total", int64(len(datagram)*len(to)))
}

// sendLeaving tells the peers that this process ends.
func (g *Gateway) sendLeaving() {
	now := steady.Now()
	g.mu.Lock()
	digest := g.digest(1<<62, now)
	to := g.recipients(0, now)
	g.mu.Unlock()
	digest.Leaving = true
	datagram, err := gossip.Encode(digest)
	if err != nil {
		g.book.warn(partPeer).Err(err).Msg("digest not sent")
		return
	}
	for _, address := range to {
		if err := g.socket.Send(address, datagram); err != nil {
			g.meters.count("digest_send_errors_total")
		}
	}
}

// recipients returns the addresses for this digest. Addresses that were silent for long get few. The caller holds
// the lock.
func (g *Gateway) recipients(sequence uint64, now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for vm, ip := range g.contacts {
		p := g.peers[vm]
		if p != nil && now.Sub(p.heard) > dropAfter && sequence%rareDigests != 0 {
			continue
		}
		addr, err := netip.ParseAddr(ip)
		if err != nil {
			delete(g.contacts, vm)
			continue
		}
		out = append(out, netip.AddrPortFrom(addr, uint16(g.settings.PeerPort)))
	}
	return out
}

// tick ages what is known. The caller holds the lock.
func (g *Gateway) tick(now time.Time) {
	g.limiter.Tick(now)
	for _, id := range g.endpoints.Expire(now) {
		g.endpointLeft(id, "not back after the store's return", 0)
	}
	g.placer.Forget(func(id string) bool { return g.endpoints.Get(id) != nil })
	loading := slices.Clone(g.loading)
	for vm, p := range g.peers {
		if now.Sub(p.heard) > forgetAfter {
			g.placer.SetPeer(vm, nil)
			continue
		}
		loading = append(loading, p.loading...)
	}
	g.placer.SetLoading(loading)
}

// digest builds the word of this VM. The caller holds the lock.
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
		Loading:        g.loading,
	}
	if last := g.right.LastOrder(); !last.IsZero() {
		d.LastOrderAgeMs = proto.Int64(now.Sub(last).Milliseconds())
	}
	for _, u := range g.limiter.Usage(now) {
		d.Usage = append(d.Usage, &gossip.Usage{Workspace: u.Workspace, Admitted: u.Admitted, Level: u.Level})
	}
	for id, l := range g.placer.Own() {
		d.Loads = append(d.Loads, &gossip.Load{
			Endpoint: id, Running: int32(l.Running), Unread: int32(l.Unread), Memory: int32(l.Memory),
		})
	}
	for _, dep := range g.endpoints.Departures(now.Add(-departuresFor)) {
		d.Departures = append(d.Departures, &gossip.Departure{Endpoint: dep.ID, Offset: dep.Offset})
	}
	for _, c := range g.crashes.Recent(now.Add(-crashesFor)) {
		d.Accusations = append(d.Accusations, &gossip.Accusation{Fingerprint: c.Fingerprint, Crashed: c.Endpoint})
	}
	d.Versions = g.learnedVersions()
	d.Namings = g.recentNamings(now)
	for _, vm := range slices.Sorted(maps.Keys(g.peers)) {
		if p := g.peers[vm]; p.live(now) {
			d.Neighbours = append(d.Neighbours, &gossip.Neighbour{Vm: vm, Address: p.address})
		}
	}
	return d
}

// recentNamings returns the versions whose time matters for placement. The caller holds the lock.
func (g *Gateway) recentNamings(now time.Time) []*gossip.Naming {
	var out []*gossip.Naming
	for model, known := range g.named {
		for _, n := range known {
			if age := now.Sub(n.At); age < namingsFor {
				out = append(out, &gossip.Naming{Model: model, Version: n.Version, AgeMs: age.Milliseconds()})
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
		return time.Hour
	case newest.After(g.storeFailedAt):
		// A waiting read may be under way; nothing shows that it will fail.
		return 0
	}
	return now.Sub(newest)
}

// learnedVersions returns the weight versions that are newer than the endpoints' own records tell.
func (g *Gateway) learnedVersions() []*gossip.Version {
	var out []*gossip.Version
	for model := range g.named {
		for _, e := range g.enginesOf(model) {
			if v := g.placer.KnownVersion(e, model); v > e.Versions[model] && v <= g.newestOf(model) {
				out = append(out, &gossip.Version{Endpoint: e.ID, Born: e.Born, Model: model, Version: v})
			}
		}
	}
	return out
}

// receiveDigests takes the words of peers.
func (g *Gateway) receiveDigests() {
	for {
		d, dropped, err := g.socket.Receive()
		if dropped > 0 {
			g.meters.counters.Add("digests_unreadable_total", int64(dropped))
		}
		if err != nil {
			return
		}
		if d.GetVm() != g.settings.VM {
			g.mu.Lock()
			g.hear(d, steady.Now())
			g.mu.Unlock()
		}
	}
}

// hear takes the word of a peer. The caller holds the lock.
func (g *Gateway) hear(d *gossip.Digest, now time.Time) {
	p := g.peers[d.GetVm()]
	if p != nil && p.boot == d.GetBoot() && d.GetSequence() <= p.sequence {
		return
	}
	if p == nil || p.boot != d.GetBoot() {
		g.book.line(partPeer).Str("peer", d.GetVm()).Str("peer_boot", fmt.Sprintf("%x", d.GetBoot())).
			Str("address", d.GetAddress()).Msg("peer heard")
		p = &peerState{vm: d.GetVm(), boot: d.GetBoot()}
		g.peers[d.GetVm()] = p
		g.wake()
	} else if now.Sub(p.heard) >= silentAfter {
		g.book.line(partPeer).Str("peer", p.vm).Dur("silent_ms", now.Sub(p.heard)).Msg("peer is back")
	}
	p.sequence = d.GetSequence()
	p.address = d.GetAddress()
	p.dataCentre = d.GetDataCentre()
	p.heard = now
	p.storeAt = now.Add(-time.Duration(d.GetStoreAgeMs()) * time.Millisecond)
	p.operatorOffset = d.GetOperatorOffset()
	p.endpointOffset = d.GetEndpointOffset()
	p.leaving = d.GetLeaving()
	p.loading = d.GetLoading()
	p.started = now.Add(-time.Duration(d.GetUptimeMs()) * time.Millisecond)
	p.lastOrder = p.started
	if d.LastOrderAgeMs != nil {
		p.lastOrder = now.Add(-time.Duration(d.GetLastOrderAgeMs()) * time.Millisecond)
	}
	g.addContact(p.vm, p.address)
	for _, n := range d.GetNeighbours() {
		if g.contacts[n.GetVm()] == "" {
			g.addContact(n.GetVm(), n.GetAddress())
		}
	}
	g.hearTables(p, d, now)
	g.checkLag(p, now)
}

// hearTables hands the parts of a digest to the tables. The caller holds the lock.
func (g *Gateway) hearTables(p *peerState, d *gossip.Digest, now time.Time) {
	usage := make([]share.Usage, 0, len(d.GetUsage()))
	for _, u := range d.GetUsage() {
		usage = append(usage, share.Usage{Workspace: u.GetWorkspace(), Admitted: u.GetAdmitted(), Level: u.GetLevel()})
	}
	g.limiter.Heard(p.vm, p.boot, usage, now)
	if p.leaving && d.GetSequence() == 1<<62 {
		g.limiter.Left(p.vm)
	}
	loads := make(map[string]place.Load, len(d.GetLoads()))
	for _, l := range d.GetLoads() {
		loads[l.GetEndpoint()] = place.Load{
			Running: int(l.GetRunning()), Unread: int(l.GetUnread()), Memory: int(l.GetMemory()),
		}
	}
	g.placer.SetPeer(p.vm, loads)
	for _, dep := range d.GetDepartures() {
		if g.endpoints.Leave(dep.GetEndpoint(), dep.GetOffset(), now) {
			g.endpointLeft(dep.GetEndpoint(), "peer "+p.vm, dep.GetOffset())
		}
	}
	for _, a := range d.GetAccusations() {
		g.crashes.Note(crashguard.Crash{Fingerprint: a.GetFingerprint(), Endpoint: a.GetCrashed()}, now)
	}
	for _, n := range d.GetNamings() {
		at := now.Add(-time.Duration(n.GetAgeMs()) * time.Millisecond)
		g.noteNaming(n.GetModel(), place.Naming{Version: n.GetVersion(), At: at})
	}
	for _, v := range d.GetVersions() {
		if e := g.endpoints.Get(v.GetEndpoint()); e != nil && e.Born == v.GetBorn() {
			g.placer.Version(e, v.GetModel(), v.GetVersion())
		}
	}
}

// checkLag asks a peer for operator's records that it has known for a while and this VM has not. The caller holds
// the lock.
func (g *Gateway) checkLag(p *peerState, now time.Time) {
	if p.operatorOffset <= g.streams[OperatorStream].next {
		p.aheadSince = time.Time{}
		return
	}
	if p.aheadSince.IsZero() {
		p.aheadSince = now
		return
	}
	if now.Sub(p.aheadSince) < relayLag {
		return
	}
	p.aheadSince = now
	address := p.address
	g.run(func() { g.fetchFrom(p.vm, address) })
}

// relayWhileFailing asks a peer for records while the store fails.
func (g *Gateway) relayWhileFailing(s Stream) {
	now := steady.Now()
	g.mu.Lock()
	var best *peerState
	for _, p := range g.peers {
		if !p.live(now) {
			continue
		}
		ahead := p.operatorOffset > g.streams[OperatorStream].next
		if s == EndpointStream {
			ahead = p.endpointOffset > g.streams[EndpointStream].next
		}
		if ahead && (best == nil || p.storeAt.After(best.storeAt)) {
			best = p
		}
	}
	g.mu.Unlock()
	if best != nil {
		g.fetchFrom(best.vm, best.address)
	}
}

// fetchFrom asks a peer for what it has read from the store. It reports whether the peer answered.
func (g *Gateway) fetchFrom(vm, address string) bool {
	g.mu.Lock()
	req := &gossip.StateRequest{
		OperatorOffset: g.streams[OperatorStream].next,
		EndpointOffset: g.streams[EndpointStream].next,
	}
	g.mu.Unlock()
	resp, err := g.relays.State(g.ctx, g.peerAddress(address), req)
	if err != nil {
		g.meters.count("relay_errors_total")
		g.book.warn(partPeer).Str("peer", vm).Err(err).Msg("relay failed")
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(OperatorStream, fromWire(resp.GetOperator()), resp.GetOperatorOffset())
	g.apply(EndpointStream, fromWire(resp.GetEndpoints()), resp.GetEndpointOffset())
	if resp.GetEndpointOffset() > 0 {
		g.streams[EndpointStream].synced = true
	}
	if resp.GetOperatorOffset() > 0 {
		g.streams[OperatorStream].synced = true
	}
	return true
}

func fromWire(records []*gossip.Record) []Record {
	out := make([]Record, 0, len(records))
	for _, r := range records {
		out = append(out, Record{Key: r.GetKey(), Offset: r.GetOffset(), Value: r.GetValue()})
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// askReader lets one of the VMs that read the endpoints' records tell what is new. It reports false where this VM
// has to read itself.
func (g *Gateway) askReader() bool {
	now := steady.Now()
	g.mu.Lock()
	if !g.streams[EndpointStream].synced {
		g.mu.Unlock()
		return false
	}
	able := []string{g.settings.VM}
	for vm, p := range g.peers {
		if p.able(now) {
			able = append(able, vm)
		}
	}
	slices.Sort(able)
	able = able[:min(len(able), readers)]
	if slices.Contains(able, g.settings.VM) {
		g.mu.Unlock()
		return false
	}
	reader := g.peers[able[0]]
	for _, vm := range able {
		if g.peers[vm].dataCentre == g.settings.DataCentre {
			reader = g.peers[vm]
		}
	}
	behind := reader.endpointOffset > g.streams[EndpointStream].next
	vm, address := reader.vm, reader.address
	if !behind {
		g.streams[EndpointStream].readAt = reader.heard
	}
	g.mu.Unlock()
	if !behind {
		return true
	}
	return g.fetchFrom(vm, address)
}

// relayService implements gossip.Relay.
type relayService struct {
	g *Gateway
}

// State implements gossip.Relay.
func (s relayService) State(_ context.Context, req *gossip.StateRequest) (*gossip.StateResponse, error) {
	g := s.g
	g.mu.Lock()
	defer g.mu.Unlock()
	op, ep := g.streams[OperatorStream], g.streams[EndpointStream]
	resp := &gossip.StateResponse{
		Operator:  op.after(req.GetOperatorOffset()),
		Endpoints: ep.after(req.GetEndpointOffset()),
	}
	if op.synced {
		resp.OperatorOffset = op.next
	}
	if ep.synced {
		resp.EndpointOffset = ep.next
	}
	return resp, nil
}

// after returns the newest records of the keys that changed at or after an offset.
func (st *streamState) after(offset int64) []*gossip.Record {
	var out []*gossip.Record
	for key, changed := range st.changed {
		if changed >= offset {
			r := st.records[key]
			out = append(out, &gossip.Record{Key: key, Offset: r.Offset, Value: r.Value})
		}
	}
	return out
}
