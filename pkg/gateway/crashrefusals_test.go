package gateway

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// refusalInterval is the interval between two rounds of writes, and refusalTTL the age from which a record is outdated.
	refusalInterval = time.Second
	refusalTTL      = 24 * time.Hour
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
		changes := g.refusals.Begin(g.timeOfDay(), now)
		if len(changes) != 1 || changes[0].Fingerprint != 7 || changes[0].Value == nil {
			t.Fatalf("writes due: %v", changes)
		}
		if again := g.refusals.Begin(g.timeOfDay(), now.Add(refusalInterval)); again != nil {
			t.Fatal("a write is due while another is in progress")
		}
		g.recordRefusalWrite(changes[0], errors.New("store is not reachable"))
		g.refusals.End()
		now = now.Add(refusalInterval)
	}
	changes := g.refusals.Begin(g.timeOfDay(), now)
	g.recordRefusalWrite(changes[0], nil)
	g.refusals.End()
	if changes := g.refusals.Begin(g.timeOfDay(), now.Add(refusalInterval)); changes != nil {
		t.Fatalf("writes due after a success: %v", changes)
	}
}

// Guards against a harmless request that is refused after a restart although it ran cleanly.
func TestCrashRefusalOfClearedRequestIsRemoved(t *testing.T) {
	g := newTestGateway(0)
	now := steady.Now()
	recordThreeCrashes(g, 7, now)
	for _, change := range g.refusals.Begin(g.timeOfDay(), now) {
		g.recordRefusalWrite(change, nil)
	}
	g.refusals.End()
	g.clearCrashes(7, now)
	changes := g.refusals.Begin(g.timeOfDay(), now.Add(refusalInterval))
	if len(changes) != 1 || changes[0].Value != nil {
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
		{"crashed/7", record(refusalTTL + time.Minute), true, false},
		{"crashed/7", "{", true, false},
		{"crashed/x", record(time.Minute), true, false},
		{"crashed/7", `{"endpoints":[]}`, true, false},
	} {
		g := newTestGateway(0)
		outdated := g.restoreCrashRefusal(Record{Key: c.key, Value: []byte(c.value)})
		if outdated != c.outdated || g.crashes.IsRefused(7) != c.refused {
			t.Errorf("%s %s: outdated %v, refused %v", c.key, c.value, outdated, g.crashes.IsRefused(7))
		}
		if changes := g.refusals.Begin(g.timeOfDay(), steady.Now()); changes != nil {
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
