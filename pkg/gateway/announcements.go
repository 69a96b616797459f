package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/place"
)

// announcementPrefix is the prefix of the store keys under which the announcement times of a model's versions are
// stored.
const announcementPrefix = "announced/"

const (
	// announcementRetryDelay is the pause after a write of announcement times.
	announcementRetryDelay = 1500 * time.Millisecond
	// storedReportPeriod is the time for which a VM reports in its digests what it has stored for all.
	storedReportPeriod = 3 * time.Second
)

// announcementRecord is the stored announcement time of one version. It uses the time of day because times since boot
// mean nothing to another VM.
type announcementRecord struct {
	Version int64 `json:"version"`
	UnixMs  int64 `json:"unix_ms"`
}

// applyWeights adds a version from the operator's records. The records carry no time. A version is taken for announced now
// only by a VM whose copy of the records was known to be complete a moment ago; one that read none for a while, or that
// starts, assumes the earliest time at which it may have been announced until a peer or the store supplies the actual one.
// The caller holds the lock.
func (g *Gateway) applyWeights(w *Weights) {
	at := g.now()
	st := g.streams[OperatorStream]
	live := st.synced && !g.isOverdue(OperatorStream, at)
	if !live {
		at = at.Add(-min(st.verifiedAge(at), assumedAnnouncementAge))
	}
	if !g.addAnnouncement(w.Model, place.Announcement{Version: w.Version, At: at, Estimated: !live}) {
		return
	}
	g.log.info(partOrder).Str("model", w.Model).Int64("version", w.Version).Bool("estimated", !live).Msg("weights announced")
	g.requestDigest()
}

// announcementDuty is what a VM knows of the store's record of the announcement times of a model.
type announcementDuty struct {
	// storedVersion is the newest version whose time is stored. If this VM stored it itself, storedAt is when it did.
	storedVersion int64
	storedAt      time.Time
	// undoneSince is since when this VM knows a time that is not known to be stored, or zero.
	undoneSince time.Time
	// retryAt is the earliest time of the next write.
	retryAt time.Time
}

// announcementDutyOf returns the duty for a model. The caller holds the lock.
func (g *Gateway) announcementDutyOf(model string) *announcementDuty {
	duty := g.announcementDuties[model]
	if duty == nil {
		duty = &announcementDuty{}
		g.announcementDuties[model] = duty
	}
	return duty
}

// recordStored records that the times of the versions up to the given one are stored. The caller holds the lock.
func (g *Gateway) recordStored(model string, version int64) {
	duty := g.announcementDutyOf(model)
	duty.storedVersion = max(duty.storedVersion, version)
	if duty.storedVersion >= g.newestTimedVersion(model) {
		duty.undoneSince = time.Time{}
	}
}

// newestTimedVersion returns the newest version of a model whose announcement time is not estimated, or 0. The caller holds
// the lock.
func (g *Gateway) newestTimedVersion(model string) int64 {
	for _, n := range slices.Backward(g.announcements[model]) {
		if !n.Estimated {
			return n.Version
		}
	}
	return 0
}

// announcementWrite is one record of announcement times to write.
type announcementWrite struct {
	model string
	// version is the newest version in the value.
	version int64
	value   []byte
}

// announcementsToStore returns the announcement times that no VM is known to have stored, if this VM is the one to write
// them now. The caller holds the lock.
func (g *Gateway) announcementsToStore(now time.Time) []announcementWrite {
	if g.leaving.Load() || g.storeAge(now) >= storeFreshness {
		return nil
	}
	var out []announcementWrite
	for model, duty := range g.announcementDuties {
		if duty.undoneSince.IsZero() || now.Before(duty.retryAt) || !g.takesOver(duty.undoneSince, now) {
			continue
		}
		duty.retryAt = now.Add(announcementRetryDelay)
		out = append(out, announcementWrite{
			model: model, version: g.newestTimedVersion(model), value: g.encodeAnnouncements(model, now),
		})
	}
	return out
}

