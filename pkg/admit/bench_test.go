package admit

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The benchmarks give the slopes of docs/CAPACITY.md. None of them is a test of time.

// The benchmarks measure the costs per request that docs/CAPACITY.md lists. None of them asserts a time.
var benchStart = time.Unix(1_800_000_000, 0)

// benchQueue returns a queue with the given number of workspaces and items of each.
func benchQueue(b *testing.B, workspaces, each int) *Queue {
	b.Helper()
	q := New(Settings{MaxItems: workspaces*each + 1})
	for w := range workspaces {
		for i := range each {
			item := Item{ID: uint64(w*each + i), Workspace: fmt.Sprintf("workspace-%03d", w), Cost: 1000}
			if err := q.Push(item, benchStart); err != nil {
				b.Fatal(err)
			}
		}
	}
	return q
}

// BenchmarkPushPop measures one Pop and Push with several waiting workspaces.
func BenchmarkPushPop(b *testing.B) {
	for _, workspaces := range []int{36, 360} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			q := benchQueue(b, workspaces, 4)
			b.ReportAllocs()
			for i := uint64(1 << 32); b.Loop(); i++ {
				item, ok := q.Pop(benchStart)
				if !ok {
					b.Fatal("empty")
				}
				item.ID = i
				if err := q.Push(item, benchStart); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkExpire measures one scan of the deadlines. The increase per queued request is the figure of interest.
func BenchmarkExpire(b *testing.B) {
	for _, each := range []int{1, 10} {
		b.Run(fmt.Sprintf("items=%d", 360*each), func(b *testing.B) {
			q := benchQueue(b, 360, each)
			b.ReportAllocs()
			for b.Loop() {
				q.Expire(benchStart)
			}
		})
	}
}

// BenchmarkQueueMemory reports the heap use of queued requests. The increase per request is the figure of interest.
func BenchmarkQueueMemory(b *testing.B) {
	for _, each := range []int{20, 220} {
		b.Run(fmt.Sprintf("items=%d", 36*each), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				q := benchQueue(b, 36, each)
				b.ReportMetric(float64(heap()-before), "bytes")
				runtime.KeepAlive(q)
			}
		})
	}
}

// heap returns the bytes of live heap objects.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
