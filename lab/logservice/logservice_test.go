package logservice

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// bound is far above the time that any awaited condition needs.
const bound = 30 * time.Second

func started(t *testing.T, opt Options) *Service {
	t.Helper()
	s := New(opt)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func appendOne(s *Service, stream, data string) (status int, first int64, err error) {
	body := []byte(`{"records":[` + data + `]}`)
	resp, err := http.Post("http://"+s.Addr()+"/v1/streams/"+stream+"/records", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var r AppendReply
	err = json.NewDecoder(resp.Body).Decode(&r)
	return resp.StatusCode, r.First, err
}

func readFrom(t *testing.T, s *Service, stream string, from, wait int) ReadReply {
	t.Helper()
	url := fmt.Sprintf("http://%s/v1/streams/%s/records?from=%d&max=10&wait_ms=%d", s.Addr(), stream, from, wait)
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	var r ReadReply
	if err := json.Unmarshal(data, &r); err != nil {
		t.Fatalf("%s: %v", data, err)
	}
	return r
}

// A reader that misses an append, or gets other offsets than the writer, would replay another configuration.
func TestLongPollSeesTheAppend(t *testing.T) {
	s := started(t, Options{})
	got := make(chan ReadReply, 1)
	go func() { got <- readFrom(t, s, "config", 0, int(bound.Milliseconds())) }()
	_, first, err := appendOne(s, "config", `{"a":1},"b"`)
	if err != nil || first != 0 {
		t.Fatalf("first %d, %v", first, err)
	}
	r := <-got
	if r.End != 2 || len(r.Records) != 2 || r.Records[1].Offset != 1 || string(r.Records[1].Data) != `"b"` {
		t.Fatalf("got %+v", r)
	}
}

// A lost reply without effect would not test that verdicts come from reading.
func TestLostReplyTakesEffect(t *testing.T) {
	s := started(t, Options{})
	s.SetFaults(Faults{LoseNext: 1})
	if status, _, err := appendOne(s, "control", `1`); err == nil {
		t.Fatalf("got an answer: %d", status)
	}
	if _, first, err := appendOne(s, "control", `2`); err != nil || first != 1 {
		t.Fatalf("first %d, %v", first, err)
	}
}

// A late append must appear although its writer got no answer.
func TestLateAppendTakesEffectUnacknowledged(t *testing.T) {
	s := started(t, Options{})
	s.SetFaults(Faults{LateMs: 1, Streams: "intent-"})
	if status, _, err := appendOne(s, "intent-03", `1`); err == nil {
		t.Fatalf("got an answer: %d", status)
	}
	if r := readFrom(t, s, "intent-03", 0, int(bound.Milliseconds())); r.End != 1 {
		t.Fatalf("got %+v", r)
	}
	if _, _, err := appendOne(s, "config", `1`); err != nil {
		t.Fatalf("the fault reached another stream: %v", err)
	}
}

// Outage switches that leave one direction open would make outage tests pass for nothing.
func TestDownSwitchesRefuse(t *testing.T) {
	s := started(t, Options{})
	for _, f := range []Faults{{Down: true}, {AppendDown: true}} {
		s.SetFaults(f)
		if status, _, _ := appendOne(s, "config", `1`); status != http.StatusServiceUnavailable {
			t.Fatalf("%+v: append got %d", f, status)
		}
	}
	if n := s.Stats().Ends["config"]; n != 0 {
		t.Fatalf("refused appends took effect: end %d", n)
	}
}

// A long poll must end when an outage begins, and a frozen append must have no effect.
func TestFreezeHasNoEffect(t *testing.T) {
	s := started(t, Options{})
	s.SetFaults(Faults{Freeze: true})
	failed := make(chan error, 1)
	go func() {
		_, _, err := appendOne(s, "config", `1`)
		failed <- err
	}()
	select {
	case err := <-failed:
		t.Fatalf("answered while frozen: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	s.Close()
	if err := <-failed; err == nil || s.Stats().Ends["config"] != 0 {
		t.Fatalf("the frozen append took effect: %v", err)
	}
}

// Expired records must move the start, not renumber what is left.
func TestExpiryMovesTheStart(t *testing.T) {
	s := New(Options{Retention: time.Hour})
	s.Append("config", json.RawMessage(`1`))
	s.Append("config", json.RawMessage(`2`))
	s.streams["config"].at[0] = time.Now().Add(-2 * time.Hour)
	r, _ := s.read("config", 0, 10)
	if r.Start != 1 || r.End != 2 || len(r.Records) != 1 || r.Records[0].Offset != 1 {
		t.Fatalf("got %+v", r)
	}
}

// Without pacing the log would hide that the router appends too often.
func TestAppendsArePaced(t *testing.T) {
	s := New(Options{AppendsPerSecond: 10})
	now := time.Now()
	_, _ = s.takeTurn(now)
	wait, ok := s.takeTurn(now)
	if wait != 100*time.Millisecond || !ok {
		t.Fatalf("second append waits %v", wait)
	}
	for range 30 {
		_, ok = s.takeTurn(now)
	}
	if ok {
		t.Fatal("an append may wait without bound")
	}
}
