package gateway

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/steady"
)

// Guards against a VM of a large system asking all peers at once for a record that it lacks. The answers fill the links,
// above all when all VMs have restarted and lack everything.
func TestPeersAreAskedOneAfterTheOther(t *testing.T) {
	g := system(84)
	now := steady.Now()
	asked := 0
	const rounds = 4
	for range rounds {
		for _, p := range g.peers {
			p.operatorOffset = 5
			now = now.Add(digestPauseLarge / 84)
			if g.lagging(p, now) {
				asked++
			}
		}
	}
	if most := int(rounds * digestPauseLarge / relayLag); asked < 1 || asked > most {
		t.Errorf("%d peers asked in %v, want 1 to %d", asked, rounds*digestPauseLarge, most)
	}
}

// Guards against a VM that never asks for what it lacks since another peer lacks it too.
func TestLagOfOnePeerHidesNoOther(t *testing.T) {
	g := system(2)
	now := steady.Now()
	ahead, behind := g.peers["vm-0"], g.peers["vm-1"]
	ahead.operatorOffset = 5
	for range 10 {
		if g.lagging(behind, now) {
			t.Fatal("a peer is asked that knows no more")
		}
		if g.lagging(ahead, now) {
			return
		}
		now = now.Add(relayLag / 4)
	}
	t.Error("nobody is asked")
}

// Guards against VMs that start together all asking the same peer for everything, whose link that would fill, and against
// asking one that does not reach the store.
func TestRelaysAreSpread(t *testing.T) {
	g := system(84)
	now := steady.Now()
	for _, p := range g.peers {
		p.endpointOffset = 5
	}
	cutOff := g.peers["vm-0"]
	cutOff.storeAt = now.Add(-time.Minute)
	drawn := map[string]bool{}
	for range 300 {
		p := g.relayFor(EndpointStream, now)
		if p == cutOff || p.dataCentre != "z0" {
			t.Fatalf("asks %s in %s", p.vm, p.dataCentre)
		}
		drawn[p.vm] = true
	}
	if len(drawn) != 20 {
		t.Errorf("%d of 20 peers are asked", len(drawn))
	}
	if g.relayFor(OperatorStream, now) != nil {
		t.Error("asks a peer that knows no more")
	}
}
