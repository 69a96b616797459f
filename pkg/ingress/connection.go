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

	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// noRoomRetry is the Retry-After for callers for whose bodies there is no memory.
	noRoomRetry = 500 * time.Millisecond
	// drainLimit bounds the unread bytes that are taken off a refused request before its connection is closed, so
	// that the close does not reset the response.
	drainLimit = 256 << 10
	// drainTime bounds the time for it.
	drainTime = 300 * time.Millisecond
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 20 * time.Second
	// writeBufferBytes is the size of the write buffer.
	writeBufferBytes = 4 << 10
)

// connection is one connection of a caller.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer

	mu sync.Mutex
	// idle is set while no request is being read or answered.
	idle bool
	// ending is set once an idle connection is to be closed.
	ending bool
}

// serve answers the requests of the connection one after the other.
func (c *connection) serve() {
	defer func() {
		if cause := recover(); cause != nil {
			c.server.handler.Panicked(cause, debug.Stack())
		}
		c.server.remove(c)
		_ = c.conn.Close()
	}()
	limits := c.server.handler.Limits()
	c.reader = bufio.NewReaderSize(c.conn, limits.HeaderBytes)
	c.writer = bufio.NewWriterSize(c.conn, writeBufferBytes)
	for c.awaitRequest() && c.serveOne() {
	}
}

// endIdle closes the connection if it is idle and no byte of a request was read.
func (c *connection) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.idle {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *connection) setIdle(idle bool, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	deadline := time.Now().Add(timeout)
	if c.ending && idle {
		deadline = time.Unix(1, 0)
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// awaitRequest waits for the first byte of a request.
func (c *connection) awaitRequest() bool {
	limits := c.server.handler.Limits()
	c.setIdle(true, limits.IdleTimeout)
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	c.setIdle(false, limits.HeaderTimeout)
	return true
}

// serveOne reads and answers one request. It reports whether the connection stays open.
func (c *connection) serveOne() bool {
	limits := c.server.handler.Limits()
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	req.Header.SetNoDefaultContentType(true)
	if err := req.Header.Read(c.reader); err != nil {
		return c.unreadable(headerStatus(err), err.Error())
	}
	arrived := steady.Now()
	if problem := framingProblem(&req.Header); problem != "" {
		return c.unreadable(fasthttp.StatusBadRequest, problem)
	}
	body := &bodyReader{conn: c, limit: limits.BodyBytes}
	defer body.release()
	if status, err := body.read(req); err != nil {
		return c.unreadable(status, err.Error())
	}
	return c.answer(req, arrived)
}

// answer runs the handler while it watches for the caller's leaving.
func (c *connection) answer(req *fasthttp.Request, arrived time.Time) bool {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	_ = c.conn.SetReadDeadline(time.Time{})
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel(ErrCallerLeft)
		}
	}()
	x := &Exchange{Request: req, Arrived: arrived, conn: c, ctx: ctx, close: req.Header.ConnectionClose()}
	c.server.handler.Serve(x)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	<-watch
	if x.failed || !x.ended {
		return false
	}
	return !x.close && ctx.Err() == nil
}

// unreadable answers a request that cannot be read, where there is something to answer, and ends the connection.
func (c *connection) unreadable(status int, reason string) bool {
	if status == 0 {
		return false
	}
	c.server.handler.Malformed(status, reason)
	resp := &fasthttp.Response{}
	resp.SetStatusCode(status)
	resp.SetConnectionClose()
	if status == fasthttp.StatusServiceUnavailable {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(noRoomRetry.Seconds(), 'f', -1, 64))
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if resp.Write(c.writer) == nil && c.writer.Flush() == nil {
		c.drain()
	}
	return false
}

// drain reads what the caller still sends, within bounds.
func (c *connection) drain() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(drainTime))
	for read := 0; read < drainLimit; {
		n, err := c.reader.Discard(c.reader.Size() / 2)
		read += n
		if err != nil {
			return
		}
	}
}
