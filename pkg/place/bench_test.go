package place

import "testing"

// BenchmarkPlaceAmongManyEngines shows what a placement costs in a large system.
func BenchmarkPlaceAmongManyEngines(b *testing.B) {
	list := engines(1000)
	p := New()
	p.CacheEvents("store", 1, false, held(2))
	r := prompt(1, 2)
	b.ReportAllocs()
	for b.Loop() {
		p.Place(r, list, facts, start)
	}
}
