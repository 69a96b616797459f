package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// announcementPrefix is the prefix of the keys under which the times of announced versions are kept.
const announcementPrefix = "announced/"

// announcementRecord is one entry of the value: when a version was announced, by the time of day. Times since boot mean nothing
// to another VM.
type announcementRecord struct {
	Version int64 `json:"version"`
	UnixMs  int64 `json:"unix_ms"`
}

// announceVersion takes a version from the operator's records. The records carry no time, so one that was announced before
// this process started is taken to be old until a peer or the kept times tell.
func (g *Gateway) announceVersion(w *Weights) {
	now := steady.Now()
	live := g.streams[OperatorStream].synced
	if !live {
		now = now.Add(-learnedAge)
	}
	if !g.noteAnnouncement(w.Model, place.Announcement{Version: w.Version, At: now, Guessed: !live}) {
		return
	}
	g.log.line(partOrder).Str("model", w.Model).Int64("version", w.Version).Msg("weights announced")
	if live && g.comesFirst(now) {
		value := g.announcementValue(w.Model, now)
		go g.storeAnnouncements(w.Model, value)
	}
}

// noteAnnouncement remembers when a version was announced, the earliest time that anybody tells. A time that is told
// replaces a guess, and never the other way round. It reports whether the version was unknown. The caller holds the lock.
func (g *Gateway) noteAnnouncement(model string, n place.Announcement) bool {
	known := g.announced[model]
	i, found := slices.BinarySearchFunc(known, n.Version, func(k place.Announcement, v int64) int {
		return cmp.Compare(k.Version, v)
	})
	if found && !replaces(n, known[i]) {
		return false
	}
	next := slices.Clone(known)
	if found {
		next[i] = n
	} else {
		next = slices.Insert(next, i, n)
	}
	g.announced[model] = next[max(len(next)-maxAnnouncements, 0):]
	return !found
}

// replaces reports whether one time of a version takes the place of another.
func replaces(n, old place.Announcement) bool {
	if n.Guessed != old.Guessed {
		return old.Guessed
	}
	return n.At.Before(old.At)
}

// newestOf returns the newest version announced for a model, or 0.
func (g *Gateway) newestOf(model string) int64 {
	known := g.announced[model]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].Version
}

// announcementValue returns the kept form of a model's versions. The caller holds the lock.
func (g *Gateway) announcementValue(model string, now time.Time) []byte {
	timeOfDay := time.Now()
	var kept []announcementRecord
	for _, n := range g.announced[model] {
		if n.Guessed {
			continue
		}
		kept = append(kept, announcementRecord{Version: n.Version, UnixMs: timeOfDay.Add(n.At.Sub(now)).UnixMilli()})
	}
	value, err := json.Marshal(kept)
	if err != nil {
		// The type has no field that JSON cannot hold.
		panic(err)
	}
	return value
}

// storeAnnouncements writes the times to the platform, since nothing on the VMs outlives a loss of all power.
func (g *Gateway) storeAnnouncements(model string, value []byte) {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	if _, err := g.platform.Store.Append(ctx, VMStream, announcementPrefix+model, value, -1); err != nil {
		g.log.warn(partOrder).Str("model", model).Err(err).Msg("times of versions not kept")
	}
}

// recallAnnouncements takes kept times. The caller holds the lock.
func (g *Gateway) recallAnnouncements(model string, r Record) {
	var kept []announcementRecord
	if err := json.Unmarshal(r.Value, &kept); err != nil {
		g.log.warn(partOrder).Str("key", r.Key).Err(err).Msg("kept times are unreadable")
		return
	}
	now := steady.Now()
	timeOfDay := time.Now()
	for _, k := range kept {
		age := max(timeOfDay.Sub(time.UnixMilli(k.UnixMs)), 0)
		g.noteAnnouncement(model, place.Announcement{Version: k.Version, At: now.Add(-age)})
	}
}
