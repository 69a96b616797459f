package gateway

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
)

// In a small system each digest is sent to every VM. In a large one some VMs of each data centre, the hubs, collect the
// digests of its VMs and forward them together, to all VMs of the data centre and to one hub of each other data centre,
// which forwards them there. Every VM chooses its hubs independently; a VM that receives digests as a hub acts as one, so
// nothing is lost if VMs disagree.

const (
	// largeSystemVMs is the number of known VMs from which digests are sent through hubs.
	largeSystemVMs = 24
	// hubBatchInterval is the time for which a hub collects digests.
	hubBatchInterval = 300 * time.Millisecond
	// minHubBatchInterval is the shortest interval between two batches.
	minHubBatchInterval = 25 * time.Millisecond
	// hubSilenceLimit is the age of a hub's last digest at which another hub is chosen. A hub sends a digest with each
	// batch.
	hubSilenceLimit = 900 * time.Millisecond
	// presumedLiveFor is the time for which a VM that has sent no digest yet may be chosen as a hub, while all VMs start.
	presumedLiveFor = 2 * time.Second
	// infrequentDigestsAfter is the age of a VM's last digest from which it is sent digests only occasionally.
	infrequentDigestsAfter = 30 * time.Second
	// maxDigestsPerBatch limits the digests of one datagram.
	maxDigestsPerBatch = 100
)

// knownVM is the address and location of another VM.
type knownVM struct {
	ip netip.Addr
	// dataCentre is empty while it is unknown.
	dataCentre string
	// linkMbps is the bandwidth of the VM's link in Mbit/s.
	linkMbps float64
	// since is when this VM first received the address.
	since time.Time
}

// outgoingBatch is a batch of digests with the addresses it is sent to.
type outgoingBatch struct {
	batch      *gossip.Batch
	recipients []netip.AddrPort
}

// isLargeSystem reports whether digests are sent through hubs. Former VMs, whose registrations stay in the store, do not
// count. The caller holds the lock.
func (g *Gateway) isLargeSystem() bool {
	return len(g.vms)-g.formerVMs >= largeSystemVMs
}

// countFormerVMs updates the number of known VMs that have sent no digest for infrequentDigestsAfter. The caller holds the
// lock.
func (g *Gateway) countFormerVMs(now time.Time) {
	g.formerVMs = 0
	for name, vm := range g.vms {
		heardAt := vm.since
		if p := g.peers[name]; p != nil {
			heardAt = p.lastSeen
		}
		if now.Sub(heardAt) > infrequentDigestsAfter {
			g.formerVMs++
		}
	}
}

// addVM adds a VM to the known VMs or updates it; empty fields leave the known values. The caller holds the lock.
func (g *Gateway) addVM(name string, vm knownVM, now time.Time) {
	if name == g.settings.VM || vm.ip == g.ownIP {
		return
	}
	old := g.vms[name]
	if old == nil {
		if !strings.HasPrefix(name, seedPrefix) {
			delete(g.vms, seedPrefix+vm.ip.String())
		}
		vm.since = now
		g.vms[name] = &vm
		return
	}
	old.ip = vm.ip
	old.dataCentre = cmp.Or(vm.dataCentre, old.dataCentre)
	old.linkMbps = cmp.Or(vm.linkMbps, old.linkMbps)
}

// addressOf returns the address for datagrams to a VM.
func (g *Gateway) addressOf(vm *knownVM) netip.AddrPort {
	return netip.AddrPortFrom(vm.ip, uint16(g.settings.PeerPort))
}

// hubsOf returns the hubs that this VM chooses for a data centre, best first: as many as their links require. This VM may be
// one of its own hubs. The caller holds the lock.
func (g *Gateway) hubsOf(dataCentre string, now time.Time) []string {
	able := g.widestLinks(dataCentre, math.MaxInt, func(name string, vm *knownVM) bool { return g.mayBeHub(name, vm, now) })
	links := make([]float64, 0, len(able))
	for _, name := range able {
		links = append(links, g.linkMbpsOf(name))
	}
	load := gossip.SpreadLoad{
		VMs: 1 + len(g.vms) - g.formerVMs, Interval: maxDigestIntervalLarge, Receivers: len(able), DigestBytes: g.digestSize.Bytes(),
	}
	return able[:gossip.HubCount(links, load)]
}

