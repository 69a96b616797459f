package crashguard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.UnixMilli(1_800_000_000_000)

const (
	crashingRequest = uint64(666)
	harmlessRequest = uint64(7)
)

// vmCluster is a set of VMs that exchange accusations. crashingRequest crashes each endpoint that runs it.
type vmCluster struct {
	t       *rapid.T
	vms     []*Guard
	now     time.Time
	seq     uint64
	lost    int
	delayed [][]Accusation
	events  []Event
}

func (f *vmCluster) event(vm int) Event {
	f.seq++
	e := Event{At: f.now, VM: fmt.Sprint(vm), Seq: f.seq, Endpoint: "e", Incarnation: fmt.Sprint(f.lost)}
	f.events = append(f.events, e)
	return e
}

// report sends accusations to all peers and merges their answers, as the ReportCrash call does.
func (f *vmCluster) report(vm int, a ...Accusation) {
	for i, peer := range f.vms {
		if i != vm {
			peer.Merge(a, f.now)
			f.vms[vm].Merge(peer.Snapshot(f.now), f.now)
		}
	}
}

// submit sends crashingRequest to a VM and returns the action taken.
func (f *vmCluster) submit(vm int) Action {
	g := f.vms[vm]
	verdict := g.Check(crashingRequest, f.now)
	switch verdict.Action {
	case Run:
		alone := rapid.Bool().Draw(f.t, "alone")
		e := f.event(vm)
		f.lost++
		f.report(vm, g.Accuse(e, []uint64{crashingRequest, harmlessRequest}[:map[bool]int{true: 1, false: 2}[alone]], alone, f.now)...)
	case RunIsolated:
		e := f.event(vm)
		f.report(vm, g.RegisterClaim(crashingRequest, e, f.now))
		if !g.MayRun(crashingRequest, e, f.now) {
			f.report(vm, g.WithdrawClaim(crashingRequest, e, f.now))
			return Busy
		}
		f.lost++
		if rapid.IntRange(0, 3).Draw(f.t, "dies") == 0 {
			// The VM dies with the endpoint; its successor merges the state of a peer before it serves.
			f.vms[vm] = New(Settings{})
			f.vms[vm].Merge(f.vms[(vm+1)%len(f.vms)].Snapshot(f.now), f.now)
			return RunIsolated
		}
		f.report(vm, g.Accuse(e, []uint64{crashingRequest}, true, f.now)...)
	}
	return verdict.Action
}

// Guards against a request that crashes every endpoint and costs more than two endpoints within the lifetime of its
// accusations. Its caller may try any VM, heartbeats come late and in any order, clean runs of other requests are
// cleared, and a VM may die during the isolated run.
func TestAtMostTwoEndpointsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &vmCluster{t: t, now: epoch}
		for range rapid.IntRange(2, 5).Draw(t, "vms") {
			f.vms = append(f.vms, New(Settings{}))
		}
		vm := rapid.IntRange(0, len(f.vms)-1)
		for f.now.Before(epoch.Add(9 * time.Minute)) {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				f.delayed = append(f.delayed, f.vms[vm.Draw(t, "from")].Snapshot(f.now))
			case 1:
				if len(f.delayed) > 0 {
					f.vms[vm.Draw(t, "to")].Merge(rapid.SampledFrom(f.delayed).Draw(t, "heartbeat"), f.now)
				}
			case 2:
				i := vm.Draw(t, "clean")
				f.report(i, f.vms[i].Clear(harmlessRequest, Event{}, f.now)...)
			default:
				f.submit(vm.Draw(t, "vm"))
			}
			if f.lost > crashesToRefuse {
				t.Fatalf("%d endpoints were lost within %v", f.lost, f.now.Sub(epoch))
			}
		}
	})
}

