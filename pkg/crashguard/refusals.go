package crashguard

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Requests that are refused, and parts that explain crashes under refused ones, have a record each in the platform's store. The VM
// that observed the last crash writes it; if only the crashes of several VMs together lead to the refusal, the preferred VM does.
// A record that no VM reports as written is written by another VM.

const (
	// refusalTTL is the age from which a record is outdated.
	refusalTTL = 24 * time.Hour
	// minRefusalInterval is the least interval between two rounds of writes.
	minRefusalInterval = time.Second
	// maxReports limits the records in the reports to peers, and reportPeriod is the time for which they have each.
	maxReports   = 128
	reportPeriod = 3 * time.Second
)

// refusalRecord is the stored value of a refused request. It uses the time of day because times since boot mean nothing to another
// VM.
type refusalRecord struct {
	UnixMs    int64    `json:"unix_ms"`
	Endpoints []string `json:"endpoints"`
	// Late is the number of crashes that probes cost after the request was refused for good.
	Late int `json:"late,omitempty"`
}

// RefusalWrite is one record to write. The value is nil for a request that is to have none.
type RefusalWrite struct {
	Fingerprint uint64
	Value       []byte
}

// HasRecord reports whether the request has a record once it is written.
func (w RefusalWrite) HasRecord() bool {
	return w.Value != nil
}

// StoredReport tells peers that a record was written or removed. The ID is the fingerprint of a request, or an EvidenceID.
type StoredReport struct {
	ID     uint64
	Stored bool
	at     time.Time
}

// RefusalRecords decides which records of refused requests have to be written or removed, and by which VM. It is not safe for
// concurrent use.
type RefusalRecords struct {
	tally *Tally
	// saved are the requests that are known to have a record, or none; unsaved are those whose record this VM writes or removes.
	saved, unsaved map[uint64]bool
	// awaited are the records that another VM is to write, and since when they are undone.
	awaited map[uint64]time.Time
	// reports are of what this VM wrote lately.
	reports []StoredReport
	// writing is set while this VM writes. The last round began at begunAt.
	writing bool
	begunAt time.Time
}

// NewRefusalRecords returns RefusalRecords for the requests that a tally refuses.
func NewRefusalRecords(t *Tally) *RefusalRecords {
	return &RefusalRecords{tally: t, saved: map[uint64]bool{}, unsaved: map[uint64]bool{}, awaited: map[uint64]time.Time{}}
}

// IsCurrent reports whether the store is known to hold the record of a request if it is to have one, and none otherwise.
func (r *RefusalRecords) IsCurrent(fingerprint uint64) bool {
	return r.tally.IsStored(fingerprint) == r.saved[fingerprint]
}

// HasRecord reports whether a request is known to have a record.
func (r *RefusalRecords) HasRecord(fingerprint uint64) bool {
	return r.saved[fingerprint]
}

// Schedule has this VM write or remove the record of a request unless it is current.
func (r *RefusalRecords) Schedule(fingerprint uint64) {
	if !r.IsCurrent(fingerprint) {
		r.unsaved[fingerprint] = true
	}
}

// ScheduleAgain has this VM write the record of a request with the crashes that count now, if it is to have one.
func (r *RefusalRecords) ScheduleAgain(fingerprint uint64) {
	if r.tally.IsStored(fingerprint) {
		r.unsaved[fingerprint] = true
	}
}

// IsScheduled reports whether this VM has to write or remove the record of a request.
func (r *RefusalRecords) IsScheduled(fingerprint uint64) bool {
	return r.unsaved[fingerprint]
}

// Await makes the record of a request due for another VM, undone since the given time, unless it is current.
func (r *RefusalRecords) Await(fingerprint uint64, undoneSince time.Time) {
	if r.IsCurrent(fingerprint) {
		delete(r.awaited, fingerprint)
		return
	}
	if _, known := r.awaited[fingerprint]; !known {
		r.awaited[fingerprint] = undoneSince
	}
}

