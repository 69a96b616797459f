package crashguard

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/corneldeal/corneldeal/pkg/precedence"
)

// A request or part is refused after three crashes. All VMs may lose their memory between two of them, so the crashes that count
// are kept in the platform's store from the first one on: not a record for each request that was in flight, but one for each VM,
// which holds what no other VM has stored. One VM writes for all, as a crash becomes known; the others write only what it leaves
// undone. A crash that an answer clears leaves the record with the next write, so that sound requests that are in flight on
// several endpoints that end, each time before the VMs restart, do not look like one that crashes them.

const (
	// minEvidenceInterval is the least interval between two writes of a VM's record.
	minEvidenceInterval = 500 * time.Millisecond
	// clearedRewriteDelay is the time after a write from which the record is written again only because crashes in it were
	// cleared. The requests that a crash broke off are answered elsewhere within it.
	clearedRewriteDelay = 2 * time.Second
	// observerStep is the time by which the VM of each rank that observed a crash leaves the write to those before it, and
	// maxObserverDelay limits that time.
	observerStep     = 200 * time.Millisecond
	maxObserverDelay = 3 * time.Second
	// maxEvidence limits the crashes in one record, those of the requests with the most first.
	maxEvidence = 2048
	// lateWritePeriod is the time within which a write without an answer may take effect.
	lateWritePeriod = 5 * time.Second
)

// EvidenceRecord is the stored value of the crashes that one VM keeps.
type EvidenceRecord struct {
	Crashes []StoredCrash `json:"crashes"`
}

// StoredCrash is the end of one endpoint in a record.
type StoredCrash struct {
	// UnixMs is the time of day at which it was first learned of.
	UnixMs int64 `json:"unix_ms"`
	// Endpoint names the incarnation of the endpoint.
	Endpoint string `json:"endpoint"`
	// Fingerprints are those of the requests and parts that it accuses, in hexadecimal.
	Fingerprints []string `json:"fingerprints"`
}

// EvidenceID identifies one crash under one request in the reports of what is stored.
func EvidenceID(fingerprint uint64, endpoint string) uint64 {
	return crashChecksum(fingerprint, endpoint, false)
}

// keptCrash is a crash that counts.
type keptCrash struct {
	fingerprint uint64
	endpoint    string
	// learnedAt is when a VM first learned of it, and unstoredSince since when it is not known to be stored.
	learnedAt, unstoredSince time.Time
	// observed is set if this VM saw it itself.
	observed bool
	// own is set if it is in the record of this VM, as last written.
	own bool
}

// Evidence decides which crashes the record of this VM holds, and when it is written. It is not safe for concurrent use.
type Evidence struct {
	// crashes are those that count, and unstored those of them that no record is known to hold.
	crashes, unstored map[uint64]*keptCrash
	// reported are the crashes that other VMs reported as stored before this VM learned of them, since forgotAt.
	reported map[uint64]bool
	forgotAt time.Time
	// left are the crashes, by VM, in the records of VMs that may not run any more.
	left map[string][]uint64
	// loaded is set once the records of the store were read. Before, this VM's record must not be replaced.
	loaded bool
	// removals are the VMs whose records are to be removed.
	removals []string
	// writing is set while a write is under way. The last one began at writtenAt, and the last one without an answer ended at
	// failedAt.
	writing             bool
	writtenAt, failedAt time.Time
	// clearedSince is since when the record holds crashes that count no more, or zero.
	clearedSince time.Time
	// repeatAt is when the record has to be written again since a write without an answer may replace it, or zero.
	repeatAt time.Time
}

// NewEvidence returns an Evidence that knows of no crash.
func NewEvidence() *Evidence {
	return &Evidence{
		crashes: map[uint64]*keptCrash{}, unstored: map[uint64]*keptCrash{}, reported: map[uint64]bool{}, left: map[string][]uint64{},
	}
}

// Add adds a crash that counts. Observed is set if this VM saw it itself.
func (e *Evidence) Add(c Crash, observed bool, now time.Time) {
	id := EvidenceID(c.Fingerprint, c.Endpoint)
	if known := e.crashes[id]; known != nil {
		known.observed = known.observed || observed
		return
	}
	k := &keptCrash{fingerprint: c.Fingerprint, endpoint: c.Endpoint, learnedAt: c.LearnedAt, unstoredSince: now, observed: observed}
	if k.learnedAt.IsZero() {
		k.learnedAt = now
	}
	e.crashes[id] = k
	if !e.reported[id] {
		e.unstored[id] = k
	}
}

