package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The benchmarks measure the costs per entry and per request in docs/CAPACITY.md. They check no time limits.

// benchRecord is a record with its stream and offset.
type benchRecord struct {
	stream string
	offset int64
	data   []byte
}

// benchRecords returns the intents and results of n requests, spread over all streams, each with a response body of
// 300 bytes.
func benchRecords(n int) []benchRecord {
	var records []benchRecord
	next := map[string]int64{}
	appendRecord := func(r *Record) int64 {
		stream := StreamOf(r.Workspace, r.Key)
		offset := next[stream]
		next[stream]++
		records = append(records, benchRecord{stream: stream, offset: offset, data: r.Encode()})
		return offset
	}
	body := make([]byte, 300)
	for i := range n {
		r := Record{
			Kind: KindIntent, Workspace: "workspace-123", Key: fmt.Sprintf("booking-%032d", i), Digest: fmt.Sprintf("%064x", i),
			VM: "vm-0123", Incarnation: "0197f3a2-5c1e-4b7a-9d42-6f0c8e2b1a55", Nonce: fmt.Sprintf("%036d", i),
			AcceptedMs: start.UnixMilli(), WindowMs: (30 * time.Minute).Milliseconds(),
		}
		r.Offset = appendRecord(&r)
		r.Kind = KindResult
		r.LoggedMs = start.UnixMilli()
		r.Result = &Result{Status: 201, Headers: []Header{{Name: "Content-Type", Value: "application/json"}}, Body: body}
		appendRecord(&r)
	}
	return records
}

// benchApply applies the records to a table.
func benchApply(b *testing.B, table *Table, records []benchRecord) {
	b.Helper()
	for _, r := range records {
		if a := table.Apply(r.stream, r.offset, r.data, start); a.Err != nil {
			b.Fatal(a.Err)
		}
	}
}

// BenchmarkEntryMemory measures the heap of finished entries at two counts. The difference gives the bytes per entry.
func BenchmarkEntryMemory(b *testing.B) {
	for _, entries := range []int{1000, 11000} {
		records := benchRecords(entries)
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				table := newTable("vm-0001")
				benchApply(b, table, records)
				b.ReportMetric(float64(heapBytes()-before), "bytes")
				b.ReportMetric(float64(len(records[0].data)), "intent-bytes")
				b.ReportMetric(float64(len(records[1].data)), "result-bytes")
				if table.Len() != entries {
					b.Fatal(table.Len())
				}
				runtime.KeepAlive(table)
			}
		})
	}
}

// heapBytes returns the live heap after garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkApply measures applying the two records of one request, which every VM that reads the stream does.
func BenchmarkApply(b *testing.B) {
	records := benchRecords(5000)
	b.ReportAllocs()
	for b.Loop() {
		benchApply(b, newTable("vm-0001"), records)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(records)/2), "ns/request")
}
