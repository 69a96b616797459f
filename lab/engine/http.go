package engine

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/xxh3"

	"github.com/corneldeal/corneldeal/lab/cachestore"
	"github.com/corneldeal/corneldeal/lab/standin"
	"github.com/corneldeal/corneldeal/pkg/route"
)

const (
	// disconnectCheck is the time between two looks at a caller's connection while no token is ready.
	disconnectCheck = 20 * time.Millisecond
	// maxEventWait bounds one long poll for cache events.
	maxEventWait = 60 * time.Second
	// maxEventsPerRead bounds the events of one answer.
	maxEventsPerRead = 10000
	// storeTimeout bounds one call to the cache store.
	storeTimeout = 10 * time.Second
	// otherAttempt is echoed by the fault cross.
	otherAttempt = "another-attempt"
)

var finishLength = "length"

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok")
	case "/faults":
		if e.faults.Serve(ctx) {
			e.crashIfAsked()
		}
	case "/stats":
		standin.Answer(ctx, fasthttp.StatusOK, e.Stats())
	case "/v1/state/exact":
		standin.Answer(ctx, fasthttp.StatusOK, e.ExactState())
	default:
		e.handleAPI(ctx)
	}
}

func (e *Engine) handleAPI(ctx *fasthttp.RequestCtx) {
	f := e.faults.Get()
	if f.Freeze {
		e.faults.Until(e.stop, func(now Faults) bool { return now.Freeze })
		standin.CloseUnanswered(ctx)
		return
	}
	if f.Down {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "unavailable", "the engine is down")
		return
	}
	switch string(ctx.Path()) {
	case "/v1/chat/completions":
		e.handleChat(ctx, f)
	case "/v1/models":
		e.handleModels(ctx)
	case "/v1/state":
		standin.Answer(ctx, fasthttp.StatusOK, e.State())
	case "/v1/cache/events":
		e.handleEvents(ctx)
	case "/v1/orders":
		e.handleOrder(ctx, f)
	case "/v1/cache/export":
		e.handleTransfer(ctx, e.export)
	case "/v1/cache/import":
		e.handleTransfer(ctx, e.importBlocks)
	default:
		refuse(ctx, fasthttp.StatusNotFound, "not_found", "no such path")
	}
}

func refuse(ctx *fasthttp.RequestCtx, status int, code, message string) {
	standin.Answer(ctx, status, ErrorBody{Error: ErrorDetail{Message: message, Type: "engine_error", Code: code}})
}

// refuseErr maps an error of the engine to an answer.
func refuseErr(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, errNoModel):
		refuse(ctx, fasthttp.StatusNotFound, "model_not_found", err.Error())
	case errors.Is(err, errNoVersion):
		refuse(ctx, fasthttp.StatusConflict, "version_not_loaded", err.Error())
	case errors.Is(err, errNoAdapter):
		refuse(ctx, fasthttp.StatusConflict, "adapter_not_loaded", err.Error())
	case errors.Is(err, errOldFence):
		refuse(ctx, fasthttp.StatusConflict, "old_fence", err.Error())
	case errors.Is(err, errQueueFull):
		refuse(ctx, fasthttp.StatusServiceUnavailable, "overloaded", err.Error())
	default:
		refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
	}
}

