package engine

import (
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/corneldeal/corneldeal/lab/standin"
	"github.com/corneldeal/corneldeal/pkg/route"
)

// Errors of a request that the engine does not accept.
var (
	errNoModel   = errors.New("the model is not loaded")
	errNoVersion = errors.New("the version is not loaded")
	errNoAdapter = errors.New("the adapter is not loaded")
	errQueueFull = errors.New("the waiting queue is full")
	errOldFence  = errors.New("the fencing number is old")
	errBadOrder  = errors.New("the order is not complete")
	errBadSalt   = errors.New("cache_salt must be an unsigned 64-bit number in decimal")
)

// Engine is a model engine.
type Engine struct {
	opt      Options
	faults   standin.Faults[Faults]
	tally    *standin.Tally
	server   *standin.Server
	stop     chan struct{}
	loopDone chan struct{}
	once     sync.Once
	wake     chan struct{}
	events   *eventLog

	mu          sync.Mutex
	generation  uint64
	incarnation string
	down        bool
	role        string
	// loaded and loading are replaced, never changed in place.
	loaded   []Loaded
	loading  []Loaded
	fence    int64
	cache    *prefixCache
	running  []*sequence
	waiting  []*sequence
	arrivals uint64
	reports  []report
	stats    Stats
}

// report is a state and the time since which it held.
type report struct {
	state State
	at    time.Time
}

// Stats are counters since the start; crashes do not reset them.
type Stats struct {
	// Runs counts requests by body digest.
	Runs map[string]int64 `json:"runs"`
	// Headers counts each value seen under each request header name.
	Headers        map[string]map[string]int64 `json:"headers"`
	Accepted       int64                       `json:"accepted"`
	Finished       int64                       `json:"finished"`
	Cancelled      int64                       `json:"cancelled"`
	Crashes        int64                       `json:"crashes"`
	Tokens         int64                       `json:"tokens"`
	BlocksComputed int64                       `json:"blocks_computed"`
	BlocksHit      int64                       `json:"blocks_hit"`
	BlocksEvicted  int64                       `json:"blocks_evicted"`
	// StaleHits counts blocks that were found but computed with another version.
	StaleHits      int64            `json:"stale_hits"`
	ComputedBySalt map[string]int64 `json:"computed_by_salt"`
	MaxRunning     int              `json:"max_running"`
	Orders         int64            `json:"orders"`
	RefusedOrders  int64            `json:"refused_orders"`
}

// New returns an engine that does not listen yet.
func New(opt Options) *Engine {
	opt = opt.withDefaults()
	e := &Engine{
		opt:      opt,
		tally:    standin.NewTally(),
		stop:     make(chan struct{}),
		loopDone: make(chan struct{}),
		wake:     make(chan struct{}, 1),
		events:   newEventLog(opt.Seed),
		stats:    Stats{ComputedBySalt: map[string]int64{}},
	}
	e.restartLocked()
	return e
}

// Start listens and serves.
func (e *Engine) Start() error {
	server, err := standin.Start(e.opt.Listen, e.handle)
	if err != nil {
		return err
	}
	e.server = server
	go e.loop()
	return nil
}

// Addr returns the bound IP:port.
func (e *Engine) Addr() string { return e.server.Addr() }

// Close stops the engine and closes every connection.
func (e *Engine) Close() {
	e.once.Do(func() {
		close(e.stop)
		e.server.Close()
		<-e.loopDone
	})
}

// SetFaults replaces the switches. A crash happens before it returns.
func (e *Engine) SetFaults(f Faults) {
	e.faults.Set(f)
	e.crashIfAsked()
}

func (e *Engine) crashIfAsked() {
	asked := false
	e.faults.Update(func(f *Faults) {
		asked = f.Crash
		f.Crash = false
	})
	if asked {
		e.crash()
	}
}

// Crash closes all streams; the engine is down for the time of the fault switch and comes back empty.
func (e *Engine) Crash() { e.crash() }

func (e *Engine) crash() {
	downMs := e.faults.Get().DownMs
	if downMs <= 0 {
		downMs = DefaultDownMs
	}
	e.server.SetDown(true)
	e.goDown()
	e.server.CloseConnections()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, q := range slices.Concat(e.running, e.waiting) {
		close(q.aborted)
	}
	e.opt.Ledger.held(e.cache.clear(), -1)
	e.restartLocked()
	generation := e.generation
	time.AfterFunc(standin.Millis(downMs), func() { e.comeBack(generation) })
}

// goDown counts a crash and ends Up before any caller can see the crash.
func (e *Engine) goDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.down = true
}

// comeBack ends the down time of a crash unless another crash followed it.
func (e *Engine) comeBack(generation uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation {
		return
	}
	e.down = false
	e.server.SetDown(false)
}

// restartLocked begins a new incarnation with an empty cache and the weights of the start. The fencing number
// survives, as an engine that checks it keeps it on disk.
func (e *Engine) restartLocked() {
	e.generation++
	e.incarnation = uuid.NewString()
	e.role = e.opt.Role
	e.loaded = slices.Clone(e.opt.Models)
	e.loading = []Loaded{}
	e.cache = newPrefixCache(e.opt.CacheBlocks)
	e.running = nil
	e.waiting = nil
	e.events.restart(e.incarnation)
	e.reports = nil
	e.reportLocked()
}

