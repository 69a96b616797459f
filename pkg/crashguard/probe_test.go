package crashguard

import (
	"strconv"
	"testing"
	"time"
)

// crashUnder records the crash of an endpoint under the given parts.
func crashUnder(t *Tally, endpoint string, now time.Time, parts ...uint64) {
	for _, part := range parts {
		t.Record(Crash{Fingerprint: part, Endpoint: endpoint}, now)
	}
}

// Guards against a part that is refused for good on crashes that another part of the same requests explains as well, and against
// requests with a guilty part that are sent again and again to find out which part it is.
func TestRequestWithoutTheOtherSuspectTellsThemApart(t *testing.T) {
	now := time.Unix(1000, 0)
	shared, guilty, other := PartFingerprint(1), PartFingerprint(2), PartFingerprint(3)
	tied := func() *Tally {
		tally := NewTally()
		for i := range endpointsToRefuseForGood {
			crashUnder(tally, strconv.Itoa(i), now, shared, guilty)
		}
		return tally
	}
	kind := func(tally *Tally, part uint64, prompt ...uint64) ProbeKind {
		return tally.ProbeOf(part, tally.Prompt(prompt), false).Kind
	}
	t.Run("a request with all suspects tells nothing", func(t *testing.T) {
		if got := kind(tied(), shared, shared, guilty, other); got != NoProbe {
			t.Errorf("kind %v", got)
		}
	})
	t.Run("an answer clears the part that it has", func(t *testing.T) {
		tally := tied()
		if got := kind(tally, shared, shared, other); got != TurnProbe {
			t.Errorf("kind %v, want a turn", got)
		}
		tally.Clear(shared, now)
		if tally.IsRefused(shared) || !tally.IsRefused(guilty) || kind(tally, guilty, guilty, other) != NoProbe {
			t.Errorf("shared refused %v, guilty refused %v", tally.IsRefused(shared), tally.IsRefused(guilty))
		}
	})
	t.Run("one crash may be a coincidence, two are none", func(t *testing.T) {
		tally := tied()
		crashUnder(tally, "a", now, guilty, other)
		if !tally.IsRefused(shared) || kind(tally, guilty, guilty) != TurnProbe || kind(tally, shared, shared) != TurnProbe {
			t.Error("after one crash of a request without the other suspect, neither of them may be told apart any more")
		}
		crashUnder(tally, "b", now, guilty)
		if tally.IsRefused(shared) || !tally.IsRefused(guilty) || kind(tally, guilty, guilty) != NoProbe {
			t.Errorf("after two, the shared part is refused %v, the guilty one %v", tally.IsRefused(shared), tally.IsRefused(guilty))
		}
	})
	t.Run("two guilty parts share one that is sound", func(t *testing.T) {
		tally := NewTally()
		for i := range endpointsToRefuseForGood {
			crashUnder(tally, strconv.Itoa(i), now, shared, []uint64{guilty, other}[i%2])
		}
		if got := kind(tally, shared, shared, guilty); got != NoProbe {
			t.Errorf("with one of the guilty parts: kind %v", got)
		}
		if got := kind(tally, shared, shared, PartFingerprint(9)); got != TurnProbe {
			t.Errorf("with none of them: kind %v", got)
		}
	})
}

// Guards against probes without end: each narrows the suspects, but late crashes are few in all.
func TestLateCrashesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var suspects []uint64
	for i := range uint64(8) {
		suspects = append(suspects, PartFingerprint(i+1))
	}
	guilty := suspects[len(suspects)-1]
	tally := NewTally()
	for i := range endpointsToRefuseForGood {
		crashUnder(tally, strconv.Itoa(i), now, suspects...)
	}
	late := 0
	for round := range 40 {
		now = now.Add(time.Minute)
		prompt := suspects[min(round+1, len(suspects)-1):]
		probe := tally.ProbeOf(guilty, tally.Prompt(prompt), round%2 == 0)
		if probe.Kind == NoProbe || probe.At.After(now) {
			continue
		}
		late++
		for _, part := range prompt {
			tally.Record(Crash{Fingerprint: part, Endpoint: "late" + strconv.Itoa(round), SentAt: now}, now)
		}
	}
	if late > maxLateCrashes+1 {
		t.Errorf("%d late crashes", late)
	}
}

// Guards against a sound part that is told apart no more since crashes showed late, by the list of endpoints: only requests that
// were sent late count.
func TestCrashesThatShowLateAreNotLate(t *testing.T) {
	now := time.Unix(1000, 0)
	shared, guilty := PartFingerprint(1), PartFingerprint(2)
	tally := NewTally()
	for i := range 3 * endpointsToRefuseForGood {
		for _, part := range []uint64{shared, guilty} {
			tally.Record(Crash{Fingerprint: part, Endpoint: strconv.Itoa(i), SentAt: now}, now.Add(time.Duration(i)*time.Second))
		}
	}
	if tally.LateCrashes(shared) > 0 || tally.ProbeOf(shared, tally.Prompt([]uint64{shared}), false).Kind != TurnProbe {
		t.Errorf("%d late crashes, or the part is not told apart any more", tally.LateCrashes(shared))
	}
}

// Guards against two requests that are sent at the same time to find out about one part.
func TestTurnsOfAPartFollowEachOther(t *testing.T) {
	now := time.Unix(1000, 0)
	turns := NewProbeTurns()
	if taken, _ := turns.Take([]uint64{1, 2}, now); !taken {
		t.Fatal("the first turn is not given")
	}
	if taken, after := turns.Take([]uint64{2, 3}, now.Add(time.Second)); taken || after != TurnDuration-time.Second {
		t.Errorf("second turn of a part given %v, the next after %v", taken, after)
	}
	if taken, _ := turns.Take([]uint64{3}, now.Add(time.Second)); !taken {
		t.Error("the turn of another part is not given")
	}
	if taken, _ := turns.Take([]uint64{1}, now.Add(TurnDuration)); !taken {
		t.Error("the next turn is not given")
	}
}
