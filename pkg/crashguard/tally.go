package crashguard

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// maxCrashed is the number of endpoints that one request may crash before it is refused everywhere.
	maxCrashed = 3
	// keepSuspect is the time for which a request with fewer crashes is remembered after the last one.
	keepSuspect = 10 * time.Minute
	// keepRefused is the time for which a refused request is remembered after its last refusal.
	keepRefused = time.Hour
	// expireEvery is the pause between two searches for old requests.
	expireEvery = time.Second
	// maxEndpoints bounds the remembered endpoints of one request.
	maxEndpoints = 32
	// maxTallied bounds the remembered requests.
	maxTallied = 4096
	// evicted is the number of requests that make place at once for new ones, so that a flood of them sorts the tally rarely.
	evicted = maxTallied / 8
)

// Crash is one endpoint that ended while it ran a request.
type Crash struct {
	Fingerprint uint64
	// Endpoint names one start of an endpoint.
	Endpoint string
	// Cleared tells that the request ran clean elsewhere, so the endpoint ended for another reason. A cleared crash never
	// counts again.
	Cleared bool
	// UsedAt is when a VM last saw a crash of the request, or last refused it. Zero stands for the present.
	UsedAt time.Time
}

// tallied is what is known of one request.
type tallied struct {
	// cleared has the endpoints that ended while they ran the request, with whether the crash was cleared.
	cleared map[string]bool
	// usedAt is when a VM last saw a crash of the request, or last refused it.
	usedAt time.Time
}

// counted returns the number of crashes that count.
func (r *tallied) counted() int {
	n := 0
	for _, cleared := range r.cleared {
		if !cleared {
			n++
		}
	}
	return n
}

func (r *tallied) refused() bool {
	return r.counted() >= maxCrashed
}

// Tally counts the endpoints that ended while they ran a request, over all VMs. A request is refused once there are three
// of them and no endpoint has answered it. It does not run accused requests apart as Guard does: an innocent one would
// have to be on three endpoints that crash, and a clean run clears it.
//
// Tallies that exchange their crashes in any order and any number of times become equal: crashes are only added, and only
// become cleared. It is safe for one goroutine.
type Tally struct {
	requests map[uint64]*tallied
	// sum and verdicts are the sums over all crashes and over the refused requests.
	sum, verdicts uint64
	// expired is when old requests were last dropped.
	expired time.Time
	// dropped counts requests that made place for others.
	dropped int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{requests: map[uint64]*tallied{}}
}

// Note records a crash that this VM or another saw. It reports whether it was news. Old news is none.
func (t *Tally) Note(c Crash, now time.Time) bool {
	t.expire(now)
	usedAt := c.UsedAt
	if usedAt.IsZero() {
		usedAt = now
	}
	r := t.requests[c.Fingerprint]
	if r == nil {
		if now.Sub(usedAt) > keepRefused {
			return false
		}
		t.makePlace()
		r = &tallied{cleared: map[string]bool{}}
		t.requests[c.Fingerprint] = r
	}
	if usedAt.After(r.usedAt) {
		r.usedAt = usedAt
	}
	cleared, known := r.cleared[c.Endpoint]
	if known && (cleared || !c.Cleared) {
		return false
	}
	t.subtract(c.Fingerprint, r)
	r.cleared[c.Endpoint] = c.Cleared
	r.limit()
	t.add(c.Fingerprint, r)
	_, kept := r.cleared[c.Endpoint]
	return kept
}

// add and subtract keep the sums when a request changes. Both are the same operation.
func (t *Tally) add(fingerprint uint64, r *tallied) {
	if r.refused() {
		t.verdicts ^= fingerprint
	}
	for endpoint, cleared := range r.cleared {
		t.sum ^= sumOf(fingerprint, endpoint, cleared)
	}
}

func (t *Tally) subtract(fingerprint uint64, r *tallied) {
	t.add(fingerprint, r)
}

// sumOf returns a number for one crash that is the same on all VMs.
func sumOf(fingerprint uint64, endpoint string, cleared bool) uint64 {
	h := fnv.New64a()
	// Writes to a hash return no error.
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, fingerprint))
	_, _ = h.Write([]byte(endpoint))
	_, _ = h.Write(strconv.AppendBool(nil, cleared))
	return h.Sum64()
}

