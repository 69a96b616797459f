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
// bounded batch, evict the least recently used blocks, and publish cache events and load reports with a lag. Its
// results serve to choose among variants; runs against the engine emulator give the authoritative figures.

// simConfig holds the parameters of a simulation run.
type simConfig struct {
	vms, engines int
	// perSecond is the request arrival rate over all VMs.
	perSecond float64
	seconds   int
	// warmUp is excluded from the results; all caches are empty at the start.
	warmUp time.Duration
	// cacheBlocks is the cache size of an engine in blocks.
	cacheBlocks int
	// levels are the sizes in blocks of the nested prompt levels: rules, catalogue, order.
	levels [3]int
	// hot is the share of requests for one particular catalogue.
	hot float64
	// decodeMillis are the bounds of the time from the first to the last token.
	decodeMillis [2]int
	// eventLag is the delay of cache events, loadLag that of load reports.
	eventLag, loadLag time.Duration
	// slow is the ratio of the time per block on every second engine to that on the others; 0 means equal.
	slow float64
}

const simBlockMicros = 25_000

// timer is a scheduled call. Timers for the same time run in the order of seq.
type timer struct {
	at  time.Duration
	seq int
	run func()
}

// timerHeap is a heap.Interface of timers, earliest first.
type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].seq < t[j].seq
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// simJob is a request with its progress.
type simJob struct {
	vm        *simVM
	request   Request
	arrivedAt time.Duration
	decode    time.Duration
	// hotDocument marks requests for the hot catalogue.
	hotDocument  bool
	waitCount    int
	expectedTTFT time.Duration
	sentAt       time.Duration
	// cachedBlocks is the number of blocks that were cached on admission.
	cachedBlocks int
}

// simEngine is a simulated engine with its cache, which maps block hashes to times of last use.
type simEngine struct {
	name    string
	speed   float64
	queue   []*simJob
	running int
	// active are the admitted requests whose prompts are not computed yet. The first is being computed if busy is set.
	active       []*simJob
	busy         bool
	cache        map[uint64]time.Duration
	lastEventSeq uint64
	// loadHistory holds past loads, which are reported with a lag.
	loadHistory []simReport
	// peakWaiting is the largest number of requests waiting.
	peakWaiting int
}

// simReport is the load of an engine from a point in time on.
type simReport struct {
	at               time.Duration
	running, waiting int
}

// simVM is a simulated VM with its placer and cache index.
type simVM struct {
	placer *Placer
	index  *cacheindex.Index
	// loads holds the last load report per engine, heartbeats the last in-flight counts per peer.
	loads       []Load
	heartbeats  [][]int
	heartbeatAt []time.Duration
	waiters     map[uint64][]func()
}

// sim is a discrete-event simulation of VMs and engines.
type sim struct {
	simConfig
	random  *rand.Rand
	now     time.Duration
	timers  timerHeap
	seq     int
	vms     []*simVM
	engines []*simEngine
	nextID  uint64
	orders  map[[2]int][]int

	requestedBlocks, computedBlocks int
	ttftMillis                      []float64
	hotTTFTMillis                   []float64
	// predictionErrorMillis holds the absolute differences between predicted and measured times to first token.
	predictionErrorMillis []float64
	heldCount             int
}

var simStart = time.Unix(1_800_000_000, 0)

const simMaxRunning = 16

func newSim(l simConfig, options Options, seed uint64) *sim {
	s := &sim{simConfig: l, random: rand.New(rand.NewPCG(seed, 1)), orders: map[[2]int][]int{}}
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
			placer:      placer,
			index:       cacheindex.New(cacheindex.Settings{}, simStart),
			loads:       make([]Load, l.engines),
			heartbeats:  make([][]int, l.vms),
			heartbeatAt: make([]time.Duration, l.vms),
			waiters:     map[uint64][]func(){},
		}
		for _, e := range s.engines {
			vm.index.ObserveIncarnation(e.name, "1", simStart, simStart)
		}
		s.vms = append(s.vms, vm)
		s.scheduleEvery(time.Duration(i)*53*time.Millisecond, 500*time.Millisecond, func() { s.sendHeartbeat(i) })
		s.scheduleEvery(time.Duration(i)*31*time.Millisecond, 500*time.Millisecond, func() { s.pollLoads(vm) })
	}
	return s
}

