// Package cutserver contains a server whose answers are cut, for tests of clients.
package cutserver

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// Start starts a server until the end of the test and returns its address (IP:port). It answers the first requests of each
// connection with the whole response, and closes the connection after the given number of bytes of the next one.
func Start(t *testing.T, response string, whole, bytes int) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c, response, whole, bytes)
		}
	}()
	return ln.Addr().String()
}

// serve serves one connection.
func serve(c net.Conn, response string, whole, bytes int) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for i := 0; ; i++ {
		req := &fasthttp.Request{}
		if err := req.Read(reader); err != nil {
			return
		}
		if i == whole {
			// The client may have closed the connection, which is for its test to notice.
			_, _ = io.WriteString(c, response[:bytes])
			return
		}
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}
