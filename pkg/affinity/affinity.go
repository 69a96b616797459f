// Package affinity knows where each stream began, so that it goes on only there.
//
// What two software versions of a service write does not fit together. The caller of a stream that broke off may take it up
// at any VM, also when no VM that saw it begin runs any more. So the platform's store holds, for each process, the streams
// that it has under way at another version than the baseline of their service. A stream's record is stored before its first
// event is passed on; hence a stream that no record names began at the baseline. While a service has one version, nothing
// is written. A restore of the store loses records, so for a while after it a missing record says nothing, and the processes
// record the streams at all versions. The package does no I/O; the time is passed in.
package affinity

import (
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// StreamID identifies a stream by the caller's attempt that brought its first event.
type StreamID uint64

// IDOf returns the ID of the stream whose first event an attempt of a caller brought.
func IDOf(attempt string) StreamID {
	return StreamID(xxh3.HashString(attempt))
}

// String returns the ID in hexadecimal, as in records and logs.
func (id StreamID) String() string {
	return strconv.FormatUint(uint64(id), 16)
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// Software is the version of the software of the endpoint.
	Software string
}

// MaxRecordedStreams limits the streams in the record of one process.
const MaxRecordedStreams = 8192

// ownStream is a stream that this process has under way.
type ownStream struct {
	origin Origin
	// recorded is set if the record of this process names the stream, and needed if no event may be passed on before the
	// store holds that record: without it the stream would be taken to have begun elsewhere.
	recorded, needed bool
	// expiresAt is the time from which no caller can take the stream up any more.
	expiresAt time.Time
}

// Table holds the origins that one process knows. It is not safe for concurrent use.
type Table struct {
	streams  map[StreamID]ownStream
	recorded int
	// revision increases with each change that the record of this process must show before events are passed on, and
	// durable is the newest one that the store holds.
	revision, durable int64
	// stored are the streams that records of other processes name.
	stored    map[StreamID]storedOrigin
	baselines map[string]*baselineState
	versions  map[string]*versionsInService
	// formerBaselines are the versions, by service, of the baselines before the last restore of the store.
	formerBaselines map[string]string
	// restoredAt is when the store was last restored, or zero.
	restoredAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		streams: map[StreamID]ownStream{}, baselines: map[string]*baselineState{}, versions: map[string]*versionsInService{},
		formerBaselines: map[string]string{},
	}
}

// MustRecord reports whether the record of this process must name a stream that begins at an origin. Otherwise the stream
// would be taken to have begun at the baseline.
func (t *Table) MustRecord(o Origin) bool {
	b := t.baselines[o.Service]
	return b == nil || b.suspended || b.Software != o.Software
}

// IsFull reports whether the record of this process can name no further stream.
func (t *Table) IsFull() bool {
	return t.recorded >= MaxRecordedStreams
}

// Begin records that a stream is sent to an origin. It returns the revision of the record that names the stream, or zero if
// none does. Needed is set if the revision must be durable before an event is passed on. Always is set if the record must name
// the stream wherever it begins.
func (t *Table) Begin(id StreamID, o Origin, always bool, expiresAt time.Time) (revision int64, needed bool) {
	old, known := t.streams[id]
	// The store may hold a record that names another origin, at which the stream was tried before.
	replaces := known && old.recorded && (old.origin != o || old.needed)
	s := ownStream{origin: o, expiresAt: expiresAt, needed: always || t.MustRecord(o) || replaces}
	s.recorded = s.needed || known && old.recorded || t.shouldName(o.Service)
	t.streams[id] = s
	if s.recorded && !old.recorded {
		t.recorded++
	}
	if !s.recorded {
		return 0, false
	}
	if !known || old.origin != o || !old.recorded {
		t.revision++
	}
	return t.revision, s.needed
}

// endedRetention is the time for which a stream is kept after its end was passed on. The end may be lost on the way to the
// caller, who then notices the silence and takes the stream up.
const endedRetention = 10 * time.Second

// End records that a stream was passed on to its end.
func (t *Table) End(id StreamID, now time.Time) {
	s, known := t.streams[id]
	if !known {
		return
	}
	if end := now.Add(endedRetention); end.Before(s.expiresAt) {
		s.expiresAt = end
		t.streams[id] = s
	}
}

// Expire removes the streams that no caller can take up any more.
func (t *Table) Expire(now time.Time) {
	for id, s := range t.streams {
		if !now.After(s.expiresAt) {
			continue
		}
		delete(t.streams, id)
		if s.recorded {
			t.recorded--
		}
	}
}

// IsDurable reports whether the store holds a revision.
func (t *Table) IsDurable(revision int64) bool {
	return revision <= t.durable
}

// HasUnwritten reports whether the store lacks a revision.
func (t *Table) HasUnwritten() bool {
	return t.revision > t.durable
}

// Written records that the store holds a revision of this process's record.
func (t *Table) Written(revision int64) {
	t.durable = max(t.durable, revision)
}

// Own returns the origin of a stream that this process has under way.
func (t *Table) Own(id StreamID) (o Origin, known bool) {
	s, known := t.streams[id]
	return s.origin, known
}

// IsNamed reports whether this process, or a record of another one, names a stream.
func (t *Table) IsNamed(id StreamID) bool {
	_, own := t.streams[id]
	_, stored := t.stored[id]
	return own || stored
}

// LookupAny returns the origin of a stream that its caller does not identify. It is known if no record names a stream of
// the service at another version than that of unnamed ones.
func (t *Table) LookupAny(service string, now time.Time) (o Origin, known bool) {
	software, known := t.unnamedOrigin(service, now)
	if !known {
		return Origin{}, false
	}
	o = Origin{Service: service, Software: software}
	for _, s := range t.streams {
		if s.recorded && s.origin.Service == service && s.origin != o {
			return Origin{}, false
		}
	}
	for _, s := range t.stored {
		if s.origin.Service == service && s.origin != o {
			return Origin{}, false
		}
	}
	return o, true
}

// Lookup returns the origin of a stream on a route to a service, from this process, the records of the others as listed
// last, or the version at which unnamed streams began. It reports false if the origin is not known.
func (t *Table) Lookup(id StreamID, service string, now time.Time) (o Origin, known bool) {
	if o, known = t.Own(id); known {
		return o, true
	}
	if s, recorded := t.stored[id]; recorded {
		return s.origin, true
	}
	software, known := t.unnamedOrigin(service, now)
	return Origin{Service: service, Software: software}, known
}
