package engine

import (
	"bytes"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// maxCatchUp bounds the time that a late step may win back, so that timers that fire late do not add up.
const maxCatchUp = 20 * time.Millisecond

// step is one planned pass over the running requests.
type step struct {
	generation uint64
	lasts      time.Duration
	poisoned   bool
}

// loop runs steps until the engine closes.
func (e *Engine) loop() {
	defer close(e.loopDone)
	end := time.Now()
	for {
		s, busy := e.plan()
		if s.poisoned {
			e.crash()
			continue
		}
		if !busy {
			if !e.awaitWork() {
				return
			}
			continue
		}
		now := time.Now()
		if end.Before(now.Add(-maxCatchUp)) {
			end = now
		}
		end = end.Add(s.lasts)
		if !standin.Pause(time.Until(end), e.stop) {
			return
		}
		if !e.faults.Until(e.stop, func(f Faults) bool { return f.Freeze }) {
			return
		}
		e.commit(s)
	}
}

// awaitWork blocks until a request arrives. It returns false when the engine closes.
func (e *Engine) awaitWork() bool {
	select {
	case <-e.wake:
		return true
	case <-e.stop:
		return false
	}
}

// plan admits waiting requests, spends the prompt budget and returns the step. busy is false when no request
// runs.
func (e *Engine) plan() (s step, busy bool) {
	f := e.faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCancelledLocked()
	looked, poisoned := e.admitLocked(f.Poison)
	if poisoned {
		return step{poisoned: true}, true
	}
	if len(e.running) == 0 {
		return step{}, false
	}
	spent := e.prefillLocked()
	lasts := max(e.opt.StepCost, spent)
	lasts += e.opt.RunningCost * time.Duration(len(e.running))
	lasts += e.opt.LookupCost * time.Duration(looked)
	lasts += standin.Millis(f.StepDelayMs)
	e.stats.MaxRunning = max(e.stats.MaxRunning, len(e.running))
	return step{generation: e.generation, lasts: lasts}, true
}

func (e *Engine) dropCancelledLocked() {
	gone := func(q *sequence) bool {
		if !q.cancelled.Load() {
			return false
		}
		e.cache.release(q.held)
		e.stats.Cancelled++
		return true
	}
	before := len(e.running) + len(e.waiting)
	e.running = slices.DeleteFunc(e.running, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	if len(e.running)+len(e.waiting) != before {
		e.reportLocked()
	}
}

// admitLocked moves waiting requests into the batch and returns the number of looked-up blocks.
func (e *Engine) admitLocked(poison string) (looked int, poisoned bool) {
	for len(e.running) < e.opt.MaxRunning && len(e.waiting) > 0 {
		q := e.popLocked()
		if poison != "" && bytes.Contains(q.prompt, []byte(poison)) {
			e.waiting = append(e.waiting, q)
			return looked, true
		}
		looked += e.beginLocked(q)
		e.running = append(e.running, q)
	}
	if looked > 0 {
		slices.SortStableFunc(e.running, order)
		e.reportLocked()
	}
	return looked, false
}

func order(a, b *sequence) int {
	switch {
	case a.before(b):
		return -1
	case b.before(a):
		return 1
	default:
		return 0
	}
}

func (e *Engine) popLocked() *sequence {
	best := 0
	for i, q := range e.waiting {
		if q.before(e.waiting[best]) {
			best = i
		}
	}
	q := e.waiting[best]
	e.waiting = slices.Delete(e.waiting, best, best+1)
	return q
}

// beginLocked looks the prompt up in the cache and returns the number of looked-up blocks.
func (e *Engine) beginLocked(q *sequence) int {
	q.held = e.cache.take(q.hashes)
	hits := len(q.held)
	missing := q.hashes[hits:]
	q.cached.Store(int64(hits * e.opt.BlockBytes / bytesPerToken))
	q.begin(hits, e.opt.MissCost)
	e.stats.BlocksHit += int64(hits)
	e.stats.StaleHits += staleHits(q)
	e.stats.BlocksComputed += int64(len(missing))
	if len(missing) > 0 {
		e.stats.ComputedBySalt[q.salt] += int64(len(missing))
	}
	own := func(h uint64) bool { return e.cache.blocks[h] != nil }
	e.opt.Ledger.looked(tokensOf(len(q.prompt)), hits, missing, own)
	return min(hits+1, len(q.hashes))
}

// staleHits counts the blocks found that were computed with other weights. It is above zero only when a caller
// gave the same chain seed for two versions.
func staleHits(q *sequence) int64 {
	var n int64
	for _, b := range q.held {
		if b.owner.Model != q.owner.Model || b.owner.Version != q.owner.Version {
			n++
		}
	}
	return n
}

// prefillLocked spends the budget of one block on the prompts, in order.
func (e *Engine) prefillLocked() time.Duration {
	var spent time.Duration
	for _, q := range e.running {
		spent += q.compute(e.opt.MissCost - spent)
		if spent >= e.opt.MissCost {
			break
		}
	}
	return spent
}

// commit stores the computed blocks and sends one token of each request whose prompt is done.
func (e *Engine) commit(s step) {
	drop := e.faults.Get().EventDropRatio
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.generation != e.generation {
		return
	}
	stored, evicted := e.storeLocked()
	now := time.Now()
	e.events.add(EventRemoved, evicted, drop, now)
	e.events.add(EventStored, stored, drop, now)
	e.running = slices.DeleteFunc(e.running, e.advanceLocked)
	e.reportLocked()
}

func (e *Engine) storeLocked() (stored, evicted []uint64) {
	for _, q := range e.running {
		for _, h := range q.finished {
			if q.unstored {
				break
			}
			b, out, added := e.cache.store(h, q.owner)
			evicted = append(evicted, out...)
			if b == nil {
				q.unstored = true
				break
			}
			q.held = append(q.held, b)
			if added {
				stored = append(stored, h)
			}
		}
		q.finished = nil
	}
	e.stats.BlocksEvicted += int64(len(evicted))
	e.opt.Ledger.held(evicted, -1)
	e.opt.Ledger.held(stored, 1)
	return stored, evicted
}

// advanceLocked sends the next token and reports whether the request is done.
func (e *Engine) advanceLocked(q *sequence) bool {
	if !q.started || len(q.work) > 0 || q.cancelled.Load() {
		return false
	}
	if q.next < q.end {
		q.tokens <- q.next
		q.next++
		e.stats.Tokens++
	}
	if q.next < q.end {
		return false
	}
	close(q.tokens)
	e.cache.release(q.held)
	e.stats.Finished++
	return true
}
