package reach

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

// roundInterval is the time between two calls of DueProbes.
const roundInterval = 100 * time.Millisecond

// tableModel runs a Table beside a plain record of what it was told.
type tableModel struct {
	table     *Table
	now       time.Time
	endpoints []*fleet.Endpoint
	// cut are the starts of endpoints that count as cut off, with the service of each, and probes how connections fail there.
	cut    map[fleet.Incarnation]string
	probes map[fleet.Incarnation]Probe
	// fresh are those of them that were cut off since something of the service was reached.
	fresh map[fleet.Incarnation]string
}

func newTableModel(t *rapid.T) *tableModel {
	m := &tableModel{
		table: NewTable(), now: time.Unix(1000, 0), cut: map[fleet.Incarnation]string{},
		probes: map[fleet.Incarnation]Probe{}, fresh: map[fleet.Incarnation]string{},
	}
	for i := range rapid.IntRange(1, 12).Draw(t, "endpoints") {
		m.endpoints = append(m.endpoints, &fleet.Endpoint{ID: fmt.Sprint(i), StartTimeMs: 1, Service: fmt.Sprint("s", i%2)})
	}
	return m
}

// ofService returns the endpoints of a service.
func (m *tableModel) ofService(service string) []*fleet.Endpoint {
	return slices.DeleteFunc(slices.Clone(m.endpoints), func(e *fleet.Endpoint) bool { return e.Service != service })
}

func (m *tableModel) isCut(e *fleet.Endpoint) bool {
	_, cut := m.cut[e.Incarnation()]
	return cut
}

func (m *tableModel) reach(t *rapid.T) {
	e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
	m.reachBy(t, e, m.table.RecordReached)
}

// reachBy records with one of the table's functions that an endpoint was reached.
func (m *tableModel) reachBy(t *rapid.T, e *fleet.Endpoint, record func(*fleet.Endpoint, time.Time) bool) {
	if opened := record(e, m.now); opened != m.isCut(e) {
		t.Fatalf("the record that %v was reached returned %v", e.ID, opened)
	}
	if _, fresh := m.fresh[e.Incarnation()]; fresh {
		maps.DeleteFunc(m.cut, func(id fleet.Incarnation, _ string) bool { return m.fresh[id] == e.Service })
	}
	delete(m.cut, e.Incarnation())
	maps.DeleteFunc(m.fresh, func(_ fleet.Incarnation, service string) bool { return service == e.Service })
}

// receive lets something arrive on a connection that is open. It counts unless all cuts of the service are refusals.
func (m *tableModel) receive(t *rapid.T) {
	e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
	for id, service := range m.cut {
		if service == e.Service && m.probes[id] == TimedOut {
			m.reachBy(t, e, m.table.RecordReceived)
			return
		}
	}
	if m.table.RecordReceived(e, m.now) {
		t.Fatalf("%v is reached by something on an old connection", e.ID)
	}
}

func (m *tableModel) lose(t *rapid.T) {
	e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
	probe := rapid.SampledFrom([]Probe{Refused, TimedOut}).Draw(t, "probe")
	isNew := !m.isCut(e)
	if got := m.table.RecordCut(e, probe, m.now); got != isNew {
		t.Fatalf("RecordCut of %v returned %v", e.ID, got)
	}
	m.probes[e.Incarnation()] = probe
	if isNew {
		m.cut[e.Incarnation()] = e.Service
		m.fresh[e.Incarnation()] = e.Service
	}
}

// restart replaces an endpoint by its next start, of another service at times.
func (m *tableModel) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.endpoints)-1).Draw(t, "endpoint")
	e := *m.endpoints[i]
	e.StartTimeMs++
	e.Service = rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "service")
	m.endpoints[i] = &e
}

func (m *tableModel) retain(*rapid.T) {
	known := map[fleet.Incarnation]bool{}
	for _, e := range m.endpoints {
		known[e.Incarnation()] = true
	}
	m.table.Retain(func(id fleet.Incarnation) bool { return known[id] })
	forgotten := func(id fleet.Incarnation, _ string) bool { return !known[id] }
	maps.DeleteFunc(m.cut, forgotten)
	maps.DeleteFunc(m.fresh, forgotten)
}

