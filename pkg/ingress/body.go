package ingress

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// bodyTimeout bounds the time to read a request body after its header was read.
	bodyTimeout = 20 * time.Second
	// bodyReadBytes is the buffer size for reading a body of unknown length.
	bodyReadBytes = 16 << 10
)

// errBodyMemoryFull is returned when a body does not fit into the memory that the server reserves for request bodies.
var errBodyMemoryFull = errors.New("ingress: request body exceeds the memory left for bodies")

// bodyReader reads the body of one request and reserves its size from the server's body memory.
type bodyReader struct {
	conn *connection
	// limit is the largest body size in bytes.
	limit int
	// reserved is the number of bytes reserved so far.
	reserved int
}

// read reads the body into req. If err is not nil, status is the HTTP status of the refusal.
func (b *bodyReader) read(req *fasthttp.Request) (status int, err error) {
	length := req.Header.ContentLength()
	if length == 0 {
		return 0, nil
	}
	_ = b.conn.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if length > b.limit {
		return bodyStatus(fasthttp.ErrBodyTooLarge), fasthttp.ErrBodyTooLarge
	}
	if !b.reserve(max(length, 0)) {
		return bodyStatus(errBodyMemoryFull), errBodyMemoryFull
	}
	if req.MayContinue() {
		if _, err := (progressWriter{b.conn}).Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return bodyStatus(err), err
		}
	}
	if length > 0 {
		err = req.ContinueReadBody(b.conn.reader, b.limit, false)
	} else {
		err = b.readUnknownLength(req)
	}
	return bodyStatus(err), err
}

// readUnknownLength reads a body without a Content-Length. It reserves memory for each part as it arrives.
func (b *bodyReader) readUnknownLength(req *fasthttp.Request) error {
	if err := req.ContinueReadBodyStream(b.conn.reader, b.limit, false); err != nil {
		return err
	}
	stream := req.BodyStream()
	if stream == nil {
		return nil
	}
	var body []byte
	piece := make([]byte, bodyReadBytes)
	for {
		n, err := stream.Read(piece)
		if len(body)+n > b.limit {
			return fasthttp.ErrBodyTooLarge
		}
		if !b.reserve(n) {
			return errBodyMemoryFull
		}
		body = append(body, piece[:n]...)
		if errors.Is(err, io.EOF) {
			req.SetBodyRaw(body)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// reserve reserves n more bytes and reports whether the server had them left.
func (b *bodyReader) reserve(n int) bool {
	if !b.conn.server.reserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// release returns the reserved bytes to the server. Further calls do nothing.
func (b *bodyReader) release() {
	b.conn.server.release(b.reserved)
	b.reserved = 0
}

// bodyStatus returns the HTTP status for a body that could not be read, or 0 if err is nil.
func bodyStatus(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyMemoryFull):
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	}
	return fasthttp.StatusBadRequest
}
