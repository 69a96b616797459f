package service

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
)

func call(t *testing.T, s *Service, attempt string) (Reply, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+"/book?x=1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderIdempotency, "k")
	req.Header.Set(HeaderAttempt, attempt)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Reply{}, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var r Reply
	err = json.NewDecoder(resp.Body).Decode(&r)
	return r, resp.Header.Get(HeaderAttempt), err
}

// Runs that are not counted would hide a booking that ran twice; a crash before the effect must not count.
func TestRunsAreCountedByEffect(t *testing.T) {
	s := New(Options{})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for i, f := range []Faults{{CrashBefore: true}, {CrashAfter: true}} {
		s.SetFaults(f)
		if _, _, err := call(t, s, "a"); err == nil {
			t.Fatalf("%+v: got an answer", f)
		}
		if got := s.Stats().Runs["key:k"]; got != int64(i) {
			t.Fatalf("%+v: %d runs", f, got)
		}
	}
	s.SetFaults(Faults{})
	r, echo, err := call(t, s, "b")
	if err != nil || r.Runs != 2 || echo != "b" || r.Query != "x=1" {
		t.Fatalf("got %+v, echo %q, %v", r, echo, err)
	}
	if s.Stats().Headers[HeaderAttempt]["b"] != 1 {
		t.Fatal("the header is not in the stats")
	}
}

// A crossed answer must carry the id of another attempt, or the router's check is never exercised.
func TestCrossedAnswerCarriesAnotherAttempt(t *testing.T) {
	s := New(Options{})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.SetFaults(Faults{Cross: true})
	for _, attempt := range []string{"a", "b"} {
		if _, echo, err := call(t, s, attempt); err != nil || echo == attempt {
			t.Fatalf("attempt %s: echo %q, %v", attempt, echo, err)
		}
	}
}
