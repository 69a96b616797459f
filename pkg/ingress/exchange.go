package ingress

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrCallerDisconnected is the cancellation cause of an exchange's context after the caller closed its connection.
var ErrCallerDisconnected = errors.New("ingress: caller disconnected")

// Exchange is one request and its response. The handler must end it exactly once: with Respond, or with Begin followed
// by Finish or Abort.
type Exchange struct {
	Request *fasthttp.Request
	// Arrived is the time at which the request header was read, on the clock of package steady.
	Arrived time.Time

	conn *connection
	// body holds the memory of the request's body. It is released before the last bytes of the response are written, since
	// the caller may send its next body as soon as it has them.
	body *bodyReader
	ctx  context.Context
	// close is set if the connection must close after the response.
	close bool
	// failed is set if the response could not be written, or was aborted.
	failed bool
	// ended is set once the response is complete or aborted.
	ended bool
}

// Context returns the context of the request. It is cancelled with cause ErrCallerDisconnected when the caller closes the
// connection.
func (x *Exchange) Context() context.Context {
	return x.ctx
}

// Respond writes a complete response.
func (x *Exchange) Respond(resp *fasthttp.Response) {
	x.close = x.close || x.conn.server.keepAliveDisabled.Load()
	if x.close {
		resp.SetConnectionClose()
	}
	x.body.release()
	err := resp.Write(x.conn.writer)
	if err == nil {
		err = x.conn.writer.Flush()
	}
	x.failed = err != nil
	x.ended = true
}

// Begin writes the header of a streamed response to the write buffer.
func (x *Exchange) Begin(header *fasthttp.ResponseHeader) error {
	x.close = x.close || x.conn.server.keepAliveDisabled.Load()
	if x.close {
		header.SetConnectionClose()
	}
	// fasthttp selects chunked encoding if the length is -1.
	header.SetContentLength(-1)
	return x.recordError(header.Write(x.conn.writer))
}

// Send writes piece as one chunk of a streamed response and flushes it.
func (x *Exchange) Send(piece []byte) error {
	w := x.conn.writer
	var size [20]byte
	head := strconv.AppendUint(size[:0], uint64(len(piece)), 16)
	head = append(head, '\r', '\n')
	_, err := w.Write(head)
	if err == nil {
		_, err = w.Write(piece)
	}
	if err == nil {
		_, err = w.WriteString("\r\n")
	}
	if err == nil {
		err = w.Flush()
	}
	return x.recordError(err)
}

// Finish completes a streamed response by writing the last chunk.
func (x *Exchange) Finish() {
	x.body.release()
	_, err := x.conn.writer.WriteString("0\r\n\r\n")
	if err == nil {
		err = x.conn.writer.Flush()
	}
	_ = x.recordError(err)
	x.ended = true
}

// Abort ends a response so that the caller can see that it is incomplete: the connection closes without the last chunk.
func (x *Exchange) Abort() {
	_ = x.conn.writer.Flush()
	x.failed = true
	x.ended = true
}

// recordError marks the response as failed if err is not nil, and returns err.
func (x *Exchange) recordError(err error) error {
	if err != nil {
		x.failed = true
	}
	return err
}
