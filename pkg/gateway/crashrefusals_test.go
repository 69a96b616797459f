package gateway

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// recordThreeCrashes makes a VM refuse a request because it crashed three endpoints.
func recordThreeCrashes(g *Gateway, fingerprint uint64, now time.Time) {
	for _, endpoint := range []string{"a/1", "b/1", "c/1"} {
		g.recordOwnCrash(crashguard.Crash{Fingerprint: fingerprint, Endpoint: endpoint}, now)
	}
}

// Guards against a refused request that is forgotten because the store was not reachable when its record was to be
// written.
func TestCrashRefusalIsWrittenUntilStored(t *testing.T) {
	g := newTestGateway(0)
	now := steady.Now()
	recordThreeCrashes(g, 7, now)
	for range 3 {
		changes := g.refusalsToWrite(now)
		if len(changes) != 1 || changes[0].fingerprint != 7 || changes[0].value == nil {
			t.Fatalf("writes due: %v", changes)
		}
		if again := g.refusalsToWrite(now.Add(crashRefusalRetryInterval)); again != nil {
			t.Fatal("a write is due while another is in progress")
		}
		g.recordRefusalWrite(changes[0], errors.New("store is not reachable"))
		g.crashSync.saving = false
		now = now.Add(crashRefusalRetryInterval)
	}
	changes := g.refusalsToWrite(now)
	g.recordRefusalWrite(changes[0], nil)
	g.crashSync.saving = false
	if changes := g.refusalsToWrite(now.Add(crashRefusalRetryInterval)); changes != nil {
		t.Fatalf("writes due after a success: %v", changes)
	}
}

// Guards against a harmless request that is refused after a restart although it ran cleanly.
func TestCrashRefusalOfClearedRequestIsRemoved(t *testing.T) {
	g := newTestGateway(0)
	now := steady.Now()
	recordThreeCrashes(g, 7, now)
	for _, change := range g.refusalsToWrite(now) {
		g.recordRefusalWrite(change, nil)
	}
	g.crashSync.saving = false
	g.clearCrashes(7, now)
	changes := g.refusalsToWrite(now.Add(crashRefusalRetryInterval))
	if len(changes) != 1 || changes[0].value != nil {
		t.Fatalf("writes due: %v", changes)
	}
}

// Guards against stored records that prevent a VM from starting, or that apply without end.
func TestStoredCrashRefusalsAreValidated(t *testing.T) {
	record := func(age time.Duration) string {
		return fmt.Sprintf(`{"unix_ms":%d,"endpoints":["a/1","b/1","c/1"]}`, time.Now().Add(-age).UnixMilli())
	}
	for _, c := range []struct {
		key, value        string
		outdated, refused bool
	}{
		{"crashed/7", record(time.Minute), false, true},
		{"crashed/7", record(crashRefusalTTL + time.Minute), true, false},
		{"crashed/7", "{", true, false},
		{"crashed/x", record(time.Minute), true, false},
		{"crashed/7", `{"endpoints":[]}`, true, false},
	} {
		g := newTestGateway(0)
		outdated := g.restoreCrashRefusal(Record{Key: c.key, Value: []byte(c.value)})
		if outdated != c.outdated || g.crashes.IsRefused(7) != c.refused {
			t.Errorf("%s %s: outdated %v, refused %v", c.key, c.value, outdated, g.crashes.IsRefused(7))
		}
		if changes := g.refusalsToWrite(steady.Now()); changes != nil {
			t.Errorf("%s %s: a write is due", c.key, c.value)
		}
	}
}

// Guards against a restart that puts off the probes of a refused part: an innocent one stays refused while VMs restart.
func TestRestartKeepsTheTimeOfAProbe(t *testing.T) {
	g := newTestGateway(0)
	part := crashguard.PartFingerprint(0xb1)
	written := g.timeOfDay().Add(-firstProbeWait).UnixMilli()
	g.restoreCrashRefusal(Record{
		Key: crashRefusalPrefix + formatFingerprint(part), Value: fmt.Appendf(nil, `{"unix_ms":%d,"endpoints":["a/1","b/1","c/1"]}`, written),
	})
	probe := g.crashes.ProbeOf(part, g.crashes.Prompt([]uint64{part}), false)
	if !g.crashes.IsRefused(part) || probe.Kind != crashguard.FreeProbe || probe.At.After(g.now()) {
		t.Errorf("refused %v, the first probe is of kind %v in %v", g.crashes.IsRefused(part), probe.Kind, probe.At.Sub(g.now()))
	}
}
