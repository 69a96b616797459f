package peerforward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/httpcall/cutserver"
	"github.com/corneldeal/corneldeal/pkg/reach"
)

// fakeSender sends requests to one address.
type fakeSender struct {
	client  *httpcall.Client
	address string
	// refusals are the reasons for which the next requests are not sent.
	refusals  chan reach.Reason
	malformed chan error
	got       chan Request
	// sendBufferBytes is the size of the buffer of a connection to the endpoint, or zero for that of the system.
	sendBufferBytes atomic.Int64
}

func (s *fakeSender) Reserve(vm string, _ netip.Addr, _ int) (func(), reach.Reason) {
	if vm != "vm-1" {
		return nil, reach.PeerDistrusts
	}
	return func() {}, ""
}

func (s *fakeSender) Send(ctx context.Context, r Request) (*httpcall.Stream, Refusal, error) {
	s.got <- r
	select {
	case reason := <-s.refusals:
		return nil, Refusal{Reason: reason, Referral: "vm-9"}, nil
	default:
	}
	stream, err := s.client.OpenRaw(ctx, s.address, httpcall.RawRequest{Head: r.Head, Body: r.Body, Fresh: true, Connected: s.connected})
	return stream, Refusal{}, err
}

// connected limits the buffer of a new connection.
func (s *fakeSender) connected(c net.Conn) {
	if size := s.sendBufferBytes.Load(); size > 0 {
		_ = c.(*net.TCPConn).SetWriteBuffer(int(size))
	}
}

func (s *fakeSender) ReportMalformed(_ netip.Addr, err error) { s.malformed <- err }

