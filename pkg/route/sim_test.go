package route

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/cacheindex"
)

// The simulation compares policies on nested prompts. Engines compute prompts one after the other, decode in a
// bounded batch, evict the least recently used blocks, and publish events and load late. It is a means to choose
// among variants; the stand-ins give the figures that count.

// load describes one simulated run.
type load struct {
	vms, engines int
	// perSecond is the arrival rate over all VMs.
	perSecond float64
	seconds   int
	// warmUp is left out of the figures; all caches are empty at the start.
	warmUp time.Duration
	// cacheBlocks is the cache size of an engine.
	cacheBlocks int
	// levels are the sizes of the nested prompt levels in blocks: rules, catalogue, order.
	levels [3]int
	// hot is the share of requests that ask for one catalogue.
	hot float64
	// decodeMillis bounds the time from the first to the last token.
	decodeMillis [2]int
	// eventLag is the lag of cache events, loadLag of load reports.
	eventLag, loadLag time.Duration
	// slow is the time per block of every second engine over that of the others; 0 means equal.
	slow float64
}

const simBlockMicros = 25_000

type timer struct {
	at  time.Duration
	seq int
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

type simJob struct {
	vm      *simVM
	r       Request
	arrived time.Duration
	decode  time.Duration
	// hotDocument marks requests for the hot document.
	hotDocument bool
	waits       int
	expected    time.Duration
	sent        time.Duration
	// hit is the number of blocks that were cached on admission.
	hit int
}

type simEngine struct {
	name    string
	speed   float64
	queue   []*simJob
	running int
	// active are the admitted prompts that are not computed yet. The first one is computed now if busy.
	active []*simJob
	busy   bool
	cache  map[uint64]time.Duration
	seq    uint64
	// loads holds past loads for late reports.
	loads []simReport
	// peak is the largest number of requests waiting.
	peak int
}

type simReport struct {
	at               time.Duration
	running, waiting int
}

type simVM struct {
	placer *Placer
	index  *cacheindex.Index
	// reported holds the last load report per engine, beats the last heartbeat per peer.
	reported []Load
	beats    [][]int
	beatAt   []time.Duration
	waiters  map[uint64][]func()
}

type sim struct {
	load
	random  *rand.Rand
	now     time.Duration
	timers  timers
	seq     int
	vms     []*simVM
	engines []*simEngine
	nextID  uint64
	orders  map[[2]int][]int

	blocks, computed int
	first            []float64
	hotFirst         []float64
	// misses holds the differences between predicted and measured times to first token.
	misses []float64
	waited int
}

var simStart = time.Unix(1_800_000_000, 0)

const simMaxRunning = 16

func newSim(l load, options Options, seed uint64) *sim {
	s := &sim{load: l, random: rand.New(rand.NewPCG(seed, 1)), orders: map[[2]int][]int{}}
	for i := range l.engines {
		e := &simEngine{name: fmt.Sprintf("e%02d", i), speed: 1, cache: map[uint64]time.Duration{}}
		if i%2 == 0 && l.slow > 0 {
			e.speed = l.slow
		}
		s.engines = append(s.engines, e)
	}
	for i := range l.vms {
		options.Seed = seed*100 + uint64(i)
		placer, err := NewPlacer(options)
		if err != nil {
			panic(err)
		}
		vm := &simVM{
			placer:   placer,
			index:    cacheindex.New(cacheindex.Settings{}, simStart),
			reported: make([]Load, l.engines),
			beats:    make([][]int, l.vms),
			beatAt:   make([]time.Duration, l.vms),
			waiters:  map[uint64][]func(){},
		}
		for _, e := range s.engines {
			vm.index.Observe(e.name, "1", simStart, simStart)
		}
		s.vms = append(s.vms, vm)
		s.every(time.Duration(i)*53*time.Millisecond, 500*time.Millisecond, func() { s.beat(i) })
		s.every(time.Duration(i)*31*time.Millisecond, 500*time.Millisecond, func() { s.poll(vm) })
	}
	return s
}

func (s *sim) clock() time.Time { return simStart.Add(s.now) }

func (s *sim) at(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.timers, timer{s.now + d, s.seq, run})
}

func (s *sim) every(start, period time.Duration, run func()) {
	s.at(start, func() {
		run()
		s.every(period, period, run)
	})
}

