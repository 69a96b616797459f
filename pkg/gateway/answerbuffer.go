package gateway

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

const (
	// maxAnswerBytes limits an answer that is buffered before it is forwarded.
	maxAnswerBytes = 8 << 20
	// firstAnswerBytes is the initial buffer size of an answer. The size doubles while more is read.
	firstAnswerBytes = 2 << 10
	// answerMemoryFraction is the part of the VM's memory for buffered answers.
	answerMemoryFraction = 0.15
	// largeAnswerBytes is the size from which an answer may use only largeAnswerFraction of that memory, so that answers
	// without end leave room for the usual ones, which are small.
	largeAnswerBytes    = 64 << 10
	largeAnswerFraction = 0.5
)

// errNoAnswerMemory means that the buffered answers leave no memory for another.
var errNoAnswerMemory = errors.New("gateway: no memory for the answer")

// memoryBudget limits the memory of all buffered answers, since an endpoint may send without end on several connections
// at once.
type memoryBudget struct {
	limitBytes int64
	heldBytes  atomic.Int64
}

// reserve reserves memory. It reports false, and reserves nothing, if that would exceed the limit.
func (a *memoryBudget) reserve(bytes int) bool {
	if a.heldBytes.Add(int64(bytes)) > a.limitBytes {
		a.release(bytes)
		return false
	}
	return true
}

// reserveLarge is like reserve for more memory of an answer of largeAnswerBytes or more.
func (a *memoryBudget) reserveLarge(bytes int) bool {
	if float64(a.heldBytes.Load()+int64(bytes)) > largeAnswerFraction*float64(a.limitBytes) {
		return false
	}
	return a.reserve(bytes)
}

// grow reserves more memory for an answer that then has the given size.
func (a *memoryBudget) grow(more, size int) bool {
	if size >= largeAnswerBytes {
		return a.reserveLarge(more)
	}
	return a.reserve(more)
}

// release returns reserved memory to the budget.
func (a *memoryBudget) release(bytes int) {
	a.heldBytes.Add(-int64(bytes))
}

// bufferAnswer reads a whole answer. The caller releases the returned size from answerMemory, also after an error.
func (g *Gateway) bufferAnswer(stream *httpcall.Stream) (resp *fasthttp.Response, size int, err error) {
	resp = &fasthttp.Response{}
	g.platform.Wire.CopyResponseHeaders(&stream.Response.Header, &resp.Header)
	if stream.Response.SkipBody {
		// The length is that of the body a GET request would receive.
		resp.SkipBody = true
		resp.Header.SetContentLength(stream.Response.Header.ContentLength())
		return resp, 0, nil
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			more := max(size, firstAnswerBytes)
			if !g.answerMemory.grow(more, size+more) {
				return nil, size, errNoAnswerMemory
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
