package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

// The benchmarks measure marginal costs for capacity planning. They assert no time limits.

// startEngine serves handler on loopback and returns its address.
func startEngine(b *testing.B, handler http.HandlerFunc) string {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	b.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// cpuNanos returns the CPU time of the process in nanoseconds.
func cpuNanos(b *testing.B) int64 {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// writeToken writes a stream event with token i.
func writeToken(w io.Writer, i int) {
	_, _ = fmt.Fprintf(w, "data: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"token_index\":%d,"+
		"\"choices\":[{\"index\":0,\"delta\":{\"content\":\" letter\"},\"finish_reason\":null}]}\n\n", i)
}

// BenchmarkStream measures one stream over loopback; the slope over the tokens is the cost of a token. With flush=false
// one read returns many tokens; with flush=true each token is written separately, as an engine does.
func BenchmarkStream(b *testing.B) {
	for _, c := range []struct {
		tokens int
		flush  bool
	}{{100, false}, {1100, false}, {100, true}, {1100, true}} {
		tokens := c.tokens
		b.Run(fmt.Sprintf("tokens=%d/flush=%t", tokens, c.flush), func(b *testing.B) {
			address := startEngine(b, func(w http.ResponseWriter, _ *http.Request) {
				for i := range tokens {
					writeToken(w, i)
					if c.flush {
						w.(http.Flusher).Flush()
					}
				}
				_, _ = io.WriteString(w, "data: [DONE]\n\n")
			})
			c := New(httpcall.NewClient())
			b.ReportAllocs()
			cpu := cpuNanos(b)
			for b.Loop() {
				readStream(b, c, address, tokens)
			}
			b.ReportMetric(float64(cpuNanos(b)-cpu)/float64(b.N), "cpu-ns/op")
		})
	}
}

// readStream reads a stream to its end and fails unless it has the given number of tokens.
func readStream(b *testing.B, c *Client, address string, tokens int) {
	b.Helper()
	s, err := c.Chat(context.Background(), "e", address, ChatRequest{AttemptID: "a", Version: "v1"})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	for n := 0; ; n++ {
		if _, err = s.Next(); errors.Is(err, io.EOF) && n == tokens {
			return
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStreamMemory reports the heap and stack of open streams, client and server together; the slope is the memory
// per stream.
func BenchmarkStreamMemory(b *testing.B) {
	for _, streams := range []int{50, 450} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				release := make(chan struct{})
				address := startEngine(b, func(w http.ResponseWriter, _ *http.Request) {
					writeToken(w, 0)
					w.(http.Flusher).Flush()
					<-release
				})
				c := New(httpcall.NewClient())
				before := memoryInUse()
				var open []*Stream
				for range streams {
					s, err := c.Chat(context.Background(), "e", address, ChatRequest{AttemptID: "a", Version: "v1"})
					if err != nil {
						b.Fatal(err)
					}
					if _, err := s.Next(); err != nil {
						b.Fatal(err)
					}
					open = append(open, s)
				}
				b.ReportMetric(float64(memoryInUse()-before), "bytes")
				close(release)
				for _, s := range open {
					s.Close()
				}
			}
		})
	}
}

// memoryInUse returns the heap and stack in use, in bytes. The second collection empties the pools of earlier runs.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkState measures one state request over loopback. The CPU time includes the server's.
func BenchmarkState(b *testing.B) {
	answer := `{"incarnation":"0197f3a2-5c1e-4b7a-9d42-6f0c8e2b1a55","role":"serve","versions":[{"model":"model-3","version":"v1","state":"ready"}],` +
		`"adapters":[],"fence":12,"running":9,"waiting":1,"cached_blocks":54000,"age_ms":120}`
	address := startEngine(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) })
	c := New(httpcall.NewClient())
	b.ReportAllocs()
	cpu := cpuNanos(b)
	for b.Loop() {
		if _, err := c.State(context.Background(), address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuNanos(b)-cpu)/float64(b.N), "cpu-ns/op")
}

// BenchmarkEventPage measures one page of cache events over loopback and reports its size. The slope over the events is
// the cost of an event with one block hash.
func BenchmarkEventPage(b *testing.B) {
	for _, events := range []int{0, 10, 1010} {
		b.Run(fmt.Sprintf("events=%d", events), func(b *testing.B) {
			page := []byte(`{"incarnation":"0197f3a2-5c1e-4b7a-9d42-6f0c8e2b1a55","events":[`)
			for i := range events {
				if i > 0 {
					page = append(page, ',')
				}
				page = fmt.Appendf(page, `{"seq":%d,"kind":"stored","hashes":[%d]}`, 1_000_000+i, uint64(i+1)*0x9e3779b97f4a7c15)
			}
			page = append(page, "]}"...)
			address := startEngine(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(page) })
			c := New(httpcall.NewClient())
			b.ReportAllocs()
			cpu := cpuNanos(b)
			for b.Loop() {
				got, err := c.Events(context.Background(), address, 0, time.Second)
				if err != nil || len(got.Events) != events {
					b.Fatal(len(got.Events), err)
				}
			}
			b.ReportMetric(float64(cpuNanos(b)-cpu)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(len(page)), "body-bytes")
		})
	}
}
