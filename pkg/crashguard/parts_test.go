package crashguard

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a refusal of parts that depends on the order in which crashes are learned, or that is not determined anew
// when crashes are added, cleared or forgotten.
func TestRefusedPartsFollowFromTheCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tally := NewTally()
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			part := PartFingerprint(rapid.Uint64Range(1, 5).Draw(t, "part"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				tally.Clear(part, now)
			case 1:
				tally.IsRefused(part)
			default:
				tally.Record(Crash{Fingerprint: part, Endpoint: rapid.StringMatching(`[a-h]/1`).Draw(t, "endpoint")}, now)
			}
		}
		other := NewTally()
		crashes := tally.TopCrashes(maxTalliedRequests)
		slices.Reverse(crashes)
		for _, c := range crashes {
			other.Record(c, now)
		}
		if tally.RefusedChecksum() != other.RefusedChecksum() {
			t.Fatal("tallies with the same crashes refuse other parts")
		}
		for id := range uint64(6) {
			part := PartFingerprint(id)
			if tally.IsRefused(part) != other.IsRefused(part) {
				t.Fatalf("only one of two tallies with the same crashes refuses part %d", id)
			}
			if tally.IsRefused(part) && tally.CrashCount(part) < endpointsToRefuse {
				t.Fatalf("part %d is refused after %d crashes", id, tally.CrashCount(part))
			}
		}
	})
}

// Guards against two guilty parts of which one hides the other, because both were in flight at some of the crashes.
func TestTwoGuiltyPartsAreBothRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	first, second := PartFingerprint(1), PartFingerprint(2)
	for i := range 5 {
		tally.Record(Crash{Fingerprint: first, Endpoint: "both/" + strconv.Itoa(i)}, now)
		tally.Record(Crash{Fingerprint: second, Endpoint: "both/" + strconv.Itoa(i)}, now)
	}
	for i := range 5 {
		tally.Record(Crash{Fingerprint: first, Endpoint: "first/" + strconv.Itoa(i)}, now)
	}
	if !tally.IsRefused(first) {
		t.Fatal("the part with the most crashes is not refused")
	}
	for i := range endpointsToRefuse {
		if tally.IsRefused(second) {
			t.Fatalf("refused after %d crashes that the other part does not explain", i)
		}
		tally.Record(Crash{Fingerprint: second, Endpoint: "second/" + strconv.Itoa(i)}, now)
	}
	if !tally.IsRefused(first) || !tally.IsRefused(second) {
		t.Errorf("first refused %v, second %v", tally.IsRefused(first), tally.IsRefused(second))
	}
}

// Guards against a flood of crashes with thousands of innocent parts that pushes the guilty one out of the tally.
func TestFloodOfPartsKeepsTheGuiltyOne(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	guilty := PartFingerprint(1)
	for i := range 2 {
		tally.Record(Crash{Fingerprint: guilty, Endpoint: "g/" + strconv.Itoa(i)}, now)
	}
	for i := range uint64(3 * maxTalliedRequests) {
		now = now.Add(time.Millisecond)
		tally.Record(Crash{Fingerprint: PartFingerprint(100 + i), Endpoint: "f/1"}, now)
		tally.Record(Crash{Fingerprint: 100 + i, Endpoint: "f/1"}, now)
	}
	tally.Record(Crash{Fingerprint: guilty, Endpoint: "g/2"}, now)
	if !tally.IsRefused(guilty) {
		t.Errorf("the guilty part has %d crashes, want %d", tally.CrashCount(guilty), endpointsToRefuse)
	}
}
