package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// waitLimit bounds each wait in the tests.
const waitLimit = 20 * time.Second

// echoHandler answers each request with its body. It aborts requests for /wait once their caller has disconnected.
type echoHandler struct {
	limits traffic.Limits
	// left counts the requests for /wait whose caller disconnected.
	left      atomic.Int64
	malformed atomic.Int64
	panics    atomic.Int64
	stalled   atomic.Int64
	// abortStream makes responses to /stream end without the last chunk.
	abortStream atomic.Bool
}

func (e *echoHandler) Limits() traffic.Limits {
	return e.limits
}

func (e *echoHandler) ReportPanic(any, []byte) {
	e.panics.Add(1)
}

func (e *echoHandler) ReportMalformed(int, string) {
	e.malformed.Add(1)
}

func (e *echoHandler) ReportStalledCaller() {
	e.stalled.Add(1)
}

func (e *echoHandler) Serve(x *Exchange) {
	switch string(x.Request.Header.RequestURI()) {
	case "/wait":
		<-x.Context().Done()
		e.left.Add(1)
		x.Abort()
	case "/panic":
		panic("unexpected")
	case "/stream":
		header := &fasthttp.ResponseHeader{}
		if x.Begin(header) != nil || x.Send([]byte("one")) != nil || x.Send([]byte("two")) != nil {
			return
		}
		if e.abortStream.Load() {
			x.Abort()
			return
		}
		x.Finish()
	default:
		resp := &fasthttp.Response{}
		resp.SetBody(x.Request.Body())
		x.Respond(resp)
	}
}

// startServer serves e on a loopback address and returns the server and its address.
func startServer(t *testing.T, e *echoHandler, options Options) (*Server, string) {
	t.Helper()
	if e.limits == (traffic.Limits{}) {
		e.limits = traffic.Limits{
			HeaderBytes: 2048, BodyBytes: 100_000, HeaderTimeout: waitLimit, IdleTimeout: waitLimit,
		}
	}
	s, err := New(e, options)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serve(t, s, l)
	return s, l.Addr().String()
}

// serve accepts connections from l until the test ends.
func serve(t *testing.T, s *Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(s.Close)
}

// largeLimits are limits that the tests do not reach.
var largeLimits = Options{Connections: 100, BufferedBytes: 10 << 20}

// roundTrip sends text on a new connection and reads one response.
func roundTrip(t *testing.T, address, text string) (status int, body string, err error) {
	t.Helper()
	c := dialTo(t, address)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return readResponse(c)
}

// dialTo opens a connection to address, which the test closes at its end.
func dialTo(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	return c
}

// readResponse reads one response from c.
func readResponse(c net.Conn) (status int, body string, err error) {
	resp := &fasthttp.Response{}
	err = resp.Read(bufio.NewReader(c))
	return resp.StatusCode(), string(resp.Body()), err
}

// post returns a POST request with a body of n bytes.
func post(n int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
}

// postChunked returns a POST request with a chunked body of n bytes.
func postChunked(n int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n, strings.Repeat("x", n))
}

// Guards against unbounded memory use by bodies of unknown length, which were once not counted.
func TestBodiesCountAgainstMemory(t *testing.T) {
	s, address := startServer(t, &echoHandler{}, Options{Connections: 100, BufferedBytes: 50_000})
	for _, text := range []string{post(40_000), postChunked(40_000)} {
		if status, body, err := roundTrip(t, address, text); status != 200 || len(body) != 40_000 || err != nil {
			t.Fatalf("within the memory: %d, %d bytes, %v", status, len(body), err)
		}
	}
	for _, text := range []string{post(60_000), postChunked(60_000)} {
		if status, _, err := roundTrip(t, address, text); status != 503 || err != nil {
			t.Fatalf("beyond the memory: %d, %v", status, err)
		}
	}
	waitFor(t, "all memory is released", func() bool { return s.bufferedBytes.Load() == 0 })
}

// Guards against accepting oversized or malformed requests, and against not reporting them to the handler.
func TestLimitsOfHeaderAndBody(t *testing.T) {
	e := &echoHandler{}
	_, address := startServer(t, e, largeLimits)
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"announced body", post(100_001), 413},
		{"unannounced body", postChunked(100_001), 413},
		{"header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 3000) + "\r\n\r\n", 431},
		{"broken chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", 400},
	} {
		if status, _, err := roundTrip(t, address, c.text); status != c.status || err != nil {
			t.Errorf("%s: %d, %v; want %d", c.name, status, err, c.status)
		}
	}
	if e.malformed.Load() != 4 {
		t.Errorf("%d malformed requests reported, want 4", e.malformed.Load())
	}
}

