package crashguard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxCrashed is the number of endpoints that one request may crash before it is refused everywhere.
	maxCrashed = 3
	// tallyFor is the time for which a crash counts. A caller repeats such a request sooner.
	tallyFor = 60 * time.Second
	// expireEvery bounds the work of a flood of new requests.
	expireEvery = time.Second
	// maxTallied bounds the remembered requests.
	maxTallied = 4096
	// evicted is the number of requests that make place at once for new ones, so that a flood of them sorts the tally rarely.
	evicted = maxTallied / 8
)

// Crash is one endpoint that broke off while it ran a request.
type Crash struct {
	Fingerprint uint64
	// Endpoint names one start of an endpoint.
	Endpoint string
}

// tallied is what is known of one request.
type tallied struct {
	endpoints map[string]time.Time
	// notedAt is when the last crash was noted.
	notedAt time.Time
}

// Tally counts the endpoints that broke off while they ran a request, over all VMs. A request is refused once there are
// three of them and no endpoint has answered it. It does not run accused requests apart as Guard does: an innocent one
// would have to be on three endpoints that crash, and a clean run clears it. It is safe for one goroutine.
type Tally struct {
	requests map[uint64]*tallied
	// expired is when old crashes were last dropped.
	expired time.Time
	// dropped counts requests that made place for others.
	dropped int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{requests: map[uint64]*tallied{}}
}

// Note records a crash. It reports whether it was unknown.
func (t *Tally) Note(c Crash, now time.Time) bool {
	r := t.requests[c.Fingerprint]
	if r == nil {
		if len(t.requests) >= maxTallied {
			t.expire(now)
		}
		if len(t.requests) >= maxTallied {
			t.makePlace()
		}
		r = &tallied{endpoints: map[string]time.Time{}}
		t.requests[c.Fingerprint] = r
	}
	if _, known := r.endpoints[c.Endpoint]; known {
		return false
	}
	r.endpoints[c.Endpoint] = now
	r.notedAt = now
	return true
}

// Endpoints returns the number of endpoints that a request crashed.
func (t *Tally) Endpoints(fingerprint uint64) int {
	r := t.requests[fingerprint]
	if r == nil {
		return 0
	}
	return len(r.endpoints)
}

// makePlace drops the least dangerous requests: those with the fewest crashes, and among these the oldest.
func (t *Tally) makePlace() {
	all := slices.Collect(maps.Keys(t.requests))
	slices.SortFunc(all, func(a, b uint64) int {
		ra, rb := t.requests[a], t.requests[b]
		return cmp.Or(cmp.Compare(len(ra.endpoints), len(rb.endpoints)), ra.notedAt.Compare(rb.notedAt), cmp.Compare(a, b))
	})
	for _, fingerprint := range all[:evicted] {
		delete(t.requests, fingerprint)
		t.dropped++
	}
}

// Size returns the number of remembered requests, and how many made place for others so far.
func (t *Tally) Size() (requests, dropped int) {
	return len(t.requests), t.dropped
}

// Clear forgets a request that an endpoint answered.
func (t *Tally) Clear(fingerprint uint64) {
	delete(t.requests, fingerprint)
}

// Refuse reports whether a request must not be sent to another endpoint.
func (t *Tally) Refuse(fingerprint uint64, now time.Time) bool {
	r := t.requests[fingerprint]
	if r == nil {
		return false
	}
	r.expire(now)
	return len(r.endpoints) >= maxCrashed
}

// Recent returns the crashes noted after a time, for peers.
func (t *Tally) Recent(after time.Time) []Crash {
	var out []Crash
	for fingerprint, r := range t.requests {
		for endpoint, at := range r.endpoints {
			if at.After(after) {
				out = append(out, Crash{Fingerprint: fingerprint, Endpoint: endpoint})
			}
		}
	}
	return out
}

func (r *tallied) expire(now time.Time) {
	for endpoint, at := range r.endpoints {
		if now.Sub(at) > tallyFor {
			delete(r.endpoints, endpoint)
		}
	}
}

func (t *Tally) expire(now time.Time) {
	if now.Sub(t.expired) < expireEvery {
		return
	}
	t.expired = now
	for fingerprint, r := range t.requests {
		if r.expire(now); len(r.endpoints) == 0 {
			delete(t.requests, fingerprint)
		}
	}
}
