// Package engine implements the client of model engines: streams, state, cache events, orders and KV transfer.
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

// Headers of requests to engines and of their responses.
const (
	headerAttemptID     = "X-Attempt-Id"
	headerIncarnation   = "X-Incarnation"
	headerWeightVersion = "X-Weight-Version"
)

const (
	// stateTimeout limits one state request.
	stateTimeout = time.Second
	// orderTimeout is the time after which an order can no longer be in transit.
	orderTimeout = 2 * time.Second
	// transferTimeout limits one KV transfer.
	transferTimeout = 5 * time.Second
	// eventTimeoutSlack is added to the long-poll time of cache events.
	eventTimeoutSlack = time.Second
	// maxResponseBytes limits a buffered response body.
	maxResponseBytes = 16 << 20
)

// StateReady is the LoadedVersion.State of weights that are ready to serve.
const StateReady = "ready"

// LoadedVersion is a weight version that an engine holds or is loading.
type LoadedVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// State is ready or loading.
	State string `json:"state"`
}

// State is an engine's report of itself. It lags behind the engine.
type State struct {
	Incarnation string `json:"incarnation"`
	// Role is the engine's role, such as serve.
	Role     string          `json:"role"`
	Versions []LoadedVersion `json:"versions"`
	Adapters []string        `json:"adapters"`
	// Fence is the highest fencing token that the engine has received.
	Fence        int64 `json:"fence"`
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	CachedBlocks int   `json:"cached_blocks"`
	// AgeMs is the age of the report when it was sent, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// Ready reports whether the engine holds the weights and the adapter. An empty adapter means none.
func (s *State) Ready(model, version, adapter string) bool {
	if adapter != "" && !slices.Contains(s.Adapters, adapter) {
		return false
	}
	return slices.ContainsFunc(s.Versions, func(v LoadedVersion) bool {
		return v.Model == model && v.Version == version && v.State == StateReady
	})
}

// RoleServe is the role of an engine that accepts requests.
const RoleServe = "serve"

// EventKind is the type of a cache event.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared"
)

// Event is a change of an engine's block cache.
type Event struct {
	Seq    int64     `json:"seq"`
	Kind   EventKind `json:"kind"`
	Hashes []uint64  `json:"hashes,omitempty"`
}

// EventPage is one page of cache events.
type EventPage struct {
	Incarnation string  `json:"incarnation"`
	Events      []Event `json:"events"`
}

// Order changes an engine's weights, adapters or role. The engine rejects an order whose fencing token is old.
type Order struct {
	Fence int64 `json:"fence"`
	// Kind is load, unload, role or adapter.
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Client sends requests to model engines. It is safe for concurrent use.
type Client struct {
	http *httpcall.Client
}

// New returns a client that sends its requests through http.
func New(http *httpcall.Client) *Client {
	return &Client{http: http}
}

// CallError reports the failure of a request other than a chat completion.
type CallError struct {
	// Op names the operation.
	Op string
	// Status is the HTTP status, or zero without a response.
	Status int
	// Err is the cause, or nil.
	Err error
}

// Error implements the error interface.
func (e *CallError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("engine %s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("engine %s: status %d", e.Op, e.Status)
}

// Unwrap returns the cause, or nil.
func (e *CallError) Unwrap() error {
	return e.Err
}

// IsRejected reports whether err proves that the engine did not execute the request: the engine refused it, or did not
// receive it.
func IsRejected(err error) bool {
	var call *CallError
	return errors.As(err, &call) && call.Status != 0 || httpcall.NeverWritten(err)
}

// State requests the engine's state report.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var state State
	err := c.get(ctx, "state", address, "/v1/state", &state)
	return state, err
}

// Events returns the cache events after the given sequence number. If there are none, it waits for up to wait.
func (c *Client) Events(ctx context.Context, address string, after int64, wait time.Duration) (EventPage, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+eventTimeoutSlack)
	defer cancel()
	var events EventPage
	uri := fmt.Sprintf("/v1/cache/events?after=%d&wait_ms=%d", after, wait.Milliseconds())
	err := c.get(ctx, "cache events", address, uri, &events)
	return events, err
}

// Order sends an order. Status 409 in the error means that the fencing token is old. Without a response the order may
// or may not have taken effect.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.post(ctx, "order", address, "/v1/orders", order, nil)
}

// Import instructs the engine to load blocks from the cache store at address store. It returns the hashes of the
// blocks that the engine then holds.
func (c *Client) Import(ctx context.Context, address, store string, seed uint64, hashes []uint64) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	body := transferRequest{Store: store, Seed: fmt.Sprint(seed), Hashes: hashes}
	var answer struct {
		Hashes []uint64 `json:"hashes"`
	}
	err := c.post(ctx, "cache import", address, "/v1/cache/import", body, &answer)
	return answer.Hashes, err
}

// Export instructs the engine to copy blocks to the cache store at address store.
func (c *Client) Export(ctx context.Context, address, store string, seed uint64, hashes []uint64) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	body := transferRequest{Store: store, Seed: fmt.Sprint(seed), Hashes: hashes}
	return c.post(ctx, "cache export", address, "/v1/cache/export", body, nil)
}

// transferRequest is the body of an import or export request.
type transferRequest struct {
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

// do sends a request and decodes the response into answer unless that is nil. Errors are of type *CallError.
func (c *Client) do(ctx context.Context, op, address string, req *fasthttp.Request, answer any) error {
	status, err := c.http.DoJSON(ctx, address, req, answer, httpcall.Options{MaxBody: maxResponseBytes})
	if err != nil {
		return &CallError{Op: op, Err: err}
	}
	if status != fasthttp.StatusOK {
		return &CallError{Op: op, Status: status}
	}
	return nil
}
