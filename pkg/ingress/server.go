// Package ingress serves callers over HTTP/1.1.
//
// It uses the message types of fasthttp but not its server, which does not tell a handler that the caller left and
// cannot end a response abruptly. One goroutine of a bounded pool serves one connection.
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
	// Serve answers one request by the methods of x before it returns.
	Serve(x *Exchange)
	// Limits returns the limits in force. They are read anew for each request, but for the size of the headers, which
	// holds for a connection from its start.
	Limits() traffic.Limits
	// Malformed reports a request that was answered with status because it cannot be read.
	Malformed(status int, reason string)
	// Panicked reports a panic while one request was read or answered. Its connection ends, the others go on.
	Panicked(cause any, stack []byte)
}

// Options bound the server.
type Options struct {
	// Connections is the largest number of open connections.
	Connections int
	// BufferedBytes is the largest sum of request bodies held at once.
	BufferedBytes int64
}

// Server accepts connections. The zero value is not usable; call New.
type Server struct {
	handler  Handler
	options  Options
	pool     *ants.Pool
	buffered atomic.Int64
	leaving  atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*connection]struct{}
}

// New returns a server that is not listening.
func New(handler Handler, options Options) (*Server, error) {
	pool, err := ants.NewPool(options.Connections, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	return &Server{handler: handler, options: options, pool: pool, conns: map[*connection]struct{}{}}, nil
}

// acceptPause follows a failed accept, for instance without descriptors.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
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
			time.Sleep(acceptPause)
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

func (s *Server) add(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Leave announces the end of each connection with its next response.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Close stops accepting and ends idle connections. Running requests go on.
func (s *Server) Close() {
	s.leaving.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.endIdle()
	}
}

// reserve takes room for a body. It reports false where there is none.
func (s *Server) reserve(n int) bool {
	if s.buffered.Add(int64(n)) > s.options.BufferedBytes {
		s.buffered.Add(int64(-n))
		return false
	}
	return true
}

func (s *Server) release(n int) {
	s.buffered.Add(int64(-n))
}
