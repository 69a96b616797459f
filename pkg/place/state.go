package place

import (
	"math"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

const (
	// learnShare is the weight of one observation in the moving averages.
	learnShare = 0.15
	// forgetAfter is the time in which what was learned of an endpoint loses half its weight, so that an endpoint
	// that was avoided is tried again.
	forgetAfter = 4 * time.Second
	// slownessMin and slownessMax bound one observation.
	slownessMin = 0.5
	slownessMax = 20.0
	// busyFor is the time for which a refusal by a full endpoint counts.
	busyFor = 250 * time.Millisecond
	// ejectFirst and ejectMost bound the time for which an endpoint that cannot be reached is left out.
	ejectFirst = 400 * time.Millisecond
	ejectMost  = 6 * time.Second
	// silentAfter is the age of the oldest request without an answer at which an endpoint counts as silent.
	silentAfter = 1200 * time.Millisecond
	// silentFactor times the expected time is granted at least before an endpoint counts as silent.
	silentFactor = 4
)

// state is what this VM knows of one endpoint since its start.
type state struct {
	born     int64
	load     Load
	versions map[string]int64
	// slow is the observed time over the predicted one, as a moving average.
	slow, failing        float64
	slowAt, failAt       time.Time
	busyUntil            time.Time
	ejectUntil           time.Time
	ejections            int
	pending              map[uint64]*sent
	lastAnswer           time.Time
	consecutiveUnhealthy int
	// waitUntil is the end of the time for which the endpoint asked this VM to send nothing.
	waitUntil time.Time
	// doubtUntil is set while the endpoint's weight version is in doubt.
	doubtUntil time.Time
}

// stateOf returns the state of an endpoint. A new start of the endpoint begins a new one.
func (p *Placer) stateOf(e *fleet.Endpoint) *state {
	s := p.states[e.ID]
	if s != nil && (s.born == e.Born || e.Born == 0) {
		return s
	}
	next := &state{born: e.Born, slow: 1, versions: map[string]int64{}, pending: map[uint64]*sent{}}
	p.states[e.ID] = next
	return next
}

// version returns the newest known weight version of a model on the endpoint, or 0.
func (s *state) version(e *fleet.Endpoint, model string) int64 {
	return max(e.Versions[model], s.versions[model])
}

func decay(since time.Time, now time.Time) float64 {
	if since.IsZero() {
		return 0
	}
	return math.Exp2(-float64(now.Sub(since)) / float64(forgetAfter))
}

// slowness returns the factor on the predicted time, which tends to 1 without news.
func (s *state) slowness(now time.Time) float64 {
	return 1 + (s.slow-1)*decay(s.slowAt, now)
}

func (s *state) failureRate(now time.Time) float64 {
	return s.failing * decay(s.failAt, now)
}

func (s *state) observe(ratio float64, now time.Time) {
	ratio = min(max(ratio, slownessMin), slownessMax)
	s.slow = s.slowness(now)*(1-learnShare) + ratio*learnShare
	s.slowAt = now
}

func (s *state) recordResult(failed float64, now time.Time) {
	s.failing = s.failureRate(now)*(1-learnShare) + failed*learnShare
	s.failAt = now
}

func (s *state) eject(now time.Time) {
	pause := ejectFirst << min(s.ejections, 4)
	s.ejections++
	s.ejectUntil = now.Add(min(pause, ejectMost))
}

// silent tells that the oldest request there waits for its answer much longer than predicted.
func (s *state) silent(now time.Time) bool {
	for _, x := range s.pending {
		if x.answered {
			continue
		}
		limit := max(silentAfter, time.Duration(silentFactor*x.expected*float64(time.Millisecond)))
		if now.Sub(x.at) > limit && s.lastAnswer.Before(x.at.Add(limit)) {
			return true
		}
	}
	return false
}

// healthy drops endpoints that cannot be reached or are silent, unless nothing would be left. It reuses the slice.
func healthy(candidates []Candidate, now time.Time) []Candidate {
	unsound := func(c Candidate) bool {
		return now.Before(c.state.ejectUntil) || c.state.silent(now)
	}
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return !unsound(c) }) {
		return candidates
	}
	return slices.DeleteFunc(candidates, unsound)
}

// doubtFor is the time for which an endpoint is left out after it answered with other weights than expected. The
// endpoint's next record tells the version.
const doubtFor = 500 * time.Millisecond

// Wait records that an endpoint turned a request away and wants no other from this VM for a while.
func (p *Placer) Wait(e *fleet.Endpoint, d time.Duration, now time.Time) {
	s := p.stateOf(e)
	if until := now.Add(d); until.After(s.waitUntil) {
		s.waitUntil = until
	}
}

// Doubt records that an endpoint runs other weights than believed.
func (p *Placer) Doubt(e *fleet.Endpoint, now time.Time) {
	p.stateOf(e).doubtUntil = now.Add(doubtFor)
}
