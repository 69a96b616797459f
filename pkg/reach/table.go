package reach

import (
	"slices"
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

const (
	// minCutEndpoints is the number of endpoints found to be cut off, since this VM last reached one of the service, from which
	// the whole service counts as cut off. A service with fewer endpoints left counts once all of them are.
	minCutEndpoints = 3
	// minProbePause and maxProbePause bound the time between two probes of an endpoint that is cut off. It doubles each time
	// that the endpoint is cut off again within flapTime.
	minProbePause = 500 * time.Millisecond
	maxProbePause = time.Second
	flapTime      = 10 * time.Second
	// explorePause is the time between two probes of endpoints that are not cut off, of a service that is or may be.
	explorePause = 250 * time.Millisecond
	// probeRate is the number of endpoints that are probed in a second, and maxProbes the number in one call of DueProbes.
	probeRate = 8
	maxProbes = 2
	// openingTime is the time after one endpoint of a service was reached again for which the others are probed at once.
	openingTime = 2 * time.Second
	// checkRate is the number of checks in a second, and maxChecks that of checks at once.
	checkRate = 4
	maxChecks = 8
	// answerRate is the number of connections in a second for questions of peers, and maxAnswers that at once.
	answerRate = 5
	maxAnswers = 4
	// minFailure is the shortest duration of an attempt that counts as failed slowly. One that is refused at once costs the
	// request little time.
	minFailure = 200 * time.Millisecond
	// failureTime is the longest time between two failed attempts of the same series.
	failureTime = 2 * time.Second
	// checkInterval is the shortest time between two checks of the same endpoint.
	checkInterval = time.Second
)

// path is what this VM knows of its path to one start of an endpoint.
type path struct {
	service string
	// reached is when something last arrived from the endpoint.
	reached time.Time
	// cut is set while the endpoint counts as cut off, and probe is how connections failed then.
	cut   bool
	probe Probe
	// cutAt is when it was last found to be cut off, probeAt when it is to be probed, and pause the time between probes.
	cutAt, probeAt time.Time
	pause          time.Duration
	// epoch is the epoch of the service when the path was cut off. failures is the number of the service's series of failures to
	// which the last failed attempt at this endpoint belongs.
	epoch, failures int
	// checkedAt is when a check last began.
	checkedAt time.Time
}

// serviceState is what this VM knows of a service as a whole.
type serviceState struct {
	// cut is the number of endpoints that are cut off, and fresh the number of those found so since something last arrived from
	// any endpoint of the service.
	cut, fresh int
	// failed is the number of endpoints at which attempts failed slowly in the present series of failures, the last at failedAt.
	// failures numbers the series. A series ends when something arrives, or when an attempt fails more than failureTime after the
	// last one: time alone does not end it.
	failed, failures int
	failedAt         time.Time
	// timedOut is the number of endpoints that are cut off and whose connections time out.
	timedOut int
	// epoch is the number of times that something arrived from one of its endpoints.
	epoch int
	// opened is when one of its endpoints was last reached again after a cut.
	opened time.Time
	// probedAt is when one of its endpoints was last probed, and exploredAt when one was that is not cut off itself.
	probedAt, exploredAt time.Time
}

// recordFailure records that an attempt failed at an endpoint of the service.
func (s *serviceState) recordFailure(p *path, now time.Time) {
	if now.Sub(s.failedAt) > failureTime {
		s.endFailures()
	}
	s.failedAt = now
	if p.failures != s.failures {
		p.failures = s.failures
		s.failed++
	}
}

// endFailures ends the present series of failures. The next failure begins a new one.
func (s *serviceState) endFailures() {
	s.failed = 0
	s.failures++
}

// Table holds the paths of this VM to the endpoints. It is safe for concurrent use; its lock is taken after all others.
type Table struct {
	mu       sync.Mutex
	paths    map[fleet.Incarnation]*path
	services map[string]*serviceState
	// probes, checks and answers bound what this VM spends to know its paths and those of its peers.
	probes, checks, answers budget
}

// NewTable returns a table in which every endpoint counts as reachable.
func NewTable() *Table {
	return &Table{
		paths: map[fleet.Incarnation]*path{}, services: map[string]*serviceState{}, probes: newBudget(probeRate, maxProbes),
		checks: newBudget(checkRate, maxChecks), answers: newBudget(answerRate, maxAnswers),
	}
}

// pathOf returns the path to an endpoint and creates it if needed. The caller holds the lock.
func (t *Table) pathOf(e *fleet.Endpoint) *path {
	p := t.paths[e.Incarnation()]
	if p == nil {
		p = &path{service: e.Service}
		t.paths[e.Incarnation()] = p
	}
	return p
}

// service returns the state of a service and creates it if needed. The caller holds the lock.
func (t *Table) service(name string) *serviceState {
	s := t.services[name]
	if s == nil {
		s = &serviceState{failures: 1}
		t.services[name] = s
	}
	return s
}

// RecordReached records that an endpoint accepted a connection of this VM. It reports whether the endpoint counted as cut off.
// The endpoints that were lost together with it, or together with its whole service, are taken to be back too.
func (t *Table) RecordReached(e *fleet.Endpoint, now time.Time) (opened bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reach(t.pathOf(e), now)
}

// RecordReceived records that something arrived from an endpoint on a connection that may have been open for long. It reports
// whether the endpoint counted as cut off and is reached again. While new connections to the service are refused, what arrives
// on older ones shows nothing about them.
func (t *Table) RecordReceived(e *fleet.Endpoint, now time.Time) (opened bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pathOf(e)
	if s := t.service(p.service); s.cut > 0 && s.timedOut == 0 {
		p.reached = now
		return false
	}
	return t.reach(p, now)
}

// reach is RecordReached for a caller that holds the lock.
func (t *Table) reach(p *path, now time.Time) (opened bool) {
	s := t.service(p.service)
	p.reached = now
	opened = p.cut
	lostTogether := p.cut && p.epoch == s.epoch
	if opened || s.fresh >= minCutEndpoints {
		s.opened = now
	}
	if lostTogether || s.fresh >= minCutEndpoints {
		t.openFresh(p.service)
	}
	t.uncount(p)
	p.cut = false
	s.epoch++
	s.fresh = 0
	s.endFailures()
	return opened
}

// openFresh takes the endpoints of a service that were cut off since something last arrived from it to be reached again. The
// caller holds the lock.
func (t *Table) openFresh(service string) {
	s := t.services[service]
	for _, p := range t.paths {
		if p.cut && p.service == service && p.epoch == s.epoch {
			t.uncount(p)
			p.cut = false
		}
	}
}

// RecordCut records that an endpoint is cut off from this VM while others reach it. It reports whether that is new.
func (t *Table) RecordCut(e *fleet.Endpoint, probe Probe, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pathOf(e)
	s := t.service(p.service)
	if p.cut {
		s.timedOut += timeouts(probe) - timeouts(p.probe)
		p.probe = probe
		return false
	}
	if !p.cutAt.IsZero() && now.Sub(p.cutAt) < flapTime {
		p.pause = min(2*p.pause, maxProbePause)
	} else {
		p.pause = minProbePause
	}
	p.cut, p.probe, p.cutAt, p.probeAt = true, probe, now, now.Add(p.pause)
	p.epoch = s.epoch
	s.cut++
	s.fresh++
	s.timedOut += timeouts(probe)
	return true
}

// Route is the way to an endpoint.
type Route int

const (
	// Direct means that this VM connects to the endpoint.
	Direct Route = iota
	// IdleOnly means that only a connection that is open already may be used. New ones are refused.
	IdleOnly
	// ThroughPeer means that only other VMs reach the endpoint.
	ThroughPeer
)

// RouteTo returns the way to an endpoint of a service with the given number of usable endpoints.
func (t *Table) RouteTo(e *fleet.Endpoint, usable int) Route {
	t.mu.Lock()
	defer t.mu.Unlock()
	probe := Unknown
	switch p := t.paths[e.Incarnation()]; {
	case p != nil && p.cut:
		probe = p.probe
	case t.serviceCut(e.Service, usable):
		probe = t.commonProbe(e.Service)
	case t.isSuspect(e.Service, usable):
		probe = TimedOut
	}
	switch probe {
	case Refused:
		return IdleOnly
	case TimedOut:
		return ThroughPeer
	}
	return Direct
}

// timeouts returns 1 for a connection that timed out, else 0.
func timeouts(p Probe) int {
	if p == TimedOut {
		return 1
	}
	return 0
}

// commonProbe returns how connections to the endpoints of a service fail that is cut off as a whole: TimedOut if one did. The
// caller holds the lock.
func (t *Table) commonProbe(service string) Probe {
	if t.services[service].timedOut > 0 {
		return TimedOut
	}
	return Refused
}

// CutOff reports whether a service with the given number of usable endpoints is cut off from this VM as a whole.
func (t *Table) CutOff(service string, usable int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serviceCut(service, usable)
}

// serviceCut is CutOff for a caller that holds the lock.
func (t *Table) serviceCut(service string, usable int) bool {
	s := t.services[service]
	if s == nil || s.fresh == 0 {
		return false
	}
	left := usable - (s.cut - s.fresh)
	return s.fresh >= min(minCutEndpoints, left)
}

// isSuspect reports whether attempts failed slowly at several endpoints of a service, or at all, and none was reached since.
// Requests to such a service go through peers although no peer has said that it reaches an endpoint: where all peers asked are
// cut off too, none can. The caller holds the lock.
func (t *Table) isSuspect(service string, usable int) bool {
	s := t.services[service]
	return s != nil && s.failed > 0 && s.failed >= min(minCutEndpoints, usable)
}

// Reachable returns the endpoints of a service that are not cut off, or all if each of them is. The slice that it is given is
// not changed.
func (t *Table) Reachable(endpoints []*fleet.Endpoint) []*fleet.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	cut := func(e *fleet.Endpoint) bool {
		p := t.paths[e.Incarnation()]
		return p != nil && p.cut
	}
	if !slices.ContainsFunc(endpoints, cut) {
		return endpoints
	}
	left := slices.DeleteFunc(slices.Clone(endpoints), cut)
	if len(left) == 0 {
		return endpoints
	}
	return left
}

