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
	poison   = uint64(666)
	innocent = uint64(7)
)

// fleet is a set of VMs that exchange accusations. The poison crashes each endpoint that runs it.
type fleet struct {
	t      *rapid.T
	vms    []*Guard
	now    time.Time
	seq    uint64
	lost   int
	stale  [][]Accusation
	events []Event
}

func (f *fleet) event(vm int) Event {
	f.seq++
	e := Event{At: f.now, VM: fmt.Sprint(vm), Seq: f.seq, Endpoint: "e", Incarnation: fmt.Sprint(f.lost)}
	f.events = append(f.events, e)
	return e
}

// report sends accusations to all peers and merges their answers, as ReportCrash does.
func (f *fleet) report(vm int, a ...Accusation) {
	for i, peer := range f.vms {
		if i != vm {
			peer.Merge(a, f.now)
			f.vms[vm].Merge(peer.Known(f.now), f.now)
		}
	}
}

// submit sends the poison to a VM and returns its verdict.
func (f *fleet) submit(vm int) Action {
	g := f.vms[vm]
	verdict := g.Check(poison, f.now)
	switch verdict.Action {
	case Run:
		alone := rapid.Bool().Draw(f.t, "alone")
		e := f.event(vm)
		f.lost++
		f.report(vm, g.Accuse(e, []uint64{poison, innocent}[:map[bool]int{true: 1, false: 2}[alone]], alone, f.now)...)
	case RunApart:
		e := f.event(vm)
		f.report(vm, g.Begin(poison, e, f.now))
		if !g.MayRun(poison, e, f.now) {
			f.report(vm, g.Withdraw(poison, e, f.now))
			return Busy
		}
		f.lost++
		if rapid.IntRange(0, 3).Draw(f.t, "dies") == 0 {
			// The VM dies with the endpoint; its successor learns from a peer before it serves.
			f.vms[vm] = New(Settings{})
			f.vms[vm].Merge(f.vms[(vm+1)%len(f.vms)].Known(f.now), f.now)
			return RunApart
		}
		f.report(vm, g.Accuse(e, []uint64{poison}, true, f.now)...)
	}
	return verdict.Action
}

// A request that crashes every endpoint must not cost more than two endpoints within the life of the accusations,
// whichever VMs its caller tries, when heartbeats come late and in any order, when clean runs of other requests
// are cleared, and when a VM dies during the run alone.
func TestAtMostTwoEndpointsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: epoch}
		for range rapid.IntRange(2, 5).Draw(t, "vms") {
			f.vms = append(f.vms, New(Settings{}))
		}
		vm := rapid.IntRange(0, len(f.vms)-1)
		for f.now.Before(epoch.Add(9 * time.Minute)) {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				f.stale = append(f.stale, f.vms[vm.Draw(t, "from")].Known(f.now))
			case 1:
				if len(f.stale) > 0 {
					f.vms[vm.Draw(t, "to")].Merge(rapid.SampledFrom(f.stale).Draw(t, "heartbeat"), f.now)
				}
			case 2:
				i := vm.Draw(t, "clean")
				f.report(i, f.vms[i].Clear(innocent, Event{}, f.now)...)
			default:
				f.submit(vm.Draw(t, "vm"))
			}
			if f.lost > maxCrashes {
				t.Fatalf("%d endpoints lost after %v", f.lost, f.now.Sub(epoch))
			}
		}
	})
}

// Two VMs that get copies of an accused request at the same time must not both run it, in whatever order their
// claims and the answers arrive.
func TestOneRunApartAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "vms")
		f := &fleet{t: t, now: epoch}
		for range n {
			f.vms = append(f.vms, New(Settings{}))
		}
		f.report(0, f.vms[0].Accuse(f.event(0), []uint64{poison}, false, f.now)...)
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
				if claims[vm] != nil || f.vms[vm].Check(poison, f.now).Action != RunApart {
					continue
				}
				events[vm] = f.event(vm)
				a := f.vms[vm].Begin(poison, events[vm], f.now)
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
				known := f.vms[x.to].Known(f.now)
				answers = append(answers, func() {
					f.vms[x.from].Merge(known, f.now)
					left[x.from]--
					if left[x.from] == 0 && f.vms[x.from].MayRun(poison, events[x.from], f.now) {
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

// VMs must reach the same state whatever the order and number of deliveries.
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
		if !slices.Equal(a.Known(epoch), b.Known(epoch)) {
			t.Fatalf("%v and %v", a.Known(epoch), b.Known(epoch))
		}
	})
}

func crashOn(endpoint string, seq uint64) Event {
	return Event{At: epoch, VM: "v", Seq: seq, Endpoint: endpoint, Incarnation: "1"}
}