// TakeOver schedules the records that no VM reported as written, if takesOver reports that this VM is the one to write what is
// undone since a time.
func (r *RefusalRecords) TakeOver(takesOver func(undoneSince time.Time) bool) {
	for fingerprint, since := range r.awaited {
		if takesOver(since) {
			delete(r.awaited, fingerprint)
			r.Schedule(fingerprint)
		}
	}
}

// Saved records whether the store holds the record of a request.
func (r *RefusalRecords) Saved(fingerprint uint64, stored bool) {
	r.saved[fingerprint] = stored
	if r.tally.IsStored(fingerprint) == stored {
		delete(r.unsaved, fingerprint)
		delete(r.awaited, fingerprint)
	}
}

// StoreRestored records that the store may have lost records. They are due for any VM.
func (r *RefusalRecords) StoreRestored(now time.Time) {
	clear(r.saved)
	for _, fingerprint := range r.tally.byCrashCount(maxTalliedRequests) {
		r.Await(fingerprint, now)
	}
}

// Begin returns the records to write now. End is called once they are written.
func (r *RefusalRecords) Begin(timeOfDay, now time.Time) []RefusalWrite {
	if len(r.unsaved) == 0 || r.writing || now.Sub(r.begunAt) < minRefusalInterval {
		return nil
	}
	r.writing, r.begunAt = true, now
	maps.DeleteFunc(r.saved, func(fingerprint uint64, _ bool) bool { return !r.tally.IsStored(fingerprint) })
	var out []RefusalWrite
	for _, fingerprint := range slices.Sorted(maps.Keys(r.unsaved)) {
		out = append(out, RefusalWrite{Fingerprint: fingerprint, Value: r.encode(fingerprint, timeOfDay)})
	}
	return out
}

// Written records that the store holds a record.
func (r *RefusalRecords) Written(w RefusalWrite, now time.Time) {
	r.Saved(w.Fingerprint, w.HasRecord())
	r.Report(w.Fingerprint, w.HasRecord(), now)
}

// End records that the round of writes that Begin returned is over. Those that failed stay scheduled.
func (r *RefusalRecords) End() {
	r.writing = false
}

// Report adds a report to peers.
func (r *RefusalRecords) Report(id uint64, stored bool, now time.Time) {
	r.reports = append(r.reports, StoredReport{ID: id, Stored: stored, at: now})
}

// Reports returns the reports to peers that are due.
func (r *RefusalRecords) Reports(now time.Time) []StoredReport {
	r.reports = slices.DeleteFunc(r.reports, func(s StoredReport) bool { return now.Sub(s.at) >= reportPeriod })
	return r.reports[max(len(r.reports)-maxReports, 0):]
}

// encode returns the record of a request, or nil if it is to have none.
func (r *RefusalRecords) encode(fingerprint uint64, timeOfDay time.Time) []byte {
	if !r.tally.IsStored(fingerprint) {
		return nil
	}
	record := refusalRecord{UnixMs: timeOfDay.UnixMilli(), Late: r.tally.LateCrashes(fingerprint)}
	for _, c := range r.tally.CrashesOf(fingerprint) {
		if !c.Cleared {
			record.Endpoints = append(record.Endpoints, c.Endpoint)
		}
	}
	value, err := json.Marshal(record)
	if err != nil {
		// The type has no field that JSON cannot encode.
		panic(err)
	}
	return value
}

// DecodeRefusal returns the crashes of the record of a request, or none if it is outdated.
func DecodeRefusal(fingerprint uint64, value []byte, timeOfDay, now time.Time) ([]Crash, error) {
	var record refusalRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("crashguard: stored refusal: %w", err)
	}
	age := max(timeOfDay.Sub(time.UnixMilli(record.UnixMs)), 0)
	if age > refusalTTL {
		return nil, nil
	}
	out := make([]Crash, 0, len(record.Endpoints))
	for _, endpoint := range record.Endpoints {
		// A restart must not put off the probes of a part that may be innocent.
		out = append(out, Crash{Fingerprint: fingerprint, Endpoint: endpoint, LearnedAt: now.Add(-age), Late: record.Late})
	}
	return out, nil
}
