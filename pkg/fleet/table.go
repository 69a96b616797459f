// Package fleet keeps the list of endpoints as the platform publishes it.
//
// Every change has the offset of its record in the platform's log. A change with an offset that is not newer than
// the last one of the same endpoint is ignored, so changes may come from the log, from a listing and from peers in
// any order and any number of times. The package holds no I/O; time is an argument.
package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ReturnGrace is the time after the end of an outage of the store within which endpoints whose registration expired in it
	// register again. A removal in this time takes effect at its end.
	ReturnGrace = 2200 * time.Millisecond
	// keepRemoved is the time for which a removed endpoint's offset is remembered. It is longer than a change can
	// be under way through peers.
	keepRemoved = 60 * time.Second
)

// Endpoint is one registered endpoint.
type Endpoint struct {
	// ID is unique among all endpoints ever registered, but an endpoint may start again under it.
	ID string
	// Born is the start of the endpoint, in Unix milliseconds by its own clock. Zero where it is not reported.
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Ready is false for an endpoint that is leaving.
	Ready bool
	// Versions holds the weight version of each model.
	Versions map[string]int64
}

// entry is the newest knowledge on one id.
type entry struct {
	offset int64
	// endpoint is nil where the newest record is unreadable.
	endpoint *Endpoint
	removed  bool
	// removeAt is set while a removal waits for the end of the grace.
	removeAt  time.Time
	removedAt time.Time
	// left tells that a peer saw the endpoint leave by the record at leftOffset.
	left       bool
	leftOffset int64
	// misdirected tells that another endpoint answers at the address.
	misdirected bool
	// draining tells that the start of the endpoint at drainingBorn said in an answer that it leaves. Later records of
	// that start do not take it back, since some endpoints leave without a record.
	draining     bool
	drainingBorn int64
}

func (e *entry) usable() bool {
	return !e.removed && e.endpoint != nil && e.endpoint.Ready && !e.left && !e.misdirected && !e.saysDraining()
}

// saysDraining tells that the endpoint, as registered, said in an answer that it leaves.
func (e *entry) saysDraining() bool {
	return e.draining && e.endpoint != nil && e.endpoint.Born == e.drainingBorn
}

// Change tells what an update did.
type Change int

const (
	// Unchanged means that the update was old or equal in all that matters.
	Unchanged Change = iota
	// Joined means that an endpoint became usable.
	Joined
	// Left means that an endpoint is no longer usable.
	Left
	// Updated means that an endpoint's data changed.
	Updated
)

// Departure names an endpoint that is leaving or gone.
type Departure struct {
	ID string
	// Offset is the newest record on the endpoint when it left.
	Offset int64
	// Draining tells that the start of the endpoint at Born said in an answer that it leaves.
	Draining bool
	Born     int64
	// At is when this VM learned of it.
	At time.Time
}

// Table holds the endpoints. It is safe for one goroutine.
type Table struct {
	entries    map[string]*entry
	graceEnds  time.Time
	departures []Departure
	byService  map[string][]*Endpoint
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*entry{}}
}

// Returned tells that the store answers again after an outage.
func (t *Table) Returned(now time.Time) {
	t.graceEnds = now.Add(ReturnGrace)
}

// Apply takes the record of an endpoint. A nil endpoint is an unreadable record, which names no endpoint to use.
func (t *Table) Apply(id string, offset int64, endpoint *Endpoint, now time.Time) Change {
	e, known := t.entries[id]
	if known && offset <= e.offset {
		return Unchanged
	}
	if !known {
		e = &entry{}
		t.entries[id] = e
	}
	was := known && e.usable()
	old := e.endpoint
	e.offset = offset
	e.endpoint = endpoint
	e.removed = false
	e.removeAt = time.Time{}
	e.left = e.left && offset <= e.leftOffset
	if old == nil || endpoint == nil || endpoint.Born != old.Born || endpoint.Address != old.Address {
		e.misdirected = false
	}
	t.byService = nil
	return t.changed(id, e, was, now)
}

// Remove takes a removal record.
func (t *Table) Remove(id string, offset int64, now time.Time) Change {
	e, known := t.entries[id]
	if !known {
		t.entries[id] = &entry{offset: offset, removed: true, removedAt: now}
		return Unchanged
	}
	if offset <= e.offset {
		return Unchanged
	}
	e.offset = offset
	return t.remove(id, e, now)
}

func (t *Table) remove(id string, e *entry, now time.Time) Change {
	if now.Before(t.graceEnds) && e.usable() {
		e.removeAt = t.graceEnds
		return Unchanged
	}
	was := e.usable()
	e.removed = true
	e.removedAt = now
	e.removeAt = time.Time{}
	t.byService = nil
	return t.changed(id, e, was, now)
}

