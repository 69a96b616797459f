package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/lab/service"
	"github.com/corneldeal/corneldeal/lab/standin"
	"github.com/corneldeal/corneldeal/pkg/route"
)

// houseRules is the long shared prompt of the demo.
var houseRules = strings.Repeat("House rule: measure twice, cut once, and write the customer's name on the ticket. ", 120)

// request is one call to a VM.
type request struct {
	method string
	path   string
	body   string
	header map[string]string
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func chat(question string, tokens int) request {
	return chatFor(model, question, tokens)
}

func chatFor(name, question string, tokens int) request {
	b := chatBody{Model: name, MaxTokens: tokens, Stream: true}
	for _, m := range messages(question) {
		b.Messages = append(b.Messages, chatMessage{Role: m.Role, Content: m.Content})
	}
	body, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return request{method: http.MethodPost, path: "/v1/chat/completions", body: string(body)}
}

func messages(question string) []route.Message {
	return []route.Message{
		{Role: "system", Content: houseRules},
		{Role: "user", Content: question},
	}
}

func (d *demo) do(ctx context.Context, addr, key string, r request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+addr+r.path, strings.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	return http.DefaultClient.Do(req)
}

func (d *demo) chats(ctx context.Context) error {
	d.say("== Streamed answers for two workspaces; the second request of a workspace finds the shared prompt cached")
	one, two := d.fleet.VMs[0].Caller, d.fleet.VMs[1].Caller
	calls := []struct {
		workspace, key, addr, question string
	}{
		{workshop, workshopKey, one, "Which chisel is in stock?"},
		{workshop, workshopKey, two, "When can I book the bench?"},
		{retail, retailKey, two, "Where is my order?"},
	}
	for _, c := range calls {
		if err := d.streamed(ctx, c.workspace, c.key, c.addr, c.question); err != nil {
			return err
		}
	}
	return nil
}

// demoTokens is the length of a demo answer.
const demoTokens = 8

// streamed sends a chat request, prints the answer and checks that it is complete. A refused request is sent again
// after the time that the refusal names, as callers do: the tokens of a new deployment start at none.
func (d *demo) streamed(ctx context.Context, workspace, key, addr, question string) error {
	for {
		resp, err := d.do(ctx, addr, key, chat(question, demoTokens))
		if err != nil {
			return err
		}
		if resp.StatusCode == http.StatusOK {
			defer func() { _ = resp.Body.Close() }()
			return d.printAnswer(resp.Body, workspace, addr, question)
		}
		err = d.printRefusal(workspace, resp)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		if !pauseAsTold(ctx, resp) {
			return fmt.Errorf("%s: refused without a time to retry after", workspace)
		}
	}
}

// pauseAsTold waits for the time in Retry-After. It returns false without one or when the context ends.
func pauseAsTold(ctx context.Context, resp *http.Response) bool {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return false
	}
	select {
	case <-time.After(time.Duration(seconds) * time.Second):
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *demo) printAnswer(r io.Reader, workspace, addr, question string) error {
	text, done, err := readStream(r)
	if err != nil {
		return err
	}
	d.say("%s via %s asks %q\n  answer: %s", workspace, addr, question, text)
	if want := engine.Text(messages(question), version, 0, demoTokens); text != want || !done {
		return fmt.Errorf("%s: the answer is not complete: want %q, end marker %v", workspace, want, done)
	}
	return nil
}

func readStream(r io.Reader) (text string, done bool, err error) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true, nil
		}
		var c engine.Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return text, false, err
		}
		if len(c.Choices) > 0 {
			text += c.Choices[0].Delta.Content
		}
	}
	return text, false, scanner.Err()
}

// booking sends the same booking to both VMs and shows that it ran once.
func (d *demo) booking(ctx context.Context) error {
	d.say("== One booking, sent to both VMs with the same idempotency key")
	r := request{
		method: http.MethodPost,
		path:   bookings + "/bench",
		body:   `{"bench":3,"hour":14}`,
		header: map[string]string{service.HeaderIdempotency: "booking-1"},
	}
	for _, v := range d.fleet.VMs {
		resp, err := d.do(ctx, v.Caller, workshopKey, r)
		if err != nil {
			return err
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		d.say("%s: status %d, run state %s\n  %s", v.Name, resp.StatusCode, resp.Header.Get("Corneldeal-Run-State"), data)
	}
	runs, err := d.runs(ctx)
	if err != nil {
		return err
	}
	d.say("runs at the service: %d", runs)
	if runs != 1 {
		return fmt.Errorf("the booking ran %d times", runs)
	}
	return nil
}

// runs asks the service how often it ran bookings.
func (d *demo) runs(ctx context.Context) (int64, error) {
	resp, err := d.do(ctx, d.addr["bookings-1"], "", request{method: http.MethodGet, path: "/stats"})
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var t standin.TallyReport
	if err := json.NewDecoder(resp.Body).Decode(&t); err != nil {
		return 0, err
	}
	var sum int64
	for _, n := range t.Runs {
		sum += n
	}
	return sum, nil
}

func (d *demo) refusals(ctx context.Context) error {
	d.say("== Refusals with their run state")
	addr := d.fleet.VMs[0].Caller
	unknown := chatFor("no-such-model", "Hello?", demoTokens)
	return firstError(
		d.expectRefusal(ctx, "an unknown key", addr, "not-a-key", chat("Hello?", demoTokens)),
		d.expectRefusal(ctx, "an unknown model", addr, workshopKey, unknown),
		d.expectRefusal(ctx, "more output than the burst allows", addr, retailKey, chat("Everything?", 5000)),
	)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// refusalBody is the JSON of a refusal.
type refusalBody struct {
	Error struct {
		Message  string `json:"message"`
		Code     string `json:"code"`
		RunState string `json:"run_state"`
	} `json:"error"`
}

// expectRefusal prints a refusal. An answer instead of a refusal is an error.
func (d *demo) expectRefusal(ctx context.Context, why, addr, key string, r request) error {
	resp, err := d.do(ctx, addr, key, r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return fmt.Errorf("%s was not refused", why)
	}
	return d.printRefusal(why, resp)
}

// printRefusal prints a refusal. An answer in another form is an error.
func (d *demo) printRefusal(why string, resp *http.Response) error {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var body refusalBody
	if err := json.Unmarshal(data, &body); err != nil {
		return fmt.Errorf("%s: status %d: %s", why, resp.StatusCode, data)
	}
	e := body.Error
	d.say("%s: refused with status %d, code %s, run state %s, retry after %q\n  %s", why, resp.StatusCode, e.Code,
		e.RunState, resp.Header.Get("Retry-After"), e.Message)
	return nil
}