// Guards against two VMs that receive copies of an accused request at the same time and both run it, in whatever
// order their claims and the answers arrive.
func TestOneIsolatedRunAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "vms")
		f := &vmCluster{t: t, now: epoch}
		for range n {
			f.vms = append(f.vms, New(Settings{}))
		}
		f.report(0, f.vms[0].Accuse(f.event(0), []uint64{crashingRequest}, false, f.now)...)
		type exchange struct{ from, to int }
		claims := make([]*Accusation, n)
		events := make([]Event, n)
		var open []exchange
		var answers []func()
		left := make([]int, n)
		running := 0
		for range n * n * 6 {
			switch k := rapid.IntRange(0, 2).Draw(t, "action"); {
			case k == 0:
				vm := rapid.IntRange(0, n-1).Draw(t, "vm")
				if claims[vm] != nil || f.vms[vm].Check(crashingRequest, f.now).Action != RunIsolated {
					continue
				}
				events[vm] = f.event(vm)
				a := f.vms[vm].RegisterClaim(crashingRequest, events[vm], f.now)
				claims[vm], left[vm] = &a, n-1
				for to := range n {
					if to != vm {
						open = append(open, exchange{vm, to})
					}
				}
			case k == 1 && len(open) > 0:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "request")
				x := open[i]
				open = slices.Delete(open, i, i+1)
				f.vms[x.to].Merge([]Accusation{*claims[x.from]}, f.now)
				known := f.vms[x.to].Snapshot(f.now)
				answers = append(answers, func() {
					f.vms[x.from].Merge(known, f.now)
					left[x.from]--
					if left[x.from] == 0 && f.vms[x.from].MayRun(crashingRequest, events[x.from], f.now) {
						running++
					}
				})
			case k == 2 && len(answers) > 0:
				i := rapid.IntRange(0, len(answers)-1).Draw(t, "answer")
				answers[i]()
				answers = slices.Delete(answers, i, i+1)
			}
			if running > 1 {
				t.Fatal("two VMs run the accused request at the same time")
			}
		}
	})
}

// Guards against VMs whose state depends on the order or number of deliveries.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Accusation
		for i := range rapid.IntRange(1, 8).Draw(t, "accusations") {
			e := Event{At: epoch, VM: "v", Seq: uint64(rapid.IntRange(0, 2).Draw(t, "event")), Endpoint: "e"}
			weight := rapid.SampledFrom([]Weight{Cleared, Claim, Weak, Strong}).Draw(t, "weight")
			all = append(all, Accusation{uint64(i % 2), e.String(), weight})
		}
		a, b := New(Settings{}), New(Settings{})
		a.Merge(all, epoch)
		b.Merge(rapid.Permutation(all).Draw(t, "order"), epoch)
		b.Merge(all, epoch)
		if !slices.Equal(a.Snapshot(epoch), b.Snapshot(epoch)) {
			t.Fatalf("states differ: %v and %v", a.Snapshot(epoch), b.Snapshot(epoch))
		}
	})
}

// crashOn returns the event of a crash of the first incarnation of an endpoint.
func crashOn(endpoint string, seq uint64) Event {
	return Event{At: epoch, VM: "v", Seq: seq, Endpoint: endpoint, Incarnation: "1"}
}

// Guards against each wrong decision that a case names.
func TestDecisions(t *testing.T) {
	one := []uint64{crashingRequest}
	cases := []struct {
		failure string
		want    Action
		prepare func(*Guard)
		after   time.Duration
	}{
		{"a request without accusations does not run", Run, func(*Guard) {}, 0},
		{"an accused request runs beside other accused ones", RunIsolated, func(g *Guard) { g.Accuse(crashOn("a", 1), one, false, epoch) }, 0},
		{"a request that crashed two endpoints beside other requests may crash a third", Refuse, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, false, epoch)
			g.Accuse(crashOn("b", 2), one, false, epoch)
		}, 0},
		{"a second crash with no other request in flight does not refuse the request", Refuse, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, false, epoch)
			g.Accuse(crashOn("b", 2), one, true, epoch)
		}, 0},
		{"one crash that two VMs saw counts twice", RunIsolated, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, true, epoch)
			g.Accuse(Event{At: epoch, VM: "w", Endpoint: "a", Incarnation: "1"}, one, false, epoch)
		}, 0},
		{"a clean run does not clear a weak accusation", Run, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, false, epoch)
			g.RegisterClaim(crashingRequest, crashOn("b", 2), epoch)
			g.Clear(crashingRequest, crashOn("b", 2), epoch)
		}, 0},
		{"a clean run clears a strong accusation", RunIsolated, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, true, epoch)
			g.Clear(crashingRequest, Event{}, epoch)
		}, 0},
		{"a late heartbeat brings a cleared accusation back", Run, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, false, epoch)
			late := g.Snapshot(epoch)
			g.Clear(crashingRequest, Event{}, epoch)
			g.Merge(late, epoch)
		}, 0},
		{"a request runs while it runs elsewhere", Busy, func(g *Guard) {
			g.Merge([]Accusation{{crashingRequest, crashOn("a", 1).String(), Claim}}, epoch)
		}, 0},
		{"a claim whose VM died blocks the request forever or is dropped", Refuse, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, false, epoch)
			g.RegisterClaim(crashingRequest, crashOn("b", 2), epoch)
		}, defaultClaimLifetime},
		{"an accusation never expires", Run, func(g *Guard) { g.Accuse(crashOn("a", 1), one, true, epoch) }, defaultAccusationLifetime},
		{"a VM whose clock is an hour ahead blocks a request for an hour", Run, func(g *Guard) {
			e := crashOn("a", 1)
			e.At = epoch.Add(time.Hour)
			g.Merge([]Accusation{{crashingRequest, e.String(), Strong}}, epoch)
		}, 0},
		{"a malformed event counts as a crash", Run, func(g *Guard) { g.Merge([]Accusation{{crashingRequest, "x|y", Strong}}, epoch) }, 0},
	}
	for _, c := range cases {
		g := New(Settings{})
		c.prepare(g)
		got := g.Check(crashingRequest, epoch.Add(c.after))
		if got.Action != c.want {
			t.Errorf("%s: action %d, want %d", c.failure, got.Action, c.want)
		}
		refusal := got.Refusal()
		if refused := c.want == Busy || c.want == Refuse; refused != (refusal != nil) || refused && refusal.RetryAfter <= 0 {
			t.Errorf("%s: refusal %v", c.failure, refusal)
		}
	}
}

