package logservice

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

// The benchmarks measure the slopes (cost per unit) listed in docs/CAPACITY.md. They do not assert durations.

// cpuNs returns the CPU time of this process in nanoseconds, client and server together.
func cpuNs(b *testing.B) int64 {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// BenchmarkRead measures one read over loopback, with and without records in the response. CPU time includes the server.
// The reported bytes are those of the response body; the headers of request and response add about 250.
func BenchmarkRead(b *testing.B) {
	for _, records := range []int{0, 10, 110} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			page := []byte(`{"records":[`)
			for i := range records {
				if i > 0 {
					page = append(page, ',')
				}
				page = fmt.Appendf(page, `{"offset":%d,"data":{"kind":"release_note","id":"n-%d","base":%d,"changed":{"workspaces":[{"name":"workspace-123","tokens_per_second":1000,"burst_tokens":9000}]}}}`, i, i, i)
			}
			page = fmt.Appendf(page, `],"start":0,"end":%d}`, records)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{
				Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(page) }),
				ReadHeaderTimeout: time.Second,
			}
			go func() { _ = server.Serve(ln) }()
			b.Cleanup(func() { _ = server.Close() })
			c := New(ln.Addr().String(), httpcall.NewClient())
			b.ReportAllocs()
			cpu := cpuNs(b)
			for b.Loop() {
				got, err := c.Read(context.Background(), StreamConfig, 0, 1000, time.Second)
				if err != nil || len(got.Records) != records {
					b.Fatal(len(got.Records), err)
				}
			}
			b.ReportMetric(float64(cpuNs(b)-cpu)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(len(page)), "body-bytes")
		})
	}
}
