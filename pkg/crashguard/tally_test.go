package crashguard

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a request that is refused too early or too late, together with another one, or forever. Two crashes
// of one incarnation count once.
func TestTallyRefusesAfterThreeEndpoints(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	for i, endpoint := range []string{"a/1", "a/1", "b/1", "a/2"} {
		if tally.ShouldRefuse(7, now) {
			t.Fatalf("refused before crash %d", i)
		}
		tally.Record(Crash{Fingerprint: 7, Endpoint: endpoint}, now)
	}
	if !tally.ShouldRefuse(7, now) || tally.ShouldRefuse(8, now) {
		t.Fatal("crashes of three incarnations must refuse this request and no other")
	}
	if got := tally.TopCrashes(1); len(got) != 3 {
		t.Fatalf("TopCrashes returns %d crashes, want 3", len(got))
	}
	if tally.ShouldRefuse(7, now.Add(refusedRetention+time.Second)) {
		t.Fatal("the request is still refused after its retention")
	}
}

// Guards against a request that stays refused after a clean run.
func TestTallyIsClearedByACleanRun(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	for _, endpoint := range []string{"a/1", "b/1", "c/1"} {
		tally.Record(Crash{Fingerprint: 7, Endpoint: endpoint}, now)
	}
	tally.Clear(7, now)
	if tally.ShouldRefuse(7, now) {
		t.Fatal("a request that ran clean is refused")
	}
}

// Guards against a tally that grows without bound.
func TestTallyIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	for i := range uint64(2 * maxTalliedRequests) {
		tally.Record(Crash{Fingerprint: i + 1, Endpoint: "a/1"}, now)
	}
	if len(tally.requests) > maxTalliedRequests {
		t.Fatalf("%d requests are held", len(tally.requests))
	}
}

// Guards against a tally that is full of interrupted requests and no longer counts the crashes of a new one.
func TestCrashesAreCountedBesideManyInterruptedRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	for i := range uint64(2 * maxTalliedRequests) {
		tally.Record(Crash{Fingerprint: i + 1, Endpoint: "a/1"}, now)
	}
	const crashing = 1 << 40
	for _, endpoint := range []string{"b/1", "c/1", "d/1"} {
		now = now.Add(time.Second)
		tally.Record(Crash{Fingerprint: crashing, Endpoint: endpoint}, now)
	}
	if !tally.ShouldRefuse(crashing, now) {
		t.Fatal("the request is not refused after three crashes")
	}
}

// Guards against tallies that stay different after they exchanged their crashes, so that some VMs refuse a request
// and others send it.
func TestTalliesThatExchangeCrashesBecomeEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tallies := []*Tally{NewTally(), NewTally(), NewTally()}
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			tally := tallies[rapid.IntRange(0, len(tallies)-1).Draw(t, "tally")]
			fingerprint := rapid.Uint64Range(1, 4).Draw(t, "request") | rapid.SampledFrom([]uint64{0, partBit}).Draw(t, "part")
			if rapid.IntRange(0, 4).Draw(t, "clean") == 0 {
				tally.Clear(fingerprint, now)
				continue
			}
			endpoint := rapid.StringMatching(`[a-f]/1`).Draw(t, "endpoint")
			tally.Record(Crash{Fingerprint: fingerprint, Endpoint: endpoint}, now)
		}
		for _, from := range tallies {
			for _, to := range tallies {
				for _, c := range from.TopCrashes(maxTalliedRequests) {
					to.Record(c, now)
				}
			}
		}
		for _, tally := range tallies[1:] {
			if tally.RefusedChecksum() != tallies[0].RefusedChecksum() {
				t.Fatal("tallies differ in the checksum of their refused requests")
			}
			for id := range uint64(5) {
				for _, fingerprint := range []uint64{id, PartFingerprint(id)} {
					if tally.ShouldRefuse(fingerprint, now) != tallies[0].ShouldRefuse(fingerprint, now) {
						t.Fatalf("only some tallies refuse %x", fingerprint)
					}
				}
			}
		}
	})
}

// Guards against a refused request that keeps coming and may crash three more endpoints each time its first crashes
// are an hour old.
func TestRefusedRequestStaysRefusedWhileItComesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	for _, endpoint := range []string{"a/1", "b/1", "c/1"} {
		tally.Record(Crash{Fingerprint: 7, Endpoint: endpoint}, now)
	}
	for range 10 {
		now = now.Add(refusedRetention / 2)
		if !tally.ShouldRefuse(7, now) {
			t.Fatal("the request is no longer refused")
		}
	}
}

// Guards against an innocent request that was in flight at every crash and whose endpoints grow without bound.
func TestEndpointsOfARequestAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	tally := NewTally()
	for i := range 10 * maxEndpointsPerRequest {
		tally.Record(Crash{Fingerprint: 7, Endpoint: strconv.Itoa(i)}, now)
		tally.Clear(7, now)
	}
	if n := len(tally.CrashesOf(7)); n > maxEndpointsPerRequest {
		t.Fatalf("%d endpoints are held", n)
	}
	for i := range endpointsToRefuse {
		tally.Record(Crash{Fingerprint: 7, Endpoint: "new " + strconv.Itoa(i)}, now)
	}
	if !tally.ShouldRefuse(7, now) {
		t.Fatal("later crashes of the request do not count")
	}
}