// startEndpoint accepts connections and runs serve on each after it has read a request's head. It returns its address.
func startEndpoint(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for line := ""; line != "\r\n"; {
					if line, err = reader.ReadString('\n'); err != nil {
						return
					}
				}
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// startPeer starts a server that forwards to an endpoint and returns its address.
func startPeer(t *testing.T, endpoint string) (*fakeSender, string) {
	t.Helper()
	s := &fakeSender{
		client: httpcall.NewClient(), address: endpoint, malformed: make(chan error, 10), got: make(chan Request, 10),
		refusals: make(chan reach.Reason, 1),
	}
	server := httptest.NewServer(Handler(s))
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

var testRequest = Request{
	VM: "vm-1", Endpoint: "e1", StartTimeMs: 7, Timeout: 5 * time.Second, Head: []byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"),
	Body: []byte("body"),
}

// forward sends a request through a peer and reads the whole answer.
func forward(t *testing.T, address string, r Request) (Reply, *httpcall.Stream, string, error) {
	t.Helper()
	stream, err := httpcall.NewClient().OpenRaw(t.Context(), address, r.Encode(address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	reply := ReadReply(&stream.Response.Header)
	body, err := io.ReadAll(stream)
	return reply, stream, string(body), err
}

// Guards against an answer that loses its status, a header or a part of its body on the way through a peer, or gains any.
func TestAnswerPassesThroughUnchanged(t *testing.T) {
	s, address := startPeer(t, startEndpoint(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Left: 1\r\nRetry-After: 2\r\nContent-Length: 5\r\n\r\nwords")
	}))
	reply, stream, body, err := forward(t, address, testRequest)
	if err != nil || reply.Outcome != Answered || stream.Response.StatusCode() != 503 || body != "words" {
		t.Fatalf("%+v, status %d, body %q, %v", reply, stream.Response.StatusCode(), body, err)
	}
	h := &stream.Response.Header
	if string(h.Peek("X-Left")) != "1" || string(h.Peek("Retry-After")) != "2" || len(h.Peek(fasthttp.HeaderDate)) > 0 ||
		len(h.Peek(headerOutcome)) > 0 {
		t.Errorf("headers:\n%s", h.String())
	}
	got := <-s.got
	if string(got.Head) != string(testRequest.Head) || string(got.Body) != "body" || got.Endpoint != "e1" || got.StartTimeMs != 7 {
		t.Errorf("the peer got %+v", got)
	}
}

// Guards against a cut answer that looks complete, and against a request that may have run and passes for one that was not sent.
func TestCutAnswersAreNotComplete(t *testing.T) {
	_, address := startPeer(t, startEndpoint(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it")
	}))
	if reply, _, body, err := forward(t, address, testRequest); err == nil || reply.Outcome != Answered {
		t.Errorf("%+v, body %q without an error", reply, body)
	}
	_, address = startPeer(t, startEndpoint(t, func(net.Conn) {}))
	if reply, _, _, _ := forward(t, address, testRequest); reply.Outcome != Lost {
		t.Errorf("an endpoint that does not answer: %+v", reply)
	}
}

// Guards against a broken answer that a peer passes on as one, as a refusal or as a request that was not sent.
func TestBrokenAnswersDoNotPass(t *testing.T) {
	for name, response := range cutserver.BrokenResponses("words") {
		t.Run(name, func(t *testing.T) {
			_, address := startPeer(t, cutserver.Start(t, response, 100, 0))
			reply, stream, body, err := forward(t, address, testRequest)
			if reply.Outcome == NotSent || reply.Outcome == Answered && err == nil {
				t.Errorf("%+v, status %d, body %q, %v", reply, stream.Response.StatusCode(), body, err)
			}
		})
	}
}

// Guards against a part of an answer that passes for the whole since the endpoint reset the connection while the peer was still
// sending the request.
func TestAnswerThatIsResetDuringTheUploadDoesNotPass(t *testing.T) {
	const tries = 20
	r := testRequest
	r.Body = make([]byte, MaxRequestBytes-len(r.Head))
	for i := range tries {
		s, address := startPeer(t, startEndpoint(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Left: 1\r\n\r\nwords")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}))
		s.sendBufferBytes.Store(4 << 10)
		if reply, _, body, err := forward(t, address, r); err == nil || reply.Outcome != Answered {
			t.Errorf("try %d: %+v, body %q, %v", i, reply, body, err)
		}
	}
}

// Guards against a request that counts as sent although the peer refused it or cannot forward, and against strangers.
func TestRefusalsProveThatNothingWasSent(t *testing.T) {
	s, address := startPeer(t, "127.0.0.1:1")
	s.refusals <- reach.PeerCutOff
	if reply, _, _, _ := forward(t, address, testRequest); reply != (Reply{NotSent, Refusal{reach.PeerCutOff, "vm-9"}}) {
		t.Errorf("refused: %+v", reply)
	}
	<-s.got
	stranger := testRequest
	stranger.VM = "stranger"
	if reply, _, _, _ := forward(t, address, stranger); reply != (Reply{NotSent, Refusal{Reason: reach.PeerDistrusts}}) {
		t.Errorf("stranger: %+v", reply)
	}
	old := httptest.NewServer(http.NotFoundHandler())
	defer old.Close()
	if reply, _, _, _ := forward(t, strings.TrimPrefix(old.URL, "http://"), testRequest); reply != (Reply{NotSent, Refusal{Reason: reach.PeerUnreachable}}) {
		t.Errorf("a VM that cannot forward: %+v", reply)
	}
	malformed := testRequest
	malformed.Endpoint = ""
	if reply, _, _, _ := forward(t, address, malformed); reply.Outcome != NotSent || !errors.Is(<-s.malformed, errMalformed) {
		t.Errorf("malformed: %+v", reply)
	}
	if len(s.got) > 0 {
		t.Error("a refused request was sent")
	}
}

// Guards against events that wait at the peer, and against work that goes on at the endpoint after the caller has left.
func TestEventsArriveOneByOneAndLeavingEndsTheSend(t *testing.T) {
	left := make(chan struct{})
	next := make(chan struct{})
	_, address := startPeer(t, startEndpoint(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range 2 {
			_, _ = fmt.Fprintf(c, "3\r\n%d\n\n\r\n", i)
			<-next
		}
		_, _ = c.Read(make([]byte, 1))
		close(left)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	stream, err := httpcall.NewClient().OpenRaw(ctx, address, testRequest.Encode(address))
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for i := range 2 {
		piece := make([]byte, 3)
		if _, err := io.ReadFull(stream, piece); err != nil || string(piece) != fmt.Sprintf("%d\n\n", i) {
			t.Fatalf("event %d: %q, %v", i, piece, err)
		}
		next <- struct{}{}
	}
	cancel()
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint still works for a caller that has left")
	}
}
