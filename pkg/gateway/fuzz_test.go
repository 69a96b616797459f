package gateway

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/share"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// Guards against a datagram of a peer that crashes the process, whatever its contents.
func FuzzBatch(f *testing.F) {
	odd := &gossip.Batch{Spread: gossip.Spread_SPREAD_ALL, Digests: []*gossip.Digest{
		{Vm: "a", Boot: 1, Sequence: 1, Address: "10.0.0.2", DataCentre: "z0", StoreAgeMs: -1 << 62, UptimeMs: 1 << 62},
		{
			Vm: "b", Sequence: finalSequence, Address: "no address", Leaving: true, AllUsage: true,
			Usage:         []*gossip.Usage{{Workspace: "w", Admitted: -1 << 62, Level: 1 << 62}, {}},
			Loads:         []*gossip.Load{{Endpoint: "", Running: -1 << 31}},
			Departures:    []*gossip.Departure{{Offset: -1}, {Endpoint: "e", Draining: true, Born: -1}},
			Announcements: []*gossip.Announcement{{Model: "m", AgeMs: -1 << 62}},
			Versions:      []*gossip.Version{{Version: -1}},
			Accusations:   []*gossip.Accusation{{}},
			Placed:        []*gossip.Placed{{Source: "", Parts: []uint64{0}}},
			Neighbours:    []*gossip.Neighbour{{Vm: "own", Address: "10.0.0.1"}, {Address: "::1"}},
		},
		{},
	}}
	data, err := gossip.Encode(odd)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := gossip.Decode(data)
		if err != nil {
			return
		}
		g := newTestGateway(30)
		now := steady.Now()
		g.limiter.Configure([]share.Limit{{Workspace: "w", Rate: 100, Burst: 100}}, now)
		g.applyBatch(batch, now)
		for range 3 {
			now = now.Add(time.Second)
			g.expireState(now)
			g.heartbeatBatches(g.nextDigestSequence(), now)
			g.hubBatches(g.nextDigestSequence, now)
		}
	})
}
