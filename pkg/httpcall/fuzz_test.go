package httpcall

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// fuzzEnd is how the connection of a fuzzed response ends.
type fuzzEnd uint8

const (
	// endClosed is a connection that its server closes.
	endClosed fuzzEnd = iota
	// endReset is one that is reset, of which the reader is told.
	endReset
	// endResetUpload is one that is reset while the request is being written, of which the writer is told. The reader sees an end.
	endResetUpload
	// endOpenUpload is one that its server closes while the request is being written.
	endOpenUpload
	fuzzEnds
)

// fuzzConn is a connection on which a response is there already.
type fuzzConn struct {
	net.Conn
	data    io.Reader
	end     fuzzEnd
	stopped chan struct{}
	stop    sync.Once
}

// Read implements net.Conn.
func (c *fuzzConn) Read(p []byte) (int, error) {
	n, err := c.data.Read(p)
	if errors.Is(err, io.EOF) && c.end == endReset {
		return n, syscall.ECONNRESET
	}
	return n, err
}

// Write implements net.Conn. The body of the request is never written to its end.
func (c *fuzzConn) Write(p []byte) (int, error) {
	switch {
	case len(p) <= maxInlineBodyBytes:
		return len(p), nil
	case c.end == endResetUpload:
		return 0, syscall.ECONNRESET
	}
	<-c.stopped
	return 0, &net.OpError{Op: "write", Err: os.ErrDeadlineExceeded}
}

// SetWriteDeadline implements net.Conn.
func (c *fuzzConn) SetWriteDeadline(time.Time) error {
	c.stop.Do(func() { close(c.stopped) })
	return nil
}

// Close implements net.Conn.
func (c *fuzzConn) Close() error {
	c.stop.Do(func() { close(c.stopped) })
	return nil
}

// fuzzedResponse is what was read of a response.
type fuzzedResponse struct {
	stream *Stream
	body   []byte
	// used is the number of bytes that the response has.
	used int
}

// readFuzzed reads a response from data.
func readFuzzed(data []byte, end fuzzEnd) (fuzzedResponse, error) {
	raw := &fuzzConn{data: bytes.NewReader(data), end: end, stopped: make(chan struct{})}
	conn := newPersistConn(raw)
	conn.closed = func() {}
	defer func() { _ = conn.Close() }()
	s := &Stream{Response: &fasthttp.Response{}, client: NewClient(), address: "a", conn: conn, stop: func() bool { return false }}
	var upload []byte
	if end == endResetUpload || end == endOpenUpload {
		upload = make([]byte, 2*maxInlineBodyBytes)
	}
	if err := s.upload.start(conn.Conn, []byte("head"), upload); err != nil {
		return fuzzedResponse{}, err
	}
	if err := s.readHead(); err != nil {
		return fuzzedResponse{}, err
	}
	body, err := io.ReadAll(s)
	left := raw.data.(*bytes.Reader).Len() + conn.reader.Buffered()
	return fuzzedResponse{stream: s, body: body, used: len(data) - left}, err
}

// token and fieldText are the grammar of names and values of fields.
var (
	token     = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
	fieldText = regexp.MustCompile(`^[^\x00-\x08\x0a-\x1f\x7f]*$`)
)

// Guards against bytes of a server that pass for a whole response and are none, whatever they are and however their connection
// ends. net/http, a second reader, has to read the same.
func FuzzResponse(f *testing.F) {
	for _, seed := range []struct {
		text string
		end  fuzzEnd
	}{
		{"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwords", endClosed},
		{"HTTP/1.1 200 OK\r\n\r\nwords", endResetUpload},
		{"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 5\r\n\r\nwords", endClosed},
		{"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nwords", endClosed},
		{"HTTP/1.1 200 OK\r\n\r\nwords", endClosed},
		{"HTTP/1.1 200 OK\r\n\r\nwords", endReset},
		{"HTTP/1.1 200 OK\r\n\r\nwords", endOpenUpload},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwords\r\n0\r\nX-A: 1\r\n\r\n", endReset},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", endClosed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwords", endClosed},
		{"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nwords", endClosed},
	} {
		f.Add([]byte(seed.text), uint8(seed.end))
	}
	f.Fuzz(func(t *testing.T, data []byte, end uint8) {
		how := fuzzEnd(end) % fuzzEnds
		got, err := readFuzzed(data, how)
		if err != nil {
			return
		}
		h := &got.stream.Response.Header
		byEnd := framingOf(got.stream.Response) == byConnection
		if byEnd && (how == endReset || how == endResetUpload) {
			t.Fatalf("body %q of a connection that was reset is whole", got.body)
		}
		for name, value := range h.All() {
			if !token.Match(name) || !fieldText.Match(value) {
				t.Errorf("field %q: %q", name, value)
			}
		}
		requireSameAsNetHTTP(t, data, h.StatusCode(), got.body)
		if byEnd {
			return
		}
		if cut, err := readFuzzed(data[:got.used-1], how); err == nil {
			t.Errorf("without its last byte, it is a whole response with body %q", cut.body)
		}
	})
}

// requireSameAsNetHTTP fails the test unless net/http reads the same status and body.
func requireSameAsNetHTTP(t *testing.T, data []byte, status int, body []byte) {
	t.Helper()
	reader := bufio.NewReaderSize(bytes.NewReader(data), readBufferBytes)
	resp, err := http.ReadResponse(reader, nil)
	for err == nil && resp.StatusCode < minFinalStatus {
		resp, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		t.Fatalf("net/http reads no head: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	other, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status || !bytes.Equal(other, body) {
		t.Errorf("net/http reads status %d and body %q, %v; not status %d and body %q", resp.StatusCode, other, err, status, body)
	}
}
