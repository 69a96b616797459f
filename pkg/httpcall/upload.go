package httpcall

import (
	"errors"
	"net"
	"os"
	"time"
)

// maxInlineBodyBytes is the size of the largest body that is written before the response is read. A longer body is
// written concurrently, because a server may respond before it has read all of it.
const maxInlineBodyBytes = 4 << 10

// upload is the write of a request, which may go on while its response is read. The zero value is one that is complete.
type upload struct {
	// running receives the result of a write that goes on in the background. It is nil if none does.
	running chan error
	// err is the result of a write that has ended, and errUploadStopped if it was stopped.
	err error
}

// errUploadStopped is the result of an upload that was stopped before its end.
var errUploadStopped = errors.New("httpcall: the request was not written to its end")

// start writes a request. If the body is longer than maxInlineBodyBytes, the write goes on in the background.
func (u *upload) start(c net.Conn, head, body []byte) error {
	buffers := net.Buffers{head, body}
	if len(body) <= maxInlineBodyBytes {
		_, err := buffers.WriteTo(c)
		return err
	}
	u.running = make(chan error, 1)
	go func() {
		_, err := buffers.WriteTo(c)
		u.running <- err
	}()
	return nil
}

// isComplete reports whether the whole request was written.
func (u *upload) isComplete() bool {
	if u.running != nil {
		select {
		case u.err = <-u.running:
			u.running = nil
		default:
			return false
		}
	}
	return u.err == nil
}

// stop ends the write of a request whose response has ended, since nothing reads the rest. It returns why the write had failed
// before, or nil. Nothing can be written to the connection afterwards.
//
// The kernel tells of a failed connection once: to the one that writes or to the one that reads. After a failure of the write,
// the end that a reader sees may be that of the failure.
func (u *upload) stop(c net.Conn) (failed error) {
	if u.running != nil {
		// Without a deadline the write below goes on to its end.
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		u.err = <-u.running
		u.running = nil
	}
	if errors.Is(u.err, os.ErrDeadlineExceeded) {
		u.err = errUploadStopped
	}
	if errors.Is(u.err, errUploadStopped) {
		return nil
	}
	return u.err
}