// Guards against connections held open for ever by callers that send a header slowly or stay idle.
func TestSlowCallersTimeOut(t *testing.T) {
	e := &echoHandler{limits: traffic.Limits{
		HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond,
	}}
	_, address := startServer(t, e, largeLimits)
	if status, _, err := roundTrip(t, address, "GET / HTTP/1.1\r\nHo"); status != 408 || err != nil {
		t.Errorf("slow header: %d, %v", status, err)
	}
	if _, _, err := roundTrip(t, address, ""); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v", err)
	}
}

// Guards against continuing a request whose caller closed the connection.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	e := &echoHandler{}
	s, address := startServer(t, e, largeLimits)
	c := dialTo(t, address)
	if _, err := io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the connection is open", func() bool { return s.OpenConnections() == 1 })
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the request is cancelled", func() bool { return e.left.Load() == 1 && s.OpenConnections() == 0 })
}

// Guards against losing the first byte of a pipelined request, which is read ahead to detect that the caller
// disconnected.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	_, address := startServer(t, &echoHandler{}, largeLimits)
	c := dialTo(t, address)
	if _, err := io.WriteString(c, post(3)+post(5)+postChunked(7)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(c)
	for _, want := range []int{3, 5, 7} {
		resp := &fasthttp.Response{}
		if err := resp.Read(reader); err != nil || len(resp.Body()) != want {
			t.Fatalf("%d bytes, %v; want %d", len(resp.Body()), err, want)
		}
	}
}

// Guards against an aborted stream that looks complete to the caller.
func TestAbortedStreamLooksIncomplete(t *testing.T) {
	e := &echoHandler{}
	_, address := startServer(t, e, largeLimits)
	if status, body, err := roundTrip(t, address, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 || body != "onetwo" || err != nil {
		t.Fatalf("complete stream: %d %q %v", status, body, err)
	}
	e.abortStream.Store(true)
	if _, _, err := roundTrip(t, address, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n"); err == nil {
		t.Fatal("an aborted stream looks complete")
	}
}

// Guards against a shutdown that drops a request in progress or keeps idle connections open.
func TestCloseEndsIdleConnectionsOnly(t *testing.T) {
	s, address := startServer(t, &echoHandler{}, largeLimits)
	idle, busy := dialTo(t, address), dialTo(t, address)
	if _, err := io.WriteString(busy, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(idle, post(1)); err != nil {
		t.Fatal(err)
	}
	if status, _, err := readResponse(idle); status != 200 || err != nil {
		t.Fatalf("%d, %v", status, err)
	}
	waitFor(t, "both connections are open", func() bool { return s.OpenConnections() == 2 && readsBody(s) })
	s.Close()
	if _, _, err := readResponse(idle); err == nil {
		t.Fatal("the idle connection stays open")
	}
	if _, err := io.WriteString(busy, "xx"); err != nil {
		t.Fatal(err)
	}
	if status, body, err := readResponse(busy); status != 200 || body != "xxx" || err != nil {
		t.Fatalf("the request in progress: %d %q %v", status, body, err)
	}
	waitFor(t, "all connections are closed", func() bool { return s.OpenConnections() == 0 })
}

// readsBody reports whether a connection has begun to read a body.
func readsBody(s *Server) bool {
	return s.bufferedBytes.Load() > 0
}

// Guards against serving more connections than the limit.
func TestConnectionsAreBounded(t *testing.T) {
	s, address := startServer(t, &echoHandler{}, Options{Connections: 1, BufferedBytes: 1 << 20})
	first := dialTo(t, address)
	if _, err := io.WriteString(first, post(1)); err != nil {
		t.Fatal(err)
	}
	if status, _, err := readResponse(first); status != 200 || err != nil {
		t.Fatalf("%d, %v", status, err)
	}
	if _, _, err := roundTrip(t, address, post(1)); err == nil {
		t.Fatal("a second connection was served")
	}
	waitFor(t, "the refused connection is removed", func() bool { return s.OpenConnections() == 1 })
}

// waitFor fails the test if holds does not report true within waitLimit.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", waitLimit, what)
}

// Guards against a panic in one request that ends the process or closes other connections.
func TestPanicEndsItsConnectionOnly(t *testing.T) {
	e := &echoHandler{}
	_, address := startServer(t, e, Options{Connections: 10, BufferedBytes: 1 << 20})
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c, bufio.NewReader(c)
	}
	roundTrip := func(c net.Conn, r *bufio.Reader, path string) error {
		if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", path); err != nil {
			return err
		}
		return (&fasthttp.Response{}).Read(r)
	}
	other, otherReader := dial()
	if err := roundTrip(other, otherReader, "/echo"); err != nil {
		t.Fatal(err)
	}
	c, r := dial()
	if err := roundTrip(c, r, "/panic"); err == nil {
		t.Fatal("a request that panicked was answered")
	}
	if err := roundTrip(other, otherReader, "/echo"); err != nil {
		t.Fatalf("the connection of another caller: %v", err)
	}
	if n := e.panics.Load(); n != 1 {
		t.Fatalf("%d panics reported", n)
	}
}
