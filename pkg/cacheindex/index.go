// Package cacheindex predicts which engine holds which cached prompt block.
//
// The index has two sources: cache events, which engines publish late and with gaps, and predictions from the VM's own
// placements, which are available at once but not confirmed. Each entry belongs to one incarnation of an endpoint and
// is discarded with it.
package cacheindex

import "time"

// EventKind is the type of a cache event.
type EventKind string

const (
	// Stored reports that the engine now holds the blocks.
	Stored EventKind = "stored"
	// Removed reports that the engine evicted the blocks.
	Removed EventKind = "removed"
	// Cleared reports that the engine evicted all blocks.
	Cleared EventKind = "cleared"
)

// Event is one cache event of an engine.
type Event struct {
	// Seq numbers the events of one incarnation from 1. A jump is a gap: events were lost.
	Seq uint64
	// Kind is the type of the event.
	Kind EventKind
	// Hashes are the affected blocks. Empty for Cleared.
	Hashes []uint64
}

// Settings holds the limits of an index. The zero value of a field selects its default.
type Settings struct {
	// MaxEntries limits the entries over all endpoints. Default 400,000: the target of 325,000 blocks per node plus
	// about a fifth.
	MaxEntries int
	// EventLag is the maximum age of a cache event on arrival. A removal that arrives within this time after a
	// prediction may be older than the prediction. Default 1 s.
	EventLag time.Duration
	// InitialResidence is how long an entry that is not confirmed by a complete event stream is used after its last
	// use, until the residence time of blocks on the endpoint has been measured. Default 10 s.
	InitialResidence time.Duration
}

const (
	defaultMaxEntries = 400_000
	defaultEventLag   = time.Second
	defaultResidence  = 10 * time.Second
	// Limits of a residence time sample.
	minResidence = time.Second
	maxResidence = time.Minute
	// residenceDivisor is the reciprocal weight of a sample in the mean residence time.
	residenceDivisor = 32
	// maxDeadIncarnations is the number of dead incarnations that are remembered per endpoint. Replies that lag by more
	// restarts are not expected.
	maxDeadIncarnations = 16
	// evictingWindow is how long an endpoint counts as evicting after a removal.
	evictingWindow = 10 * time.Second
	// evictSampleSize is the number of entries compared for one eviction.
	evictSampleSize = 8
	// droppedRetention is how long a dropped endpoint is remembered; no reply is in transit for longer.
	droppedRetention = 10 * time.Minute
	// reacceptDelay is how long after a drop the dropped incarnation is rejected: it is accepted again only from a
	// reply requested at least this much later. The drop may have been a broken connection to a live engine, but a
	// state report that lags may also name an incarnation that has just died.
	reacceptDelay = 5 * time.Second
)

// A stamp holds two flags and the time in ticks since the start of the index.
const (
	tickLength    = 10 * time.Millisecond
	flagReported  = uint32(1) << 31
	flagPredicted = uint32(1) << 30
	tickMask      = flagPredicted - 1
)

// Index maps endpoints to the hashes of the blocks that they hold. It is not safe for concurrent use.
type Index struct {
	settings Settings
	// start is the time from which ticks are counted.
	start     time.Time
	endpoints map[string]*endpoint
	// entries is the number of entries over all endpoints.
	entries int
}

// endpoint holds the entries and the event state of one endpoint.
type endpoint struct {
	// incarnation is the current incarnation, or empty after a drop.
	incarnation string
	// since is when the incarnation was first observed or the endpoint was dropped.
	since time.Time
	// deadIncarnations are earlier incarnations, oldest first.
	deadIncarnations []string
	// droppedIncarnation is the incarnation that was current when the endpoint was dropped.
	droppedIncarnation string
	table              table
	// lastSeq is the sequence number of the newest event applied.
	lastSeq uint64
	// gapTick is the tick of the last gap. Reports up to it no longer confirm their entries.
	gapTick uint32
	// residence is the mean time from the last use of a block to its removal.
	residence time.Duration
	// lastRemovalAt is when the newest removal event arrived.
	lastRemovalAt time.Time
}

// New returns an empty index that counts time from now.
func New(settings Settings, now time.Time) *Index {
	if settings.MaxEntries <= 0 {
		settings.MaxEntries = defaultMaxEntries
	}
	if settings.EventLag <= 0 {
		settings.EventLag = defaultEventLag
	}
	if settings.InitialResidence <= 0 {
		settings.InitialResidence = defaultResidence
	}
	return &Index{
		settings:  settings,
		start:     now,
		endpoints: make(map[string]*endpoint),
	}
}

