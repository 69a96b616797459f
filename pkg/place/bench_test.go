package place

import "testing"

// BenchmarkPlaceAmongManyEngines measures one placement among 1,000 engines.
func BenchmarkPlaceAmongManyEngines(b *testing.B) {
	list := engines(1000)
	p := New()
	p.ApplyCacheEvents("store", 1, false, storedEvents(2))
	r := prompt(1, 2)
	b.ReportAllocs()
	for b.Loop() {
		p.Place(r, list, facts, start)
	}
}
