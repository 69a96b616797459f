package share

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const (
	rate  = 800_000
	burst = 800_000
	// window is the time over which the platform measures admitted tokens. Each window may exceed the limit by
	// excessShare of it and excessFixed tokens.
	window      = 8 * time.Second
	excessShare = 0.1
	excessFixed = 110_000
	step        = 50 * time.Millisecond
)

// node is one simulated VM.
type node struct {
	name    string
	boot    uint64
	limiter *Limiter
	reports uint64
	group   int
	down    bool
}

// simulation drives several limiters that exchange their usage on a simulated clock.
type simulation struct {
	t     *testing.T
	rng   *rand.Rand
	nodes []*node
	now   time.Time
	// large makes the VMs report at the interval and with the delays of a large system.
	large    bool
	queue    []delayed
	admitted []struct {
		at     time.Time
		tokens int64
	}
}

func newSimulation(t *testing.T, nodes int) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(1, 2)), now: start}
	for i := range nodes {
		n := &node{name: fmt.Sprint("vm-", i)}
		w.nodes = append(w.nodes, n)
		w.start(n, false)
	}
	return w
}

// start starts the process of a VM, or restarts it.
func (w *simulation) start(n *node, joining bool) {
	n.boot++
	n.reports = 0
	n.down = false
	n.limiter = New(joining)
	n.limiter.Configure([]Limit{{Workspace: "w", Rate: rate, Burst: burst}}, w.now)
}

// run advances the simulation. Each VM is offered demand tokens per second in requests of cost tokens. Unless large is
// set, reports pass between the VMs of one group every 250 ms, and a tenth of them is lost.
func (w *simulation) run(d time.Duration, demand, cost int64) (admitted int64) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		for _, n := range w.nodes {
			if n.down {
				continue
			}
			n.limiter.UpdateSilence(w.now)
			offers := float64(demand) * step.Seconds() / float64(cost)
			for offers > 0 && (offers >= 1 || w.rng.Float64() < offers) {
				offers--
				if ok, _ := n.limiter.Take("w", cost, w.now); ok {
					admitted += cost
					w.admitted = append(w.admitted, struct {
						at     time.Time
						tokens int64
					}{w.now, cost})
				}
			}
		}
		switch {
		case w.large:
			w.exchangeLarge()
		case w.now.Sub(start)%(250*time.Millisecond) == 0:
			w.exchange()
		}
	}
	return admitted
}

// exchange sends a report of each VM to the others of its group.
func (w *simulation) exchange() {
	for _, from := range w.nodes {
		if from.down {
			continue
		}
		from.reports++
		usage, all := from.limiter.Usage(from.reports, w.now)
		for _, to := range w.nodes {
			if to == from || to.down || to.group != from.group || w.rng.IntN(10) == 0 {
				continue
			}
			to.limiter.ApplyReport(Report{VM: from.name, Boot: from.boot, Usage: usage, All: all}, w.now)
		}
	}
}

// checkWindows fails if the tokens admitted in any window exceed the platform's allowance.
func (w *simulation) checkWindows() {
	w.t.Helper()
	allowed := int64((rate*window.Seconds()+burst)*(1+excessShare)) + excessFixed
	sum, first, most := int64(0), 0, int64(0)
	for _, a := range w.admitted {
		sum += a.tokens
		for a.at.Sub(w.admitted[first].at) > window {
			sum -= w.admitted[first].tokens
			first++
		}
		most = max(most, sum)
	}
	w.t.Logf("at most %d tokens in a window, %d allowed", most, allowed)
	if most > allowed {
		w.t.Fatalf("%d tokens in a window, %d allowed", most, allowed)
	}
}

// Guards against a workspace that sends several times its rate being granted its full rate on each VM.
func TestSumKeepsLimitUnderOverload(t *testing.T) {
	w := newSimulation(t, 9)
	got := w.run(30*time.Second, rate, 9_000)
	w.checkWindows()
	if least := int64(25 * rate); got < least {
		t.Fatalf("admitted %d tokens in 30 s, want at least %d", got, least)
	}
}

// Guards against the parts of a partitioned system each admitting the whole rate, and against their admitting far less
// than it together.
func TestPartitionKeepsLimit(t *testing.T) {
	w := newSimulation(t, 9)
	w.run(5*time.Second, rate, 9_000)
	for i, n := range w.nodes {
		n.group = i % 3
	}
	got := w.run(15*time.Second, rate, 9_000)
	if least := int64(15 * rate * 8 / 10); got < least {
		t.Errorf("the parts together admitted %d tokens in 15 s, want at least %d", got, least)
	}
	for _, n := range w.nodes {
		n.group = 0
	}
	w.run(10*time.Second, rate, 9_000)
	w.checkWindows()
}