// BeginCheck reports whether the path to an endpoint from which nothing has arrived since the given time is to be checked
// now, and records the check. An endpoint that is cut off is checked again, since it may have ended, but none is while the
// service is cut off as a whole.
func (t *Table) BeginCheck(e *fleet.Endpoint, since, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pathOf(e)
	s := t.service(p.service)
	if !p.reached.After(since) && now.Sub(since) >= minFailure {
		s.recordFailure(p, now)
	}
	if s.fresh >= minCutEndpoints {
		// Nothing of the service was reached since, so an answer would show nothing new.
		return false
	}
	if p.reached.After(since) || !p.checkedAt.IsZero() && now.Sub(p.checkedAt) < checkInterval || !t.checks.take(now) {
		return false
	}
	p.checkedAt = now
	return true
}

// BeginAnswer reports whether this VM may connect to an endpoint now to answer a question of a peer, and counts the connection.
// Else the answer is Unknown.
func (t *Table) BeginAnswer(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers.take(now)
}

// DueProbes returns the endpoints among those given that are to be probed now, at most maxProbes, and records the probes. They
// are cut off, or belong to a service that is or may be cut off as a whole. The service that was probed longest ago goes first,
// and within it the endpoint that has been due longest.
func (t *Table) DueProbes(endpoints []*fleet.Endpoint, now time.Time) []*fleet.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due, out []*fleet.Endpoint
	for _, e := range endpoints {
		if p := t.paths[e.Incarnation()]; p != nil && p.cut && t.isDue(p, now) {
			due = append(due, e)
		}
	}
	due = append(due, t.dueExplorations(endpoints, now)...)
	for len(due) > 0 && len(out) < maxProbes && t.probes.take(now) {
		next := slices.MinFunc(due, t.compareProbes)
		p := t.paths[next.Incarnation()]
		p.probeAt = now.Add(p.pause)
		s := t.services[p.service]
		s.probedAt = now
		if !p.cut {
			s.exploredAt = now
		}
		out = append(out, next)
		due = slices.DeleteFunc(due, func(e *fleet.Endpoint) bool { return e == next })
	}
	return out
}