func (t *Table) changed(id string, e *entry, was bool, now time.Time) Change {
	is := e.usable()
	switch {
	case is && !was:
		return Joined
	case was && !is:
		t.depart(id, e, now)
		return Left
	case is:
		return Updated
	}
	return Unchanged
}

func (t *Table) depart(id string, e *entry, now time.Time) {
	d := Departure{ID: id, Offset: e.offset, At: now}
	if e.saysDraining() {
		d.Draining, d.Born = true, e.drainingBorn
	}
	t.departures = append(t.departures, d)
}

// Missing removes the endpoints that a complete listing did not show. End is the end of the log before the listing
// began: endpoints with newer records may have joined since.
func (t *Table) Missing(listed map[string]bool, end int64, now time.Time) []string {
	var gone []string
	for id, e := range t.entries {
		if e.removed || listed[id] || e.offset >= end {
			continue
		}
		if t.remove(id, e, now) == Left {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// Expire carries out removals that waited for the end of the grace and forgets old ones. It returns the ids of the
// endpoints that left.
func (t *Table) Expire(now time.Time) []string {
	var gone []string
	for id, e := range t.entries {
		switch {
		case !e.removeAt.IsZero() && !now.Before(e.removeAt):
			if t.remove(id, e, now) == Left {
				gone = append(gone, id)
			}
		case e.removed && now.Sub(e.removedAt) > keepRemoved:
			delete(t.entries, id)
		}
	}
	for len(t.departures) > 0 && now.Sub(t.departures[0].At) > keepRemoved {
		t.departures = t.departures[1:]
	}
	slices.Sort(gone)
	return gone
}

// Leave applies a peer's report that an endpoint left by the record at offset. It reports whether the endpoint was usable.
func (t *Table) Leave(id string, offset int64, now time.Time) bool {
	e, known := t.entries[id]
	if !known || e.offset > offset || !e.usable() {
		return false
	}
	e.left = true
	e.leftOffset = offset
	t.byService = nil
	t.depart(id, e, now)
	return true
}

// Drain tells that an endpoint said in an answer that it leaves. It stays out of use until it starts again. Drain reports
// whether the endpoint was usable.
func (t *Table) Drain(id string, born int64, now time.Time) bool {
	e, known := t.entries[id]
	if !known || e.draining && e.drainingBorn >= born {
		return false
	}
	was := e.usable()
	e.draining, e.drainingBorn = true, born
	t.byService = nil
	if !was || e.usable() {
		return false
	}
	t.depart(id, e, now)
	return true
}

// Draining returns the registered endpoints that said in an answer that they leave, as departures.
func (t *Table) Draining() []Departure {
	var out []Departure
	for id, e := range t.entries {
		if !e.removed && e.saysDraining() {
			out = append(out, Departure{ID: id, Offset: e.offset, Draining: true, Born: e.drainingBorn})
		}
	}
	return out
}

// Misdirect tells that another endpoint answered at the address of id. The entry is out of use until it changes its
// address or start.
func (t *Table) Misdirect(id string, born int64) {
	e, known := t.entries[id]
	if !known || e.endpoint == nil || e.endpoint.Born != born {
		return
	}
	e.misdirected = true
	t.byService = nil
}

// Departures returns what left after the given time, oldest first.
func (t *Table) Departures(after time.Time) []Departure {
	i := slices.IndexFunc(t.departures, func(d Departure) bool { return d.At.After(after) })
	if i < 0 {
		return nil
	}
	return t.departures[i:]
}

// Ended reports whether a start of an endpoint is known to have ended without having said that it leaves: its registration
// was removed, or a later start registered. It forgets that some time after.
func (t *Table) Ended(id string, born int64) bool {
	e := t.entries[id]
	if e == nil || e.endpoint == nil {
		return false
	}
	if e.endpoint.Born > born {
		return true
	}
	return e.removed && e.endpoint.Born == born && e.endpoint.Ready && !e.saysDraining()
}

// Get returns the usable endpoint with the id, or nil.
func (t *Table) Get(id string) *Endpoint {
	e := t.entries[id]
	if e == nil || !e.usable() {
		return nil
	}
	return e.endpoint
}

// Usable returns the usable endpoints of a service, ordered by id. The slice must not be modified.
func (t *Table) Usable(service string) []*Endpoint {
	if t.byService == nil {
		t.index()
	}
	return t.byService[service]
}

func (t *Table) index() {
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
