package ingress

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// stillListener accepts connections whose first read begins only once ended is closed, as after a standstill of the process.
type stillListener struct {
	net.Listener
	ended chan struct{}
}

func (l stillListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return stillConn{c.(*net.TCPConn), l.ended}, nil
}

type stillConn struct {
	*net.TCPConn
	ended chan struct{}
}

func (c stillConn) Read(p []byte) (int, error) {
	<-c.ended
	return c.TCPConn.Read(p)
}

// Guards against closing a connection with a request unread that arrived while this process stood still: past the end of its
// idle time, or until the server closes.
func TestRequestThatArrivedInAStandstillIsRead(t *testing.T) {
	cases := map[string]func(*Server){
		"idle time": func(*Server) { time.Sleep(200 * time.Millisecond) },
		"close":     (*Server).Close,
	}
	for name, pass := range cases {
		t.Run(name, func(t *testing.T) {
			e := &echoHandler{limits: traffic.Limits{
				HeaderBytes: 2048, BodyBytes: 1000, HeaderTimeout: waitLimit, IdleTimeout: 100 * time.Millisecond,
			}}
			s, err := New(e, largeLimits)
			if err != nil {
				t.Fatal(err)
			}
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			still := stillListener{l, make(chan struct{})}
			serve(t, s, still)
			c := dialTo(t, l.Addr().String())
			waitFor(t, "the connection is open", func() bool { return s.OpenConnections() == 1 })
			if _, err := io.WriteString(c, post(3)); err != nil {
				t.Fatal(err)
			}
			pass(s)
			close(still.ended)
			if status, body, err := readResponse(c); status != 200 || body != "xxx" || err != nil {
				t.Errorf("%d %q %v", status, body, err)
			}
			waitFor(t, "the connection is closed", func() bool { return s.OpenConnections() == 0 })
		})
	}
}
