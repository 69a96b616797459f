// Package engine simulates a model engine with continuous batching and a prefix cache.
//
// A step computes up to one prompt block and produces one token for each request whose prompt is complete; the Options
// give the cost of each part. docs/emulator.md describes the cost model and the protocol.
package engine

import (
	"time"

	"github.com/corneldeal/corneldeal/lab/weightstore"
)

// Defaults of the cost model and of the limits.
const (
	// DefaultBlockBytes is the size of one cached prompt block, in bytes.
	DefaultBlockBytes = 4000
	// DefaultCacheBlocks is the size of the prefix cache, in blocks.
	DefaultCacheBlocks = 4000
	// DefaultMaxRunning is the maximum number of requests in a batch.
	DefaultMaxRunning = 16
	// DefaultMaxWaiting is the maximum number of requests in the waiting queue.
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
	// DefaultOutputTokens is the number of output tokens of a request without a limit.
	DefaultOutputTokens = 64
	// DefaultDownMs is the time from a crash to the restart, in milliseconds.
	DefaultDownMs = 1000
)

// bytesPerToken converts prompt bytes to tokens.
const bytesPerToken = 4

// maxOutputTokens limits the output of one request.
const maxOutputTokens = 16384

// Options configures an Engine. Zero values select the defaults.
type Options struct {
	// Listen is IP:port. Default 127.0.0.1:0.
	Listen string
	// Name is the engine's name in the load report.
	Name string
	// Role is the role at start. Default "serve".
	Role string
	// Models are loaded at start and after a crash.
	Models []LoadedModel
	// BlockBytes is the size of a cached block in bytes.
	BlockBytes int
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// MaxRunning is the maximum number of running requests.
	MaxRunning int
	// MaxWaiting is the maximum length of the waiting queue; further requests are answered with status 503.
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
	// OutputTokens limits every answer to this many tokens. If 0, only the request's own limit applies.
	OutputTokens int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// WeightStore is the address of the weight store. If empty, loads use Weights and LoadTime.
	WeightStore string
	// Weights is the load bandwidth that engines of one process share. If nil, the engine has its own.
	Weights *weightstore.Bandwidth
	// Seed seeds the choice of dropped events, which makes it deterministic.
	Seed uint64
	// Ledger, if not nil, records which blocks the engine caches and recomputes.
	Ledger *Ledger
}

// LoadedModel identifies one weight version of a model, with the adapters loaded for it.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Faults contains the fault switches of an engine.
type Faults struct {
	// Crash closes all streams at once; the engine is down for DownMs and restarts with an empty cache and
	// a new incarnation. The switch resets itself.
	Crash bool `json:"crash"`
	// DownMs is the time from a crash to the restart, in milliseconds. Default 1000.
	DownMs int64 `json:"down_ms"`
	// Poison crashes the engine when it starts a prompt that contains this text.
	Poison string `json:"poison"`
	// Down answers 503 to every path except /healthz, /faults, /stats and /v1/state/exact.
	Down bool `json:"down"`
	// Freeze stops all steps and leaves API requests unanswered.
	Freeze bool `json:"freeze"`
	// StepDelayMs is added to every step, in milliseconds.
	StepDelayMs int64 `json:"step_delay_ms"`
	// EventDelayMs is the age from which a cache event can be read, in milliseconds.
	EventDelayMs int64 `json:"event_delay_ms"`
	// EventDropRatio is the share of cache events that are lost, from 0 to 1. Their sequence numbers are missing.
	EventDropRatio float64 `json:"event_drop_ratio"`
	// OrderDelayMs delays orders before they are checked, in milliseconds.
	OrderDelayMs int64 `json:"order_delay_ms"`
	// CutAfterTokens closes each stream after this many tokens.
	CutAfterTokens int `json:"cut_after_tokens"`
	// SkipToken omits the chunk of this token index (1 or more).
	SkipToken int `json:"skip_token"`
	// RepeatToken sends the chunk of this token index (1 or more) twice.
	RepeatToken int `json:"repeat_token"`
	// WrongAttemptID answers with an attempt id that is not the request's.
	WrongAttemptID bool `json:"cross"`
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