func (s *sim) clock() time.Time { return simStart.Add(s.now) }

func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.timers, timer{s.now + d, s.seq, run})
}

func (s *sim) scheduleEvery(start, period time.Duration, run func()) {
	s.schedule(start, func() {
		run()
		s.scheduleEvery(period, period, run)
	})
}

// sendHeartbeat sends a VM's in-flight counts to its peers.
func (s *sim) sendHeartbeat(from int) {
	counts := make([]int, len(s.engines))
	for i, e := range s.engines {
		counts[i] = s.vms[from].placer.InFlight(e.name)
	}
	sent := s.now
	s.schedule(2*time.Millisecond, func() {
		for i, vm := range s.vms {
			if i != from {
				vm.heartbeats[from], vm.heartbeatAt[from] = counts, sent
			}
		}
	})
}

// pollLoads reads the load reports, which are loadLag old.
func (s *sim) pollLoads(vm *simVM) {
	for i, e := range s.engines {
		at := s.now - s.loadLag
		for j := len(e.loadHistory) - 1; j >= 0; j-- {
			if e.loadHistory[j].at <= at {
				vm.loads[i] = Load{e.loadHistory[j].running, e.loadHistory[j].waiting, simStart.Add(at)}
				break
			}
		}
	}
}

func (s *sim) view(vm *simVM) View {
	v := View{PeerCount: len(s.vms) - 1, Cache: vm.index}
	for i, e := range s.engines {
		p := PeerLoad{Complete: true}
		for j, counts := range vm.heartbeats {
			if s.vms[j] == vm {
				continue
			}
			if counts == nil {
				p.Complete = false
				continue
			}
			p.InFlight += counts[i]
			if at := simStart.Add(vm.heartbeatAt[j]); p.OldestHeartbeat.IsZero() || at.Before(p.OldestHeartbeat) {
				p.OldestHeartbeat = at
			}
		}
		v.Endpoints = append(v.Endpoints, Endpoint{
			Name: e.name, Incarnation: "1", MaxRunning: simMaxRunning, Serves: true,
			Load: vm.loads[i], PeerLoad: p,
		})
	}
	return v
}

// simWorkspaces lists the workspaces with their share of the requests and their number of catalogues. The popularity
// of catalogues follows a Zipf distribution, which is reversed halfway through the run. A follow-up request repeats
// one of the last orders of its catalogue.
var simWorkspaces = []struct {
	share      float64
	catalogues int
}{{0.36, 10}, {0.30, 10}, {0.12, 4}, {0.11, 4}, {0.11, 4}}

const (
	simFollowUpShare = 0.4
	simRecentOrders  = 4
	simPartialBlock  = 0.15
)

// drawWeighted returns a random index in [0,n) with probability proportional to its weight.
func (s *sim) drawWeighted(n int, weight func(int) float64) int {
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

// newJob returns a random request.
func (s *sim) newJob() *simJob {
	s.nextID++
	w := s.drawWeighted(len(simWorkspaces), func(i int) float64 { return simWorkspaces[i].share })
	n := simWorkspaces[w].catalogues
	c := s.drawWeighted(n, func(i int) float64 { return math.Pow(float64(i+1), -1.1) })
	if s.now > time.Duration(s.seconds)*time.Second/2 {
		c = n - 1 - c
	}
	hot := s.random.Float64() < s.hot
	if hot {
		w, c = 0, 0
	}
	key := [2]int{w, c}
	order := int(s.nextID)
	if recent := s.orders[key]; len(recent) > 0 && s.random.Float64() < simFollowUpShare {
		order = recent[s.random.IntN(len(recent))]
	} else {
		s.orders[key] = append(recent[max(0, len(recent)-simRecentOrders+1):], order)
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
		request:     Request{ID: s.nextID, Hashes: hashes, PartialBlock: simPartialBlock, MicrosPerBlock: simBlockMicros},
		arrivedAt:   s.now,
		decode:      time.Duration(decode) * time.Millisecond,
		hotDocument: hot,
	}
}

// place places a job and sends it to the engine, or holds it back as the placement demands.
func (s *sim) place(j *simJob) {
	p := j.vm.placer.Place(j.request, s.view(j.vm), s.clock())
	if p.Wait > 0 {
		s.heldCount++
		j.waitCount++
		from, wait := s.now, j.waitCount
		again := func() {
			if j.waitCount == wait {
				j.waitCount++
				j.request.HeldFor += s.now - from
				s.place(j)
			}
		}
		j.vm.waiters[p.WaitForRequest] = append(j.vm.waiters[p.WaitForRequest], again)
		s.schedule(p.Wait, again)
		return
	}
	j.expectedTTFT, j.sentAt = p.ExpectedTTFT, s.now
	j.vm.placer.RecordSent(j.request, p, s.clock())
	j.vm.index.AddPredicted(p.Endpoint, "1", j.request.Hashes, s.clock())
	i := slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.name == p.Endpoint })
	e := s.engines[i]
	e.queue = append(e.queue, j)
	e.peakWaiting = max(e.peakWaiting, len(e.queue)+len(e.active)+1)
	s.recordLoad(e)
	s.admit(e)
}

