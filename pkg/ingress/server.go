// Package ingress is an HTTP/1.1 server for callers.
//
// It uses the message types of fasthttp but not its server, which does not notify a handler that the caller
// disconnected, and cannot abort a response. Each connection is served by one goroutine of a bounded pool.
package ingress

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// Handler answers requests.
type Handler interface {
	// Serve answers one request with the methods of x before it returns.
	Serve(x *Exchange)
	// Limits returns the current limits. They are read again for each request, except for HeaderBytes, which is read
	// once when a connection opens.
	Limits() traffic.Limits
	// ReportMalformed records that a request could not be read and is answered with status.
	ReportMalformed(status int, reason string)
	// ReportStalledCaller reports a caller that was cut since it read nothing.
	ReportStalledCaller()
	// ReportPanic records a panic while a request was read or answered. Only its connection is closed.
	ReportPanic(cause any, stack []byte)
}

// Options are the resource limits of a server.
type Options struct {
	// Connections is the largest number of open connections.
	Connections int
	// BufferedBytes is the largest total size of the request bodies held in memory at the same time.
	BufferedBytes int64
}

// Server accepts connections and passes their requests to a Handler. Use New to create one.
type Server struct {
	handler Handler
	options Options
	pool    *ants.Pool
	// bufferedBytes is the number of bytes reserved for request bodies.
	bufferedBytes atomic.Int64
	// keepAliveDisabled makes each connection close after its next response.
	keepAliveDisabled atomic.Bool

	// mu guards listener and conns.
	mu       sync.Mutex
	listener net.Listener
	conns    map[*connection]struct{}
}

// New returns a server that does not accept connections until Serve is called.
func New(handler Handler, options Options) (*Server, error) {
	pool, err := ants.NewPool(options.Connections, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	return &Server{handler: handler, options: options, pool: pool, conns: map[*connection]struct{}{}}, nil
}

// acceptRetryDelay is the pause after a failed accept, for example when the process is out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections from l until l is closed, then returns nil. A connection beyond Options.Connections is
// closed at once.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &connection{server: s, conn: raw}
		s.add(c)
		if err := s.pool.Submit(c.serve); err != nil {
			s.remove(c)
			_ = raw.Close()
		}
	}
}

// add records an open connection.
func (s *Server) add(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

// remove removes the record of a connection.
func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// DisableKeepAlive makes each connection close after its next response, which announces that in its Connection header.
func (s *Server) DisableKeepAlive() {
	s.keepAliveDisabled.Store(true)
}

// Close closes the listener and idle connections. Requests in progress continue, and their connections close after
// the response.
func (s *Server) Close() {
	s.keepAliveDisabled.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.closeWhenIdle()
	}
}

// reserve reserves n bytes for request bodies. It reports false, and reserves nothing, if fewer are left.
func (s *Server) reserve(n int) bool {
	if s.bufferedBytes.Add(int64(n)) > s.options.BufferedBytes {
		s.bufferedBytes.Add(int64(-n))
		return false
	}
	return true
}

// release returns n reserved bytes.
func (s *Server) release(n int) {
	s.bufferedBytes.Add(int64(-n))
}
