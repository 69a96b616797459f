// Package engine is the stand-in of a model engine with continuous batching and a prefix cache.
//
// Its cost model and the exact protocol are described in docs/emulator.md.
package engine

import (
	"time"

	"github.com/corneldeal/corneldeal/lab/weightstore"
)

// Defaults of the cost model and of the limits.
const (
	// DefaultBlockBytes is the size of one cached prompt block.
	DefaultBlockBytes = 4000
	// DefaultCacheBlocks is the size of the prefix cache.
	DefaultCacheBlocks = 4000
	// DefaultMaxRunning is the number of requests that share the steps.
	DefaultMaxRunning = 16
	// DefaultMaxWaiting is the number of requests in the waiting queue.
	DefaultMaxWaiting = 1024
	// DefaultMissCost is the time to compute one missing block.
	DefaultMissCost = 25 * time.Millisecond
	// DefaultLookupCost is the time to look up one block.
	DefaultLookupCost = 200 * time.Microsecond
	// DefaultStepCost is the shortest time of one step.
	DefaultStepCost = 8 * time.Millisecond
	// DefaultRunningCost is added to a step for each running request.
	DefaultRunningCost = 150 * time.Microsecond
	// DefaultImportCost is the time to import one block from the cache store.
	DefaultImportCost = 2 * time.Millisecond
	// DefaultReportLag is the age of the load report.
	DefaultReportLag = 200 * time.Millisecond
	// DefaultLoadTime is the time to load weights while at most two loads run.
	DefaultLoadTime = 2 * time.Second
	// DefaultOutputTokens is the output of a request that names no limit.
	DefaultOutputTokens = 64
	// DefaultDownMs is the time from a crash to the restart, in milliseconds.
	DefaultDownMs = 1000
)

// bytesPerToken converts prompt bytes to tokens.
const bytesPerToken = 4

// maxOutputTokens bounds the output of one request.
const maxOutputTokens = 16384

// Options configure the stand-in. Zero values take the defaults.
type Options struct {
	// Listen is IP:port. Default 127.0.0.1:0.
	Listen string
	// Name is shown in the state.
	Name string
	// Role is the role at start. Default "serve".
	Role string
	// Models are loaded at start and after a crash.
	Models []Loaded
	// BlockBytes is the size of a cached block in bytes.
	BlockBytes int
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// MaxRunning bounds the running requests.
	MaxRunning int
	// MaxWaiting bounds the waiting queue; beyond it the answer is 503.
	MaxWaiting int
	// MissCost is the time to compute one missing block.
	MissCost time.Duration
	// LookupCost is the time to look up one block.
	LookupCost time.Duration
	// StepCost is the shortest time of one step.
	StepCost time.Duration
	// RunningCost is added to a step for each running request.
	RunningCost time.Duration
	// ImportCost is the time to import one block.
	ImportCost time.Duration
	// ReportLag is the age of GET /v1/state.
	ReportLag time.Duration
	// LoadTime is the time to load weights while at most two loads run.
	LoadTime time.Duration
	// OutputTokens ends every answer after this many tokens. 0 means that max_tokens decides.
	OutputTokens int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// WeightStore is the address of the weight store, or empty.
	WeightStore string
	// Weights is the bandwidth that engines of one process share. Nil means one of its own.
	Weights *weightstore.Bandwidth
	// Seed makes dropped events deterministic.
	Seed uint64
	// Ledger, if set, learns which blocks the engine holds and recomputes.
	Ledger *Ledger
}

// Loaded names weights that an engine holds.
type Loaded struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Faults are the switches of an engine.
type Faults struct {
	// Crash closes all streams at once; the engine is down for DownMs and comes back empty with a new
	// incarnation. The switch resets itself.
	Crash bool `json:"crash"`
	// DownMs is the time from a crash to the restart, in milliseconds. Default 1000.
	DownMs int64 `json:"down_ms"`
	// Poison crashes the engine when it begins a prompt that contains this text.
	Poison string `json:"poison"`
	// Down answers 503 to everything but /healthz, /faults and /stats.
	Down bool `json:"down"`
	// Freeze stops all steps and gives no answer.
	Freeze bool `json:"freeze"`
	// StepDelayMs is added to every step, in milliseconds.
	StepDelayMs int64 `json:"step_delay_ms"`
	// EventDelayMs is the age that a cache event must have to be read, in milliseconds.
	EventDelayMs int64 `json:"event_delay_ms"`
	// EventDropRatio is the share of cache events that are lost, from 0 to 1. Sequence numbers show the gap.
	EventDropRatio float64 `json:"event_drop_ratio"`
	// OrderDelayMs delays orders before they are checked, in milliseconds.
	OrderDelayMs int64 `json:"order_delay_ms"`
	// CutAfterTokens closes each stream after this many tokens.
	CutAfterTokens int `json:"cut_after_tokens"`
	// SkipToken leaves out the chunk of this token index (1 or more).
	SkipToken int `json:"skip_token"`
	// RepeatToken sends the chunk of this token index (1 or more) twice.
	RepeatToken int `json:"repeat_token"`
	// Cross answers with the attempt id of another request.
	Cross bool `json:"cross"`
}

func (o Options) withDefaults() Options {
	setDefault(&o.Role, "serve")
	setDefault(&o.BlockBytes, DefaultBlockBytes)
	setDefault(&o.CacheBlocks, DefaultCacheBlocks)
	setDefault(&o.MaxRunning, DefaultMaxRunning)
	setDefault(&o.MaxWaiting, DefaultMaxWaiting)
	setDefault(&o.MissCost, DefaultMissCost)
	setDefault(&o.LookupCost, DefaultLookupCost)
	setDefault(&o.StepCost, DefaultStepCost)
	setDefault(&o.RunningCost, DefaultRunningCost)
	setDefault(&o.ImportCost, DefaultImportCost)
	setDefault(&o.ReportLag, DefaultReportLag)
	setDefault(&o.LoadTime, DefaultLoadTime)
	if o.Weights == nil {
		o.Weights = weightstore.NewBandwidth()
	}
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
