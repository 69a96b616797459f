package caller

import (
	"bufio"
	"encoding/json"
	"math"
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

// retryAfter returns whole seconds, at least one.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func writeService(ctx *fasthttp.RequestCtx, resp service.Response) {
	ctx.SetStatusCode(resp.Status)
	for _, h := range resp.Headers {
		ctx.Response.Header.Set(h.Name, h.Value)
	}
	ctx.Response.Header.Set(headerRunState, string(refusal.Run))
	ctx.SetBody(resp.Body)
}

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
}

func (e eventWriter) write(data []byte) error {
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

func (e eventWriter) chunk(body chunkBody) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return e.write(data)
}
