package standin

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

type switches struct {
	Down    bool  `json:"down"`
	DelayMs int64 `json:"delay_ms"`
}

// Setting one switch must keep the others, or combined faults cannot be tested; a wrong body must change nothing.
func TestPostSetsTheNamedSwitchesOnly(t *testing.T) {
	var f Faults[switches]
	s, err := Start("", func(ctx *fasthttp.RequestCtx) { f.Serve(ctx) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	send := func(method, body string) string {
		req, err := http.NewRequest(method, "http://"+s.Addr()+"/faults", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		data, _ := io.ReadAll(resp.Body)
		return string(data)
	}
	send(http.MethodPost, `{"delay_ms":5}`)
	send(http.MethodPost, `{"down":true}`)
	send(http.MethodPost, `{"down":`)
	if got := send(http.MethodGet, ""); got != `{"down":true,"delay_ms":5}` {
		t.Fatalf("switches are %s", got)
	}
	if got := send(http.MethodDelete, ""); got != `{"down":false,"delay_ms":0}` {
		t.Fatalf("after the reset switches are %s", got)
	}
}
