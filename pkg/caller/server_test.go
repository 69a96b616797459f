package caller

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/settings"
)

// pacedBackend answers each chat with a number of tokens and a pause before each.
type pacedBackend struct {
	Backend
	tokens int
	pause  time.Duration
}

// Chat implements Backend.
func (p pacedBackend) Chat(ChatRequest) (*Answer, *refusal.Error) {
	events := make(chan Event)
	go func() {
		defer close(events)
		for i := range p.tokens {
			time.Sleep(p.pause)
			events <- Event{TokenIndex: int64(i), Choices: json.RawMessage(`[{"index":0,"delta":{"content":"a"}}]`)}
		}
	}()
	return &Answer{ID: "1", Created: time.Unix(1, 0), Events: events, Err: func() *refusal.Error { return nil }, Cancel: func() {}}, nil
}

// Guards against cutting a stream that takes longer than the timeout of a write although its caller reads all of it.
func TestLongStreamIsNotCut(t *testing.T) {
	s := NewServer(pacedBackend{tokens: 8, pause: 100 * time.Millisecond}, settings.Settings{
		MaxBodyBytes: settings.DefaultMaxBodyBytes, MaxHeaderBytes: settings.DefaultMaxHeaderBytes,
	})
	s.http.WriteTimeout = 300 * time.Millisecond
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	resp, err := http.Post("http://"+l.Addr().String()+"/v1/chat/completions", "application/json",
		strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"a"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || strings.Count(string(body), `"token_index"`) != 8 || !strings.Contains(string(body), "[DONE]") {
		t.Errorf("%v, body %q", err, body)
	}
}
