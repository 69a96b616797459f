package refusal

import "testing"

// Guards against a refusal that claims another run state than NotRun although none was set.
func TestNewIsNotRun(t *testing.T) {
	e := New(429, CodeRateLimited, "no tokens for %s", "w1")
	if e.RunState != NotRun {
		t.Fatalf("run state %q, want %q", e.RunState, NotRun)
	}
	if got := e.WithRunState(Unknown).RunState; got != Unknown {
		t.Fatalf("run state %q, want %q", got, Unknown)
	}
}
