package standin

import (
	"sync"

	"github.com/valyala/fasthttp"
)

// Tally counts runs and records every request header that reached an endpoint. It is safe for concurrent use.
type Tally struct {
	mu      sync.Mutex
	runs    map[string]int64
	headers map[string]map[string]int64
}

// TallyReport is the JSON form of a tally.
type TallyReport struct {
	// Runs counts how often each key ran: "key:IDEMPOTENCY-KEY" or "body:DIGEST".
	Runs map[string]int64 `json:"runs"`
	// Headers counts each value seen under each request header name.
	Headers map[string]map[string]int64 `json:"headers"`
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{runs: map[string]int64{}, headers: map[string]map[string]int64{}}
}

// Seen records the headers of a request.
func (t *Tally) Seen(h *fasthttp.RequestHeader) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, v := range h.All() {
		t.seenLocked(string(k), string(v))
	}
}

func (t *Tally) seenLocked(name, value string) {
	values := t.headers[name]
	if values == nil {
		values = map[string]int64{}
		t.headers[name] = values
	}
	values[value]++
}

// Ran counts a run and returns how often the key has run, this run included.
func (t *Tally) Ran(key string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[key]++
	return t.runs[key]
}

// Report returns a copy of the counts.
func (t *Tally) Report() TallyReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := TallyReport{Runs: map[string]int64{}, Headers: map[string]map[string]int64{}}
	for k, n := range t.runs {
		out.Runs[k] = n
	}
	for name, values := range t.headers {
		seen := map[string]int64{}
		for v, n := range values {
			seen[v] = n
		}
		out.Headers[name] = seen
	}
	return out
}
