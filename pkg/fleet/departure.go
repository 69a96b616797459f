package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/logpos"
)

// Departure identifies an endpoint that is leaving or gone.
type Departure struct {
	ID string
	// Position is that of the endpoint's newest record when it left.
	Position logpos.Position
	// Count is the endpoint's highest known count when it left.
	Count HeartbeatCount
	// Draining reports whether the process of the endpoint that started at Count.StartTimeMs announced in an answer that
	// it is leaving.
	Draining bool
	// At is the time at which this VM recorded the departure.
	At time.Time
}

// isNewerThan reports whether the newest record of an entry was written after a departure.
func (e *entry) isNewerThan(d Departure) bool {
	switch {
	case e.position.Era == d.Position.Era:
		return e.position.Offset > d.Position.Offset
	case e.count.comparable(d.Count):
		return e.count.after(d.Count)
	}
	return e.position.Era > d.Position.Era
}

// recordDeparture appends the departure of an entry.
func (t *Table) recordDeparture(id string, e *entry, now time.Time) {
	t.departures = append(t.departures, e.departureOf(id, now))
}

// departureOf returns the departure of an entry that left.
func (e *entry) departureOf(id string, now time.Time) Departure {
	d := Departure{ID: id, Position: e.position, Count: e.count, At: now}
	if e.announcedLeaving() {
		d.Draining, d.Count.StartTimeMs = true, e.drainingStartMs
	}
	return d
}

// ApplyDeparture applies a peer's report that an endpoint left. It reports whether the endpoint was usable.
func (t *Table) ApplyDeparture(d Departure, now time.Time) bool {
	e, known := t.entries[d.ID]
	if !known || e.isNewerThan(d) {
		return false
	}
	if d.Count.comparable(e.count) && d.Count.after(e.count) {
		// A copy of the store may list a record that this VM never saw, from before the departure.
		e.count = d.Count
	}
	if !e.usable() {
		return false
	}
	e.departed = true
	e.departure = d
	t.byService = nil
	t.recordDeparture(d.ID, e, now)
	return true
}

// Departures returns the departures after the given time, oldest first. The slice must not be modified.
func (t *Table) Departures(after time.Time) []Departure {
	i := slices.IndexFunc(t.departures, func(d Departure) bool { return d.At.After(after) })
	if i < 0 {
		return nil
	}
	return t.departures[i:]
}

// Draining returns, as departures, the registered endpoints that announced in an answer that they are leaving,
// ordered by ID.
func (t *Table) Draining() []Departure {
	var out []Departure
	for id, e := range t.entries {
		if !e.removed && e.announcedLeaving() {
			out = append(out, e.departureOf(id, time.Time{}))
		}
	}
	slices.SortFunc(out, func(a, b Departure) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