// Remove removes a crash that counts no more.
func (e *Evidence) Remove(fingerprint uint64, endpoint string, now time.Time) {
	id := EvidenceID(fingerprint, endpoint)
	k := e.crashes[id]
	if k == nil {
		return
	}
	if k.own && e.clearedSince.IsZero() {
		e.clearedSince = now
	}
	delete(e.crashes, id)
	delete(e.unstored, id)
}

// Reported records that a VM reports a crash as stored.
func (e *Evidence) Reported(id uint64, now time.Time) {
	delete(e.unstored, id)
	if e.crashes[id] != nil {
		return
	}
	if now.Sub(e.forgotAt) > reportPeriod {
		// Crashes and the reports that they are stored arrive within this time.
		clear(e.reported)
		e.forgotAt = now
	}
	if len(e.reported) < maxEvidence {
		e.reported[id] = true
	}
}

// StoreRestored records that the store may have lost the records.
func (e *Evidence) StoreRestored(now time.Time) {
	clear(e.reported)
	for id, k := range e.crashes {
		k.unstoredSince = now
		e.unstored[id] = k
	}
}

// DecodeEvidence returns the crashes of a stored record that are not outdated. It returns an error if some cannot be decoded; the
// others are returned as well.
func DecodeEvidence(value []byte, timeOfDay, now time.Time) (out []Crash, failed error) {
	var r EvidenceRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("crashguard: stored crashes: %w", err)
	}
	for _, stored := range r.Crashes {
		age := max(timeOfDay.Sub(time.UnixMilli(stored.UnixMs)), 0)
		if age > refusedRetention {
			continue
		}
		for _, text := range stored.Fingerprints {
			fingerprint, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				failed = fmt.Errorf("crashguard: stored crash: %w", err)
				continue
			}
			at := now.Add(-age)
			out = append(out, Crash{Fingerprint: fingerprint, Endpoint: stored.Endpoint, UsedAt: at, LearnedAt: at})
		}
	}
	return out, failed
}

// AddStored records the crashes that the record of a VM holds, after they were added to the tally. Own is set if that is this VM.
func (e *Evidence) AddStored(crashes []Crash, vm string, own bool, t *Tally, now time.Time) {
	if own {
		// The next write leaves out what counts no more.
		e.clearedSince = now
	} else {
		e.left[vm] = []uint64{}
	}
	for _, c := range crashes {
		id := EvidenceID(c.Fingerprint, c.Endpoint)
		if !own {
			e.left[vm] = append(e.left[vm], id)
		}
		if !t.Counts(c.Fingerprint, c.Endpoint) {
			continue
		}
		e.Add(c, false, now)
		delete(e.unstored, id)
		e.crashes[id].own = e.crashes[id].own || own
	}
}

// Loaded records that all records of the store were read.
func (e *Evidence) Loaded() {
	e.loaded = true
}

// AdoptLeft makes this VM keep what is in the records of VMs that do not run, as runs reports, if those records hold crashes that
// count no more. Nobody else would take these out.
func (e *Evidence) AdoptLeft(runs func(vm string) bool, now time.Time) {
	for vm, ids := range e.left {
		if runs(vm) {
			delete(e.left, vm)
			continue
		}
		counts := func(id uint64) bool { return e.crashes[id] != nil }
		if len(ids) > 0 && !slices.ContainsFunc(ids, func(id uint64) bool { return !counts(id) }) {
			continue
		}
		delete(e.left, vm)
		e.removals = append(e.removals, vm)
		for _, id := range ids {
			if k := e.crashes[id]; k != nil && !k.own {
				k.unstoredSince, k.observed = now, true
				e.unstored[id] = k
			}
		}
	}
}

// HasWork reports whether anything is to be written or adopted, now or later.
func (e *Evidence) HasWork() bool {
	return len(e.unstored)+len(e.left)+len(e.removals) > 0 || !e.clearedSince.IsZero() || !e.repeatAt.IsZero()
}

