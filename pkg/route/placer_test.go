package route

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeCache maps endpoint names to the number of leading blocks that they hold.
type fakeCache map[string]int

func (h fakeCache) Match(endpoint string, hashes []uint64, _ time.Time) int {
	return min(h[endpoint], len(hashes))
}

func newTestPlacer(t testing.TB, options Options) *Placer {
	p, err := NewPlacer(options)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func testEndpoints(names ...string) []Endpoint {
	var out []Endpoint
	for _, name := range names {
		out = append(out, Endpoint{Name: name, Incarnation: "1", DataCentre: "x", Serves: true})
	}
	return out
}

// testRequest returns a request whose hashes are the same for every ID.
func testRequest(id uint64, blocks int) Request {
	r := Request{ID: id, MicrosPerBlock: 10_000}
	for i := range blocks {
		r.Hashes = append(r.Hashes, uint64(i+1)<<32)
	}
	return r
}

func TestPlace(t *testing.T) {
	busy := func(e Endpoint, n int) Endpoint {
		e.Load = Load{Running: n, MeasuredAt: simStart}
		return e
	}
	e := testEndpoints("a", "b")
	leaving, absent, reserved, far := e[0], e[0], e[0], e[0]
	leaving.Draining, absent.Serves, reserved.Reserved, far.DataCentre = true, false, true, "y"
	cases := []struct {
		failure string
		view    []Endpoint
		cache   fakeCache
		change  func(*Request)
		want    string
		imports int
	}{
		{failure: "a leaving endpoint gets new work", view: []Endpoint{leaving, e[1]}, cache: fakeCache{"a": 9}, want: "b"},
		{failure: "an endpoint without the version gets work", view: []Endpoint{absent, e[1]}, cache: fakeCache{"a": 9}, want: "b"},
		{failure: "a reserved endpoint gets other work", view: []Endpoint{reserved, e[1]}, cache: fakeCache{"a": 9}, want: "b"},
		{failure: "a retry goes to the endpoint that failed", view: e, cache: fakeCache{"a": 9},
			change: func(r *Request) { r.Exclude = []string{"a"} }, want: "b"},
		{failure: "the longest match wins over a long queue", view: []Endpoint{busy(e[0], 40), e[1]}, cache: fakeCache{"a": 9, "b": 8}, want: "b"},
		{failure: "a cached prefix is given up for a short queue", view: []Endpoint{busy(e[0], 2), e[1]}, cache: fakeCache{"a": 9}, want: "a"},
		{failure: "another data centre is used without need", view: []Endpoint{far, e[1]}, cache: fakeCache{"a": 9, "b": 9}, want: "b"},
		{failure: "another data centre is never used", view: []Endpoint{far, e[1]}, cache: fakeCache{"a": 9}, want: "a"},
		{failure: "a cheap import is not used", view: e[:1], cache: fakeCache{"a": 2},
			change: func(r *Request) { r.StoreBlocks = 8 }, want: "a", imports: 6},
		{failure: "an import that costs more than it saves is used", view: e[:1], cache: fakeCache{"a": 8},
			change: func(r *Request) { r.StoreBlocks, r.MicrosPerBlock = 9, 1000 }, want: "a"},
	}
	for _, c := range cases {
		r := testRequest(1, 9)
		if c.change != nil {
			c.change(&r)
		}
		got := newTestPlacer(t, Options{}).Place(r, View{DataCentre: "x", Endpoints: c.view, Cache: c.cache}, simStart)
		if got.Endpoint != c.want || got.AvailableBlocks-got.MatchedBlocks != c.imports {
			t.Errorf("%s: got %q with %d imported, want %q with %d", c.failure, got.Endpoint,
				got.AvailableBlocks-got.MatchedBlocks, c.want, c.imports)
		}
	}
}

// A misspelled policy name must be rejected; otherwise a measurement would silently use another policy.
func TestPolicyNames(t *testing.T) {
	for _, name := range Policies() {
		if got := newTestPlacer(t, Options{Policy: name}).Place(testRequest(1, 2), View{Endpoints: testEndpoints("a")}, simStart); got.Endpoint != "a" {
			t.Errorf("%s places on %q", name, got.Endpoint)
		}
	}
	if _, err := NewPlacer(Options{Policy: "fastest"}); err == nil {
		t.Error("an unknown policy was accepted")
	}
}

// VMs that see the same old load report must not all choose the endpoint that looked idle. Each VM knows only its
// own requests. During the burst, the idle endpoint may exceed its even share by at most two requests per VM.
func TestNoHerding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(2, 9).Draw(t, "vms")
		names := []string{"a", "b", "c", "d", "e"}[:rapid.IntRange(2, 5).Draw(t, "endpoints")]
		loaded := rapid.IntRange(10, 60).Draw(t, "load")
		view := View{DataCentre: "x", PeerCount: vms - 1, Endpoints: testEndpoints(names...)}
		total := map[string]int{}
		for i := range view.Endpoints {
			view.Endpoints[i].MaxRunning = 64
			view.Endpoints[i].Load = Load{MeasuredAt: simStart}
			if i > 0 {
				view.Endpoints[i].Load.Running = loaded
				total[names[i]] = loaded
			}
		}
		var placers []*Placer
		for i := range vms {
			p, _ := NewPlacer(Options{Seed: uint64(i)})
			placers = append(placers, p)
		}
		now := simStart
		for i := range loaded * len(names) {
			now = now.Add(time.Millisecond)
			r := Request{ID: uint64(i), Hashes: []uint64{uint64(i+1) << 20}, MicrosPerBlock: 50_000}
			p := placers[rapid.IntRange(0, vms-1).Draw(t, "vm")]
			placed := p.Place(r, view, now)
			p.RecordSent(r, placed, now)
			total[placed.Endpoint]++
			if total["a"] > loaded+i/len(names)+2*vms {
				t.Fatalf("%d requests on the endpoint that looked idle, others had %d", total["a"], loaded)
			}
		}
	})
}

