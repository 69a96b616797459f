package fleet

import "time"

const (
	// endedStartValidity is the time for which a start of an endpoint counts as ended without a new record, while the list of
	// endpoints is known to be complete. By then an endpoint that starts again has registered, and the record of one that does
	// not has expired. Neither holds while the store is away, so the time begins anew once it is back.
	endedStartValidity = 5 * time.Second
	// maxListGap is the longest time between two complete lists after which no outage of the store lay between.
	maxListGap = 2 * time.Second
)

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
func (t *Table) MarkEnded(s EndedStart) bool {
	e := t.entries[s.ID]
	if e == nil || e.endpoint == nil || e.endpoint.StartTimeMs != s.StartTimeMs || t.isOutdated(s) {
		return false
	}
	known := t.HasEnded(e.endpoint)
	if old, marked := t.ended[s.ID]; !marked || s.At.After(old.At) {
		t.ended[s.ID] = s
	}
	return !known
}

// HasEnded reports whether the process of the registered start of an endpoint has ended.
func (t *Table) HasEnded(e *Endpoint) bool {
	s, marked := t.ended[e.ID]
	return marked && s.StartTimeMs == e.StartTimeMs && !t.isOutdated(s)
}

// StillCounts reports whether a start that ended is the registered one of its endpoint, and counts as ended.
func (t *Table) StillCounts(s EndedStart) bool {
	e := t.Get(s.ID)
	return e != nil && e.StartTimeMs == s.StartTimeMs && t.HasEnded(e)
}

// ListComplete records that the list of endpoints was known to be complete at a time.
func (t *Table) ListComplete(at time.Time) {
	if at.Sub(t.completeAt) > maxListGap {
		t.completeSince = at
	}
	if at.After(t.completeAt) {
		t.completeAt = at
	}
}

// isOutdated reports whether an ended start has no new record although one would have been read.
func (t *Table) isOutdated(s EndedStart) bool {
	from := s.At
	if t.completeSince.After(from) {
		from = t.completeSince
	}
	return t.completeAt.Sub(from) >= endedStartValidity
}

// expireEnded forgets what no longer counts.
func (t *Table) expireEnded() {
	for id, s := range t.ended {
		e := t.entries[id]
		if e == nil || e.endpoint != nil && e.endpoint.StartTimeMs != s.StartTimeMs || t.isOutdated(s) {
			delete(t.ended, id)
		}
	}
}