// limit drops endpoints where there are too many, cleared ones first, and those with the least names first, so that VMs
// that know the same keep the same.
func (r *tallied) limit() {
	if len(r.cleared) <= maxEndpoints {
		return
	}
	names := slices.Sorted(maps.Keys(r.cleared))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(rank(r.cleared[a]), rank(r.cleared[b])) })
	for _, endpoint := range names[:len(names)-maxEndpoints] {
		delete(r.cleared, endpoint)
	}
}

// rank orders crashes by whether they count.
func rank(cleared bool) int {
	if cleared {
		return 0
	}
	return 1
}

// Clear clears the crashes of a request that an endpoint answered. It returns those that counted until then, for peers.
func (t *Tally) Clear(fingerprint uint64, now time.Time) []Crash {
	r := t.requests[fingerprint]
	if r == nil || r.counted() == 0 {
		return nil
	}
	var out []Crash
	for _, endpoint := range slices.Sorted(maps.Keys(r.cleared)) {
		if !r.cleared[endpoint] {
			out = append(out, Crash{Fingerprint: fingerprint, Endpoint: endpoint, Cleared: true})
		}
	}
	for _, c := range out {
		t.Note(c, now)
	}
	return out
}

// Refuse reports whether a request must not be sent to another endpoint.
func (t *Tally) Refuse(fingerprint uint64, now time.Time) bool {
	t.expire(now)
	r := t.requests[fingerprint]
	if r == nil || !r.refused() {
		return false
	}
	r.usedAt = now
	return true
}

// Refused reports whether a request is refused, without using it.
func (t *Tally) Refused(fingerprint uint64) bool {
	r := t.requests[fingerprint]
	return r != nil && r.refused()
}

// Endpoints returns the number of crashes that count against a request.
func (t *Tally) Endpoints(fingerprint uint64) int {
	r := t.requests[fingerprint]
	if r == nil {
		return 0
	}
	return r.counted()
}

// Size returns the number of remembered requests, and how many made place for others so far.
func (t *Tally) Size() (requests, dropped int) {
	return len(t.requests), t.dropped
}

// Sum returns a sum over all crashes. It is zero where there is none, and differs between tallies that know different ones.
func (t *Tally) Sum() uint64 {
	return t.sum
}

// Verdicts returns a sum over the refused requests. It is zero where there is none, and differs between tallies that
// refuse different ones.
func (t *Tally) Verdicts() uint64 {
	return t.verdicts
}

// All returns the crashes of at most the given number of requests, those with the most crashes first.
func (t *Tally) All(most int) []Crash {
	var out []Crash
	for _, fingerprint := range t.byDanger(most) {
		out = append(out, t.Of(fingerprint)...)
	}
	return out
}

// Of returns the crashes of one request.
func (t *Tally) Of(fingerprint uint64) []Crash {
	r := t.requests[fingerprint]
	if r == nil {
		return nil
	}
	var out []Crash
	for endpoint, cleared := range r.cleared {
		out = append(out, Crash{Fingerprint: fingerprint, Endpoint: endpoint, Cleared: cleared, UsedAt: r.usedAt})
	}
	return out
}

// byDanger returns requests, those with the most crashes first, and the last used before others.
func (t *Tally) byDanger(most int) []uint64 {
	all := slices.Collect(maps.Keys(t.requests))
	slices.SortFunc(all, func(a, b uint64) int {
		ra, rb := t.requests[a], t.requests[b]
		return cmp.Or(cmp.Compare(rb.counted(), ra.counted()), rb.usedAt.Compare(ra.usedAt), cmp.Compare(a, b))
	})
	return all[:min(len(all), most)]
}

// makePlace drops the least dangerous requests of a full tally.
func (t *Tally) makePlace() {
	if len(t.requests) < maxTallied {
		return
	}
	for _, fingerprint := range t.byDanger(maxTallied)[maxTallied-evicted:] {
		t.forget(fingerprint)
		t.dropped++
	}
}

func (t *Tally) forget(fingerprint uint64) {
	t.subtract(fingerprint, t.requests[fingerprint])
	delete(t.requests, fingerprint)
}

// expire drops requests that were not used for long.
func (t *Tally) expire(now time.Time) {
	if now.Sub(t.expired) < expireEvery {
		return
	}
	t.expired = now
	for fingerprint, r := range t.requests {
		keep := keepSuspect
		if r.refused() {
			keep = keepRefused
		}
		if now.Sub(r.usedAt) > keep {
			t.forget(fingerprint)
		}
	}
}
