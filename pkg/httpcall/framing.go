package httpcall

import (
	"net"
)

// maxFramingBytes is the largest number of bytes that a server may send without any byte of a body among them, as headers,
// interim responses and chunk headers. Without a limit, a chunk extension without end is read at full speed until the
// caller's deadline.
const maxFramingBytes = 64 << 10

// errTooMuchFraming means that a server sent maxFramingBytes without any byte of a body.
var errTooMuchFraming = &ResponseError{Detail: "too many bytes that are no body"}

// framingLimiter reads from a connection and limits the bytes that bring no part of a body.
type framingLimiter struct {
	conn net.Conn
	// left is the number of bytes that may still be read.
	left int
	// received is set once a byte arrived, and failed once the connection ended or failed.
	received, failed bool
}

// allow limits the bytes that may be read from now on to maxFramingBytes.
func (f *framingLimiter) allow() {
	f.left = maxFramingBytes
}

// Read implements io.Reader.
func (f *framingLimiter) Read(p []byte) (int, error) {
	if f.left <= 0 {
		return 0, errTooMuchFraming
	}
	n, err := f.conn.Read(p[:min(len(p), f.left)])
	f.left -= n
	f.received = f.received || n > 0
	f.failed = f.failed || err != nil
	return n, err
}
