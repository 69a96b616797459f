// Package httpcall is an HTTP/1.1 client with a connection pool.
//
// It uses the request and response types of fasthttp but not its clients: after a timeout they keep using the
// caller's buffers, and they do not report whether a byte of the request was written. Here each call has a
// connection to itself, a cancelled context closes that connection at once, and a connection returns to the
// pool only after its response was read to the end.
package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// DialTimeout bounds the time to connect. The network latency to an endpoint is a few milliseconds.
	DialTimeout = time.Second
	// maxIdleTime is the longest time a connection stays pooled, except as maxLongIdleTime says. It is below the keep-alive
	// time of common servers, so that a pooled connection is seldom stale.
	maxIdleTime = 5 * time.Second
	// keepAliveFraction is the fraction of the keep-alive time announced by a server for which a connection is reused.
	keepAliveFraction = 0.7
	// tcpUserTimeout is the time after which the kernel closes a connection with unacknowledged data. It also decides when
	// keep-alive probes give up: at the first probe that is due after it, whatever their count.
	tcpUserTimeout = 2 * time.Second
	// Keep-alive probes detect that the server became unreachable while a call waits for its response. A server whose kernel
	// answers them may stay silent for as long as the call waits.
	keepAliveProbeIdle     = time.Second
	keepAliveProbeInterval = 700 * time.Millisecond
	keepAliveProbeCount    = 3
	// maxIdleConnsPerAddress bounds the number of pooled connections to one address.
	maxIdleConnsPerAddress = 64
	// readBufferBytes bounds the size of response headers, which must fit into the buffer.
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10
)

// ErrNoAnswer is to be wrapped by the causes of cancelled contexts that mean that no answer came in time. The end of a
// context's deadline means the same.
var ErrNoAnswer = errors.New("httpcall: no answer in time")

// Error describes the failure of one call.
type Error struct {
	// Address is the IP:port of the server.
	Address string
	// Written is set if a byte of the request may have reached the server.
	Written bool
	// Reused is set if the connection had carried a request before.
	Reused bool
	// Unanswered is set if the server closed or reset the connection before any byte of its response.
	Unanswered bool
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

// NeverWritten reports whether err proves that no byte of the request was sent.
func NeverWritten(err error) bool {
	var callErr *Error
	return errors.As(err, &callErr) && !callErr.Written
}

// persistConn is a connection with its read and write buffers.
type persistConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// framing is what reader reads from.
	framing *framingLimiter
	// idleSince is when the connection last became idle, and reuseUntil the time until which it may then be reused. Both
	// are zero before the first use has ended.
	idleSince, reuseUntil time.Time
	// closed is called once, when the connection is closed first.
	closed    func()
	closeOnce sync.Once
}

// Close closes the connection. Further calls have no effect on the count of open connections.
func (p *persistConn) Close() error {
	p.closeOnce.Do(p.closed)
	return p.Conn.Close()
}

// Client sends requests and pools idle connections. It is safe for concurrent use.
type Client struct {
	mu sync.Mutex
	// idle contains the pooled connections by address, in the order in which they became idle. Guarded by mu.
	idle map[string][]*persistConn
	// sweptAt is when Sweep was last called, or zero. Guarded by mu.
	sweptAt time.Time
	// open counts the open connections. Its lock is taken after mu.
	open openCounts
	// bounds are the bounds of the open connections, or nil.
	bounds Bounds
	// local is the address that connections are opened from, or nil.
	local net.Addr
}

// NewClient returns a client with an empty pool.
func NewClient() *Client {
	return &Client{idle: map[string][]*persistConn{}, open: openCounts{counts: map[string]int{}}}
}

// NewClientFrom returns a client that opens its connections from the given IP, so that servers can tell who calls.
func NewClientFrom(ip net.IP) *Client {
	c := NewClient()
	c.local = &net.TCPAddr{IP: ip}
	return c
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range c.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	c.idle = map[string][]*persistConn{}
}

