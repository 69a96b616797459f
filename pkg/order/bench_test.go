package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
)

// BenchmarkPlan gives a slope of docs/CAPACITY.md: one plan over a number of engines that all hold the wanted version.
// It is not a test of time.
func BenchmarkPlan(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	for _, engines := range []int{240, 2400} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var state State
			var observed Observed
			for i := range 7 {
				state.Models = append(state.Models, config.Model{Name: fmt.Sprint("model-", i), Version: "v1"})
			}
			for i := range engines {
				name, model := fmt.Sprintf("engine-%04d", i), fmt.Sprint("model-", i%7)
				state.Endpoints = append(state.Endpoints, config.Endpoint{Name: name, Kind: config.EndpointEngine, Address: "10.0.0.1:8000", Models: []string{model}})
				observed = append(observed, Reading{Endpoint: name, Incarnation: "i", Loaded: []Loaded{{Model: model, Version: "v1"}}, LastFence: -1, ReadAt: now})
			}
			p := NewPlanner(Settings{})
			p.SetRight(Right{Held: true, Fence: 1, Since: now.Add(-time.Minute), Takeover: TakeoverFirst})
			b.ReportAllocs()
			for b.Loop() {
				if orders := p.Plan(state, observed, now); len(orders) != 0 {
					b.Fatal(orders)
				}
			}
		})
	}
}
