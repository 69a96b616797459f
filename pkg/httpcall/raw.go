package httpcall

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"
)

// inlineBody is the largest body that is written before the response is read. A server may answer before it has read
// a longer one.
const inlineBody = 4 << 10

// Raw is a request in wire form.
type Raw struct {
	Head, Body []byte
	// NoResponseBody tells that the response has no body whatever its headers say, as for HEAD.
	NoResponseBody bool
}

// OpenRaw sends a request in wire form and returns after the response headers. A cancelled ctx closes the connection at
// once, also during later reads. Errors are of type *Error.
func (c *Client) OpenRaw(ctx context.Context, address string, req Raw) (*Stream, error) {
	cn, err := c.connect(ctx, address, false)
	if err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{StreamBody: true, SkipBody: req.NoResponseBody}
	s := &Stream{Response: resp, Reused: !cn.reuseUntil.IsZero(), client: c, address: address, cn: cn}
	s.stop = context.AfterFunc(ctx, func() { _ = cn.Close() })
	err = s.writeRaw(req.Head, req.Body)
	if err == nil {
		err = s.Response.Read(cn.reader)
	}
	if err != nil {
		s.stop()
		_ = cn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Address: address, Written: true, Err: err}
	}
	s.body = s.Response.BodyStream()
	return s, nil
}

// writeRaw writes the request, a long body beside the reading of the response.
func (s *Stream) writeRaw(head, body []byte) error {
	buffers := net.Buffers{head, body}
	if len(body) <= inlineBody {
		_, err := buffers.WriteTo(s.cn.Conn)
		return err
	}
	s.written = make(chan error, 1)
	go func() {
		_, err := buffers.WriteTo(s.cn.Conn)
		s.written <- err
	}()
	return nil
}
