package rollout

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// slowFactor is the multiple of the old version's median from which on a first token is slow.
	slowFactor = 3
	// minSlowExcess is the least excess over the median of a slow first token. Below it, the scheduling of a busy VM alone
	// triples the time of a short call.
	minSlowExcess = 25 * time.Millisecond
	// windowSamples is the number of the newest first tokens of which a median is taken, and minSamples the number from which
	// on there is one.
	windowSamples = 25
	minSamples    = 5
	// classBits is the number of bits by which the prompt sizes of two classes differ: requests within a factor of 4 are
	// comparable.
	classBits = 2
	// firstClassBits is the number of bits of the prompt sizes in the lowest class, up to 255 tokens.
	firstClassBits = 8
)

// class groups comparable requests of a route by the number of prompt tokens that are not cached.
type class struct {
	route RouteID
	size  int
}

// classOf returns the class of a request.
func classOf(route RouteID, uncachedTokens int) class {
	excess := max(bits.Len(uint(max(uncachedTokens, 0)))-firstClassBits, 0)
	return class{route: route, size: (excess + classBits - 1) / classBits}
}

// window holds the newest samples and their median.
type window struct {
	samples []time.Duration
	next    int
	median  time.Duration
	// stale is set if samples were added since the median was taken.
	stale bool
}

// add adds a sample and drops the oldest if the window is full.
func (w *window) add(d time.Duration) {
	w.stale = true
	if len(w.samples) < windowSamples {
		w.samples = append(w.samples, d)
		return
	}
	w.samples[w.next] = d
	w.next = (w.next + 1) % windowSamples
}

// medianOf returns the median. It reports false if there are too few samples.
func (w *window) medianOf() (time.Duration, bool) {
	if w == nil || len(w.samples) < minSamples {
		return 0, false
	}
	if w.stale {
		sorted := slices.Sorted(slices.Values(w.samples))
		w.median, w.stale = sorted[len(sorted)/2], false
	}
	return w.median, true
}

// Reference is what the old version of a service needs for its first tokens, as one process observes it: a moving median for
// comparable requests of each route. Where a class has too few samples, that of all requests of the route is used, and then
// that of all comparable requests of the service.
type Reference struct {
	windows map[class]*window
}

// NewReference returns an empty reference.
func NewReference() *Reference {
	return &Reference{windows: map[class]*window{}}
}

const (
	// allSizes is the size of the class of all requests of a route.
	allSizes = -1
	// allRoutes is the route of the classes of all routes. A hash of a name equals it with a probability of 2^-64.
	allRoutes RouteID = 0
)

// Observe adds the time to a first token of the old version.
func (r *Reference) Observe(route RouteID, uncachedTokens int, took time.Duration) {
	c := classOf(route, uncachedTokens)
	for _, key := range []class{c, {route: route, size: allSizes}, {route: allRoutes, size: c.size}} {
		w := r.windows[key]
		if w == nil {
			w = &window{}
			r.windows[key] = w
		}
		w.add(took)
	}
}

// IsSlow reports whether a first token took more than slowFactor times the median of comparable ones. It reports false
// while there is no median.
func (r *Reference) IsSlow(route RouteID, uncachedTokens int, took time.Duration) bool {
	c := classOf(route, uncachedTokens)
	for _, key := range []class{c, {route: route, size: allSizes}, {route: allRoutes, size: c.size}} {
		if median, known := r.windows[key].medianOf(); known {
			return took > slowFactor*median && took-median > minSlowExcess
		}
	}
	return false
}
