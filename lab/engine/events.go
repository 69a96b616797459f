package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// maxEvents bounds the events kept for readers; older ones are lost to them.
const maxEvents = 1 << 16

// eventLog holds the cache events of one incarnation. It is safe for concurrent use.
type eventLog struct {
	mu      sync.Mutex
	rng     *rand.Rand
	name    string
	next    int64
	entries []eventEntry
	grown   chan struct{}
}

type eventEntry struct {
	event Event
	at    time.Time
	lost  bool
}

func newEventLog(seed uint64) *eventLog {
	return &eventLog{
		rng:   rand.New(rand.NewPCG(seed, 1)),
		next:  1,
		grown: make(chan struct{}),
	}
}

// restart forgets all events and begins a new incarnation.
func (l *eventLog) restart(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.name = incarnation
	l.next = 1
	l.entries = nil
	l.wakeLocked()
}

func (l *eventLog) wakeLocked() {
	close(l.grown)
	l.grown = make(chan struct{})
}

// add appends an event, which is lost with the probability dropRatio.
func (l *eventLog) add(kind EventKind, hashes []uint64, dropRatio float64, now time.Time) {
	if len(hashes) == 0 && kind != EventCleared {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, eventEntry{
		event: Event{Seq: l.next, Kind: kind, Hashes: hashes},
		at:    now,
		lost:  dropRatio > 0 && l.rng.Float64() < dropRatio,
	})
	l.next++
	if len(l.entries) > maxEvents {
		l.entries = l.entries[len(l.entries)-maxEvents:]
	}
	l.wakeLocked()
}

// read returns the events after the number that are at least delay old. The second result is the time until the
// next event is old enough, or 0; the channel closes when an event is added.
func (l *eventLog) read(after int64, limit int, delay time.Duration, now time.Time) (EventReply, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := EventReply{Incarnation: l.name, Events: []Event{}, Last: l.next - 1 - int64(len(l.entries))}
	for _, e := range l.entries {
		if left := e.at.Add(delay).Sub(now); left > 0 {
			return reply, left, l.grown
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
	return reply, 0, l.grown
}

// poll reads until there is an event after the number, the wait is over or stop closes. A number above the
// newest event belongs to an earlier incarnation and is answered at once.
func (l *eventLog) poll(after int64, limit int, wait time.Duration, delay func() time.Duration, stop <-chan struct{}) EventReply {
	deadline := time.Now().Add(wait)
	for {
		now := time.Now()
		reply, ripe, grown := l.read(after, limit, delay(), now)
		left := deadline.Sub(now)
		if len(reply.Events) > 0 || l.beyond(after) || left <= 0 {
			return reply
		}
		if ripe > 0 {
			left = min(left, ripe)
			grown = nil
		}
		if !awaitEither(left, grown, stop) {
			return reply
		}
	}
}

// beyond tells whether the number was never given under this incarnation.
func (l *eventLog) beyond(after int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return after >= l.next
}

// awaitEither waits for the time or the channel. It returns false when stop closes.
func awaitEither(d time.Duration, grown, stop <-chan struct{}) bool {
	if grown == nil {
		return standin.Pause(d, stop)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-grown:
	case <-stop:
		return false
	}
	return true
}
