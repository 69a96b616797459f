// Package affinity knows where each stream began, so that it goes on only there.
//
// What two software versions of a service write does not fit together. The caller of a stream that broke off may take it up
// at any VM, also when no VM that saw it begin runs any more. So the platform's store holds, for each process, the streams that it
// passed on at another version than the baseline of their service, for as long as their callers may take them up. A stream's record
// is stored before its first event is passed on; hence a stream that no record names began at the baseline. While a service has one
// version, nothing is written. A restore of the store loses records, so for a while after it a missing record says nothing, and the
// processes record the streams at all versions.
//
// A stream is known until its caller can no longer take it up, whatever becomes of it meanwhile: that a stream was written to
// its end says nothing of what its caller has read. The package does no I/O; the time is passed in.
package affinity

import (
	"maps"
	"slices"
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

// UnlimitedTakeUp is the time for which a stream is known whose caller states no time within which it takes the stream up. After
// it the origin of the stream is not known.
const UnlimitedTakeUp = 10 * time.Minute

// MaxRecordedStreams limits the streams that the records of one process name.
const MaxRecordedStreams = 65536

// maxStreams limits the streams that a process keeps. Of those beyond it, which no record has to name, a restore of the store
// leaves nothing.
const maxStreams = 2 * MaxRecordedStreams

// ownStream is a stream that a caller may take up and that this process has passed on.
type ownStream struct {
	origin Origin
	// segment is the record of this process that names the stream, or nil. revision is the one from which it does.
	segment  *segment
	revision int64
	// needed is set if no event may be passed on before the store holds that record: without it the stream would be taken to
	// have begun elsewhere.
	needed bool
	// expiresAt is the time from which the caller can't take the stream up any more.
	expiresAt time.Time
}

// Table holds the origins that one process knows. It is not safe for concurrent use.
type Table struct {
	streams map[StreamID]ownStream
	// segments are the records of this process.
	segments segments
	// ownTakeUp and listedTakeUp are the longest times for which callers take streams up, by this process's streams and by the
	// records of others, see lostRecordsPeriod.
	ownTakeUp, listedTakeUp time.Duration
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
		streams: map[StreamID]ownStream{}, segments: newSegments(), baselines: map[string]*baselineState{}, versions: map[string]*versionsInService{},
		formerBaselines: map[string]string{},
	}
}

// MustRecord reports whether the record of this process must name a stream that begins at an origin. Otherwise the stream
// would be taken to have begun at the baseline.
func (t *Table) MustRecord(o Origin) bool {
	b := t.baselines[o.Service]
	return b == nil || b.suspended || b.Software != o.Software
}

// IsFull reports whether the records of this process can name no further stream.
func (t *Table) IsFull() bool {
	return t.segments.streams >= MaxRecordedStreams
}

// Begun is a stream that is sent to an endpoint.
type Begun struct {
	ID     StreamID
	Origin Origin
	// Always is set if the record must name the stream wherever it begins.
	Always bool
	// ExpiresAt is the time until which the caller may take the stream up. Unlimited is set if the caller states none, so that
	// UnlimitedTakeUp is assumed.
	ExpiresAt time.Time
	Unlimited bool
}

// Begin records that a stream is sent to an origin. It returns whether its first event waits for the record that names the
// stream, and whether no event may be passed on before the store holds that record.
func (t *Table) Begin(b Begun, now time.Time) (waits, needed bool) {
	if !b.Unlimited {
		t.noteTakeUp(b.ExpiresAt.Sub(now))
	}
	old, known := t.streams[b.ID]
	wasRecorded := old.segment != nil
	// The store may hold a record that names another origin, at which the stream was tried before.
	replaces := wasRecorded && (old.origin != b.Origin || old.needed)
	s := ownStream{origin: b.Origin, expiresAt: b.ExpiresAt, segment: old.segment, revision: old.revision}
	s.needed = b.Always || t.MustRecord(b.Origin) || replaces
	if known && old.expiresAt.After(b.ExpiresAt) {
		s.expiresAt = old.expiresAt
	}
	recorded := s.needed || wasRecorded || t.shouldName(b, now)
	if recorded && (!wasRecorded || old.origin != b.Origin) {
		if wasRecorded {
			t.segments.change(old.segment)
		}
		s.segment, s.revision = t.segments.add(b.ID, old.segment)
	}
	if s.segment != nil || known || len(t.streams) < maxStreams {
		t.streams[b.ID] = s
	}
	t.mergeSparse()
	return s.needed || recorded && !t.absenceTells(b.Origin.Service), s.needed
}

// mergeSparse moves the streams of a closed segment with few of them to the open one.
func (t *Table) mergeSparse() {
	from := t.segments.takeSparse()
	if from == nil {
		return
	}
	for _, id := range slices.Collect(maps.Keys(from.streams)) {
		s := t.streams[id]
		s.segment, s.revision = t.segments.add(id, from)
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
		if s.segment != nil {
			t.segments.remove(id, s.segment)
		}
	}
}

// IsDurable reports whether the store holds the record that names a stream of this process.
func (t *Table) IsDurable(id StreamID) bool {
	s := t.streams[id]
	return s.segment == nil || s.revision <= s.segment.durable
}

// Own returns the origin of a stream that this process passed on and that a caller may still take up.
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
		if s.segment != nil && s.origin.Service == service && s.origin != o {
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
// last, or the version at which unnamed streams began. It reports false if the origin is not known. Unlimited is set if the
// caller states no time within which it takes the stream up: then a record may be missing because the stream began long ago.
func (t *Table) Lookup(id StreamID, service string, unlimited bool, now time.Time) (o Origin, known bool) {
	if o, known = t.Own(id); known {
		return o, true
	}
	if s, recorded := t.stored[id]; recorded {
		return s.origin, !unlimited || !s.outdated
	}
	if unlimited {
		return Origin{}, false
	}
	software, known := t.unnamedOrigin(service, now)
	return Origin{Service: service, Software: software}, known
}
