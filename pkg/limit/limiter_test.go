package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

// at returns a clock that always returns start plus d.
func at(d time.Duration) Clock {
	return func() time.Time { return start.Add(d) }
}

// oneSlot returns a limiter that holds the only slot for an hour.
func oneSlot(list ...Workspace) *Limiter {
	l := New()
	l.Configure(1, list, start)
	l.SetHeldSlots([]Slot{{Index: 0, Epoch: 1, Until: start.Add(time.Hour)}}, start)
	return l
}

// TestRefillHasNoRoundingDrift guards against tokens lost or gained by rounding when a bucket is refilled often.
func TestRefillHasNoRoundingDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1, 1000).Draw(t, "rate")
		l := oneSlot(Workspace{Name: "w", TokensPerSecond: rate, BurstTokens: MaxTokens})
		elapsed := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "looks") {
			elapsed += time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "step"))
			l.balance("w", start.Add(elapsed))
		}
		want := rate * int64(elapsed) / int64(time.Second)
		if got := l.balance("w", start.Add(elapsed)); got != want {
			t.Fatalf("refilled %d tokens in %v at %d/s, want %d", got, elapsed, rate, want)
		}
	})
}

// TestSharesAddUp guards against a burst that cannot be collected in full, or is exceeded, because of rounding per
// slot.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.Int64Range(0, MaxTokens).Draw(t, "burst")
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		sum := int64(0)
		for i := range slots {
			sum += newShare(1, burst, i, slots).cap
		}
		if sum != burst {
			t.Fatalf("shares of %d over %d slots add up to %d", burst, slots, sum)
		}
	})
}

// TestLapsedSlotStartsEmpty guards against a paused process that spends the tokens it held before its lease expired.
func TestLapsedSlotStartsEmpty(t *testing.T) {
	l := New()
	l.Configure(1, []Workspace{{Name: "w", TokensPerSecond: 10, BurstTokens: 100}}, start)
	l.SetHeldSlots([]Slot{{Index: 0, Epoch: 1, Until: start.Add(3 * time.Second)}}, start)
	if g, _ := l.Take("w", 10, at(3*time.Second)); g.Tokens != 0 {
		t.Fatalf("took %d tokens under an expired lease", g.Tokens)
	}
	l.SetHeldSlots([]Slot{{Index: 0, Epoch: 1, Until: start.Add(9 * time.Second)}}, start.Add(6*time.Second))
	if g, missing := l.Take("w", 100, at(7*time.Second)); g.Tokens != 10 || missing != 90 {
		t.Fatalf("took %d tokens, missing %d; want 10 and 90", g.Tokens, missing)
	}
}

// TestDebitCountsOnce guards against deducting and granting tokens twice for a repeated message.
func TestDebitCountsOnce(t *testing.T) {
	l := oneSlot(Workspace{Name: "w", TokensPerSecond: 10, BurstTokens: 100})
	first := l.Debit("a", "w", 5, at(time.Second))
	second := l.Debit("a", "w", 5, at(time.Second))
	if first.Tokens != 5 || second.Tokens != 0 || second.Outcome != Duplicate {
		t.Fatalf("first %+v, second %+v", first, second)
	}
}

// TestRefundCountsOnceAndStaysWithTheEpoch guards against tokens created by a repeated refund, or by a refund to a slot
// that has moved.
func TestRefundCountsOnceAndStaysWithTheEpoch(t *testing.T) {
	l := oneSlot(Workspace{Name: "w", TokensPerSecond: 10, BurstTokens: 100})
	g, _ := l.Take("w", 50, at(5*time.Second))
	now := start.Add(5 * time.Second)
	unused := Unused(g.Parts, 20)
	if n := l.Refund("r", "w", unused, now); n != 30 {
		t.Fatalf("returned %d tokens, want 30", n)
	}
	if n := l.Refund("r", "w", unused, now); n != 0 {
		t.Fatalf("a repeated refund returned %d tokens", n)
	}
	l.SetHeldSlots([]Slot{{Index: 0, Epoch: 2, Until: start.Add(time.Hour)}}, now)
	if n := l.Refund("s", "w", unused, now); n != 0 {
		t.Fatalf("a refund to an earlier epoch returned %d tokens", n)
	}
}

// TestChargeAboveBurst guards against a charge that waits for tokens that can never be available.
func TestChargeAboveBurst(t *testing.T) {
	l := oneSlot(Workspace{Name: "w", TokensPerSecond: 10, BurstTokens: 100})
	if g, _ := l.Take("w", 101, at(time.Minute)); g.Outcome != AboveBurst || len(g.Parts) != 0 {
		t.Fatalf("got %+v", g)
	}
}

// TestLowerLimitAppliesAtOnce guards against a balance above a burst that was lowered.
func TestLowerLimitAppliesAtOnce(t *testing.T) {
	l := oneSlot(Workspace{Name: "w", TokensPerSecond: 10, BurstTokens: 100})
	now := start.Add(time.Minute)
	l.Configure(1, []Workspace{{Name: "w", TokensPerSecond: 1, BurstTokens: 20}}, now)
	if got := l.balance("w", now.Add(time.Minute)); got != 20 {
		t.Fatalf("balance %d, want 20", got)
	}
}

// TestNewWorkspaceStartsFullOnlyWhereSafe guards against a second burst on a VM that received the slot after another VM
// had filled it, and on a VM that reads the workspace from a snapshot.
func TestNewWorkspaceStartsFullOnlyWhereSafe(t *testing.T) {
	for _, c := range []struct {
		name  string
		added bool
		after time.Duration
		want  int64
	}{
		{"seen by an old owner", true, minHeldTime, 100},
		{"seen by a new owner", true, minHeldTime - 1, 0},
		{"from a snapshot", false, minHeldTime, 0},
	} {
		l := oneSlot()
		now := start.Add(c.after)
		l.Configure(1, []Workspace{{Name: "w", TokensPerSecond: 10, BurstTokens: 100, Added: c.added}}, now)
		if got := l.balance("w", now); got != c.want {
			t.Errorf("%s: balance %d, want %d", c.name, got, c.want)
		}
	}
}

// TestDonorsCoverTheMissingTokens guards against requests to peers that cannot cover the missing tokens, and against
// using one hint twice.
func TestDonorsCoverTheMissingTokens(t *testing.T) {
	l := oneSlot(Workspace{Name: "w", TokensPerSecond: 10, BurstTokens: 100})
	l.SetHints("a", []SpareTokens{{"w", 5}}, start)
	l.SetHints("b", []SpareTokens{{"w", 9}}, start)
	if d := l.Donors("w", 15, start); d != nil {
		t.Fatalf("requests %v for more than the hints", d)
	}
	if d := l.Donors("w", 12, start); len(d) != 2 || d[0] != (Donor{"b", 9}) || d[1] != (Donor{"a", 3}) {
		t.Fatalf("requests %v", d)
	}
	if d := l.Donors("w", 3, start); d != nil {
		t.Fatalf("requests %v for tokens that are already requested", d)
	}
}
