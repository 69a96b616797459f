package cacheindex

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

// Blocks of a dead incarnation must never be matched again, whatever replies of it are still in transit. Each reply
// names an incarnation that was alive after its request, or one whose death the VM observed. Block hashes contain the
// incarnation that they belong to.
func TestDeadIncarnationIsNeverMatched(t *testing.T) {
	type reply struct {
		incarnation int
		asked       time.Time
		seq         uint64
	}
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		x := New(Settings{}, now)
		alive, newest := 1, 0
		seen := map[int]bool{}
		died := map[int]time.Time{}
		var transit []reply
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			seq := uint64(rapid.IntRange(1, 9).Draw(t, "seq"))
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				died[alive] = now
				alive++
			case 1, 2:
				transit = append(transit, reply{alive, now, seq})
			case 3:
				// A state reply that lags names an incarnation that may have died meanwhile.
				old := rapid.IntRange(max(alive-2, 1), alive).Draw(t, "old")
				at, dead := died[old]
				if seen[old] && (!dead || now.Sub(at) < reacceptDelay) {
					transit = append(transit, reply{old, now, seq})
				}
			case 4:
				// The VM detects the crash itself.
				died[alive] = now
				alive++
				newest = alive
				x.DropEndpoint("e", now)
			default:
				if len(transit) == 0 {
					continue
				}
				r := transit[rapid.IntRange(0, len(transit)-1).Draw(t, "reply")]
				name := fmt.Sprint(r.incarnation)
				hashes := incarnationHashes(r.incarnation)
				if x.ObserveIncarnation("e", name, r.asked, now) {
					newest = max(newest, r.incarnation)
					seen[r.incarnation] = true
				}
				x.ApplyEvents("e", name, []Event{{Seq: r.seq, Kind: Stored, Hashes: hashes}}, now)
				x.AddPredicted("e", name, hashes, now)
			}
			for dead := 1; dead < newest; dead++ {
				if n := x.Match("e", incarnationHashes(dead), now); n != 0 {
					t.Fatalf("step %d: %d blocks of incarnation %d match, %d was seen", step, n, dead, newest)
				}
			}
		}
		now = now.Add(reacceptDelay)
		if !x.ObserveIncarnation("e", fmt.Sprint(alive), now, now) {
			t.Fatalf("a fresh reply of incarnation %d was not accepted", alive)
		}
	})
}

// A state report that lags must not restore an incarnation that was replaced, while an endpoint that was dropped
// because of a broken connection must return with its own incarnation.
func TestStaleStateReport(t *testing.T) {
	x := New(Settings{}, epoch)
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	accept := func(incarnation string, s int, want bool) {
		if got := x.ObserveIncarnation("e", incarnation, at(s), at(s)); got != want {
			t.Errorf("incarnation %s at %d s: accepted %v, want %v", incarnation, s, got, want)
		}
	}
	accept("a", 0, true)
	accept("b", 1, true)
	accept("a", 2, false)
	x.DropEndpoint("e", at(3))
	accept("b", 4, false)
	accept("b", 9, true)
	x.DropEndpoint("e", at(10))
	accept("c", 11, true)
	accept("b", 20, false)
}

func incarnationHashes(incarnation int) []uint64 {
	return []uint64{uint64(incarnation) * 100, uint64(incarnation)*100 + 1}
}

// The table must neither lose a hash nor find a removed one when others are removed around it.
func TestTableAgreesWithMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var got table
		want := map[uint64]uint32{}
		hash := rapid.Uint64Range(0, 40)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			h := hash.Draw(t, "hash")
			if rapid.Bool().Draw(t, "set") {
				got.set(h, uint32(h)+1)
				want[h] = uint32(h) + 1
			} else {
				got.remove(h)
				delete(want, h)
			}
			for h := range uint64(41) {
				if got.get(h) != want[h] {
					t.Fatalf("hash %d: stamp %d, want %d", h, got.get(h), want[h])
				}
			}
		}
		if got.usedSlots != len(want) {
			t.Fatalf("%d used, want %d", got.usedSlots, len(want))
		}
	})
}

// indexStep is an input to the index, a duration after the previous one, and the match expected after it.
type indexStep struct {
	after  time.Duration
	events []Event
	assume []uint64
	want   int
}

func storedEvent(seq uint64, h ...uint64) []Event  { return []Event{{seq, Stored, h}} }
func removedEvent(seq uint64, h ...uint64) []Event { return []Event{{seq, Removed, h}} }

