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

// Streams that the router uses.
const (
	// StreamConfig holds release notes and snapshots.
	StreamConfig = "config"
	// StreamControl holds leases.
	StreamControl = "control"
)

const (
	// appendTimeout bounds one append. Its outcome is unknown afterwards.
	appendTimeout = 2 * time.Second
	// readSlack is added to the long-poll time of a read.
	readSlack = 2 * time.Second
	// maxReadBytes bounds the answer to one read.
	maxReadBytes = 64 << 20
)

// Record is one record of a stream.
type Record struct {
	Offset int64           `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// Page is the answer to one read.
type Page struct {
	// Records are in offset order.
	Records []Record `json:"records"`
	// Start is the oldest offset that is kept.
	Start int64 `json:"start"`
	// End is the offset that the next record will get.
	End int64 `json:"end"`
}

// Error is a failure of the log service.
type Error struct {
	// Op is append or read.
	Op string
	// Stream is the stream that was used.
	Stream string
	// Status is the HTTP status, or zero without an answer.
	Status int
	// Err is the cause, or nil.
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

// Client reads and appends. It is safe for concurrent use.
type Client struct {
	address string
	http    *httpcall.Client
}

// New returns a client of the log service at address (IP:port).
func New(address string, http *httpcall.Client) *Client {
	return &Client{address: address, http: http}
}

// Append appends records in one call. An error does not mean that the records were not appended; only reading
// tells. The returned offset is that of the first record.
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

// Read returns up to most records from the given offset. When there are none it waits up to wait for the next.
func (c *Client) Read(ctx context.Context, stream string, from int64, most int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	req := &fasthttp.Request{}
	req.SetRequestURI(fmt.Sprintf("/v1/streams/%s/records?from=%d&max=%d&wait_ms=%d", stream, from, most, wait.Milliseconds()))
	var page Page
	if err := c.call(ctx, "read", stream, req, &page); err != nil {
		return Page{}, err
	}
	return page, nil
}

func (c *Client) call(ctx context.Context, op, stream string, req *fasthttp.Request, answer any) error {
	resp := &fasthttp.Response{}
	if err := c.http.Do(ctx, c.address, req, resp, httpcall.Options{MaxBody: maxReadBytes}); err != nil {
		return &Error{Op: op, Stream: stream, Err: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &Error{Op: op, Stream: stream, Status: resp.StatusCode()}
	}
	if err := json.Unmarshal(resp.Body(), answer); err != nil {
		return &Error{Op: op, Stream: stream, Err: err}
	}
	return nil
}
