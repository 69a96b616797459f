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

// announcedAge returns the age that a VM takes a version of model m to have.
func announcedAge(t *testing.T, g *Gateway, version int64, now time.Time) time.Duration {
	t.Helper()
	for _, n := range g.announced["m"] {
		if n.Version == version {
			return now.Sub(n.At)
		}
	}
	t.Fatalf("%s does not know version %d", g.settings.VM, version)
	return 0
}

// Guards against a VM that starts and does not know when weights were announced making all others take their engines
// out of use: it assumes a long time, and told them so.
func TestGuessedTimeOfAnnouncementIsNotTold(t *testing.T) {
	gateway := func(vm, address string) *Gateway {
		return New(settings.Gateway{VM: vm, Address: address, DataCentre: "z", LogLevel: "error"},
			func(*httpcall.Client) Platform { return Platform{} })
	}
	running, restarted := gateway("a", "10.0.0.1"), gateway("b", "10.0.0.2")
	running.noteAnnouncement("m", place.Announcement{Version: 3, At: steady.Now()})
	restarted.announceVersion(&Weights{Model: "m", Version: 3})
	now := steady.Now()
	if age := announcedAge(t, restarted, 3, now); age < learnedAge {
		t.Fatalf("a VM that starts takes the version to be %v old", age)
	}
	running.applyBatch(&gossip.Batch{Digests: []*gossip.Digest{restarted.digest(1, now)}}, now)
	if age := announcedAge(t, running, 3, now); age >= time.Second {
		t.Errorf("the guess of a peer made the version %v old", age)
	}
	restarted.applyBatch(&gossip.Batch{Digests: []*gossip.Digest{running.digest(1, now)}}, now)
	if age := announcedAge(t, restarted, 3, now); age >= time.Second {
		t.Errorf("the VM that started was told the time and still takes the version to be %v old", age)
	}
	restarted.announceVersion(&Weights{Model: "m", Version: 3})
	if age := announcedAge(t, restarted, 3, now); age >= time.Second {
		t.Errorf("a later guess made the version %v old", age)
	}
}

// Guards against a VM that was cut off and takes the moment at which it hears of a version for that of its announcement:
// kept in the store, it lets all VMs that start later use old weights for too long.
func TestVersionHeardLateIsNotTakenForNew(t *testing.T) {
	g := system(7)
	g.streams[OperatorStream].synced = true
	for _, p := range g.peers {
		p.lastSeen = p.lastSeen.Add(-2 * silentAfter)
	}
	g.noteStore(EndpointStream, context.DeadlineExceeded)
	g.announceVersion(&Weights{Model: "m", Version: 2})
	if told := g.recentAnnouncements(steady.Now()); len(told) > 0 {
		t.Errorf("a VM that reaches neither peers nor the store tells that the version was announced %d ms ago", told[0].GetAgeMs())
	}
}
