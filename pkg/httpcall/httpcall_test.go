package httpcall

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: handler}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func request(path string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI(path)
	return req
}

// Guards against a call that reads the late response to an earlier call, which was cancelled.
func TestCancelledCallDoesNotLeakItsResponse(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/slow" {
			<-release
		}
		ctx.SetBodyString(string(ctx.Path()))
	})
	client := NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	err := client.Do(ctx, address, request("/slow"), &fasthttp.Response{}, Options{})
	if !errors.Is(err, context.DeadlineExceeded) || NeverWritten(err) {
		t.Fatalf("error %v, want DeadlineExceeded after the request was written", err)
	}
	close(release)
	for range 10 {
		resp := &fasthttp.Response{}
		if err := client.Do(context.Background(), address, request("/fast"), resp, Options{}); err != nil {
			t.Fatal(err)
		}
		if got := string(resp.Body()); got != "/fast" {
			t.Fatalf("got the response to another call: %q", got)
		}
	}
}

// Guards against a refused connection that is not reported as never written. Non-idempotent requests could then not be
// retried elsewhere.
func TestRefusedConnectionIsNeverWritten(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	err = NewClient().Do(context.Background(), address, request("/"), &fasthttp.Response{}, Options{})
	if !NeverWritten(err) {
		t.Fatalf("error %v, want one that proves that no byte was written", err)
	}
}

// Guards against reading a truncated stream as complete.
func TestTruncatedStreamIsNotEOF(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		_ = c.Close()
	}()
	stream, err := NewClient().Open(context.Background(), ln.Addr().String(), request("/"), true)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	_, err = io.ReadAll(stream)
	if err == nil {
		t.Fatal("a stream without its last chunk was read as complete")
	}
}

// silentServer answers requests until its connections are silenced; new connections work.
type silentServer struct {
	mu       sync.Mutex
	conns    []*mutableConn
	listener net.Listener
}

// mutableConn is a connection that returns nothing once it is muted.
type mutableConn struct {
	net.Conn
	muted atomic.Bool
}

// Write implements net.Conn.
func (c *mutableConn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Accept implements net.Listener.
func (s *silentServer) Accept() (net.Conn, error) {
	c, err := s.listener.Accept()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, &mutableConn{Conn: c})
	return s.conns[len(s.conns)-1], nil
}

// Close implements net.Listener.
func (s *silentServer) Close() error { return s.listener.Close() }

// Addr implements net.Listener.
func (s *silentServer) Addr() net.Addr { return s.listener.Addr() }

// silence mutes all connections that are open.
func (s *silentServer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.muted.Store(true)
	}
}

// newSilentServer starts a server whose connections can be silenced, and a client that has idle connections to it.
func newSilentServer(t *testing.T, idle int) (s *silentServer, client *Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = &silentServer{listener: ln}
	var together sync.WaitGroup
	together.Add(idle)
	go func() {
		_ = (&fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/together" {
				together.Done()
				together.Wait()
			}
		}}).Serve(s)
	}()
	client = NewClient()
	t.Cleanup(func() {
		client.Close()
		_ = ln.Close()
	})
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() {
			if err := client.Do(context.Background(), ln.Addr().String(), request("/together"), &fasthttp.Response{}, Options{}); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	return s, client
}

// Guards against one call after another being lost on pooled connections that all fell silent at the same moment.
func TestSilentConnectionIsTheOnlyOneUsed(t *testing.T) {
	const callTime = 100 * time.Millisecond
	t.Run("Do", func(t *testing.T) {
		s, client := newSilentServer(t, 4)
		s.silence()
		call := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), callTime)
			defer cancel()
			return client.Do(ctx, s.Addr().String(), request("/"), &fasthttp.Response{}, Options{})
		}
		if err := call(); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("error %v on a silent connection", err)
		}
		if err := call(); err != nil {
			t.Errorf("the call after a lost answer: %v", err)
		}
	})
	t.Run("OpenRaw", func(t *testing.T) {
		s, client := newSilentServer(t, 4)
		s.silence()
		head := []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		call := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), callTime)
			defer cancel()
			stream, err := client.OpenRaw(ctx, s.Addr().String(), RawRequest{Head: head})
			if err == nil {
				stream.Close()
			}
			return err
		}
		if err := call(); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("error %v on a silent connection", err)
		}
		if err := call(); err != nil {
			t.Errorf("the call after a lost answer: %v", err)
		}
	})
}

// Guards against closing good connections because a caller cancelled a call.
func TestCancelledCallLeavesTheOtherConnections(t *testing.T) {
	s, client := newSilentServer(t, 4)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := client.Do(ctx, s.Addr().String(), request("/"), &fasthttp.Response{}, Options{}); err == nil {
		t.Fatal("a cancelled call succeeded")
	}
	if idle := len(client.idle[s.Addr().String()]); idle < 3 {
		t.Errorf("%d idle connections remain, want at least 3 of 4", idle)
	}
}
