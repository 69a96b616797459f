// Package cacheindex predicts which engine holds which cached prompt block.
//
// The index learns from two sources: cache events, which engines publish late and with gaps, and the VM's own
// decisions, which are known at once but not confirmed. All entries belong to one incarnation of an endpoint and
// end with it.
package cacheindex

import "time"

// Kind tells what a cache event reports.
type Kind string

const (
	// Stored means that the engine now holds the blocks.
	Stored Kind = "stored"
	// Removed means that the engine evicted the blocks.
	Removed Kind = "removed"
	// Cleared means that the engine evicted all blocks.
	Cleared Kind = "cleared"
)

// Event is one cache event of an engine.
type Event struct {
	// Seq counts the events of one incarnation from 1. A jump is a gap: events were lost.
	Seq uint64
	// Kind tells what happened.
	Kind Kind
	// Hashes are the block hashes concerned. Empty for Cleared.
	Hashes []uint64
}

// Settings bound the index. The zero value of a field means its default.
type Settings struct {
	// MaxEntries bounds the entries over all endpoints. Default 400,000, which is the target of 325,000 blocks a
	// node and a fifth more.
	MaxEntries int
	// EventLag is the age that a cache event may have when it arrives. A removal that arrives within this time
	// after an own decision may be older than the decision. Default 1 s.
	EventLag time.Duration
	// Life is the time for which an entry that no complete event stream vouches for is used, until the residence
	// time of the endpoint is known. Default 10 s.
	Life time.Duration
}

const (
	defaultMaxEntries = 400_000
	defaultEventLag   = time.Second
	defaultLife       = 10 * time.Second
	// Bounds of the learned residence time.
	minLife = time.Second
	maxLife = time.Minute
	// A new residence time counts for 1/lifeWeight of the mean.
	lifeWeight = 32
	// Incarnations that are remembered as dead per endpoint. Replies that lag by more restarts are not expected.
	maxDead = 16
	// evictMemory is the time for which an endpoint counts as evicting after a removal.
	evictMemory = 10 * time.Second
	// Entries compared for one eviction.
	evictSample = 8
	// An endpoint that was dropped is forgotten after this time; no reply is in transit for longer.
	dropMemory = 10 * time.Minute
	// The incarnation that was current when the endpoint was dropped is accepted again only from a reply asked
	// for this much later. The drop may have been a broken connection to a live engine, but a state report that
	// lags may also name an incarnation that has just died.
	returnDelay = 5 * time.Second
)

// Stamps hold two flags and the time in ticks since the start of the index.
const (
	tick         = 10 * time.Millisecond
	flagReported = uint32(1) << 31
	flagAssumed  = uint32(1) << 30
	tickMask     = flagAssumed - 1
)

// Index maps block hashes to the endpoints that hold them. It is safe for one goroutine.
type Index struct {
	settings  Settings
	start     time.Time
	endpoints map[string]*endpoint
	entries   int
}

type endpoint struct {
	incarnation string
	// since is the time at which the incarnation was first observed, or the endpoint dropped.
	since time.Time
	dead  []string
	// dropped is the incarnation that was current when the endpoint was dropped.
	dropped string
	table   table
	// lastSeq is the newest event applied.
	lastSeq uint64
	// unsure is the tick of the last gap. Entries up to it are no longer vouched for.
	unsure uint32
	// life is the learned residence time of a block since its last use.
	life time.Duration
	// removedAt is the time of the newest removal reported.
	removedAt time.Time
}

// New returns an empty index. now is the time from which entries are dated.
func New(settings Settings, now time.Time) *Index {
	if settings.MaxEntries <= 0 {
		settings.MaxEntries = defaultMaxEntries
	}
	if settings.EventLag <= 0 {
		settings.EventLag = defaultEventLag
	}
	if settings.Life <= 0 {
		settings.Life = defaultLife
	}
	return &Index{
		settings:  settings,
		start:     now,
		endpoints: make(map[string]*endpoint),
	}
}

