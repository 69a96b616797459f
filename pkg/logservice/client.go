// Package logservice is the client of the platform's append-only log.
package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

// Names of the streams that the router uses.
const (
	// StreamConfig contains release notes and snapshots.
	StreamConfig = "config"
	// StreamControl contains leases.
	StreamControl = "control"
)

const (
	// appendTimeout bounds one append. After a timeout the outcome of the append is unknown.
	appendTimeout = 2 * time.Second
	// readTimeoutMargin is the time that a read may take in addition to its long-poll time.
	readTimeoutMargin = 2 * time.Second
	// maxReadBytes bounds the size of the response to one read.
	maxReadBytes = 64 << 20
)

// Record is one record of a stream.
type Record struct {
	Offset int64           `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// Page is the result of one read.
type Page struct {
	// Records are in offset order.
	Records []Record `json:"records"`
	// Start is the oldest offset that the log retains.
	Start int64 `json:"start"`
	// End is the offset that the next appended record will get.
	End int64 `json:"end"`
}

// Error describes a failed call to the log service.
type Error struct {
	// Op is "append" or "read".
	Op string
	// Stream is the name of the stream.
	Stream string
	// Status is the HTTP status of the response. It is zero if Err is set.
	Status int
	// Err is the cause, or nil if the service responded with an error status.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("log %s of stream %s: %v", e.Op, e.Stream, e.Err)
	}
	return fmt.Sprintf("log %s of stream %s: status %d", e.Op, e.Stream, e.Status)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Client appends records to streams and reads them. It is safe for concurrent use.
type Client struct {
	address string
	http    *httpcall.Client
}

// New returns a client for the log service at address (IP:port).
func New(address string, http *httpcall.Client) *Client {
	return &Client{address: address, http: http}
}

// Append appends records to stream in one call and returns the offset of the first. After an error, the records may
// have been appended or not; only a read of the stream shows which.
func (c *Client) Append(ctx context.Context, stream string, records []json.RawMessage) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	body, err := json.Marshal(struct {
		Records []json.RawMessage `json:"records"`
	}{records})
	if err != nil {
		return 0, &Error{Op: "append", Stream: stream, Err: err}
	}
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("/v1/streams/" + stream + "/records")
	req.SetBody(body)
	var answer struct {
		First int64 `json:"first"`
	}
	if err := c.call(ctx, "append", stream, req, &answer); err != nil {
		return 0, err
	}
	return answer.First, nil
}

// Read returns up to limit records of stream, starting at offset from. If there are none, it waits up to wait for the
// next record.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	req := &fasthttp.Request{}
	req.SetRequestURI(fmt.Sprintf("/v1/streams/%s/records?from=%d&max=%d&wait_ms=%d", stream, from, limit, wait.Milliseconds()))
	var page Page
	if err := c.call(ctx, "read", stream, req, &page); err != nil {
		return Page{}, err
	}
	return page, nil
}

// call sends req and decodes the JSON response into answer. Errors are of type *Error.
func (c *Client) call(ctx context.Context, op, stream string, req *fasthttp.Request, answer any) error {
	status, err := c.http.DoJSON(ctx, c.address, req, answer, httpcall.Options{MaxBody: maxReadBytes})
	if err != nil {
		return &Error{Op: op, Stream: stream, Err: err}
	}
	if status != fasthttp.StatusOK {
		return &Error{Op: op, Stream: stream, Status: status}
	}
	return nil
}
