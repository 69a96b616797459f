package reach

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

// large adds systems of 195 and 410 VMs, which take some minutes, to TestCutVMsAreServedThroughPeers.
var large = flag.Bool("large", false, "also simulate systems of hundreds of VMs")

const (
	// simEveryRun is the size up to which systems are simulated without -large.
	simEveryRun = 85
	simCutAt    = 2 * time.Second
	simHealAt   = 10 * time.Second
	simLength   = 15 * time.Second
	// simReaction is the time after a cut or heal from which the system is to behave as if it had always been so.
	simReaction = 3 * time.Second
	// simDialLimit bounds a dial, and simSilence an attempt without a byte.
	simDialLimit = 250 * time.Millisecond
	simSilence   = 300 * time.Millisecond
	simRoundTrip = 2 * time.Millisecond
	// simServiceTime is the time that an endpoint takes for a request.
	simServiceTime = 300 * time.Millisecond
	// simForwardBound is the number of requests of others that a VM sends at a time.
	simForwardBound = 1000
	simAttempts     = 3
	// simExpiry is the time after the end of an endpoint at which its registration ends.
	simExpiry = 12 * time.Second
	// simFlap is the length of a flapping cut, and of the time between two.
	simFlap = 500 * time.Millisecond
	// simMaxDials and simMaxQuestions bound what a VM spends in a second to know its paths. At 100 us of a core for each,
	// that is under 1% of a core.
	simMaxDials     = 20
	simMaxQuestions = 40
)

// simKind is how a cut shows.
type simKind int

const (
	hang simKind = iota
	refuse
	// refuseNew refuses new connections while those that are open live on.
	refuseNew
)

// simCase is one cut.
type simCase struct {
	vms   int
	scope string
	kind  simKind
	flaps bool
	perVM float64
	isCut func(s *simulation, vm, e int) bool
}

// simEvent is something that happens at a time. The order of events at the same time is that of their creation.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q *simQueue) Push(x any) { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simVM is one VM. Its endpoints are those that it believes to run, by service.
type simVM struct {
	id       int
	table    *Table
	peers    *Peers
	services [][]*fleet.Endpoint
	pooled   map[int]bool
	// ended are the endpoints that it found to have ended.
	ended     map[*fleet.Endpoint]bool
	forwarded int
	// dials and questions count the present second, and mostDials and mostQuestions are the highest counts.
	dials, questions, mostDials, mostQuestions int
}

// simulation runs requests, checks and probes of many VMs over a network in which some lose their paths.
type simulation struct {
	simCase
	rng   *rand.Rand
	now   time.Duration
	seq   int
	queue simQueue
	vms   []*simVM
	live  []Peer
	// byName are the numbers of the VMs.
	byName map[string]int
	// endedAt is when each endpoint ended, or zero.
	endpoints []*fleet.Endpoint
	endedAt   []time.Duration

	// tried and served count the first tries in the time in which the cut must be bridged, at other VMs and at cut ones.
	tried, served [2]int
	// lowTried and lowServed count those at cut VMs with little traffic.
	lowTried, lowServed int
	wrongEnds           int
	indirect            int
	longestRefusal      time.Duration
	refusedAtOnce       int
	overload            float64
	// slowestFailure is the longest time that any request waited in vain.
	slowestFailure time.Duration
	// keptCut is the number of paths to endpoints that run and count as cut off simReaction after the heal, and keptEnded that of
	// paths to endpoints that ended and still count as cut off at the end.
	keptCut, keptEnded int
}

// after runs a function after some time.
func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now + d, s.seq, do})
}

func (s *simulation) clock() time.Time {
	return time.Unix(1000, 0).Add(s.now)
}

// between reports whether a time is from one to the other.
func between(at, from, to time.Duration) bool {
	return at >= from && at < to
}

func (s *simulation) loses(vm, e int) bool {
	if !between(s.now, simCutAt, simHealAt) || s.flaps && (s.now-simCutAt)/simFlap%2 == 1 {
		return false
	}
	return s.isCut(s, vm, e)
}

func (s *simulation) ended(e int) bool {
	return s.endedAt[e] > 0 && s.now >= s.endedAt[e]
}

// dial calls done with the result of a dial of a VM.
func (s *simulation) dial(vm *simVM, e int, done func(Probe)) {
	switch {
	case s.loses(vm.id, e) && s.kind == hang:
		s.after(simDialLimit, func() { done(TimedOut) })
	case s.loses(vm.id, e) || s.ended(e):
		s.after(simRoundTrip, func() { done(Refused) })
	default:
		s.after(simRoundTrip, func() { done(Connected) })
	}
}

