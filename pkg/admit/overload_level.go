package admit

import (
	"math"
	"time"
)

const (
	// levelInterval is the shortest time between two steps of the level.
	levelInterval = 100 * time.Millisecond
	// levelGain is the relative step of the admitted share for a pressure of twice the safe one, and maxLevelRise
	// and maxLevelFall are the largest steps of the refused share up and down. Steps are relative since callers that come
	// back at once multiply the demand many times.
	levelGain    = 0.15
	maxLevelRise = 0.25
	maxLevelFall = 0.1
	// lateTolerance is the share of late first tokens above which the level does not fall.
	lateTolerance = 0.05
	// leastAdmitted is the least admitted share. The rest shows whether the backlog is worked off.
	leastAdmitted = 0.005
	// latenessHalfLife is the half-life of observed first tokens.
	latenessHalfLife = 2 * time.Second
	// latenessPrior is the weight, in predicted time, of first tokens that come as predicted.
	latenessPrior = 500 * time.Millisecond
	// maxLateness bounds the factor, and maxObserved a single observation as a multiple of its prediction, so that one
	// silent endpoint does not decide on all requests.
	maxLateness = 6.0
	maxObserved = 8.0
)

// level is the share of work to refuse. It moves by one step in levelInterval.
type level struct {
	// share is the refused share, from 0 to 1 - leastAdmitted.
	share float64
	// steppedAt is the time of the last step.
	steppedAt time.Time
	// pressure is the sum over requests since then, and requests their number.
	pressure float64
	requests int
	// tokens and late count first tokens since then.
	tokens, late int
}

// observePressure adds the predicted first token of a request, relative to the safe time.
func (l *level) observePressure(pressure float64, now time.Time) {
	l.pressure += pressure
	l.requests++
	l.step(now)
}

// observeToken adds a first token, and whether it came after its objective.
func (l *level) observeToken(late bool, now time.Time) {
	l.tokens++
	if late {
		l.late++
	}
	l.step(now)
}

// step moves the level by what was observed since the last step.
func (l *level) step(now time.Time) {
	if l.steppedAt.IsZero() {
		l.steppedAt = now
	}
	passed := now.Sub(l.steppedAt)
	if passed < levelInterval {
		return
	}
	excess := -1.0
	if l.requests > 0 {
		excess = l.pressure/float64(l.requests) - 1
	}
	lateShare := 0.0
	if l.tokens > 0 {
		lateShare = float64(l.late) / float64(l.tokens)
	}
	if lateShare > lateTolerance {
		excess = max(excess, lateShare)
	}
	if excess < 0 {
		// Steps that no request caused are made up for.
		excess *= float64(passed) / float64(levelInterval)
	}
	admitted := (1 - l.share) * (1 - min(max(levelGain*excess, -maxLevelFall), maxLevelRise))
	l.share = 1 - min(max(admitted, leastAdmitted), 1)
	*l = level{share: l.share, steppedAt: now}
}

// latenessAverage is a decayed ratio of observed to predicted first tokens.
type latenessAverage struct {
	// observed and predicted are sums in milliseconds at the time at.
	observed, predicted float64
	at                  time.Time
}

// observe adds a first token.
func (l *latenessAverage) observe(f FirstToken, now time.Time) {
	l.decay(now)
	took := min(f.Took, scale(max(f.Predicted, time.Millisecond), maxObserved))
	l.observed += milliseconds(took)
	l.predicted += milliseconds(max(f.Predicted, time.Millisecond))
}

// decay reduces the sums to the present time.
func (l *latenessAverage) decay(now time.Time) {
	if passed := now.Sub(l.at); !l.at.IsZero() && passed > 0 {
		factor := math.Exp2(-float64(passed) / float64(latenessHalfLife))
		l.observed *= factor
		l.predicted *= factor
	}
	l.at = now
}

// factor returns the ratio, drawn towards 1 where little was observed.
func (l *latenessAverage) factor(now time.Time) float64 {
	l.decay(now)
	prior := milliseconds(latenessPrior)
	return min((l.observed+prior)/(l.predicted+prior), maxLateness)
}

// milliseconds converts a duration.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
