// Package caller implements the HTTP interface for callers: chat completions, models, plain services and health checks.
package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/corneldeal/corneldeal/pkg/engine"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/service"
	"github.com/corneldeal/corneldeal/pkg/settings"
)

const (
	// idleTimeout is the time after which an idle keep-alive connection is closed.
	idleTimeout = 90 * time.Second
	// readTimeout bounds the time to read a whole request.
	readTimeout = 30 * time.Second
	// writeTimeout bounds the writing of one event of a stream, or of another answer, to a caller that reads slowly.
	writeTimeout = 60 * time.Second
)

// Event is one part of a streamed answer.
type Event struct {
	// TokenIndex is the position of the token in the answer, or -1 for an event without one.
	TokenIndex int64
	// Choices is the JSON array of choices with their deltas, or empty.
	Choices json.RawMessage
	// Usage is set in the last event before the end.
	Usage *engine.Usage
}

// Answer is a chat answer in progress. Events is closed after the last event.
type Answer struct {
	// ID identifies the request in logs and in the timeline.
	ID string
	// Created is the time of the first token.
	Created time.Time
	Events  <-chan Event
	// Err returns why the answer is incomplete, or nil if it is complete. It must be called only after Events is closed.
	Err func() *refusal.Error
	// Cancel stops the answer. It may be called more than once.
	Cancel context.CancelFunc
}

// Backend admits and executes requests.
type Backend interface {
	// Chat starts a chat completion. It returns once the first event is available or the request is refused.
	Chat(r ChatRequest) (*Answer, *refusal.Error)
	// Service calls a plain service and returns its response.
	Service(r ServiceRequest) (service.Response, *refusal.Error)
	// Models returns the names of the models that key may use.
	Models(key string) ([]string, *refusal.Error)
	// Status returns the status of the VM.
	Status() Status
	// Ready reports whether the load balancer may send requests to the VM.
	Ready() bool
}

// Server is the HTTP server for callers.
type Server struct {
	backend Backend
	http    *fasthttp.Server
}

// NewServer returns a server for backend with the size limits of s.
func NewServer(backend Backend, s settings.Settings) *Server {
	server := &Server{backend: backend}
	server.http = &fasthttp.Server{
		Name:                          "corneldeal",
		Handler:                       server.handle,
		ErrorHandler:                  server.malformed,
		MaxRequestBodySize:            s.MaxBodyBytes,
		ReadBufferSize:                s.MaxHeaderBytes,
		IdleTimeout:                   idleTimeout,
		ReadTimeout:                   readTimeout,
		WriteTimeout:                  writeTimeout,
		NoDefaultServerHeader:         true,
		DisableHeaderNamesNormalizing: false,
		CloseOnShutdown:               true,
	}
	return server
}

// Serve accepts connections from ln until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	return s.http.Serve(ln)
}

// Shutdown stops accepting connections and waits until all requests are answered or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

// malformed answers a request that fasthttp could not read.
func (s *Server) malformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		writeRefusal(ctx, refusal.New(fasthttp.StatusRequestEntityTooLarge, refusal.CodeTooLarge, "the body is larger than this router accepts"))
	case errors.As(err, &small):
		writeRefusal(ctx, refusal.New(fasthttp.StatusRequestHeaderFieldsTooLarge, refusal.CodeTooLarge, "the headers are larger than this router accepts"))
	default:
		writeRefusal(ctx, badRequest("the request could not be read"))
	}
	ctx.SetConnectionClose()
}

// handle routes a request by its path. Paths that the router does not serve belong to plain services.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/chat/completions":
		s.chat(ctx)
	case "/v1/models":
		s.models(ctx)
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.ready(ctx)
	case "/statusz":
		writeJSON(ctx, s.backend.Status())
	case "/debug/vars":
		expvarhandler.ExpvarHandler(ctx)
	default:
		s.service(ctx)
	}
}

// ready answers GET /readyz.
func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if !s.backend.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// modelList is the body of the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is one entry of a modelList.
type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models answers GET /v1/models.
func (s *Server) models(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		writeRefusal(ctx, refusal.New(fasthttp.StatusMethodNotAllowed, refusal.CodeBadRequest, "use GET"))
		return
	}
	names, ref := s.backend.Models(bearerKey(ctx))
	if ref != nil {
		writeRefusal(ctx, ref)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range names {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "corneldeal"})
	}
	writeJSON(ctx, list)
}

