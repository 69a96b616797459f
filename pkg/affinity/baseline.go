package affinity

import (
	"slices"
	"time"
)

const (
	// SuspendAfter is the time without an endpoint of the baseline's version from which a process relies on the baseline
	// only after it has read it again: another process may have changed it.
	SuspendAfter = time.Minute
	// ChangeAfter is the time without an endpoint of the baseline's version from which the baseline changes. No caller takes
	// up a stream that began at it any more, but for those that records name, see shouldName.
	ChangeAfter = 5 * time.Minute
	// LostRecordsPeriod is the least time for which lost records are allowed for after a restore of the store, see
	// lostRecordsPeriod.
	LostRecordsPeriod = 30 * time.Second
	// registrationPeriod is the time after a restore of the store within which endpoints register again that its copy lacks.
	registrationPeriod = 5 * time.Second
	// maxObservationGap is the longest time between two complete lists of endpoints after which a process has seen every version
	// that was in service meanwhile. One that was suspended or cut off for longer begins to observe anew.
	maxObservationGap = 2 * time.Second
	// missingReadInterval and changedReadInterval are the intervals between two reads by a process that waits for a first
	// baseline or for a changed one.
	missingReadInterval = time.Second
	changedReadInterval = 30 * time.Second
)

// Baseline is the stored value of the baseline of a service.
type Baseline struct {
	// Software is the version at which the streams began that no record names.
	Software string `json:"software"`
	// Provisional is set if records from before the baseline may have been lost, so that it says nothing yet of streams that
	// no record names.
	Provisional bool `json:"provisional,omitempty"`
	// Era is the store's era in which it was written. A restore may have lost another one that was written later.
	Era int64 `json:"era"`
}

// baselineState is what a process knows of the baseline of a service.
type baselineState struct {
	Baseline
	// readAt is when it was first read or written, and servedAt when an endpoint of the version was last in service.
	readAt, servedAt time.Time
	// present is set while endpoints of the version are in service.
	present bool
	// suspended is set while another process may have changed the baseline.
	suspended bool
}

// versionsInService are the versions of a service that a process saw.
type versionsInService struct {
	// since is when the process began to observe them without a gap.
	since  time.Time
	seenAt map[string]time.Time
	// completeAt is the newest time up to which the observed list of endpoints was known to be complete.
	completeAt time.Time
}

// SetBaseline records a baseline that was read or written.
func (t *Table) SetBaseline(service string, b Baseline, now time.Time) {
	next := &baselineState{Baseline: b, readAt: now, servedAt: now}
	if old := t.baselines[service]; old != nil && old.Software == b.Software {
		next.present = old.present
		if !old.suspended || !old.present {
			next.servedAt = old.servedAt
		}
		if old.Provisional == b.Provisional {
			next.readAt = old.readAt
		}
	}
	t.baselines[service] = next
}

// StoreRestored drops all baselines, since they may have been lost and others written, and has the record of this process
// written with all streams that callers may take up.
func (t *Table) StoreRestored(now time.Time) {
	t.restoredAt = now
	for service, b := range t.baselines {
		t.formerBaselines[service] = b.Software
	}
	clear(t.baselines)
	t.nameAll()
}

// SetFormerBaseline records the version of a baseline that was written before a restore of the store. One that this process
// knew itself before the restore is newer.
func (t *Table) SetFormerBaseline(service, software string) {
	if _, known := t.formerBaselines[service]; !known {
		t.formerBaselines[service] = software
	}
}

// Baseline returns the baseline of a service.
func (t *Table) Baseline(service string) (b Baseline, known bool) {
	s := t.baselines[service]
	if s == nil {
		return Baseline{}, false
	}
	return s.Baseline, true
}

// Observe records the software versions of a service that are in service by a list of endpoints that was complete at
// completeAt.
func (t *Table) Observe(service string, versions []string, completeAt, now time.Time) {
	seen := t.versions[service]
	if seen == nil {
		seen = &versionsInService{since: now, seenAt: map[string]time.Time{}, completeAt: completeAt}
		t.versions[service] = seen
	}
	if completeAt.Sub(seen.completeAt) > maxObservationGap {
		seen.since = now
	}
	if completeAt.After(seen.completeAt) {
		seen.completeAt = completeAt
	}
	for _, v := range versions {
		seen.seenAt[v] = now
	}
	for v, at := range seen.seenAt {
		if now.Sub(at) > t.lostRecordsPeriod() {
			delete(seen.seenAt, v)
		}
	}
	b := t.baselines[service]
	if b == nil {
		return
	}
	b.present = slices.Contains(versions, b.Software)
	b.suspended = b.suspended || now.Sub(b.servedAt) >= SuspendAfter
	if b.present && !b.suspended {
		b.servedAt = now
	}
}