// wireRequest reads messages whose content is a string or any other JSON.
type wireRequest struct {
	ChatRequest
	Messages []wireMessage `json:"messages"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat reads a request. Content that is not a plain string counts with its raw JSON, as in the router.
func parseChat(body []byte) (*ChatRequest, error) {
	var w wireRequest
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	req := w.ChatRequest
	for _, m := range w.Messages {
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content)
		}
		req.Messages = append(req.Messages, route.Message{Role: m.Role, Content: text})
	}
	return &req, nil
}

// reply writes the answer of one accepted request.
type reply struct {
	e     *Engine
	q     *sequence
	conn  net.Conn
	id    string
	model string
	f     Faults
	// sent counts the tokens given to the caller.
	sent int
}

func (e *Engine) handleChat(ctx *fasthttp.RequestCtx, f Faults) {
	e.tally.Seen(&ctx.Request.Header)
	e.tally.Ran(fmt.Sprintf("body:%016x", xxh3.Hash(ctx.PostBody())))
	attempt := string(ctx.Request.Header.Peek(HeaderAttempt))
	if f.Cross {
		attempt = otherAttempt
	}
	if attempt != "" {
		ctx.Response.Header.Set(HeaderAttempt, attempt)
	}
	req, err := parseChat(ctx.PostBody())
	if err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if req.ResumeFrom < 0 || len(req.Messages) == 0 {
		refuse(ctx, fasthttp.StatusBadRequest, "bad_request", "messages must not be empty, resume_from not negative")
		return
	}
	q, incarnation, err := e.submit(req)
	if err != nil {
		refuseErr(ctx, err)
		return
	}
	ctx.Response.Header.Set(HeaderIncarnation, incarnation)
	ctx.Response.Header.Set(HeaderWeightVersion, q.owner.Version)
	r := &reply{e: e, q: q, conn: ctx.Conn(), id: "chatcmpl-" + uuid.NewString(), model: req.Model, f: f}
	if req.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStreamWriter(r.stream)
		return
	}
	r.whole(ctx)
}

// next returns the next token index. ok is false after the last token; alive is false when the engine crashed or
// the caller went away.
func (r *reply) next() (index int, ok, alive bool) {
	t := time.NewTicker(disconnectCheck)
	defer t.Stop()
	for {
		select {
		case index, ok = <-r.q.tokens:
			return index, ok, true
		case <-r.q.aborted:
			return 0, false, false
		case <-r.e.stop:
			return 0, false, false
		case <-t.C:
			if standin.Disconnected(r.conn) {
				r.cancel()
				return 0, false, false
			}
		}
	}
}

// cancel frees the request's place in the batch.
func (r *reply) cancel() {
	r.q.cancelled.Store(true)
	r.e.wakeUp()
}

// stream writes server-sent events.
func (r *reply) stream(w *bufio.Writer) {
	for {
		index, ok, alive := r.next()
		if !alive {
			_ = r.conn.Close()
			return
		}
		if !ok {
			break
		}
		if !r.writeToken(w, index) {
			r.cancel()
			return
		}
		if r.f.CutAfterTokens > 0 && r.sent >= r.f.CutAfterTokens {
			r.cancel()
			_ = r.conn.Close()
			return
		}
	}
	if r.sent == 0 {
		end := r.chunk(0, "", true)
		end.TokenIndex = nil
		r.writeChunk(w, end)
	}
	_, _ = w.WriteString("data: [DONE]\n\n")
	_ = w.Flush()
}

// writeToken writes one chunk. It returns false when the caller is gone.
func (r *reply) writeToken(w *bufio.Writer, index int) bool {
	r.sent++
	if index > 0 && index == r.f.SkipToken {
		return true
	}
	last := index == r.q.end-1
	c := r.chunk(index, Token(r.q.prompt, r.q.owner.Version, index), last)
	if index > 0 && index == r.f.RepeatToken {
		r.writeChunk(w, c)
	}
	return r.writeChunk(w, c)
}

func (r *reply) chunk(index int, text string, last bool) Chunk {
	c := Chunk{
		ID:         r.id,
		Object:     "chat.completion.chunk",
		Created:    time.Now().Unix(),
		Model:      r.model,
		Choices:    []ChunkChoice{{Delta: Delta{Content: text}}},
		TokenIndex: &index,
	}
	if index == 0 {
		c.Choices[0].Delta.Role = "assistant"
	}
	if last {
		u := r.usage()
		c.Usage = &u
		c.Choices[0].FinishReason = &finishLength
	}
	return c
}

func (r *reply) usage() Usage {
	prompt := tokensOf(len(r.q.prompt))
	return Usage{
		PromptTokens:        prompt,
		CompletionTokens:    r.sent,
		TotalTokens:         prompt + r.sent,
		PromptTokensDetails: PromptDetails{CachedTokens: int(r.q.cached.Load())},
	}
}

func (r *reply) writeChunk(w *bufio.Writer, c Chunk) bool {
	data, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}

// whole answers with one JSON object.
func (r *reply) whole(ctx *fasthttp.RequestCtx) {
	var text strings.Builder
	for {
		index, ok, alive := r.next()
		if !alive {
			standin.CloseUnanswered(ctx)
			return
		}
		if !ok {
			break
		}
		r.sent++
		text.WriteString(Token(r.q.prompt, r.q.owner.Version, index))
	}
	standin.Answer(ctx, fasthttp.StatusOK, Completion{
		ID:      r.id,
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   r.model,
		Choices: []CompletionChoice{{
			Message:      CompletionMessage{Role: "assistant", Content: text.String()},
			FinishReason: finishLength,
		}},
		Usage: r.usage(),
	})
}

// ModelList is the answer of GET /v1/models.
type ModelList struct {
	Object string       `json:"object"`
	Data   []ModelEntry `json:"data"`
}

// ModelEntry is one loaded version of a model.
type ModelEntry struct {
	ID       string   `json:"id"`
	Object   string   `json:"object"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

func (e *Engine) handleModels(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	loaded := e.loaded
	e.mu.Unlock()
	list := ModelList{Object: "list", Data: []ModelEntry{}}
	for _, l := range loaded {
		list.Data = append(list.Data, ModelEntry{ID: l.Model, Object: "model", Version: l.Version, Adapters: l.Adapters})
	}
	standin.Answer(ctx, fasthttp.StatusOK, list)
}

func (e *Engine) handleEvents(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	after := int64(args.GetUintOrZero("after"))
	limit := args.GetUintOrZero("max")
	if limit <= 0 || limit > maxEventsPerRead {
		limit = maxEventsPerRead
	}
	wait := min(standin.Millis(int64(args.GetUintOrZero("wait_ms"))), maxEventWait)
	delay := func() time.Duration { return standin.Millis(e.faults.Get().EventDelayMs) }
	standin.Answer(ctx, fasthttp.StatusOK, e.events.poll(after, limit, wait, delay, e.stop))
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx, f Faults) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !e.pause(standin.Millis(f.OrderDelayMs)) {
		standin.CloseUnanswered(ctx)
		return
	}
	if err := e.Order(o); err != nil {
		refuseErr(ctx, err)
		return
	}
	standin.Answer(ctx, fasthttp.StatusOK, OrderReply{Accepted: true, Fence: o.Fence})
}

