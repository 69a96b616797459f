package httpcall

import (
	"context"
	"io"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall/cutserver"
)

// Guards against trailers that pass for fields of the head, in whole responses and in streams.
func TestTrailersDoNotChangeTheHead(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nX-A: head\r\nTrailer: X-A, X-B\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"2\r\nok\r\n0\r\nX-A: trailer\r\nX-B: trailer\r\n\r\n"
	address := cutserver.Start(t, response, 100, 0)
	client := NewClient()
	defer client.Close()
	resp := &fasthttp.Response{}
	if err := client.Do(context.Background(), address, request("/"), resp, Options{}); err != nil {
		t.Fatal(err)
	}
	stream, err := client.OpenRaw(context.Background(), address, RawRequest{Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if body, err := io.ReadAll(stream); err != nil || string(body) != "ok" {
		t.Fatalf("%q, %v", body, err)
	}
	for _, h := range []*fasthttp.ResponseHeader{&resp.Header, &stream.Response.Header} {
		if string(h.Peek("X-A")) != "head" || len(h.PeekAll("X-A")) != 1 || len(h.Peek("X-B")) > 0 {
			t.Errorf("headers:\n%s", h.String())
		}
	}
}
