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
	// eventBufferBytes bounds one line of a stream.
	eventBufferBytes = 64 << 10
	// maxErrorBytes bounds the body of an error answer.
	maxErrorBytes = 64 << 10
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// Failure tells how an attempt failed.
type Failure int

const (
	// FailureNotSent means that no byte was written to the engine.
	FailureNotSent Failure = iota
	// FailureRejected means that the engine refused the request before it started.
	FailureRejected
	// FailureVersion means that the engine does not hold the weight version that was asked for.
	FailureVersion
	// FailureBadRequest means that the engine will never accept the request.
	FailureBadRequest
	// FailureCut means that the answer broke off.
	FailureCut
	// FailureProtocol means that the answer belongs to another attempt or is out of order.
	FailureProtocol
	// FailureCancelled means that the attempt was cancelled on this side.
	FailureCancelled
)

// StreamError is the failure of one attempt.
type StreamError struct {
	Endpoint string
	Failure  Failure
	// Status is the engine's HTTP status, or zero.
	Status int
	// Message is the engine's own message, or empty.
	Message string
	Err     error
}

// Error implements error.
func (e *StreamError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("engine %s: %v", e.Endpoint, e.Err)
	}
	return fmt.Sprintf("engine %s: status %d: %s", e.Endpoint, e.Status, e.Message)
}

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error {
	return e.Err
}

// Chunk is one event of a stream.
type Chunk struct {
	// TokenIndex is the position of the token in the answer, from 0. -1 marks an event without a token.
	TokenIndex int64
	// Choices is the raw JSON of the choices.
	Choices json.RawMessage
	// Usage is set in the last event.
	Usage *Usage
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int64          `json:"prompt_tokens"`
	CompletionTokens int64          `json:"completion_tokens"`
	TotalTokens      int64          `json:"total_tokens"`
	PromptDetails    *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails tells how much of the prompt came from the engine's cache.
type PromptDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// ChatRequest is one attempt at a chat completion.
type ChatRequest struct {
	// AttemptID is echoed by the engine.
	AttemptID string
	// Fields are the caller's allowed fields, by name.
	Fields map[string]json.RawMessage
	// CacheSalt separates the cached blocks of workspaces, models, adapters and versions.
	CacheSalt uint64
	// Version is the weight version that must answer.
	Version string
	// Priority is passed to the engine's scheduler; higher first.
	Priority int
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int64
}

// Stream is a running answer. Close must be called.
type Stream struct {
	// Incarnation identifies the start of the engine that answers.
	Incarnation string

	endpoint string
	http     *httpcall.Stream
	reader   *bufio.Reader
	next     int64
	ctx      context.Context
}

// Chat starts one attempt. Errors are of type *StreamError.
func (c *Client) Chat(ctx context.Context, endpoint, address string, r ChatRequest) (*Stream, error) {
	req, err := chatHTTP(r)
	if err != nil {
		return nil, &StreamError{Endpoint: endpoint, Failure: FailureBadRequest, Err: err}
	}
	opened, err := c.http.Open(ctx, address, req, true)
	if err != nil {
		return nil, openError(ctx, endpoint, err)
	}
	if status := opened.Response.StatusCode(); status != fasthttp.StatusOK {
		defer opened.Close()
		return nil, statusError(endpoint, status, opened)
	}
	header := &opened.Response.Header
	// Engines that do not echo the attempt id are still safe: an attempt has a connection of its own.
	if got := string(header.Peek(headerAttempt)); got != "" && got != r.AttemptID {
		opened.Close()
		err := fmt.Errorf("answer carries attempt id %q, want %q", got, r.AttemptID)
		return nil, &StreamError{Endpoint: endpoint, Failure: FailureProtocol, Err: err}
	}
	if got := string(header.Peek(headerVersion)); got != "" && got != r.Version {
		opened.Close()
		err := fmt.Errorf("answer is from weight version %q, want %q", got, r.Version)
		return nil, &StreamError{Endpoint: endpoint, Failure: FailureVersion, Err: err}
	}
	return &Stream{
		Incarnation: string(header.Peek(headerIncarnation)),
		endpoint:    endpoint,
		http:        opened,
		reader:      bufio.NewReaderSize(opened, eventBufferBytes),
		next:        r.ResumeFrom,
		ctx:         ctx,
	}, nil
}

func chatHTTP(r ChatRequest) (*fasthttp.Request, error) {
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
	req.Header.Set(headerAttempt, r.AttemptID)
	req.SetRequestURI("/v1/chat/completions")
	req.SetBody(data)
	return req, nil
}

func openError(ctx context.Context, endpoint string, err error) *StreamError {
	failure := FailureCut
	if ctx.Err() != nil {
		failure = FailureCancelled
	}
	if httpcall.NeverWritten(err) {
		failure = FailureNotSent
	}
	return &StreamError{Endpoint: endpoint, Failure: failure, Err: err}
}

func statusError(endpoint string, status int, opened *httpcall.Stream) *StreamError {
	body, _ := io.ReadAll(io.LimitReader(opened, maxErrorBytes))
	e := &StreamError{Endpoint: endpoint, Status: status, Message: errorMessage(body)}
	switch {
	case status == fasthttp.StatusConflict:
		e.Failure = FailureVersion
	case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable:
		e.Failure = FailureRejected
	case status >= 400 && status < 500:
		e.Failure = FailureBadRequest
	default:
		e.Failure = FailureCut
	}
	return e
}

func errorMessage(body []byte) string {
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

// Next returns the next event. It returns io.EOF only after the engine's end marker. Other errors are of type
// *StreamError; a token that is missing or repeated is a protocol failure.
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

// drain reads up to the end of the body, so that the connection may be used again.
func (s *Stream) drain() {
	_, _ = io.Copy(io.Discard, s.reader)
}

func (s *Stream) readError(err error) *StreamError {
	failure := FailureCut
	if s.ctx.Err() != nil {
		failure = FailureCancelled
		err = context.Cause(s.ctx)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &StreamError{Endpoint: s.endpoint, Failure: failure, Err: err}
}

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
	if *event.TokenIndex != s.next {
		err := fmt.Errorf("token %d out of order, want %d", *event.TokenIndex, s.next)
		return Chunk{}, &StreamError{Endpoint: s.endpoint, Failure: FailureProtocol, Err: err}
	}
	chunk.TokenIndex = s.next
	s.next++
	return chunk, nil
}

// Close releases the connection. An answer that was not read to its end is cancelled on the engine.
func (s *Stream) Close() {
	s.http.Close()
}
