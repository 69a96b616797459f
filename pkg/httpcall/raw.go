package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// RawRequest is a request in wire format.
type RawRequest struct {
	// Head is the request line and headers with the empty line after them. Body is the encoded body.
	Head, Body []byte
	// Fresh requires a new connection instead of a pooled one. Nothing that an earlier request left behind can arrive on it.
	Fresh bool
	// Idempotent is set if the request may run twice. It may then use a connection that was idle for longer than
	// maxIdleTime, which the server may have closed by the time at which the request arrives.
	Idempotent bool
	// NoResponseBody is set if the response has no body whatever its headers announce, as for HEAD.
	NoResponseBody bool
	// ConnectTimeout bounds the time to connect. Zero means DialTimeout.
	ConnectTimeout time.Duration
	// IdleOnly forbids a new connection. Without an idle one the call fails with ErrNoIdleConnection.
	IdleOnly bool
	// Connected, if not nil, is called with the connection before the request is written.
	Connected func(net.Conn)
}

// OpenRaw sends req to address and returns once the response headers were read. Cancelling ctx closes the connection at
// once, also during later reads. Errors are of type *Error.
func (c *Client) OpenRaw(ctx context.Context, address string, req RawRequest) (*Stream, error) {
	conn, err := c.connectFor(ctx, address, req)
	if err != nil {
		return nil, err
	}
	if req.Connected != nil {
		req.Connected(conn.Conn)
	}
	s := c.newStream(ctx, address, conn, &fasthttp.Response{SkipBody: req.NoResponseBody})
	err = s.upload.start(conn.Conn, req.Head, req.Body)
	if err == nil {
		err = s.readHead()
	}
	if err != nil {
		return nil, s.fail(ctx, err)
	}
	return s, nil
}

// isClosedByServer reports whether err means that the server closed or reset the connection.
func isClosedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
