package gateway

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// refuseOn lets a VM refuse a request for its crashes.
func refuseOn(g *Gateway, fingerprint uint64, now time.Time) {
	for _, endpoint := range []string{"a/1", "b/1", "c/1"} {
		g.sawCrash(crashguard.Crash{Fingerprint: fingerprint, Endpoint: endpoint}, now)
	}
}

// Guards against a refused request that is forgotten since the store was away when it was to be written.
func TestRefusedRequestIsWrittenUntilItIsKept(t *testing.T) {
	g := system(0)
	now := steady.Now()
	refuseOn(g, 7, now)
	for range 3 {
		changes := g.verdictsToSave(now)
		if len(changes) != 1 || changes[0].fingerprint != 7 || changes[0].value == nil {
			t.Fatalf("to write: %v", changes)
		}
		if again := g.verdictsToSave(now.Add(verdictPause)); again != nil {
			t.Fatal("written twice at once")
		}
		g.noteSaved(changes[0], errors.New("store is away"))
		g.crashSync.saving = false
		now = now.Add(verdictPause)
	}
	changes := g.verdictsToSave(now)
	g.noteSaved(changes[0], nil)
	g.crashSync.saving = false
	if changes := g.verdictsToSave(now.Add(verdictPause)); changes != nil {
		t.Fatalf("written again: %v", changes)
	}
}

// Guards against an innocent request that is refused after a restart although it ran clean.
func TestClearedRequestIsRemovedFromTheStore(t *testing.T) {
	g := system(0)
	now := steady.Now()
	refuseOn(g, 7, now)
	for _, change := range g.verdictsToSave(now) {
		g.noteSaved(change, nil)
	}
	g.crashSync.saving = false
	g.clearCrashes(7, now)
	changes := g.verdictsToSave(now.Add(verdictPause))
	if len(changes) != 1 || changes[0].value != nil {
		t.Fatalf("to write: %v", changes)
	}
}

// Guards against records that stop a VM from starting, or that are believed for ever.
func TestKeptRequestsAreChecked(t *testing.T) {
	record := func(age time.Duration) string {
		return fmt.Sprintf(`{"unix_ms":%d,"endpoints":["a/1","b/1","c/1"]}`, time.Now().Add(-age).UnixMilli())
	}
	for _, c := range []struct {
		key, value        string
		outdated, refused bool
	}{
		{"crashed/7", record(time.Minute), false, true},
		{"crashed/7", record(verdictLife + time.Minute), true, false},
		{"crashed/7", "{", true, false},
		{"crashed/x", record(time.Minute), true, false},
		{"crashed/7", `{"endpoints":[]}`, true, false},
	} {
		g := system(0)
		outdated := g.recallVerdict(Record{Key: c.key, Value: []byte(c.value)})
		if outdated != c.outdated || g.crashes.Refused(7) != c.refused {
			t.Errorf("%s %s: outdated %v, refused %v", c.key, c.value, outdated, g.crashes.Refused(7))
		}
		if changes := g.verdictsToSave(steady.Now()); changes != nil {
			t.Errorf("%s %s is written again", c.key, c.value)
		}
	}
}
