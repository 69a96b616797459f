package fleet

import "time"

// endedStartValidity is the time for which a start of an endpoint counts as ended without a new record. By then an endpoint
// that starts again has registered, and the record of one that does not has expired.
const endedStartValidity = 5 * time.Second

// EndedStart is a start of an endpoint whose process has ended. Another process may answer under its ID and at its address,
// with other software, before its record is read.
type EndedStart struct {
	ID          string
	StartTimeMs int64
	// At is when the end was seen.
	At time.Time
}

// MarkEnded records that the process of a start has ended. It reports whether that was not known and concerns the registered
// start.
func (t *Table) MarkEnded(s EndedStart, now time.Time) bool {
	e := t.entries[s.ID]
	if e == nil || e.endpoint == nil || e.endpoint.StartTimeMs != s.StartTimeMs || now.Sub(s.At) >= endedStartValidity {
		return false
	}
	known := t.HasEnded(e.endpoint, now)
	if old, marked := t.ended[s.ID]; !marked || s.At.After(old.At) {
		t.ended[s.ID] = s
	}
	return !known
}

// HasEnded reports whether the process of the registered start of an endpoint has ended.
func (t *Table) HasEnded(e *Endpoint, now time.Time) bool {
	s, marked := t.ended[e.ID]
	return marked && s.StartTimeMs == e.StartTimeMs && now.Sub(s.At) < endedStartValidity
}

// expireEnded forgets what no longer counts.
func (t *Table) expireEnded(now time.Time) {
	for id, s := range t.ended {
		if now.Sub(s.At) >= endedStartValidity {
			delete(t.ended, id)
		}
	}
}
