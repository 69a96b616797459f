package standin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults holds the fault switches of a stand-in. It is safe for concurrent use.
type Faults[F any] struct {
	mu      sync.Mutex
	value   F
	changed chan struct{}
}

// Get returns the switches.
func (f *Faults[F]) Get() F {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Set replaces the switches.
func (f *Faults[F]) Set(v F) {
	f.Update(func(cur *F) { *cur = v })
}

// Update changes the switches under the lock and wakes those who wait in Until.
func (f *Faults[F]) Update(change func(*F)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.value)
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// Until blocks while the condition holds and stop is open. It reports whether the condition ended.
func (f *Faults[F]) Until(stop <-chan struct{}, holds func(F) bool) bool {
	for {
		wait := f.waitIf(holds)
		if wait == nil {
			return true
		}
		select {
		case <-wait:
		case <-stop:
			return false
		}
	}
}

// Changed returns a channel that closes at the next change.
func (f *Faults[F]) Changed() <-chan struct{} {
	return f.waitIf(func(F) bool { return true })
}

// waitIf returns a channel that closes at the next change, or nil if the condition does not hold.
func (f *Faults[F]) waitIf(holds func(F) bool) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !holds(f.value) {
		return nil
	}
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// Serve answers GET, POST (sets the named switches, keeps the others) and DELETE (clears all) on /faults.
// It reports whether the request changed the switches.
func (f *Faults[F]) Serve(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		Answer(ctx, fasthttp.StatusOK, f.Get())
		return false
	case fasthttp.MethodDelete:
		var none F
		f.Set(none)
		Answer(ctx, fasthttp.StatusOK, none)
		return true
	case fasthttp.MethodPost:
		return f.post(ctx)
	default:
		Refuse(ctx, fasthttp.StatusMethodNotAllowed, "method", "use GET, POST or DELETE")
		return false
	}
}

func (f *Faults[F]) post(ctx *fasthttp.RequestCtx) bool {
	var err error
	f.Update(func(cur *F) {
		next := *cur
		if err = json.Unmarshal(ctx.PostBody(), &next); err == nil {
			*cur = next
		}
	})
	if err != nil {
		Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	Answer(ctx, fasthttp.StatusOK, f.Get())
	return true
}

// Pause waits for d or until stop closes. It reports whether the whole time passed.
func Pause(d time.Duration, stop <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-stop:
		return false
	}
}

// Millis converts milliseconds to a duration.
func Millis(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// Micros converts microseconds to a duration.
func Micros(us int64) time.Duration {
	return time.Duration(us) * time.Microsecond
}
