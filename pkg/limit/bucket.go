// Package limit enforces the token rate and burst of each workspace over all VMs together.
//
// The rate and burst of a workspace are divided into slots. A VM refills a bucket only for the slots that it holds
// under a lease, and a slot that it acquires starts empty, so the VMs together never spend more than the burst plus the
// rate times the elapsed time. A VM with too few tokens collects more from its peers. The package does no I/O: time,
// ids and leases are passed in.
package limit

import (
	"math"
	"math/bits"
	"time"
)

// MaxTokens is the largest rate or burst of a workspace, in tokens per second or tokens. Larger settings are reduced to
// it, so that products with nanoseconds fit in 128 bits and their quotients in 64.
const MaxTokens = int64(1_000_000_000)

// bucket is the token bucket of one workspace in one slot.
type bucket struct {
	// tokens is the number of whole tokens; remainder is the fraction of the next one, in units of 1/(burst*1e9) token.
	tokens    int64
	remainder uint64
	// refilledAt is the time up to which the bucket was refilled.
	refilledAt time.Time
}

// share is the part of a workspace's rate and burst that one slot receives.
type share struct {
	rate  int64
	burst int64
	// cap is the largest number of tokens in the slot. The capacities of all slots add up to the burst. The slot
	// refills at rate*cap/burst tokens per second, so that all slots are full after the same time.
	cap int64
}

// newShare returns the share of one slot. The capacities of the slots differ by at most one token and lose no fraction.
func newShare(rate, burst int64, slot, slots int) share {
	n := int64(slots)
	i := int64(slot)
	return share{
		rate:  rate,
		burst: burst,
		cap:   burst*(i+1)/n - burst*i/n,
	}
}

// refill adds the tokens for the time since refilledAt. It carries the remainder over, so that the number and the
// spacing of the calls do not change the total.
func (b *bucket) refill(s share, now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	if s.rate <= 0 || s.cap <= 0 {
		return
	}
	// A bucket is full after burst/rate seconds, however many tokens it had.
	if elapsed >= fullRefillTime(s) {
		b.fill(s)
		return
	}
	unit := uint64(s.burst) * uint64(time.Second)
	hi, lo := bits.Mul64(uint64(s.rate)*uint64(s.cap), uint64(elapsed))
	lo, carry := bits.Add64(lo, b.remainder, 0)
	added, remainder := bits.Div64(hi+carry, lo, unit)
	b.tokens += int64(added)
	b.remainder = remainder
	if b.tokens >= s.cap {
		b.fill(s)
	}
}

// fill sets the bucket to its capacity.
func (b *bucket) fill(s share) {
	b.tokens = s.cap
	b.remainder = 0
}

// fullRefillTime returns the time in which an empty bucket becomes full, rounded up.
func fullRefillTime(s share) time.Duration {
	return refillTime(s.burst, s.rate)
}

// refillTime returns the time in which a rate yields the tokens, rounded up. It returns math.MaxInt64 if the rate never
// yields them or the time exceeds a Duration.
func refillTime(tokens, rate int64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64
	}
	hi, lo := bits.Mul64(uint64(max(0, tokens)), uint64(time.Second))
	if hi >= uint64(rate) {
		return math.MaxInt64
	}
	q, r := bits.Div64(hi, lo, uint64(rate))
	if r > 0 {
		q++
	}
	if q > math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(q)
}