// IsDue reports whether the VM of a rank has to write its record, or remove others. The rank of a VM is the number of the VMs that
// precede it.
func (e *Evidence) IsDue(rank int, now time.Time) bool {
	if !e.loaded || e.writing || now.Sub(e.writtenAt) < minEvidenceInterval {
		return false
	}
	rewriteAt := latest(e.clearedSince, e.writtenAt).Add(clearedRewriteDelay)
	if len(e.removals) > 0 || !e.clearedSince.IsZero() && !now.Before(rewriteAt) || !e.repeatAt.IsZero() && !now.Before(e.repeatAt) {
		return true
	}
	for _, k := range e.unstored {
		delay := precedence.TakeoverDelay(rank)
		if k.observed {
			delay = min(time.Duration(rank)*observerStep, maxObserverDelay)
		}
		if now.Sub(k.unstoredSince) >= delay {
			return true
		}
	}
	return false
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// EvidenceWrite is one write of this VM's record.
type EvidenceWrite struct {
	// Value is the record, or nil if it is empty and to be removed.
	Value []byte
	// Removals are the VMs whose records are to be removed after that.
	Removals []string
	ids      []uint64
	at       time.Time
}

// Begin returns the write that is due. Those crashes are left out whose requests have a record of their own, as hasRecord reports.
func (e *Evidence) Begin(t *Tally, hasRecord func(fingerprint uint64) bool, timeOfDay, now time.Time) EvidenceWrite {
	w := EvidenceWrite{Removals: e.removals, at: now}
	e.writing, e.writtenAt, e.clearedSince, e.repeatAt, e.removals = true, now, time.Time{}, time.Time{}, nil
	for id, k := range e.crashes {
		if hasRecord(k.fingerprint) || !t.Counts(k.fingerprint, k.endpoint) {
			delete(e.crashes, id)
			delete(e.unstored, id)
			continue
		}
		if _, unstored := e.unstored[id]; unstored || k.own {
			w.ids = append(w.ids, id)
		}
	}
	e.sortByDanger(w.ids, t)
	for _, id := range w.ids[min(len(w.ids), maxEvidence):] {
		delete(e.unstored, id)
	}
	w.ids = w.ids[:min(len(w.ids), maxEvidence)]
	if len(w.ids) > 0 {
		w.Value = e.encode(w.ids, timeOfDay, now)
	}
	return w
}

// sortByDanger sorts crashes, those of the requests with the most crashes first. Among equals parts come first, since a crash
// adds many requests that never repeat, and then the last learned.
func (e *Evidence) sortByDanger(ids []uint64, t *Tally) {
	slices.SortFunc(ids, func(a, b uint64) int {
		ka, kb := e.crashes[a], e.crashes[b]
		return cmp.Or(
			cmp.Compare(t.CrashCount(kb.fingerprint), t.CrashCount(ka.fingerprint)), cmp.Compare(kb.fingerprint&partBit, ka.fingerprint&partBit),
			kb.learnedAt.Compare(ka.learnedAt), cmp.Compare(a, b),
		)
	})
}

// encode returns the record with the given crashes.
func (e *Evidence) encode(ids []uint64, timeOfDay, now time.Time) []byte {
	byEndpoint := map[string]*StoredCrash{}
	for _, id := range ids {
		k := e.crashes[id]
		unixMs := timeOfDay.Add(k.learnedAt.Sub(now)).UnixMilli()
		stored := byEndpoint[k.endpoint]
		if stored == nil {
			stored = &StoredCrash{UnixMs: unixMs, Endpoint: k.endpoint}
			byEndpoint[k.endpoint] = stored
		}
		stored.UnixMs = min(stored.UnixMs, unixMs)
		stored.Fingerprints = append(stored.Fingerprints, strconv.FormatUint(k.fingerprint, 16))
	}
	var r EvidenceRecord
	for _, endpoint := range slices.Sorted(maps.Keys(byEndpoint)) {
		r.Crashes = append(r.Crashes, *byEndpoint[endpoint])
	}
	value, err := json.Marshal(r)
	if err != nil {
		// The type has no field that JSON cannot encode.
		panic(err)
	}
	return value
}

// End records the result of a write. It returns the crashes whose storing this VM reports to the others.
func (e *Evidence) End(w EvidenceWrite, written bool, now time.Time) (stored []uint64) {
	e.writing = false
	if !written {
		e.removals = append(e.removals, w.Removals...)
		e.clearedSince, e.failedAt = w.at, now
		return nil
	}
	if now.Sub(e.failedAt) < lateWritePeriod {
		e.repeatAt = e.failedAt.Add(lateWritePeriod)
	}
	for _, k := range e.crashes {
		k.own = false
	}
	for _, id := range w.ids {
		if _, unstored := e.unstored[id]; unstored {
			stored = append(stored, id)
		}
		delete(e.unstored, id)
		if k := e.crashes[id]; k != nil {
			k.own = true
			continue
		}
		e.clearedSince = now
	}
	return stored
}
