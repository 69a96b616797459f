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

// Reasons for which the engine refuses a request or an order.
var (
	errModelNotLoaded   = errors.New("the model is not loaded")
	errVersionNotLoaded = errors.New("the version is not loaded")
	errAdapterNotLoaded = errors.New("the adapter is not loaded")
	errQueueFull        = errors.New("the waiting queue is full")
	errStaleFence       = errors.New("the fencing number is old")
	errIncompleteOrder  = errors.New("the order is not complete")
	errInvalidCacheSalt = errors.New("cache_salt must be an unsigned 64-bit number in decimal")
)

// Engine simulates a model engine with continuous batching and a prefix cache. It is safe for concurrent use.
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

	mu sync.Mutex
	// generation increases with each restart and identifies the incarnation.
	generation  uint64
	incarnation string
	down        bool
	role        string
	// loaded and loading are copied on write, so that a reader may use them after it unlocks mu.
	loaded       []LoadedModel
	loading      []LoadedModel
	fence        int64
	cache        *prefixCache
	running      []*sequence
	waiting      []*sequence
	arrivals     uint64
	stateHistory []stateRecord
	stats        Stats
}

// stateRecord is a state and the time from which it was valid.
type stateRecord struct {
	state State
	at    time.Time
}

// Stats contains counters since the start; crashes do not reset them.
type Stats struct {
	// Runs counts requests by body digest.
	Runs map[string]int64 `json:"runs"`
	// Headers counts the received values of each request header, by name and value.
	Headers        map[string]map[string]int64 `json:"headers"`
	Accepted       int64                       `json:"accepted"`
	Finished       int64                       `json:"finished"`
	Cancelled      int64                       `json:"cancelled"`
	Crashes        int64                       `json:"crashes"`
	Tokens         int64                       `json:"tokens"`
	BlocksComputed int64                       `json:"blocks_computed"`
	BlocksHit      int64                       `json:"blocks_hit"`
	BlocksEvicted  int64                       `json:"blocks_evicted"`
	// StaleHits counts cache hits on blocks that were computed with other weights.
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

// Start listens on the configured address and serves in the background.
func (e *Engine) Start() error {
	server, err := standin.Start(e.opt.Listen, e.handle)
	if err != nil {
		return err
	}
	e.server = server
	go e.runSteps()
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

// SetFaults replaces the fault switches. A requested crash is complete before it returns.
func (e *Engine) SetFaults(f Faults) {
	e.faults.Set(f)
	e.crashIfRequested()
}

// crashIfRequested crashes the engine if the crash switch is on, and resets the switch.
func (e *Engine) crashIfRequested() {
	requested := false
	e.faults.Update(func(f *Faults) {
		requested = f.Crash
		f.Crash = false
	})
	if requested {
		e.crash()
	}
}

// Crash closes all streams. The engine is down for the time in Faults.DownMs and restarts with an empty cache.
func (e *Engine) Crash() { e.crash() }

func (e *Engine) crash() {
	downMs := e.faults.Get().DownMs
	if downMs <= 0 {
		downMs = DefaultDownMs
	}
	e.server.SetDown(true)
	e.markDown()
	e.server.CloseConnections()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, q := range slices.Concat(e.running, e.waiting) {
		close(q.aborted)
	}
	e.opt.Ledger.addHolders(e.cache.clear(), -1)
	e.restartLocked()
	generation := e.generation
	time.AfterFunc(standin.Millis(downMs), func() { e.endDownTime(generation) })
}

// markDown counts a crash and makes Up report false before any client can observe the crash.
func (e *Engine) markDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	e.down = true
}

// endDownTime accepts connections again after a crash, unless another crash followed it.
func (e *Engine) endDownTime(generation uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation {
		return
	}
	e.down = false
	e.server.SetDown(false)
}

// restartLocked begins a new incarnation with an empty cache and the weights of Options.Models. The fencing number is
// kept, since an engine that checks it stores it on disk.
func (e *Engine) restartLocked() {
	e.generation++
	e.incarnation = uuid.NewString()
	e.role = e.opt.Role
	e.loaded = slices.Clone(e.opt.Models)
	e.loading = []LoadedModel{}
	e.cache = newPrefixCache(e.opt.CacheBlocks)
	e.running = nil
	e.waiting = nil
	e.events.restart(e.incarnation)
	e.stateHistory = nil
	e.recordStateLocked()
}

// submit adds a request to the waiting queue and returns it with the current incarnation.
func (e *Engine) submit(req *ChatRequest) (*sequence, string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	weights, err := e.findWeightsLocked(req)
	if err != nil {
		return nil, "", err
	}
	if len(e.waiting) >= e.opt.MaxWaiting {
		return nil, "", errQueueFull
	}
	seed, err := chainSeed(req, weights)
	if err != nil {
		return nil, "", err
	}
	q := newSequence(e.opt, req, weights, seed)
	e.arrivals++
	q.arrival = e.arrivals
	e.waiting = append(e.waiting, q)
	e.stats.Accepted++
	e.recordStateLocked()
	e.wakeUp()
	return q, e.incarnation, nil
}

// wakeUp makes the step loop check for work.
func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// chainSeed returns the seed in the request's cache salt. Requests without a salt share blocks by model, adapter and
// version.
func chainSeed(req *ChatRequest, weights LoadedModel) (uint64, error) {
	if req.CacheSalt == "" {
		return route.HashSeed("", weights.Model, req.Adapter, weights.Version), nil
	}
	seed, err := strconv.ParseUint(req.CacheSalt, 10, 64)
	if err != nil {
		return 0, errInvalidCacheSalt
	}
	return seed, nil
}

// findWeightsLocked returns the most recently loaded weights that can serve the request.
func (e *Engine) findWeightsLocked(req *ChatRequest) (LoadedModel, error) {
	err := errModelNotLoaded
	if req.Version != "" {
		err = errVersionNotLoaded
	}
	for _, l := range slices.Backward(e.loaded) {
		if l.Model != req.Model {
			continue
		}
		if req.Version != "" && l.Version != req.Version {
			err = errVersionNotLoaded
			continue
		}
		if req.Adapter != "" && !slices.Contains(l.Adapters, req.Adapter) {
			err = errAdapterNotLoaded
			continue
		}
		return l, nil
	}
	return LoadedModel{}, err
}

// State returns the load report as it was one report lag ago.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := time.Now().Add(-e.opt.ReportLag)
	out := e.stateHistory[0].state
	for _, r := range e.stateHistory {
		if r.at.After(asOf) {
			break
		}
		out = r.state
	}
	out.AgeMs = e.opt.ReportLag.Milliseconds()
	return out
}

