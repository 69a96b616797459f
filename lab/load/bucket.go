package load

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is one request as its workspace's bucket sees it.
type Demand struct {
	At     time.Duration
	Tokens int64
	// Refused tells that the router refused it before it ran.
	Refused bool
}

// WrongfulRefusals replays the demands of one workspace, in order of time, on a single exact bucket that starts
// empty. Admitted requests are charged at their arrival, which is the earliest time at which the router can charge
// them, so a request counts as inside only if its tokens were there for certain. A wrongfully refused request also
// spends its tokens: the exact bucket would have admitted it and then refused the next. It returns the number of
// requests inside rate and burst and how many of those were refused.
func WrongfulRefusals(l Limit, demands []Demand) (inside, refused int) {
	level := 0.0
	last := time.Duration(0)
	for _, d := range demands {
		level += (d.At - last).Seconds() * float64(l.TokensPerSecond)
		level = min(level, float64(l.BurstTokens))
		last = d.At
		fits := level >= float64(d.Tokens)
		if fits {
			inside++
		}
		if fits && d.Refused {
			refused++
		}
		if fits || !d.Refused {
			level -= float64(d.Tokens)
		}
	}
	return inside, refused
}

// Charge is an admitted request. The router charged it at some time between From and To.
type Charge struct {
	From   time.Duration
	To     time.Duration
	Tokens int64
}

// OverAdmitted returns the largest excess of tokens over burst + rate × t in any window of length t. Only charges
// that lie in the window for certain count, so the result is a proven excess.
func OverAdmitted(l Limit, charges []Charge) int64 {
	byEnd := slices.Clone(charges)
	slices.SortFunc(byEnd, func(a, b Charge) int { return cmp.Compare(a.To, b.To) })
	worst := 0.0
	for _, first := range charges {
		sum := int64(0)
		for _, c := range byEnd {
			if c.From < first.From {
				continue
			}
			sum += c.Tokens
			window := (c.To - first.From).Seconds()
			allowed := float64(l.BurstTokens) + float64(l.TokensPerSecond)*window
			worst = max(worst, float64(sum)-allowed)
		}
	}
	return int64(math.Ceil(worst))
}