// Observe records that a reply named the incarnation; asked is the time at which the request for the reply was
// sent. An incarnation not seen before becomes the current one and voids all entries of the one before. It
// reports whether the incarnation is the current one.
//
// A reply that was not asked for after the current incarnation was first observed may be older than it, so an
// unknown incarnation in such a reply is ignored; the next reply decides.
func (x *Index) Observe(name, incarnation string, asked, now time.Time) bool {
	if incarnation == "" {
		return false
	}
	e := x.endpoints[name]
	if e == nil {
		e = &endpoint{life: x.settings.Life}
		x.endpoints[name] = e
		x.begin(e, incarnation, now)
		return true
	}
	if e.incarnation == incarnation {
		return true
	}
	if !asked.After(e.since) || e.isDead(incarnation) {
		return false
	}
	if incarnation == e.dropped && asked.Sub(e.since) < returnDelay {
		return false
	}
	x.begin(e, incarnation, now)
	return true
}

// Apply applies events of an incarnation that was observed before. Events of any other incarnation are ignored.
// Events at or below the newest applied sequence number are ignored. A gap makes older entries unsure: they are
// used only as long as own decisions without a report. It reports whether the incarnation is the current one.
func (x *Index) Apply(name, incarnation string, events []Event, now time.Time) bool {
	e := x.current(name, incarnation)
	if e == nil {
		return false
	}
	for _, event := range events {
		if event.Seq <= e.lastSeq {
			continue
		}
		if event.Seq != e.lastSeq+1 {
			e.unsure = x.ticks(now)
		}
		e.lastSeq = event.Seq
		x.applyOne(e, event, now)
	}
	return true
}

func (x *Index) applyOne(e *endpoint, event Event, now time.Time) {
	switch event.Kind {
	case Stored:
		for _, h := range event.Hashes {
			x.stored(e, h, now)
		}
	case Removed:
		e.removedAt = now
		for _, h := range event.Hashes {
			x.removed(e, h, now)
		}
	case Cleared:
		x.cleared(e, now)
	}
}

