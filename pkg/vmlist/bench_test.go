package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

// BenchmarkRead measures one read of the list over loopback. The slope over the number of VMs is listed in
// docs/CAPACITY.md. CPU time includes the server. It does not assert durations.
func BenchmarkRead(b *testing.B) {
	for _, vms := range []int{9, 410} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			list := List{AsOf: time.Unix(1_800_000_000, 0)}
			for i := range vms {
				list.VMs = append(list.VMs, VM{
					Name: fmt.Sprintf("vm-%04d", i), DataCentre: "dc-07", CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
					PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), State: Live,
				})
			}
			page, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
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
				if got, err := c.Read(context.Background()); err != nil || len(got.VMs) != vms {
					b.Fatal(len(got.VMs), err)
				}
			}
			b.ReportMetric(float64(cpuNs(b)-cpu)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(len(page)), "body-bytes")
		})
	}
}

// cpuNs returns the CPU time of this process in nanoseconds, client and server together.
func cpuNs(b *testing.B) int64 {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}
