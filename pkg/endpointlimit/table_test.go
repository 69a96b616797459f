package endpointlimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

var (
	testEpoch    = time.Unix(1e9, 0)
	testEndpoint = fleet.Incarnation{ID: "e", StartTimeMs: 7}
)

// at returns a time some milliseconds after the start of a test.
func at(ms int) time.Time {
	return testEpoch.Add(time.Duration(ms) * time.Millisecond)
}

// observe applies an answer that arrives at one time to a request that was sent at another, both in milliseconds.
func observe(t *Table, advertisement Advertisement, sentMs, nowMs int) Change {
	return t.Observe(Answer{Endpoint: testEndpoint, Limit: advertisement, SentAt: at(sentMs), Conclusive: true}, at(nowMs))
}

// named returns a advertisement that advertises a limit.
func advertised(perSecond float64) Advertisement {
	return Advertisement{Kind: Advertised, PerSecond: perSecond}
}

// limit returns the limit in force, or -1.
func (t *Table) limit() float64 {
	if e := t.limited(testEndpoint); e != nil {
		return e.PerSecond
	}
	return -1
}

// Guards against answers that arrive out of order: an answer to a request from before the limit was advertised must not
// end it, and one from before a change must not loosen it.
func TestReorderedAnswersNeverLoosenALimit(t *testing.T) {
	table := New("vm")
	observe(table, advertised(2), 0, 100)
	observe(table, Advertisement{}, 50, 120)
	if got := table.limit(); got != 2 {
		t.Errorf("an answer to an earlier request ended the limit: %v", got)
	}
	observe(table, advertised(5), 60, 130)
	if got := table.limit(); got != 2 {
		t.Errorf("an answer to an earlier request loosened the limit to %v", got)
	}
	observe(table, advertised(1), 70, 140)
	if got := table.limit(); got != 1 {
		t.Errorf("limit %v, want the stricter one", got)
	}
	observe(table, advertised(5), 150, 200)
	if got := table.limit(); got != 5 {
		t.Errorf("limit %v, want the new one", got)
	}
	observe(table, Advertisement{}, 180, 250)
	if got := table.limit(); got != 5 {
		t.Errorf("an answer to a request from before the last naming ended the limit: %v", got)
	}
	observe(table, Advertisement{}, 260, 300)
	if got := table.limit(); got != -1 {
		t.Errorf("limit %v after an answer without one", got)
	}
	observe(table, advertised(3), 255, 310)
	if got := table.limit(); got != 3 {
		t.Errorf("limit %v, want the one advertised last", got)
	}
}

// Guards against a limit that ends without an answer: by time, by a malformed value, or by a refusal, which may lack it.
func TestLimitHoldsUntilAnAnswerEndsIt(t *testing.T) {
	table := New("vm")
	observe(table, advertised(2), 0, 100)
	observe(table, Advertisement{Kind: Malformed}, 200, 300)
	table.Observe(Answer{Endpoint: testEndpoint, SentAt: at(400)}, at(500))
	day := 24 * int(time.Hour/time.Millisecond)
	table.Expire(func(string) (int64, bool) { return testEndpoint.StartTimeMs, true }, at(day))
	if got := table.limit(); got != 2 {
		t.Fatalf("limit %v, want 2", got)
	}
	if got := table.Reports(true, at(day)); len(got) != 1 {
		t.Fatalf("reports %v", got)
	}
	changes := table.Expire(func(string) (int64, bool) { return testEndpoint.StartTimeMs + 1, true }, at(day))
	if len(changes) != 1 || table.limit() != -1 {
		t.Fatalf("a new start of the endpoint did not end the limit: %v", changes)
	}
	if table.Observe(Answer{Endpoint: testEndpoint, Limit: advertised(2)}, at(day)); table.limit() != 2 {
		t.Fatal("a limit cannot be advertised again")
	}
}

// Guards against an end reported by a peer that overrides an advertisement of the same moment.
func TestAdvertisementOutlastsAReportedEnd(t *testing.T) {
	table := New("vm")
	observe(table, advertised(2), 0, 100)
	end := State{Endpoint: testEndpoint, Revision: 2}
	observe(table, advertised(2), 1000, 1100)
	table.Merge(end, at(1500))
	if got := table.limit(); got != 2 {
		t.Fatalf("limit %v, want 2", got)
	}
	if reports := table.Reports(true, at(1500)); len(reports) != 1 || reports[0].Revision <= end.Revision {
		t.Fatalf("reports %v", reports)
	}
	end.Revision = 9
	table.Merge(end, at(5000))
	if got := table.limit(); got != -1 {
		t.Fatalf("limit %v, want its end", got)
	}
}

// Guards against a VM that never learns of an end because it was partitioned: peers correct an older state.
func TestOlderStateOfAPeerIsCorrected(t *testing.T) {
	table := New("vm")
	observe(table, advertised(2), 0, 100)
	observe(table, Advertisement{}, 200, 300)
	if got := table.Reports(true, at(60_000)); len(got) != 0 {
		t.Fatalf("reports %v long after the end", got)
	}
	table.Merge(State{Endpoint: testEndpoint, Revision: 1, Limited: true, PerSecond: 2}, at(60_000))
	if got := table.Reports(true, at(60_000)); len(got) != 1 || got[0].Limited {
		t.Fatalf("reports %v", got)
	}
}

