package gateway

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

const (
	// maxAnswerBytes bounds an answer that is held before it is passed on.
	maxAnswerBytes = 8 << 20
	// firstAnswerRoom is the room for a short answer. It doubles while more is read.
	firstAnswerRoom = 2 << 10
	// answersShare is the part of the VM's memory for answers that are held.
	answersShare = 0.15
)

// errNoRoom means that the answers that are held leave no memory for another.
var errNoRoom = errors.New("gateway: no memory for the answer")

// answerRoom bounds the memory of all answers that are held, since an endpoint may send bytes without end on several
// connections at once.
type answerRoom struct {
	limit int64
	held  atomic.Int64
}

// take takes room. It reports false where there is none.
func (a *answerRoom) take(n int) bool {
	if a.held.Add(int64(n)) > a.limit {
		a.release(n)
		return false
	}
	return true
}

func (a *answerRoom) release(n int) {
	a.held.Add(-int64(n))
}

// buffer reads a whole answer. The caller releases the room of the size returned, also after an error.
func (g *Gateway) buffer(stream *httpcall.Stream) (resp *fasthttp.Response, size int, err error) {
	resp = &fasthttp.Response{}
	g.platform.Wire.Forward(&stream.Response.Header, &resp.Header)
	if stream.Response.SkipBody {
		// The length is that of the body which a GET would get.
		resp.SkipBody = true
		resp.Header.SetContentLength(stream.Response.Header.ContentLength())
		return resp, 0, nil
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			more := max(size, firstAnswerRoom)
			if !g.answers.take(more) {
				return nil, size, errNoRoom
			}
			size += more
			body = append(make([]byte, 0, size), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			resp.SetBodyRaw(body)
			return resp, size, nil
		case err != nil:
			return nil, size, err
		case len(body) > maxAnswerBytes:
			return nil, size, fasthttp.ErrBodyTooLarge
		}
	}
}