func (m *tableModel) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
}

func (m *tableModel) probe(t *rapid.T) {
	due := m.table.DueProbes(m.endpoints, m.now)
	if len(due) > maxProbes {
		t.Fatalf("%d probes in one round", len(due))
	}
	for _, e := range due {
		if !m.isCut(e) {
			t.Fatalf("%v is probed and not cut off", e.ID)
		}
	}
}

// check compares the table with the record.
func (m *tableModel) check(t *rapid.T) {
	want := map[string]int{}
	for _, service := range m.cut {
		want[service]++
	}
	if got := m.table.Cut(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("Cut returned %v, want %v", got, want)
	}
	for _, service := range []string{"s0", "s1"} {
		m.checkService(t, service, m.ofService(service))
	}
}

func (m *tableModel) checkService(t *rapid.T, service string, all []*fleet.Endpoint) {
	left := slices.DeleteFunc(slices.Clone(all), m.isCut)
	cutOff := m.table.CutOff(service, len(all))
	fresh := slices.Contains(slices.Collect(maps.Values(m.fresh)), service)
	if cutOff && !fresh {
		t.Fatalf("%v counts as cut off, and nothing was cut off since something was reached", service)
	}
	if confirmed := len(all) > 0 && len(left) == 0; confirmed && fresh && !cutOff {
		t.Fatalf("all endpoints of %v are cut off, and the service is not", service)
	}
	got := m.table.Reachable(all)
	if len(left) == 0 {
		left = all
	}
	if !slices.Equal(got, left) {
		t.Fatalf("Reachable returned %d endpoints, want %d", len(got), len(left))
	}
	for _, e := range all {
		if got, want := m.table.RouteTo(e, len(all)), m.route(e, cutOff); got != want {
			t.Fatalf("the route to %v is %v, want %v; cut off: %v, its service: %v", e.ID, got, want, m.isCut(e), cutOff)
		}
	}
}

// route returns the way to an endpoint, where its service is cut off as a whole or not.
func (m *tableModel) route(e *fleet.Endpoint, cutOff bool) Route {
	timesOut := m.probes[e.Incarnation()] == TimedOut
	switch {
	case !m.isCut(e) && !cutOff:
		return Direct
	case !m.isCut(e):
		timesOut = false
		for id, service := range m.cut {
			timesOut = timesOut || service == e.Service && m.probes[id] == TimedOut
		}
	}
	if timesOut {
		return ThroughPeer
	}
	return IdleOnly
}

// Guards against counts that drift from the paths, and against routes that contradict them, over any sequence of events.
func TestTableAgreesWithItsPaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"reach": m.reach, "receive": m.receive, "lose": m.lose, "restart": m.restart, "retain": m.retain, "wait": m.wait, "probe": m.probe, "": m.check,
		})
	})
}

// Guards against a service that does not count as cut off since a few of its endpoints were cut off earlier, when others were
// still reached.
func TestServiceIsCutOffAfterAnEarlierPartialCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(), time.Unix(1000, 0)
		earlier := rapid.IntRange(0, 20).Draw(t, "earlier")
		later := rapid.IntRange(minCutEndpoints, 20).Draw(t, "later")
		usable := earlier + later
		endpoints := makeEndpoints(usable, 1)
		for _, e := range endpoints[:earlier] {
			table.RecordCut(e, TimedOut, now)
		}
		table.RecordReached(endpoints[usable-1], now.Add(time.Second))
		for i, e := range endpoints[earlier : earlier+minCutEndpoints] {
			table.RecordCut(e, TimedOut, now.Add(time.Duration(2+i)*time.Second))
		}
		if !table.CutOff("s0", usable) {
			t.Fatalf("%d of %d endpoints were cut off and nothing reached since", minCutEndpoints, usable)
		}
	})
}

// makeEndpoints returns endpoints that are spread over services.
func makeEndpoints(count, services int) []*fleet.Endpoint {
	var out []*fleet.Endpoint
	for i := range count {
		out = append(out, &fleet.Endpoint{ID: fmt.Sprint("e", i), StartTimeMs: 1, Service: fmt.Sprint("s", i%services)})
	}
	return out
}