// Guards against restarted processes starting with a full bucket, one at a time and all at once.
func TestRestartsKeepLimit(t *testing.T) {
	w := newSimulation(t, 9)
	for range 6 {
		w.run(2*time.Second, rate, 9_000)
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		n.down = true
		w.run(time.Second, rate, 9_000)
		w.start(n, true)
	}
	for _, n := range w.nodes {
		w.start(n, true)
	}
	w.run(10*time.Second, rate, 9_000)
	w.checkWindows()
}

// Guards against a lowered limit leaving the level of the bucket above the new burst.
func TestLoweredLimitLowersLevel(t *testing.T) {
	l := New(false)
	l.Configure([]Limit{{Workspace: "w", Rate: rate, Burst: burst}}, start)
	l.Configure([]Limit{{Workspace: "w", Rate: 10, Burst: 100}}, start)
	if ok, wait := l.Take("w", 100, start); !ok {
		t.Fatalf("a cost of the burst is refused, wait %v", wait)
	}
	ok, wait := l.Take("w", 50, start)
	if ok || wait != 5*time.Second {
		t.Fatalf("ok %v, wait %v; want a refusal for 5 s", ok, wait)
	}
}

// Guards against a request larger than the burst never being served.
func TestCostAboveBurstLeavesDebt(t *testing.T) {
	l := New(false)
	l.Configure([]Limit{{Workspace: "w", Rate: 10, Burst: 100}}, start)
	if ok, _ := l.Take("w", 200, start); !ok {
		t.Fatal("a full bucket refuses a cost above the burst")
	}
	if ok, wait := l.Take("w", 10, start); ok || wait != 11*time.Second {
		t.Fatalf("ok %v, wait %v; want a refusal for 11 s", ok, wait)
	}
	l.Refund("w", 200, start)
	if ok, _ := l.Take("w", 10, start); !ok {
		t.Fatal("a refunded cost is not available")
	}
}

// Guards against charging everything that a peer ever admitted when its first report arrives.
func TestFirstReportOfPeerIsNotCharged(t *testing.T) {
	l := New(false)
	l.Configure([]Limit{{Workspace: "w", Rate: rate, Burst: burst}}, start)
	l.ApplyReport(Report{VM: "peer", Boot: 1, Usage: []Usage{{Workspace: "w", Admitted: 50 * rate}}, All: true}, start)
	if ok, _ := l.Take("w", burst, start); !ok {
		t.Fatal("the first report of a peer was charged")
	}
}

// Guards against tokens staying reserved for peers that report again, were forgotten or have left.
func TestRefillIsFullOnceNoPeerIsSilent(t *testing.T) {
	for name, end := range map[string]func(l *Limiter, now time.Time){
		"reports again": func(l *Limiter, now time.Time) { l.ApplyReport(Report{VM: "peer", Boot: 1}, now) },
		"has ended":     func(l *Limiter, _ time.Time) { l.PeerLeft("peer") },
		"is forgotten":  func(l *Limiter, now time.Time) { l.UpdateSilence(now.Add(ForgetAfter)) },
	} {
		l := New(false)
		l.Configure([]Limit{{Workspace: "w", Rate: rate, Burst: burst}}, start)
		l.ApplyReport(Report{VM: "peer", Boot: 1}, start)
		now := start.Add(2 * SilenceAfter)
		l.UpdateSilence(now)
		if silent, total := l.countSilent(); silent != 1 || total != 2 {
			t.Fatalf("%d of %d VMs silent, want 1 of 2", silent, total)
		}
		end(l, now)
		if silent, _ := l.countSilent(); silent != 0 {
			t.Errorf("%s: %d peers still count as silent", name, silent)
		}
		if ok, _ := l.Take("w", burst/2, now); !ok {
			t.Fatalf("%s: half of the burst is not available", name)
		}
		before := l.Level("w", now)
		after := now.Add(100 * time.Millisecond)
		l.Usage(1, after)
		if got := l.Level("w", after) - before; got != rate/10 {
			t.Errorf("%s: refilled %d tokens in 100 ms, want %d", name, got, rate/10)
		}
	}
}

// Guards against the parts of a system each admitting the whole rate after a partition of more than ForgetAfter.
func TestLongPartitionKeepsLimit(t *testing.T) {
	w := newSimulation(t, 6)
	w.run(3*time.Second, rate/3, 9_000)
	for i, n := range w.nodes {
		n.group = i % 2
	}
	w.run(3*ForgetAfter, rate/3, 9_000)
	w.checkWindows()
}