// probe is a dial that is made only to learn something.
func (s *simulation) probe(vm *simVM, e int, done func(Probe)) {
	vm.dials++
	s.dial(vm, e, done)
}

// index returns the number of an endpoint.
func index(e *fleet.Endpoint) int {
	return int(e.StartTimeMs)
}

// simServices is the number of services.
const simServices = 4

// serviceOf returns the service of an endpoint. The first service has two endpoints only.
func serviceOf(e int) int {
	if e < 2 {
		return 0
	}
	return 1 + e%(simServices-1)
}

func (vm *simVM) usable(e *fleet.Endpoint) int {
	return len(vm.services[serviceOf(index(e))])
}

func (vm *simVM) remove(e *fleet.Endpoint) {
	service := serviceOf(index(e))
	vm.services[service] = slices.DeleteFunc(slices.Clone(vm.services[service]), func(other *fleet.Endpoint) bool { return other == e })
}

// check finds out why an endpoint does not answer. own is the result of a dial, or Unknown.
func (s *simulation) check(vm *simVM, e *fleet.Endpoint, own Probe, since time.Duration) {
	switch {
	case !vm.table.BeginCheck(e, time.Unix(1000, 0).Add(since), s.clock()):
	case own == Unknown:
		s.probe(vm, index(e), func(p Probe) { s.ask(vm, e, p) })
	default:
		s.ask(vm, e, own)
	}
}

// ask asks peers whether they reach an endpoint.
func (s *simulation) ask(vm *simVM, e *fleet.Endpoint, own Probe) {
	if own == Connected {
		vm.table.RecordReached(e, s.clock())
		return
	}
	var answers []Probe
	asked := min(maxPeersAsked, len(s.vms)-1)
	for _, i := range s.rng.Perm(len(s.vms) - 1)[:asked] {
		vm.questions++
		s.answer(s.vms[(vm.id+1+i)%len(s.vms)], e, func(p Probe) {
			if answers = append(answers, p); len(answers) == asked {
				s.conclude(vm, e, own, answers)
			}
		})
	}
}

// answer calls done with what a peer finds out about an endpoint.
func (s *simulation) answer(peer *simVM, e *fleet.Endpoint, done func(Probe)) {
	switch {
	case peer.ended[e]:
		done(Refused)
		return
	case peer.table.CutOff(e.Service, peer.usable(e)):
		done(Unknown)
		return
	}
	s.answerDial(peer, e, func(p Probe) {
		others := peer.services[serviceOf(index(e))]
		if p != Refused || len(others) < 2 {
			done(p)
			return
		}
		other := others[s.rng.IntN(len(others))]
		for other == e {
			other = others[s.rng.IntN(len(others))]
		}
		s.answerDial(peer, other, func(control Probe) {
			if control != Connected {
				done(Unknown)
				return
			}
			// The first refusal may have been the last moment of a cut.
			s.answerDial(peer, e, done)
		})
	})
}

// answerDial dials for a peer, if the VM may.
func (s *simulation) answerDial(vm *simVM, e *fleet.Endpoint, done func(Probe)) {
	if !vm.table.BeginAnswer(s.clock()) {
		done(Unknown)
		return
	}
	s.probe(vm, index(e), func(p Probe) {
		if p == Connected {
			vm.table.RecordReached(e, s.clock())
		}
		done(p)
	})
}

func (s *simulation) conclude(vm *simVM, e *fleet.Endpoint, own Probe, answers []Probe) {
	switch Judge(own, answers) {
	case CutOff:
		vm.table.RecordCut(e, own, s.clock())
	case Ended:
		if !s.ended(index(e)) {
			s.wrongEnds++
		}
		vm.remove(e)
		vm.ended[e] = true
		vm.table.RecordEnded(e)
	}
}

// round sends the probes that are due.
func (s *simulation) round(vm *simVM) {
	var endpoints []*fleet.Endpoint
	lost := vm.table.Cut()
	for i, all := range vm.services {
		if _, ok := lost[fmt.Sprint("s", i)]; ok {
			endpoints = append(endpoints, all...)
		}
	}
	for _, e := range vm.table.DueProbes(endpoints, s.clock()) {
		s.probe(vm, index(e), func(p Probe) {
			if p == Connected {
				vm.table.RecordReached(e, s.clock())
				return
			}
			s.check(vm, e, p, s.now)
		})
	}
	s.after(roundInterval, func() { s.round(vm) })
}

