package httpcall

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// framingKind is what tells the end of a body.
type framingKind int

const (
	// noBody means that the response has no body, whatever its fields say.
	noBody framingKind = iota
	// byLength means that the head tells the number of bytes.
	byLength
	// inChunks means that the last chunk ends the body.
	inChunks
	// byConnection means that the end of the connection ends the body.
	byConnection
)

// chunkedLength is what fasthttp returns for the length of a body in chunks.
const chunkedLength = -1

// framingOf returns what tells the end of a response's body, see RFC 9112, section 6.3.
func framingOf(resp *fasthttp.Response) framingKind {
	status, length := resp.StatusCode(), resp.Header.ContentLength()
	switch {
	case resp.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		return noBody
	case length == chunkedLength:
		return inChunks
	case length >= 0:
		return byLength
	}
	return byConnection
}

// newBody returns a reader of a response's body. It returns io.EOF only at the end that the framing tells.
func newBody(r *bufio.Reader, resp *fasthttp.Response) io.Reader {
	switch framingOf(resp) {
	case byLength:
		return &lengthBody{io.LimitedReader{R: r, N: int64(resp.Header.ContentLength())}}
	case inChunks:
		return &chunkedBody{reader: r, chunks: httputil.NewChunkedReader(r)}
	case byConnection:
		return r
	}
	return eofReader{}
}

// eofReader reads a body without bytes.
type eofReader struct{}

// Read implements io.Reader.
func (eofReader) Read([]byte) (int, error) {
	return 0, io.EOF
}

// lengthBody reads a body of known length.
type lengthBody struct {
	io.LimitedReader
}

// Read implements io.Reader.
func (b *lengthBody) Read(p []byte) (int, error) {
	n, err := b.LimitedReader.Read(p)
	if errors.Is(err, io.EOF) && b.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a body in chunks. Its trailers are checked and dropped, since nothing tells that they may be merged into the
// head (RFC 9110, section 6.5.1).
type chunkedBody struct {
	reader *bufio.Reader
	chunks io.Reader
	// lastRead is set once the last chunk was read.
	lastRead bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.lastRead {
		return 0, readTrailers(b.reader)
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.lastRead = true
	if n > 0 {
		// The trailers may come later.
		return n, nil
	}
	return 0, readTrailers(b.reader)
}

// readTrailers reads the fields behind the last chunk. It returns io.EOF after the empty line that ends them.
func readTrailers(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return brokenResponse("trailer is too long:", line)
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		line = line[:len(line)-1]
		if isLastLine(line) {
			return io.EOF
		}
		name, err := parseFieldLine(line)
		if err != nil {
			return err
		}
		if isField(name, fasthttp.HeaderContentLength) || isField(name, fasthttp.HeaderTransferEncoding) {
			return brokenResponse("trailer that frames:", line)
		}
	}
}