// Guards against digests that grow without bound when many endpoints are limited, and against limits that are then never
// reported.
func TestReportsTakeTurns(t *testing.T) {
	table := New("vm")
	const endpoints = 5*maxReports/2 + 1
	for i := range endpoints {
		table.Merge(State{Endpoint: fleet.Incarnation{ID: fmt.Sprint("e", i)}, Revision: 1, Limited: true, PerSecond: 2}, at(0))
	}
	observe(table, advertised(1), 0, 0)
	reported := map[string]bool{}
	for range 3 {
		reports := table.Reports(true, at(100))
		if len(reports) > maxReports || reports[0].Endpoint != testEndpoint {
			t.Fatalf("%d reports, first %v", len(reports), reports[0])
		}
		for _, s := range reports {
			reported[s.Endpoint.ID] = true
		}
	}
	if len(reported) != endpoints+1 {
		t.Errorf("%d of %d limits were reported", len(reported), endpoints+1)
	}
}

// Guards against VMs that hold different limits after they exchanged all they know, in whatever order.
func TestExchangedLimitsBecomeEqual(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tables := []*Table{New("a"), New("b"), New("c")}
		now := 0
		rt.Repeat(map[string]func(*rapid.T){
			"answer": func(rt *rapid.T) {
				now += rapid.IntRange(1, 3000).Draw(rt, "pause")
				advertisement := Advertisement{}
				if rapid.Bool().Draw(rt, "advertised") {
					advertisement = advertised(rapid.Float64Range(0, 9).Draw(rt, "limit"))
				}
				observe(rapid.SampledFrom(tables).Draw(rt, "table"), advertisement, now-rapid.IntRange(0, 500).Draw(rt, "took"), now)
			},
			"report": func(rt *rapid.T) {
				from, to := rapid.SampledFrom(tables).Draw(rt, "from"), rapid.SampledFrom(tables).Draw(rt, "to")
				for _, s := range from.States() {
					to.Merge(s, at(now))
				}
			},
		})
		now += int(maxReportDelay / time.Millisecond)
		for range len(tables) {
			for _, from := range tables {
				for _, to := range tables {
					for _, s := range from.States() {
						to.Merge(s, at(now))
					}
				}
			}
		}
		if a, b, c := tables[0].limit(), tables[1].limit(), tables[2].limit(); a != b || b != c {
			rt.Fatalf("limits %v, %v, %v", a, b, c)
		}
	})
}

// Guards against values that no arithmetic survives, as a peer may report them.
func TestOddLimitsAreHarmless(t *testing.T) {
	for _, perSecond := range []float64{math.NaN(), math.Inf(1), -1, 0, 1e-300, 1e300, math.MaxFloat64} {
		table := New("vm")
		table.SetMembers(Members{Owners: []string{"vm"}, Live: 1, Known: 1}, at(0))
		table.Merge(State{Endpoint: testEndpoint, Revision: 1, Limited: true, PerSecond: perSecond}, at(0))
		for ms := 0; ms < 60_000; ms += 500 {
			next := table.NextSend(testEndpoint, at(ms))
			if wait := next.Sub(at(ms)); wait < 0 || wait > maxWait+handoverDelay {
				t.Fatalf("limit %v: wait %v at %d ms", perSecond, wait, ms)
			}
			if !next.After(at(ms)) {
				table.RecordSend(testEndpoint, at(ms))
			}
		}
	}
}

// Guards against an endpoint that accepts no requests and is never probed for the end of its limit, and against one that
// is probed too often.
func TestEndpointWithLimitZeroIsProbed(t *testing.T) {
	table := New("vm")
	table.SetMembers(Members{Owners: []string{"vm"}, Live: 1, Known: 1}, at(0))
	observe(table, advertised(0), 0, 0)
	sends := 0
	for ms := 0; ms < 60_000; ms += 10 {
		if !table.NextSend(testEndpoint, at(ms)).After(at(ms)) {
			table.RecordSend(testEndpoint, at(ms))
			sends++
		}
	}
	if sends < 4 || sends > 6 {
		t.Fatalf("%d requests in a minute", sends)
	}
}

// Guards against a VM without callers that owns a part of a limit, which would be lost.
func TestVMWithoutCallersOwnsNothing(t *testing.T) {
	table := New("vm")
	observe(table, advertised(2), 0, 0)
	table.SetMembers(Members{Owners: []string{"other"}, Live: 2, Known: 2}, at(0))
	if u := table.Usage(); u.Owned != 0 || u.Limited != 1 {
		t.Fatalf("%+v", u)
	}
	if !table.NextSend(testEndpoint, at(5000)).After(at(5000)) {
		t.Fatal("a VM that owns nothing may send")
	}
}

// Guards against a VM that becomes an owner and sends before the previous owner can know of it, or with tokens of an
// earlier time.
func TestNewOwnerWaits(t *testing.T) {
	const ownerLearnsIn = 2000 // milliseconds until the previous owner knows of the change
	table := New("vm")
	alone := Members{Owners: []string{"vm"}, Live: 1, Known: 1}
	table.SetMembers(alone, at(0))
	observe(table, advertised(4), 0, 0)
	for _, becomesOwner := range []int{0, 100_000} {
		table.SetMembers(Members{Live: 1, Known: 1}, at(becomesOwner))
		table.SetMembers(alone, at(becomesOwner))
		first := becomesOwner
		for !table.NextSend(testEndpoint, at(first)).Equal(at(first)) {
			first += 10
		}
		if first < becomesOwner+ownerLearnsIn {
			t.Errorf("the first request is sent after %d ms", first-becomesOwner)
		}
		table.RecordSend(testEndpoint, at(first))
		if next := table.NextSend(testEndpoint, at(first)); next.Sub(at(first)) < 200*time.Millisecond {
			t.Errorf("the second request follows after %v", next.Sub(at(first)))
		}
	}
}
