package httpcall

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

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
		return &chunkedBody{reader: r}
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

// chunkedBody reads a body in chunks. It returns what has arrived of a chunk, since an event may be whole long before the chunk
// is. Trailers are checked and dropped, since nothing tells that they may be merged into the head (RFC 9110, section 6.5.1).
type chunkedBody struct {
	reader *bufio.Reader
	// left is the number of bytes that are missing of the present chunk.
	left int64
	// begun is set once the first chunk has begun.
	begun bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// nextChunk reads up to the data of the next chunk. It returns io.EOF after the last one and its trailers.
func (b *chunkedBody) nextChunk() error {
	if b.begun {
		line, err := readLine(b.reader)
		if err != nil {
			return err
		}
		if !isLastLine(line) {
			return brokenResponse("end of a chunk:", line)
		}
	}
	b.begun = true
	line, err := readLine(b.reader)
	if err != nil {
		return err
	}
	if b.left, err = parseChunkSize(line); err != nil {
		return err
	}
	if b.left == 0 {
		return readTrailers(b.reader)
	}
	return nil
}

// maxChunkDigits is the number of hexadecimal digits that fit into an int64.
const maxChunkDigits = 15

// parseChunkSize parses a line of the form chunk-size [chunk-ext] CR. Extensions are ignored (RFC 9112, section 7.1.1), and so are
// blanks behind the size, which some servers write.
func parseChunkSize(line []byte) (int64, error) {
	text, terminated := bytes.CutSuffix(line, []byte("\r"))
	digits := bytes.IndexFunc(text, func(c rune) bool { return !strings.ContainsRune("0123456789abcdefABCDEF", c) })
	if digits < 0 {
		digits = len(text)
	}
	extension := bytes.TrimLeft(text[digits:], " \t")
	size, err := strconv.ParseInt(string(text[:digits]), 16, 64)
	if !terminated || err != nil || digits > maxChunkDigits || len(extension) > 0 && extension[0] != ';' || !isFieldText(extension) {
		return 0, brokenResponse("size of a chunk:", line)
	}
	return size, nil
}

// readLine reads a line and returns it without its line feed.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, brokenResponse("line is too long:", line)
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	return line[:len(line)-1], nil
}

// readTrailers reads the fields behind the last chunk. It returns io.EOF after the empty line that ends them.
func readTrailers(r *bufio.Reader) error {
	for {
		line, err := readLine(r)
		if err != nil {
			return err
		}
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