// widestLinks returns up to count VMs of a data centre with the widest links: of the eligible ones, and of this VM
// unless it is stopping. The caller holds the lock.
func (g *Gateway) widestLinks(dataCentre string, count int, eligible func(name string, vm *knownVM) bool) []string {
	var names []string
	for name, vm := range g.vms {
		if vm.dataCentre == dataCentre && eligible(name, vm) {
			names = append(names, name)
		}
	}
	if dataCentre == g.settings.DataCentre && !g.leaving.Load() {
		names = append(names, g.settings.VM)
	}
	slices.SortFunc(names, g.compareLinks)
	return names[:min(len(names), count)]
}

// mayBeHub reports whether another VM is live enough to be chosen as a hub. The caller holds the lock.
func (g *Gateway) mayBeHub(name string, vm *knownVM, now time.Time) bool {
	p := g.peers[name]
	if p == nil {
		return now.Sub(vm.since) < presumedLiveFor
	}
	return !p.leaving && now.Sub(p.lastSeen) < hubSilenceLimit
}

// linkMbpsOf returns the bandwidth of a VM's link in Mbit/s. The caller holds the lock.
func (g *Gateway) linkMbpsOf(name string) float64 {
	if name == g.settings.VM {
		return g.settings.LinkMbps
	}
	if vm := g.vms[name]; vm != nil {
		return vm.linkMbps
	}
	return 0
}

// storeReaders returns up to count of the VMs that reach the store and are live enough to be hubs, those with the widest links
// first and from different data centres as far as there are others. All VMs that know the same peers return the same. This VM
// counts as one that reaches the store. The caller holds the lock.
func (g *Gateway) storeReaders(count int, now time.Time) []string {
	dataCentres := map[string]string{g.settings.VM: g.settings.DataCentre}
	names := []string{g.settings.VM}
	for name, p := range g.peers {
		if p.reachesStore(now) && now.Sub(p.lastSeen) < hubSilenceLimit {
			dataCentres[name] = p.dataCentre
			names = append(names, name)
		}
	}
	slices.SortFunc(names, g.compareLinks)
	var first, others []string
	taken := map[string]bool{}
	for _, name := range names {
		if taken[dataCentres[name]] {
			others = append(others, name)
			continue
		}
		taken[dataCentres[name]] = true
		first = append(first, name)
	}
	all := append(first, others...)
	return all[:min(len(all), count)]
}

// compareLinks orders VMs by the width of their links, widest first, then by name.
func (g *Gateway) compareLinks(a, b string) int {
	return cmp.Or(cmp.Compare(g.linkMbpsOf(b), g.linkMbpsOf(a)), cmp.Compare(a, b))
}

// isHub reports whether this VM chooses itself as a hub. The caller holds the lock.
func (g *Gateway) isHub(now time.Time) bool {
	return slices.Contains(g.hubsOf(g.settings.DataCentre, now), g.settings.VM)
}

// heartbeatBatches returns the batches that this VM sends regularly. A hub sends its own digests with hubBatches
// instead. The caller holds the lock.
func (g *Gateway) heartbeatBatches(sequence uint64, now time.Time) []outgoingBatch {
	if !g.isLargeSystem() {
		clear(g.digestsForHub)
		batch := &gossip.Batch{Digests: []*gossip.Digest{g.digest(sequence, now)}}
		return []outgoingBatch{{batch: batch, recipients: g.smallSystemVMs(sequence, now)}}
	}
	hubs := g.hubsOf(g.settings.DataCentre, now)
	if slices.Contains(hubs, g.settings.VM) {
		return nil
	}
	digest := g.digest(sequence, now)
	if len(hubs) == 0 {
		return g.batchesWithoutHub(digest, now)
	}
	hub := g.vms[hubs[sequence%uint64(len(hubs))]]
	batch := &gossip.Batch{Digests: []*gossip.Digest{digest}, Spread: gossip.Spread_SPREAD_ALL}
	for name, d := range sorted(g.digestsForHub) {
		if len(batch.Digests) == maxDigestsPerBatch {
			break
		}
		batch.Digests = append(batch.Digests, d)
		delete(g.digestsForHub, name)
	}
	return []outgoingBatch{
		{batch: batch, recipients: []netip.AddrPort{g.addressOf(hub)}},
		{batch: &gossip.Batch{Digests: batch.Digests[:1]}, recipients: g.randomSilentVM(now)},
	}
}

