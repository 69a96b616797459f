package drain

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Entry is a request in progress. Its setters may run while others read it.
type Entry struct {
	// ID is the caller's id of the request.
	ID string
	// Arrived is when its header was read.
	Arrived time.Time

	endpoint atomic.Pointer[string]
	events   atomic.Int64
}

// SetEndpoint records the endpoint to which the request was sent last.
func (e *Entry) SetEndpoint(id string) {
	e.endpoint.Store(&id)
}

// Endpoint returns the endpoint to which the request was sent last, or an empty text.
func (e *Entry) Endpoint() string {
	if id := e.endpoint.Load(); id != nil {
		return *id
	}
	return ""
}

// AddEvent counts an event of a stream that was passed on to the caller.
func (e *Entry) AddEvent() {
	e.events.Add(1)
}

// Events returns the number of events that were passed on.
func (e *Entry) Events() int64 {
	return e.events.Load()
}

// Register holds the requests in progress. It is safe for concurrent use. The zero value is empty.
type Register struct {
	mu      sync.Mutex
	entries map[*Entry]struct{}
}

// Begin adds a request. End must be called with the entry that it returns.
func (r *Register) Begin(id string, arrived time.Time) *Entry {
	e := &Entry{ID: id, Arrived: arrived}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = map[*Entry]struct{}{}
	}
	r.entries[e] = struct{}{}
	return e
}

// End removes a request.
func (r *Register) End(e *Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, e)
}

// Len returns the number of requests in progress.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// List returns the requests in progress, the earliest first.
func (r *Register) List() []*Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*Entry, 0, len(r.entries))
	for e := range r.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *Entry) int { return a.Arrived.Compare(b.Arrived) })
	return out
}