// ExactState returns the current load report without lag, including the remaining work of accepted requests.
func (e *Engine) ExactState() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stateLocked()
	var remaining time.Duration
	for _, q := range e.running {
		remaining += q.remaining()
		s.DecodeLeft += q.outputLen - q.next
	}
	for _, q := range e.waiting {
		remaining += e.opt.MissCost*time.Duration(len(q.hashes)-e.cache.match(q.hashes)) + q.tailCost
		s.DecodeLeft += q.outputLen - q.next
	}
	s.PrefillLeftUs = remaining.Microseconds()
	return s
}

// Match returns the number of leading hashes whose blocks are cached now.
func (e *Engine) Match(hashes []uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.match(hashes)
}

// Up reports whether the engine accepts connections.
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

// recordStateLocked appends the current state to the history that State reads, and removes entries older than the
// report lag.
func (e *Engine) recordStateLocked() {
	now := time.Now()
	asOf := now.Add(-e.opt.ReportLag)
	seen := 0
	for i, r := range e.stateHistory {
		if !r.at.After(asOf) {
			seen = i
		}
	}
	if len(e.stateHistory) > 0 {
		e.stateHistory = e.stateHistory[seen:]
	}
	e.stateHistory = append(e.stateHistory, stateRecord{state: e.stateLocked(), at: now})
}

// EstimateFirstToken returns the expected time to the first token of a new prompt with these blocks: the remaining
// prompts, its own missing blocks, the cost of the running requests and, if the batch is full, the steps until a slot
// is free. The part of the prompt after the last complete block costs the same on every engine and is not included.
func (e *Engine) EstimateFirstToken(hashes []uint64) time.Duration {
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
