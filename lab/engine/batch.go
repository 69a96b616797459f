package engine

import (
	"bytes"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/lab/standin"
)

// maxStepCatchUp limits by how much a step is shortened after late steps, so that the delays of late timers do not
// accumulate.
const maxStepCatchUp = 20 * time.Millisecond

// step is one planned iteration over the running requests.
type step struct {
	generation uint64
	duration   time.Duration
	poisoned   bool
}

// runSteps runs batch steps until the engine closes.
func (e *Engine) runSteps() {
	defer close(e.loopDone)
	end := time.Now()
	for {
		s, busy := e.planStep()
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
		if end.Before(now.Add(-maxStepCatchUp)) {
			end = now
		}
		end = end.Add(s.duration)
		if !standin.Pause(time.Until(end), e.stop) {
			return
		}
		if !e.faults.Until(e.stop, func(f Faults) bool { return f.Freeze }) {
			return
		}
		e.commitStep(s)
	}
}

// awaitWork blocks until a request arrives and reports false if the engine closes first.
func (e *Engine) awaitWork() bool {
	select {
	case <-e.wake:
		return true
	case <-e.stop:
		return false
	}
}

// planStep admits waiting requests, spends the step's compute budget on prompts and returns the step. busy is false
// if no request is running.
func (e *Engine) planStep() (s step, busy bool) {
	f := e.faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCancelledLocked()
	lookups, poisoned := e.admitLocked(f.Poison)
	if poisoned {
		return step{poisoned: true}, true
	}
	if len(e.running) == 0 {
		return step{}, false
	}
	spent := e.computePromptsLocked()
	duration := max(e.opt.StepCost, spent)
	duration += e.opt.RunningCost * time.Duration(len(e.running))
	duration += e.opt.LookupCost * time.Duration(lookups)
	duration += standin.Millis(f.StepDelayMs)
	e.stats.MaxRunning = max(e.stats.MaxRunning, len(e.running))
	return step{generation: e.generation, duration: duration}, true
}

// dropCancelledLocked removes cancelled requests from the batch and from the waiting queue.
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
		e.recordStateLocked()
	}
}

// admitLocked moves waiting requests into the batch and returns the number of blocks looked up. poisoned reports that
// a request contains the poison text; that request stays in the waiting queue.
func (e *Engine) admitLocked(poison string) (lookups int, poisoned bool) {
	for len(e.running) < e.opt.MaxRunning && len(e.waiting) > 0 {
		q := e.popWaitingLocked()
		if poison != "" && bytes.Contains(q.prompt, []byte(poison)) {
			e.waiting = append(e.waiting, q)
			return lookups, true
		}
		lookups += e.startPrefillLocked(q)
		e.running = append(e.running, q)
	}
	if lookups > 0 {
		slices.SortStableFunc(e.running, compareSequences)
		e.recordStateLocked()
	}
	return lookups, false
}

// compareSequences orders sequences as they are served.
func compareSequences(a, b *sequence) int {
	switch {
	case a.servedBefore(b):
		return -1
	case b.servedBefore(a):
		return 1
	default:
		return 0
	}
}

// popWaitingLocked removes and returns the waiting request that is served first.
func (e *Engine) popWaitingLocked() *sequence {
	best := 0
	for i, q := range e.waiting {
		if q.servedBefore(e.waiting[best]) {
			best = i
		}
	}
	q := e.waiting[best]
	e.waiting = slices.Delete(e.waiting, best, best+1)
	return q
}

// startPrefillLocked looks the prompt up in the cache, queues the missing blocks for computing and returns the number
// of blocks looked up.
func (e *Engine) startPrefillLocked(q *sequence) int {
	q.held = e.cache.acquirePrefix(q.hashes)
	hits := len(q.held)
	missing := q.hashes[hits:]
	q.cached.Store(int64(hits * e.opt.BlockBytes / bytesPerToken))
	q.startPrefill(hits, e.opt.MissCost)
	e.stats.BlocksHit += int64(hits)
	e.stats.StaleHits += staleHits(q)
	e.stats.BlocksComputed += int64(len(missing))
	if len(missing) > 0 {
		e.stats.ComputedBySalt[q.salt] += int64(len(missing))
	}
	own := func(h uint64) bool { return e.cache.blocks[h] != nil }
	e.opt.Ledger.recordLookup(tokenCount(len(q.prompt)), hits, missing, own)
	return min(hits+1, len(q.hashes))
}

// staleHits returns the number of cache hits on blocks that were computed with other weights. It is above zero only if
// a client used the same chain seed for two versions.
func staleHits(q *sequence) int64 {
	var n int64
	for _, b := range q.held {
		if b.weights.Model != q.weights.Model || b.weights.Version != q.weights.Version {
			n++
		}
	}
	return n
}

// computePromptsLocked spends the compute time of one block (MissCost) on the running prompts, in their order, and
// returns the time spent.
func (e *Engine) computePromptsLocked() time.Duration {
	var spent time.Duration
	for _, q := range e.running {
		spent += q.compute(e.opt.MissCost - spent)
		if spent >= e.opt.MissCost {
			break
		}
	}
	return spent
}

// commitStep stores the computed blocks and sends one token of each request whose prompt is complete. A step that was
// planned before a crash has no effect.
func (e *Engine) commitStep(s step) {
	drop := e.faults.Get().EventDropRatio
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.generation != e.generation {
		return
	}
	stored, evicted := e.storeComputedLocked()
	now := time.Now()
	e.events.add(EventRemoved, evicted, drop, now)
	e.events.add(EventStored, stored, drop, now)
	e.running = slices.DeleteFunc(e.running, e.emitTokenLocked)
	e.recordStateLocked()
}

// storeComputedLocked moves the blocks computed in this step to the cache and returns the stored and evicted hashes.
func (e *Engine) storeComputedLocked() (stored, evicted []uint64) {
	for _, q := range e.running {
		for _, h := range q.computed {
			if q.cacheFull {
				break
			}
			b, out, added := e.cache.store(h, q.weights)
			evicted = append(evicted, out...)
			if b == nil {
				q.cacheFull = true
				break
			}
			q.held = append(q.held, b)
			if added {
				stored = append(stored, h)
			}
		}
		q.computed = nil
	}
	e.stats.BlocksEvicted += int64(len(evicted))
	e.opt.Ledger.addHolders(evicted, -1)
	e.opt.Ledger.addHolders(stored, 1)
	return stored, evicted
}

// emitTokenLocked sends the next token and reports whether the request is finished.
func (e *Engine) emitTokenLocked(q *sequence) bool {
	if !q.started || len(q.pending) > 0 || q.cancelled.Load() {
		return false
	}
	if q.next < q.outputLen {
		q.tokens <- q.next
		q.next++
		e.stats.Tokens++
	}
	if q.next < q.outputLen {
		return false
	}
	close(q.tokens)
	e.cache.release(q.held)
	e.stats.Finished++
	return true
}