// A stalled endpoint must not get more requests merely because its predicted queue shrinks with time.
func TestOverdueEndpointIsAvoided(t *testing.T) {
	p := newTestPlacer(t, Options{})
	view := View{Endpoints: testEndpoints("a", "b"), Cache: fakeCache{"a": 9}}
	first := p.Place(testRequest(1, 9), view, simStart)
	p.RecordSent(testRequest(1, 9), first, simStart)
	late := simStart.Add(5 * time.Second)
	if got := p.Place(testRequest(2, 9), view, late); first.Endpoint != "a" || got.Endpoint != "b" {
		t.Fatalf("placed on %q, then on %q while its first token was 5 s late", first.Endpoint, got.Endpoint)
	}
	p.RecordFirstToken(1, late)
	if got := p.Place(testRequest(3, 9), view, late); got.Endpoint != "a" {
		t.Fatal("the endpoint is still avoided after its first token")
	}
}

// The time per block must be estimated from measurements, since the configured one may be wrong, and reset when the
// incarnation changes.
func TestLearnsTimePerBlock(t *testing.T) {
	p := newTestPlacer(t, Options{})
	view := View{Endpoints: testEndpoints("a")}
	now := simStart
	for id := range uint64(60) {
		r := testRequest(id, 10)
		p.RecordSent(r, p.Place(r, view, now), now)
		now = now.Add(300 * time.Millisecond)
		p.RecordFirstToken(id, now)
		p.RecordDone(id, true, now)
	}
	got := p.Place(testRequest(99, 10), view, now).ExpectedTTFT
	if got < 270*time.Millisecond || got > 310*time.Millisecond {
		t.Fatalf("expected %v for a computation that takes 300 ms", got)
	}
	view.Endpoints[0].Incarnation = "2"
	if got := p.Place(testRequest(99, 10), view, now).ExpectedTTFT; got != 100*time.Millisecond {
		t.Fatalf("expected %v after a restart, want the configured 100 ms", got)
	}
}

