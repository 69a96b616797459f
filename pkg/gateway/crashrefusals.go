package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/gossip"
)

// Requests that are refused because they crash endpoints are recorded in the platform's store, since all VMs may lose
// their memory at once. The VM that observed the last crash writes the record; if only the crashes of several VMs together
// lead to the refusal, the preferred VM writes it (see isPreferredVM). A record that no VM reports as written is written by
// another VM. Every VM reads these records when it starts.

const (
	// crashRefusalPrefix is the prefix of the store keys of refused requests. The fingerprint follows.
	crashRefusalPrefix = "crashed/"
	// crashRefusalTTL is the age from which a record is removed by a VM that starts.
	crashRefusalTTL = 24 * time.Hour
	// crashRefusalRetryInterval is the interval between two attempts to write records.
	crashRefusalRetryInterval = time.Second
	// observerWriteTime is the time for which other VMs leave a record to the VM that observed the last crash.
	observerWriteTime = 2 * time.Second
)

// crashRefusalRecord is the stored value of a refused request. It uses the time of day because times since boot mean
// nothing to another VM.
type crashRefusalRecord struct {
	UnixMs    int64    `json:"unix_ms"`
	Endpoints []string `json:"endpoints"`
	// Late is the number of crashes that probes cost after the request was refused for good.
	Late int `json:"late,omitempty"`
}

// crashRefusalWrite is one record to write. The value is nil for a request that is no longer refused.
type crashRefusalWrite struct {
	fingerprint uint64
	value       []byte
}

// addPeerCrashes adds the crashes that a peer reports. The caller holds the lock.
func (g *Gateway) addPeerCrashes(accusations []*gossip.Accusation, vm string, now time.Time) {
	if len(accusations) == 0 {
		return
	}
	peerTally := crashguard.NewTally()
	for _, a := range accusations {
		unused := time.Duration(max(a.GetUnusedMs(), 0)) * time.Millisecond
		c := crashguard.Crash{
			Fingerprint: a.GetFingerprint(), Endpoint: a.GetCrashed(), Cleared: a.GetCleared(), UsedAt: now.Add(-unused),
			Late: int(a.GetLate()),
		}
		peerTally.Record(c, now)
		added := g.addCrash(c, vm, now)
		switch {
		case added && g.cleanRunsOf(c.Fingerprint).Contains(c.Fingerprint, now):
			g.clearCrashes(c.Fingerprint, now)
		case crashguard.IsPart(c.Fingerprint):
		case added && peerTally.IsRefused(c.Fingerprint):
			g.awaitRefusalWrite(c.Fingerprint, now.Add(observerWriteTime))
		case added:
			g.awaitRefusalWrite(c.Fingerprint, now)
		}
	}
	g.scheduleChangedParts(0, now)
}

// scheduleRefusalWrite schedules a write of a request's record if there is none though it is to be stored, or the other way
// round. The caller holds the lock.
func (g *Gateway) scheduleRefusalWrite(fingerprint uint64) {
	if g.crashes.IsStored(fingerprint) == g.crashSync.savedRefusals[fingerprint] {
		return
	}
	g.crashSync.unsavedRefusals[fingerprint] = true
}

// awaitRefusalWrite makes the record of a request due, undone since the given time, unless it matches what is stored. The
// caller holds the lock.
func (g *Gateway) awaitRefusalWrite(fingerprint uint64, undoneSince time.Time) {
	awaited := g.crashSync.awaitedRefusals
	if g.crashes.IsStored(fingerprint) == g.crashSync.savedRefusals[fingerprint] {
		delete(awaited, fingerprint)
		return
	}
	if _, known := awaited[fingerprint]; !known {
		awaited[fingerprint] = undoneSince
	}
}

// takeOverRefusalWrites schedules the writes of records that no VM reported as written, if this VM is the one to do so now.
// The caller holds the lock.
func (g *Gateway) takeOverRefusalWrites(now time.Time) {
	for fingerprint, since := range g.crashSync.awaitedRefusals {
		if g.takesOver(since, now) {
			delete(g.crashSync.awaitedRefusals, fingerprint)
			g.scheduleRefusalWrite(fingerprint)
		}
	}
}

// recordSavedRefusal records whether the store holds the record of a request. The caller holds the lock.
func (g *Gateway) recordSavedRefusal(fingerprint uint64, refused bool) {
	g.crashSync.savedRefusals[fingerprint] = refused
	if g.crashes.IsStored(fingerprint) == refused {
		delete(g.crashSync.unsavedRefusals, fingerprint)
		delete(g.crashSync.awaitedRefusals, fingerprint)
	}
}

// applyPeerRefusals applies the records that a peer reports as written. The caller holds the lock.
func (g *Gateway) applyPeerRefusals(d *gossip.Digest) {
	if !g.sharesEra(d) {
		return
	}
	now := g.now()
	for _, r := range d.GetSavedRefusals() {
		// The IDs of stored crashes are reported beside the fingerprints of refused requests.
		g.evidence.Reported(r.GetFingerprint(), now)
		g.recordSavedRefusal(r.GetFingerprint(), r.GetRefused())
	}
}

