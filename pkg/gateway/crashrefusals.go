package gateway

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/gossip"
)

// The records of refused requests in the platform's store, see crashguard.RefusalRecords. Every VM reads them when it starts.

const (
	// crashRefusalPrefix is the prefix of the store keys of refused requests. The fingerprint follows.
	crashRefusalPrefix = "crashed/"
	// observerWriteTime is the time for which other VMs leave a record to the VM that observed the last crash.
	observerWriteTime = 2 * time.Second
)

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
			g.refusals.Await(c.Fingerprint, now.Add(observerWriteTime))
		case added:
			g.refusals.Await(c.Fingerprint, now)
		}
	}
	g.scheduleChangedParts(0, now)
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
		g.refusals.Saved(r.GetFingerprint(), r.GetRefused())
	}
}

// savedRefusalReports returns what this VM wrote lately. The caller holds the lock.
func (g *Gateway) savedRefusalReports(now time.Time) []*gossip.SavedRefusal {
	var out []*gossip.SavedRefusal
	for _, r := range g.refusals.Reports(now) {
		out = append(out, &gossip.SavedRefusal{Fingerprint: r.ID, Refused: r.Stored})
	}
	return out
}

// writeCrashRefusals writes records to the store. Failed writes stay scheduled.
func (g *Gateway) writeCrashRefusals(writes []crashguard.RefusalWrite) {
	for _, w := range writes {
		ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
		_, err := g.platform.Store.Append(ctx, VMStream, crashRefusalPrefix+formatFingerprint(w.Fingerprint), w.Value)
		cancel()
		g.recordRefusalWrite(w, err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusals.End()
}

// recordRefusalWrite records the result of a write.
func (g *Gateway) recordRefusalWrite(w crashguard.RefusalWrite, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.log.warn(partCrash).Str("fingerprint", formatFingerprint(w.Fingerprint)).Bool("refused", w.HasRecord()).Err(err).
			Msg("refused request not kept")
		return
	}
	g.metrics.count("crash_verdicts_kept_total")
	g.log.info(partCrash).Str("fingerprint", formatFingerprint(w.Fingerprint)).Bool("refused", w.HasRecord()).
		Int("endpoints", g.crashes.CrashCount(w.Fingerprint)).Msg("refused request kept")
	g.refusals.Written(w, g.now())
	g.requestDigest()
}

// restoreCrashRefusal adds the crashes of a stored record. It reports whether the record is unreadable or so old that
// it has to be removed. The caller holds the lock.
func (g *Gateway) restoreCrashRefusal(r Record) (outdated bool) {
	now := g.now()
	var crashes []crashguard.Crash
	fingerprint, err := strconv.ParseUint(strings.TrimPrefix(r.Key, crashRefusalPrefix), 16, 64)
	if err == nil {
		crashes, err = crashguard.DecodeRefusal(fingerprint, r.Value, g.timeOfDay(), now)
	}
	if err != nil {
		g.log.warn(partCrash).Str("key", r.Key).Err(err).Msg("stored refusal record is unreadable")
		return true
	}
	if len(crashes) == 0 {
		return true
	}
	g.refusals.Saved(fingerprint, true)
	for _, c := range crashes {
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
