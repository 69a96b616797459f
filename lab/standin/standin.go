// Package standin holds what all stand-ins share: the listener, fault switches and JSON answers.
package standin

import (
	"encoding/json"
	"net"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"
)

// maxBodyBytes bounds one request body.
const maxBodyBytes = 64 << 20

// headerBufferBytes bounds the header of one request.
const headerBufferBytes = 32 << 10

// AnyLoopback is the listen address that lets the system choose a port.
const AnyLoopback = "127.0.0.1:0"

// Server is an HTTP server whose connections can all be closed at once.
type Server struct {
	ln   *listener
	http *fasthttp.Server
	done chan struct{}
}

// Start listens on the address and serves in the background.
func Start(listen string, h fasthttp.RequestHandler) (*Server, error) {
	if listen == "" {
		listen = AnyLoopback
	}
	inner, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		ln:   &listener{Listener: inner, open: map[*conn]struct{}{}},
		done: make(chan struct{}),
	}
	s.http = &fasthttp.Server{
		Handler:               h,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        headerBufferBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                silent{},
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.ln)
	}()
	return s, nil
}

// Addr returns the bound IP:port.
func (s *Server) Addr() string {
	return s.ln.Addr().String()
}

// Close stops listening and closes every connection at once.
func (s *Server) Close() {
	_ = s.ln.Close()
	s.CloseConnections()
	<-s.done
	s.CloseConnections()
}

// CloseConnections closes every open connection; running handlers go on without a reader.
func (s *Server) CloseConnections() {
	for _, c := range s.ln.connections() {
		_ = c.Close()
	}
}

// SetDown makes the server close new connections before it reads from them.
func (s *Server) SetDown(down bool) {
	s.ln.mu.Lock()
	defer s.ln.mu.Unlock()
	s.ln.down = down
}

// listener remembers open connections.
type listener struct {
	net.Listener
	mu   sync.Mutex
	open map[*conn]struct{}
	down bool
}

// Accept returns the next connection that arrives while the server is not down.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if kept := l.keep(c); kept != nil {
			return kept, nil
		}
		_ = c.Close()
	}
}

func (l *listener) keep(c net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil
	}
	kept := &conn{Conn: c, l: l}
	l.open[kept] = struct{}{}
	return kept
}

func (l *listener) connections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.open))
	for c := range l.open {
		out = append(out, c)
	}
	return out
}

// conn leaves the listener's set when it is closed.
type conn struct {
	net.Conn
	l *listener
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.open, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// Disconnected tells whether the peer has closed the connection. It reads no byte from it.
func Disconnected(c net.Conn) bool {
	if kept, ok := c.(*conn); ok {
		c = kept.Conn
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		closed = atEnd(int(fd))
	})
	return closed || err != nil
}

// atEnd peeks at the socket: no bytes and no error means that the peer has closed it.
func atEnd(fd int) bool {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == syscall.EAGAIN || err == syscall.EINTR {
		return false
	}
	return err != nil || n == 0
}

// CloseUnanswered closes the connection of the request without an answer.
func CloseUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// Answer writes v as JSON.
func Answer(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// ErrorBody is the JSON form of an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one error.
type ErrorDetail struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

// Refuse writes an error answer.
func Refuse(ctx *fasthttp.RequestCtx, status int, code, message string) {
	Answer(ctx, status, ErrorBody{Error: ErrorDetail{Message: message, Code: code}})
}

// silent drops the server's log: closed connections are expected here.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}