// recordLoad appends the engine's current load to its history.
func (s *sim) recordLoad(e *simEngine) {
	e.loadHistory = append(e.loadHistory, simReport{s.now, e.running, len(e.queue)})
}

// admit moves waiting requests into free places of the engine and starts the prefill of the first admitted one. The
// cache is looked up on admission, so two requests admitted together both compute a shared prefix.
func (s *sim) admit(e *simEngine) {
	for len(e.queue) > 0 && e.running < simMaxRunning {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		s.recordLoad(e)
		for j.cachedBlocks < len(j.request.Hashes) && e.cache[j.request.Hashes[j.cachedBlocks]] != 0 {
			j.cachedBlocks++
		}
		if s.now > s.warmUp {
			s.requestedBlocks += len(j.request.Hashes)
			s.computedBlocks += len(j.request.Hashes) - j.cachedBlocks
		}
		e.active = append(e.active, j)
	}
	if e.busy || len(e.active) == 0 {
		return
	}
	e.busy = true
	j := e.active[0]
	work := (float64(len(j.request.Hashes)-j.cachedBlocks) + simPartialBlock) * simBlockMicros * e.speed
	s.schedule(time.Duration(work)*time.Microsecond, func() {
		e.busy = false
		e.active = e.active[1:]
		s.finishPrefill(e, j)
	})
}

// finishPrefill stores the blocks of a computed prompt, records the first token and starts decoding.
func (s *sim) finishPrefill(e *simEngine, j *simJob) {
	s.storeBlocks(e, j.request.Hashes, j.cachedBlocks)
	if s.now > s.warmUp {
		took := float64(s.now-j.arrivedAt) / float64(time.Millisecond)
		s.ttftMillis = append(s.ttftMillis, took)
		s.predictionErrorMillis = append(s.predictionErrorMillis, math.Abs(float64(s.now-j.sentAt-j.expectedTTFT))/float64(time.Millisecond))
		if j.hotDocument {
			s.hotTTFTMillis = append(s.hotTTFTMillis, took)
		}
	}
	j.vm.placer.RecordFirstToken(j.request.ID, s.clock())
	for _, again := range j.vm.waiters[j.request.ID] {
		again()
	}
	delete(j.vm.waiters, j.request.ID)
	s.schedule(j.decode, func() {
		e.running--
		s.recordLoad(e)
		j.vm.placer.RecordDone(j.request.ID, true, s.clock())
		s.admit(e)
	})
	s.admit(e)
}

// storeBlocks stores blocks, evicts the least recently used ones and publishes both with a lag. Of blocks last used
// at the same time, later ones of a chain are evicted first.
func (s *sim) storeBlocks(e *simEngine, hashes []uint64, hit int) {
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
	e.lastEventSeq += 2
	events := []cacheindex.Event{
		{Seq: e.lastEventSeq - 1, Kind: cacheindex.Stored, Hashes: hashes[hit:]},
		{Seq: e.lastEventSeq, Kind: cacheindex.Removed, Hashes: gone},
	}
	s.schedule(s.eventLag, func() {
		for _, vm := range s.vms {
			vm.index.ApplyEvents(e.name, "1", events, s.clock())
		}
	})
}

