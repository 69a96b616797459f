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
	if !table.MarkEnded(EndedStart{ID: "e", StartTimeMs: 1, At: now}, now) || !table.HasEnded(first, now) {
		t.Fatal("a start that ended does not count as ended")
	}
	if table.MarkEnded(EndedStart{ID: "e", StartTimeMs: 1, At: now}, now) {
		t.Error("a known end is new")
	}
	if table.HasEnded(first, now.Add(endedStartValidity)) {
		t.Error("an end without a new record counts for good")
	}
	if second := register(table, 2, 1); table.HasEnded(second, now) {
		t.Error("a new start counts as ended")
	}
	if table.MarkEnded(EndedStart{ID: "e", StartTimeMs: 1, At: now}, now) {
		t.Error("a late report of an earlier start changes the new one")
	}
	table.Expire(now.Add(endedStartValidity))
	if len(table.ended) != 0 {
		t.Error("ends are kept for good")
	}
}
