package affinity

import "time"

// While a service has no baseline, or a provisional one, a missing record does not tell where a stream began. The record of
// each process then names its streams at every version, those from before it learned of a restore as well.
// So a stream is known unless the process that began it ended before it could write; docs/design/stream-origins.md lists
// who knows what at which time.

const (
	// namingPeriod is the time after a restore of the store, or after the start of a process, within which all processes
	// that run have learned of the restore and named their streams.
	namingPeriod = 3 * time.Second
	// maxNotedTakeUp limits the time for which lost records are allowed for, however long callers say that they wait.
	maxNotedTakeUp = time.Hour
	// maxNamedStreams limits the recorded streams up to which one is recorded that need not be. The rest of MaxRecordedStreams
	// is left to those that must be.
	maxNamedStreams = MaxRecordedStreams / 2
)

// shouldName reports whether the record of this process should name a stream that need not be recorded: because a missing
// record says nothing, or would cease to before the caller can no longer take the stream up.
func (t *Table) shouldName(b Begun, now time.Time) bool {
	outlastsBaseline := b.Unlimited || b.ExpiresAt.Sub(now) > ChangeAfter
	return (outlastsBaseline || !t.absenceTells(b.Origin.Service)) && t.segments.streams < maxNamedStreams
}

// absenceTells reports whether a stream that no record names began at the baseline of its service.
func (t *Table) absenceTells(service string) bool {
	b := t.baselines[service]
	return b != nil && !b.Provisional
}

// nameAll has the records of this process written with all streams that a caller may take up.
func (t *Table) nameAll() {
	t.segments.changeAll()
	for id, s := range t.streams {
		if s.segment != nil || t.segments.streams >= maxNamedStreams {
			continue
		}
		s.segment, s.revision = t.segments.add(id, nil)
		t.streams[id] = s
	}
	t.mergeSparse()
}

// noteTakeUp records for how long a caller may take up a stream of this process. The record of the process has it, doubled from
// LostRecordsPeriod on, so that it changes seldom.
func (t *Table) noteTakeUp(takeUp time.Duration) {
	if takeUp <= max(t.ownTakeUp, LostRecordsPeriod) || t.ownTakeUp >= maxNotedTakeUp {
		return
	}
	noted := LostRecordsPeriod
	for noted < min(takeUp, maxNotedTakeUp) {
		noted *= 2
	}
	t.ownTakeUp = min(noted, maxNotedTakeUp)
	t.segments.touch()
}

// lostRecordsPeriod returns the time after a restore of the store within which a caller may take up a stream whose record was
// lost and, since its process has ended, not written again: the longest time for which any caller is known to do so.
func (t *Table) lostRecordsPeriod() time.Duration {
	return max(LostRecordsPeriod, t.ownTakeUp, t.listedTakeUp)
}

// MayBeNamedSoon reports whether a stream of a service whose origin is not known may still be named by a process that runs.
func (t *Table) MayBeNamedSoon(service string, now time.Time) bool {
	if t.absenceTells(service) {
		return false
	}
	seen := t.versions[service]
	return now.Sub(t.restoredAt) < namingPeriod || seen == nil || now.Sub(seen.since) < namingPeriod
}