// dueExplorations returns, for each service that is or may be cut off as a whole, the endpoint to be probed among those that are
// not cut off themselves. Probing only the cut ones is not enough, since all of them may have ended. The caller holds the lock.
func (t *Table) dueExplorations(endpoints []*fleet.Endpoint, now time.Time) []*fleet.Endpoint {
	usable := map[string]int{}
	for name, s := range t.services {
		if (s.fresh > 0 || s.failed > 0) && now.Sub(s.exploredAt) >= explorePause {
			usable[name] = 0
		}
	}
	if len(usable) == 0 {
		return nil
	}
	for _, e := range endpoints {
		if _, due := usable[e.Service]; due {
			usable[e.Service]++
		}
	}
	oldest := map[string]*fleet.Endpoint{}
	for _, e := range endpoints {
		if usable[e.Service] == 0 || t.pathOf(e).cut {
			continue
		}
		if !t.serviceCut(e.Service, usable[e.Service]) && !t.isSuspect(e.Service, usable[e.Service]) {
			continue
		}
		if other := oldest[e.Service]; other == nil || t.pathOf(e).probeAt.Before(t.pathOf(other).probeAt) {
			oldest[e.Service] = e
		}
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e *fleet.Endpoint) bool { return oldest[e.Service] != e })
}

