package gateway

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
)

// Small systems send each digest to every VM. In large ones some VMs of each data centre, the hubs, collect the digests
// of its VMs and send them on together, to all VMs of the data centre and to one hub of each other, which passes them on
// there. Every VM chooses its hubs by itself; a VM that is taken for a hub acts as one, so VMs that disagree lose nothing.

const (
	// largeSystem is the number of known VMs from which digests go by hubs.
	largeSystem = 24
	// hubsPerDataCentre is the number of hubs between which a VM alternates, so that the loss of one leaves the others'
	// digests half as often.
	hubsPerDataCentre = 2
	// hubPause is the time for which a hub collects digests.
	hubPause = 300 * time.Millisecond
	// hubSilence is the age of a hub's last digest at which another is chosen. A hub sends one with each batch.
	hubSilence = 900 * time.Millisecond
	// presumedFor is the time for which a VM that was never heard may be chosen as a hub, while all VMs start.
	presumedFor = 2 * time.Second
	// dropAfter is the age of a VM's last digest from which it gets digests only now and then.
	dropAfter = 30 * time.Second
	// batchDigests bounds the digests of one datagram.
	batchDigests = 100
)

// knownVM is where a VM is.
type knownVM struct {
	ip netip.Addr
	// dataCentre is empty where it is not known yet.
	dataCentre string
	// linkMbps is the bandwidth of its link, in Mbit/s.
	linkMbps float64
	// since is when this VM first knew of it.
	since time.Time
}

// outgoing is one datagram with its receivers.
type outgoing struct {
	batch *gossip.Batch
	to    []netip.AddrPort
}

// large reports whether digests go by hubs. The caller holds the lock.
func (g *Gateway) large() bool {
	return len(g.vms) >= largeSystem
}

// addVM remembers where a VM is. The caller holds the lock.
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

func (g *Gateway) addressOf(vm *knownVM) netip.AddrPort {
	return netip.AddrPortFrom(vm.ip, uint16(g.settings.PeerPort))
}

// hubsOf returns the hubs of a data centre by the choice of this VM, best first. This VM may be one of its own. The
// caller holds the lock.
func (g *Gateway) hubsOf(dataCentre string, now time.Time) []string {
	return g.widest(dataCentre, hubsPerDataCentre, func(name string, vm *knownVM) bool {
		return g.mayBeHub(name, vm, now)
	})
}

// widest returns the VMs of a data centre with the widest links among those that are able, and this VM unless it leaves.
// The caller holds the lock.
func (g *Gateway) widest(dataCentre string, count int, able func(name string, vm *knownVM) bool) []string {
	var names []string
	for name, vm := range g.vms {
		if vm.dataCentre == dataCentre && able(name, vm) {
			names = append(names, name)
		}
	}
	if dataCentre == g.settings.DataCentre && !g.leaving.Load() {
		names = append(names, g.settings.VM)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(g.linkOf(b), g.linkOf(a)), cmp.Compare(a, b))
	})
	return names[:min(len(names), count)]
}

func (g *Gateway) mayBeHub(name string, vm *knownVM, now time.Time) bool {
	p := g.peers[name]
	if p == nil {
		return now.Sub(vm.since) < presumedFor
	}
	return !p.leaving && now.Sub(p.lastSeen) < hubSilence
}

func (g *Gateway) linkOf(name string) float64 {
	if name == g.settings.VM {
		return g.settings.LinkMbps
	}
	return g.vms[name].linkMbps
}

// isHub reports whether this VM is a hub by its own choice. The caller holds the lock.
func (g *Gateway) isHub(now time.Time) bool {
	return slices.Contains(g.hubsOf(g.settings.DataCentre, now), g.settings.VM)
}

