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
	// disconnectPollInterval is the time between two checks of a client's connection while no token is ready.
	disconnectPollInterval = 20 * time.Millisecond
	// maxEventWait limits one long poll for cache events.
	maxEventWait = 60 * time.Second
	// maxEventsPerRead limits the number of events in one response.
	maxEventsPerRead = 10000
	// storeTimeout limits one call to the cache store.
	storeTimeout = 10 * time.Second
	// wrongAttemptID is returned while the fault switch WrongAttemptID is on.
	wrongAttemptID = "another-attempt"
)

// finishReasonLength is a variable because chunks contain a pointer to it.
var finishReasonLength = "length"

// handle serves the control paths, which ignore the faults Down and Freeze, and passes other paths to handleAPI.
func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok")
	case "/faults":
		if e.faults.Serve(ctx) {
			e.crashIfRequested()
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
		writeError(ctx, fasthttp.StatusServiceUnavailable, "unavailable", "the engine is down")
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
		writeError(ctx, fasthttp.StatusNotFound, "not_found", "no such path")
	}
}

// writeError answers with an error body.
func writeError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	standin.Answer(ctx, status, ErrorBody{Error: ErrorDetail{Message: message, Type: "engine_error", Code: code}})
}

// writeEngineError answers with the status and code of an engine error.
func writeEngineError(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, errModelNotLoaded):
		writeError(ctx, fasthttp.StatusNotFound, "model_not_found", err.Error())
	case errors.Is(err, errVersionNotLoaded):
		writeError(ctx, fasthttp.StatusConflict, "version_not_loaded", err.Error())
	case errors.Is(err, errAdapterNotLoaded):
		writeError(ctx, fasthttp.StatusConflict, "adapter_not_loaded", err.Error())
	case errors.Is(err, errStaleFence):
		writeError(ctx, fasthttp.StatusConflict, "old_fence", err.Error())
	case errors.Is(err, errQueueFull):
		writeError(ctx, fasthttp.StatusServiceUnavailable, "overloaded", err.Error())
	default:
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
	}
}

