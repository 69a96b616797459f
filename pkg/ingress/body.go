package ingress

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// bodyTimeout bounds the time for a request body after its header.
	bodyTimeout = 20 * time.Second
	// bodyPiece is the size of one read of a body whose length is not announced.
	bodyPiece = 16 << 10
)

// errNoRoom means that the bodies held by the server leave no memory for another.
var errNoRoom = errors.New("ingress: no memory for the body")

// bodyReader reads one request's body and counts its bytes against the memory of the server.
type bodyReader struct {
	conn *connection
	// limit is the largest body, in bytes.
	limit    int
	reserved int
}

// read reads the body into req. The status is that of the refusal where the error is not nil.
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
		return bodyStatus(errNoRoom), errNoRoom
	}
	if req.MayContinue() {
		if _, err := b.conn.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return bodyStatus(err), err
		}
	}
	if length > 0 {
		err = req.ContinueReadBody(b.conn.reader, b.limit, false)
	} else {
		err = b.readPieces(req)
	}
	return bodyStatus(err), err
}

// readPieces reads a body whose length is not announced. Its memory is reserved as it comes.
func (b *bodyReader) readPieces(req *fasthttp.Request) error {
	if err := req.ContinueReadBodyStream(b.conn.reader, b.limit, false); err != nil {
		return err
	}
	stream := req.BodyStream()
	if stream == nil {
		return nil
	}
	var body []byte
	piece := make([]byte, bodyPiece)
	for {
		n, err := stream.Read(piece)
		if len(body)+n > b.limit {
			return fasthttp.ErrBodyTooLarge
		}
		if !b.reserve(n) {
			return errNoRoom
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

func (b *bodyReader) reserve(n int) bool {
	if !b.conn.server.reserve(n) {
		return false
	}
	b.reserved += n
	return true
}

// release gives the memory back once the request is answered.
func (b *bodyReader) release() {
	b.conn.server.release(b.reserved)
}

// bodyStatus returns the status of the refusal of a body that cannot be read.
func bodyStatus(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, errNoRoom):
		return fasthttp.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fasthttp.StatusRequestTimeout
	}
	return fasthttp.StatusBadRequest
}
