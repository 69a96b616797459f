package rollout

import (
	"math"
	"time"
)

const (
	// badScore is the score from which on the target is bad. A good version reaches it by chance less than once in e^9, about
	// 8,000, answers; a version whose answers are all bad reaches it with the fifth.
	badScore = 9
	// suspectScore is the score from which on the share is not raised.
	suspectScore = badScore / 2.0
	// certainBad is the number of bad answers that proves a version bad whatever its score, if the old version has less than
	// a third of its rate. It stays well below the 50 bad answers after which no request may be sent.
	certainBad       = 20
	certainBadFactor = 3
	// priorAnswers and priorBad are the assumed answers of the old version beside those that were seen.
	priorAnswers = 50
	priorBad     = 0.5
	// minOldRate and maxOldRate bound the rate of bad answers that the old version is assumed to have.
	minOldRate = 0.01
	maxOldRate = 0.4
	// minExcessRate is the least excess of a bad version's rate over that of the old version for which the test is sharpest.
	minExcessRate = 0.07
	// recentHalfLife is the half-life of the old version's recent rate. Trouble that strikes both versions, such as a burst of
	// load, shows in it before it shows in the rate since the order.
	recentHalfLife = 2 * time.Second
)

// sequentialTest is Page's CUSUM test: Wald's sequential probability ratio test for the hypotheses that an answer of the
// target is bad with the old version's rate, or with a rate that is higher by at least minExcessRate, begun anew whenever it
// favours the first (E. S. Page, Continuous Inspection Schemes, Biometrika 41, 1954). So a version that turns bad late is
// found as fast as one that is bad at once. The zero value is a test without answers.
type sequentialTest struct {
	// began is set after the first answers. Those of a holder that takes over reach back to the order, so they are not recent.
	began bool
	seen  Counts
	score float64
	// recentAnswers and recentBad are decayed sums over the answers of the old version.
	recentAnswers, recentBad float64
	// expectedBad is the number of bad answers that the old version would have given in place of the target.
	expectedBad float64
}

// oldRate returns the rate of bad answers that is expected of the old version.
func (t *sequentialTest) oldRate() float64 {
	whole := (float64(t.seen.OldBad) + priorBad) / (float64(t.seen.OldAnswers) + priorAnswers)
	recent := (t.recentBad + priorBad) / (t.recentAnswers + priorAnswers)
	return min(max(whole, recent, minOldRate), maxOldRate)
}

// observe adds the answers that are new in c. The time since the last call is elapsed.
func (t *sequentialTest) observe(c Counts, elapsed time.Duration) {
	decay := math.Exp2(-float64(elapsed) / float64(recentHalfLife))
	if t.began {
		t.recentAnswers = t.recentAnswers*decay + float64(c.OldAnswers-t.seen.OldAnswers)
		t.recentBad = t.recentBad*decay + float64(c.OldBad-t.seen.OldBad)
	}
	t.began = true
	bad := float64(c.NewBad - t.seen.NewBad)
	good := float64(c.clean() - t.seen.clean())
	t.seen = c
	t.expectedBad += (bad + good) * t.seenOldRate()
	good0 := t.oldRate()
	bad1 := good0 + max(minExcessRate, good0)
	t.score += bad*math.Log(bad1/good0) + good*math.Log((1-bad1)/(1-good0))
	t.score = max(t.score, 0)
}

// isBad reports whether the target is bad.
func (t *sequentialTest) isBad() bool {
	return t.score >= badScore || t.isCertain()
}

// isCertain reports whether the target has certainBad bad answers where the old version has few.
func (t *sequentialTest) isCertain() bool {
	if t.seen.NewBad < certainBad {
		return false
	}
	return float64(t.seen.NewBad) > certainBadFactor*t.expectedBad
}

// seenOldRate returns the rate of bad answers of the old version since the order, or the recent one if that is known and higher.
func (t *sequentialTest) seenOldRate() float64 {
	whole := (float64(t.seen.OldBad) + priorBad) / (float64(t.seen.OldAnswers) + priorAnswers)
	if t.recentAnswers < priorAnswers {
		return whole
	}
	return max(whole, t.recentBad/t.recentAnswers)
}

// verdict compares the target with the old version on all routes together and on each route alone.
type verdict struct {
	all    sequentialTest
	routes map[RouteID]*sequentialTest
	at     time.Time
}

// observe adds the evidence of all VMs.
func (v *verdict) observe(e Evidence, now time.Time) {
	var elapsed time.Duration
	if !v.at.IsZero() {
		elapsed = now.Sub(v.at)
	}
	v.at = now
	v.all.observe(e.Total(), elapsed)
	for route, c := range e {
		t := v.routes[route]
		if t == nil {
			t = &sequentialTest{}
			v.routes[route] = t
		}
		t.observe(c, elapsed)
	}
}

// worst returns the test with the highest score, and its route or zero for all routes together. A test that is certain
// comes first.
func (v *verdict) worst() (t *sequentialTest, route RouteID) {
	t = &v.all
	for id, other := range v.routes {
		if !t.isCertain() && (other.isCertain() || other.score > t.score) {
			t, route = other, id
		}
	}
	return t, route
}