// simRequest is one request.
type simRequest struct {
	vm      *simVM
	service int
	begin   time.Duration
	tries   int
	// cutOffAtBegin is set if the service counted, or was suspected, as cut off then.
	cutOffAtBegin bool
}

func (s *simulation) request(vm *simVM) {
	r := &simRequest{vm: vm, service: s.rng.IntN(len(vm.services)), begin: s.now}
	service, usable := fmt.Sprint("s", r.service), len(vm.services[r.service])
	r.cutOffAtBegin = vm.table.CutOff(service, usable) || vm.table.isSuspect(service, usable)
	s.attempt(r)
	s.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/s.rate(vm)), func() { s.request(vm) })
}

// rate returns the requests per second at a VM. A few VMs have little traffic.
func (s *simulation) rate(vm *simVM) float64 {
	if vm.id%7 == 3 {
		return 0.4
	}
	return s.perVM
}

// cutVM reports whether a VM is cut off from some endpoints.
func (s *simulation) cutVM(vm *simVM) bool {
	return s.isCut(s, vm.id, 0)
}

// finish counts a request.
func (s *simulation) finish(r *simRequest, served bool) {
	if !served {
		s.slowestFailure = max(s.slowestFailure, s.now-r.begin)
	}
	if !served && r.cutOffAtBegin {
		s.refusedAtOnce++
		s.longestRefusal = max(s.longestRefusal, s.now-r.begin)
	}
	if !between(r.begin, simCutAt+simReaction, simHealAt-simReaction/3) {
		return
	}
	group := 0
	if s.cutVM(r.vm) {
		group = 1
	}
	ok := 0
	if served {
		ok = 1
	}
	s.tried[group]++
	s.served[group] += ok
	if group == 1 && r.vm.id%7 == 3 {
		s.lowTried++
		s.lowServed += ok
	}
}

// attempt sends a request on, unless too many attempts failed.
func (s *simulation) attempt(r *simRequest) {
	all := r.vm.services[r.service]
	// A request for a service that is cut off does not wait for a second peer that finds out only now that it is cut off too.
	waited := r.cutOffAtBegin && s.now-r.begin >= simDialLimit
	if r.tries++; r.tries > simAttempts || len(all) == 0 || waited {
		s.finish(r, false)
		return
	}
	left := r.vm.table.Reachable(all)
	e := left[s.rng.IntN(len(left))]
	route, pooled := r.vm.table.RouteTo(e, len(all)), r.vm.pooled[index(e)]
	if route != Direct && r.begin >= simHealAt+simReaction {
		s.indirect++
	}
	switch {
	case route == ThroughPeer || route == IdleOnly && !pooled:
		s.askPeers(r, e)
	case pooled:
		s.sendPooled(r, e)
	default:
		began := s.now
		s.dial(r.vm, index(e), func(p Probe) {
			if p != Connected {
				s.check(r.vm, e, p, began)
				s.askPeers(r, e)
				return
			}
			r.vm.table.RecordReached(e, s.clock())
			r.vm.pooled[index(e)] = true
			s.serve(r, e)
		})
	}
}

// others returns the peers of a VM.
func (s *simulation) others(vm *simVM) []Peer {
	return append(append(make([]Peer, 0, len(s.live)), s.live[:vm.id]...), s.live[vm.id+1:]...)
}

// serve ends a request that reached an endpoint.
func (s *simulation) serve(r *simRequest, e *fleet.Endpoint) {
	s.after(simServiceTime, func() {
		if !s.loses(r.vm.id, index(e)) || s.kind == refuseNew {
			r.vm.table.RecordReceived(e, s.clock())
		}
		s.finish(r, true)
	})
}

// sendPooled sends a request on a connection that is open.
func (s *simulation) sendPooled(r *simRequest, e *fleet.Endpoint) {
	lost, began := s.loses(r.vm.id, index(e)), s.now
	switch {
	case lost && s.kind == hang:
		delete(r.vm.pooled, index(e))
		s.after(simSilence, func() {
			s.check(r.vm, e, Unknown, began)
			s.attempt(r)
		})
	case lost && s.kind == refuse || s.ended(index(e)):
		delete(r.vm.pooled, index(e))
		s.after(simRoundTrip, func() {
			s.check(r.vm, e, Unknown, began)
			s.attempt(r)
		})
	default:
		s.serve(r, e)
	}
}

