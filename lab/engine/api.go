package engine

import (
	"fmt"

	"github.com/zeebo/xxh3"

	"github.com/corneldeal/corneldeal/pkg/route"
)

// Headers of the engine protocol.
const (
	HeaderIncarnation   = "X-Incarnation"
	HeaderWeightVersion = "X-Weight-Version"
	HeaderAttempt       = "X-Attempt-Id"
)

// ChatRequest is the request body of a chat completion.
type ChatRequest struct {
	Model    string          `json:"model"`
	Adapter  string          `json:"adapter,omitempty"`
	Messages []route.Message `json:"messages"`
	// MaxTokens limits the whole answer, including the tokens before ResumeFrom. Default 64.
	MaxTokens int `json:"max_tokens,omitempty"`
	// MaxCompletionTokens is the newer name of MaxTokens; the larger of the two applies.
	MaxCompletionTokens int  `json:"max_completion_tokens,omitempty"`
	Stream              bool `json:"stream,omitempty"`
	// CacheSalt is the seed of the block hash chain, an unsigned 64-bit number in decimal.
	CacheSalt string `json:"cache_salt,omitempty"`
	// Priority orders the waiting queue; a higher value is served first.
	Priority int `json:"priority,omitempty"`
	// Version is the requested weight version. Empty selects the most recently loaded one.
	Version string `json:"version,omitempty"`
	// ResumeFrom is the number of tokens already delivered.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// Usage contains the token counts of one attempt.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens counts the tokens that this attempt produced.
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails contains the number of prompt tokens served from the prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Chunk is one server-sent event of a stream; each carries one token.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	// TokenIndex is the index of the token in the whole answer; nil in a chunk without a token.
	TokenIndex *int `json:"token_index,omitempty"`
	// Usage is set in the last chunk only.
	Usage *Usage `json:"usage,omitempty"`
}

// ChunkChoice is the only choice of a chunk.
type ChunkChoice struct {
	Index int   `json:"index"`
	Delta Delta `json:"delta"`
	// FinishReason is null before the last chunk.
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Completion is the response body of a request that does not stream.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is the only choice of a completion.
type CompletionChoice struct {
	Index        int               `json:"index"`
	Message      CompletionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// CompletionMessage contains the whole answer text.
type CompletionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Readiness is the state of weights: ready to serve or still loading.
type Readiness string

// States of weights in the load report.
const (
	Ready   Readiness = "ready"
	Loading Readiness = "loading"
)

// VersionState is the state of one weight version in the load report.
type VersionState struct {
	Model   string    `json:"model"`
	Version string    `json:"version"`
	State   Readiness `json:"state"`
}

// State is the load report of an engine, the response body of GET /v1/state and /v1/state/exact.
type State struct {
	Name        string         `json:"name"`
	Incarnation string         `json:"incarnation"`
	Role        string         `json:"role"`
	Versions    []VersionState `json:"versions"`
	// Adapters are the names of the adapters loaded for any model.
	Adapters []string `json:"adapters"`
	// Fence is the highest fencing number of a complete order.
	Fence        int64 `json:"fence"`
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	CachedBlocks int   `json:"cached_blocks"`
	CacheBlocks  int   `json:"cache_blocks"`
	MaxRunning   int   `json:"max_running"`
	// AgeMs is the age of the report, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// PrefillLeftUs is the remaining compute time of unfinished prompts, in microseconds. Only the exact state
	// contains it.
	PrefillLeftUs int64 `json:"prefill_left_us,omitempty"`
	// DecodeLeft is the number of tokens that accepted requests still have to produce. Only the exact state
	// contains it.
	DecodeLeft int `json:"decode_left,omitempty"`
}

// EventKind is the type of a cache event.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared"
)

// Event is one change of the prefix cache.
type Event struct {
	// Seq increases by one per event, from 1 in each incarnation; a missing number is a lost event.
	Seq    int64     `json:"seq"`
	Kind   EventKind `json:"kind"`
	Hashes []uint64  `json:"hashes"`
}

// EventReply is the response body of GET /v1/cache/events.
type EventReply struct {
	Incarnation string  `json:"incarnation"`
	Events      []Event `json:"events"`
	// Last is the sequence number of the newest readable event up to the end of this reply, including lost
	// events.
	Last int64 `json:"last"`
}

// OrderKind is the type of an order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderRole    OrderKind = "role"
	OrderAdapter OrderKind = "adapter"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Fence   int64     `json:"fence"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// OrderReply is the response body of an accepted order. A load continues after it; the load report shows when
// the load is complete.
type OrderReply struct {
	Accepted bool  `json:"accepted"`
	Fence    int64 `json:"fence"`
}

// TransferRequest is the body of POST /v1/cache/export and /v1/cache/import.
type TransferRequest struct {
	// CacheSalt is the seed of the hash chain in decimal; the store keeps blocks by seed.
	CacheSalt string   `json:"cache_salt"`
	Hashes    []uint64 `json:"hashes"`
	// Store is the address of the KV cache store.
	Store string `json:"store"`
	// Model and Version name the weights that imported blocks belong to.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// TransferReply lists the blocks that were exported or imported.
type TransferReply struct {
	Hashes []uint64 `json:"hashes"`
}

// ErrorBody is the response body of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Token returns the text of one output token. The text depends only on the prompt, the version and the index, so
// that a client can check that an answer is complete.
func Token(prompt []byte, version string, index int) string {
	h := xxh3.HashSeed(prompt, xxh3.HashString(version)+uint64(index))
	return fmt.Sprintf("%d:%04x ", index, h&0xffff)
}

// Text returns the output tokens from index from (inclusive) to index to (exclusive).
func Text(messages []route.Message, version string, from, to int) string {
	prompt := route.EncodePrompt(messages)
	var out []byte
	for i := from; i < to; i++ {
		out = append(out, Token(prompt, version, i)...)
	}
	return string(out)
}

// PromptTokens returns the number of prompt tokens of the messages.
func PromptTokens(messages []route.Message) int {
	return tokenCount(len(route.EncodePrompt(messages)))
}

func tokenCount(bytes int) int {
	return (bytes + bytesPerToken - 1) / bytesPerToken
}
