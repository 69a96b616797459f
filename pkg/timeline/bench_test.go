package timeline

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// These benchmarks provide the figures of docs/CAPACITY.md. They have no time limits.

func benchEvent(i int) Event {
	return Event{Part: "chat", Name: "answer ended", Request: fmt.Sprintf("%036d", i), Detail: "workspace-123", Duration: time.Second}
}

// BenchmarkRecord measures recording one event into a full buffer.
func BenchmarkRecord(b *testing.B) {
	r := NewRecorder(&Clock{}, "vm-0123", "i", 1024)
	event := benchEvent(1)
	now := time.Unix(1_800_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		r.Record(event, now)
	}
}

// BenchmarkRecorderMemory reports the heap size of a full buffer. The difference between the two sizes gives the memory
// per event.
func BenchmarkRecorderMemory(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	for _, events := range []int{1024, 16384} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				r := NewRecorder(&Clock{}, "vm-0123", "i", events)
				for i := range events {
					r.Record(benchEvent(i), now)
				}
				b.ReportMetric(float64(heapBytes()-before), "bytes")
				runtime.KeepAlive(r)
			}
		})
	}
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