func (s *sim) run() simResult {
	var arrive func()
	arrive = func() {
		s.place(s.newJob())
		s.schedule(time.Duration(s.random.ExpFloat64()/s.perSecond*float64(time.Second)), arrive)
	}
	s.schedule(time.Second, arrive)
	end := time.Duration(s.seconds) * time.Second
	for len(s.timers) > 0 {
		t := heap.Pop(&s.timers).(timer)
		if t.at > end {
			break
		}
		s.now = t.at
		t.run()
	}
	r := simResult{
		hit:      1 - float64(s.computedBlocks)/float64(s.requestedBlocks),
		median:   quantile(s.ttftMillis, 0.5),
		p95:      quantile(s.ttftMillis, 0.95),
		p99:      quantile(s.ttftMillis, 0.99),
		hotP95:   quantile(s.hotTTFTMillis, 0.95),
		done:     len(s.ttftMillis),
		waited:   s.heldCount,
		errorP50: quantile(s.predictionErrorMillis, 0.5),
		errorP95: quantile(s.predictionErrorMillis, 0.95),
	}
	for _, e := range s.engines {
		r.peak = max(r.peak, e.peakWaiting)
	}
	return r
}

// simResult holds the measurements of a run; times are in milliseconds.
type simResult struct {
	hit, median, p95, p99, hotP95 float64
	errorP50, errorP95            float64
	done, peak, waited            int
}

// quantile returns the q-quantile of values, or zero if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// newSimConfig returns a named configuration. Engines evict within seconds. "profile" resembles the evening profile
// of the load generator, "late" has cache events that are a second old, "busy" has more requests than the engines
// could serve without a cache, "hot" has one catalogue that needs more than one engine, "slow" has slow engines, "deep"
// has long prompts, "cold" is the first seconds of "deep_busy" with empty caches.
func newSimConfig(name string) simConfig {
	l := simConfig{
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
		l = newSimConfig("deep")
		l.perSecond = 45
	case "cold":
		l = newSimConfig("deep_busy")
		l.seconds, l.warmUp = 10, 0
	case "deep_hot":
		l = newSimConfig("deep")
		l.perSecond, l.hot = 30, 0.6
	}
	return l
}

// BenchmarkPlaceAmong120 measures one placement at the target size: 120 engines, 400 hot prefixes, prompts of 32
// blocks.
func BenchmarkPlaceAmong120(b *testing.B) {
	p := newTestPlacer(b, Options{})
	index := cacheindex.New(cacheindex.Settings{}, simStart)
	view := View{PeerCount: 19, Cache: index}
	for i := range 120 {
		e := Endpoint{Name: fmt.Sprintf("e%03d", i), Incarnation: "1", Serves: true}
		view.Endpoints = append(view.Endpoints, e)
		index.ObserveIncarnation(e.Name, "1", simStart, simStart)
	}
	now := simStart
	id := uint64(0)
	for b.Loop() {
		id++
		now = now.Add(10 * time.Millisecond)
		r := testRequest(id, 32)
		for i := range r.Hashes {
			r.Hashes[i] ^= id % 400
		}
		placed := p.Place(r, view, now)
		p.RecordSent(r, placed, now)
		index.AddPredicted(placed.Endpoint, "1", r.Hashes, now)
		p.RecordFirstToken(id, now)
		p.RecordDone(id, true, now)
	}
}

// BenchmarkPolicies reports hit rate and time to first token of each policy and variant, as means over three seeds.
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
					var sum simResult
					for seed := range uint64(seeds) {
						r := newSim(newSimConfig(name), v.options, seed+1).run()
						sum.hit += r.hit / seeds
						sum.median += r.median / seeds
						sum.p95 += r.p95 / seeds
						sum.p99 += r.p99 / seeds
						sum.hotP95 += r.hotP95 / seeds
						sum.errorP50 += r.errorP50 / seeds
						sum.errorP95 += r.errorP95 / seeds
						sum.done += r.done
						sum.peak = max(sum.peak, r.peak)
						sum.waited += r.waited
					}
					b.ReportMetric(sum.hit*100, "hit_%")
					b.ReportMetric(sum.median, "p50_ms")
					b.ReportMetric(sum.p95, "p95_ms")
					b.ReportMetric(sum.p99, "p99_ms")
					b.ReportMetric(sum.hotP95, "hot_p95_ms")
					b.ReportMetric(sum.errorP50, "error_p50_ms")
					b.ReportMetric(sum.errorP95, "error_p95_ms")
					b.ReportMetric(float64(sum.done), "done")
					b.ReportMetric(float64(sum.peak), "peak")
					b.ReportMetric(float64(sum.waited), "waited")
				}
			})
		}
	}
}
