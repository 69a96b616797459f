package fleet

import (
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/logpos"
)

// Guards against an endpoint that stays out of use after it registered again, or for good after a report that concerned an
// earlier start.
func TestEndedStartCountsUntilTheNextRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	register := func(table *Table, start, offset int64) *Endpoint {
		table.Apply("e", logpos.Position{Offset: offset}, &Endpoint{ID: "e", Ready: true, StartTimeMs: start}, now)
		return table.Get("e")
	}
	table := NewTable()
	first := register(table, 1, 0)
	if !table.MarkEnded(EndedStart{ID: "e", StartTimeMs: 1, At: now}) || !table.HasEnded(first) {
		t.Fatal("a start that ended does not count as ended")
	}
	if table.MarkEnded(EndedStart{ID: "e", StartTimeMs: 1, At: now}) {
		t.Error("a known end is new")
	}
	complete := func(from, to time.Duration) {
		for d := from; d <= to; d += time.Second {
			table.ListComplete(now.Add(d))
		}
	}
	complete(0, endedStartValidity-time.Second)
	if !table.HasEnded(first) {
		t.Error("an end is forgotten before the endpoint has registered again")
	}
	complete(endedStartValidity, endedStartValidity)
	if table.HasEnded(first) {
		t.Error("an end without a new record counts for good")
	}
	if second := register(table, 2, 1); table.HasEnded(second) {
		t.Error("a new start counts as ended")
	}
	if table.MarkEnded(EndedStart{ID: "e", StartTimeMs: 1, At: now}) {
		t.Error("a late report of an earlier start changes the new one")
	}
	table.Expire(now.Add(endedStartValidity))
	if len(table.ended) != 0 {
		t.Error("ends are kept for good")
	}
}

// Guards against an endpoint that counts as its earlier process, with other software, since its end is forgotten while the store
// is away and cannot tell of the new one (review/11: 27 of 36 streams were joined from two versions).
func TestEndedStartCountsThroughAnOutageOfTheStore(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.Apply("e", logpos.Position{}, &Endpoint{ID: "e", Ready: true, StartTimeMs: 1}, now)
	table.ListComplete(now)
	table.MarkEnded(EndedStart{ID: "e", StartTimeMs: 1, At: now.Add(200 * time.Millisecond)})
	ended := func() bool { return table.HasEnded(table.Get("e")) }
	const back = 20 * time.Second
	table.Expire(now.Add(back))
	if !ended() {
		t.Error("the end is forgotten during the outage")
	}
	for d := back; d < back+endedStartValidity; d += time.Second {
		table.ListComplete(now.Add(d))
		if !ended() {
			t.Fatalf("the end is forgotten %v after the store is back", d-back)
		}
	}
	table.ListComplete(now.Add(back + endedStartValidity))
	if ended() {
		t.Error("the end counts for good")
	}
}
