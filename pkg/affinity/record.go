package affinity

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Record is the stored value of streams of one process, which may have several.
type Record struct {
	// UnixMs is the time of day at which the record was written.
	UnixMs int64 `json:"unix_ms"`
	// Writer orders the records of the process: of those that name a stream, the one with the highest number counts. A write
	// without an answer may take effect late, so the process goes on under another key and with a higher number.
	Writer int `json:"writer"`
	// TakeUpMs is the longest time in milliseconds for which callers may take up the streams of the process, or zero if that is
	// not over LostRecordsPeriod.
	TakeUpMs int64 `json:"take_up_ms,omitempty"`
	// Streams are the IDs of the streams by service and software version.
	Streams map[string]map[string][]string `json:"streams"`
	// Process identifies the process. It is not part of the value.
	Process string `json:"-"`
}

// storedOrigin is an origin that a record names.
type storedOrigin struct {
	origin Origin
	// process, writer and unixMs are those of the record.
	process string
	writer  int
	unixMs  int64
	// outdated is set if the record is so old that it says nothing of streams whose callers state no time.
	outdated bool
}

// supersedes reports whether an origin replaces another one of the same stream. A process may have tried the stream at several
// versions; those that took it up later have the one at which it began.
func (s storedOrigin) supersedes(other storedOrigin) bool {
	if s.process == other.process {
		return s.writer >= other.writer
	}
	return s.unixMs >= other.unixMs
}

// Pending is a record of this process that has to be written.
type Pending struct {
	Record Record
	// Key is the number of the key of the record within the process.
	Key      int
	segment  *segment
	revision int64
}

// HasUnwritten reports whether the store lacks a record of this process, or holds it as it was before.
func (t *Table) HasUnwritten() bool {
	return t.segments.next() != nil
}

// NextRecord returns the record that is to be written next, or false if the store holds all as they are.
func (t *Table) NextRecord() (p Pending, unwritten bool) {
	s := t.segments.next()
	if s == nil {
		return Pending{}, false
	}
	r := Record{Writer: s.writer, TakeUpMs: t.ownTakeUp.Milliseconds(), Streams: map[string]map[string][]string{}}
	for id := range s.streams {
		o := t.streams[id].origin
		bySoftware := r.Streams[o.Service]
		if bySoftware == nil {
			bySoftware = map[string][]string{}
			r.Streams[o.Service] = bySoftware
		}
		bySoftware[o.Software] = append(bySoftware[o.Software], id.String())
	}
	for _, bySoftware := range r.Streams {
		for _, ids := range bySoftware {
			slices.Sort(ids)
		}
	}
	return Pending{Record: r, Key: s.key, segment: s, revision: s.changed}, true
}

// Written records that the store holds a record.
func (t *Table) Written(p Pending) {
	p.segment.durable = max(p.segment.durable, p.revision)
}

// WriteFailed records that it is not known whether the store holds a record, or will. What the key holds is written again under
// another one.
func (t *Table) WriteFailed(p Pending) {
	t.segments.abandonKey(p.Key)
}

// Age returns the time for which a record has said nothing any more of streams that a caller may still take up, or a negative
// one if it may.
func (r Record) Age(timeOfDay time.Time) time.Duration {
	takeUp := max(time.Duration(r.TakeUpMs)*time.Millisecond, LostRecordsPeriod)
	return timeOfDay.Sub(time.UnixMilli(r.UnixMs)) - takeUp
}

// DecodeRecord decodes the stored value of a record.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("affinity: record: %w", err)
	}
	return r, nil
}

// SetStored replaces what the records of other processes name. It returns an error for IDs that cannot be decoded; the
// others count.
func (t *Table) SetStored(records []Record, timeOfDay time.Time) error {
	t.stored, t.listedTakeUp = map[StreamID]storedOrigin{}, 0
	var failed error
	for _, r := range records {
		t.listedTakeUp = max(t.listedTakeUp, time.Duration(r.TakeUpMs)*time.Millisecond)
		stored := storedOrigin{process: r.Process, writer: r.Writer, unixMs: r.UnixMs}
		stored.outdated = timeOfDay.Sub(time.UnixMilli(r.UnixMs)) > UnlimitedTakeUp
		for service, bySoftware := range r.Streams {
			for software, ids := range bySoftware {
				stored.origin = Origin{Service: service, Software: software}
				if err := t.addStored(ids, stored); err != nil {
					failed = err
				}
			}
		}
	}
	return failed
}

// addStored adds streams that a record names.
func (t *Table) addStored(ids []string, o storedOrigin) error {
	var failed error
	for _, text := range ids {
		id, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			failed = fmt.Errorf("affinity: stream: %w", err)
			continue
		}
		if old, known := t.stored[StreamID(id)]; !known || o.supersedes(old) {
			t.stored[StreamID(id)] = o
		}
	}
	return failed
}
