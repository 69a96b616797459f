package reach

import (
	"slices"
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

const (
	// minCutEndpoints is the number of endpoints that were cut off since one of the service was reached, from which the whole
	// service counts as cut off. One of which fewer are left counts once all of them are.
	minCutEndpoints = 3
	// minProbePause and maxProbePause bound the time between two probes of an endpoint that is cut off. It doubles each time
	// that the endpoint is cut off again within flapTime.
	minProbePause = 500 * time.Millisecond
	maxProbePause = 2 * time.Second
	flapTime      = 10 * time.Second
	// probeRate is the number of endpoints that are probed in a second, and maxProbes that in one round.
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
	// epoch is that of the service when the path was cut off.
	epoch int
	// checkedAt is when a check last began.
	checkedAt time.Time
}

// serviceState is what this VM knows of a service as a whole.
type serviceState struct {
	// cut is the number of endpoints that are cut off, and fresh the number of those found so since something last arrived from
	// any endpoint of the service.
	cut, fresh int
	// timedOut is the number of those that are cut off whose connections time out.
	timedOut int
	// epoch is the number of times that something arrived from one of its endpoints.
	epoch int
	// reached is when something last arrived from one of its endpoints, and opened when one was reached again after a cut.
	reached, opened time.Time
	// probedAt is when one of its endpoints was last probed.
	probedAt time.Time
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
		s = &serviceState{}
		t.services[name] = s
	}
	return s
}

// RecordReached records that an endpoint accepted a connection of this VM. It reports whether the endpoint counted as cut off.
// The endpoints that were lost together with it, nothing of the service reached since, are taken to be back too.
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
	p.reached, s.reached = now, now
	if p.cut {
		opened = true
		s.opened = now
		t.open(p)
	}
	s.epoch++
	s.fresh = 0
	return opened
}

// open ends the cut of a path, and of the paths that were lost together with it. The caller holds the lock.
func (t *Table) open(p *path) {
	s := t.services[p.service]
	if p.epoch != s.epoch {
		t.uncount(p)
		p.cut = false
		return
	}
	for _, other := range t.paths {
		if other.cut && other.service == p.service && other.epoch == s.epoch {
			t.uncount(other)
			other.cut = false
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

// ReachedWithin reports whether something arrived from an endpoint of a service within the given time. It does not show that
// new connections are accepted now: what arrived may be from before a cut, or from a connection that outlives it.
func (t *Table) ReachedWithin(service string, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	return s != nil && !s.reached.IsZero() && now.Sub(s.reached) <= d
}

// BeginCheck reports whether the path to an endpoint from which nothing has arrived since the given time is to be checked
// now, and records the check. An endpoint that is cut off is checked again while others of its service are reached, since it
// may have ended.
func (t *Table) BeginCheck(e *fleet.Endpoint, since, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pathOf(e)
	lostTogether := p.cut && p.epoch == t.services[p.service].epoch
	if lostTogether || p.reached.After(since) || !p.checkedAt.IsZero() && now.Sub(p.checkedAt) < checkInterval || !t.checks.take(now) {
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

// DueProbes returns the endpoints among those given that are cut off and to be probed now, at most maxProbes, and records the
// probes. The service that was probed longest ago goes first, and within it the endpoint that has been due longest.
func (t *Table) DueProbes(endpoints []*fleet.Endpoint, now time.Time) []*fleet.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due, out []*fleet.Endpoint
	for _, e := range endpoints {
		if p := t.paths[e.Incarnation()]; p != nil && p.cut && t.isDue(p, now) {
			due = append(due, e)
		}
	}
	for len(due) > 0 && len(out) < maxProbes && t.probes.take(now) {
		next := slices.MinFunc(due, t.compareProbes)
		p := t.paths[next.Incarnation()]
		p.probeAt = now.Add(p.pause)
		t.services[p.service].probedAt = now
		out = append(out, next)
		due = slices.DeleteFunc(due, func(e *fleet.Endpoint) bool { return e == next })
	}
	return out
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
		t.uncount(p)
		delete(t.paths, id)
	}
}

// RecordEnded forgets the path to a start of an endpoint that has ended.
func (t *Table) RecordEnded(e *fleet.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[e.Incarnation()]; p != nil {
		t.uncount(p)
		delete(t.paths, e.Incarnation())
	}
}

// uncount takes a path out of the counts of its service. The caller holds the lock.
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

// Cut returns the number of endpoints of each service that are cut off, without services that have none.
func (t *Table) Cut() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for name, s := range t.services {
		if s.cut > 0 {
			out[name] = s.cut
		}
	}
	return out
}
