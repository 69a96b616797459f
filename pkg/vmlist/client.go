// Package vmlist is a client for the platform's list of VMs, which lags behind the actual state.
package vmlist

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

const (
	// readTimeout bounds one read of the list.
	readTimeout = time.Second
	// maxListBytes bounds the size of the response. A list of 410 VMs takes about 80 KB.
	maxListBytes = 4 << 20
)

// State is the state of a VM as reported by the platform.
type State string

const (
	// Live is the state of a VM that the platform runs.
	Live State = "live"
	// Leaving is the state of a VM that the platform will stop soon.
	Leaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// CallerAddress is the IP:port of the VM's listener for callers, PeerAddress that of its listener for other VMs.
	CallerAddress string `json:"caller_addr"`
	PeerAddress   string `json:"peer_addr"`
	State         State  `json:"state"`
}

// List is the list of VMs at one point in time.
type List struct {
	// AsOf is the time for which the list is valid, on the platform's clock.
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

// Error describes a failed read of the list.
type Error struct {
	// Status is the HTTP status of the response. It is zero if Err is set.
	Status int
	// Err is the cause, or nil if the platform responded with an error status.
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

// New returns a client for the VM list service at address (IP:port).
func New(address string, http *httpcall.Client) *Client {
	return &Client{address: address, http: http}
}

// Read returns the list that the platform currently serves. Errors are of type *Error.
func (c *Client) Read(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req := &fasthttp.Request{}
	req.SetRequestURI("/v1/vms")
	var list List
	status, err := c.http.DoJSON(ctx, c.address, req, &list, httpcall.Options{MaxBody: maxListBytes})
	if err != nil {
		return List{}, &Error{Err: err}
	}
	if status != fasthttp.StatusOK {
		return List{}, &Error{Status: status}
	}
	return list, nil
}
