package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// maxRetainedEvents limits the retained events; older ones are discarded and cannot be read.
const maxRetainedEvents = 1 << 16

// eventLog holds the cache events of one incarnation. It is safe for concurrent use.
type eventLog struct {
	mu            sync.Mutex
	rng           *rand.Rand
	incarnationID string
	nextSeq       int64
	entries       []eventEntry
	// changed is closed and replaced when an event is added or the log restarts.
	changed chan struct{}
}

// eventEntry is an event with its time. A lost event uses a sequence number but is never returned.
type eventEntry struct {
	event Event
	at    time.Time
	lost  bool
}

func newEventLog(seed uint64) *eventLog {
	return &eventLog{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		nextSeq: 1,
		changed: make(chan struct{}),
	}
}

// restart deletes all events and begins a new incarnation.
func (l *eventLog) restart(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnationID = incarnation
	l.nextSeq = 1
	l.entries = nil
	l.wakeLocked()
}

func (l *eventLog) wakeLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// add appends an event, which is lost with probability dropRatio. An event without hashes is ignored, unless it
// reports that the cache was cleared.
func (l *eventLog) add(kind EventKind, hashes []uint64, dropRatio float64, now time.Time) {
	if len(hashes) == 0 && kind != EventCleared {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, eventEntry{
		event: Event{Seq: l.nextSeq, Kind: kind, Hashes: hashes},
		at:    now,
		lost:  dropRatio > 0 && l.rng.Float64() < dropRatio,
	})
	l.nextSeq++
	if len(l.entries) > maxRetainedEvents {
		l.entries = l.entries[len(l.entries)-maxRetainedEvents:]
	}
	l.wakeLocked()
}

// read returns up to limit events with a sequence number above after that are at least delay old. The second result
// is the time until the next event is old enough, or 0; the channel closes when the log changes.
func (l *eventLog) read(after int64, limit int, delay time.Duration, now time.Time) (EventReply, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := EventReply{Incarnation: l.incarnationID, Events: []Event{}, Last: l.nextSeq - 1 - int64(len(l.entries))}
	for _, e := range l.entries {
		if left := e.at.Add(delay).Sub(now); left > 0 {
			return reply, left, l.changed
		}
		reply.Last = e.event.Seq
		if e.event.Seq <= after || e.lost {
			continue
		}
		reply.Events = append(reply.Events, e.event)
		if len(reply.Events) == limit {
			break
		}
	}
	return reply, 0, l.changed
}

// poll waits until there is a readable event with a sequence number above after, the wait is over or stop closes.
// If after is above the newest event, it belongs to an earlier incarnation and poll returns immediately.
func (l *eventLog) poll(after int64, limit int, wait time.Duration, delay func() time.Duration, stop <-chan struct{}) EventReply {
	deadline := time.Now().Add(wait)
	for {
		now := time.Now()
		reply, untilReadable, changed := l.read(after, limit, delay(), now)
		left := deadline.Sub(now)
		if len(reply.Events) > 0 || l.neverIssued(after) || left <= 0 {
			return reply
		}
		if untilReadable > 0 {
			left = min(left, untilReadable)
			changed = nil
		}
		if !waitForEvent(left, changed, stop) {
			return reply
		}
	}
}

// neverIssued reports whether no event of this incarnation has the sequence number yet.
func (l *eventLog) neverIssued(after int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return after >= l.nextSeq
}

// waitForEvent waits for the duration, or until changed closes if it is not nil. It reports false if stop closes.
func waitForEvent(d time.Duration, changed, stop <-chan struct{}) bool {
	if changed == nil {
		return standin.Pause(d, stop)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-stop:
		return false
	}
	return true
}