// ObserveIncarnation records that a reply named the incarnation and reports whether it is the current one. asked is
// when the request for the reply was sent. An incarnation not observed before becomes the current one and invalidates
// all entries of the previous one.
//
// A reply that was not requested after the current incarnation was first observed may be older than it, so an
// unknown incarnation in such a reply is ignored; the next reply decides.
func (x *Index) ObserveIncarnation(name, incarnation string, asked, now time.Time) bool {
	if incarnation == "" {
		return false
	}
	e := x.endpoints[name]
	if e == nil {
		e = &endpoint{residence: x.settings.InitialResidence}
		x.endpoints[name] = e
		x.beginIncarnation(e, incarnation, now)
		return true
	}
	if e.incarnation == incarnation {
		return true
	}
	if !asked.After(e.since) || e.isDead(incarnation) {
		return false
	}
	if incarnation == e.droppedIncarnation && asked.Sub(e.since) < reacceptDelay {
		return false
	}
	x.beginIncarnation(e, incarnation, now)
	return true
}

// ApplyEvents applies cache events and reports whether their incarnation is the current one. Events of any other
// incarnation are ignored, and so are events at or below the newest applied sequence number. After a gap, older
// entries are used only for as long as unconfirmed predictions.
func (x *Index) ApplyEvents(name, incarnation string, events []Event, now time.Time) bool {
	e := x.currentEndpoint(name, incarnation)
	if e == nil {
		return false
	}
	for _, event := range events {
		if event.Seq <= e.lastSeq {
			continue
		}
		if event.Seq != e.lastSeq+1 {
			e.gapTick = x.ticksAt(now)
		}
		e.lastSeq = event.Seq
		x.applyEvent(e, event, now)
	}
	return true
}

// applyEvent applies one event of the current incarnation.
func (x *Index) applyEvent(e *endpoint, event Event, now time.Time) {
	switch event.Kind {
	case Stored:
		for _, h := range event.Hashes {
			x.applyStored(e, h, now)
		}
	case Removed:
		e.lastRemovalAt = now
		for _, h := range event.Hashes {
			x.applyRemoved(e, h, now)
		}
	case Cleared:
		x.applyCleared(e, now)
	}
}

// AddPredicted records the prediction that the endpoint will soon hold the blocks, because this VM sent it a request
// with them. A later event confirms or corrects it. AddPredicted does nothing unless the incarnation is the current
// one.
func (x *Index) AddPredicted(name, incarnation string, hashes []uint64, now time.Time) {
	e := x.currentEndpoint(name, incarnation)
	if e == nil {
		return
	}
	for _, h := range hashes {
		reported := e.table.get(h) & flagReported
		if reported != 0 && !x.confirmed(e, e.table.get(h)) {
			reported = 0
		}
		x.putEntry(e, h, reported|flagPredicted|x.newStamp(e, now))
	}
}

// Match returns the number of leading blocks that the endpoint is expected to hold.
func (x *Index) Match(name string, hashes []uint64, now time.Time) int {
	e := x.endpoints[name]
	if e == nil {
		return 0
	}
	for i, h := range hashes {
		stamp := e.table.get(h)
		if stamp == 0 || !x.usable(e, stamp, now) {
			return i
		}
	}
	return len(hashes)
}

// Evicting reports whether a removal event of the endpoint arrived within the last evictingWindow.
func (x *Index) Evicting(name string, now time.Time) bool {
	e := x.endpoints[name]
	return e != nil && !e.lastRemovalAt.IsZero() && now.Sub(e.lastRemovalAt) < evictingWindow
}

// LastSeq returns the sequence number of the newest event applied for the endpoint's current incarnation, or zero.
func (x *Index) LastSeq(name string) uint64 {
	e := x.endpoints[name]
	if e == nil {
		return 0
	}
	return e.lastSeq
}

// Incarnation returns the current incarnation of the endpoint, or an empty string.
func (x *Index) Incarnation(name string) string {
	e := x.endpoints[name]
	if e == nil {
		return ""
	}
	return e.incarnation
}

// DropEndpoint invalidates all entries of an endpoint that crashed, was withdrawn or does not answer. Replies
// requested up to now restore nothing.
func (x *Index) DropEndpoint(name string, now time.Time) {
	e := x.endpoints[name]
	if e == nil {
		e = &endpoint{residence: x.settings.InitialResidence}
		x.endpoints[name] = e
	}
	x.discardEntries(e)
	if e.incarnation != "" {
		e.droppedIncarnation = e.incarnation
	}
	e.incarnation = ""
	e.since = now
	for other, o := range x.endpoints {
		if o.incarnation == "" && now.Sub(o.since) > droppedRetention {
			delete(x.endpoints, other)
		}
	}
}

// Len returns the number of entries over all endpoints.
func (x *Index) Len() int {
	return x.entries
}

// currentEndpoint returns the endpoint if incarnation is its current one, or else nil.
func (x *Index) currentEndpoint(name, incarnation string) *endpoint {
	e := x.endpoints[name]
	if e == nil || e.incarnation == "" || e.incarnation != incarnation {
		return nil
	}
	return e
}

// beginIncarnation makes an incarnation the current one, discards all entries and marks earlier incarnations as dead.
func (x *Index) beginIncarnation(e *endpoint, incarnation string, now time.Time) {
	for _, old := range [...]string{e.incarnation, e.droppedIncarnation} {
		if old != "" && old != incarnation {
			e.deadIncarnations = append(e.deadIncarnations, old)
		}
	}
	if len(e.deadIncarnations) > maxDeadIncarnations {
		e.deadIncarnations = append([]string(nil), e.deadIncarnations[1:]...)
	}
	x.discardEntries(e)
	e.droppedIncarnation = ""
	e.incarnation = incarnation
	e.since = now
}

