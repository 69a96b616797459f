package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corneldeal/corneldeal/pkg/standstill"
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

// Guards against a standstill of this process that counts as silence of its endpoints.
func TestStandstillIsNoSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var d standstill.Detector
	for ms := 0; ms <= 1000; ms += 200 {
		d.Observe(at(ms))
	}
	if got := Silence(at(300), d.Last(), at(1000)); got != 700*time.Millisecond {
		t.Errorf("without a standstill the silence is %v", got)
	}
	if gap, stood := d.Observe(at(3200)); !stood || gap.Duration() != 2200*time.Millisecond {
		t.Errorf("standstill %v, %v", gap, stood)
	}
	if got := Silence(at(300), d.Last(), at(3300)); got != 100*time.Millisecond {
		t.Errorf("the silence since the standstill is %v", got)
	}
	if got := Silence(at(3250), d.Last(), at(3300)); got != 50*time.Millisecond {
		t.Errorf("the silence since the last event is %v", got)
	}
}
