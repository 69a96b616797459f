package gateway

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/share"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// receiveLimit bounds the wait for a datagram. It is no bound that the product has to keep.
const receiveLimit = 20 * time.Second

// system returns the gateway of one VM that hears count others in four data centres.
func system(count int) *Gateway {
	g := New(settings.Gateway{VM: "own", Address: "10.0.0.1", DataCentre: "z0", PeerPort: 7000, LogLevel: "error"},
		func(*httpcall.Client) Platform { return Platform{} })
	now := steady.Now()
	for i := range count {
		g.applyDigest(&gossip.Digest{
			Vm: fmt.Sprint("vm-", i), Boot: 1, Sequence: 1, DataCentre: fmt.Sprint("z", i%4),
			Address: fmt.Sprintf("10.0.%d.%d", 1+i/200, i%200),
		}, now)
	}
	return g
}

// Guards against the peers of a large system falling silent for each other between two digests: quotas, watches and the
// order lease then rest on a few VMs.
func TestPeersOfLargeSystemsStayLive(t *testing.T) {
	for _, count := range []int{8, 84, 409} {
		_, most := system(count).digestPauses()
		for name, limit := range map[string]time.Duration{
			"silentAfter": silentAfter, "holderSilence": holderSilence, "share.SilenceAfter": share.SilenceAfter,
		} {
			if 3*most > limit {
				t.Errorf("%d peers: %v between two digests, %s is %v", count, most, name, limit)
			}
		}
	}
}

// Guards against digests that grow with the number of VMs.
func TestDigestsOfLargeSystemsAreSmall(t *testing.T) {
	size := func(count int) int {
		g := system(count)
		datagram, err := gossip.Encode(g.digest(1, steady.Now()))
		if err != nil {
			t.Fatal(err)
		}
		return len(datagram)
	}
	if small, large := size(20), size(409); large > small+50 {
		t.Errorf("%d bytes with 20 peers, %d with 409", small, large)
	}
}

// Guards against VMs that stay unknown since digests name the same others each time.
func TestDigestsNameAllNeighboursInTurn(t *testing.T) {
	g := system(84)
	named := map[string]bool{}
	for sequence := range uint64(84) {
		for _, n := range g.digest(sequence, steady.Now()).GetNeighbours() {
			named[n.GetVm()] = true
		}
	}
	if len(named) != 84 {
		t.Errorf("%d of 84 peers were named", len(named))
	}
}

// Guards against digests that cross data centres once for each VM, and against VMs that get none.
func TestDigestsCrossDataCentresOnce(t *testing.T) {
	g := system(84)
	g.peers["vm-1"].lastSeen = steady.Now().Add(-2 * silentAfter)
	silent := netip.MustParseAddrPort(g.peers["vm-1"].address + ":7000")
	to := g.recipients(1, steady.Now())
	if len(to.relays) != 3 {
		t.Errorf("sent to %d relays of 3 other data centres", len(to.relays))
	}
	if len(to.direct) != 21+1 || !slices.Contains(to.direct, silent) {
		t.Errorf("%d direct digests for 21 VMs of the own data centre and a silent one of another", len(to.direct))
	}
	drawn := map[netip.AddrPort]bool{}
	for sequence := range uint64(100) {
		for _, address := range g.recipients(sequence, steady.Now()).relays {
			drawn[address] = true
		}
	}
	if len(drawn) < 30 {
		t.Errorf("only %d VMs forward digests; one that does not would cut its data centre off", len(drawn))
	}
	if to := system(8).recipients(1, steady.Now()); len(to.direct) != 8 || len(to.relays) != 0 {
		t.Errorf("a small system sends %d direct digests and %d by relays", len(to.direct), len(to.relays))
	}
}

// Guards against forwarded digests that are forwarded again, or go back to their sender.
func TestForwardedDigestsStayInTheDataCentre(t *testing.T) {
	listen := func(address string) *gossip.Socket {
		s, err := gossip.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	g := New(settings.Gateway{VM: "own", Address: "127.0.0.1", DataCentre: "z0", LogLevel: "error"},
		func(*httpcall.Client) Platform { return Platform{} })
	g.socket = listen("127.0.0.1:0")
	near := listen("127.0.0.2:0")
	g.settings.PeerPort = near.Port()
	now := steady.Now()
	for vm, p := range map[string]*gossip.Digest{
		"near": {Address: "127.0.0.2", DataCentre: "z0"},
		"far":  {Address: "127.0.0.3", DataCentre: "z1"},
	} {
		p.Vm, p.Boot, p.Sequence = vm, 1, 1
		g.applyDigest(p, now)
	}
	// Ends the wait below where nothing arrives.
	time.AfterFunc(receiveLimit, func() { _ = near.Close() })
	g.forwardDigest(&gossip.Digest{Vm: "far", Boot: 1, Sequence: 2, Forward: true}, now)
	got, _, err := near.Receive()
	if err != nil || got.GetVm() != "far" || got.GetSequence() != 2 || got.GetForward() {
		t.Errorf("received %v, %v", got, err)
	}
	if sent := g.metrics.counters.Get("digest_bytes_total"); sent == nil || sent.String() == "0" {
		t.Error("bytes are not counted")
	}
}

// Guards against more watches of a source than it takes, and against fewer.
func TestSourcesAreWatchedByAsManyAsTheyTake(t *testing.T) {
	names := make([]string, 50)
	for i := range names {
		names[i] = fmt.Sprint("vm-", i)
	}
	for _, most := range []int{12, 100} {
		for source := range 20 {
			watchers := 0
			for _, vm := range names {
				g := &Gateway{settings: settings.Gateway{VM: vm}}
				others := slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == vm })
				if g.watches(fmt.Sprintf("10.0.0.%d:80", source), most, others) {
					watchers++
				}
			}
			if want := min(most-watchSpare, len(names)); watchers != want {
				t.Errorf("%d watchers of a source that takes %d, want %d", watchers, most, want)
			}
		}
	}
}

// BenchmarkDigestOfLargeSystem shows what one received digest costs in a system of 100 VMs.
func BenchmarkDigestOfLargeSystem(b *testing.B) {
	g := system(99)
	d := &gossip.Digest{Vm: "vm-1", Boot: 1, DataCentre: "z1", Address: "10.0.1.1"}
	limits := make([]share.Limit, 0, 16)
	for i := range 16 {
		name := fmt.Sprint("workspace-", i)
		limits = append(limits, share.Limit{Workspace: name, Rate: 1000, Burst: 1000})
		d.Usage = append(d.Usage, &gossip.Usage{Workspace: name, Admitted: 1000, Level: 500})
		d.Loads = append(d.Loads, &gossip.Load{Endpoint: fmt.Sprint("engine-", i), Running: 1, Memory: 1000})
		d.Neighbours = append(d.Neighbours, &gossip.Neighbour{Vm: fmt.Sprint("vm-", i), Address: fmt.Sprint("10.0.1.", i)})
	}
	now := steady.Now()
	g.limiter.Configure(limits, now)
	datagram, err := gossip.Encode(d)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := uint64(2); b.Loop(); i++ {
		var received gossip.Digest
		if err := proto.Unmarshal(datagram, &received); err != nil {
			b.Fatal(err)
		}
		received.Sequence = i
		now = now.Add(time.Millisecond)
		g.applyDigest(&received, now)
	}
}
