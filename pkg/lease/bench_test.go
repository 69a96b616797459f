package lease

import (
	"fmt"
	"testing"
	"time"
)

// The benchmarks report the costs per unit that docs/CAPACITY.md lists. They check no time.

// benchManager returns a manager that has read the claims of a number of slots, one VM each, and holds slot 0.
func benchManager(b *testing.B, slots int, now time.Time) (*Manager, View) {
	b.Helper()
	self := Holder{VM: "vm-0", Incarnation: "i", Address: "10.0.0.1:7000"}
	m := NewManager(self)
	view := View{Slots: slots, Retention: time.Hour}
	for i := range slots {
		h := Holder{VM: fmt.Sprintf("vm-%d", i), Incarnation: "i", Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)}
		if i == 0 {
			h = self
		}
		r := Record{Kind: KindClaim, Resource: SlotResource(i), Epoch: 1, Holder: h}
		m.Apply(int64(i), r.Encode(), now)
		view.Live = append(view.Live, h.VM)
	}
	m.Observe(Evidence{Kind: OwnRead, At: now, Next: int64(slots)}, now)
	return m, view
}

// BenchmarkPlan measures one plan of claims, releases and renewals.
func BenchmarkPlan(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	for _, slots := range []int{16, 410} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			m, view := benchManager(b, slots, now)
			b.ReportAllocs()
			for b.Loop() {
				m.Plan(now, view)
			}
		})
	}
}

// BenchmarkHeld measures one query of the resources on which this VM may act.
func BenchmarkHeld(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	for _, slots := range []int{16, 410} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			m, _ := benchManager(b, slots, now)
			b.ReportAllocs()
			for b.Loop() {
				m.Held(now)
			}
		})
	}
}

// BenchmarkClaimApply measures the encoding and application of one claim and reports its size.
func BenchmarkClaimApply(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	m, _ := benchManager(b, 16, now)
	size := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := Record{
			Kind: KindClaim, Resource: SlotResource(3), Epoch: int64(i + 2),
			Holder: Holder{VM: "vm-0123", Incarnation: "0197f3a2-5c1e-4b7a-9d42-6f0c8e2b1a55", Address: "10.0.3.4:7000"},
		}
		data := r.Encode()
		size = len(data)
		m.Apply(m.Next(), data, now)
	}
	b.ReportMetric(float64(size), "record-bytes")
}
