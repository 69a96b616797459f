package httpcall

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
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
