// Package engine is the client of a model engine: streams, state, cache events, orders and KV transfer.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

// Headers between the router and the engines.
const (
	headerAttempt     = "X-Attempt-Id"
	headerIncarnation = "X-Incarnation"
	headerVersion     = "X-Weight-Version"
)

const (
	// stateTimeout bounds one state request.
	stateTimeout = time.Second
	// orderTimeout is the time after which an order can no longer be on its way.
	orderTimeout = 2 * time.Second
	// transferTimeout bounds one KV transfer.
	transferTimeout = 5 * time.Second
	// eventSlack is added to the long-poll time of cache events.
	eventSlack = time.Second
	// maxAnswerBytes bounds a buffered answer.
	maxAnswerBytes = 16 << 20
)

// StateReady marks weights that are ready to serve.
const StateReady = "ready"

// LoadedVersion is a weight version that an engine holds or loads.
type LoadedVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// State is ready or loading.
	State string `json:"state"`
}

// State is an engine's own report. It lags.
type State struct {
	Incarnation string `json:"incarnation"`
	// Role is the engine's role, such as serve.
	Role     string          `json:"role"`
	Versions []LoadedVersion `json:"versions"`
	Adapters []string        `json:"adapters"`
	// Fence is the highest fencing number that the engine has seen.
	Fence        int64 `json:"fence"`
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	CachedBlocks int   `json:"cached_blocks"`
	// AgeMs is the age of the report when it was sent, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// Ready tells whether the engine holds the weights and the adapter, which may be empty.
func (s *State) Ready(model, version, adapter string) bool {
	if adapter != "" && !slices.Contains(s.Adapters, adapter) {
		return false
	}
	return slices.ContainsFunc(s.Versions, func(v LoadedVersion) bool {
		return v.Model == model && v.Version == version && v.State == StateReady
	})
}

// RoleServe is the role of an engine that takes requests.
const RoleServe = "serve"

// EventKind tells what happened to cached blocks.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared"
)

// Event is one cache event.
type Event struct {
	Seq    int64     `json:"seq"`
	Kind   EventKind `json:"kind"`
	Hashes []uint64  `json:"hashes,omitempty"`
}

// Events is one page of cache events.
type Events struct {
	Incarnation string  `json:"incarnation"`
	Events      []Event `json:"events"`
}

// Order is a fenced order to an engine.
type Order struct {
	Fence int64 `json:"fence"`
	// Kind is load, unload, role or adapter.
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Client talks to model engines. It is safe for concurrent use.
type Client struct {
	http *httpcall.Client
}

// New returns a client.
func New(http *httpcall.Client) *Client {
	return &Client{http: http}
}

// CallError is the failure of a request other than a chat completion.
type CallError struct {
	// Op names the request.
	Op string
	// Status is the HTTP status, or zero without an answer.
	Status int
	// Err is the cause, or nil.
	Err error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("engine %s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("engine %s: status %d", e.Op, e.Status)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

// Rejected tells whether err is an answer by which the engine refused a request, or proves that it got none.
func Rejected(err error) bool {
	var call *CallError
	return errors.As(err, &call) && call.Status != 0 || httpcall.NeverWritten(err)
}

// State returns the engine's report.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var state State
	err := c.get(ctx, "state", address, "/v1/state", &state)
	return state, err
}

// Events returns the cache events after the given sequence number; it waits up to wait when there are none.
func (c *Client) Events(ctx context.Context, address string, after int64, wait time.Duration) (Events, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+eventSlack)
	defer cancel()
	var events Events
	uri := fmt.Sprintf("/v1/cache/events?after=%d&wait_ms=%d", after, wait.Milliseconds())
	err := c.get(ctx, "cache events", address, uri, &events)
	return events, err
}

// Order sends an order. Status 409 in the error means that the fencing number is old. Without an answer the
// order may or may not have taken effect.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.post(ctx, "order", address, "/v1/orders", order, nil)
}

// Import asks the engine to take blocks from the cache store at store. It returns the hashes that it now holds.
func (c *Client) Import(ctx context.Context, address, store string, seed uint64, hashes []uint64) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	order := transferOrder{Store: store, Seed: fmt.Sprint(seed), Hashes: hashes}
	var answer struct {
		Hashes []uint64 `json:"hashes"`
	}
	err := c.post(ctx, "cache import", address, "/v1/cache/import", order, &answer)
	return answer.Hashes, err
}

// Export asks the engine to copy blocks to the cache store at store.
func (c *Client) Export(ctx context.Context, address, store string, seed uint64, hashes []uint64) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	order := transferOrder{Store: store, Seed: fmt.Sprint(seed), Hashes: hashes}
	return c.post(ctx, "cache export", address, "/v1/cache/export", order, nil)
}

type transferOrder struct {
	Store  string   `json:"store"`
	Seed   string   `json:"seed"`
	Hashes []uint64 `json:"hashes"`
}

func (c *Client) get(ctx context.Context, op, address, uri string, answer any) error {
	req := &fasthttp.Request{}
	req.SetRequestURI(uri)
	return c.do(ctx, op, address, req, answer)
}

func (c *Client) post(ctx context.Context, op, address, uri string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &CallError{Op: op, Err: err}
	}
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI(uri)
	req.SetBody(data)
	return c.do(ctx, op, address, req, answer)
}

func (c *Client) do(ctx context.Context, op, address string, req *fasthttp.Request, answer any) error {
	resp := &fasthttp.Response{}
	if err := c.http.Do(ctx, address, req, resp, httpcall.Options{MaxBody: maxAnswerBytes}); err != nil {
		return &CallError{Op: op, Err: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &CallError{Op: op, Status: resp.StatusCode()}
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return &CallError{Op: op, Err: err}
	}
	return nil
}
