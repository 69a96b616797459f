package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
)

// BenchmarkPlan reports a cost per engine that docs/CAPACITY.md lists: one plan over a number of engines that all hold
// the configured version. It checks no time.
func BenchmarkPlan(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	for _, engines := range []int{240, 2400} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var cfg Config
			var readings Readings
			for i := range 7 {
				cfg.Models = append(cfg.Models, config.Model{Name: fmt.Sprint("model-", i), Version: "v1"})
			}
			for i := range engines {
				name, model := fmt.Sprintf("engine-%04d", i), fmt.Sprint("model-", i%7)
				cfg.Endpoints = append(cfg.Endpoints, config.Endpoint{Name: name, Kind: config.EndpointEngine, Address: "10.0.0.1:8000", Models: []string{model}})
				readings = append(readings, Reading{Endpoint: name, Incarnation: "i", Loaded: []Loaded{{Model: model, Version: "v1"}}, LastFence: -1, ReadAt: now})
			}
			p := NewPlanner(Settings{})
			p.SetLease(IssuerLease{Held: true, Fence: 1, Since: now.Add(-time.Minute), Takeover: TakeoverFirst})
			b.ReportAllocs()
			for b.Loop() {
				if orders := p.Plan(cfg, readings, now); len(orders) != 0 {
					b.Fatal(orders)
				}
			}
		})
	}
}
