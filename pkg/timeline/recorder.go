package timeline

import (
	"slices"
	"sync"
	"time"
)

// Event is something that happened on a VM.
type Event struct {
	Stamp
	// VM is the name of the VM.
	VM string `json:"vm"`
	// Incarnation tells starts of the VM's process apart.
	Incarnation string `json:"incarnation"`
	// Part is the part of the program, such as config or limit.
	Part string `json:"part"`
	// Name tells what happened.
	Name string `json:"name"`
	// Request is the id of the request, or empty.
	Request string `json:"request,omitempty"`
	// Detail is free text.
	Detail string `json:"detail,omitempty"`
	// Duration is the time that ended at the stamp, or zero for a moment.
	Duration time.Duration `json:"duration_ns,omitempty"`
}

// Recorder keeps the newest events of this VM in a ring buffer. It is safe for concurrent use.
type Recorder struct {
	clock       *Clock
	vm          string
	incarnation string

	mu     sync.Mutex
	events []Event
	// oldest is the index of the oldest event once the buffer is full.
	oldest int
	size   int
	lost   int64
}

// NewRecorder returns a recorder for the newest size events, at least one.
func NewRecorder(clock *Clock, vm, incarnation string, size int) *Recorder {
	return &Recorder{clock: clock, vm: vm, incarnation: incarnation, size: max(size, 1)}
}

// Record stamps an event and keeps it. Stamp, VM and Incarnation are filled in.
func (r *Recorder) Record(event Event, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is taken under the lock, so that the buffer is in order of stamps.
	event.Stamp = r.clock.Now(now)
	event.VM = r.vm
	event.Incarnation = r.incarnation
	if len(r.events) < r.size {
		r.events = append(r.events, event)
		return
	}
	r.events[r.oldest] = event
	r.oldest = (r.oldest + 1) % r.size
	r.lost++
}

// Events returns the kept events from wall time sinceNs (nanoseconds since 1970) on, oldest first.
func (r *Recorder) Events(sinceNs int64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	ordered := slices.Concat(r.events[r.oldest:], r.events[:r.oldest])
	first, _ := slices.BinarySearchFunc(ordered, sinceNs, func(e Event, since int64) int {
		if e.WallNs < since {
			return -1
		}
		return 1
	})
	return ordered[first:]
}

// Lost returns the number of events that newer ones have overwritten.
func (r *Recorder) Lost() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}
