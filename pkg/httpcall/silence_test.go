package httpcall

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a connection that the kernel closes while its server is only silent: the user timeout and the keep-alive probes
// concern what is not acknowledged.
func TestSilentServerKeepsItsConnection(t *testing.T) {
	t.Parallel()
	const silence = tcpUserTimeout + keepAliveProbeIdle + (keepAliveProbeCount+1)*keepAliveProbeInterval
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 1000))
		time.Sleep(silence)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}()
	client := NewClient()
	defer client.Close()
	stream, err := client.OpenRaw(t.Context(), l.Addr().String(), RawRequest{Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	if err != nil {
		t.Fatalf("after %v: %v", silence, err)
	}
	defer stream.Close()
	if body, err := io.ReadAll(stream); err != nil || string(body) != "ok" {
		t.Errorf("body %q, %v", body, err)
	}
}
