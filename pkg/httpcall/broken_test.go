package httpcall

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall/cutserver"
)

// readers are the ways in which a response is read.
var readers = map[string]func(c *Client, address string) error{
	"Do": func(c *Client, address string) error {
		return c.Do(context.Background(), address, request("/"), &fasthttp.Response{}, Options{MaxBody: 100})
	},
	"Open": func(c *Client, address string) error {
		stream, err := c.Open(context.Background(), address, request("/"), false)
		return readToEnd(stream, err)
	},
	"OpenRaw": func(c *Client, address string) error {
		stream, err := c.OpenRaw(context.Background(), address, RawRequest{Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
		return readToEnd(stream, err)
	},
}

// readToEnd reads a stream that was opened with err.
func readToEnd(s *Stream, err error) error {
	if err != nil {
		return err
	}
	defer s.Close()
	_, err = io.ReadAll(s)
	return err
}

// Guards against a way to read a response that takes for one what breaks HTTP, or that uses its connection again.
func TestBrokenResponsesAreNone(t *testing.T) {
	for name, response := range cutserver.BrokenResponses("words") {
		for way, read := range readers {
			t.Run(name+"/"+way, func(t *testing.T) {
				client := NewClient()
				defer client.Close()
				address := cutserver.Start(t, response, 100, 0)
				err := read(client, address)
				if broken := (*ResponseError)(nil); !errors.As(err, &broken) || NeverWritten(err) {
					t.Errorf("error %v", err)
				}
				if got := client.Connections(address); got != (Connections{}) {
					t.Errorf("%+v are open", got)
				}
			})
		}
	}
}

// Guards against a connection that is not used again after a sound response, and against a sound one that is taken for broken.
func TestSoundResponsesKeepTheirConnection(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwords", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwords\r\n0\r\nX-A: 1\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
	} {
		for way, read := range readers {
			client := NewClient()
			address := cutserver.Start(t, response, 100, 0)
			for range 3 {
				if err := read(client, address); err != nil {
					t.Errorf("%s, %q: %v", way, response, err)
				}
			}
			if got := client.Connections(address); got != (Connections{Idle: 1}) {
				t.Errorf("%s, %q: %+v", way, response, got)
			}
			client.Close()
		}
	}
}

// Guards against a body of any size that is read into memory on the word of its head, and against a limit that is not kept.
func TestWholeBodiesKeepToTheirLimit(t *testing.T) {
	const limit = 5
	for response, fits := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwords":                                  true,
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwords!":                                 false,
		"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\nwords!":               false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwords\r\n0\r\n\r\n":       true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwords\r\n1\r\n!\r\n0\r\n": false,
	} {
		client := NewClient()
		resp := &fasthttp.Response{}
		address := cutserver.Start(t, response, 100, 0)
		err := client.Do(context.Background(), address, request("/"), resp, Options{MaxBody: limit})
		if fits && (err != nil || string(resp.Body()) != "words") || !fits && !errors.Is(err, fasthttp.ErrBodyTooLarge) {
			t.Errorf("%q: body %q, %v", response, resp.Body(), err)
		}
		client.Close()
	}
}