// savedRefusalReports returns the records that this VM wrote lately. The caller holds the lock.
func (g *Gateway) savedRefusalReports(now time.Time) []*gossip.SavedRefusal {
	sync := &g.crashSync
	sync.written = slices.DeleteFunc(sync.written, func(w writtenRefusal) bool { return now.Sub(w.at) >= storedReportPeriod })
	var out []*gossip.SavedRefusal
	for _, w := range sync.written[max(len(sync.written)-maxCrashesPerDigest, 0):] {
		out = append(out, &gossip.SavedRefusal{Fingerprint: w.fingerprint, Refused: w.refused})
	}
	return out
}

// refusalsToWrite returns the records to write now. The caller holds the lock.
func (g *Gateway) refusalsToWrite(now time.Time) []crashRefusalWrite {
	sync := &g.crashSync
	if len(sync.unsavedRefusals) == 0 || sync.saving || now.Sub(sync.savingSince) < crashRefusalRetryInterval {
		return nil
	}
	sync.saving, sync.savingSince = true, now
	maps.DeleteFunc(sync.savedRefusals, func(fingerprint uint64, _ bool) bool { return !g.crashes.IsStored(fingerprint) })
	var out []crashRefusalWrite
	for fingerprint := range sorted(sync.unsavedRefusals) {
		out = append(out, crashRefusalWrite{fingerprint: fingerprint, value: g.encodeCrashRefusal(fingerprint)})
	}
	return out
}

// encodeCrashRefusal returns the record of a request, or nil if it is not to be stored. The caller holds the lock.
func (g *Gateway) encodeCrashRefusal(fingerprint uint64) []byte {
	if !g.crashes.IsStored(fingerprint) {
		return nil
	}
	record := crashRefusalRecord{UnixMs: g.timeOfDay().UnixMilli(), Late: g.crashes.LateCrashes(fingerprint)}
	for _, c := range g.crashes.CrashesOf(fingerprint) {
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

// writeCrashRefusals writes records to the store. Failed writes stay scheduled.
func (g *Gateway) writeCrashRefusals(changes []crashRefusalWrite) {
	for _, change := range changes {
		ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
		_, err := g.platform.Store.Append(ctx, VMStream, crashRefusalPrefix+formatFingerprint(change.fingerprint), change.value)
		cancel()
		g.recordRefusalWrite(change, err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashSync.saving = false
}

// recordRefusalWrite records the result of a write.
func (g *Gateway) recordRefusalWrite(change crashRefusalWrite, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := change.value != nil
	if err != nil {
		g.log.warn(partCrash).Str("fingerprint", formatFingerprint(change.fingerprint)).Bool("refused", refused).Err(err).
			Msg("refused request not kept")
		return
	}
	g.metrics.count("crash_verdicts_kept_total")
	g.log.info(partCrash).Str("fingerprint", formatFingerprint(change.fingerprint)).Bool("refused", refused).
		Int("endpoints", g.crashes.CrashCount(change.fingerprint)).Msg("refused request kept")
	g.recordSavedRefusal(change.fingerprint, refused)
	g.crashSync.written = append(g.crashSync.written, writtenRefusal{fingerprint: change.fingerprint, refused: refused, at: g.now()})
	g.requestDigest()
}

// restoreCrashRefusal adds the crashes of a stored record. It reports whether the record is unreadable or so old that
// it has to be removed. The caller holds the lock.
func (g *Gateway) restoreCrashRefusal(r Record) (outdated bool) {
	fingerprint, err := strconv.ParseUint(strings.TrimPrefix(r.Key, crashRefusalPrefix), 16, 64)
	var record crashRefusalRecord
	if err == nil {
		err = json.Unmarshal(r.Value, &record)
	}
	if err != nil {
		g.log.warn(partCrash).Str("key", r.Key).Err(err).Msg("stored refusal record is unreadable")
		return true
	}
	age := max(g.timeOfDay().Sub(time.UnixMilli(record.UnixMs)), 0)
	if age > crashRefusalTTL {
		return true
	}
	g.crashSync.savedRefusals[fingerprint] = true
	now := g.now()
	for _, endpoint := range record.Endpoints {
		// A restart must not put off the probes of a part that may be innocent.
		c := crashguard.Crash{Fingerprint: fingerprint, Endpoint: endpoint, LearnedAt: now.Add(-age), Late: record.Late}
		g.addCrash(c, "store", now)
	}
	return false
}

// removeCrashRefusal removes a record from the store.
func (g *Gateway) removeCrashRefusal(key string) {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	if _, err := g.platform.Store.Append(ctx, VMStream, key, nil); err != nil {
		// The next VM that starts tries again.
		g.log.warn(partCrash).Str("key", key).Err(err).Msg("outdated refusal record not removed")
	}
}
