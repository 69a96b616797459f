package configsync

import (
	"testing"
	"time"
)

// noSpread draws no random time.
func noSpread(time.Duration) time.Duration { return 0 }

// Guards against a VM that waits for another digest, or for the end of a question that hangs, before it asks the next peer.
func TestQuestionsDependOnNoDigestAndNoAnswer(t *testing.T) {
	start := time.Unix(1, 0)
	var c CatchUp
	c.Behind(false, noSpread, start)
	asked := 0
	for now := start; now.Sub(start) < time.Second; now = now.Add(10 * time.Millisecond) {
		if c.Due(now) {
			c.Asked("a", now)
			asked++
		}
	}
	if want := int(time.Second / askInterval); asked != want {
		t.Errorf("%d questions in a second, want %d", asked, want)
	}
}

// Guards against a second question to a peer that hangs, and against a peer that is never asked again.
func TestPeerThatWasAskedIsAvoidedForAWhile(t *testing.T) {
	now := time.Unix(1, 0)
	var c CatchUp
	c.Behind(false, noSpread, now)
	c.Asked("a", now)
	if !c.Avoided("a", now.Add(avoidAsked-1)) || c.Avoided("a", now.Add(avoidAsked)) || c.Avoided("b", now) {
		t.Errorf("avoided: a after %v %v, after %v %v, b %v", avoidAsked-1, c.Avoided("a", now.Add(avoidAsked-1)),
			avoidAsked, c.Avoided("a", now.Add(avoidAsked)), c.Avoided("b", now))
	}
}

// Guards against a VM that reads the records itself and asks peers for what its read brings anyway, and against one that does
// not and waits as long.
func TestOnlyVMsThatReadWaitForTheirRead(t *testing.T) {
	now := time.Unix(1, 0)
	var reader, other CatchUp
	longest := func(limit time.Duration) time.Duration { return limit }
	reader.Behind(true, longest, now)
	other.Behind(false, longest, now)
	if reader.Due(now.Add(ownReadGrace - 1)) {
		t.Error("a VM that reads asks before its read can have brought the records")
	}
	if !other.Due(now.Add(askSpread)) {
		t.Errorf("a VM that does not read has not asked after %v", askSpread)
	}
	other.Applied()
	if other.Due(now.Add(time.Hour)) || other.BehindFor(now.Add(time.Hour)) != 0 {
		t.Error("a VM that lacks nothing asks")
	}
}
