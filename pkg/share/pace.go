package share

import (
	"math"
	"time"
)

const (
	// paceFor is the time for which a VM paces what it admits of a workspace after a refusal. Without it, all VMs admit at
	// once each time that there are tokens again, before they hear of each other.
	paceFor = time.Second
	// paceSpan is the time whose tokens a VM may admit at once while it paces.
	paceSpan = 250 * time.Millisecond
	// ownRateShare is the weight of the newest exchange in a VM's own rate.
	ownRateShare = 0.2
)

// pace refills the credit of a workspace that was over its rate lately. It reports whether the credit counts.
func (l *Limiter) pace(workspace string, b *bucket, now time.Time) bool {
	if b.refusedAt.IsZero() || now.Sub(b.refusedAt) > paceFor {
		b.credit, b.creditAt = 0, now
		return false
	}
	pace := l.ownPace(workspace, b)
	b.credit = math.Min(b.credit+pace*now.Sub(b.creditAt).Seconds(), pace*paceSpan.Seconds())
	b.creditAt = now
	return true
}

// ownPace returns this VM's part of the rate of a workspace that is over it, in tokens per second: as much as it
// admitted lately of all that was admitted, and at least an equal part.
func (l *Limiter) ownPace(workspace string, b *bucket) float64 {
	sum := b.ownRate
	for _, p := range l.peers {
		sum += p.rate[workspace]
	}
	part := 1 / float64(len(l.peers)+1)
	if sum > 0 {
		part = math.Max(part, b.ownRate/sum)
	}
	return b.rate * part
}

// noteReport updates the rate of this VM.
func (b *bucket) noteReport(now time.Time) {
	if elapsed := now.Sub(b.reportedAt).Seconds(); elapsed > 0 {
		lately := math.Max(float64(b.admitted-b.reported)/elapsed, 0)
		b.ownRate += (lately - b.ownRate) * ownRateShare
	}
	b.reported, b.reportedAt = b.admitted, now
}
