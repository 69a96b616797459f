package httpcall

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// Stream is a response whose body is read incrementally. Close must be called.
type Stream struct {
	// Response contains the status and headers. Its body must not be used; use Read.
	Response *fasthttp.Response
	// Reused is set if the connection carried other requests before. The response may then be a late duplicate of an
	// earlier one.
	Reused bool

	client  *Client
	address string
	conn    *persistConn
	// stop cancels the closing of the connection with the context. It reports whether the context was still active.
	stop func() bool
	body io.Reader
	// ended is set once the body was read to the end.
	ended bool
	// upload is the write of the request.
	upload upload
}

// Open sends req to address and returns once the response headers were read. Cancelling ctx closes the connection at
// once, also during later reads. Errors are of type *Error.
func (c *Client) Open(ctx context.Context, address string, req *fasthttp.Request, fresh bool) (*Stream, error) {
	return c.call(ctx, address, req, &fasthttp.Response{}, fresh)
}

// call is like Open, and reads the head of the response into resp.
func (c *Client) call(
	ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response, fresh bool,
) (*Stream, error) {
	conn, err := c.send(ctx, address, req, fresh)
	if err != nil {
		return nil, err
	}
	s := c.newStream(ctx, address, conn, resp)
	if err := s.readHead(); err != nil {
		return nil, s.fail(ctx, err)
	}
	return s, nil
}

// newStream returns the stream of a call on a connection, which is closed with ctx. The head is to be read into resp.
func (c *Client) newStream(ctx context.Context, address string, conn *persistConn, resp *fasthttp.Response) *Stream {
	conn.framing.received = false
	return &Stream{
		Response: resp,
		Reused:   !conn.reuseUntil.IsZero(),
		client:   c,
		address:  address,
		conn:     conn,
		stop:     context.AfterFunc(ctx, func() { _ = conn.Close() }),
	}
}

// readHead reads the head of the response. All responses pass it.
func (s *Stream) readHead() error {
	s.conn.framing.allow()
	if err := readFinalHead(s.conn.reader, &s.Response.Header); err != nil {
		if s.conn.framing.received {
			err = s.judgeFailure(err)
		}
		return err
	}
	s.body = newBody(s.conn.reader, s.Response)
	return nil
}

// fail closes the connection of a call whose request was written, wholly or in part, and that failed with err before the head
// of its response was read. It returns the error of the call.
func (s *Stream) fail(ctx context.Context, err error) error {
	s.stop()
	_ = s.conn.Close()
	failed := &Error{Address: s.address, Written: true, Reused: s.Reused, Err: err}
	if ctx.Err() != nil {
		s.client.closeSilent(ctx, s.address, s.conn)
		failed.Err = context.Cause(ctx)
		return failed
	}
	failed.Unanswered = !s.conn.framing.received && isClosedByServer(err)
	return failed
}

// Read implements io.Reader. It returns io.EOF only after a complete body, as delimited by the headers.
func (s *Stream) Read(p []byte) (int, error) {
	if s.ended {
		return 0, io.EOF
	}
	n, err := s.body.Read(p)
	if n > 0 {
		s.conn.framing.allow()
	}
	switch {
	case errors.Is(err, io.EOF):
		err = s.judgeEnd()
		s.ended = errors.Is(err, io.EOF)
	case err != nil:
		err = s.judgeFailure(err)
	}
	return n, err
}

// endsAtKnownByte reports whether it is certain where the next response begins. A server may send a body although its status
// has none.
func (s *Stream) endsAtKnownByte() bool {
	if s.Response.StatusCode() == fasthttp.StatusNoContent {
		length := s.Response.Header.ContentLength()
		return length <= 0 && length != chunkedLength
	}
	return framingOf(s.Response) != byConnection
}

// judgeEnd returns io.EOF if the end of the body is that of the response, or else why it is not.
func (s *Stream) judgeEnd() error {
	if framingOf(s.Response) != byConnection {
		return io.EOF
	}
	if failed := s.upload.stop(s.conn.Conn); failed != nil {
		// RFC 9112, section 8: such a response is complete unless the connection failed.
		return s.judgeFailure(failed)
	}
	return io.EOF
}

// judgeFailure returns the error of a response that failed with err after its first byte. Without a failure of the connection,
// the bytes that came are at fault. A server that ends the connection before it was sent the whole request has answered what it
// did not read, so the request is not at fault.
func (s *Stream) judgeFailure(err error) error {
	var broken *ResponseError
	switch {
	case errors.As(err, &broken):
		return err
	case !s.conn.framing.failed:
		return &ResponseError{Detail: "body", Err: err}
	case !s.upload.isComplete() && (isClosedByServer(err) || errors.Is(err, io.ErrUnexpectedEOF)):
		return &ResponseError{Detail: "cut while the request was being written", Cut: true, Err: err}
	}
	return err
}

// maxPresizedBodyBytes limits the memory that is taken for a body on the word of its headers.
const maxPresizedBodyBytes = 64 << 10

// readAll reads the whole body, of at most limit bytes unless limit is zero.
func (s *Stream) readAll(limit int) ([]byte, error) {
	var body bytes.Buffer
	if length := s.Response.Header.ContentLength(); length > 0 && !s.Response.SkipBody {
		body.Grow(min(length, maxPresizedBodyBytes) + bytes.MinRead)
	}
	reader := io.Reader(s)
	if limit > 0 {
		reader = io.LimitReader(s, int64(limit)+1)
	}
	if _, err := body.ReadFrom(reader); err != nil {
		return nil, err
	}
	if limit > 0 && body.Len() > limit {
		return nil, fasthttp.ErrBodyTooLarge
	}
	return body.Bytes(), nil
}

// Close returns the connection to the pool if the whole body was read and the whole request was written. Otherwise it
// closes the connection. A server may respond before it has read a long body, and the rest of that body would precede the next
// request.
func (s *Stream) Close() {
	active := s.stop()
	if active && s.ended && s.endsAtKnownByte() && s.upload.isComplete() {
		s.client.release(s.address, s.conn, s.Response)
		return
	}
	_ = s.conn.Close()
}
