package limit

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The benchmarks report the costs per unit that docs/CAPACITY.md lists. They check no time.

var benchStart = time.Unix(1_800_000_000, 0)

// benchLimiter returns a limiter that holds some of 16 slots for a number of workspaces, with full buckets.
func benchLimiter(slots, workspaces int) *Limiter {
	l := New()
	var list []Workspace
	for i := range workspaces {
		list = append(list, Workspace{Name: fmt.Sprintf("workspace-%03d", i), TokensPerSecond: 100_000, BurstTokens: 1 << 40})
	}
	l.Configure(16, list, benchStart)
	var held []Slot
	for i := range slots {
		held = append(held, Slot{Index: i, Epoch: 1, Until: benchStart.Add(time.Hour)})
	}
	l.SetHeldSlots(held, benchStart)
	return l
}

// BenchmarkBucketMemory reports the memory of the buckets, which grows per workspace and held slot.
func BenchmarkBucketMemory(b *testing.B) {
	for _, c := range []struct{ slots, workspaces int }{{1, 36}, {1, 3600}, {16, 3600}} {
		b.Run(fmt.Sprintf("slots=%d/workspaces=%d", c.slots, c.workspaces), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				l := benchLimiter(c.slots, c.workspaces)
				b.ReportMetric(float64(heap()-before), "bytes")
				runtime.KeepAlive(l)
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkTake measures one charge that the VM's own slots cover.
func BenchmarkTake(b *testing.B) {
	for _, slots := range []int{1, 16} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			l := benchLimiter(slots, 360)
			now := benchStart.Add(30 * time.Minute)
			clock := func() time.Time { return now }
			b.ReportAllocs()
			for b.Loop() {
				l.Take("workspace-123", 1, clock)
			}
		})
	}
}

// BenchmarkDebit measures one debit for a peer, including the insertion of its id.
func BenchmarkDebit(b *testing.B) {
	l := benchLimiter(1, 360)
	now := benchStart.Add(30 * time.Minute)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		// 64 debits per second keep the set of ids below its limit.
		at := now.Add(time.Duration(i) * time.Second / 64)
		l.held[0].Until = at.Add(time.Second)
		if g := l.Debit(fmt.Sprint(i), "workspace-123", 1, func() time.Time { return at }); g.Tokens != 1 {
			b.Fatalf("%+v", g)
		}
	}
}

// BenchmarkSpare measures the spare tokens for one heartbeat, which grow per workspace.
func BenchmarkSpare(b *testing.B) {
	for _, workspaces := range []int{36, 360} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			l := benchLimiter(1, workspaces)
			b.ReportAllocs()
			for b.Loop() {
				l.SpareTokens(benchStart.Add(time.Second))
			}
		})
	}
}