// askPeers sends a request through a peer.
func (s *simulation) askPeers(r *simRequest, e *fleet.Endpoint) {
	s.throughPeers(r, e, r.vm.peers.Order(s.others(r.vm), e.Service, s.rng, s.clock()))
}

// throughPeers asks peers in turn to send a request.
func (s *simulation) throughPeers(r *simRequest, e *fleet.Endpoint, order []Peer) {
	if len(order) == 0 || r.cutOffAtBegin && s.now-r.begin >= simDialLimit {
		s.after(simRoundTrip, func() { s.attempt(r) })
		return
	}
	peer := s.vms[s.byName[order[0].VM]]
	refused := func(reason Reason) {
		r.vm.peers.RecordRefusal(order[0].VM, e.Service, reason, s.clock())
		if other := peer.peers.Referral(e.Service, s.clock()); other != "" && reason == PeerCutOff {
			r.vm.peers.RecordReferral(other, e.Service, s.clock())
		}
		s.throughPeers(r, e, order[1:])
	}
	s.after(simRoundTrip, func() {
		switch {
		case peer.table.RouteTo(e, peer.usable(e)) != Direct:
			refused(PeerCutOff)
		case peer.forwarded >= simForwardBound:
			refused(PeerBusy)
		default:
			s.forward(r, peer, e, refused)
		}
	})
}

// forward sends a request that came from another VM.
func (s *simulation) forward(r *simRequest, peer *simVM, e *fleet.Endpoint, refused func(Reason)) {
	end, began := r.vm.peers.Begin(fmt.Sprint(peer.id)), s.now
	peer.forwarded++
	release := func() { end(); peer.forwarded-- }
	s.dial(peer, index(e), func(p Probe) {
		if p != Connected {
			release()
			s.check(peer, e, p, began)
			refused(PeerCutOff)
			return
		}
		peer.table.RecordReached(e, s.clock())
		r.vm.peers.RecordHelp(fmt.Sprint(peer.id), e.Service, s.clock())
		s.after(simServiceTime, func() { release(); s.finish(r, true) })
	})
}

func newSimulation(c simCase, seed uint64) *simulation {
	s := &simulation{simCase: c, rng: rand.New(rand.NewPCG(seed, uint64(c.vms))), byName: map[string]int{}}
	services := make([][]*fleet.Endpoint, simServices)
	for i := range min(2400, 6*c.vms) {
		service := serviceOf(i)
		e := &fleet.Endpoint{ID: fmt.Sprint("e", i), StartTimeMs: int64(i), Service: fmt.Sprint("s", service)}
		s.endpoints, s.endedAt = append(s.endpoints, e), append(s.endedAt, 0)
		services[service] = append(services[service], e)
	}
	for i := range c.vms {
		vm := &simVM{id: i, table: NewTable(), peers: NewPeers(), services: slices.Clone(services), pooled: map[int]bool{}, ended: map[*fleet.Endpoint]bool{}}
		s.vms, s.live, s.byName[fmt.Sprint(i)] = append(s.vms, vm), append(s.live, Peer{VM: fmt.Sprint(i)}), i
		s.after(time.Duration(s.rng.Int64N(int64(time.Second))), func() { s.request(vm) })
		s.after(time.Duration(s.rng.Int64N(int64(roundInterval))), func() { s.round(vm) })
	}
	// One endpoint in ten ends.
	for i := 5; i < len(s.endpoints); i += 10 {
		s.endedAt[i] = simCutAt + time.Duration(s.rng.Int64N(int64(simHealAt-simCutAt)))
		s.after(s.endedAt[i]+simExpiry, func() { s.expire(s.endpoints[i]) })
	}
	s.after(0, s.sample)
	s.after(simHealAt+simReaction, func() { s.keptCut, _ = s.countCut() })
	s.after(simLength-1, func() { _, s.keptEnded = s.countCut() })
	return s
}

func (s *simulation) run() {
	for len(s.queue) > 0 && s.now < simLength {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.do()
	}
}

// expire ends the registration of an endpoint.
func (s *simulation) expire(e *fleet.Endpoint) {
	for _, vm := range s.vms {
		vm.remove(e)
		vm.table.Retain(func(id fleet.Incarnation) bool { return id != e.Incarnation() })
	}
}

// countCut counts the paths that count as cut off to endpoints that run and to those that ended.
func (s *simulation) countCut() (running, ended int) {
	for _, vm := range s.vms {
		for id, p := range vm.table.paths {
			switch {
			case !p.cut:
			case s.ended(int(id.StartTimeMs)):
				ended++
			default:
				running++
			}
		}
	}
	return running, ended
}

