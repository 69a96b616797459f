package failure

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/lab/deploy"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/settings"
)

// raw opens a connection to the caller side of a VM and writes text as it stands.
func (d *deployment) raw(v *deploy.VM, text string) net.Conn {
	d.t.Helper()
	conn, err := net.Dial("tcp", v.Caller)
	d.check(err)
	d.t.Cleanup(func() { _ = conn.Close() })
	d.check(conn.SetDeadline(time.Now().Add(waitLimit)))
	_, err = io.WriteString(conn, text)
	d.check(err)
	return conn
}

func (d *deployment) answerTo(v *deploy.VM, text string) result {
	d.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(d.raw(v, text)), nil)
	r := newResult(resp, err)
	if err != nil {
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	return r.read(resp)
}

// routerCounter reads one counter of the router.
func (d *deployment) routerCounter(v *deploy.VM, name string) int64 {
	d.t.Helper()
	resp, err := http.Get("http://" + v.Caller + "/debug/vars")
	d.check(err)
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		Corneldeal map[string]int64 `json:"corneldeal"`
	}
	d.check(json.NewDecoder(resp.Body).Decode(&vars))
	return vars.Corneldeal[name]
}

func post(path, headers, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		path, keySmall, headers, len(body), body)
}

// Requests that cannot be read must be refused as not run, reach no endpoint and leave the VM serving.
func TestMalformedRequestsAreRefused(t *testing.T) {
	d := start(t, shape{vms: 1, engines: 1, services: 1})
	v := d.VMs[0]
	const chat = "/v1/chat/completions"
	oversized := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		chat, keySmall, settings.DefaultMaxBodyBytes+1)
	longHeader := "GET /bookings/1 HTTP/1.1\r\nHost: router\r\nX-Long: "
	longHeader += strings.Repeat("x", settings.DefaultMaxHeaderBytes-len(longHeader))
	cases := []struct {
		name   string
		text   string
		status int
	}{
		{"no JSON", post(chat, "", `{"model":`), http.StatusBadRequest},
		{"not an object", post(chat, "", `[1]`), http.StatusBadRequest},
		{"no model", post(chat, "", `{"messages":[{"role":"user","content":"x"}]}`), http.StatusBadRequest},
		{"no messages", post(chat, "", `{"model":"small","messages":[]}`), http.StatusBadRequest},
		{"wrong type", post(chat, "", `{"model":"small","max_tokens":"many","messages":[{"role":"user","content":"x"}]}`), http.StatusBadRequest},
		{"negative bound", post(chat, "", `{"model":"small","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`), http.StatusBadRequest},
		{"deep nesting", post(chat, "", strings.Repeat(`{"a":`, 20_000)), http.StatusBadRequest},
		{"bad deadline", post("/bookings/new", "Corneldeal-Deadline-Ms: soon\r\n", "x"), http.StatusBadRequest},
		{"long idempotency key", post("/bookings/new", "Idempotency-Key: "+strings.Repeat("k", 4096)+"\r\n", "x"), http.StatusBadRequest},
		{"path of another route", post("/bookings/../v1/x", "", "x"), http.StatusBadRequest},
		{"oversized body", oversized, http.StatusRequestEntityTooLarge},
		{"oversized header", longHeader, http.StatusRequestHeaderFieldsTooLarge},
		{"no HTTP", "hello\r\n\r\n", http.StatusBadRequest},
	}
	chats := d.engines[0].Stats().Accepted
	before := d.serviceRuns()
	for _, c := range cases {
		r := d.answerTo(v, c.text)
		if r.status != c.status || !r.notRun() {
			t.Errorf("%s: want a refusal with status %d as not run: %v", c.name, c.status, r)
		}
	}
	if n := d.engines[0].Stats().Accepted - chats; n != 0 {
		t.Errorf("the engine got %d malformed requests", n)
	}
	if n := d.serviceRuns() - before; n != 0 {
		t.Errorf("the service got %d malformed requests", n)
	}
	d.wantWhole(d.chat(v, keySmall, "after", 3), "after", 3)
}