// Guards against peers that keep an expired accusation alive by sending it to each other.
func TestExpiredAccusationStaysAway(t *testing.T) {
	a, b := New(Settings{}), New(Settings{})
	a.Accuse(crashOn("a", 1), []uint64{crashingRequest}, true, epoch)
	for second := range 1300 {
		now := epoch.Add(time.Duration(second) * time.Second)
		b.Merge(a.Snapshot(now), now)
		a.Merge(b.Snapshot(now), now)
	}
	if a.Len()+b.Len() != 0 {
		t.Fatal("the accusation is still held after 21 minutes, more than twice its lifetime")
	}
}

// Guards against a flood of weak accusations that grows the memory or evicts a request known to crash endpoints.
func TestMemoryIsBounded(t *testing.T) {
	g := New(Settings{MaxFingerprints: 100})
	for i := range uint64(3) {
		g.Accuse(crashOn(fmt.Sprint(i), i), []uint64{crashingRequest}, true, epoch)
	}
	for i := range uint64(5000) {
		g.Accuse(crashOn("x", i+10), []uint64{i + 1000, harmlessRequest}, false, epoch)
	}
	for f, s := range g.suspects {
		if g.Len() > 100 || len(s.events) > maxEventsPerRequest {
			t.Fatalf("%d fingerprints, %d accusations of %d", g.Len(), len(s.events), f)
		}
	}
	if g.Check(crashingRequest, epoch).Action != Refuse {
		t.Fatal("the crashing request was evicted")
	}
}

// Guards against peers that do not reserve the endpoint of an isolated run, and against a separator in a name that
// changes the event.
func TestReservedEndpointsReachPeers(t *testing.T) {
	a, b := New(Settings{}), New(Settings{})
	e := Event{At: epoch, VM: "v|1", Endpoint: "e", Incarnation: "i|2"}
	b.Merge([]Accusation{a.RegisterClaim(crashingRequest, e, epoch)}, epoch)
	if got := b.ClaimedEndpoints(epoch); !slices.Equal(got, []string{"e"}) {
		t.Fatalf("reserved %v", got)
	}
	b.Merge([]Accusation{a.WithdrawClaim(crashingRequest, e, epoch)}, epoch)
	if got := b.ClaimedEndpoints(epoch); len(got) != 0 {
		t.Fatalf("reserved %v after the claim was withdrawn", got)
	}
}

// Guards against requests that share a fingerprint because text moved between workspace, route and body.
func TestFingerprintSeparatesFields(t *testing.T) {
	seen := map[uint64]bool{}
	for _, f := range [][3]string{{"a", "b", "c"}, {"ab", "", "c"}, {"a", "bc", ""}, {"a", "b", "d"}} {
		seen[Fingerprint(f[0], f[1], []byte(f[2]))] = true
	}
	if len(seen) != 4 {
		t.Fatalf("%d fingerprints for 4 requests", len(seen))
	}
}

// Guards against two requests that are accused of one crash, choose an endpoint at the same time and share it.
func TestClaimsOfTwoRequestsContest(t *testing.T) {
	g := New(Settings{})
	g.RegisterClaim(crashingRequest, crashOn("a", 1), epoch)
	if g.HasCompetingClaim(crashingRequest, "a", epoch) {
		t.Error("the own claim of a request contests its endpoint")
	}
	other := crashOn("a", 2)
	g.Merge([]Accusation{{crashingRequest + 1, other.String(), Claim}}, epoch)
	if !g.HasCompetingClaim(crashingRequest, "a", epoch) || g.HasCompetingClaim(crashingRequest, "b", epoch) {
		t.Error("HasCompetingClaim does not report exactly the endpoint that another request claims")
	}
	g.Merge([]Accusation{{crashingRequest + 1, other.String(), Cleared}}, epoch)
	if g.HasCompetingClaim(crashingRequest, "a", epoch) {
		t.Error("a withdrawn claim still contests the endpoint")
	}
}