// beat sends a VM's in-flight counts to its peers.
func (s *sim) beat(from int) {
	counts := make([]int, len(s.engines))
	for i, e := range s.engines {
		counts[i] = s.vms[from].placer.InFlight(e.name)
	}
	sent := s.now
	s.at(2*time.Millisecond, func() {
		for i, vm := range s.vms {
			if i != from {
				vm.beats[from], vm.beatAt[from] = counts, sent
			}
		}
	})
}

// poll reads load reports that are loadLag old.
func (s *sim) poll(vm *simVM) {
	for i, e := range s.engines {
		at := s.now - s.loadLag
		for j := len(e.loads) - 1; j >= 0; j-- {
			if e.loads[j].at <= at {
				vm.reported[i] = Load{e.loads[j].running, e.loads[j].waiting, simStart.Add(at)}
				break
			}
		}
	}
}

func (s *sim) view(vm *simVM) View {
	v := View{Peers: len(s.vms) - 1, Cache: vm.index}
	for i, e := range s.engines {
		p := PeerLoad{Complete: true}
		for j, counts := range vm.beats {
			if s.vms[j] == vm {
				continue
			}
			if counts == nil {
				p.Complete = false
				continue
			}
			p.InFlight += counts[i]
			if at := simStart.Add(vm.beatAt[j]); p.At.IsZero() || at.Before(p.At) {
				p.At = at
			}
		}
		v.Endpoints = append(v.Endpoints, Endpoint{
			Name: e.name, Incarnation: "1", MaxRunning: simMaxRunning, Serves: true,
			Load: vm.reported[i], Peers: p,
		})
	}
	return v
}

// Workspaces with their share of the requests and their number of catalogues. Catalogues follow a Zipf law, which
// is turned round at half of the run; a follow-up returns to one of the last orders of its catalogue.
var simWorkspaces = []struct {
	share      float64
	catalogues int
}{{0.36, 10}, {0.30, 10}, {0.12, 4}, {0.11, 4}, {0.11, 4}}

const (
	simFollowUps = 0.4
	simRecent    = 4
	simRest      = 0.15
)

// draw returns an index with probability proportional to its weight.
func (s *sim) draw(n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := s.random.Float64() * sum
	for i := range n - 1 {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

func (s *sim) job() *simJob {
	s.nextID++
	w := s.draw(len(simWorkspaces), func(i int) float64 { return simWorkspaces[i].share })
	n := simWorkspaces[w].catalogues
	c := s.draw(n, func(i int) float64 { return math.Pow(float64(i+1), -1.1) })
	if s.now > time.Duration(s.seconds)*time.Second/2 {
		c = n - 1 - c
	}
	hot := s.random.Float64() < s.hot
	if hot {
		w, c = 0, 0
	}
	key := [2]int{w, c}
	order := int(s.nextID)
	if recent := s.orders[key]; len(recent) > 0 && s.random.Float64() < simFollowUps {
		order = recent[s.random.IntN(len(recent))]
	} else {
		s.orders[key] = append(recent[max(0, len(recent)-simRecent+1):], order)
	}
	var hashes []uint64
	h := uint64(1)
	for level, id := range [...]int{w + 1, c + 1, order + 1000} {
		for b := range s.levels[level] {
			h = (h ^ uint64(id)<<16 ^ uint64(b)) * 0x9e3779b97f4a7c15
			h ^= h >> 29
			hashes = append(hashes, h)
		}
	}
	decode := s.decodeMillis[0] + s.random.IntN(s.decodeMillis[1]-s.decodeMillis[0])
	return &simJob{
		vm:          s.vms[s.random.IntN(len(s.vms))],
		r:           Request{ID: s.nextID, Hashes: hashes, RestBlocks: simRest, MicrosPerBlock: simBlockMicros},
		arrived:     s.now,
		decode:      time.Duration(decode) * time.Millisecond,
		hotDocument: hot,
	}
}

func (s *sim) place(j *simJob) {
	p := j.vm.placer.Place(j.r, s.view(j.vm), s.clock())
	if p.Wait > 0 {
		s.waited++
		j.waits++
		from, wait := s.now, j.waits
		again := func() {
			if j.waits == wait {
				j.waits++
				j.r.Held += s.now - from
				s.place(j)
			}
		}
		j.vm.waiters[p.Behind] = append(j.vm.waiters[p.Behind], again)
		s.at(p.Wait, again)
		return
	}
	j.expected, j.sent = p.Expected, s.now
	j.vm.placer.Sent(j.r, p, s.clock())
	j.vm.index.Assume(p.Endpoint, "1", j.r.Hashes, s.clock())
	i := slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.name == p.Endpoint })
	e := s.engines[i]
	e.queue = append(e.queue, j)
	e.peak = max(e.peak, len(e.queue)+len(e.active)+1)
	s.note(e)
	s.start(e)
}

