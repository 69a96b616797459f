package ingress

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// ErrCallerLeft is the cause of an exchange's cancelled context when the caller closed its connection.
var ErrCallerLeft = errors.New("ingress: caller left")

// Exchange is one request and its response. Exactly one of Respond, and Begin followed by Finish or Abort, ends it.
type Exchange struct {
	Request *fasthttp.Request
	// Arrived is when the header was read, by the steady clock.
	Arrived time.Time

	conn   *connection
	ctx    context.Context
	close  bool
	failed bool
	ended  bool
}

// Context is cancelled with ErrCallerLeft when the caller leaves.
func (x *Exchange) Context() context.Context {
	return x.ctx
}

// Respond writes a complete response.
func (x *Exchange) Respond(resp *fasthttp.Response) {
	x.close = x.close || x.conn.server.leaving.Load()
	if x.close {
		resp.SetConnectionClose()
	}
	x.writeDeadline()
	err := resp.Write(x.conn.writer)
	if err == nil {
		err = x.conn.writer.Flush()
	}
	x.failed = err != nil
	x.ended = true
}

// Begin writes the header of a streamed response.
func (x *Exchange) Begin(header *fasthttp.ResponseHeader) error {
	x.close = x.close || x.conn.server.leaving.Load()
	if x.close {
		header.SetConnectionClose()
	}
	// fasthttp writes chunked encoding for an unknown length.
	header.SetContentLength(-1)
	x.writeDeadline()
	return x.note(header.Write(x.conn.writer))
}

// Send writes a piece of a streamed response at once.
func (x *Exchange) Send(piece []byte) error {
	x.writeDeadline()
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
	return x.note(err)
}

// Finish ends a streamed response as complete.
func (x *Exchange) Finish() {
	x.writeDeadline()
	_, err := x.conn.writer.WriteString("0\r\n\r\n")
	if err == nil {
		err = x.conn.writer.Flush()
	}
	_ = x.note(err)
	x.ended = true
}

// Abort ends a streamed response so that it does not look complete: the connection closes without the last chunk.
func (x *Exchange) Abort() {
	_ = x.conn.writer.Flush()
	x.failed = true
	x.ended = true
}

func (x *Exchange) note(err error) error {
	if err != nil {
		x.failed = true
	}
	return err
}

func (x *Exchange) writeDeadline() {
	_ = x.conn.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
}
