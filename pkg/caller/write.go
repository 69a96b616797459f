package caller

import (
	"bufio"
	"encoding/json"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/engine"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/service"
)

const (
	headerRunState  = "Corneldeal-Run-State"
	headerRequestID = "X-Request-Id"
)

// writeRefusal replaces the response with a refusal.
func writeRefusal(ctx *fasthttp.RequestCtx, ref *refusal.Error) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(ref.Status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerRunState, string(ref.RunState))
	if ref.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(ref.RetryAfter))
	}
	ctx.SetBody(ref.Body())
}

// retryAfter returns d as a Retry-After value: seconds, rounded up, at least one.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

// writeJSON sets the JSON encoding of value as the body. It panics if value cannot be encoded.
func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// writeService writes the response of a plain service.
func writeService(ctx *fasthttp.RequestCtx, resp service.Response) {
	ctx.SetStatusCode(resp.Status)
	for _, h := range resp.Headers {
		ctx.Response.Header.Set(h.Name, h.Value)
	}
	ctx.Response.Header.Set(headerRunState, string(refusal.Run))
	ctx.SetBody(resp.Body)
}

// chunkBody is the data of one server-sent event of a chat completion.
type chunkBody struct {
	ID         string          `json:"id"`
	Object     string          `json:"object"`
	Created    int64           `json:"created"`
	Model      string          `json:"model"`
	Choices    json.RawMessage `json:"choices"`
	TokenIndex *int64          `json:"token_index,omitempty"`
	Usage      *engine.Usage   `json:"usage,omitempty"`
}

// eventWriter writes server-sent events and flushes each one.
type eventWriter struct {
	w *bufio.Writer
	// conn is the caller's connection, and timeout the longest time to write one event to it.
	conn    net.Conn
	timeout time.Duration
}

// write writes and flushes one event with the given data.
func (e eventWriter) write(data []byte) error {
	// The server sets a deadline for the whole answer, which may take longer to generate.
	if err := e.conn.SetWriteDeadline(time.Now().Add(e.timeout)); err != nil {
		return err
	}
	if _, err := e.w.WriteString("data: "); err != nil {
		return err
	}
	if _, err := e.w.Write(data); err != nil {
		return err
	}
	if _, err := e.w.WriteString("\n\n"); err != nil {
		return err
	}
	return e.w.Flush()
}

// chunk writes body as one event.
func (e eventWriter) chunk(body chunkBody) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return e.write(data)
}
