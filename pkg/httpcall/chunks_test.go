package httpcall

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against events that wait for the rest of the chunk in which they came.
func TestPartOfAChunkIsReadAtOnce(t *testing.T) {
	const part = "id: 1\n\n"
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	read := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n"+part)
		<-read
		_, _ = io.WriteString(c, part+"\r\n0\r\n\r\n")
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	client := NewClient()
	defer client.Close()
	stream, err := client.OpenRaw(ctx, l.Addr().String(), RawRequest{Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	p := make([]byte, 100)
	for got := 0; got < len(part); {
		n, err := stream.Read(p[got:])
		if err != nil {
			t.Fatalf("after %d bytes: %v", got, err)
		}
		got += n
	}
	close(read)
	if rest, err := io.ReadAll(stream); err != nil || string(rest) != part {
		t.Errorf("rest %q, %v", rest, err)
	}
}
