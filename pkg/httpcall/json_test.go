package httpcall

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"
)

// Guards against a refusal that is decoded as an answer, and against an answer that can't be decoded and passes for a whole one.
func TestOnlyWholeAnswersAreDecoded(t *testing.T) {
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/refused":
			ctx.SetStatusCode(fasthttp.StatusConflict)
			ctx.SetBodyString(`{"n": 1}`)
		case "/malformed":
			ctx.SetBodyString(`{"n": 1`)
		default:
			ctx.SetBodyString(`{"n": 1}`)
		}
	})
	c := NewClient()
	defer c.Close()
	for _, x := range []struct {
		path      string
		status, n int
		fails     bool
	}{
		{"/good", fasthttp.StatusOK, 1, false},
		{"/refused", fasthttp.StatusConflict, 0, false},
		{"/malformed", fasthttp.StatusOK, 0, true},
	} {
		var answer struct{ N int }
		status, err := c.DoJSON(context.Background(), address, request(x.path), &answer, Options{})
		if status != x.status || answer.N != x.n || (err != nil) != x.fails {
			t.Errorf("%s: status %d, answer %+v, error %v", x.path, status, answer, err)
		}
	}
	if status, err := c.DoJSON(context.Background(), address, request("/malformed"), nil, Options{}); status != fasthttp.StatusOK || err != nil {
		t.Errorf("without an answer to decode: status %d, error %v", status, err)
	}
	if status, err := c.DoJSON(context.Background(), "127.0.0.1:1", request("/"), nil, Options{}); status != 0 || err == nil {
		t.Errorf("without a server: status %d, error %v", status, err)
	}
}