// serviceRuns counts the calls that services ran.
func (d *deployment) serviceRuns() int64 {
	total := int64(0)
	for _, s := range d.services {
		for _, n := range s.Stats().Runs {
			total += n
		}
	}
	return total
}

// bulkEngine is a model engine that answers with large events as fast as they are read. It reports no state.
type bulkEngine struct {
	events, eventBytes int
}

func (b bulkEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/chat/completions" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range b.events {
		_, err := fmt.Fprintf(w, `data: {"choices":[{"index":0,"delta":{"content":%q}}],"token_index":%d}`+"\n\n", b.text(i), i)
		if err != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// text is the content of one event.
func (b bulkEngine) text(i int) string {
	return fmt.Sprintf("%d ", i) + strings.Repeat("x", b.eventBytes)
}

// A caller that does not read must not make the router hold its answer: the engine's stream is not read further. Once
// the caller reads, the answer must be whole.
func TestSlowReaderIsBounded(t *testing.T) {
	// The answer of 64 MB is far larger than the router's buffer of 64 events and the socket buffers together.
	bulk := bulkEngine{events: 2000, eventBytes: 32 << 10}
	const most = 1000
	server := httptest.NewServer(bulk)
	t.Cleanup(server.Close)
	d := start(t, shape{vms: 1, engines: 1, note: func(n *config.ReleaseNote) {
		n.Added.Models = append(n.Added.Models, config.Model{Name: "bulk", Version: "v1", BlockBytes: blockSize})
		n.Added.Routes = append(n.Added.Routes, config.Route{Name: "bulk", Kind: config.RouteChat, Model: "bulk"})
		n.Added.Endpoints = append(n.Added.Endpoints, config.Endpoint{
			Name:       "bulk-1",
			Kind:       config.EndpointEngine,
			Address:    server.Listener.Addr().String(),
			DataCentre: "dc-a",
			Models:     []string{"bulk"},
		})
	}})
	v := d.VMs[0]
	body := strings.Replace(chatBody("slow", 10), `"model":"small"`, `"model":"bulk"`, 1)
	passed := d.routerCounter(v, "tokens_out")
	conn := d.raw(v, post("/v1/chat/completions", "Connection: close\r\n", body))
	d.await("the stream has begun", func() bool { return d.routerCounter(v, "tokens_out")-passed > 64 })
	// Other answers pass meanwhile, which gives a router without the bound time to take the whole answer.
	const beside = 50
	for range beside {
		d.wantWhole(d.chat(v, keyLarge, "beside", 10), "beside", 10)
	}
	if held := d.routerCounter(v, "tokens_out") - passed - beside*10; held > most {
		t.Errorf("the router took %d of %d events from the engine for a caller that does not read", held, bulk.events)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r := newResult(resp, err)
	d.check(err)
	defer func() { _ = resp.Body.Close() }()
	d.wantBulk(r, resp.Body, bulk)
}

// wantBulk reads a bulk answer and fails unless it is whole and in order.
func (d *deployment) wantBulk(r result, body io.Reader, bulk bulkEngine) {
	d.t.Helper()
	lines := bufio.NewReaderSize(body, 1<<20)
	next := 0
	for r.end == "" {
		line, err := lines.ReadString('\n')
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case err != nil:
			r.end = "broken"
			r.err = err
		case !found:
		case data == "[DONE]":
			r.end = "done"
		case next < bulk.events && delta(data) == bulk.text(next):
			next++
		default:
			d.t.Fatalf("event %d is wrong: %.200s", next, data)
		}
	}
	if r.status != http.StatusOK || r.end != "done" || next != bulk.events {
		d.t.Errorf("%d of %d events: %v", next, bulk.events, r)
	}
}