// service forwards a call to a plain service.
func (s *Server) service(ctx *fasthttp.RequestCtx) {
	r, ref := parseService(ctx)
	if ref != nil {
		writeRefusal(ctx, ref)
		return
	}
	if ref := checkKeyNotForwarded(r.Key, forwardedTexts(r)...); ref != nil {
		writeRefusal(ctx, ref)
		return
	}
	resp, ref := s.backend.Service(r)
	if ref != nil {
		writeRefusal(ctx, ref)
		return
	}
	writeService(ctx, resp)
}

// forwardedTexts returns all parts of the request that are forwarded to an endpoint.
func forwardedTexts(r ServiceRequest) [][]byte {
	texts := [][]byte{[]byte(r.URI), []byte(r.Path), r.Body}
	if query, err := url.QueryUnescape(r.URI); err == nil {
		texts = append(texts, []byte(query))
	}
	for _, h := range r.Headers {
		texts = append(texts, []byte(h.Value))
	}
	return texts
}

// chat answers POST /v1/chat/completions.
func (s *Server) chat(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		writeRefusal(ctx, refusal.New(fasthttp.StatusMethodNotAllowed, refusal.CodeBadRequest, "use POST"))
		return
	}
	r, ref := parseChat(ctx)
	if ref != nil {
		writeRefusal(ctx, ref)
		return
	}
	if ref := checkKeyNotForwarded(r.Key, r.Body); ref != nil {
		writeRefusal(ctx, ref)
		return
	}
	answer, ref := s.backend.Chat(r)
	if ref != nil {
		writeRefusal(ctx, ref)
		return
	}
	ctx.Response.Header.Set(headerRequestID, answer.ID)
	if r.Stream {
		s.writeStream(ctx, r, answer)
		return
	}
	writeCompletion(ctx, r, answer)
}

// writeStream writes the answer as server-sent events.
func (s *Server) writeStream(ctx *fasthttp.RequestCtx, r ChatRequest, answer *Answer) {
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer answer.Cancel()
		out := eventWriter{w: w, conn: conn, timeout: s.http.WriteTimeout}
		for event := range answer.Events {
			if writeEvent(out, r, answer, event) != nil {
				return
			}
		}
		if ref := answer.Err(); ref != nil {
			_ = out.write(ref.Body())
			return
		}
		_ = out.write([]byte("[DONE]"))
	})
}

// writeEvent writes the chunk of one event, and a usage chunk if the event has usage and the caller requested it.
func writeEvent(out eventWriter, r ChatRequest, answer *Answer, event Event) error {
	body := chunkBody{
		ID:      "chatcmpl-" + answer.ID,
		Object:  "chat.completion.chunk",
		Created: answer.Created.Unix(),
		Model:   r.Model,
		Choices: event.Choices,
	}
	if event.TokenIndex >= 0 {
		body.TokenIndex = &event.TokenIndex
	}
	if len(event.Choices) > 0 {
		if err := out.chunk(body); err != nil {
			return err
		}
	}
	if event.Usage == nil || !r.IncludeUsage {
		return nil
	}
	body.Choices = json.RawMessage(`[]`)
	body.TokenIndex = nil
	body.Usage = event.Usage
	return out.chunk(body)
}

// completionBody is the body of a chat completion that is not streamed.
type completionBody struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []map[string]any `json:"choices"`
	Usage   *engine.Usage    `json:"usage,omitempty"`
}

// writeCompletion waits for the end of the answer and writes it as one JSON object.
func writeCompletion(ctx *fasthttp.RequestCtx, r ChatRequest, answer *Answer) {
	defer answer.Cancel()
	whole := newChoiceMerger()
	var usage *engine.Usage
	for event := range answer.Events {
		if err := whole.add(event.Choices); err != nil {
			writeRefusal(ctx, refusal.New(fasthttp.StatusBadGateway, refusal.CodeEndpointFailed, "the engine sent a malformed answer").WithRunState(refusal.Run))
			return
		}
		if event.Usage != nil {
			usage = event.Usage
		}
	}
	if ref := answer.Err(); ref != nil {
		writeRefusal(ctx, ref)
		return
	}
	writeJSON(ctx, completionBody{
		ID:      "chatcmpl-" + answer.ID,
		Object:  "chat.completion",
		Created: answer.Created.Unix(),
		Model:   r.Model,
		Choices: whole.list(),
		Usage:   usage,
	})
}