// submit accepts a request.
func (e *Engine) submit(req *ChatRequest) (*sequence, string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	owner, err := e.ownerLocked(req)
	if err != nil {
		return nil, "", err
	}
	if len(e.waiting) >= e.opt.MaxWaiting {
		return nil, "", errQueueFull
	}
	seed, err := chainSeed(req, owner)
	if err != nil {
		return nil, "", err
	}
	q := newSequence(e.opt, req, owner, seed)
	e.arrivals++
	q.arrival = e.arrivals
	e.waiting = append(e.waiting, q)
	e.stats.Accepted++
	e.reportLocked()
	e.wakeUp()
	return q, e.incarnation, nil
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// chainSeed returns the seed that the caller gave. Requests without one share blocks under the model's name.
func chainSeed(req *ChatRequest, owner Loaded) (uint64, error) {
	if req.CacheSalt == "" {
		return route.HashSeed("", owner.Model, req.Adapter, owner.Version), nil
	}
	seed, err := strconv.ParseUint(req.CacheSalt, 10, 64)
	if err != nil {
		return 0, errBadSalt
	}
	return seed, nil
}

// ownerLocked returns the weights that serve the request.
func (e *Engine) ownerLocked(req *ChatRequest) (Loaded, error) {
	err := errNoModel
	if req.Version != "" {
		err = errNoVersion
	}
	for _, l := range slices.Backward(e.loaded) {
		if l.Model != req.Model {
			continue
		}
		if req.Version != "" && l.Version != req.Version {
			err = errNoVersion
			continue
		}
		if req.Adapter != "" && !slices.Contains(l.Adapters, req.Adapter) {
			err = errNoAdapter
			continue
		}
		return l, nil
	}
	return Loaded{}, err
}

// State returns the state that held one report lag ago.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := time.Now().Add(-e.opt.ReportLag)
	out := e.reports[0].state
	for _, r := range e.reports {
		if r.at.After(asOf) {
			break
		}
		out = r.state
	}
	out.AgeMs = e.opt.ReportLag.Milliseconds()
	return out
}

// ExactState returns the present state without lag, with the work that accepted requests still need.
func (e *Engine) ExactState() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stateLocked()
	var left time.Duration
	for _, q := range e.running {
		left += q.left()
		s.DecodeLeft += q.end - q.next
	}
	for _, q := range e.waiting {
		left += e.opt.MissCost*time.Duration(len(q.hashes)-e.cache.match(q.hashes)) + q.tail
		s.DecodeLeft += q.end - q.next
	}
	s.PrefillLeftUs = left.Microseconds()
	return s
}

// Match returns the number of leading blocks that the cache holds now.
func (e *Engine) Match(hashes []uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.match(hashes)
}

// Up tells whether the engine accepts connections.
func (e *Engine) Up() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.down
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	tally := e.tally.Report()
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.Runs = tally.Runs
	out.Headers = tally.Headers
	out.ComputedBySalt = map[string]int64{}
	for salt, n := range e.stats.ComputedBySalt {
		out.ComputedBySalt[salt] = n
	}
	return out
}

func (e *Engine) stateLocked() State {
	return State{
		Name:         e.opt.Name,
		Incarnation:  e.incarnation,
		Role:         e.role,
		Versions:     e.versionsLocked(),
		Adapters:     e.adaptersLocked(),
		Fence:        e.fence,
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		CachedBlocks: len(e.cache.blocks),
		CacheBlocks:  e.opt.CacheBlocks,
		MaxRunning:   e.opt.MaxRunning,
	}
}

func (e *Engine) versionsLocked() []VersionState {
	out := make([]VersionState, 0, len(e.loaded)+len(e.loading))
	for _, l := range e.loaded {
		out = append(out, VersionState{Model: l.Model, Version: l.Version, State: Ready})
	}
	for _, l := range e.loading {
		out = append(out, VersionState{Model: l.Model, Version: l.Version, State: Loading})
	}
	return out
}

func (e *Engine) adaptersLocked() []string {
	out := []string{}
	for _, l := range e.loaded {
		for _, a := range l.Adapters {
			if !slices.Contains(out, a) {
				out = append(out, a)
			}
		}
	}
	return out
}

// reportLocked remembers the present state for lagging readers and drops what no reader can see any more.
func (e *Engine) reportLocked() {
	now := time.Now()
	asOf := now.Add(-e.opt.ReportLag)
	seen := 0
	for i, r := range e.reports {
		if !r.at.After(asOf) {
			seen = i
		}
	}
	if len(e.reports) > 0 {
		e.reports = e.reports[seen:]
	}
	e.reports = append(e.reports, report{state: e.stateLocked(), at: now})
}

// Expect returns the time to the first token of a new prompt with these blocks: the prompts before it, its own
// missing blocks, and, when the batch is full, the steps until a place is free. The rest of the prompt behind the
// last block costs the same on every engine and is left out.
func (e *Engine) Expect(hashes []uint64) time.Duration {
	s := e.ExactState()
	missing := len(hashes) - e.Match(hashes)
	sum := standin.Micros(s.PrefillLeftUs) + e.opt.MissCost*time.Duration(missing)
	sum += e.opt.RunningCost * time.Duration(s.Running)
	if ahead := s.Running + s.Waiting - e.opt.MaxRunning; ahead >= 0 {
		steps := s.DecodeLeft * (ahead + 1) / max(1, e.opt.MaxRunning*(s.Running+s.Waiting))
		sum += e.opt.StepCost * time.Duration(steps)
	}
	return sum
}
