// Package gateway implements the process that routes requests from callers to endpoints on a platform operated by others.
//
// It depends on the platform only through the interfaces in this file: a log of keyed records for durable state, a decoder
// for the records of operators and endpoints, the headers of requests and answers, and the orders to engines.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/brittle"
	"github.com/corneldeal/corneldeal/pkg/endpointlimit"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/rollout"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// Stream names a log of keyed records in the platform's store.
type Stream int

const (
	// OperatorStream holds what operators publish. Only they write to it.
	OperatorStream Stream = iota
	// EndpointStream holds the registrations of endpoints. Only they write to it.
	EndpointStream
	// OrderClaimStream holds the claims of the lease to give orders.
	OrderClaimStream
	// VMStream holds the registrations of the gateways, the announcement times of weight versions, the refused requests and
	// the crashes that count against others.
	VMStream
	// StreamOriginStream holds which software versions began the streams that callers may take up, see package affinity.
	StreamOriginStream
	// StatusStream holds what the gateways tell operators about their roll-outs.
	StatusStream
)

// String returns the name of the stream in logs.
func (s Stream) String() string {
	return [...]string{"operator", "endpoints", "holder", "vms", "streams", "status"}[s]
}

// Record is one keyed record of a stream. A removal has no value.
type Record struct {
	Key      string
	Position logpos.Position
	Value    []byte
}

// Page is the answer to a read of a stream.
type Page struct {
	Records []Record
	// Next is the position after the last of the records.
	Next logpos.Position
	// Complete is set if the stream held no more records when the store answered. An answer has a largest size, so it may
	// lack some.
	Complete bool
}

// Listing is the newest record of each key of a stream.
type Listing struct {
	Records []Record
	// End is the end of the stream before the first of the records was read.
	End logpos.Position
}

// ErrRecordsExpired means that the store does not hold the records after the requested offset: they are too old, or were
// lost in a restore.
var ErrRecordsExpired = errors.New("gateway: records are not stored")

// ConflictError reports that a conditional append was refused because the log ends at another position.
type ConflictError struct {
	End logpos.Position
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("log ends at %d of era %d", e.End.Offset, e.End.Era)
}

// Store reads and appends records of the platform's log. Every call is limited by its context only.
type Store interface {
	// OnEra sets the function that receives the era of every answer, before the call that got it returns. It is called once,
	// before all other calls.
	OnEra(func(era int64))
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, s Stream) (Listing, error)
	// Read returns the records from an offset on, of the era that the store is in. It waits up to wait for the first record.
	// The error is ErrRecordsExpired if records from the offset on are not stored.
	Read(ctx context.Context, s Stream, offset int64, wait time.Duration) (Page, error)
	// Append adds a record and returns its position.
	Append(ctx context.Context, s Stream, key string, value []byte) (logpos.Position, error)
	// AppendAt adds a record if the log ends at an offset, and returns its position, which may be in another era than that
	// of the offset. Otherwise it fails with a *ConflictError.
	AppendAt(ctx context.Context, s Stream, key string, value []byte, offset int64) (logpos.Position, error)
}

// OperatorChange is a decoded operator record. Config, Weights or Rollout is set, or none of them if the key is unknown.
type OperatorChange struct {
	Config  *traffic.Config
	Weights *Weights
	Rollout *RolloutOrder
	// Skipped names the elements of the configuration that could not be decoded and are missing from Config.
	Skipped []error
}

// Weights is the weight version that a model should run.
type Weights struct {
	Model   string
	Version int64
}

// RolloutOrder is the order to move the traffic of a service to the endpoints of a software version.
type RolloutOrder struct {
	Service, Target string
	Duration        time.Duration
}

// RolloutStatus is what operators are told about a roll-out.
type RolloutStatus struct {
	Service, Target string
	State           rollout.State
}

// StatusCodec translates the records of StatusStream.
type StatusCodec interface {
	// EncodeStatus returns the record of a status.
	EncodeStatus(RolloutStatus) (key string, value []byte)
	// DecodeStatus decodes a record. It reports false if the key is not that of the status of a roll-out.
	DecodeStatus(key string, value []byte) (s RolloutStatus, known bool, err error)
}

// Decoder decodes the platform's records.
type Decoder interface {
	// DecodeOperator decodes an operator's record.
	DecodeOperator(key string, value []byte) (OperatorChange, error)
	// DecodeEndpoint decodes the registration of the endpoint with the id key.
	DecodeEndpoint(key string, value []byte) (*fleet.Endpoint, error)
}

// Call holds the values of a caller's request headers.
type Call struct {
	// ID is the caller's id of this attempt.
	ID string
	// Key is the caller's key, or empty.
	Key string
	// Timeout is how long the caller waits, or zero if it is not given.
	Timeout time.Duration
	Model   string
	// PromptTokens is the size of the prompt, and OutputTokens the maximum number of tokens to generate.
	PromptTokens, OutputTokens int
	// HasTokenCounts is set if the token counts were given.
	HasTokenCounts bool
	// Chain identifies the parts of the prompt, for reuse of cached material.
	Chain []place.Part
	// ExpectedOutput is the caller's estimate of the generated tokens, or 0.
	ExpectedOutput int
	// LastEventID is the last event that the caller received of a broken stream.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that this one takes up, or empty.
	Resumes string
}