// takeIdle removes a usable idle connection from the pool and returns it, or nil if there is none. It closes unusable
// connections that it finds. A connection that was idle for longer than maxIdleTime is returned only for an idempotent
// request, and not after this process stood still.
func (c *Client) takeIdle(address string, idempotent bool) *persistConn {
	now := steady.Now()
	_, bounded := c.bound(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if bounded && c.stoodStill(now) {
		c.closeIdle(address, len(c.idle[address]))
	}
	conns := c.idle[address]
	for len(conns) > 0 {
		conn := conns[len(conns)-1]
		if !idempotent && bounded && now.Sub(conn.idleSince) >= maxIdleTime {
			// The others have been idle for longer.
			return nil
		}
		conns = conns[:len(conns)-1]
		c.idle[address] = conns
		if now.Before(conn.reuseUntil) && reusable(conn.Conn) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// closeSilent closes the idle connections to address if a call on a pooled connection got no answer in time. Connections
// may fall silent together, without a reset and while new ones work, so the others are likely to be silent too.
func (c *Client) closeSilent(ctx context.Context, address string, conn *persistConn) {
	cause := context.Cause(ctx)
	if conn.reuseUntil.IsZero() || !errors.Is(cause, ErrNoAnswer) && !errors.Is(cause, context.DeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle[address] {
		_ = idle.Close()
	}
	delete(c.idle, address)
}

// putIdle adds a connection to the pool for at most the time idle, or closes it if the pool for address is full.
func (c *Client) putIdle(address string, conn *persistConn, idle time.Duration) {
	conn.idleSince = steady.Now()
	conn.reuseUntil = conn.idleSince.Add(idle)
	bound, bounded := c.bound(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdleConnsPerAddress || bounded && c.open.of(address) > bound {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], conn)
}

// dial opens a connection to address within DialTimeout.
func (c *Client) dial(ctx context.Context, address string) (*persistConn, error) {
	return c.dialWithin(ctx, address, DialTimeout)
}

// dialWithin opens a connection to address within the given time. Idle connections to it are closed first if it would be beyond
// the address's bound.
func (c *Client) dialWithin(ctx context.Context, address string, limit time.Duration) (*persistConn, error) {
	// The connection counts while it is being opened, so that concurrent calls see it.
	c.open.add(address, 1)
	c.makeRoom(address)
	conn, err := c.dialNow(ctx, address, limit)
	if err != nil {
		c.open.add(address, -1)
		return nil, err
	}
	conn.closed = func() { c.open.add(address, -1) }
	return conn, nil
}

// dialNow opens a connection to address that does not count yet.
func (c *Client) dialNow(ctx context.Context, address string, limit time.Duration) (*persistConn, error) {
	d := net.Dialer{
		Timeout:   limit,
		LocalAddr: c.local,
		Control:   setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveProbeIdle,
			Interval: keepAliveProbeInterval,
			Count:    keepAliveProbeCount,
		},
	}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Address: address, Unanswered: isClosedByServer(err), Err: err}
	}
	return newPersistConn(raw), nil
}

// newPersistConn returns a connection with empty buffers.
func newPersistConn(raw net.Conn) *persistConn {
	framing := &framingLimiter{conn: raw}
	return &persistConn{
		Conn:    raw,
		reader:  bufio.NewReaderSize(framing, readBufferBytes),
		writer:  bufio.NewWriterSize(raw, writeBufferBytes),
		framing: framing,
	}
}

// probedConnIdleTime is the time for which the connection of a probe may be used for a call.
const probedConnIdleTime = time.Second

// Listens reports whether something accepts connections at address. The error, of type *Error, is that of the attempt. A
// refused connection proves that nothing listens there; other errors prove nothing.
func (c *Client) Listens(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	if _, bounded := c.bound(address); bounded {
		// The server may still reset it for its limit, which on a pooled connection would pass for the end of a running request.
		_ = conn.Close()
		return nil
	}
	c.putIdle(address, conn, probedConnIdleTime)
	return nil
}

// IsRefused reports whether err means that nothing listened at the address of the call.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// IsClosedByServer reports whether err means that the server closed, reset or refused the connection, at once and by a packet of
// its own.
func IsClosedByServer(err error) bool {
	return IsRefused(err) || isClosedByServer(err)
}

// CloseIdle closes all idle connections to address, and returns how many there were.
func (c *Client) CloseIdle(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeIdle(address, len(c.idle[address]))
}

// Options are the settings of one call.
type Options struct {
	// Fresh requires a new connection instead of a pooled one. It must be set for calls that must not run twice,
	// because after a write to a stale connection it is unknown whether the server received the request.
	Fresh bool
	// MaxBody bounds the size of the response body in bytes. Zero means no bound.
	MaxBody int
}

// Do sends req to address and reads the whole response into resp. Cancelling ctx ends the call at once.
// Errors are of type *Error.
func (c *Client) Do(ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response, opts Options) error {
	stream, err := c.call(ctx, address, req, resp, opts.Fresh)
	if err != nil {
		return err
	}
	defer stream.Close()
	body, err := stream.readAll(opts.MaxBody)
	if err != nil {
		if ctx.Err() != nil {
			c.closeSilent(ctx, address, stream.conn)
			err = context.Cause(ctx)
		}
		return &Error{Address: address, Written: true, Err: err}
	}
	resp.SetBodyRaw(body)
	return nil
}

// release returns the connection to the pool after resp was read to the end, or closes it if it cannot be reused.
func (c *Client) release(address string, conn *persistConn, resp *fasthttp.Response) {
	if resp.ConnectionClose() || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	c.putIdle(address, conn, reuseTime(&resp.Header, c.longestIdleTime(address)))
}

// reuseTime returns how long a connection may stay idle in the pool. It is shorter than the keep-alive time that the
// server announced, at most longest, and at most maxIdleTime if the server announced none.
func reuseTime(h *fasthttp.ResponseHeader, longest time.Duration) time.Duration {
	value := h.Peek(fasthttp.HeaderKeepAlive)
	_, after, found := bytes.Cut(value, []byte("timeout="))
	if !found {
		return maxIdleTime
	}
	digits, _, _ := bytes.Cut(after, []byte(","))
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(digits)))
	if err != nil {
		return maxIdleTime
	}
	return min(longest, time.Duration(float64(seconds)*keepAliveFraction*float64(time.Second)))
}

