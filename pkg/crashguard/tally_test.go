package crashguard

import (
	"testing"
	"time"
)

func TestTallyRefusesAfterThreeEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	for i, endpoint := range []string{"a/1", "a/1", "b/1", "a/2"} {
		if tally.Refuse(7, now) {
			t.Fatalf("refused before crash %d", i)
		}
		tally.Note(Crash{Fingerprint: 7, Endpoint: endpoint}, now)
	}
	if !tally.Refuse(7, now) || tally.Refuse(8, now) {
		t.Fatal("three starts of endpoints must refuse this request and no other")
	}
	if got := tally.Recent(now.Add(-time.Second)); len(got) != 3 {
		t.Fatalf("tells peers of %d crashes, want 3", len(got))
	}
	if tally.Refuse(7, now.Add(tallyFor+time.Second)) {
		t.Fatal("refused for ever")
	}
}

func TestTallyIsClearedByACleanRun(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	for _, endpoint := range []string{"a/1", "b/1", "c/1"} {
		tally.Note(Crash{Fingerprint: 7, Endpoint: endpoint}, now)
	}
	tally.Clear(7)
	if tally.Refuse(7, now) {
		t.Fatal("a request that ran clean is refused")
	}
}

func TestTallyIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	for i := range uint64(2 * maxTallied) {
		tally.Note(Crash{Fingerprint: i + 1, Endpoint: "a/1"}, now)
	}
	if len(tally.requests) > maxTallied {
		t.Fatalf("%d requests remembered", len(tally.requests))
	}
}

// Guards against a tally that is full of interrupted requests and no longer counts the one that ends endpoints.
func TestCrashesAreCountedBesideManyInterruptedRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	for i := range uint64(2 * maxTallied) {
		tally.Note(Crash{Fingerprint: i + 1, Endpoint: "a/1"}, now)
	}
	const crashing = 1 << 40
	for _, endpoint := range []string{"b/1", "c/1", "d/1"} {
		now = now.Add(time.Second)
		tally.Note(Crash{Fingerprint: crashing, Endpoint: endpoint}, now)
	}
	if !tally.Refuse(crashing, now) {
		t.Fatal("three crashes are not counted")
	}
}