// sample compares the loads of peers, and closes the counts of each second.
func (s *simulation) sample() {
	able, sum, most := 0, 0, 0
	for _, vm := range s.vms {
		if s.now%time.Second == 0 {
			vm.mostDials, vm.mostQuestions = max(vm.mostDials, vm.dials), max(vm.mostQuestions, vm.questions)
			vm.dials, vm.questions = 0, 0
		}
		if s.isCut(s, vm.id, 0) {
			continue
		}
		able, sum, most = able+1, sum+vm.forwarded, max(most, vm.forwarded)
	}
	if able > 0 {
		s.overload = max(s.overload, float64(most)-3*float64(sum)/float64(able)-10)
	}
	s.after(50*time.Millisecond, s.sample)
}

// share returns the share of first tries that were served in a group.
func (s *simulation) share(group int) float64 {
	return float64(s.served[group]) / float64(max(1, s.tried[group]))
}

// simScopes are the sets of paths that a cut may take.
var simScopes = map[string]func(s *simulation, vm, e int) bool{
	"one VM":                            func(_ *simulation, vm, _ int) bool { return vm == 0 },
	"a data centre":                     func(_ *simulation, vm, _ int) bool { return vm%5 == 0 },
	"half of all VMs":                   func(_ *simulation, vm, _ int) bool { return vm%2 == 0 },
	"all VMs but one":                   func(_ *simulation, vm, _ int) bool { return vm != 1 },
	"all VMs":                           func(*simulation, int, int) bool { return true },
	"half of the endpoints from one VM": func(_ *simulation, vm, e int) bool { return vm == 0 && e%2 == 0 },
}

// simKindNames are the names of the kinds in the order of their values.
var simKindNames = []string{"hang", "refuse", "refuse new connections"}

// Guards against callers of VMs that are cut off who are refused although other VMs reach the endpoints, against peers that are
// overloaded, endpoints that are taken for ended, paths that stay cut off after a heal, and a flood of probes.
func TestCutVMsAreServedThroughPeers(t *testing.T) {
	for _, vms := range []int{9, 85, 195, 410} {
		if vms > simEveryRun && !*large {
			continue
		}
		for scope, isCut := range simScopes {
			for kind, name := range simKindNames {
				for _, flaps := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d VMs, %s, %s, flaps %v", vms, scope, name, flaps), func(t *testing.T) {
						t.Parallel()
						s := newSimulation(simCase{vms: vms, scope: scope, kind: simKind(kind), flaps: flaps, perVM: 5, isCut: isCut}, 1)
						s.run()
						s.require(t)
					})
				}
			}
		}
	}
}

// require fails the test if the system missed its targets.
func (s *simulation) require(t *testing.T) {
	dials, questions := 0, 0
	for _, vm := range s.vms {
		dials, questions = max(dials, vm.mostDials), max(questions, vm.mostQuestions)
	}
	t.Logf("served %.2f of %d at others, %.2f of %d at cut VMs, %d of %d at quiet ones; %d refused when cut off, the slowest after %v; "+
		"most dials %d, questions %d; slowest failure %v", s.share(0), s.tried[0], s.share(1), s.tried[1], s.lowServed, s.lowTried, s.refusedAtOnce,
		s.longestRefusal, dials, questions, s.slowestFailure)
	if s.scope != "all VMs" && s.share(1) < 2*s.share(0)/3 {
		t.Errorf("%.2f of the first tries at cut VMs are served, %.2f at others", s.share(1), s.share(0))
	}
	if s.longestRefusal > simDialLimit+2*simAttempts*maxPeersAsked*simRoundTrip {
		t.Errorf("a request was refused after %v though its service counted as cut off", s.longestRefusal)
	}
	if s.wrongEnds > 0 {
		t.Errorf("%d endpoints that run were taken for ended", s.wrongEnds)
	}
	if s.indirect > 0 || s.keptCut > 0 {
		t.Errorf("%v after the heal %d paths count as cut off, and %d requests did not go directly", simReaction, s.keptCut, s.indirect)
	}
	if s.keptEnded > 0 {
		t.Errorf("%d endpoints that ended still count as cut off %v after the heal", s.keptEnded, simLength-simHealAt)
	}
	if s.overload > 0 {
		t.Errorf("a peer sent %.0f requests above its bound", s.overload)
	}
	if dials > simMaxDials || questions > simMaxQuestions {
		t.Errorf("%d dials and %d questions in one second", dials, questions)
	}
}
