// Package vmlist is the client of the platform's lagging list of VMs.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

const (
	// readTimeout bounds one read of the list.
	readTimeout = time.Second
	// maxListBytes bounds the answer; 410 VMs take about 80 KB.
	maxListBytes = 4 << 20
)

// State of a VM as the platform sees it.
type State string

const (
	// Live means that the platform runs the VM.
	Live State = "live"
	// Leaving means that the platform will stop the VM soon.
	Leaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	CallerAddress string `json:"caller_addr"`
	PeerAddress   string `json:"peer_addr"`
	State         State  `json:"state"`
}

// List is the platform's list at one time.
type List struct {
	// AsOf is the platform's time of the list.
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

// Error is a failed read of the list.
type Error struct {
	// Status is the HTTP status, or zero without an answer.
	Status int
	// Err is the cause, or nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("read VM list: %v", e.Err)
	}
	return fmt.Sprintf("read VM list: status %d", e.Status)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	address string
	http    *httpcall.Client
}

// New returns a client of the list at address (IP:port).
func New(address string, http *httpcall.Client) *Client {
	return &Client{address: address, http: http}
}

// Read returns the current list.
func (c *Client) Read(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req := &fasthttp.Request{}
	req.SetRequestURI("/v1/vms")
	resp := &fasthttp.Response{}
	if err := c.http.Do(ctx, c.address, req, resp, httpcall.Options{MaxBody: maxListBytes}); err != nil {
		return List{}, &Error{Err: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return List{}, &Error{Status: resp.StatusCode()}
	}
	var list List
	if err := json.Unmarshal(resp.Body(), &list); err != nil {
		return List{}, &Error{Err: err}
	}
	return list, nil
}