// Assume records that this VM sent a request with these blocks to the endpoint, so that the engine holds them
// soon. A later report confirms or corrects it. It does nothing when the incarnation is not the current one.
func (x *Index) Assume(name, incarnation string, hashes []uint64, now time.Time) {
	e := x.current(name, incarnation)
	if e == nil {
		return
	}
	for _, h := range hashes {
		reported := e.table.get(h) & flagReported
		if reported != 0 && !x.vouched(e, e.table.get(h)) {
			reported = 0
		}
		x.put(e, h, reported|flagAssumed|x.stamp(e, now))
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

// Evicts tells whether the endpoint has reported a removal within the last evictMemory.
func (x *Index) Evicts(name string, now time.Time) bool {
	e := x.endpoints[name]
	return e != nil && !e.removedAt.IsZero() && now.Sub(e.removedAt) < evictMemory
}

// After returns the sequence number after which events of the endpoint's current incarnation are wanted.
func (x *Index) After(name string) uint64 {
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

// Drop voids all entries of an endpoint that crashed, was withdrawn or does not answer. Replies asked for up to
// now bring nothing back.
func (x *Index) Drop(name string, now time.Time) {
	e := x.endpoints[name]
	if e == nil {
		e = &endpoint{life: x.settings.Life}
		x.endpoints[name] = e
	}
	x.void(e)
	if e.incarnation != "" {
		e.dropped = e.incarnation
	}
	e.incarnation = ""
	e.since = now
	for other, o := range x.endpoints {
		if o.incarnation == "" && now.Sub(o.since) > dropMemory {
			delete(x.endpoints, other)
		}
	}
}

// Len returns the number of entries over all endpoints.
func (x *Index) Len() int {
	return x.entries
}

func (x *Index) current(name, incarnation string) *endpoint {
	e := x.endpoints[name]
	if e == nil || e.incarnation == "" || e.incarnation != incarnation {
		return nil
	}
	return e
}

func (x *Index) begin(e *endpoint, incarnation string, now time.Time) {
	for _, old := range [...]string{e.incarnation, e.dropped} {
		if old != "" && old != incarnation {
			e.dead = append(e.dead, old)
		}
	}
	if len(e.dead) > maxDead {
		e.dead = append([]string(nil), e.dead[1:]...)
	}
	x.void(e)
	e.dropped = ""
	e.incarnation = incarnation
	e.since = now
}

func (x *Index) void(e *endpoint) {
	x.entries -= e.table.used
	e.table = table{}
	e.lastSeq = 0
	e.unsure = 0
}

func (e *endpoint) isDead(incarnation string) bool {
	for _, d := range e.dead {
		if d == incarnation {
			return true
		}
	}
	return false
}

// stored confirms an entry. While an own decision is so recent that the event may be older, its time is kept, so
// that a removal from before the decision does not delete the entry either.
func (x *Index) stored(e *endpoint, hash uint64, now time.Time) {
	stamp := e.table.get(hash)
	if stamp&flagAssumed != 0 && stamp&tickMask > e.unsure && x.age(stamp, now) < x.settings.EventLag {
		x.put(e, hash, stamp|flagReported)
		return
	}
	x.put(e, hash, flagReported|x.stamp(e, now))
}

// removed deletes an entry, unless an own decision is so recent that the removal may be older.
func (x *Index) removed(e *endpoint, hash uint64, now time.Time) {
	stamp := e.table.get(hash)
	if stamp == 0 {
		return
	}
	age := x.age(stamp, now)
	if stamp&flagReported != 0 {
		e.learnLife(age)
	}
	if stamp&flagAssumed != 0 && age < x.settings.EventLag {
		x.put(e, hash, stamp&^flagReported)
		return
	}
	if e.table.remove(hash) {
		x.entries--
	}
}

// cleared keeps only own decisions that may be newer than the event.
func (x *Index) cleared(e *endpoint, now time.Time) {
	old := e.table.slots
	x.entries -= e.table.used
	e.table = table{}
	for _, s := range old {
		if s.stamp&flagAssumed != 0 && x.age(s.stamp, now) < x.settings.EventLag {
			x.put(e, s.hash(), s.stamp&^flagReported)
		}
	}
}

func (x *Index) put(e *endpoint, hash uint64, stamp uint32) {
	if !e.table.set(hash, stamp) {
		return
	}
	x.entries++
	if x.entries > x.settings.MaxEntries {
		x.largest().table.evict(evictSample)
		x.entries--
	}
}

func (x *Index) largest() *endpoint {
	var best *endpoint
	for _, e := range x.endpoints {
		if best == nil || e.table.used > best.table.used {
			best = e
		}
	}
	return best
}

// vouched reports whether events without a gap since the report stand behind the entry.
func (x *Index) vouched(e *endpoint, stamp uint32) bool {
	return stamp&flagReported != 0 && stamp&tickMask > e.unsure
}

func (x *Index) usable(e *endpoint, stamp uint32, now time.Time) bool {
	if x.vouched(e, stamp) {
		return true
	}
	return x.age(stamp, now) < e.life
}

// learnLife takes the time between the last known use of a block and its removal into the mean.
func (e *endpoint) learnLife(age time.Duration) {
	age = min(max(age, minLife), maxLife)
	e.life += (age - e.life) / lifeWeight
}

// ticks returns the time as a number of ticks from 1. The number ends at tickMask, after 124 days, when the
// index starts again empty.
func (x *Index) ticks(now time.Time) uint32 {
	n := int64(now.Sub(x.start)/tick) + 1
	if n > int64(tickMask) {
		x.restart(now)
		n = 1
	}
	return uint32(max(n, 1))
}

// stamp returns the time for a new entry. It is later than the last gap, which may lie in the same tick.
func (x *Index) stamp(e *endpoint, now time.Time) uint32 {
	return max(x.ticks(now), e.unsure+1)
}

func (x *Index) restart(now time.Time) {
	x.start = now
	for _, e := range x.endpoints {
		last := e.lastSeq
		x.void(e)
		e.lastSeq = last
	}
}

func (x *Index) age(stamp uint32, now time.Time) time.Duration {
	at := x.start.Add(time.Duration(stamp&tickMask) * tick)
	return now.Sub(at)
}