// addAnnouncement records the earliest reported time at which a version was announced. A reported time replaces a
// guess, never the other way round. It reports whether the version was unknown. The caller holds the lock.
func (g *Gateway) addAnnouncement(model string, n place.Announcement) bool {
	known := g.announcements[model]
	i, found := slices.BinarySearchFunc(known, n.Version, func(k place.Announcement, v int64) int {
		return cmp.Compare(k.Version, v)
	})
	if found && !supersedes(n, known[i]) {
		return false
	}
	next := slices.Clone(known)
	if found {
		next[i] = n
	} else {
		next = slices.Insert(next, i, n)
	}
	g.announcements[model] = next[max(len(next)-maxAnnouncementsPerModel, 0):]
	if duty := g.announcementDutyOf(model); !n.Estimated && n.Version > duty.storedVersion {
		duty.undoneSince = startedAt(duty.undoneSince, g.now())
	}
	return !found
}

// supersedes reports whether announcement n replaces old, which is of the same version.
func supersedes(n, old place.Announcement) bool {
	if n.Estimated != old.Estimated {
		return old.Estimated
	}
	return n.At.Before(old.At)
}

// newestVersion returns the newest version announced for a model, or 0. The caller holds the lock.
func (g *Gateway) newestVersion(model string) int64 {
	known := g.announcements[model]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].Version
}

// knowsAnnouncementTimes reports whether the time of any version of a model is not estimated. The caller holds the lock.
func (g *Gateway) knowsAnnouncementTimes(model string) bool {
	return slices.ContainsFunc(g.announcements[model], func(n place.Announcement) bool { return !n.Estimated })
}

// encodeAnnouncements returns the store value with the announcement times of a model's versions, without estimated ones.
// The caller holds the lock.
func (g *Gateway) encodeAnnouncements(model string, now time.Time) []byte {
	timeOfDay := g.timeOfDay()
	var records []announcementRecord
	for _, n := range g.announcements[model] {
		if n.Estimated {
			continue
		}
		records = append(records, announcementRecord{Version: n.Version, UnixMs: timeOfDay.Add(n.At.Sub(now)).UnixMilli()})
	}
	value, err := json.Marshal(records)
	if err != nil {
		// The type has no field that JSON cannot encode.
		panic(err)
	}
	return value
}

// storeAnnouncements writes announcement times to the platform's store, because nothing on the VMs survives a power loss of
// all of them.
func (g *Gateway) storeAnnouncements(w announcementWrite) {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	at, err := g.platform.Store.Append(ctx, VMStream, announcementPrefix+w.model, w.value)
	if err != nil {
		g.log.warn(partOrder).Str("model", w.model).Err(err).Msg("announcement times not stored")
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.inPresentEra(at) {
		// A restore may have lost it. The duty began anew with the era.
		return
	}
	g.recordStored(w.model, w.version)
	g.announcementDutyOf(w.model).storedAt = g.now()
	g.log.info(partOrder).Str("model", w.model).Int64("version", w.version).Int64("era", at.Era).Msg("announcement times stored")
	g.requestDigest()
}

// reportsAnnouncements reports whether this VM tells its peers announcement times although they are no concern of every
// digest: it stored some lately, and the others must not write them too. The caller holds the lock.
func (g *Gateway) reportsAnnouncements(now time.Time) bool {
	for _, duty := range g.announcementDuties {
		if now.Sub(duty.storedAt) < storedReportPeriod {
			return true
		}
	}
	return false
}

// restoreAnnouncements adds the announcement times of a stored record. The caller holds the lock.
func (g *Gateway) restoreAnnouncements(model string, r Record) {
	var kept []announcementRecord
	if err := json.Unmarshal(r.Value, &kept); err != nil {
		g.log.warn(partOrder).Str("key", r.Key).Err(err).Msg("stored announcement times are unreadable")
		return
	}
	now := g.now()
	timeOfDay := g.timeOfDay()
	for _, k := range kept {
		age := max(timeOfDay.Sub(time.UnixMilli(k.UnixMs)), 0)
		g.addAnnouncement(model, place.Announcement{Version: k.Version, At: now.Add(-age)})
		g.recordStored(model, k.Version)
	}
}