// Guards against endpoints that are never probed again beside many others, and against too many probes a second.
func TestProbesAreBoundedAndReachAllEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, start := NewTable(), time.Unix(1000, 0)
		endpoints := makeEndpoints(rapid.IntRange(1, 120).Draw(t, "endpoints"), rapid.IntRange(1, 5).Draw(t, "services"))
		last := map[string]time.Time{}
		for _, e := range endpoints {
			table.RecordCut(e, rapid.SampledFrom([]Probe{Refused, TimedOut}).Draw(t, "probe"), start)
			last[e.ID] = start
		}
		longest := maxProbePause + time.Duration(len(endpoints)/probeRate+1)*time.Second
		opens := rapid.Bool().Draw(t, "one is reached")
		var rounds []int
		for now := start; now.Before(start.Add(3 * longest)); now = now.Add(roundInterval) {
			if opens && now.Sub(start) == longest {
				table.RecordReached(endpoints[0], now)
				for _, e := range endpoints {
					if table.RouteTo(e, len(endpoints)) == Direct {
						delete(last, e.ID)
					}
				}
			}
			due := table.DueProbes(endpoints, now)
			for _, e := range due {
				last[e.ID] = now
			}
			rounds = append(rounds, len(due))
			requireProbes(t, rounds, probeRate+maxProbes)
			for id, at := range last {
				if now.Sub(at) > longest {
					t.Fatalf("%v of %d was last probed %v ago", id, len(endpoints), now.Sub(at))
				}
			}
		}
	})
}

// requireProbes fails the test if the last second holds too many probes.
func requireProbes(t *rapid.T, rounds []int, perSecond int) {
	sum := 0
	for _, n := range rounds[max(0, len(rounds)-int(time.Second/roundInterval)):] {
		sum += n
	}
	if sum > perSecond {
		t.Fatalf("%d probes in one second, allowed %d", sum, perSecond)
	}
}

// Guards against pauses between probes that grow without bound, or that a path keeps long after it was stable.
func TestProbePausesDoubleWhileAPathFlaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(), time.Unix(1000, 0)
		e := makeEndpoints(1, 1)[0]
		want := time.Duration(0)
		var before time.Time
		for range rapid.IntRange(1, 10).Draw(t, "cuts") {
			if before.IsZero() || now.Sub(before) >= flapTime {
				want = minProbePause
			} else {
				want = min(2*want, maxProbePause)
			}
			table.RecordCut(e, TimedOut, now)
			before = now
			if early := table.DueProbes([]*fleet.Endpoint{e}, now.Add(want-1)); len(early) > 0 {
				t.Fatalf("probed before %v", want)
			}
			if due := table.DueProbes([]*fleet.Endpoint{e}, now.Add(want)); len(due) != 1 {
				t.Fatalf("not probed after %v", want)
			}
			now = now.Add(want)
			table.RecordReached(e, now)
			now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "seconds")) * time.Second)
		}
	})
}

// Guards against a verdict that evidence does not carry: one peer that connects proves a cut, and the own refusal proves an
// end only if a peer saw it too or there is no peer.
func TestJudgeFollowsTheEvidence(t *testing.T) {
	probes := []Probe{Unknown, Connected, Refused, TimedOut}
	rapid.Check(t, func(t *rapid.T) {
		own := rapid.SampledFrom(probes).Draw(t, "own")
		peers := rapid.SliceOfN(rapid.SampledFrom(probes), 0, 4).Draw(t, "peers")
		want := Unclear
		switch {
		case own == Connected:
			want = Open
		case slices.Contains(peers, Connected):
			want = CutOff
		case own == Refused && (len(peers) == 0 || slices.Contains(peers, Refused)):
			want = Ended
		}
		if got := Judge(own, peers); got != want {
			t.Fatalf("Judge(%v, %v) = %v, want %v", own, peers, got, want)
		}
	})
}

