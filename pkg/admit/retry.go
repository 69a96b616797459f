package admit

import "time"

// Limits of the retry budget: within the window, retries are at most a tenth of the first attempts and a floor
// that lets a quiet VM retry at all.
const (
	// RetryWindow is the time within which retries are counted.
	RetryWindow  = 10 * time.Second
	retryShare   = 10
	retryFloor   = 3
	retryBuckets = 10
	// floorPart is the part of a system's slack that the floors of its VMs may use up together. The rest is for VMs that
	// start again, whose earlier process may have used its floor.
	floorPart = 0.5
)

// RetryFloor returns the retries that one VM may send in the window beyond its share of first attempts, where all VMs
// together may send slack of them. A fresh VM is one that started within the window into a running system.
func RetryFloor(slack float64, vms int, fresh bool) int {
	floor := slack * floorPart / float64(max(vms, 1))
	if fresh {
		floor *= floorPart
	}
	return min(int(floor), retryFloor)
}

// RetryBudget bounds retries, so that a failing endpoint does not multiply the load. It is safe for one
// goroutine. The zero value is ready.
type RetryBudget struct {
	firsts  window
	retries window
	// lowered is how much lower than retryFloor the floor is.
	lowered int
}

// SetFloor sets the retries that are allowed in the window beyond the share of first attempts, at most the default of 3.
func (b *RetryBudget) SetFloor(floor int) {
	b.lowered = retryFloor - min(floor, retryFloor)
}

// First counts a first attempt.
func (b *RetryBudget) First(now time.Time) {
	b.firsts.add(now)
}

// Left reports whether one retry is allowed.
func (b *RetryBudget) Left(now time.Time) bool {
	allowed := retryFloor - b.lowered + b.firsts.sum(now, retryBuckets)/retryShare
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
	bucket := now.UnixNano() / int64(RetryWindow/retryBuckets)
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