func (s *sim) note(e *simEngine) {
	e.loads = append(e.loads, simReport{s.now, e.running, len(e.queue)})
}

// start admits waiting prompts, as far as the engine has free places, and computes the first admitted one. The
// cache is looked up on admission, so two prompts admitted together compute a shared prefix twice.
func (s *sim) start(e *simEngine) {
	for len(e.queue) > 0 && e.running < simMaxRunning {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		s.note(e)
		for j.hit < len(j.r.Hashes) && e.cache[j.r.Hashes[j.hit]] != 0 {
			j.hit++
		}
		if s.now > s.warmUp {
			s.blocks += len(j.r.Hashes)
			s.computed += len(j.r.Hashes) - j.hit
		}
		e.active = append(e.active, j)
	}
	if e.busy || len(e.active) == 0 {
		return
	}
	e.busy = true
	j := e.active[0]
	work := (float64(len(j.r.Hashes)-j.hit) + simRest) * simBlockMicros * e.speed
	s.at(time.Duration(work)*time.Microsecond, func() {
		e.busy = false
		e.active = e.active[1:]
		s.prefilled(e, j)
	})
}

func (s *sim) prefilled(e *simEngine, j *simJob) {
	s.insert(e, j.r.Hashes, j.hit)
	if s.now > s.warmUp {
		took := float64(s.now-j.arrived) / float64(time.Millisecond)
		s.first = append(s.first, took)
		s.misses = append(s.misses, math.Abs(float64(s.now-j.sent-j.expected))/float64(time.Millisecond))
		if j.hotDocument {
			s.hotFirst = append(s.hotFirst, took)
		}
	}
	j.vm.placer.FirstToken(j.r.ID, s.clock())
	for _, again := range j.vm.waiters[j.r.ID] {
		again()
	}
	delete(j.vm.waiters, j.r.ID)
	s.at(j.decode, func() {
		e.running--
		s.note(e)
		j.vm.placer.Done(j.r.ID, true, s.clock())
		s.start(e)
	})
	s.start(e)
}

// insert stores blocks, evicts the least recently used ones, and publishes both late. Of blocks used at the same
// time, later ones of a chain are evicted first.
func (s *sim) insert(e *simEngine, hashes []uint64, hit int) {
	for i, h := range hashes {
		e.cache[h] = s.now*1000 - time.Duration(i)
	}
	var gone []uint64
	for len(e.cache) > s.cacheBlocks {
		oldest, at := uint64(0), time.Duration(math.MaxInt64)
		for h, t := range e.cache {
			if t < at || t == at && h < oldest {
				oldest, at = h, t
			}
		}
		delete(e.cache, oldest)
		gone = append(gone, oldest)
	}
	e.seq += 2
	events := []cacheindex.Event{
		{Seq: e.seq - 1, Kind: cacheindex.Stored, Hashes: hashes[hit:]},
		{Seq: e.seq, Kind: cacheindex.Removed, Hashes: gone},
	}
	s.at(s.eventLag, func() {
		for _, vm := range s.vms {
			vm.index.Apply(e.name, "1", events, s.clock())
		}
	})
}

func (s *sim) run() result {
	var arrive func()
	arrive = func() {
		s.place(s.job())
		s.at(time.Duration(s.random.ExpFloat64()/s.perSecond*float64(time.Second)), arrive)
	}
	s.at(time.Second, arrive)
	end := time.Duration(s.seconds) * time.Second
	for len(s.timers) > 0 {
		t := heap.Pop(&s.timers).(timer)
		if t.at > end {
			break
		}
		s.now = t.at
		t.run()
	}
	r := result{
		hit:    1 - float64(s.computed)/float64(s.blocks),
		median: quantile(s.first, 0.5),
		p95:    quantile(s.first, 0.95),
		p99:    quantile(s.first, 0.99),
		hotP95: quantile(s.hotFirst, 0.95),
		done:   len(s.first),
		waited: s.waited,
		miss:   quantile(s.misses, 0.5),
		miss95: quantile(s.misses, 0.95),
	}
	for _, e := range s.engines {
		r.peak = max(r.peak, e.peak)
	}
	return r
}

