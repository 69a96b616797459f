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

// namingPrefix is the prefix of the keys under which the times of named versions are kept.
const namingPrefix = "named/"

// namingRecord is one entry of the value: when a version was named, by the time of day. Times since boot mean nothing
// to another VM.
type namingRecord struct {
	Version int64 `json:"version"`
	UnixMs  int64 `json:"unix_ms"`
}

// nameVersion takes a version from the operator's records. The records carry no time, so one that was named before
// this process started is taken to be old until a peer or the kept times tell.
func (g *Gateway) nameVersion(w *Weights) {
	now := steady.Now()
	live := g.streams[OperatorStream].synced
	if !live {
		now = now.Add(-learnedAge)
	}
	if !g.noteNaming(w.Model, place.Naming{Version: w.Version, At: now}) {
		return
	}
	g.book.line(partOrder).Str("model", w.Model).Int64("version", w.Version).Msg("weights named")
	if live && g.comesFirst(now) {
		value := g.namingValue(w.Model, now)
		g.run(func() { g.keepNamings(w.Model, value) })
	}
}

// noteNaming remembers when a version was named, the earliest time that anybody tells. It reports whether the version
// was unknown. The caller holds the lock.
func (g *Gateway) noteNaming(model string, n place.Naming) bool {
	known := g.named[model]
	i, found := slices.BinarySearchFunc(known, n.Version, func(k place.Naming, v int64) int {
		return cmp.Compare(k.Version, v)
	})
	if found && !n.At.Before(known[i].At) {
		return false
	}
	next := slices.Clone(known)
	if found {
		next[i] = n
	} else {
		next = slices.Insert(next, i, n)
	}
	g.named[model] = next[max(len(next)-keptNamings, 0):]
	return !found
}

// newestOf returns the newest version named for a model, or 0.
func (g *Gateway) newestOf(model string) int64 {
	known := g.named[model]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].Version
}

// namingValue returns the kept form of a model's versions. The caller holds the lock.
func (g *Gateway) namingValue(model string, now time.Time) []byte {
	wall := time.Now()
	var kept []namingRecord
	for _, n := range g.named[model] {
		kept = append(kept, namingRecord{Version: n.Version, UnixMs: wall.Add(n.At.Sub(now)).UnixMilli()})
	}
	value, err := json.Marshal(kept)
	if err != nil {
		// The type has no field that JSON cannot hold.
		panic(err)
	}
	return value
}

// keepNamings writes the times to the platform, since nothing on the VMs outlives a loss of all power.
func (g *Gateway) keepNamings(model string, value []byte) {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	if _, err := g.platform.Store.Append(ctx, VMStream, namingPrefix+model, value, -1); err != nil {
		g.book.warn(partOrder).Str("model", model).Err(err).Msg("times of versions not kept")
	}
}

// recallNamings takes kept times. The caller holds the lock.
func (g *Gateway) recallNamings(model string, r Record) {
	var kept []namingRecord
	if err := json.Unmarshal(r.Value, &kept); err != nil {
		g.book.warn(partOrder).Str("key", r.Key).Err(err).Msg("kept times are unreadable")
		return
	}
	now := steady.Now()
	wall := time.Now()
	for _, k := range kept {
		age := max(wall.Sub(time.UnixMilli(k.UnixMs)), 0)
		g.noteNaming(model, place.Naming{Version: k.Version, At: now.Add(-age)})
	}
}