// Attempt holds the values that the gateway sends to an endpoint in request headers.
type Attempt struct {
	Endpoint *fleet.Endpoint
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	Workspace string
	// Engine is set if the fields below apply.
	Engine bool
	// Salt separates cached material of different models, weight versions and isolated workspaces.
	Salt    string
	Version int64
	// Urgency is the rank in the engine's queue, 0 first.
	Urgency int
	// FetchFrom and SaveTo are addresses (IP:port) of cached material, or empty.
	FetchFrom, SaveTo string
	// LastEventID is the event after which the stream continues, or empty.
	LastEventID string
}

// Answer holds the values of an endpoint's response headers.
type Answer struct {
	ID string
	// NotRun is set if the endpoint states that it did not run the request.
	NotRun bool
	// Misdirected is set if another endpoint answered, or one with other weights.
	Misdirected bool
	// Signed is set if the answer carries the endpoint's signature.
	Signed bool
	// Instance is the endpoint's id, or empty.
	Instance string
	// Version is the weight version that ran, or 0.
	Version int64
	// Leaving is set if the endpoint is draining.
	Leaving bool
	// RetryAfter is the time for which an endpoint that refused the request accepts no other from this VM, or 0.
	RetryAfter time.Duration
	// Limit is what the answer says about the rate limit of the endpoint over all VMs.
	Limit endpointlimit.Advertisement
	// Brittle is what the answer says about the rejections that the endpoint tolerates.
	Brittle brittle.Announcement
}

// Wire translates between the platform's headers and the gateway's types.
type Wire interface {
	// ReadCall reads a caller's headers. The error states which header is malformed.
	ReadCall(h *fasthttp.RequestHeader) (Call, error)
	// RequestHead returns the head of the request to the endpoint: the caller's method, target and headers, without those
	// that the gateway sets or that concern one connection, and the attempt's headers.
	RequestHead(h *fasthttp.RequestHeader, a Attempt, bodyBytes int) []byte
	// ReadAnswer reads an endpoint's headers.
	ReadAnswer(h *fasthttp.ResponseHeader) Answer
	// CopyResponseHeaders copies the headers that the caller receives, without those that concern one connection.
	CopyResponseHeaders(from, to *fasthttp.ResponseHeader)
	// SetRequestID sets the caller's id of the request in an answer that the gateway generates.
	SetRequestID(h *fasthttp.ResponseHeader, id string)
	// EventVersion returns the weight version stated in a stream event, or 0.
	EventVersion(event []byte) int64
	// ReadyPath returns the path of the readiness probe.
	ReadyPath() string
}

// Report is an engine's report on itself, some hundred milliseconds old.
type Report struct {
	// Busy is set while the engine carries out an order.
	Busy bool
	// Sequence is the number that the next order must state as expected.
	Sequence int64
	// Versions are the weight versions of the engine's models.
	Versions map[string]int64
}

// OrderResult is an engine's answer to an order.
type OrderResult int

const (
	// OrderUnknown means that no answer arrived. The order may take effect, also later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderAlreadyApplied means that the engine already runs the ordered version.
	OrderAlreadyApplied
	// OrderConflict means that another order is in progress or the expected sequence differs.
	OrderConflict
	// OrderFenced means that the engine has seen a higher token.
	OrderFenced
	// OrderRefused means that the engine rejected the order as unknown, or another engine answered.
	OrderRefused
)

// String returns the result's name in logs.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "refused"}[r]
}

// Order is an order to an engine to load a weight version.
type Order struct {
	Model   string
	Version int64
	// Holder is the VM that gives the order.
	Holder string
	// Token is the fencing token of the holder's lease.
	Token int64
	// Expected is the engine's sequence number as last reported.
	Expected int64
}

// CacheEvents are changes of the cached material of an engine or cache store.
type CacheEvents struct {
	// Epoch changes when the source restarts.
	Epoch int64
	// Next is the number from which the next call continues.
	Next int64
	// Lost is set if events before these are missing.
	Lost   bool
	Events []place.CacheEvent
}

// Engines sends orders to engines and reads their reports and cache events.
type Engines interface {
	// CacheEvents returns the events of the source at address from the number since on. It waits up to wait for the first.
	CacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (CacheEvents, error)
	// Report returns the engine's report on itself.
	Report(ctx context.Context, e *fleet.Endpoint) (Report, error)
	// Order sends an order. The error is the reason for the result OrderUnknown.
	Order(ctx context.Context, e *fleet.Endpoint, o Order) (OrderResult, error)
}

// Platform is the gateway's access to the platform it runs on.
type Platform struct {
	Store   Store
	Decoder Decoder
	Wire    Wire
	Engines Engines
	// Statuses is nil on a platform without roll-outs.
	Statuses StatusCodec
}
