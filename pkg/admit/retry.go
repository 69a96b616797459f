package admit

import "time"

// Limits of the retry budget: within RetryWindow, retries are at most a tenth of the first attempts plus a floor that
// lets a VM with few requests retry.
const (
	// RetryWindow is the period in which retries are counted.
	RetryWindow           = 10 * time.Second
	firstAttemptsPerRetry = 10
	// retryFloor is the number of retries allowed in addition to the share of first attempts.
	retryFloor = 3
	// retryBuckets is the number of buckets into which RetryWindow is divided.
	retryBuckets = 10
	// floorShare is the share of a system's slack that the floors of its VMs may use together. The rest is for VMs that
	// restart, whose earlier process may have used its floor.
	floorShare = 0.5
)

// RetryFloor returns the number of retries that one VM may send within RetryWindow beyond its share of first attempts,
// if all VMs together may send slack of them. Set fresh for a VM that started within RetryWindow into a running system.
func RetryFloor(slack float64, vms int, fresh bool) int {
	floor := slack * floorShare / float64(max(vms, 1))
	if fresh {
		floor *= floorShare
	}
	return min(int(floor), retryFloor)
}

// RetryBudget limits retries, so that a failing endpoint does not multiply the load. The zero value is ready to use. It
// is not safe for concurrent use.
type RetryBudget struct {
	firsts  slidingCount
	retries slidingCount
	// floorReduction is the number of retries by which the floor is below retryFloor.
	floorReduction int
}

// SetFloor sets the number of retries allowed within RetryWindow beyond the share of first attempts. It is at most the
// default of 3.
func (b *RetryBudget) SetFloor(floor int) {
	b.floorReduction = retryFloor - min(floor, retryFloor)
}

// CountFirst counts a first attempt.
func (b *RetryBudget) CountFirst(now time.Time) {
	b.firsts.add(now)
}

// CanRetry reports whether one retry is allowed.
func (b *RetryBudget) CanRetry(now time.Time) bool {
	return b.canRetry(1, now)
}

// canRetry reports whether a number of retries is allowed.
func (b *RetryBudget) canRetry(count int, now time.Time) bool {
	allowed := retryFloor - b.floorReduction + b.firsts.sum(now, retryBuckets)/firstAttemptsPerRetry
	return b.retries.sum(now, retryBuckets+1)+count <= allowed
}

// Take reports whether one retry is allowed, and counts it if so.
func (b *RetryBudget) Take(now time.Time) bool {
	if !b.CanRetry(now) {
		return false
	}
	b.retries.add(now)
	return true
}

// TakeSome counts as many retries as are allowed, at most the given number, and returns how many. It counts none if fewer than
// least are allowed. Those that are not used are to be given back.
func (b *RetryBudget) TakeSome(least, most int, now time.Time) (taken int) {
	for taken = most; taken >= least; taken-- {
		if b.canRetry(taken, now) {
			for range taken {
				b.retries.add(now)
			}
			return taken
		}
	}
	return 0
}

// GiveBack undoes the count of a retry that was taken and not used. One that was taken too long ago counts no more.
func (b *RetryBudget) GiveBack(now time.Time) {
	b.retries.remove(now)
}

// slidingCount counts events in the current bucket and the ten before it.
type slidingCount struct {
	counts [retryBuckets + 1]int
	bucket int64
}

// advance clears the buckets that began since the last call.
func (w *slidingCount) advance(now time.Time) {
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

// index returns the position of a bucket in counts.
func (w *slidingCount) index(bucket int64) int {
	n := int64(len(w.counts))
	return int((bucket%n + n) % n)
}

// add counts an event.
func (w *slidingCount) add(now time.Time) {
	w.advance(now)
	w.counts[w.index(w.bucket)]++
}

// remove undoes the count of an event, in the newest bucket that has one.
func (w *slidingCount) remove(now time.Time) {
	w.advance(now)
	for i := range int64(len(w.counts)) {
		if n := &w.counts[w.index(w.bucket-i)]; *n > 0 {
			*n--
			return
		}
	}
}

// sum returns the count of the newest buckets. Ten buckets cover at most RetryWindow, eleven at least RetryWindow.
func (w *slidingCount) sum(now time.Time, buckets int64) int {
	w.advance(now)
	total := 0
	for i := range buckets {
		total += w.counts[w.index(w.bucket-i)]
	}
	return total
}
