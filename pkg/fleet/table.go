// Package fleet maintains the list of endpoints that the platform publishes.
//
// Every change has the position of its record in the platform's log. Within an era of the log a change is ignored unless
// its position is after the last one of the same endpoint, so changes may come from the log, from a listing and from
// peers, in any order and any number of times. A store that is restored lists old records at positions of a new era, so
// across eras the endpoints' own counts decide (see HeartbeatCount). The package does no I/O; the time is passed in.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/logpos"
)

const (
	// RecoveryGrace is the time after an outage of the store within which endpoints whose registration expired during
	// the outage register again. A removal in this time takes effect at its end.
	RecoveryGrace = 2200 * time.Millisecond
	// removedRetention is the time for which the offset of a removed endpoint is kept. It is longer than a change can
	// be in transit through peers.
	removedRetention = 60 * time.Second
)

// Endpoint is one registered endpoint.
type Endpoint struct {
	// ID is unique among all endpoints ever registered, but an endpoint may start again under the same ID.
	ID string
	// StartTimeMs is the start of the endpoint, in Unix milliseconds by its own clock, or zero if it is not reported.
	StartTimeMs int64
	Service     string
	// Software is the version of the endpoint's software. A stream goes on only at the version that began it.
	Software   string
	Address    string
	DataCentre string
	Slots      int
	// ColdRemaining is the time after the registration for which the endpoint says that it answers slowly since it began lately.
	ColdRemaining time.Duration
	// WarmAt is when that time ends, by the clock of this VM. Zero where it is not known.
	WarmAt time.Time
	// Heartbeat is the number of this registration since the start, or zero if it is not reported.
	Heartbeat int64
	// Ready is false for an endpoint that is leaving.
	Ready bool
	// Versions contains the weight version by model.
	Versions map[string]int64
}

// entry is the newest state of one endpoint ID.
type entry struct {
	// position is the last one at which a record of the endpoint was seen, whether it was newer or not.
	position logpos.Position
	// count is the highest one known of the endpoint.
	count HeartbeatCount
	// endpoint is nil if the newest record is unreadable.
	endpoint *Endpoint
	removed  bool
	// removalDueAt is the end of the grace while a removal waits for it, or zero.
	removalDueAt time.Time
	removedAt    time.Time
	// departed reports whether a peer reported the departure, after which there was no newer record.
	departed  bool
	departure Departure
	// misdirected reports whether another endpoint answers at the address.
	misdirected bool
	// draining reports whether the process of the endpoint that started at drainingStartMs announced in an answer that it
	// is leaving. Later records of the same start do not revoke the announcement, since some endpoints leave without a
	// record.
	draining        bool
	drainingStartMs int64
}

// usable reports whether work may be sent to the endpoint.
func (e *entry) usable() bool {
	return !e.removed && e.endpoint != nil && e.endpoint.Ready && !e.departed && !e.misdirected && !e.announcedLeaving()
}

// announcedLeaving reports whether the endpoint, with its registered start, announced in an answer that it is leaving.
func (e *entry) announcedLeaving() bool {
	return e.draining && e.endpoint != nil && e.endpoint.StartTimeMs == e.drainingStartMs
}

// Change is the effect of an update.
type Change int

const (
	// Ignored means that the update is not newer than what is known.
	Ignored Change = iota
	// Unchanged means that the update changed nothing about a usable endpoint.
	Unchanged
	// Joined means that an endpoint became usable.
	Joined
	// Left means that an endpoint is no longer usable.
	Left
	// Updated means that the data of a usable endpoint was replaced.
	Updated
)

// Table holds the endpoints. It is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
	// era is the newest one of which a record was seen.
	era         int64
	graceEndsAt time.Time
	departures  []Departure
	byService   map[string][]*Endpoint
	// ended are the newest starts, by ID, whose processes have ended.
	ended map[string]EndedStart
	// completeAt is the last time at which the list was known to be complete, and completeSince the first one after an outage of
	// the store.
	completeAt, completeSince time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*entry{}, ended: map[string]EndedStart{}}
}

// StoreRecovered records that the store answers again after an outage, and starts the grace.
func (t *Table) StoreRecovered(now time.Time) {
	t.graceEndsAt = now.Add(RecoveryGrace)
}

// Apply applies the record of an endpoint. A nil endpoint stands for an unreadable record and makes the entry unusable.
func (t *Table) Apply(id string, at logpos.Position, endpoint *Endpoint, now time.Time) Change {
	e, known := t.entries[id]
	if !t.supersedes(e, at, endpoint.heartbeatCount()) {
		if known {
			e.position = logpos.Max(e.position, at)
		}
		return Ignored
	}
	if !known {
		e = &entry{}
		t.entries[id] = e
	}
	was := known && e.usable()
	old := e.endpoint
	e.see(at, endpoint.heartbeatCount())
	e.endpoint = endpoint
	e.removed = false
	e.removalDueAt = time.Time{}
	e.departed = e.departed && !e.isNewerThan(e.departure)
	if old == nil || endpoint == nil || endpoint.StartTimeMs != old.StartTimeMs || endpoint.Address != old.Address {
		e.misdirected = false
	}
	t.byService = nil
	t.era = max(t.era, at.Era)
	return t.changeFrom(id, e, was, now)
}

