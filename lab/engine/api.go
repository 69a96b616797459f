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

// ChatRequest is the body of a chat completion.
type ChatRequest struct {
	Model    string          `json:"model"`
	Adapter  string          `json:"adapter,omitempty"`
	Messages []route.Message `json:"messages"`
	// MaxTokens bounds the whole answer, tokens before ResumeFrom included. Default 64.
	MaxTokens int `json:"max_tokens,omitempty"`
	// MaxCompletionTokens is the newer name of MaxTokens; the larger of the two counts.
	MaxCompletionTokens int  `json:"max_completion_tokens,omitempty"`
	Stream              bool `json:"stream,omitempty"`
	// CacheSalt is the seed of the block hash chain, an unsigned 64-bit number in decimal.
	CacheSalt string `json:"cache_salt,omitempty"`
	// Priority orders the waiting queue; a higher value is served first.
	Priority int `json:"priority,omitempty"`
	// Version is the weight version asked for. Empty takes the one loaded last.
	Version string `json:"version,omitempty"`
	// ResumeFrom is the number of tokens already delivered.
	ResumeFrom int `json:"resume_from,omitempty"`
}

// Usage counts tokens of one attempt.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens counts the tokens that this attempt produced.
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails tells how many prompt tokens came from the prefix cache.
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
	// TokenIndex is missing in a chunk without a token.
	TokenIndex *int `json:"token_index,omitempty"`
	// Usage stands in the last chunk.
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

// Completion is the answer of a request without a stream.
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

// CompletionMessage is the whole answer text.
type CompletionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Readiness tells whether weights may be used.
type Readiness string

// States of weights in the load report.
const (
	Ready   Readiness = "ready"
	Loading Readiness = "loading"
)

// VersionState is one weight version in the load report.
type VersionState struct {
	Model   string    `json:"model"`
	Version string    `json:"version"`
	State   Readiness `json:"state"`
}

// State is the load report.
type State struct {
	Name        string         `json:"name"`
	Incarnation string         `json:"incarnation"`
	Role        string         `json:"role"`
	Versions    []VersionState `json:"versions"`
	// Adapters are the names of the adapters loaded for any model.
	Adapters []string `json:"adapters"`
	// Fence is the highest fencing number seen.
	Fence        int64 `json:"fence"`
	Running      int   `json:"running"`
	Waiting      int   `json:"waiting"`
	CachedBlocks int   `json:"cached_blocks"`
	CacheBlocks  int   `json:"cache_blocks"`
	MaxRunning   int   `json:"max_running"`
	// AgeMs is the age of the report, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// PrefillLeftUs is the compute time of the prompts that are not finished, in microseconds. Only the exact
	// state carries it.
	PrefillLeftUs int64 `json:"prefill_left_us,omitempty"`
	// DecodeLeft is the number of tokens that accepted requests have still to produce. Only the exact state
	// carries it.
	DecodeLeft int `json:"decode_left,omitempty"`
}

// EventKind tells what happened to cached blocks.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared"
)

// Event is one change of the prefix cache.
type Event struct {
	// Seq is dense from 1 under one incarnation; a missing number is a lost event.
	Seq    int64     `json:"seq"`
	Kind   EventKind `json:"kind"`
	Hashes []uint64  `json:"hashes"`
}

// EventReply is the answer of GET /v1/cache/events.
type EventReply struct {
	Incarnation string  `json:"incarnation"`
	Events      []Event `json:"events"`
	// Last is the sequence number of the newest event that may be read, lost events included.
	Last int64 `json:"last"`
}

// OrderKind tells what an order changes.
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

// OrderReply is the answer of an accepted order. A load goes on after it; the state tells when it is done.
type OrderReply struct {
	Accepted bool  `json:"accepted"`
	Fence    int64 `json:"fence"`
}

// TransferRequest is the body of POST /v1/cache/export and /v1/cache/import.
type TransferRequest struct {
	// CacheSalt is the seed of the hash chain in decimal; blocks are kept under it in the store.
	CacheSalt string   `json:"cache_salt"`
	Hashes    []uint64 `json:"hashes"`
	// Store is the address of the KV cache store.
	Store string `json:"store"`
	// Model and Version name the weights that imported blocks belong to.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// TransferReply lists the blocks that were moved.
type TransferReply struct {
	Hashes []uint64 `json:"hashes"`
}

// ErrorBody is an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Token returns the text of one output token. It depends on the prompt, the version and the index only, so that
// a reader can check that an answer is complete.
func Token(prompt []byte, version string, index int) string {
	h := xxh3.HashSeed(prompt, xxh3.HashString(version)+uint64(index))
	return fmt.Sprintf("%d:%04x ", index, h&0xffff)
}

// Text returns tokens from (included) to to (excluded).
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
	return tokensOf(len(route.EncodePrompt(messages)))
}

func tokensOf(bytes int) int {
	return (bytes + bytesPerToken - 1) / bytesPerToken
}
