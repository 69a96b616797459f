package precedence

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawKeys draws the keys of VMs that started in any rhythm, several of them in the same millisecond.
func drawKeys(t *rapid.T) []Key {
	count := rapid.SampledFrom([]int{1, 2, 3, 9, 85, 195, 410}).Draw(t, "VMs")
	keys := make([]Key, count)
	started := int64(1_000_000)
	for i := range keys {
		started += rapid.Int64Range(-1500, 3000).Draw(t, "pause")
		keys[i] = Key{VM: fmt.Sprint("vm-", i), StartedUnixMs: started, Settled: rapid.Bool().Draw(t, "settled")}
	}
	return keys
}

// rank returns the number of the peers that precede a VM.
func rank(self Key, peers []Key) int {
	n := 0
	for _, p := range peers {
		if p.Precedes(self) {
			n++
		}
	}
	return n
}

// others returns the keys without the i-th.
func others(keys []Key, i int) []Key {
	return slices.Delete(slices.Clone(keys), i, i+1)
}

// Guards against a relation that is no order, in which every VM finds another that precedes it and nobody acts.
func TestExactlyOneVMIsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := drawKeys(t)
		ranks := map[int]bool{}
		for i, k := range keys {
			ranks[rank(k, others(keys, i))] = true
		}
		if len(ranks) != len(keys) {
			t.Fatalf("%d VMs have %d different ranks", len(keys), len(ranks))
		}
	})
}

// Guards against a duty that stays undone because each VM leaves it to another one that does not do it, or does not know
// of it: whatever VMs know of each other, one acts within MaxTakeoverDelay.
func TestSomeVMActsWithPartialViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := drawKeys(t)
		able := rapid.IntRange(0, len(keys)-1).Draw(t, "the VM that can act")
		var known []Key
		for _, k := range others(keys, able) {
			if rapid.Bool().Draw(t, "known") {
				known = append(known, k)
			}
		}
		if delay := TakeoverDelay(rank(keys[able], known)); delay > MaxTakeoverDelay(len(keys)) {
			t.Fatalf("the VM acts after %v, want at most %v", delay, MaxTakeoverDelay(len(keys)))
		}
	})
}

// Guards against takeovers that come too late for new weights to be in place in time: a duty of the smallest and of the
// largest deployment is taken over before a quarter of version_ms, or 9 s with 410 VMs.
func TestTakeoverIsBounded(t *testing.T) {
	for vms, limit := range map[int]time.Duration{1: 0, 2: 2 * time.Second, 9: 5 * time.Second, 410: 9 * time.Second} {
		if delay := MaxTakeoverDelay(vms); delay > limit {
			t.Errorf("%d VMs: a duty is taken over within %v, want %v", vms, delay, limit)
		}
	}
}

// Guards against a holder that is about to be restarted in a rolling restart, and against one that has just started and
// may fail.
func TestRestartedVMPrecedesOnceSettled(t *testing.T) {
	old := Key{VM: "a", StartedUnixMs: 1000, Settled: true}
	restarted := Key{VM: "b", StartedUnixMs: 2400}
	if !old.Precedes(restarted) || restarted.Precedes(old) {
		t.Error("a VM that is not settled precedes one that is")
	}
	restarted.Settled = true
	if old.Precedes(restarted) || !restarted.Precedes(old) {
		t.Error("a VM that started later does not precede an older one")
	}
}