// ErrNoIdleConnection means that a call that must not open a connection found none that is open.
var ErrNoIdleConnection = errors.New("httpcall: no idle connection")

// connect returns a pooled connection, or a new one if fresh is set or there is no pooled one.
func (c *Client) connect(ctx context.Context, address string, fresh, idempotent bool) (*persistConn, error) {
	return c.connectFor(ctx, address, RawRequest{Fresh: fresh, Idempotent: idempotent})
}

// connectFor is connect with the options of a request.
func (c *Client) connectFor(ctx context.Context, address string, req RawRequest) (*persistConn, error) {
	if !req.Fresh {
		if conn := c.takeIdle(address, req.Idempotent); conn != nil {
			return conn, nil
		}
	}
	if req.IdleOnly {
		return nil, &Error{Address: address, Err: ErrNoIdleConnection}
	}
	limit := DialTimeout
	if req.ConnectTimeout > 0 {
		limit = req.ConnectTimeout
	}
	return c.dialWithin(ctx, address, limit)
}

// send writes req on a connection and returns the connection. Nothing else uses it until it is released.
func (c *Client) send(ctx context.Context, address string, req *fasthttp.Request, fresh bool) (*persistConn, error) {
	conn, err := c.connect(ctx, address, fresh, false)
	if err != nil {
		return nil, err
	}
	if len(req.Header.Host()) == 0 {
		req.Header.SetHost(address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = req.Write(conn.writer)
	if err == nil {
		err = conn.writer.Flush()
	}
	if !stop() {
		c.closeSilent(ctx, address, conn)
		return nil, &Error{Address: address, Written: true, Err: context.Cause(ctx)}
	}
	if err != nil {
		_ = conn.Close()
		return nil, &Error{Address: address, Written: true, Err: err}
	}
	return conn, nil
}
