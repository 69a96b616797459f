package share

import (
	"math"
	"time"
)

const (
	// pacingPeriod is how long a VM paces the admission of a workspace after a refusal. Without pacing, all VMs admit
	// at once whenever tokens become available, before the reports of the others arrive.
	pacingPeriod = time.Second
	// pacingBurst is the time whose tokens a VM may admit at once while it paces.
	pacingBurst = 250 * time.Millisecond
	// ownRateWeight is the weight of the newest report interval in ownRate.
	ownRateWeight = 0.2
)

// refillCredit refills the credit of a workspace that exceeded its rate within pacingPeriod. It reports whether the
// credit limits admission.
func (l *Limiter) refillCredit(workspace string, b *bucket, now time.Time) bool {
	if b.refusedAt.IsZero() || now.Sub(b.refusedAt) > pacingPeriod {
		b.credit, b.creditAt = 0, now
		return false
	}
	rate := l.pacedRate(workspace, b)
	b.credit = math.Min(b.credit+rate*now.Sub(b.creditAt).Seconds(), rate*pacingBurst.Seconds())
	b.creditAt = now
	return true
}

// pacedRate returns this VM's part of the rate of a workspace that exceeds it, in tokens per second: the VM's share of
// what all VMs recently admitted, but at least an equal share.
func (l *Limiter) pacedRate(workspace string, b *bucket) float64 {
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

// updateOwnRate updates ownRate with what was admitted since the last report.
func (b *bucket) updateOwnRate(now time.Time) {
	if elapsed := now.Sub(b.reportedAt).Seconds(); elapsed > 0 {
		lately := math.Max(float64(b.admitted-b.reported)/elapsed, 0)
		b.ownRate += (lately - b.ownRate) * ownRateWeight
	}
	b.reported, b.reportedAt = b.admitted, now
}