// discardEntries removes all entries of the endpoint and resets its event state.
func (x *Index) discardEntries(e *endpoint) {
	x.entries -= e.table.usedSlots
	e.table = table{}
	e.lastSeq = 0
	e.gapTick = 0
}

// isDead reports whether the incarnation is known to have been replaced.
func (e *endpoint) isDead(incarnation string) bool {
	for _, d := range e.deadIncarnations {
		if d == incarnation {
			return true
		}
	}
	return false
}

// applyStored confirms an entry. If the entry is a prediction so recent that the event may be older, it keeps its
// time, so that a removal from before the prediction does not delete it either.
func (x *Index) applyStored(e *endpoint, hash uint64, now time.Time) {
	stamp := e.table.get(hash)
	if stamp&flagPredicted != 0 && stamp&tickMask > e.gapTick && x.stampAge(stamp, now) < x.settings.EventLag {
		x.putEntry(e, hash, stamp|flagReported)
		return
	}
	x.putEntry(e, hash, flagReported|x.newStamp(e, now))
}

// applyRemoved deletes an entry, unless it is a prediction so recent that the removal may be older.
func (x *Index) applyRemoved(e *endpoint, hash uint64, now time.Time) {
	stamp := e.table.get(hash)
	if stamp == 0 {
		return
	}
	age := x.stampAge(stamp, now)
	if stamp&flagReported != 0 {
		e.updateResidence(age)
	}
	if stamp&flagPredicted != 0 && age < x.settings.EventLag {
		x.putEntry(e, hash, stamp&^flagReported)
		return
	}
	if e.table.remove(hash) {
		x.entries--
	}
}

// applyCleared deletes all entries except predictions that may be newer than the event.
func (x *Index) applyCleared(e *endpoint, now time.Time) {
	old := e.table.slots
	x.entries -= e.table.usedSlots
	e.table = table{}
	for _, s := range old {
		if s.stamp&flagPredicted != 0 && x.stampAge(s.stamp, now) < x.settings.EventLag {
			x.putEntry(e, s.hash(), s.stamp&^flagReported)
		}
	}
}

// putEntry stores an entry. If that exceeds MaxEntries, it evicts an entry of the endpoint with the most entries.
func (x *Index) putEntry(e *endpoint, hash uint64, stamp uint32) {
	if !e.table.set(hash, stamp) {
		return
	}
	x.entries++
	if x.entries > x.settings.MaxEntries {
		x.largestEndpoint().table.evict(evictSampleSize)
		x.entries--
	}
}

// largestEndpoint returns the endpoint with the most entries.
func (x *Index) largestEndpoint() *endpoint {
	var best *endpoint
	for _, e := range x.endpoints {
		if best == nil || e.table.usedSlots > best.table.usedSlots {
			best = e
		}
	}
	return best
}

// confirmed reports whether the entry was reported by an event and no gap followed.
func (x *Index) confirmed(e *endpoint, stamp uint32) bool {
	return stamp&flagReported != 0 && stamp&tickMask > e.gapTick
}

// usable reports whether the entry counts as cached: it is confirmed, or younger than the residence time.
func (x *Index) usable(e *endpoint, stamp uint32, now time.Time) bool {
	if x.confirmed(e, stamp) {
		return true
	}
	return x.stampAge(stamp, now) < e.residence
}

// updateResidence adds a sample, the time between the last known use of a block and its removal, to the mean
// residence time.
func (e *endpoint) updateResidence(age time.Duration) {
	age = min(max(age, minResidence), maxResidence)
	e.residence += (age - e.residence) / residenceDivisor
}

// ticksAt returns a time as a number of ticks, counted from 1. When the number exceeds tickMask, after 124 days, it
// restarts the clock with an empty index.
func (x *Index) ticksAt(now time.Time) uint32 {
	n := int64(now.Sub(x.start)/tickLength) + 1
	if n > int64(tickMask) {
		x.restartClock(now)
		n = 1
	}
	return uint32(max(n, 1))
}

// newStamp returns the time for a new entry. It is later than the last gap, which may have the same tick.
func (x *Index) newStamp(e *endpoint, now time.Time) uint32 {
	return max(x.ticksAt(now), e.gapTick+1)
}

// restartClock discards all entries and counts ticks from now.
func (x *Index) restartClock(now time.Time) {
	x.start = now
	for _, e := range x.endpoints {
		last := e.lastSeq
		x.discardEntries(e)
		e.lastSeq = last
	}
}

// stampAge returns the time since the stamp.
func (x *Index) stampAge(stamp uint32, now time.Time) time.Duration {
	at := x.start.Add(time.Duration(stamp&tickMask) * tickLength)
	return now.Sub(at)
}
