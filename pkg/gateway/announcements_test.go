package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/settings"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// announcedAge returns the age that a VM assumes for a version of model m.
func announcedAge(t *testing.T, g *Gateway, version int64, now time.Time) time.Duration {
	t.Helper()
	for _, n := range g.announcements["m"] {
		if n.Version == version {
			return now.Sub(n.At)
		}
	}
	t.Fatalf("%s has no announcement of version %d", g.settings.VM, version)
	return 0
}

// A VM that starts does not have the announcement times of weights and assumes a long age. Guards against it sending
// this guess, which would make all other VMs take their engines out of use.
func TestEstimatedAnnouncementTimeIsNotSent(t *testing.T) {
	gateway := func(vm, address string) *Gateway {
		return New(settings.Gateway{VM: vm, Address: address, DataCentre: "z", LogLevel: "error"},
			func(*httpcall.Client) Platform { return Platform{} })
	}
	running, restarted := gateway("a", "10.0.0.1"), gateway("b", "10.0.0.2")
	running.addAnnouncement("m", place.Announcement{Version: 3, At: steady.Now()})
	restarted.applyWeights(&Weights{Model: "m", Version: 3})
	now := steady.Now()
	if age := announcedAge(t, restarted, 3, now); age < assumedAnnouncementAge {
		t.Fatalf("a VM that starts assumes an age of %v", age)
	}
	running.applyBatch(&gossip.Batch{Digests: []*gossip.Digest{restarted.digest(1, now)}}, now)
	if age := announcedAge(t, running, 3, now); age >= time.Second {
		t.Errorf("the guess of a peer changed the age to %v", age)
	}
	restarted.applyBatch(&gossip.Batch{Digests: []*gossip.Digest{running.digest(1, now)}}, now)
	if age := announcedAge(t, restarted, 3, now); age >= time.Second {
		t.Errorf("the VM that started received the time and still assumes an age of %v", age)
	}
	restarted.applyWeights(&Weights{Model: "m", Version: 3})
	if age := announcedAge(t, restarted, 3, now); age >= time.Second {
		t.Errorf("a later guess changed the age to %v", age)
	}
}

// Guards against a VM that was cut off and reads a version late taking that moment for its announcement. The late time,
// once stored, would let all VMs that start later use old weights for too long.
func TestVersionReadLateIsNotTakenForNew(t *testing.T) {
	g := newTestGateway(7)
	g.streams[OperatorStream].synced = true
	for _, p := range g.peers {
		p.lastSeen = p.lastSeen.Add(-2 * peerSilenceLimit)
	}
	g.recordStoreResult(EndpointStream, context.DeadlineExceeded, steady.Now())
	g.applyWeights(&Weights{Model: "m", Version: 2})
	if sent := g.announcementReports(steady.Now()); len(sent) > 0 {
		t.Errorf("a VM that reaches neither peers nor the store reports that the version was announced %d ms ago", sent[0].GetAgeMs())
	}
}

// Guards against an assumed announcement time that is later than the actual one, or much earlier: a VM that read the records
// last some seconds ago assumes that time.
func TestVersionReadLateIsAssumedOlder(t *testing.T) {
	for _, c := range []struct{ verified, want time.Duration }{
		{100 * time.Millisecond, 0}, {4 * time.Second, 4 * time.Second}, {time.Minute, assumedAnnouncementAge},
	} {
		g := newTestGateway(0)
		st := g.streams[OperatorStream]
		st.synced = true
		now := steady.Now()
		st.recordProof(now.Add(-c.verified))
		// Nothing is written, since this VM leaves the records to another.
		g.peers["a"] = &peerState{vm: "a", lastSeen: now, storeAnsweredAt: now, started: g.started}
		g.applyWeights(&Weights{Model: "m", Version: 2})
		if age := announcedAge(t, g, 2, steady.Now()); age < c.want || age > c.want+time.Second {
			t.Errorf("last verified %v ago: assumed age %v, want %v", c.verified, age, c.want)
		}
	}
}
