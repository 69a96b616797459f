package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against an attempt that is given up though its successor lacks something.
func TestSilentAttemptIsKeptUnlessEverythingIsThere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		s := Situation{
			Stopping: flag("stopping"), Left: time.Duration(rapid.IntRange(-10, 60).Draw(t, "left")) * time.Millisecond,
			MinLeft: 30 * time.Millisecond, Started: flag("started"), HasPosition: flag("position"), Suspect: flag("suspect"),
			HasSuccessor: flag("successor"), HasRetry: flag("retry"),
		}
		complete := !s.Stopping && s.Left >= s.MinLeft && (s.HasPosition || !s.Started) && !s.Suspect && s.HasSuccessor && s.HasRetry
		if given := Decide(s) == ""; given != complete {
			t.Errorf("given up %v in %+v", given, s)
		}
	})
}
