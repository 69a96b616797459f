package ingress

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/socketqueue"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// bodyMemoryRetryAfter is the Retry-After value sent when there is no memory for a request body.
	bodyMemoryRetryAfter = 500 * time.Millisecond
	// maxDrainBytes bounds the unread bytes of a refused request that are discarded before its connection is closed.
	// Closing with unread bytes would reset the connection and could destroy the response.
	maxDrainBytes = 256 << 10
	// drainTimeout bounds the time spent discarding them.
	drainTimeout     = 300 * time.Millisecond
	writeBufferBytes = 4 << 10
)

// connection is one TCP connection from a caller.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer

	mu sync.Mutex
	// idle is set while no request is being read or answered. Guarded by mu.
	idle bool
	// closing is set once the connection must close when it is idle. Guarded by mu.
	closing bool
}

// serve answers the requests on the connection one after the other and closes it at the end.
func (c *connection) serve() {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.handler.ReportPanic(cause, debug.Stack())
		}
		c.server.remove(c)
		_ = c.conn.Close()
	}()
	limits := c.server.handler.Limits()
	c.reader = bufio.NewReaderSize(c.conn, limits.HeaderBytes)
	limitSendBuffer(c.conn)
	c.writer = bufio.NewWriterSize(progressWriter{c}, writeBufferBytes)
	for c.awaitRequest() && c.serveRequest() {
	}
}

// closeWhenIdle closes the connection once it waits for a request of which no byte has arrived. It sets an expired read
// deadline, which makes the waiting read fail.
func (c *connection) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.idle {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// setIdle records whether the connection waits for a request, and sets the read deadline. The deadline has expired if
// the connection is idle and must close.
func (c *connection) setIdle(idle bool, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	deadline := time.Now().Add(timeout)
	if c.closing && idle {
		deadline = time.Unix(1, 0)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// awaitRequest waits for the first byte of a request. It reports false if the connection ended or timed out first. A request
// that has arrived is read, however late: the deadline also passes while this process stands still.
func (c *connection) awaitRequest() bool {
	limits := c.server.handler.Limits()
	c.setIdle(true, limits.IdleTimeout)
	_, err := c.reader.Peek(1)
	arrived := err == nil || errors.Is(err, os.ErrDeadlineExceeded) && socketqueue.Unread(c.conn) > 0
	if !arrived {
		return false
	}
	c.setIdle(false, limits.HeaderTimeout)
	return true
}

// serveRequest reads and answers one request, and reports whether the connection stays open.
func (c *connection) serveRequest() bool {
	limits := c.server.handler.Limits()
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	if err := req.Header.Read(c.reader); err != nil {
		return c.rejectRequest(headerStatus(err), err.Error())
	}
	arrived := steady.Now()
	if problem := framingProblem(&req.Header); problem != "" {
		return c.rejectRequest(fasthttp.StatusBadRequest, problem)
	}
	body := &bodyReader{conn: c, limit: limits.BodyBytes}
	defer body.release()
	if status, err := body.read(req); err != nil {
		return c.rejectRequest(status, err.Error())
	}
	return c.handleRequest(req, body, arrived)
}

// handleRequest runs the handler and cancels its context if the caller disconnects meanwhile. It reports whether the
// connection stays open.
func (c *connection) handleRequest(req *fasthttp.Request, body *bodyReader, arrived time.Time) bool {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	_ = c.conn.SetReadDeadline(time.Time{})
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel(ErrCallerDisconnected)
		}
	}()
	x := &Exchange{Request: req, Arrived: arrived, conn: c, body: body, ctx: ctx, close: req.Header.ConnectionClose()}
	c.server.handler.Serve(x)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	<-watchDone
	if x.failed || !x.ended {
		return false
	}
	return !x.close && ctx.Err() == nil
}

// rejectRequest answers a request that could not be read. Status 0 means that there is no request to answer. The result
// is always false, since the connection must close.
func (c *connection) rejectRequest(status int, reason string) bool {
	if status == 0 {
		return false
	}
	c.server.handler.ReportMalformed(status, reason)
	resp := &fasthttp.Response{}
	resp.SetStatusCode(status)
	resp.SetConnectionClose()
	if status == fasthttp.StatusServiceUnavailable {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(bodyMemoryRetryAfter.Seconds(), 'f', -1, 64))
	}
	if resp.Write(c.writer) == nil && c.writer.Flush() == nil {
		c.drain()
	}
	return false
}

// drain discards what the caller still sends, up to maxDrainBytes and drainTimeout.
func (c *connection) drain() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	for read := 0; read < maxDrainBytes; {
		n, err := c.reader.Discard(c.reader.Size() / 2)
		read += n
		if err != nil {
			return
		}
	}
}