// onlyVersion returns the version of a service beside which this process has seen no other for lostRecordsPeriod. There is none
// for a process that is out of step: other processes may have begun streams at a version that it does not know of.
func (t *Table) onlyVersion(service string, now time.Time) (version string, only bool) {
	seen := t.versions[service]
	if seen == nil || len(seen.seenAt) != 1 || now.Sub(seen.since) < t.lostRecordsPeriod() {
		return "", false
	}
	if now.Sub(seen.completeAt) > maxObservationGap || now.Sub(t.restoredAt) < registrationPeriod {
		return "", false
	}
	for v := range seen.seenAt {
		version = v
	}
	return version, true
}

// unnamedOrigin returns the version at which streams of a service began that no record names.
func (t *Table) unnamedOrigin(service string, now time.Time) (version string, known bool) {
	if t.absenceTells(service) {
		return t.baselines[service].Software, true
	}
	return t.onlyVersion(service, now)
}

// Reliable returns the baselines, by service, that no other process may have changed.
func (t *Table) Reliable() map[string]Baseline {
	out := map[string]Baseline{}
	for service, b := range t.baselines {
		if !b.suspended {
			out[service] = b.Baseline
		}
	}
	return out
}

// Step is what a process does about the baseline of a service.
type Step int

const (
	// Keep means that there is nothing to do.
	Keep Step = iota
	// Read means that the baseline has to be read.
	Read
	// Write means that the baseline has to be read, and then written as Proposal says.
	Write
)

// NeedsWrite reports whether a service has no baseline, or another has to be written.
func (t *Table) NeedsWrite(service string, now time.Time) bool {
	return t.needsWrite(t.baselines[service], now)
}

// Next returns what a process does about the baseline of a service that has endpoints. Writes is set if it is the one to
// write a baseline. The stored baselines were last read at lastRead.
func (t *Table) Next(service string, writes bool, lastRead, now time.Time) Step {
	b, sinceRead := t.baselines[service], now.Sub(lastRead)
	if writes && t.needsWrite(b, now) {
		return Write
	}
	switch {
	case b == nil, b.suspended && b.present:
		if sinceRead >= missingReadInterval {
			return Read
		}
	case now.Sub(b.servedAt) >= ChangeAfter, b.Provisional && now.Sub(b.readAt) >= t.lostRecordsPeriod():
		if sinceRead >= changedReadInterval {
			return Read
		}
	}
	return Keep
}

// needsWrite reports whether there is no baseline, or another has to be written.
func (t *Table) needsWrite(b *baselineState, now time.Time) bool {
	return b == nil || now.Sub(b.servedAt) >= ChangeAfter || b.Provisional && now.Sub(b.readAt) >= t.lostRecordsPeriod()
}

// Proposal returns the baseline to write for a service after the stored ones were read, or false if there is none to write.
// Versions are those in service, the most suitable one first. Lossless is set if no stream can have begun whose record was
// lost.
func (t *Table) Proposal(service string, versions []string, lossless bool, now time.Time) (b Baseline, write bool) {
	known := t.baselines[service]
	if len(versions) == 0 || !t.needsWrite(known, now) {
		return Baseline{}, false
	}
	candidate := versions[0]
	if known == nil {
		// A process that has not heard of a restore yet still begins streams without a record at the former baseline.
		if former := t.formerBaselines[service]; slices.Contains(versions, former) {
			candidate = former
		}
		return Baseline{Software: candidate, Provisional: !lossless}, true
	}
	if now.Sub(known.servedAt) >= ChangeAfter {
		// Streams at the candidate were recorded until now, and those at the old version have ended.
		return Baseline{Software: candidate, Provisional: known.Provisional}, true
	}
	return Baseline{Software: known.Software}, true
}