// A second request must not compute a prefix that another is computing, and must not be held back forever when the
// first fails.
func TestCoalescing(t *testing.T) {
	p := newTestPlacer(t, Options{})
	view := View{Endpoints: testEndpoints("a")}
	p.RecordSent(testRequest(1, 10), p.Place(testRequest(1, 10), view, simStart), simStart)
	view.Cache = fakeCache{"a": 10}
	now := simStart.Add(30 * time.Millisecond)
	got := p.Place(testRequest(2, 10), view, now)
	if got.WaitForRequest != 1 || got.Wait != 70*time.Millisecond {
		t.Fatalf("waits %v behind %d, want 70ms behind 1", got.Wait, got.WaitForRequest)
	}
	heldLongest := testRequest(2, 10)
	heldLongest.HeldFor = maxCoalesceWait
	if got := p.Place(heldLongest, view, now); got.Wait != 0 {
		t.Fatalf("waits %v more after the longest wait", got.Wait)
	}
	other := Request{ID: 3, Hashes: []uint64{7, 8, 9}, MicrosPerBlock: 10_000}
	if got := p.Place(other, view, now); got.Wait != 0 {
		t.Fatal("a request without a shared prefix waits")
	}
	p.RecordFirstToken(1, now)
	if got := p.Place(testRequest(2, 10), view, now); got.Wait != 0 {
		t.Fatal("waits after the first token")
	}
}

// VMs that first request the same uncached prefix must place it on the same endpoint, or it is computed repeatedly.
func TestFirstMissesGoToOneEndpoint(t *testing.T) {
	view := View{PeerCount: 8, Endpoints: testEndpoints("a", "b", "c", "d", "e", "f")}
	want := newTestPlacer(t, Options{}).Place(testRequest(1, 8), view, simStart).Endpoint
	for seed := range uint64(20) {
		slices.Reverse(view.Endpoints)
		if got := newTestPlacer(t, Options{Seed: seed}).Place(testRequest(seed, 8), view, simStart).Endpoint; got != want {
			t.Fatalf("VM %d computes the prefix on %s, VM 0 on %s", seed, got, want)
		}
	}
}

// A hot prefix must be replicated before its endpoint saturates, to the same endpoints on every VM and not at every
// short burst, and must lose the copies when the load is gone.
func TestHotPrefixSpreadsAndShrinks(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	var choices []string
	for seed := range uint64(3) {
		p := newTestPlacer(t, Options{Seed: seed})
		now := simStart
		copies := func(seconds int, queue float64) int {
			n := 1
			for range seconds * 20 {
				now = now.Add(50 * time.Millisecond)
				r := testRequest(0, 10)
				var candidates []Candidate
				for _, e := range testEndpoints(names...) {
					candidates = append(candidates, Candidate{Endpoint: e, state: newEndpointState("1")})
				}
				assignRanks(r.Hashes[9], candidates)
				for i := range candidates {
					if candidates[i].rank < n {
						candidates[i].QueueMillis = queue / float64(n)
					}
				}
				if s := p.prefixes.planSpread(&r, candidates, 8, p.random, now); s != nil {
					n = s.copies
				}
				choice := ""
				for _, c := range candidates {
					choice += fmt.Sprint(c.Name, c.rank)
				}
				choices = append(choices, choice)
			}
			return n
		}
		got := fmt.Sprint(copies(4, 0), copies(6, 50), copies(12, 0))
		if got != "1 3 1" {
			t.Errorf("copies without, with and after load: %s, want 1 3 1", got)
		}
	}
	if choices = slices.Compact(choices); len(choices) != 1 {
		t.Errorf("VMs choose different copies: %v", choices)
	}
}

// PolicyDelay must keep about the hit rate of plain prefix hashing, with a tail far below that of least load, on the
// evening profile and with a prefix that needs several engines.
func TestPolicyBeatsBaselines(t *testing.T) {
	run := func(name string, policy Policy) simResult {
		l := newSimConfig(name)
		l.seconds = 30
		return newSim(l, Options{Policy: policy}, 1).run()
	}
	for _, name := range []string{"profile", "hot"} {
		own, hash, least := run(name, PolicyDelay), run(name, PolicyPrefixHash), run(name, PolicyLeastLoad)
		if own.hit < hash.hit-0.05 {
			t.Errorf("%s: hit rate %.3f, prefix hash has %.3f", name, own.hit, hash.hit)
		}
		if own.p95 > least.p95/2 || own.p95 > hash.p95*1.5 {
			t.Errorf("%s: p95 %.0f ms, least load %.0f ms, prefix hash %.0f ms", name, own.p95, least.p95, hash.p95)
		}
	}
}