// isDue reports whether an endpoint that is cut off is to be probed: after its pause, or once another of its service was
// reached. The caller holds the lock.
func (t *Table) isDue(p *path, now time.Time) bool {
	if !now.Before(p.probeAt) {
		return true
	}
	opened := t.services[p.service].opened
	lastProbe := p.probeAt.Add(-p.pause)
	return !opened.IsZero() && now.Sub(opened) < openingTime && lastProbe.Before(opened)
}

// compareProbes orders endpoints by which is to be probed first. The caller holds the lock.
func (t *Table) compareProbes(a, b *fleet.Endpoint) int {
	p, q := t.paths[a.Incarnation()], t.paths[b.Incarnation()]
	if c := t.services[p.service].probedAt.Compare(t.services[q.service].probedAt); c != 0 {
		return c
	}
	return p.probeAt.Compare(q.probeAt)
}

// Retain forgets the paths to starts of endpoints for which keep returns false.
func (t *Table) Retain(keep func(fleet.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.paths {
		if keep(id) {
			continue
		}
		t.forget(id, p)
	}
}

// RecordEnded forgets the path to a start of an endpoint that has ended.
func (t *Table) RecordEnded(e *fleet.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[e.Incarnation()]; p != nil {
		t.forget(e.Incarnation(), p)
	}
}

// forget removes a path. The caller holds the lock.
func (t *Table) forget(id fleet.Incarnation, p *path) {
	t.uncount(p)
	if s := t.services[p.service]; s != nil && p.failures == s.failures {
		s.failed--
	}
	delete(t.paths, id)
}

// uncount takes a path that is cut off out of the counts of its service. The caller holds the lock.
func (t *Table) uncount(p *path) {
	if !p.cut {
		return
	}
	s := t.services[p.service]
	s.cut--
	s.timedOut -= timeouts(p.probe)
	if p.epoch == s.epoch {
		s.fresh--
	}
}

// Cut returns the number of endpoints that are cut off, by service. It contains the services that have such endpoints, and also
// those at which attempts failed slowly and nothing has arrived since, with zero if none of their endpoints is cut off: their
// endpoints may be due for probes too.
func (t *Table) Cut() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for name, s := range t.services {
		if s.cut > 0 || s.failed > 0 {
			out[name] = s.cut
		}
	}
	return out
}
