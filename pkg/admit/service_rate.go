package admit

import (
	"math"
	"time"
)

// rateTimeConstant is the time after which an observation has a weight of 1/e.
const rateTimeConstant = 5 * time.Second

// minBusyTime is the busy time that must be observed before the rate is used.
const minBusyTime = 500 * time.Millisecond

// minRateWait is the shortest wait of a request that counts for the rate. Requests that pass an empty queue do not show
// the speed of service.
const minRateWait = time.Millisecond

// serviceRate measures the rate at which requests leave a queue that is not empty, in tokens per second.
type serviceRate struct {
	tokens float64
	// busySeconds is the observed time during which the queue was not empty. Like tokens, it decays.
	busySeconds float64
	// countedUntil is the time up to which busySeconds is counted. Zero while the queue is empty.
	countedUntil time.Time
}

// start begins a period in which the queue is not empty.
func (d *serviceRate) start(now time.Time) {
	d.countedUntil = now
}

// stop ends a period in which the queue is not empty.
func (d *serviceRate) stop(now time.Time) {
	d.advance(now)
	d.countedUntil = time.Time{}
}

// served counts the tokens of a request that left the queue after a wait.
func (d *serviceRate) served(tokens int64, now time.Time) {
	d.advance(now)
	d.tokens += float64(tokens)
}

// advance decays the sums and adds the time since countedUntil.
func (d *serviceRate) advance(now time.Time) {
	if d.countedUntil.IsZero() {
		return
	}
	passed := now.Sub(d.countedUntil).Seconds()
	if passed <= 0 {
		return
	}
	keep := math.Exp(-passed / rateTimeConstant.Seconds())
	d.tokens *= keep
	d.busySeconds = d.busySeconds*keep + passed
	d.countedUntil = now
}

// rate returns the rate in tokens per second, or zero while too little was observed. Time without a served request
// counts, so that the rate falls when the endpoints stop serving.
func (d *serviceRate) rate(now time.Time) float64 {
	busySeconds := d.busySeconds
	if !d.countedUntil.IsZero() {
		busySeconds += max(now.Sub(d.countedUntil).Seconds(), 0)
	}
	if busySeconds < minBusyTime.Seconds() {
		return 0
	}
	return d.tokens / busySeconds
}
