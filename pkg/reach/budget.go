package reach

import "time"

// budget bounds how often something is done: at a rate per second, and at most burst times at once.
type budget struct {
	rate, burst float64
	tokens      float64
	at          time.Time
}

// newBudget returns a budget of which nothing is used.
func newBudget(rate, burst float64) budget {
	return budget{rate: rate, burst: burst, tokens: burst}
}

// take reports whether it may be done now, and counts it then.
func (b *budget) take(now time.Time) bool {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.at = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
