package refusal

import "testing"

// A refusal must not claim another run state than not run unless it is told to.
func TestNewIsNotRun(t *testing.T) {
	e := New(429, CodeRateLimited, "no tokens for %s", "w1")
	if e.RunState != NotRun {
		t.Fatalf("run state %q, want %q", e.RunState, NotRun)
	}
	if got := e.With(Unknown).RunState; got != Unknown {
		t.Fatalf("run state %q, want %q", got, Unknown)
	}
}
