package admit

import "time"

// Limits of the retry budget: within the window, retries are at most a tenth of the first attempts and a floor
// that lets a quiet VM retry at all.
const (
	retryWindow  = 10 * time.Second
	retryShare   = 10
	retryFloor   = 3
	retryBuckets = 10
)

// RetryBudget bounds retries, so that a failing endpoint does not multiply the load. It is safe for one
// goroutine. The zero value is ready.
type RetryBudget struct {
	firsts  window
	retries window
}

// First counts a first attempt.
func (b *RetryBudget) First(now time.Time) {
	b.firsts.add(now)
}

// Left reports whether one retry is allowed.
func (b *RetryBudget) Left(now time.Time) bool {
	allowed := retryFloor + b.firsts.sum(now, retryBuckets)/retryShare
	return b.retries.sum(now, retryBuckets+1) < allowed
}

// Take reports whether one retry is allowed, and counts it if so.
func (b *RetryBudget) Take(now time.Time) bool {
	if !b.Left(now) {
		return false
	}
	b.retries.add(now)
	return true
}

// window counts events in the current bucket and the ten before it.
type window struct {
	counts [retryBuckets + 1]int
	bucket int64
}

func (w *window) advance(now time.Time) {
	bucket := now.UnixNano() / int64(retryWindow/retryBuckets)
	steps := bucket - w.bucket
	if steps <= 0 {
		return
	}
	for i := int64(1); i <= min(steps, int64(len(w.counts))); i++ {
		w.counts[w.index(w.bucket+i)] = 0
	}
	w.bucket = bucket
}

func (w *window) index(bucket int64) int {
	n := int64(len(w.counts))
	return int((bucket%n + n) % n)
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.index(w.bucket)]++
}

// sum returns the count of the newest buckets. Ten buckets cover at most the window, eleven at least the window.
func (w *window) sum(now time.Time, buckets int64) int {
	w.advance(now)
	total := 0
	for i := range buckets {
		total += w.counts[w.index(w.bucket-i)]
	}
	return total
}
