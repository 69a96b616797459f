package ingress

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/corneldeal/corneldeal/pkg/socketqueue"
)

const (
	// maxUnreadTime is the time after which a caller that reads nothing is cut. What a VM holds for it takes memory, and
	// the endpoint waits with it.
	maxUnreadTime = 5 * time.Second
	// progressInterval is the interval in which a waiting write looks whether the caller reads.
	progressInterval = 500 * time.Millisecond
	// maxIdleIntervals is the number of intervals without progress that make up maxUnreadTime.
	maxIdleIntervals = int(maxUnreadTime / progressInterval)
	// socketBufferBytes is the size of a caller's send buffer in the kernel, which doubles it for its own records. Without
	// it the kernel holds up to 4 MB for a caller that reads slowly.
	socketBufferBytes = 128 << 10
)

// ErrCallerStalled means that a caller read nothing for maxUnreadTime.
var ErrCallerStalled = errors.New("ingress: the caller reads nothing")

// progressWriter writes to a caller's connection for as long as the caller reads, however slowly.
type progressWriter struct {
	conn *connection
}

// Write implements io.Writer. It fails with ErrCallerStalled once the caller has read nothing for maxUnreadTime. Intervals
// are counted instead of the time, so that a process that stood still does not cut its callers when it goes on. A write
// that does not wait costs no more than its deadline.
func (w progressWriter) Write(p []byte) (written int, err error) {
	raw := w.conn.conn
	unread, idleIntervals := 0, 0
	for first := true; ; first = false {
		if err := raw.SetWriteDeadline(time.Now().Add(progressInterval)); err != nil {
			return written, err
		}
		n, err := raw.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		before := unread + n
		unread = socketqueue.Unacknowledged(raw)
		idleIntervals++
		if first || unread < before {
			// The caller's kernel has acknowledged bytes, or what it acknowledged is not known yet.
			idleIntervals = 0
		}
		if idleIntervals >= maxIdleIntervals {
			w.conn.server.handler.ReportStalledCaller()
			return written, ErrCallerStalled
		}
	}
}

// limitSendBuffer bounds what the kernel holds for a caller. An error leaves the usual size, which only takes more memory.
func limitSendBuffer(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
}