// batchesWithoutHub returns the batches of a VM that is stopping while no other VM of its data centre is live: it sends its
// digest to the other data centres itself. The caller holds the lock.
func (g *Gateway) batchesWithoutHub(digest *gossip.Digest, now time.Time) []outgoingBatch {
	digests := []*gossip.Digest{digest}
	return []outgoingBatch{
		{batch: &gossip.Batch{Digests: digests}, recipients: g.localVMs(now)},
		{batch: &gossip.Batch{Digests: digests, Spread: gossip.Spread_SPREAD_DATA_CENTRE}, recipients: g.remoteHubs(now)},
	}
}

// hubBatches returns the digests that this VM has collected as a hub, with a digest of its own, and clears them. The
// caller holds the lock.
func (g *Gateway) hubBatches(sequence func() uint64, now time.Time) []outgoingBatch {
	if len(g.collectedDigests) == 0 && (!g.isLargeSystem() || !g.isHub(now)) {
		return nil
	}
	maps.Copy(g.collectedDigests, g.digestsForHub)
	clear(g.digestsForHub)
	digests := []*gossip.Digest{g.digest(sequence(), now)}
	for _, d := range sorted(g.collectedDigests) {
		digests = append(digests, d)
	}
	clear(g.collectedDigests)
	out := []outgoingBatch{{batch: &gossip.Batch{Digests: digests[:1]}, recipients: g.randomSilentVM(now)}}
	near, far := g.localVMs(now), g.remoteHubs(now)
	for part := range slices.Chunk(digests, maxDigestsPerBatch) {
		out = append(out,
			outgoingBatch{batch: &gossip.Batch{Digests: part}, recipients: near},
			outgoingBatch{batch: &gossip.Batch{Digests: part, Spread: gossip.Spread_SPREAD_DATA_CENTRE}, recipients: far})
	}
	return out
}

// localVMs returns the addresses of the other VMs of this data centre, without those silent for infrequentDigestsAfter.
// The caller holds the lock.
func (g *Gateway) localVMs(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for name, vm := range sorted(g.vms) {
		if vm.dataCentre == g.settings.DataCentre && !g.silentFor(name, infrequentDigestsAfter, now) {
			out = append(out, g.addressOf(vm))
		}
	}
	return out
}

// remoteHubs returns the address of one hub of each other data centre, or of any VM there if no live hub is known. The
// caller holds the lock.
func (g *Gateway) remoteHubs(now time.Time) []netip.AddrPort {
	names := map[string][]string{}
	for name, vm := range sorted(g.vms) {
		if vm.dataCentre != "" && vm.dataCentre != g.settings.DataCentre {
			names[vm.dataCentre] = append(names[vm.dataCentre], name)
		}
	}
	var out []netip.AddrPort
	for dataCentre, all := range sorted(names) {
		if hubs := g.hubsOf(dataCentre, now); len(hubs) > 0 {
			all = hubs
		}
		out = append(out, g.addressOf(g.vms[all[g.random.IntN(len(all))]]))
	}
	return out
}

// randomSilentVM returns the address of a VM from which no digests arrive, chosen at random on each call, so that parts
// of the system that lost contact find each other again. The caller holds the lock.
func (g *Gateway) randomSilentVM(now time.Time) []netip.AddrPort {
	var silent []netip.AddrPort
	for name, vm := range sorted(g.vms) {
		if p := g.peers[name]; p == nil || !p.live(now) && !p.leaving {
			silent = append(silent, g.addressOf(vm))
		}
	}
	if len(silent) == 0 {
		return nil
	}
	return []netip.AddrPort{silent[g.random.IntN(len(silent))]}
}

// infrequentDigestInterval is the number of digests of which a VM of a small system receives one after
// infrequentDigestsAfter.
const infrequentDigestInterval = 40

// smallSystemVMs returns the addresses of the other VMs that receive the digest with the given sequence number in a
// small system. The caller holds the lock.
func (g *Gateway) smallSystemVMs(sequence uint64, now time.Time) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(g.vms))
	for name, vm := range sorted(g.vms) {
		if sequence%infrequentDigestInterval == 0 || !g.silentFor(name, infrequentDigestsAfter, now) {
			out = append(out, g.addressOf(vm))
		}
	}
	return out
}

// silentFor reports whether a VM has sent digests before but none for longer than d. The caller holds the lock.
func (g *Gateway) silentFor(name string, d time.Duration, now time.Time) bool {
	p := g.peers[name]
	return p != nil && now.Sub(p.lastSeen) > d
}