// heartbeat returns what this VM sends regularly. A hub sends its digests with its batches. The caller holds the lock.
func (g *Gateway) heartbeat(sequence uint64, now time.Time) []outgoing {
	if !g.large() {
		clear(g.introduced)
		batch := &gossip.Batch{Digests: []*gossip.Digest{g.digest(sequence, now)}}
		return []outgoing{{batch: batch, to: g.allVMs(sequence, now)}}
	}
	hubs := g.hubsOf(g.settings.DataCentre, now)
	if slices.Contains(hubs, g.settings.VM) {
		return nil
	}
	digest := g.digest(sequence, now)
	hub := g.vms[hubs[sequence%uint64(len(hubs))]]
	batch := &gossip.Batch{Digests: []*gossip.Digest{digest}, Spread: gossip.Spread_SPREAD_ALL}
	for name, d := range g.introduced {
		if len(batch.Digests) == batchDigests {
			break
		}
		batch.Digests = append(batch.Digests, d)
		delete(g.introduced, name)
	}
	return []outgoing{
		{batch: batch, to: []netip.AddrPort{g.addressOf(hub)}},
		{batch: &gossip.Batch{Digests: batch.Digests[:1]}, to: g.oneSilentVM(now)},
	}
}

// flush returns the batches of this VM as a hub, with a digest of its own. The caller holds the lock.
func (g *Gateway) flush(sequence func() uint64, now time.Time) []outgoing {
	if len(g.collected) == 0 && (!g.large() || !g.isHub(now)) {
		return nil
	}
	maps.Copy(g.collected, g.introduced)
	clear(g.introduced)
	digests := []*gossip.Digest{g.digest(sequence(), now)}
	for _, d := range g.collected {
		digests = append(digests, d)
	}
	clear(g.collected)
	out := []outgoing{{batch: &gossip.Batch{Digests: digests[:1]}, to: g.oneSilentVM(now)}}
	near, far := g.nearVMs(now), g.farHubs(now)
	for part := range slices.Chunk(digests, batchDigests) {
		out = append(out,
			outgoing{batch: &gossip.Batch{Digests: part}, to: near},
			outgoing{batch: &gossip.Batch{Digests: part, Spread: gossip.Spread_SPREAD_DATA_CENTRE}, to: far})
	}
	return out
}

// nearVMs returns the other VMs of this data centre. The caller holds the lock.
func (g *Gateway) nearVMs(now time.Time) []netip.AddrPort {
	var out []netip.AddrPort
	for name, vm := range g.vms {
		if vm.dataCentre == g.settings.DataCentre && !g.silentFor(name, dropAfter, now) {
			out = append(out, g.addressOf(vm))
		}
	}
	return out
}

// farHubs returns one hub of each other data centre, or any of its VMs where none is known to be live. The caller holds
// the lock.
func (g *Gateway) farHubs(now time.Time) []netip.AddrPort {
	names := map[string][]string{}
	for name, vm := range g.vms {
		if vm.dataCentre != "" && vm.dataCentre != g.settings.DataCentre {
			names[vm.dataCentre] = append(names[vm.dataCentre], name)
		}
	}
	var out []netip.AddrPort
	for dataCentre, all := range names {
		if hubs := g.hubsOf(dataCentre, now); len(hubs) > 0 {
			all = hubs
		}
		out = append(out, g.addressOf(g.vms[all[rand.N(len(all))]]))
	}
	return out
}

// oneSilentVM returns a VM that is not heard, drawn anew each time, so that parts of the system that lost each other find
// together. The caller holds the lock.
func (g *Gateway) oneSilentVM(now time.Time) []netip.AddrPort {
	var silent []netip.AddrPort
	for name, vm := range g.vms {
		if p := g.peers[name]; p == nil || !p.live(now) && !p.leaving {
			silent = append(silent, g.addressOf(vm))
		}
	}
	if len(silent) == 0 {
		return nil
	}
	return []netip.AddrPort{silent[rand.N(len(silent))]}
}

// rareDigests is the share of digests that a VM of a small system still gets after it was silent for long.
const rareDigests = 40

// allVMs returns the other VMs of a small system. The caller holds the lock.
func (g *Gateway) allVMs(sequence uint64, now time.Time) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(g.vms))
	for name, vm := range g.vms {
		if sequence%rareDigests == 0 || !g.silentFor(name, dropAfter, now) {
			out = append(out, g.addressOf(vm))
		}
	}
	return out
}

// silentFor reports whether a VM was heard before and not for the given time. The caller holds the lock.
func (g *Gateway) silentFor(name string, d time.Duration, now time.Time) bool {
	p := g.peers[name]
	return p != nil && now.Sub(p.lastSeen) > d
}