func (e *Engine) handleTransfer(ctx *fasthttp.RequestCtx, move func(TransferRequest) ([]uint64, error)) {
	var req TransferRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil || req.Store == "" || req.CacheSalt == "" {
		refuse(ctx, fasthttp.StatusBadRequest, "bad_request", "body must hold cache_salt, hashes and store")
		return
	}
	moved, err := move(req)
	if err != nil {
		refuse(ctx, fasthttp.StatusBadGateway, "store_failed", err.Error())
		return
	}
	standin.Answer(ctx, fasthttp.StatusOK, TransferReply{Hashes: moved})
}

func (e *Engine) export(req TransferRequest) ([]uint64, error) {
	held := e.held(req.Hashes)
	_, err := callStore(req.Store, "put", cachestore.Blocks{Seed: req.CacheSalt, Hashes: held})
	return held, err
}

// importBlocks reads blocks from the store and stores them if the answer carries the seed asked for.
func (e *Engine) importBlocks(req TransferRequest) ([]uint64, error) {
	generation := e.currentGeneration()
	got, err := callStore(req.Store, "get", cachestore.Blocks{Seed: req.CacheSalt, Hashes: req.Hashes})
	if err != nil {
		return nil, err
	}
	if got.Seed != req.CacheSalt {
		return nil, errors.New("the store answered with another seed")
	}
	if !e.pause(e.importTime(len(got.Hashes))) {
		return nil, errors.New("the engine is closing")
	}
	return e.imported(got.Hashes, Loaded{Model: req.Model, Version: req.Version}, generation), nil
}

func callStore(addr, verb string, b cachestore.Blocks) (cachestore.Blocks, error) {
	var out cachestore.Blocks
	body, err := json.Marshal(b)
	if err != nil {
		return out, err
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/v1/blocks/" + verb)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, storeTimeout); err != nil {
		return out, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return out, fmt.Errorf("the store answered %d", resp.StatusCode())
	}
	return out, json.Unmarshal(resp.Body(), &out)
}
