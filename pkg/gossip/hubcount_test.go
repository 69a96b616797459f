package gossip

import (
	"slices"
	"testing"
	"time"
)

// repeated returns count equal links.
func repeated(mbps float64, count int) []float64 {
	return slices.Repeat([]float64{mbps}, count)
}

// Guards against hubs whose links are too narrow for what they forward, and against more hubs than wide links need.
func TestHubsFitTheirLinks(t *testing.T) {
	load := SpreadLoad{VMs: 78, Interval: 360 * time.Millisecond, Receivers: 26, DigestBytes: 350}
	for _, tt := range []struct {
		name  string
		links []float64
		want  int
	}{
		{"two wide links", append(repeated(200, 2), repeated(10, 24)...), 2},
		{"one wide link", append(repeated(200, 1), repeated(10, 24)...), 4},
		{"medium links", append(repeated(25, 6), repeated(10, 18)...), 2},
		{"narrow links", repeated(10, 24), 4},
		{"links too narrow for any number of hubs", repeated(1, 24), maxHubs},
		{"few VMs", repeated(1, 3), 3},
		{"one VM", repeated(200, 1), 1},
		{"no VM", nil, 0},
		{"unknown links", repeated(0, 24), 2},
	} {
		if got := HubCount(tt.links, load); got != tt.want {
			t.Errorf("%s: %d hubs, want %d", tt.name, got, tt.want)
		}
	}
	load.DigestBytes *= 2
	if got := HubCount(repeated(25, 24), load); got != 4 {
		t.Errorf("%d hubs for digests of twice the size, want 4", got)
	}
}

// Guards against a mean size that ignores what arrives, or follows a single datagram.
func TestMeanSizeFollowsDigests(t *testing.T) {
	var m MeanSize
	if m.Bytes() != typicalDigestBytes {
		t.Errorf("%v bytes before any digest", m.Bytes())
	}
	m.Observe(0, 0)
	m.Observe(10_000, 10)
	if m.Bytes() <= typicalDigestBytes || m.Bytes() > 1.1*typicalDigestBytes {
		t.Errorf("%v bytes after one datagram", m.Bytes())
	}
	for range 300 {
		m.Observe(10_000, 10)
	}
	if m.Bytes() < 900 || m.Bytes() > 1000 {
		t.Errorf("%v bytes after 3,000 digests of 1,000", m.Bytes())
	}
}
