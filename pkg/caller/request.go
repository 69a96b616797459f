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
	// maxIdempotencyKey bounds an idempotency key, in bytes.
	maxIdempotencyKey = 256
	// maxDeadline bounds the deadline that a caller may ask for.
	maxDeadline = 10 * time.Minute
)

// ownFields are set by the router alone. A caller that could set them could choose another workspace's cache
// salt or another weight version.
var ownFields = []string{"cache_salt", "version", "resume_from", "priority", "stream", "stream_options"}

// ChatRequest is one chat completion request.
type ChatRequest struct {
	// Key is the caller's key, or empty.
	Key string
	// Model is the model name that the caller sent.
	Model string
	// Messages is the text of the prompt.
	Messages []route.Message
	// Fields are the caller's fields that may be forwarded.
	Fields map[string]json.RawMessage
	// Stream asks for server-sent events.
	Stream bool
	// IncludeUsage asks for a usage event at the end of a stream.
	IncludeUsage bool
	// MaxTokens is the output that the caller allows, or zero.
	MaxTokens int64
	// Wait bounds the time to the first token, or zero.
	Wait time.Duration
	// Body is the raw body, from which the fingerprint is computed.
	Body []byte
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Key    string
	Method string
	// Path is the path without the query.
	Path string
	// URI is path and query.
	URI            string
	Headers        []service.Header
	Body           []byte
	IdempotencyKey string
	// Wait bounds the time to the answer, or zero.
	Wait time.Duration
}

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

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat checks the body of a chat completion. The result holds no reference to fasthttp's buffers.
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
	wait, ref := deadline(ctx)
	if ref != nil {
		return ChatRequest{}, ref
	}
	for _, name := range ownFields {
		delete(fields, name)
	}
	return ChatRequest{
		Key:          bearerKey(ctx),
		Model:        parsed.Model,
		Messages:     promptMessages(parsed.Messages),
		Fields:       fields,
		Stream:       parsed.Stream,
		IncludeUsage: parsed.StreamOptions.IncludeUsage,
		MaxTokens:    max(parsed.MaxTokens, parsed.MaxCompletionTokens),
		Wait:         wait,
		Body:         body,
	}, nil
}

// promptMessages returns the text of the messages. Content that is not a plain string counts with its raw JSON.
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

// parseService copies what a plain-service call needs from fasthttp's buffers.
func parseService(ctx *fasthttp.RequestCtx) (ServiceRequest, *refusal.Error) {
	wait, ref := deadline(ctx)
	if ref != nil {
		return ServiceRequest{}, ref
	}
	key := string(ctx.Request.Header.Peek(headerIdempotency))
	if len(key) > maxIdempotencyKey {
		return ServiceRequest{}, badRequest("the idempotency key is longer than %d bytes", maxIdempotencyKey)
	}
	path, ref := plainPath(ctx)
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
		Wait:           wait,
	}, nil
}

// plainPath returns the decoded path. A path that a service could resolve to another route is refused, because
// the route decides whether a call may be repeated.
func plainPath(ctx *fasthttp.RequestCtx) (string, *refusal.Error) {
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

// unescaped returns the JSON text with escapes of characters resolved, so that an escaped key is found. Text without such
// escapes, and text that is not JSON, is returned as it is.
func unescaped(text []byte) []byte {
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

// checkKeyHidden refuses a request whose text repeats the caller's key, since that text reaches an endpoint.
func checkKeyHidden(key string, texts ...[]byte) *refusal.Error {
	if key == "" {
		return nil
	}
	for _, text := range texts {
		if bytes.Contains(text, []byte(key)) || bytes.Contains(unescaped(text), []byte(key)) {
			return badRequest("the key must stand only in the Authorization header")
		}
	}
	return nil
}

func bearerKey(ctx *fasthttp.RequestCtx) string {
	value := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

func deadline(ctx *fasthttp.RequestCtx) (time.Duration, *refusal.Error) {
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

func badRequest(format string, args ...any) *refusal.Error {
	return refusal.New(fasthttp.StatusBadRequest, refusal.CodeBadRequest, format, args...)
}
