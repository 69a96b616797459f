package affinity

import "time"

// While a service has no baseline, or a provisional one, a missing record does not tell where a stream began. The record of
// each process then names its streams at every version, those that it had under way when it learned of a restore as well.
// So a stream is known unless the process that began it ended before it could write; docs/design/stream-origins.md lists
// who knows what at which time.

const (
	// namingPeriod is the time after a restore of the store, or after the start of a process, within which all processes
	// that run have learned of the restore and named their streams.
	namingPeriod = 3 * time.Second
	// maxNamedStreams limits the recorded streams up to which one is recorded that need not be. The rest of MaxRecordedStreams
	// is left to those that must be.
	maxNamedStreams = MaxRecordedStreams / 2
)

// shouldName reports whether the record of this process should name a stream of a service that need not be recorded.
func (t *Table) shouldName(service string) bool {
	return !t.absenceTells(service) && t.recorded < maxNamedStreams
}

// absenceTells reports whether a stream that no record names began at the baseline of its service.
func (t *Table) absenceTells(service string) bool {
	b := t.baselines[service]
	return b != nil && !b.Provisional
}

// nameAll has the record of this process written with all streams that it has under way.
func (t *Table) nameAll() {
	for id, s := range t.streams {
		if s.recorded || t.recorded >= maxNamedStreams {
			continue
		}
		s.recorded = true
		t.streams[id] = s
		t.recorded++
	}
	if t.recorded > 0 {
		t.revision++
	}
}

// MayBeNamedSoon reports whether a stream of a service whose origin is not known may still be named by a process that runs.
func (t *Table) MayBeNamedSoon(service string, now time.Time) bool {
	if t.absenceTells(service) {
		return false
	}
	seen := t.versions[service]
	return now.Sub(t.restoredAt) < namingPeriod || seen == nil || now.Sub(seen.since) < namingPeriod
}
