package admit

import (
	"math"
	"time"
)

// drainMemory is the time after which an observation of the service rate counts for 1/e.
const drainMemory = 5 * time.Second

// drainMinimum is the busy time that must be observed before the rate is used.
const drainMinimum = 500 * time.Millisecond

// drainMinWait is the least wait of a request that counts. Requests that pass an empty queue tell nothing about the
// speed of service.
const drainMinWait = time.Millisecond

// drain measures the rate at which requests leave a queue that is not empty, in tokens per second.
type drain struct {
	tokens float64
	// busy is the observed time in seconds during which something waited.
	busy float64
	// since is the begin of the time that is not in busy yet. Zero while nothing waits.
	since time.Time
}

// begin starts a time during which something waits.
func (d *drain) begin(now time.Time) {
	d.since = now
}

// end records that nothing waits any more.
func (d *drain) end(now time.Time) {
	d.advance(now)
	d.since = time.Time{}
}

// served records that a request left after it waited.
func (d *drain) served(tokens int64, now time.Time) {
	d.advance(now)
	d.tokens += float64(tokens)
}

func (d *drain) advance(now time.Time) {
	if d.since.IsZero() {
		return
	}
	passed := now.Sub(d.since).Seconds()
	if passed <= 0 {
		return
	}
	keep := math.Exp(-passed / drainMemory.Seconds())
	d.tokens *= keep
	d.busy = d.busy*keep + passed
	d.since = now
}

// rate returns tokens per second, or zero while too little was observed. Time without a served request counts,
// so that the rate falls when the endpoints stand still.
func (d *drain) rate(now time.Time) float64 {
	busy := d.busy
	if !d.since.IsZero() {
		busy += max(now.Sub(d.since).Seconds(), 0)
	}
	if busy < drainMinimum.Seconds() {
		return 0
	}
	return d.tokens / busy
}
