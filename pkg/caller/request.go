package caller

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/route"
	"github.com/corneldeal/corneldeal/pkg/service"
)

const (
	headerDeadline    = "Corneldeal-Deadline-Ms"
	headerIdempotency = "Idempotency-Key"
	bearerPrefix      = "Bearer "
	// maxIdempotencyKeyBytes bounds the length of an idempotency key.
	maxIdempotencyKeyBytes = 256
	// maxDeadline bounds the deadline that a caller may request.
	maxDeadline = 10 * time.Minute
)

// routerFields are the request fields that only the router may set. A caller that set them could select the cache salt
// of another workspace or another weight version.
var routerFields = []string{"cache_salt", "version", "resume_from", "priority", "stream", "stream_options"}

// ChatRequest is one chat completion request.
type ChatRequest struct {
	// Key is the caller's API key, or empty.
	Key string
	// Model is the model name that the caller sent.
	Model string
	// Messages are the messages of the prompt.
	Messages []route.Message
	// Fields are the fields of the body that may be forwarded, without those that only the router may set.
	Fields map[string]json.RawMessage
	// Stream requests server-sent events.
	Stream bool
	// IncludeUsage requests a usage event at the end of a stream.
	IncludeUsage bool
	// MaxTokens is the largest number of output tokens, or zero for no limit from the caller.
	MaxTokens int64
	// FirstTokenTimeout bounds the time to the first token. Zero means that the caller set no bound.
	FirstTokenTimeout time.Duration
	// Body is the raw body, from which the request fingerprint is computed.
	Body []byte
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	// Key is the caller's API key, or empty.
	Key    string
	Method string
	// Path is the decoded path without the query.
	Path string
	// URI is the path and query as the caller sent them.
	URI            string
	Headers        []service.Header
	Body           []byte
	IdempotencyKey string
	// Timeout bounds the time to the response. Zero means that the caller set no bound.
	Timeout time.Duration
}

// chatBody contains the fields of a chat completion body that the router reads.
type chatBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int64         `json:"max_tokens"`
	MaxCompletionTokens int64         `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// chatMessage is one message of a chat completion body.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat parses and validates a chat completion request. The result does not refer to fasthttp's buffers, which are
// reused after the request.
func parseChat(ctx *fasthttp.RequestCtx) (ChatRequest, *refusal.Error) {
	body := bytes.Clone(ctx.PostBody())
	var parsed chatBody
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return ChatRequest{}, badRequest("the body is not a JSON object: %v", err)
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return ChatRequest{}, badRequest("the body is not a chat completion request: %v", err)
	}
	if parsed.Model == "" {
		return ChatRequest{}, badRequest("the field model is missing")
	}
	if len(parsed.Messages) == 0 {
		return ChatRequest{}, badRequest("the field messages is missing or empty")
	}
	if parsed.MaxTokens < 0 || parsed.MaxCompletionTokens < 0 {
		return ChatRequest{}, badRequest("max_tokens must not be negative")
	}
	wait, ref := parseDeadline(ctx)
	if ref != nil {
		return ChatRequest{}, ref
	}
	for _, name := range routerFields {
		delete(fields, name)
	}
	return ChatRequest{
		Key:               bearerKey(ctx),
		Model:             parsed.Model,
		Messages:          promptMessages(parsed.Messages),
		Fields:            fields,
		Stream:            parsed.Stream,
		IncludeUsage:      parsed.StreamOptions.IncludeUsage,
		MaxTokens:         max(parsed.MaxTokens, parsed.MaxCompletionTokens),
		FirstTokenTimeout: wait,
		Body:              body,
	}, nil
}

// promptMessages returns the messages with their content as text. Content that is not a JSON string is represented by
// its raw JSON.
func promptMessages(messages []chatMessage) []route.Message {
	out := make([]route.Message, 0, len(messages))
	for _, m := range messages {
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content)
		}
		out = append(out, route.Message{Role: m.Role, Content: text})
	}
	return out
}

// parseService parses and validates a call of a plain service. The result does not refer to fasthttp's buffers.
func parseService(ctx *fasthttp.RequestCtx) (ServiceRequest, *refusal.Error) {
	wait, ref := parseDeadline(ctx)
	if ref != nil {
		return ServiceRequest{}, ref
	}
	key := string(ctx.Request.Header.Peek(headerIdempotency))
	if len(key) > maxIdempotencyKeyBytes {
		return ServiceRequest{}, badRequest("the idempotency key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	path, ref := decodedPath(ctx)
	if ref != nil {
		return ServiceRequest{}, ref
	}
	return ServiceRequest{
		Key:            bearerKey(ctx),
		Method:         string(ctx.Method()),
		Path:           path,
		URI:            string(ctx.RequestURI()),
		Headers:        service.ForwardHeaders(ctx.Request.Header.Peek),
		Body:           bytes.Clone(ctx.PostBody()),
		IdempotencyKey: key,
		Timeout:        wait,
	}, nil
}

// decodedPath returns the percent-decoded path. It refuses a path that a service could resolve to a different route,
// because the route determines whether a call may be retried.
func decodedPath(ctx *fasthttp.RequestCtx) (string, *refusal.Error) {
	path, err := url.PathUnescape(string(ctx.URI().PathOriginal()))
	if err != nil {
		return "", badRequest("the path is not well encoded")
	}
	for _, segment := range strings.Split(path, "/")[1:] {
		if segment == "." || segment == ".." {
			return "", badRequest("the path must not hold . or .. segments")
		}
	}
	if strings.Contains(path, "//") || strings.ContainsAny(path, "\\\x00") {
		return "", badRequest("the path must not hold empty segments, backslashes or NUL")
	}
	return path, nil
}

// unescapeJSON returns a JSON text with its character escapes resolved, so that a search finds an escaped key. Text
// without such escapes, and text that is not JSON, is returned unchanged.
func unescapeJSON(text []byte) []byte {
	if !bytes.Contains(text, []byte(`\u`)) && !bytes.Contains(text, []byte(`\/`)) {
		return text
	}
	var value any
	if json.Unmarshal(text, &value) != nil {
		return text
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if encoder.Encode(value) != nil {
		return text
	}
	return out.Bytes()
}

// checkKeyNotForwarded refuses a request if the caller's key occurs in texts, which are forwarded to an endpoint.
func checkKeyNotForwarded(key string, texts ...[]byte) *refusal.Error {
	if key == "" {
		return nil
	}
	for _, text := range texts {
		if bytes.Contains(text, []byte(key)) || bytes.Contains(unescapeJSON(text), []byte(key)) {
			return badRequest("the key must stand only in the Authorization header")
		}
	}
	return nil
}

// bearerKey returns the key from the Authorization header, or "" if the header has no bearer token.
func bearerKey(ctx *fasthttp.RequestCtx) string {
	value := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

// parseDeadline returns the value of the deadline header, or 0 if there is none.
func parseDeadline(ctx *fasthttp.RequestCtx) (time.Duration, *refusal.Error) {
	value := string(ctx.Request.Header.Peek(headerDeadline))
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return 0, badRequest("%s must be from 1 to %d", headerDeadline, maxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// badRequest returns a refusal with status 400.
func badRequest(format string, args ...any) *refusal.Error {
	return refusal.New(fasthttp.StatusBadRequest, refusal.CodeBadRequest, format, args...)
}
