package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

const (
	// maxLineBytes limits one line of a stream.
	maxLineBytes = 64 << 10
	// maxErrorBodyBytes limits the body of an error response.
	maxErrorBodyBytes = 64 << 10
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// Failure classifies the failure of an attempt.
type Failure int

const (
	// FailureNotSent means that no byte was written to the engine.
	FailureNotSent Failure = iota
	// FailureRejected means that the engine refused the request before starting on it.
	FailureRejected
	// FailureVersionMismatch means that the engine does not hold the requested weight version.
	FailureVersionMismatch
	// FailureBadRequest means that the engine will never accept the request.
	FailureBadRequest
	// FailureInterrupted means that the stream ended early, or that the engine may have started on the request.
	FailureInterrupted
	// FailureProtocol means that the response belongs to another attempt or is out of order.
	FailureProtocol
	// FailureCancelled means that this side cancelled the attempt.
	FailureCancelled
)

// StreamError reports the failure of one attempt.
type StreamError struct {
	Endpoint string
	Failure  Failure
	// Status is the engine's HTTP status, or zero.
	Status int
	// Message is the engine's error message, or empty.
	Message string
	// Err is the cause, or nil.
	Err error
}

// Error implements the error interface.
func (e *StreamError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("engine %s: %v", e.Endpoint, e.Err)
	}
	return fmt.Sprintf("engine %s: status %d: %s", e.Endpoint, e.Status, e.Message)
}

// Unwrap returns the cause, or nil.
func (e *StreamError) Unwrap() error {
	return e.Err
}

// Chunk is one event of a stream.
type Chunk struct {
	// TokenIndex is the position of the token in the completion, from 0. An event without a token has index -1.
	TokenIndex int64
	// Choices is the raw JSON of the choices.
	Choices json.RawMessage
	// Usage is set only in the last event.
	Usage *Usage
}