// Guards against asking peers that said that they cannot help, against asking many, and against asking always the same.
func TestOrderSpreadsOverAblePeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers, now := NewPeers(), time.Unix(1000, 0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var live []Peer
		avoided := map[string]time.Time{}
		for i := range rapid.IntRange(0, 30).Draw(t, "peers") {
			vm := fmt.Sprint(i)
			live = append(live, Peer{VM: vm})
			reason := rapid.SampledFrom([]Reason{"", PeerCutOff, PeerBusy, PeerStopping, PeerLacksEndpoint, PeerUnreachable, PeerDistrusts}).Draw(t, "reason")
			peers.RecordRefusal(vm, "s", reason, now)
			avoided[vm] = now.Add(avoidance[reason])
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
		able := 0
		for _, until := range avoided {
			if !now.Before(until) {
				able++
			}
		}
		began := map[string]int{}
		for range 2 * able {
			order := peers.Order(live, "s", rng, now)
			if len(order) != min(able, maxPeersAsked) {
				t.Fatalf("%d peers of %d able ones", len(order), able)
			}
			for _, peer := range order {
				if now.Before(avoided[peer.VM]) {
					t.Fatalf("%v is avoided", peer.VM)
				}
			}
			peers.Begin(order[0].VM)
			began[order[0].VM]++
		}
		for vm, n := range began {
			if n != 2 {
				t.Fatalf("%v sends %d of %d requests, and %d peers are able", vm, n, 2*able, able)
			}
		}
	})
}

// Guards against a peer that can help and is lost among many that cannot, and against names of peers that go round for ever.
func TestOrderKeepsAPlaceForAHelper(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers, now := NewPeers(), time.Unix(1000, 0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var live []Peer
		for i := range rapid.IntRange(1, 400).Draw(t, "peers") {
			live = append(live, Peer{VM: fmt.Sprint(i)})
		}
		helper := rapid.SampledFrom(live).Draw(t, "helper")
		seen := rapid.Bool().Draw(t, "seen")
		if seen {
			peers.RecordHelp(helper.VM, "s", now)
		} else {
			peers.RecordRefusal(helper.VM, "s", PeerCutOff, now)
			peers.RecordReferral(helper.VM, "s", now)
		}
		if order := peers.Order(live, "s", rng, now.Add(helpValidity-1)); !slices.Contains(order, helper) {
			t.Fatalf("%v is not among %v", helper.VM, order)
		}
		if got := peers.Referral("s", now); (got == helper.VM) != seen {
			t.Fatalf("the referral is %q, and the help was seen: %v", got, seen)
		}
		if got := peers.Referral("s", now.Add(helpValidity)); got != "" {
			t.Fatalf("the referral is still %q", got)
		}
		peers.RecordRefusal(helper.VM, "s", PeerCutOff, now)
		if order := peers.Order(live, "s", rng, now); slices.Contains(order, helper) {
			t.Fatalf("%v is asked after its refusal", helper.VM)
		}
	})
}

// Guards against more checks, or connections for peers, in a second than the budgets allow, and against budgets that starve.
func TestChecksAndAnswersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, start := NewTable(), time.Unix(1000, 0)
		endpoints := makeEndpoints(100, 3)
		step := time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond
		checks, answers := 0, 0
		const seconds = 5
		for i := 0; time.Duration(i)*step < seconds*time.Second; i++ {
			now := start.Add(time.Duration(i) * step)
			if table.BeginCheck(endpoints[i%len(endpoints)], start, now) {
				checks++
			}
			if table.BeginAnswer(now) {
				answers++
			}
		}
		if checks < seconds*checkRate-1 || checks > seconds*checkRate+maxChecks {
			t.Fatalf("%d checks in %d s", checks, seconds)
		}
		if answers < seconds*answerRate-1 || answers > seconds*answerRate+maxAnswers {
			t.Fatalf("%d answers in %d s", answers, seconds)
		}
	})
}

// BenchmarkRouteOfCutService measures the route to an endpoint that is not cut off itself, of a service that is.
func BenchmarkRouteOfCutService(b *testing.B) {
	table, endpoints := NewTable(), makeEndpoints(2400, 4)
	for _, e := range endpoints[1:] {
		table.RecordCut(e, Refused, time.Unix(1000, 0))
	}
	for b.Loop() {
		table.RouteTo(endpoints[0], 600)
	}
}
