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
	// Incarnation identifies one run of the VM's process.
	Incarnation string `json:"incarnation"`
	// Part is the part of the program that recorded the event, such as "config" or "limit".
	Part string `json:"part"`
	// Name is the kind of the event.
	Name string `json:"name"`
	// Request is the ID of the request to which the event belongs, or empty.
	Request string `json:"request,omitempty"`
	// Detail is free text.
	Detail string `json:"detail,omitempty"`
	// Duration is the length of a period that ended at the stamp, or zero for an instant.
	Duration time.Duration `json:"duration_ns,omitempty"`
}

// Recorder stores the newest events of this VM in a ring buffer. It is safe for concurrent use.
type Recorder struct {
	clock       *Clock
	vm          string
	incarnation string

	mu     sync.Mutex
	events []Event
	// oldest is the index of the oldest event. It is 0 until the buffer is full.
	oldest int
	size   int
	lost   int64
}

// NewRecorder returns a recorder that stores the newest size events, but at least one.
func NewRecorder(clock *Clock, vm, incarnation string, size int) *Recorder {
	return &Recorder{clock: clock, vm: vm, incarnation: incarnation, size: max(size, 1)}
}

// Record stores an event after filling in its Stamp, VM and Incarnation.
func (r *Recorder) Record(event Event, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The stamp is taken under the lock, so that the buffer is ordered by stamp.
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

// Events returns the stored events whose wall time is at least sinceNs, in nanoseconds since 1970, oldest first.
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

// Lost returns the number of events that were overwritten by newer ones.
func (r *Recorder) Lost() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}
