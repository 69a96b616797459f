package gateway

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// Guards against a VM of a large system asking all peers at once for a record that it lacks. The answers would saturate
// the links, above all when all VMs have restarted and lack all records.
func TestPeersAreAskedOneAtATime(t *testing.T) {
	g := newTestGateway(84)
	now := steady.Now()
	for _, p := range g.peers {
		p.operatorNext.Offset = 5
	}
	g.catchUp.Behind(false, g.randomUpTo, now)
	asked := map[string]bool{}
	const period = time.Second
	for end := now.Add(period); now.Before(end); now = now.Add(currencyCheckInterval / 10) {
		p := g.checkCurrency(now)
		if p == nil {
			continue
		}
		if asked[p.vm] {
			t.Errorf("%s is asked again while it may still answer", p.vm)
		}
		asked[p.vm] = true
	}
	if len(asked) < 1 || len(asked) > 4 {
		t.Errorf("%d peers asked in %v, want 1 to 4", len(asked), period)
	}
}

// Guards against a VM that never asks for the records it lacks because another peer lacks them too.
func TestLaggingPeerDoesNotHideOthersAhead(t *testing.T) {
	g := newTestGateway(2)
	now := steady.Now()
	tell := func(vm string, sequence uint64, offset int64) {
		g.applyBatch(&gossip.Batch{Digests: []*gossip.Digest{{Vm: vm, Boot: 1, Sequence: sequence, OperatorOffset: offset}}}, now)
	}
	for sequence := range uint64(10) {
		tell("vm-0", sequence+2, 5)
		tell("vm-1", sequence+2, 0)
		if p := g.checkCurrency(now); p != nil {
			if p.vm != "vm-0" {
				t.Fatal("a peer without newer records is asked")
			}
			return
		}
		now = now.Add(currencyCheckInterval)
	}
	t.Error("no peer is asked")
}

// Guards against a VM that learns of new records by a single digest and asks nobody before the next one arrives, and against one
// that asks a peer that hangs until its call is given up.
func TestOneDigestIsEnoughToCatchUp(t *testing.T) {
	g := newTestGateway(84)
	now := steady.Now()
	for _, p := range g.peers {
		p.operatorNext.Offset = 5
	}
	g.applyBatch(&gossip.Batch{Digests: []*gossip.Digest{{Vm: "vm-0", Boot: 1, Sequence: 2, OperatorOffset: 5}}}, now)
	first := g.nextAsked(t, now, 400*time.Millisecond)
	second := g.nextAsked(t, first.at, 400*time.Millisecond)
	if first.vm == second.vm {
		t.Errorf("%s is asked twice in a row", first.vm)
	}
}

// askedPeer is a peer that was asked at a time.
type askedPeer struct {
	vm string
	at time.Time
}

// nextAsked returns the next peer that is asked after a time, and fails if none is within a limit.
func (g *Gateway) nextAsked(t *testing.T, after time.Time, limit time.Duration) askedPeer {
	t.Helper()
	for now := after.Add(time.Millisecond); now.Sub(after) <= limit; now = now.Add(currencyCheckInterval) {
		if p := g.checkCurrency(now); p != nil {
			return askedPeer{vm: p.vm, at: now}
		}
	}
	t.Fatalf("nobody is asked within %v", limit)
	return askedPeer{}
}

// Guards against VMs that start together all asking the same peer for all records, which would saturate its link, and
// against asking a peer that does not reach the store.
func TestStateRequestsAreSpread(t *testing.T) {
	g := newTestGateway(84)
	now := steady.Now()
	for _, p := range g.peers {
		p.endpointNext.Offset = 5
	}
	cutOff := g.peers["vm-0"]
	cutOff.storeAnsweredAt = now.Add(-time.Minute)
	drawn := map[string]bool{}
	for range 300 {
		p := g.peerAhead(EndpointStream, now)
		if p == cutOff || p.dataCentre != "z0" {
			t.Fatalf("asked %s in %s", p.vm, p.dataCentre)
		}
		drawn[p.vm] = true
	}
	if len(drawn) != 20 {
		t.Errorf("%d of 20 peers are asked", len(drawn))
	}
	if g.peerAhead(OperatorStream, now) != nil {
		t.Error("a peer without newer records is asked")
	}
}
