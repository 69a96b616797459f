// Package httpcall sends single HTTP requests over connections that it controls.
//
// It uses the request and response types of fasthttp but not its clients: a client that times out goes on
// using the caller's buffers, and does not tell whether a byte was written. Here one call owns one
// connection, a cancelled context closes that connection at once, and a connection returns to the pool only
// after its response was read to the end.
package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// DialTimeout bounds the time to connect. Endpoints are a few milliseconds away.
	DialTimeout = time.Second
	// idleLimit is kept below the keep-alive time of common servers, so that a pooled connection is seldom stale.
	idleLimit = 5 * time.Second
	// keepAliveShare is the part of a server's announced keep-alive time for which a connection is reused.
	keepAliveShare = 0.7
	// unackedLimit is the time after which a connection whose data are not acknowledged counts as dead.
	unackedLimit = 2 * time.Second
	// Probes find a connection that went silent while an answer is awaited.
	probeIdle     = time.Second
	probeInterval = 700 * time.Millisecond
	probeCount    = 3
	// idlePerAddress bounds the pooled connections of one address.
	idlePerAddress = 64
	// readBufferBytes bounds the headers of a response, which must fit into the buffer.
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
)

// Error is the failure of one call.
type Error struct {
	// Address is IP:port of the server.
	Address string
	// Written tells whether a byte of the request may have reached the server.
	Written bool
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("call to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// NeverWritten tells whether err proves that no byte of the request was sent.
func NeverWritten(err error) bool {
	var callErr *Error
	return errors.As(err, &callErr) && !callErr.Written
}

// conn is one connection with its buffers.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// reuseUntil is when an idle connection is too old to be used again. Zero for one that was not idle yet.
	reuseUntil time.Time
}

// Client keeps idle connections by address. It is safe for concurrent use.
type Client struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{idle: map[string][]*conn{}}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.idle {
		for _, cn := range conns {
			_ = cn.Close()
		}
	}
	c.idle = map[string][]*conn{}
}

// take returns an idle connection, or nil.
func (c *Client) take(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[address]
	for len(conns) > 0 {
		cn := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		c.idle[address] = conns
		if time.Now().Before(cn.reuseUntil) && quiet(cn.Conn) {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

func (c *Client) put(address string, cn *conn, idle time.Duration) {
	cn.reuseUntil = time.Now().Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= idlePerAddress {
		_ = cn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], cn)
}

func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout: DialTimeout,
		Control: limitUnacked,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
	}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Address: address, Err: err}
	}
	return &conn{
		Conn:   raw,
		reader: bufio.NewReaderSize(raw, readBufferBytes),
		writer: bufio.NewWriterSize(raw, writeBufferBytes),
	}, nil
}

// Options change how one call is made.
type Options struct {
	// Fresh forbids a pooled connection. A call that must not run twice sets it, because a write to a stale
	// connection does not tell whether the server saw it.
	Fresh bool
	// MaxBody bounds the body of a buffered response, in bytes. Zero means no bound.
	MaxBody int
}

// Do sends req to address and reads the whole response. A cancelled ctx ends the call at once.
// Errors are of type *Error.
func (c *Client) Do(ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response, opts Options) error {
	cn, err := c.send(ctx, address, req, opts.Fresh)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	err = resp.ReadLimitBody(cn.reader, opts.MaxBody)
	if !stop() {
		return &Error{Address: address, Written: true, Err: context.Cause(ctx)}
	}
	if err != nil {
		_ = cn.Close()
		return &Error{Address: address, Written: true, Err: err}
	}
	c.release(address, cn, resp)
	return nil
}

// release pools the connection after a response that was read to the end.
func (c *Client) release(address string, cn *conn, resp *fasthttp.Response) {
	if resp.ConnectionClose() || cn.reader.Buffered() > 0 {
		_ = cn.Close()
		return
	}
	c.put(address, cn, idleTime(&resp.Header))
}

// idleTime returns the time for which the server keeps an idle connection, with a margin.
func idleTime(h *fasthttp.ResponseHeader) time.Duration {
	value := h.Peek(fasthttp.HeaderKeepAlive)
	_, after, found := bytes.Cut(value, []byte("timeout="))
	if !found {
		return idleLimit
	}
	digits, _, _ := bytes.Cut(after, []byte(","))
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(digits)))
	if err != nil {
		return idleLimit
	}
	return min(idleLimit, time.Duration(float64(seconds)*keepAliveShare*float64(time.Second)))
}

// connect returns an idle connection, unless a fresh one is asked for, or a new one.
func (c *Client) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if cn := c.take(address); cn != nil {
			return cn, nil
		}
	}
	return dial(ctx, address)
}

// send writes the request on a connection of its own.
func (c *Client) send(ctx context.Context, address string, req *fasthttp.Request, fresh bool) (*conn, error) {
	cn, err := c.connect(ctx, address, fresh)
	if err != nil {
		return nil, err
	}
	if len(req.Header.Host()) == 0 {
		req.Header.SetHost(address)
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	err = req.Write(cn.writer)
	if err == nil {
		err = cn.writer.Flush()
	}
	if !stop() {
		return nil, &Error{Address: address, Written: true, Err: context.Cause(ctx)}
	}
	if err != nil {
		_ = cn.Close()
		return nil, &Error{Address: address, Written: true, Err: err}
	}
	return cn, nil
}

// Stream is a response whose body is read piece by piece. Close must be called.
type Stream struct {
	// Response holds status and headers. Its body must not be used.
	Response *fasthttp.Response
	// Reused tells that the connection carried other requests before, so that a late copy of an earlier answer may be
	// what was read.
	Reused bool

	client  *Client
	address string
	cn      *conn
	stop    func() bool
	body    io.Reader
	ended   bool
	// written is nil once the request is known to be written completely.
	written chan error
}

// Open sends req and returns after the response headers. A cancelled ctx closes the connection at once, also
// during later reads. Errors are of type *Error.
func (c *Client) Open(ctx context.Context, address string, req *fasthttp.Request, fresh bool) (*Stream, error) {
	cn, err := c.send(ctx, address, req, fresh)
	if err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{StreamBody: true}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := resp.Read(cn.reader); err != nil {
		stop()
		_ = cn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Address: address, Written: true, Err: err}
	}
	return &Stream{
		Response: resp,
		client:   c,
		address:  address,
		cn:       cn,
		stop:     stop,
		body:     resp.BodyStream(),
	}, nil
}

// Read implements io.Reader. io.EOF means that the body ended as the headers announced.
func (s *Stream) Read(p []byte) (int, error) {
	if s.body == nil {
		s.ended = true
		return 0, io.EOF
	}
	n, err := s.body.Read(p)
	if errors.Is(err, io.EOF) {
		s.ended = true
	}
	return n, err
}

// Close releases the connection: to the pool after a complete body, otherwise by closing it.
func (s *Stream) Close() {
	alive := s.stop()
	if alive && s.ended && s.requestWritten() {
		_ = s.Response.CloseBodyStream()
		s.client.release(s.address, s.cn, s.Response)
		return
	}
	_ = s.cn.Close()
}

// requestWritten reports whether the whole request was sent. A server may answer before it has read a long body; the
// rest of that body must not be followed by another request.
func (s *Stream) requestWritten() bool {
	if s.written == nil {
		return true
	}
	select {
	case err := <-s.written:
		return err == nil
	default:
		return false
	}
}
