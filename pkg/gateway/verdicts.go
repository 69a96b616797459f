package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// A request that is refused since it crashes endpoints is kept in the platform's store, since all VMs may lose their memory
// at once. The VM that saw the last crash writes it, and so does the VM that comes first where the crashes of several VMs
// add up. Every VM reads these records when it starts.

const (
	// verdictPrefix is the prefix of the keys under which refused requests are kept. Their fingerprints follow.
	verdictPrefix = "crashed/"
	// verdictLife is the age at which a VM that starts removes a record.
	verdictLife = 24 * time.Hour
	// verdictPause is the pause between two tries to write records.
	verdictPause = time.Second
)

// verdictRecord is the value of a record. The time is of day, since times since boot mean nothing to another VM.
type verdictRecord struct {
	UnixMs    int64    `json:"unix_ms"`
	Endpoints []string `json:"endpoints"`
}

// verdictChange is one record to write. A request that is no longer refused has no value.
type verdictChange struct {
	fingerprint uint64
	value       []byte
}

// countCrashes takes what a peer tells of crashes. The caller holds the lock.
func (g *Gateway) countCrashes(told []*gossip.Accusation, vm string, now time.Time) {
	if len(told) == 0 {
		return
	}
	theirs := crashguard.NewTally()
	for _, a := range told {
		unused := time.Duration(max(a.GetUnusedMs(), 0)) * time.Millisecond
		c := crashguard.Crash{
			Fingerprint: a.GetFingerprint(), Endpoint: a.GetCrashed(), Cleared: a.GetCleared(), UsedAt: now.Add(-unused),
		}
		theirs.Note(c, now)
		news := g.countCrash(c, vm, now)
		switch {
		case news && g.cleanRuns.Has(c.Fingerprint):
			g.clearCrashes(c.Fingerprint, now)
		case news && !theirs.Refused(c.Fingerprint) && g.comesFirst(now):
			g.saveVerdict(c.Fingerprint)
		}
	}
}

// saveVerdict lets the record of a request be written if it is refused, or was. The caller holds the lock.
func (g *Gateway) saveVerdict(fingerprint uint64) {
	refused := g.crashes.Refused(fingerprint)
	if refused == g.crashSync.saved[fingerprint] {
		return
	}
	g.crashSync.unsaved[fingerprint] = true
}

// verdictsToSave returns the records to write now. The caller holds the lock.
func (g *Gateway) verdictsToSave(now time.Time) []verdictChange {
	sync := &g.crashSync
	if len(sync.unsaved) == 0 || sync.saving || now.Sub(sync.triedAt) < verdictPause {
		return nil
	}
	sync.saving, sync.triedAt = true, now
	maps.DeleteFunc(sync.saved, func(fingerprint uint64, _ bool) bool { return !g.crashes.Refused(fingerprint) })
	var out []verdictChange
	for fingerprint := range sync.unsaved {
		out = append(out, verdictChange{fingerprint: fingerprint, value: g.verdictValue(fingerprint)})
	}
	return out
}

// verdictValue returns the record of a request, or nil where it is not refused. The caller holds the lock.
func (g *Gateway) verdictValue(fingerprint uint64) []byte {
	if !g.crashes.Refused(fingerprint) {
		return nil
	}
	record := verdictRecord{UnixMs: time.Now().UnixMilli()}
	for _, c := range g.crashes.Of(fingerprint) {
		if !c.Cleared {
			record.Endpoints = append(record.Endpoints, c.Endpoint)
		}
	}
	value, err := json.Marshal(record)
	if err != nil {
		// The type has no field that JSON cannot hold.
		panic(err)
	}
	return value
}

// writeVerdicts writes records. Those that fail are tried again.
func (g *Gateway) writeVerdicts(changes []verdictChange) {
	for _, change := range changes {
		ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
		_, err := g.platform.Store.Append(ctx, VMStream, verdictPrefix+hexOf(change.fingerprint), change.value, -1)
		cancel()
		g.noteSaved(change, err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashSync.saving = false
}

func (g *Gateway) noteSaved(change verdictChange, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := change.value != nil
	if err != nil {
		g.log.warn(partCrash).Str("fingerprint", hexOf(change.fingerprint)).Bool("refused", refused).Err(err).
			Msg("refused request not kept")
		return
	}
	g.metrics.count("crash_verdicts_kept_total")
	g.log.line(partCrash).Str("fingerprint", hexOf(change.fingerprint)).Bool("refused", refused).
		Int("endpoints", g.crashes.Endpoints(change.fingerprint)).Msg("refused request kept")
	g.crashSync.saved[change.fingerprint] = refused
	if g.crashes.Refused(change.fingerprint) == refused {
		delete(g.crashSync.unsaved, change.fingerprint)
	}
}

// recallVerdict takes a record that was kept, and reports whether it is so old that it has to be removed. The caller holds
// the lock.
func (g *Gateway) recallVerdict(r Record) (outdated bool) {
	fingerprint, err := strconv.ParseUint(strings.TrimPrefix(r.Key, verdictPrefix), 16, 64)
	var kept verdictRecord
	if err == nil {
		err = json.Unmarshal(r.Value, &kept)
	}
	if err != nil {
		g.log.warn(partCrash).Str("key", r.Key).Err(err).Msg("kept request is unreadable")
		return true
	}
	if time.Since(time.UnixMilli(kept.UnixMs)) > verdictLife {
		return true
	}
	g.crashSync.saved[fingerprint] = true
	now := steady.Now()
	for _, endpoint := range kept.Endpoints {
		g.countCrash(crashguard.Crash{Fingerprint: fingerprint, Endpoint: endpoint}, "store", now)
	}
	return false
}

// removeVerdict removes a record.
func (g *Gateway) removeVerdict(key string) {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	if _, err := g.platform.Store.Append(ctx, VMStream, key, nil, -1); err != nil {
		// The next VM that starts tries again.
		g.log.warn(partCrash).Str("key", key).Err(err).Msg("outdated record not removed")
	}
}
