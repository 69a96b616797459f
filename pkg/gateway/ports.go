// Package gateway assembles the process that stands between callers and endpoints on a platform that is not ours.
//
// It knows the platform only by the interfaces in this file: a log of keyed records that holds what lasts, a decoder
// for the records of operators and endpoints, the headers of requests and answers, and the orders of engines.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// Stream names a log of keyed records in the platform's store.
type Stream int

const (
	// OperatorStream holds what operators publish. Only they write to it.
	OperatorStream Stream = iota
	// EndpointStream holds the registrations of endpoints. Only they write to it.
	EndpointStream
	// HolderStream holds the claims to give orders.
	HolderStream
	// VMStream holds the addresses of the gateways.
	VMStream
)

// String returns the name of the stream in logs.
func (s Stream) String() string {
	return [...]string{"operator", "endpoints", "holder", "vms"}[s]
}

// Record is one keyed record. A removal has no value.
type Record struct {
	Key    string
	Offset int64
	Value  []byte
}

// ErrGap means that records after the requested offset are no longer kept.
var ErrGap = errors.New("gateway: records are no longer kept")

// ConflictError means that a conditional append was refused because the log ends elsewhere.
type ConflictError struct {
	End int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("log ends at %d", e.End)
}

// Store is the platform's store. Every call is bounded by its context only.
type Store interface {
	// Newest returns the newest record of each key and the end of the log before the first of them was read.
	Newest(ctx context.Context, s Stream) (records []Record, end int64, err error)
	// Read returns the records from an offset on, waiting up to wait for the first, and the offset after the last.
	// The error is ErrGap where they are no longer kept.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (records []Record, next int64, err error)
	// Append adds a record. With at >= 0 it fails with a *ConflictError unless the log ends there.
	Append(ctx context.Context, s Stream, key string, value []byte, at int64) (offset int64, err error)
}

// OperatorChange is one decoded operator's record. One of the fields is set; none where the key is not known.
type OperatorChange struct {
	Config  *traffic.Config
	Weights *Weights
}

// Weights names the weight version that a model should run.
type Weights struct {
	Model   string
	Version int64
}

// Decoder reads the platform's records.
type Decoder interface {
	Operator(key string, value []byte) (OperatorChange, error)
	Endpoint(key string, value []byte) (*fleet.Endpoint, error)
}

// Call is what a caller's headers say.
type Call struct {
	// ID is the caller's id of this attempt.
	ID  string
	Key string
	// Timeout is how long the caller waits. Zero where it does not tell.
	Timeout time.Duration
	Model   string
	// PromptTokens and OutputTokens are the size of the prompt and the most tokens to generate.
	PromptTokens, OutputTokens int
	// Sized tells that the token counts were given.
	Sized bool
	Chain []place.Part
	// ExpectedOutput is the caller's estimate of the generated tokens, or 0.
	ExpectedOutput int
	// LastEventID is the last event that the caller has of a broken stream.
	LastEventID string
}

// Attempt is what the gateway tells an endpoint.
type Attempt struct {
	Endpoint  *fleet.Endpoint
	Remaining time.Duration
	Workspace string
	// Engine tells that the fields below hold.
	Engine bool
	// Salt separates cached material.
	Salt    string
	Version int64
	// Urgency is the rank in the engine's queue, 0 first.
	Urgency int
	// FetchFrom and SaveTo are addresses (IP:port) of cached material, or empty.
	FetchFrom, SaveTo string
	// LastEventID is where the stream goes on, or empty.
	LastEventID string
}

// Answer is what an endpoint's headers say.
type Answer struct {
	ID string
	// NotRun is the endpoint's statement that it did not run the request.
	NotRun bool
	// Misdirected tells that another endpoint answered, or one with other weights.
	Misdirected bool
	// Signed tells that the answer carries the endpoint's signature.
	Signed bool
	// Instance is the endpoint's id, or empty.
	Instance string
	// Version is the weight version that ran, or 0.
	Version int64
	// Leaving tells that the endpoint is draining.
	Leaving bool
	// RetryAfter is how long an endpoint that turned the request away wants no other from this VM, or 0.
	RetryAfter time.Duration
}

// Wire translates headers.
type Wire interface {
	// ReadCall reads a caller's headers. The error says which header is malformed.
	ReadCall(h *fasthttp.RequestHeader) (Call, error)
	// Head returns the head of the request to the endpoint: the caller's method, target and headers without those
	// that the gateway sets or that concern one connection, and the attempt's own.
	Head(h *fasthttp.RequestHeader, a Attempt, bodyBytes int) []byte
	// ReadAnswer reads an endpoint's headers.
	ReadAnswer(h *fasthttp.ResponseHeader) Answer
	// Forward copies the headers that the caller gets, without those that concern one connection.
	Forward(from, to *fasthttp.ResponseHeader)
	// Identify puts the caller's id into an answer of the gateway's own.
	Identify(h *fasthttp.ResponseHeader, id string)
	// EventVersion returns the weight version that an event of a stream names, or 0.
	EventVersion(event []byte) int64
	// ReadyPath is the path of the readiness probe.
	ReadyPath() string
}

// Report is an engine's report on itself, some hundred milliseconds old.
type Report struct {
	Busy     bool
	Sequence int64
	Versions map[string]int64
}

// OrderResult is an engine's answer to an order.
type OrderResult int

const (
	// OrderUnknown means that no answer came. The order may take effect, also later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderHolds means that the order already holds.
	OrderHolds
	// OrderConflict means that another order is in progress or the expected sequence differs.
	OrderConflict
	// OrderFenced means that the engine has seen a higher token.
	OrderFenced
	// OrderRefused means that the engine does not know the order, or another engine answered.
	OrderRefused
)

// String returns the result's name in logs.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "refused"}[r]
}

// Order tells an engine to load a weight version.
type Order struct {
	Model    string
	Version  int64
	Holder   string
	Token    int64
	Expected int64
}

// CacheEvents are the changes of what an engine or cache store holds.
type CacheEvents struct {
	// Epoch changes when the source restarts.
	Epoch int64
	// Next is where the next call goes on.
	Next int64
	// Lost tells that there is a gap before these events.
	Lost   bool
	Events []place.CacheEvent
}

// Engines gives orders to engines and watches what they hold.
type Engines interface {
	// CacheEvents returns the events of the source at address since a number, waiting up to wait for the first.
	CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (CacheEvents, error)
	Report(ctx context.Context, e *fleet.Endpoint) (Report, error)
	// Order gives an order. The error is why the result is OrderUnknown.
	Order(ctx context.Context, e *fleet.Endpoint, o Order) (OrderResult, error)
}

// Platform is all that the gateway needs of the platform.
type Platform struct {
	Store   Store
	Decoder Decoder
	Wire    Wire
	Engines Engines
}