func TestEventsAndPredictions(t *testing.T) {
	chain := []uint64{1, 2, 3}
	cases := []struct {
		failure string
		steps   []indexStep
	}{
		{"a removal from before an own decision must not undo the decision", []indexStep{
			{events: storedEvent(1, 1, 2, 3), want: 3},
			{after: 5 * time.Second, assume: chain, want: 3},
			{after: 300 * time.Millisecond, events: removedEvent(2, 2), want: 3},
			{after: 5 * time.Second, events: removedEvent(3, 2), want: 1},
		}},
		{"a block evicted after it was reported must not be used", []indexStep{
			{assume: chain, want: 3},
			{after: 2 * time.Second, events: storedEvent(1, 1, 2, 3), want: 3},
			{after: 100 * time.Millisecond, events: removedEvent(2, 3), want: 2},
		}},
		{"an own decision that is never confirmed must not be believed for ever", []indexStep{
			{assume: chain, want: 3},
			{after: 9 * time.Second, want: 3},
			{after: 2 * time.Second, want: 0},
		}},
		{"a reported block must stay as long as the events are complete", []indexStep{
			{events: storedEvent(1, 1, 2, 3), want: 3},
			{after: 10 * time.Minute, want: 3},
		}},
		{"a gap must not leave older reports valid for ever", []indexStep{
			{events: storedEvent(1, 1, 2, 3), want: 3},
			{after: time.Second, events: storedEvent(5, 1), want: 3},
			{after: 11 * time.Second, want: 1},
		}},
		{"a gap must not discard what was reported after it", []indexStep{
			{events: storedEvent(7, 1, 2, 3), want: 3},
			{after: time.Hour, want: 3},
		}},
		{"an own decision after a gap must make old reports usable, but only for its own time", []indexStep{
			{events: storedEvent(1, 1, 2, 3), want: 3},
			{after: time.Second, events: storedEvent(5, 9), want: 3},
			{after: 11 * time.Second, want: 0},
			{assume: chain, want: 3},
			{after: 11 * time.Second, want: 0},
		}},
		{"an event delivered twice must not undo a later one", []indexStep{
			{events: storedEvent(1, 1, 2, 3), want: 3},
			{events: removedEvent(2, 1), want: 0},
			{events: storedEvent(1, 1, 2, 3), want: 0},
		}},
		{"a missing block in the middle must end the prefix", []indexStep{
			{events: storedEvent(1, 1, 3), want: 1},
		}},
		{"a cleared cache must not match", []indexStep{
			{events: storedEvent(1, 1, 2, 3), want: 3},
			{after: time.Minute, events: []Event{{Seq: 2, Kind: Cleared}}, want: 0},
		}},
	}
	for _, c := range cases {
		now := epoch
		x := New(Settings{}, now)
		x.ObserveIncarnation("e", "i", now, now)
		for i, s := range c.steps {
			now = now.Add(s.after)
			x.AddPredicted("e", "i", s.assume, now)
			x.ApplyEvents("e", "i", s.events, now)
			if got := x.Match("e", chain, now); got != s.want {
				t.Errorf("%s: step %d matches %d, want %d", c.failure, i, got, s.want)
			}
		}
	}
}

// The index must not grow without bound when an engine never reports removals, and must keep recent entries.
func TestMemoryIsBounded(t *testing.T) {
	const limit = 1000
	x := New(Settings{MaxEntries: limit}, epoch)
	for e := range 4 {
		x.ObserveIncarnation(fmt.Sprint(e), "i", epoch, epoch)
	}
	last := []uint64(nil)
	for i := range 5000 {
		last = []uint64{mixBits(uint64(i))}
		x.AddPredicted(fmt.Sprint(i%4), "i", last, epoch.Add(time.Duration(i)*tickLength))
		if x.Len() > limit {
			t.Fatalf("%d entries, limit %d", x.Len(), limit)
		}
	}
	if x.Match("3", last, epoch.Add(5000*tickLength)) != 1 {
		t.Fatal("the newest entry was evicted")
	}
}

// The time of an entry must not overflow into the flags in a process that runs for months.
func TestClockOverflow(t *testing.T) {
	x := New(Settings{}, epoch)
	x.ObserveIncarnation("e", "i", epoch, epoch)
	x.ApplyEvents("e", "i", storedEvent(1, 1), epoch)
	late := epoch.Add(tickLength * time.Duration(tickMask+10))
	x.ApplyEvents("e", "i", storedEvent(2, 2), late)
	if x.Match("e", []uint64{1}, late) != 0 || x.Match("e", []uint64{2}, late) != 1 || x.Len() != 1 {
		t.Fatalf("%d entries after the overflow, want only the new one", x.Len())
	}
}

// mixBits spreads small numbers over all bits, like block hashes.
func mixBits(n uint64) uint64 {
	n *= 0x9e3779b97f4a7c15
	return n ^ n>>29
}

// Entries and endpoints of one node at the target size.
const (
	targetEntries   = 325_000
	targetEndpoints = 120
)

// newFilledIndex returns an index of the target size.
func newFilledIndex() *Index {
	x := New(Settings{}, epoch)
	for i := range targetEntries {
		name := fmt.Sprint(i % targetEndpoints)
		x.ObserveIncarnation(name, "i", epoch, epoch)
		x.ApplyEvents(name, "i", storedEvent(x.LastSeq(name)+1, mixBits(uint64(i))), epoch)
	}
	return x
}

// BenchmarkMemory reports the bytes per entry at the target size.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		x := newFilledIndex()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(x.Len()), "bytes/entry")
		runtime.KeepAlive(x)
	}
}

// BenchmarkEvents measures one event with one block: a block is stored and removed in turn.
func BenchmarkEvents(b *testing.B) {
	x := newFilledIndex()
	i := 0
	for b.Loop() {
		name := "7"
		kind := Stored
		if i%2 == 1 {
			kind = Removed
		}
		x.ApplyEvents(name, "i", []Event{{x.LastSeq(name) + 1, kind, []uint64{mixBits(uint64(i/2 + targetEntries))}}}, epoch)
		i++
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
}

// BenchmarkMatch measures the matching of one prompt against all endpoints, of which four hold its blocks.
func BenchmarkMatch(b *testing.B) {
	for _, blocks := range []int{32, 320} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			x := newFilledIndex()
			chain := make([]uint64, blocks)
			for i := range chain {
				chain[i] = mixBits(uint64(i + 1<<30))
			}
			for e := range 4 {
				x.AddPredicted(fmt.Sprint(e), "i", chain, epoch)
			}
			for b.Loop() {
				for e := range targetEndpoints {
					x.Match(endpointNames[e], chain, epoch)
				}
			}
		})
	}
}

var endpointNames = func() (out [targetEndpoints]string) {
	for e := range out {
		out[e] = fmt.Sprint(e)
	}
	return out
}()