// supersedes reports whether a record with the given position and count is newer than what an entry, or nil, holds.
func (t *Table) supersedes(e *entry, at logpos.Position, count HeartbeatCount) bool {
	switch {
	case at.Era < t.era && (e == nil || e.removed || !e.removalDueAt.IsZero()):
		// The record was lost in a restore. Its endpoint registers again if it is alive, and no record may ever remove it if
		// it is not.
		return false
	case e == nil:
		return true
	case at.Era == e.position.Era:
		return at.Offset > e.position.Offset
	case count.comparable(e.count):
		return count.after(e.count)
	}
	return at.Era > e.position.Era
}

// see records the position and the count of a newer record.
func (e *entry) see(at logpos.Position, count HeartbeatCount) {
	e.position = logpos.Max(e.position, at)
	if count.reported() {
		e.count = count
	}
}

// Remove applies a removal record.
func (t *Table) Remove(id string, at logpos.Position, now time.Time) Change {
	e, known := t.entries[id]
	if known && !at.After(e.position) {
		return Ignored
	}
	t.era = max(t.era, at.Era)
	if !known {
		t.entries[id] = &entry{position: at, removed: true, removedAt: now}
		return Unchanged
	}
	e.position = at
	return t.remove(id, e, now)
}

// remove removes an entry, or schedules the removal of a usable one during the grace.
func (t *Table) remove(id string, e *entry, now time.Time) Change {
	if now.Before(t.graceEndsAt) && e.usable() {
		e.removalDueAt = t.graceEndsAt
		return Unchanged
	}
	was := e.usable()
	e.removed = true
	e.removedAt = now
	e.removalDueAt = time.Time{}
	t.byService = nil
	return t.changeFrom(id, e, was, now)
}

// changeFrom returns the effect of an update on an entry that was usable or not before, and records a departure.
func (t *Table) changeFrom(id string, e *entry, was bool, now time.Time) Change {
	is := e.usable()
	switch {
	case is && !was:
		return Joined
	case was && !is:
		t.recordDeparture(id, e, now)
		return Left
	case is:
		return Updated
	}
	return Unchanged
}

// RemoveUnlisted removes the endpoints that a complete listing did not show and returns the IDs of those that left,
// sorted. end is the end of the log before the listing began: endpoints with newer records may have joined since.
func (t *Table) RemoveUnlisted(listed map[string]bool, end logpos.Position, now time.Time) []string {
	t.era = max(t.era, end.Era)
	var gone []string
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		e := t.entries[id]
		if e.removed || listed[id] || !e.position.Before(end) {
			continue
		}
		e.position = logpos.Max(e.position, end.Previous())
		if t.remove(id, e, now) == Left {
			gone = append(gone, id)
		}
	}
	return gone
}

// Expire carries out removals that waited for the end of the grace, and drops old entries and departures. It returns
// the IDs of the endpoints that left, sorted.
func (t *Table) Expire(now time.Time) []string {
	t.expireEnded()
	var due, gone []string
	for id, e := range t.entries {
		switch {
		case !e.removalDueAt.IsZero() && !now.Before(e.removalDueAt):
			due = append(due, id)
		case e.removed && now.Sub(e.removedAt) > removedRetention:
			delete(t.entries, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		if t.remove(id, t.entries[id], now) == Left {
			gone = append(gone, id)
		}
	}
	for len(t.departures) > 0 && now.Sub(t.departures[0].At) > removedRetention {
		t.departures = t.departures[1:]
	}
	return gone
}

// MarkDraining records that an endpoint announced in an answer that it is leaving. The endpoint stays out of use until
// it starts again. MarkDraining reports whether the endpoint was usable.
func (t *Table) MarkDraining(id string, startTimeMs int64, now time.Time) bool {
	e, known := t.entries[id]
	if !known || e.draining && e.drainingStartMs >= startTimeMs {
		return false
	}
	was := e.usable()
	e.draining, e.drainingStartMs = true, startTimeMs
	t.byService = nil
	if !was || e.usable() {
		return false
	}
	t.recordDeparture(id, e, now)
	return true
}

// MarkMisdirected records that another endpoint answered at the address of id. The entry stays out of use until its
// address or start changes.
func (t *Table) MarkMisdirected(id string, startTimeMs int64) {
	e, known := t.entries[id]
	if !known || e.endpoint == nil || e.endpoint.StartTimeMs != startTimeMs {
		return
	}
	e.misdirected = true
	t.byService = nil
}

// EndedUnannounced reports whether the process of an endpoint with the given start has ended without an announcement
// that it was leaving: its registration was removed, or a later start registered. The information is dropped some time
// after the removal.
func (t *Table) EndedUnannounced(id string, startTimeMs int64) bool {
	e := t.entries[id]
	if e == nil || e.endpoint == nil {
		return false
	}
	if e.endpoint.StartTimeMs > startTimeMs {
		return true
	}
	return e.removed && e.endpoint.StartTimeMs == startTimeMs && e.endpoint.Ready && !e.announcedLeaving()
}

// Get returns the usable endpoint with the ID, or nil.
func (t *Table) Get(id string) *Endpoint {
	e := t.entries[id]
	if e == nil || !e.usable() {
		return nil
	}
	return e.endpoint
}

// Usable returns the usable endpoints of a service, ordered by ID. The slice must not be modified.
func (t *Table) Usable(service string) []*Endpoint {
	if t.byService == nil {
		t.rebuildIndex()
	}
	return t.byService[service]
}

// rebuildIndex rebuilds the usable endpoints by service.
func (t *Table) rebuildIndex() {
	t.byService = map[string][]*Endpoint{}
	for _, e := range t.entries {
		if e.usable() {
			t.byService[e.endpoint.Service] = append(t.byService[e.endpoint.Service], e.endpoint)
		}
	}
	for _, list := range t.byService {
		slices.SortFunc(list, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
}