// wireRequest is a ChatRequest whose message content may be any JSON.
type wireRequest struct {
	ChatRequest
	Messages []wireMessage `json:"messages"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat decodes a chat request. Content that is not a plain string is represented by its raw JSON, as in the
// router.
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

// chatReply writes the response of one accepted request.
type chatReply struct {
	engine *Engine
	seq    *sequence
	conn   net.Conn
	id     string
	model  string
	faults Faults
	// sent is the number of tokens sent to the client, including a token that SkipToken omits.
	sent int
}

func (e *Engine) handleChat(ctx *fasthttp.RequestCtx, f Faults) {
	e.tally.Seen(&ctx.Request.Header)
	e.tally.Ran(fmt.Sprintf("body:%016x", xxh3.Hash(ctx.PostBody())))
	attempt := string(ctx.Request.Header.Peek(HeaderAttempt))
	if f.WrongAttemptID {
		attempt = wrongAttemptID
	}
	if attempt != "" {
		ctx.Response.Header.Set(HeaderAttempt, attempt)
	}
	req, err := parseChat(ctx.PostBody())
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if req.ResumeFrom < 0 || len(req.Messages) == 0 {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request", "messages must not be empty, resume_from not negative")
		return
	}
	q, incarnation, err := e.submit(req)
	if err != nil {
		writeEngineError(ctx, err)
		return
	}
	ctx.Response.Header.Set(HeaderIncarnation, incarnation)
	ctx.Response.Header.Set(HeaderWeightVersion, q.weights.Version)
	r := &chatReply{engine: e, seq: q, conn: ctx.Conn(), id: "chatcmpl-" + uuid.NewString(), model: req.Model, faults: f}
	if req.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStreamWriter(r.writeStream)
		return
	}
	r.writeCompletion(ctx)
}

// next returns the next token index. ok is false after the last token; alive is false if the engine crashed or
// closed, or the client disconnected.
func (r *chatReply) next() (index int, ok, alive bool) {
	t := time.NewTicker(disconnectPollInterval)
	defer t.Stop()
	for {
		select {
		case index, ok = <-r.seq.tokens:
			return index, ok, true
		case <-r.seq.aborted:
			return 0, false, false
		case <-r.engine.stop:
			return 0, false, false
		case <-t.C:
			if standin.Disconnected(r.conn) {
				r.cancel()
				return 0, false, false
			}
		}
	}
}

// cancel removes the request from the batch or from the waiting queue.
func (r *chatReply) cancel() {
	r.seq.cancelled.Store(true)
	r.engine.wakeUp()
}

// writeStream writes the answer as server-sent events.
func (r *chatReply) writeStream(w *bufio.Writer) {
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
		if r.faults.CutAfterTokens > 0 && r.sent >= r.faults.CutAfterTokens {
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

// writeToken writes the chunk of one token and reports false if the client has disconnected.
func (r *chatReply) writeToken(w *bufio.Writer, index int) bool {
	r.sent++
	if index > 0 && index == r.faults.SkipToken {
		return true
	}
	last := index == r.seq.outputLen-1
	c := r.chunk(index, Token(r.seq.prompt, r.seq.weights.Version, index), last)
	if index > 0 && index == r.faults.RepeatToken {
		r.writeChunk(w, c)
	}
	return r.writeChunk(w, c)
}

// chunk returns the chunk of one token; the last one contains the usage.
func (r *chatReply) chunk(index int, text string, last bool) Chunk {
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
		c.Choices[0].FinishReason = &finishReasonLength
	}
	return c
}

func (r *chatReply) usage() Usage {
	prompt := tokenCount(len(r.seq.prompt))
	return Usage{
		PromptTokens:        prompt,
		CompletionTokens:    r.sent,
		TotalTokens:         prompt + r.sent,
		PromptTokensDetails: PromptDetails{CachedTokens: int(r.seq.cached.Load())},
	}
}

func (r *chatReply) writeChunk(w *bufio.Writer, c Chunk) bool {
	data, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() == nil
}

// writeCompletion answers with one JSON object.
func (r *chatReply) writeCompletion(ctx *fasthttp.RequestCtx) {
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
		text.WriteString(Token(r.seq.prompt, r.seq.weights.Version, index))
	}
	standin.Answer(ctx, fasthttp.StatusOK, Completion{
		ID:      r.id,
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   r.model,
		Choices: []CompletionChoice{{
			Message:      CompletionMessage{Role: "assistant", Content: text.String()},
			FinishReason: finishReasonLength,
		}},
		Usage: r.usage(),
	})
}

// ModelList is the response body of GET /v1/models.
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
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !e.pause(standin.Millis(f.OrderDelayMs)) {
		standin.CloseUnanswered(ctx)
		return
	}
	if err := e.ApplyOrder(o); err != nil {
		writeEngineError(ctx, err)
		return
	}
	standin.Answer(ctx, fasthttp.StatusOK, OrderReply{Accepted: true, Fence: o.Fence})
}

func (e *Engine) handleTransfer(ctx *fasthttp.RequestCtx, move func(TransferRequest) ([]uint64, error)) {
	var req TransferRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil || req.Store == "" || req.CacheSalt == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "bad_request", "body must hold cache_salt, hashes and store")
		return
	}
	moved, err := move(req)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadGateway, "store_failed", err.Error())
		return
	}
	standin.Answer(ctx, fasthttp.StatusOK, TransferReply{Hashes: moved})
}

// export sends the leading cached blocks to the store and returns their hashes.
func (e *Engine) export(req TransferRequest) ([]uint64, error) {
	cachedPrefix := e.cachedPrefix(req.Hashes)
	_, err := callStore(req.Store, "put", cachestore.Blocks{Seed: req.CacheSalt, Hashes: cachedPrefix})
	return cachedPrefix, err
}

// importBlocks reads blocks from the store and caches them if the response has the requested seed.
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
	return e.storeImported(got.Hashes, LoadedModel{Model: req.Model, Version: req.Version}, generation), nil
}

// callStore sends the blocks to the cache store's endpoint for the verb, put or get, and returns its response.
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
