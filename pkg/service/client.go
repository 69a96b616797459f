// Package service is the HTTP client for plain services.
package service

import (
	"context"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

const (
	// headerAttempt carries the attempt ID. A service that returns it shows to which attempt its response belongs.
	headerAttempt = "X-Attempt-Id"
	// maxResponseBytes bounds the size of a response body. It is buffered so that callers only get complete responses.
	maxResponseBytes = 16 << 20
)

// requestHeaders are the request headers that are forwarded to a service. None of them contains the caller's key.
var requestHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// responseHeaders are the response headers that are forwarded to the caller.
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
	// URI is the path and query.
	URI     string
	Headers []Header
	Body    []byte
	// Idempotent is set if the call may run twice. Only such calls use pooled connections.
	Idempotent bool
}

// Response is a complete response.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Failure classifies a failed attempt.
type Failure int

const (
	// FailureNotSent means that no byte of the request was sent to the service.
	FailureNotSent Failure = iota
	// FailureUnknown means that the service may have executed the call.
	FailureUnknown
	// FailureProtocol means that the response belongs to another attempt.
	FailureProtocol
)

// Error describes a failed attempt.
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

// New returns a client that sends its requests with http.
func New(http *httpcall.Client) *Client {
	return &Client{http: http}
}

// ForwardHeaders returns the request headers that are forwarded to a service. peek returns the value of a header, or nil
// if it is absent.
func ForwardHeaders(peek func(name string) []byte) []Header {
	return selectHeaders(requestHeaders, peek)
}

// selectHeaders returns those of the named headers that have a value.
func selectHeaders(names []string, peek func(name string) []byte) []Header {
	var headers []Header
	for _, name := range names {
		if value := peek(name); len(value) > 0 {
			headers = append(headers, Header{Name: name, Value: string(value)})
		}
	}
	return headers
}

// Call sends one attempt to endpoint at address (IP:port) and returns the complete response. Errors are of type *Error.
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
	opts := httpcall.Options{Fresh: !r.Idempotent, MaxBody: maxResponseBytes}
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
		Headers: selectHeaders(responseHeaders, resp.Header.Peek),
		Body:    append([]byte(nil), resp.Body()...),
	}, nil
}
