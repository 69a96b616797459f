package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
)

// Crashes are kept in the platform's store from the first one on, see crashguard.Evidence. Every VM reads them when it starts.

const (
	// crashEvidencePrefix is the prefix of the store keys of the crashes that a VM keeps. The name of the VM follows.
	crashEvidencePrefix = "crashes/"
	// adoptEvidenceAfter is the uptime from which this VM looks after the records of VMs that it does not hear of.
	adoptEvidenceAfter = 10 * time.Second
)

// evidenceToWrite returns the write of this VM's crashes that is due, if any. The caller holds the lock.
func (g *Gateway) evidenceToWrite(now time.Time) (w crashguard.EvidenceWrite, due bool) {
	if !g.evidence.HasWork() {
		return crashguard.EvidenceWrite{}, false
	}
	rank := g.rank(now)
	if rank == 0 && now.Sub(g.started) >= adoptEvidenceAfter {
		g.evidence.AdoptLeft(func(vm string) bool { return vm == g.settings.VM || g.isLivePeer(vm, now) }, now)
	}
	if !g.evidence.IsDue(rank, now) {
		return crashguard.EvidenceWrite{}, false
	}
	hasRecord := func(fingerprint uint64) bool {
		return g.crashes.IsStored(fingerprint) && g.refusals.HasRecord(fingerprint)
	}
	return g.evidence.Begin(g.crashes, hasRecord, g.timeOfDay(), now), true
}

// isLivePeer reports whether a peer is known and live. The caller holds the lock.
func (g *Gateway) isLivePeer(vm string, now time.Time) bool {
	p := g.peers[vm]
	return p != nil && p.live(now)
}

// writeEvidence writes this VM's crashes to the store, and then removes the records that it has adopted.
func (g *Gateway) writeEvidence(w crashguard.EvidenceWrite) {
	written := g.appendEvidence(g.settings.VM, w.Value)
	for _, vm := range w.Removals {
		written = written && g.appendEvidence(vm, nil)
	}
	g.recordEvidenceWrite(w, written)
}

// appendEvidence writes or removes the record of a VM. It reports whether that succeeded.
func (g *Gateway) appendEvidence(vm string, value []byte) bool {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	_, err := g.platform.Store.Append(ctx, VMStream, crashEvidencePrefix+vm, value)
	if err != nil {
		g.log.warn(partCrash).Str("vm", vm).Err(err).Msg("crashes not kept")
		return false
	}
	g.metrics.count("crash_evidence_writes_total")
	return true
}

// recordEvidenceWrite records the result of a write and reports what it stored to the peers.
func (g *Gateway) recordEvidenceWrite(w crashguard.EvidenceWrite, written bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	stored := g.evidence.End(w, written, now)
	if len(stored) == 0 {
		return
	}
	g.log.info(partCrash).Int("crashes", len(stored)).Int("bytes", len(w.Value)).Msg("crashes kept")
	for _, id := range stored {
		g.refusals.Report(id, true, now)
	}
	g.requestDigest()
}

// restoreEvidence adds the crashes of a stored record. The caller holds the lock.
func (g *Gateway) restoreEvidence(r Record) {
	vm, now := strings.TrimPrefix(r.Key, crashEvidencePrefix), g.now()
	crashes, err := crashguard.DecodeEvidence(r.Value, g.timeOfDay(), now)
	if err != nil {
		g.log.warn(partCrash).Str("key", r.Key).Err(err).Msg("stored crashes are unreadable")
	}
	for _, c := range crashes {
		g.addCrash(c, "store", now)
	}
	g.evidence.AddStored(crashes, vm, vm == g.settings.VM, g.crashes, now)
}