// Usage is the token count of one completion.
type Usage struct {
	PromptTokens     int64          `json:"prompt_tokens"`
	CompletionTokens int64          `json:"completion_tokens"`
	TotalTokens      int64          `json:"total_tokens"`
	PromptDetails    *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails is the breakdown of the prompt tokens in Usage.
type PromptDetails struct {
	// CachedTokens is the number of prompt tokens that came from the engine's cache.
	CachedTokens int64 `json:"cached_tokens"`
}

// ChatRequest is one attempt at a chat completion.
type ChatRequest struct {
	// AttemptID is echoed by the engine.
	AttemptID string
	// Fields are the allowed fields of the caller's request, by name.
	Fields map[string]json.RawMessage
	// CacheSalt separates the cached blocks of workspaces, models, adapters and versions.
	CacheSalt uint64
	// Version is the weight version that must serve the request.
	Version string
	// Priority is passed to the engine's scheduler. Higher values go first.
	Priority int
	// ResumeFrom is the number of tokens that the caller has already received.
	ResumeFrom int64
}

// Stream is a streaming response. The caller must call Close.
type Stream struct {
	// Incarnation identifies the process start of the responding engine.
	Incarnation string

	endpoint string
	http     *httpcall.Stream
	reader   *bufio.Reader
	// nextToken is the expected index of the next token.
	nextToken int64
	ctx       context.Context
}

// Chat starts one attempt. Errors are of type *StreamError.
func (c *Client) Chat(ctx context.Context, endpoint, address string, r ChatRequest) (*Stream, error) {
	req, err := newChatRequest(r)
	if err != nil {
		return nil, &StreamError{Endpoint: endpoint, Failure: FailureBadRequest, Err: err}
	}
	opened, err := c.http.Open(ctx, address, req, true)
	if err != nil {
		return nil, newOpenError(ctx, endpoint, err)
	}
	if status := opened.Response.StatusCode(); status != fasthttp.StatusOK {
		defer opened.Close()
		return nil, newStatusError(endpoint, status, opened)
	}
	header := &opened.Response.Header
	// An engine that does not echo the attempt ID is still safe, since each attempt has a connection of its own.
	if got := string(header.Peek(headerAttemptID)); got != "" && got != r.AttemptID {
		opened.Close()
		err := fmt.Errorf("answer carries attempt id %q, want %q", got, r.AttemptID)
		return nil, &StreamError{Endpoint: endpoint, Failure: FailureProtocol, Err: err}
	}
	if got := string(header.Peek(headerWeightVersion)); got != "" && got != r.Version {
		opened.Close()
		err := fmt.Errorf("answer is from weight version %q, want %q", got, r.Version)
		return nil, &StreamError{Endpoint: endpoint, Failure: FailureVersionMismatch, Err: err}
	}
	return &Stream{
		Incarnation: string(header.Peek(headerIncarnation)),
		endpoint:    endpoint,
		http:        opened,
		reader:      bufio.NewReaderSize(opened, maxLineBytes),
		nextToken:   r.ResumeFrom,
		ctx:         ctx,
	}, nil
}

// newChatRequest returns the HTTP request of an attempt.
func newChatRequest(r ChatRequest) (*fasthttp.Request, error) {
	body := make(map[string]json.RawMessage, len(r.Fields)+6)
	for name, value := range r.Fields {
		body[name] = value
	}
	body["stream"] = json.RawMessage(`true`)
	body["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	body["cache_salt"] = json.RawMessage(strconv.Quote(strconv.FormatUint(r.CacheSalt, 10)))
	body["version"] = json.RawMessage(strconv.Quote(r.Version))
	body["priority"] = json.RawMessage(strconv.Itoa(r.Priority))
	if r.ResumeFrom > 0 {
		body["resume_from"] = json.RawMessage(strconv.FormatInt(r.ResumeFrom, 10))
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(headerAttemptID, r.AttemptID)
	req.SetRequestURI("/v1/chat/completions")
	req.SetBody(data)
	return req, nil
}

// newOpenError classifies an error of opening the stream.
func newOpenError(ctx context.Context, endpoint string, err error) *StreamError {
	failure := FailureInterrupted
	if ctx.Err() != nil {
		failure = FailureCancelled
	}
	if httpcall.NeverWritten(err) {
		failure = FailureNotSent
	}
	return &StreamError{Endpoint: endpoint, Failure: failure, Err: err}
}

// newStatusError classifies a response whose status is not 200.
func newStatusError(endpoint string, status int, opened *httpcall.Stream) *StreamError {
	body, _ := io.ReadAll(io.LimitReader(opened, maxErrorBodyBytes))
	e := &StreamError{Endpoint: endpoint, Status: status, Message: parseErrorMessage(body)}
	switch {
	case status == fasthttp.StatusConflict:
		e.Failure = FailureVersionMismatch
	case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable:
		e.Failure = FailureRejected
	case status >= 400 && status < 500:
		e.Failure = FailureBadRequest
	default:
		e.Failure = FailureInterrupted
	}
	return e
}

// parseErrorMessage returns the message in an error response, or the whole body if there is none.
func parseErrorMessage(body []byte) string {
	var answer struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &answer) == nil && answer.Error.Message != "" {
		return answer.Error.Message
	}
	return string(bytes.TrimSpace(body))
}

// Next returns the next event, or io.EOF after the engine's end marker only. Other errors are of type *StreamError; a
// missing or repeated token is a protocol failure.
func (s *Stream) Next() (Chunk, error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return Chunk{}, s.readError(err)
		}
		data, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
		if !found {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			s.drain()
			return Chunk{}, io.EOF
		}
		return s.decode(data)
	}
}

// drain reads to the end of the body, so that the connection can be reused.
func (s *Stream) drain() {
	_, _ = io.Copy(io.Discard, s.reader)
}

// readError classifies an error of reading the stream. An end of file counts as unexpected.
func (s *Stream) readError(err error) *StreamError {
	failure := FailureInterrupted
	if s.ctx.Err() != nil {
		failure = FailureCancelled
		err = context.Cause(s.ctx)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &StreamError{Endpoint: s.endpoint, Failure: failure, Err: err}
}

// decode decodes one event and checks that its token is the next one.
func (s *Stream) decode(data []byte) (Chunk, error) {
	var event struct {
		TokenIndex *int64          `json:"token_index"`
		Choices    json.RawMessage `json:"choices"`
		Usage      *Usage          `json:"usage"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return Chunk{}, &StreamError{Endpoint: s.endpoint, Failure: FailureProtocol, Err: err}
	}
	chunk := Chunk{TokenIndex: -1, Choices: event.Choices, Usage: event.Usage}
	if event.TokenIndex == nil {
		return chunk, nil
	}
	if *event.TokenIndex != s.nextToken {
		err := fmt.Errorf("token %d out of order, want %d", *event.TokenIndex, s.nextToken)
		return Chunk{}, &StreamError{Endpoint: s.endpoint, Failure: FailureProtocol, Err: err}
	}
	chunk.TokenIndex = s.nextToken
	s.nextToken++
	return chunk, nil
}

// Close releases the connection. If the stream was not read to its end, the engine cancels the attempt.
func (s *Stream) Close() {
	s.http.Close()
}