func TestVerdicts(t *testing.T) {
	one := []uint64{poison}
	cases := []struct {
		failure string
		want    Action
		prepare func(*Guard)
		after   time.Duration
	}{
		{"an unknown request is held up", Run, func(*Guard) {}, 0},
		{"an accused request runs with others", RunApart, func(g *Guard) { g.Accuse(crashOn("a", 1), one, false, epoch) }, 0},
		{"a request that crashed two endpoints with others beside it may crash a third", Refuse, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, false, epoch)
			g.Accuse(crashOn("b", 2), one, false, epoch)
		}, 0},
		{"a second crash alone does not refuse", Refuse, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, false, epoch)
			g.Accuse(crashOn("b", 2), one, true, epoch)
		}, 0},
		{"one crash that two VMs saw counts twice", RunApart, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, true, epoch)
			g.Accuse(Event{At: epoch, VM: "w", Endpoint: "a", Incarnation: "1"}, one, false, epoch)
		}, 0},
		{"a clean run does not clear a weak accusation", Run, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, false, epoch)
			g.Begin(poison, crashOn("b", 2), epoch)
			g.Clear(poison, crashOn("b", 2), epoch)
		}, 0},
		{"a clean run clears a strong accusation", RunApart, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, true, epoch)
			g.Clear(poison, Event{}, epoch)
		}, 0},
		{"a late heartbeat brings a cleared accusation back", Run, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, false, epoch)
			late := g.Known(epoch)
			g.Clear(poison, Event{}, epoch)
			g.Merge(late, epoch)
		}, 0},
		{"a request runs while it runs elsewhere", Busy, func(g *Guard) {
			g.Merge([]Accusation{{poison, crashOn("a", 1).String(), Claim}}, epoch)
		}, 0},
		{"a claim whose VM died blocks without an end or is forgotten", Refuse, func(g *Guard) {
			g.Accuse(crashOn("a", 1), one, false, epoch)
			g.Begin(poison, crashOn("b", 2), epoch)
		}, defaultClaimLife},
		{"an accusation never expires", Run, func(g *Guard) { g.Accuse(crashOn("a", 1), one, true, epoch) }, defaultLife},
		{"a VM whose clock is an hour ahead blocks a request for an hour", Run, func(g *Guard) {
			e := crashOn("a", 1)
			e.At = epoch.Add(time.Hour)
			g.Merge([]Accusation{{poison, e.String(), Strong}}, epoch)
		}, 0},
		{"a broken event is taken for a crash", Run, func(g *Guard) { g.Merge([]Accusation{{poison, "x|y", Strong}}, epoch) }, 0},
	}
	for _, c := range cases {
		g := New(Settings{})
		c.prepare(g)
		got := g.Check(poison, epoch.Add(c.after))
		if got.Action != c.want {
			t.Errorf("%s: action %d, want %d", c.failure, got.Action, c.want)
		}
		refusal := got.Refusal()
		if refused := c.want == Busy || c.want == Refuse; refused != (refusal != nil) || refused && refusal.RetryAfter <= 0 {
			t.Errorf("%s: refusal %v", c.failure, refusal)
		}
	}
}

// Peers must not keep an expired accusation alive by sending it to each other.
func TestExpiredAccusationStaysAway(t *testing.T) {
	a, b := New(Settings{}), New(Settings{})
	a.Accuse(crashOn("a", 1), []uint64{poison}, true, epoch)
	for second := range 1300 {
		now := epoch.Add(time.Duration(second) * time.Second)
		b.Merge(a.Known(now), now)
		a.Merge(b.Known(now), now)
	}
	if a.Len()+b.Len() != 0 {
		t.Fatal("the accusation is still held after 21 minutes")
	}
}

// A flood of weak accusations must not grow the memory nor push out a request that is known to crash endpoints.
func TestMemoryIsBounded(t *testing.T) {
	g := New(Settings{MaxFingerprints: 100})
	for i := range uint64(3) {
		g.Accuse(crashOn(fmt.Sprint(i), i), []uint64{poison}, true, epoch)
	}
	for i := range uint64(5000) {
		g.Accuse(crashOn("x", i+10), []uint64{i + 1000, innocent}, false, epoch)
	}
	for f, s := range g.suspects {
		if g.Len() > 100 || len(s.events) > maxEvents {
			t.Fatalf("%d fingerprints, %d accusations of %d", g.Len(), len(s.events), f)
		}
	}
	if g.Check(poison, epoch).Action != Refuse {
		t.Fatal("the crashing request was forgotten")
	}
}

// The endpoint of a run alone must be known to all VMs, and a name with a separator must not change the event.
func TestReservedEndpointsTravel(t *testing.T) {
	a, b := New(Settings{}), New(Settings{})
	e := Event{At: epoch, VM: "v|1", Endpoint: "e", Incarnation: "i|2"}
	b.Merge([]Accusation{a.Begin(poison, e, epoch)}, epoch)
	if got := b.Reserved(epoch); !slices.Equal(got, []string{"e"}) {
		t.Fatalf("reserved %v", got)
	}
	b.Merge([]Accusation{a.Withdraw(poison, e, epoch)}, epoch)
	if got := b.Reserved(epoch); len(got) != 0 {
		t.Fatalf("reserved %v after the claim was withdrawn", got)
	}
}

// Texts that move between workspace, route and body must not share a fingerprint.
func TestFingerprintSeparatesFields(t *testing.T) {
	seen := map[uint64]bool{}
	for _, f := range [][3]string{{"a", "b", "c"}, {"ab", "", "c"}, {"a", "bc", ""}, {"a", "b", "d"}} {
		seen[Fingerprint(f[0], f[1], []byte(f[2]))] = true
	}
	if len(seen) != 4 {
		t.Fatalf("%d fingerprints for 4 requests", len(seen))
	}
}

// Two requests accused of one crash must not share an endpoint because they chose it at the same moment.
func TestClaimsOfTwoRequestsContest(t *testing.T) {
	g := New(Settings{})
	g.Begin(poison, crashOn("a", 1), epoch)
	if g.Contested(poison, "a", epoch) {
		t.Error("a claim contests itself")
	}
	other := crashOn("a", 2)
	g.Merge([]Accusation{{poison + 1, other.String(), Claim}}, epoch)
	if !g.Contested(poison, "a", epoch) || g.Contested(poison, "b", epoch) {
		t.Error("a claim of another request on the endpoint is not seen")
	}
	g.Merge([]Accusation{{poison + 1, other.String(), Cleared}}, epoch)
	if g.Contested(poison, "a", epoch) {
		t.Error("a withdrawn claim still contests")
	}
}