type result struct {
	hit, median, p95, p99, hotP95 float64
	miss, miss95                  float64
	done, peak, waited            int
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Loads of the comparison. Engines evict within seconds. "profile" is like the evening profile of the load tool,
// "late" has events that are a second old, "busy" more requests than the engines could serve without a cache,
// "hot" one catalogue that needs more than one engine, "slow" slow engines, "deep" long prompts, "cold" their first
// seconds with empty caches.
func simLoad(name string) load {
	l := load{
		vms: 9, engines: 12, perSecond: 44, seconds: 60, cacheBlocks: 60, levels: [3]int{2, 3, 1}, warmUp: 10 * time.Second,
		decodeMillis: [2]int{150, 400}, eventLag: 100 * time.Millisecond, loadLag: 200 * time.Millisecond,
	}
	switch name {
	case "late":
		l.eventLag = time.Second
	case "busy":
		l.perSecond = 100
	case "hot":
		l.perSecond, l.hot = 150, 0.6
	case "slow":
		l.slow = 3
	case "deep":
		l.perSecond, l.cacheBlocks, l.levels = 20, 400, [3]int{8, 16, 4}
		l.decodeMillis = [2]int{300, 1500}
	case "deep_busy":
		l = simLoad("deep")
		l.perSecond = 45
	case "cold":
		l = simLoad("deep_busy")
		l.seconds, l.warmUp = 10, 0
	case "deep_hot":
		l = simLoad("deep")
		l.perSecond, l.hot = 30, 0.6
	}
	return l
}

// One placement at the target size: 120 engines, 400 hot prefixes, prompts of 32 blocks.
func BenchmarkPlaceAmong120(b *testing.B) {
	p := placer(b, Options{})
	index := cacheindex.New(cacheindex.Settings{}, simStart)
	view := View{Peers: 19, Cache: index}
	for i := range 120 {
		e := Endpoint{Name: fmt.Sprintf("e%03d", i), Incarnation: "1", Serves: true}
		view.Endpoints = append(view.Endpoints, e)
		index.Observe(e.Name, "1", simStart, simStart)
	}
	now := simStart
	id := uint64(0)
	for b.Loop() {
		id++
		now = now.Add(10 * time.Millisecond)
		r := request(id, 32)
		for i := range r.Hashes {
			r.Hashes[i] ^= id % 400
		}
		placed := p.Place(r, view, now)
		p.Sent(r, placed, now)
		index.Assume(placed.Endpoint, "1", r.Hashes, now)
		p.FirstToken(id, now)
		p.Done(id, true, now)
	}
}

// Prints hit rate and time to first token of each policy and variant, as means over three seeds.
func BenchmarkPolicies(b *testing.B) {
	variants := []struct {
		name    string
		options Options
	}{
		{"round_robin", Options{Policy: PolicyRoundRobin}},
		{"least_load", Options{Policy: PolicyLeastLoad}},
		{"prefix_hash", Options{Policy: PolicyPrefixHash}},
		{"corneldeal", Options{}},
		{"corneldeal/no_spread", Options{NoSpread: true}},
		{"corneldeal/no_coalesce", Options{NoCoalesce: true}},
		{"corneldeal/neither", Options{NoSpread: true, NoCoalesce: true}},
	}
	for _, name := range []string{"profile", "late", "busy", "hot", "slow", "deep", "deep_busy", "deep_hot", "cold"} {
		for _, v := range variants {
			b.Run(name+"/"+v.name, func(b *testing.B) {
				for b.Loop() {
					const seeds = 3
					var sum result
					for seed := range uint64(seeds) {
						r := newSim(simLoad(name), v.options, seed+1).run()
						sum.hit += r.hit / seeds
						sum.median += r.median / seeds
						sum.p95 += r.p95 / seeds
						sum.p99 += r.p99 / seeds
						sum.hotP95 += r.hotP95 / seeds
						sum.miss += r.miss / seeds
						sum.miss95 += r.miss95 / seeds
						sum.done += r.done
						sum.peak = max(sum.peak, r.peak)
						sum.waited += r.waited
					}
					b.ReportMetric(sum.hit*100, "hit_%")
					b.ReportMetric(sum.median, "p50_ms")
					b.ReportMetric(sum.p95, "p95_ms")
					b.ReportMetric(sum.p99, "p99_ms")
					b.ReportMetric(sum.hotP95, "hot_p95_ms")
					b.ReportMetric(sum.miss, "error_p50_ms")
					b.ReportMetric(sum.miss95, "error_p95_ms")
					b.ReportMetric(float64(sum.done), "done")
					b.ReportMetric(float64(sum.peak), "peak")
					b.ReportMetric(float64(sum.waited), "waited")
				}
			})
		}
	}
}
