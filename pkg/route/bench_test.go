package route

import (
	"fmt"
	"testing"
)

// The benchmarks measure marginal costs for capacity planning. They assert no time limits.

// BenchmarkChain measures the hashing of a prompt; the slope is the cost per block of 4,000 bytes.
func BenchmarkChain(b *testing.B) {
	for _, blocks := range []int{4, 44} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			prompt := make([]byte, blocks*4000)
			b.ReportAllocs()
			for b.Loop() {
				BlockHashes(1, prompt, 4000)
			}
		})
	}
}

// BenchmarkPlace measures the placer's work for one request, from placement to its end, by number of engines.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{18, 120, 343, 2400} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			p := newTestPlacer(b, Options{})
			view := View{DataCentre: "x", PeerCount: 19, Cache: fakeCache{}}
			for i := range engines {
				view.Endpoints = append(view.Endpoints, testEndpoints(fmt.Sprintf("engine-%04d", i))...)
			}
			b.ReportAllocs()
			for i := uint64(1); b.Loop(); i++ {
				r := testRequest(i, 10)
				placed := p.Place(r, view, simStart)
				p.RecordSent(r, placed, simStart)
				p.RecordFirstToken(i, simStart)
				p.RecordDone(i, true, simStart)
			}
		})
	}
}
