// Package service is the client of plain services.
package service

import (
	"context"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

const (
	headerAttempt = "X-Attempt-Id"
	// maxAnswerBytes bounds an answer; it is buffered so that only whole answers reach callers.
	maxAnswerBytes = 16 << 20
)

// requestHeaders are the caller's headers that a service may see. The caller's key is in none of them.
var requestHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// responseHeaders are the service's headers that a caller may see.
var responseHeaders = []string{"Cache-Control", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location", "Retry-After"}

// Header is one header field.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Request is one attempt at a call.
type Request struct {
	AttemptID string
	Method    string
	// URI is path and query.
	URI     string
	Headers []Header
	Body    []byte
	// Idempotent calls may use pooled connections.
	Idempotent bool
}

// Response is a whole answer.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Failure tells how an attempt failed.
type Failure int

const (
	// FailureNotSent means that no byte was written to the service.
	FailureNotSent Failure = iota
	// FailureUnknown means that the service may have run the call.
	FailureUnknown
	// FailureProtocol means that the answer belongs to another attempt.
	FailureProtocol
)

// Error is the failure of one attempt.
type Error struct {
	Endpoint string
	Failure  Failure
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("service %s: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	http *httpcall.Client
}

// New returns a client.
func New(http *httpcall.Client) *Client {
	return &Client{http: http}
}

// ForwardHeaders picks the headers that may be forwarded. peek returns a header's value or nil.
func ForwardHeaders(peek func(name string) []byte) []Header {
	return pick(requestHeaders, peek)
}

func pick(names []string, peek func(name string) []byte) []Header {
	var headers []Header
	for _, name := range names {
		if value := peek(name); len(value) > 0 {
			headers = append(headers, Header{Name: name, Value: string(value)})
		}
	}
	return headers
}

// Call sends one attempt. Errors are of type *Error.
func (c *Client) Call(ctx context.Context, endpoint, address string, r Request) (Response, error) {
	req := &fasthttp.Request{}
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.URI)
	for _, h := range r.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	req.Header.Set(headerAttempt, r.AttemptID)
	req.SetBody(r.Body)
	resp := &fasthttp.Response{SkipBody: r.Method == fasthttp.MethodHead}
	opts := httpcall.Options{Fresh: !r.Idempotent, MaxBody: maxAnswerBytes}
	if err := c.http.Do(ctx, address, req, resp, opts); err != nil {
		failure := FailureUnknown
		if httpcall.NeverWritten(err) {
			failure = FailureNotSent
		}
		return Response{}, &Error{Endpoint: endpoint, Failure: failure, Err: err}
	}
	if got := string(resp.Header.Peek(headerAttempt)); got != "" && got != r.AttemptID {
		err := fmt.Errorf("answer carries attempt id %q, want %q", got, r.AttemptID)
		return Response{}, &Error{Endpoint: endpoint, Failure: FailureProtocol, Err: err}
	}
	return Response{
		Status:  resp.StatusCode(),
		Headers: pick(responseHeaders, resp.Header.Peek),
		Body:    append([]byte(nil), resp.Body()...),
	}, nil
}
