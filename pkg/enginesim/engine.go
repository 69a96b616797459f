// Package enginesim is a model of a language-model engine for tests of decisions under load. It works in steps on a
// simulated clock and does no I/O.
//
// All running requests share a step. A step yields one output token for each request whose prompt has been read, and
// reads one chunk of the prompts that wait. It lasts Step, PerRunning for each running request, and the time to read the
// chunk. So outputs slow down while prompts wait. Requests enter the batch in the order of urgency and arrival, as far
// as slots and memory allow.
package enginesim

import (
	"cmp"
	"slices"
	"time"
)

// Config describes an engine.
type Config struct {
	// Slots is the largest number of requests in the batch.
	Slots int
	// MemoryTokens is the KV cache for running requests, in tokens.
	MemoryTokens int
	// Step is the time of a step without prompts, and PerRunning what each running request adds.
	Step, PerRunning time.Duration
	// TokensPerMs is the speed of reading prompts, in tokens per millisecond, and ChunkTokens the most read in one step.
	TokensPerMs float64
	ChunkTokens int
}

// Request is a request to an engine.
type Request struct {
	ID uint64
	// Uncached is the number of prompt tokens to read, and Cached that of those found in the cache.
	Uncached, Cached int
	// Output is the number of tokens to generate, at least 1.
	Output int
	// Urgency is the rank, 0 first.
	Urgency int
}

// EventKind is what happened to a request.
type EventKind int

const (
	// FirstToken means that the first output token was generated.
	FirstToken EventKind = iota
	// Done means that the last one was. It follows FirstToken.
	Done
)

// Event tells what happened to a request, and when.
type Event struct {
	ID   uint64
	Kind EventKind
	At   time.Time
}

// job is the progress of a request.
type job struct {
	Request
	unread, made int
}

// memory returns the tokens that the request occupies at its end.
func (j *job) memory() int {
	return j.Uncached + j.Cached + j.Output
}

// Engine is a simulated engine. It is not safe for concurrent use.
type Engine struct {
	config Config
	// now is the end of the last step.
	now              time.Time
	waiting, running []*job
	// slowdown multiplies the time of each step.
	slowdown float64
}

// New returns an idle engine.
func New(c Config, now time.Time) *Engine {
	return &Engine{config: c, now: now, slowdown: 1}
}

// SetSlowdown makes each later step take the given multiple of its time.
func (e *Engine) SetSlowdown(factor float64) {
	e.slowdown = factor
}

// Submit adds a request to the queue. Call Advance up to the present time first.
func (e *Engine) Submit(r Request) {
	e.waiting = append(e.waiting, &job{Request: r, unread: r.Uncached})
	slices.SortStableFunc(e.waiting, func(a, b *job) int { return cmp.Compare(a.Urgency, b.Urgency) })
}

// Cancel removes a request.
func (e *Engine) Cancel(id uint64) {
	matches := func(j *job) bool { return j.ID == id }
	e.waiting = slices.DeleteFunc(e.waiting, matches)
	e.running = slices.DeleteFunc(e.running, matches)
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int { return len(e.running) }

// Waiting returns the number of requests in the queue.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Advance runs the steps that begin before the given time and returns what happened in them.
func (e *Engine) Advance(to time.Time) []Event {
	var out []Event
	for e.now.Before(to) {
		e.admit()
		if len(e.running) == 0 {
			e.now = to
			break
		}
		out = append(out, e.step()...)
	}
	return out
}

// admit moves waiting requests into the batch.
func (e *Engine) admit() {
	used := 0
	for _, j := range e.running {
		used += j.memory()
	}
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		next := e.waiting[0]
		if len(e.running) > 0 && used+next.memory() > e.config.MemoryTokens {
			return
		}
		used += next.memory()
		e.running = append(e.running, next)
		e.waiting = e.waiting[1:]
	}
}

// step runs one step.
func (e *Engine) step() []Event {
	budget := e.config.ChunkTokens
	took := e.config.Step + time.Duration(len(e.running))*e.config.PerRunning
	read := 0
	var produced []*job
	for _, j := range e.running {
		if part := min(j.unread, budget-read); part > 0 {
			j.unread -= part
			read += part
		}
		if j.unread == 0 {
			produced = append(produced, j)
		}
	}
	took += time.Duration(float64(read) / e.config.TokensPerMs * float64(time.Millisecond))
	e.now = e.now.Add(time.Duration(float64(took) * e.slowdown))
	var out []Event
	for _, j := range produced {
		j.made++
		if j.made == 1 {
			out = append(out, Event{ID: j.ID, Kind: FirstToken, At: e.now})
		}
		if j.made >= j.Output {
			out = append(out, Event{ID: j.ID, Kind: Done, At: e.now})
		}
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.made >= max(j.Output, 1) })
	return out
}
