// Package limit enforces the token rate and burst of each workspace over all VMs together.
//
// Rate and burst of a workspace are divided over slots. A VM mints tokens only for the slots that it holds under a
// lease, starting empty, so the sum over all VMs never exceeds the burst plus the rate times the elapsed time. A VM
// that is short collects tokens from peers. The package holds no I/O: time, ids and leases are passed in.
package limit

import (
	"math"
	"math/bits"
	"time"
)

// MaxTokens is the largest rate or burst of a workspace, in tokens per second or tokens. Larger settings are cut
// to it, so that products with nanoseconds fit 128 bits and their quotients 64.
const MaxTokens = int64(1_000_000_000)

// bucket is the stock of one workspace in one slot.
type bucket struct {
	// tokens is the whole stock; rest is the minted part of the next token, in units of 1/(burst*1e9) token.
	tokens int64
	rest   uint64
	// mintedTo is the time up to which tokens were minted.
	mintedTo time.Time
}

// share is the part of a workspace's rate and burst that one slot has.
type share struct {
	rate  int64
	burst int64
	// cap is the largest stock of the slot. The caps of all slots add up to the burst. The slot mints
	// rate*cap/burst tokens per second, so that all slots are full after the same time.
	cap int64
}

// newShare divides the burst so that parts differ by at most one token and no fraction is lost.
func newShare(rate, burst int64, slot, slots int) share {
	n := int64(slots)
	i := int64(slot)
	return share{
		rate:  rate,
		burst: burst,
		cap:   burst*(i+1)/n - burst*i/n,
	}
}

// mint adds the tokens minted since mintedTo. The remainder is carried over, so that nothing is lost or gained
// however often it is called.
func (b *bucket) mint(s share, now time.Time) {
	elapsed := now.Sub(b.mintedTo)
	if elapsed <= 0 {
		return
	}
	b.mintedTo = now
	if s.rate <= 0 || s.cap <= 0 {
		return
	}
	// After burst/rate seconds the bucket is full from any stock.
	if elapsed >= fillTime(s) {
		b.fill(s)
		return
	}
	unit := uint64(s.burst) * uint64(time.Second)
	hi, lo := bits.Mul64(uint64(s.rate)*uint64(s.cap), uint64(elapsed))
	lo, carry := bits.Add64(lo, b.rest, 0)
	minted, rest := bits.Div64(hi+carry, lo, unit)
	b.tokens += int64(minted)
	b.rest = rest
	if b.tokens >= s.cap {
		b.fill(s)
	}
}

// fill sets the stock to the cap.
func (b *bucket) fill(s share) {
	b.tokens = s.cap
	b.rest = 0
}

// fillTime returns the time after which an empty bucket is full, rounded up.
func fillTime(s share) time.Duration {
	return mintTime(s.burst, s.rate)
}

// mintTime returns the time in which a rate mints the tokens, rounded up, or math.MaxInt64 where it takes longer
// than a Duration holds or forever.
func mintTime(tokens, rate int64) time.Duration {
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
