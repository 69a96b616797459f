package place

import (
	"math"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

const (
	// averageWeight is the weight of the newest observation in the moving averages.
	averageWeight = 0.15
	// averageHalfLife is the half-life of the moving averages. It lets an endpoint that was avoided be tried again.
	averageHalfLife = 4 * time.Second
	// minSlowdown and maxSlowdown bound a single observation.
	minSlowdown = 0.5
	maxSlowdown = 20.0
	// busyFor is how long busyPenaltyMs applies after a full endpoint refused a request.
	busyFor = 250 * time.Millisecond
	// minEjection and maxEjection bound the time for which an endpoint that fails is ejected.
	minEjection = 400 * time.Millisecond
	maxEjection = 6 * time.Second
	// unresponsiveAfter is the shortest wait for an answer after which an endpoint counts as unresponsive.
	unresponsiveAfter = 1200 * time.Millisecond
	// unresponsiveFactor is the multiple of the expected time to the first token that an endpoint is granted before it
	// counts as unresponsive.
	unresponsiveFactor = 4
)

// endpointState holds what this VM observed of one endpoint since the endpoint started.
type endpointState struct {
	startUnixMs int64
	load        Load
	versions    map[string]int64
	// slowdownAvg is the moving average of the observed time to the first token divided by the predicted one, and
	// failureAvg that of the share of failed attempts. slowdownAt and failureAt are the times of the last observations.
	slowdownAvg, failureAvg float64
	slowdownAt, failureAt   time.Time
	busyUntil               time.Time
	ejectUntil              time.Time
	ejections               int
	// pending holds the attempts without an outcome, in no order. A slice, since each placement reads all of them.
	pending           []*attempt
	lastAnswer        time.Time
	consecutiveBroken int
	// waitUntil is the time until which the endpoint asked this VM to send no requests.
	waitUntil time.Time
	// versionUncertainUntil is the time until which the endpoint's weight version counts as uncertain.
	versionUncertainUntil time.Time
}

// stateOf returns the state of an endpoint and creates it if needed. A restart of the endpoint resets it.
func (p *Placer) stateOf(e *fleet.Endpoint) *endpointState {
	s := p.states[e.ID]
	if s != nil && (s.startUnixMs == e.StartTimeMs || e.StartTimeMs == 0) {
		return s
	}
	next := &endpointState{startUnixMs: e.StartTimeMs, slowdownAvg: 1, versions: map[string]int64{}}
	p.states[e.ID] = next
	return next
}

// version returns the newest known weight version of a model on the endpoint, or 0.
func (s *endpointState) version(e *fleet.Endpoint, model string) int64 {
	return max(e.Versions[model], s.versions[model])
}

// decay returns the factor by which an observation made at since has lost weight by now.
func decay(since time.Time, now time.Time) float64 {
	if since.IsZero() {
		return 0
	}
	return math.Exp2(-float64(now.Sub(since)) / float64(averageHalfLife))
}

// slowdown returns the factor that corrects the predicted time. Without new observations it tends to 1.
func (s *endpointState) slowdown(now time.Time) float64 {
	return 1 + (s.slowdownAvg-1)*decay(s.slowdownAt, now)
}

// failureRate returns the share of failed attempts. Without new observations it tends to 0.
func (s *endpointState) failureRate(now time.Time) float64 {
	if s.failureAvg == 0 {
		return 0
	}
	return s.failureAvg * decay(s.failureAt, now)
}

// observeSlowdown adds a ratio of observed to predicted time to the moving average.
func (s *endpointState) observeSlowdown(ratio float64, now time.Time) {
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	s.slowdownAvg = s.slowdown(now)*(1-averageWeight) + ratio*averageWeight
	s.slowdownAt = now
}

// recordResult adds an attempt to the failure average: 1 for a failed attempt, 0 for a successful one.
func (s *endpointState) recordResult(failed float64, now time.Time) {
	s.failureAvg = s.failureRate(now)*(1-averageWeight) + failed*averageWeight
	s.failureAt = now
}

// eject excludes the endpoint for a time that doubles with each ejection, up to maxEjection.
func (s *endpointState) eject(now time.Time) {
	pause := minEjection << min(s.ejections, 4)
	s.ejections++
	s.ejectUntil = now.Add(min(pause, maxEjection))
}

// unresponsive reports whether a request on the endpoint has waited for its first token much longer than predicted,
// with no other answer in the meantime.
func (s *endpointState) unresponsive(now time.Time) bool {
	for _, x := range s.pending {
		if x.answered {
			continue
		}
		limit := max(unresponsiveAfter, time.Duration(unresponsiveFactor*x.expectedMs*float64(time.Millisecond)))
		if now.Sub(x.sentAt) > limit && s.lastAnswer.Before(x.sentAt.Add(limit)) {
			return true
		}
	}
	return false
}

// addPending adds an attempt.
func (s *endpointState) addPending(x *attempt) {
	s.pending = append(s.pending, x)
}

// dropPending drops an attempt, if it is pending.
func (s *endpointState) dropPending(x *attempt) {
	i := slices.Index(s.pending, x)
	if i < 0 {
		return
	}
	last := len(s.pending) - 1
	s.pending[i] = s.pending[last]
	s.pending[last] = nil
	s.pending = s.pending[:last]
}

// healthy drops ejected and unresponsive endpoints, unless none would be left. It reuses the slice.
func healthy(candidates []Candidate, now time.Time) []Candidate {
	unhealthy := func(c Candidate) bool {
		return now.Before(c.state.ejectUntil) || c.state.unresponsive(now)
	}
	if !slices.ContainsFunc(candidates, func(c Candidate) bool { return !unhealthy(c) }) {
		return candidates
	}
	return slices.DeleteFunc(candidates, unhealthy)
}

// versionUncertainFor is how long an endpoint is excluded after it answered with other weights than expected. The
// endpoint's next record contains the version.
const versionUncertainFor = 500 * time.Millisecond

// RecordBackoff records that an endpoint refused a request and asked this VM to send no others for the given time. It
// never shortens an earlier wait.
func (p *Placer) RecordBackoff(e *fleet.Endpoint, d time.Duration, now time.Time) {
	s := p.stateOf(e)
	if until := now.Add(d); until.After(s.waitUntil) {
		s.waitUntil = until
	}
}

// WaitsUntil returns the time until which an endpoint asked this VM to send no requests, or the zero time.
func (p *Placer) WaitsUntil(e *fleet.Endpoint) time.Time {
	return p.stateOf(e).waitUntil
}

// MarkVersionUncertain records that an endpoint runs other weights than expected.
func (p *Placer) MarkVersionUncertain(e *fleet.Endpoint, now time.Time) {
	p.stateOf(e).versionUncertainUntil = now.Add(versionUncertainFor)
}
