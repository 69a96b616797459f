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
	// endpointsToRefuse is the number of endpoints that a request may crash before every VM refuses it.
	endpointsToRefuse = 3
	// clearedRetention is how long a request is kept whose crashes were all cleared, so that a VM which has not heard of that
	// cannot bring them back.
	clearedRetention = 10 * time.Minute
	// refusedRetention is how long any other request is kept after its last crash or refusal.
	refusedRetention = time.Hour
	// expireInterval is the minimum time between two searches for expired requests.
	expireInterval = time.Second
	// maxEndpointsPerRequest bounds the endpoints held for one request.
	maxEndpointsPerRequest = 32
	// maxTalliedRequests bounds the requests held.
	maxTalliedRequests = 4096
	// evictionBatch is the number of requests evicted at once, so that a flood of new requests rarely makes the tally
	// sort all of them.
	evictionBatch = maxTalliedRequests / 8
)

// Crash is the end of one endpoint while it ran a request.
type Crash struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// Endpoint names one incarnation of an endpoint, as fleet.Incarnation.Name returns it.
	Endpoint string
	// Cleared means that the request ran clean elsewhere, so the endpoint ended for another reason. A cleared crash
	// never counts again.
	Cleared bool
	// UsedAt is when a VM last saw a crash of the request or last refused it. Zero stands for the current time.
	UsedAt time.Time
	// LearnedAt is when a VM learned of the crash. Zero stands for the current time.
	LearnedAt time.Time
	// SentAt is when the request was sent, if this VM observed the crash itself, or zero.
	SentAt time.Time
	// Late is the number of late crashes of the request that another VM knows of, see Tally.LateCrashes.
	Late int
}

// requestCrashes holds the crashes of one request.
type requestCrashes struct {
	// cleared contains each endpoint that ended while it ran the request, and whether that crash was cleared.
	cleared map[string]bool
	// usedAt is when a VM last saw a crash of the request or last refused it.
	usedAt time.Time
	// crashedAt is when this VM learned of the last crash that counted.
	crashedAt time.Time
	// refusedForGoodAt is when this VM learned of the crash that made endpointsToRefuseForGood, and lateCrashes is the number
	// of those under requests that a VM sent later than lateAfter after it.
	refusedForGoodAt time.Time
	lateCrashes      int
}

// countedCrashes returns the number of crashes that were not cleared.
func (r *requestCrashes) countedCrashes() int {
	n := 0
	for _, cleared := range r.cleared {
		if !cleared {
			n++
		}
	}
	return n
}

// learn records that a crash that counts was learned of at the given time, or now if it is zero.
func (r *requestCrashes) learn(at, now time.Time) {
	if at.IsZero() {
		at = now
	}
	if at.After(r.crashedAt) {
		r.crashedAt = at
	}
	if r.refusedForGoodAt.IsZero() && r.countedCrashes() >= endpointsToRefuseForGood {
		r.refusedForGoodAt = at
	}
}

// hasTooMany reports whether the request crashed too many endpoints.
func (r *requestCrashes) hasTooMany() bool {
	return r.countedCrashes() >= endpointsToRefuse
}

// Tally counts, over all VMs, the endpoints that ended while they ran a request, or a request with one part in its
// prompt. A request or part is refused once it has three such endpoints and none has answered it. Unlike Guard, Tally does
// not isolate accused requests: an innocent request is refused only after it was in flight on three endpoints that
// crashed, and a clean run clears it. What "request" says below holds for parts as well.
//
// Tallies that exchange their crashes in any order and any number of times become equal, because crashes are only
// added and only change to cleared. A Tally is not safe for concurrent use.
type Tally struct {
	// requests holds the crashes by fingerprint.
	requests map[uint64]*requestCrashes
	// checksum covers all crashes, and refusedRequestsChecksum all refused requests without the parts. See Checksum and
	// RefusedChecksum.
	checksum, refusedRequestsChecksum uint64
	// suspectParts are the parts with enough crashes to be refused, and refusedParts those that are.
	suspectParts, refusedParts map[uint64]bool
	// rivalParts are the parts with enough crashes to explain crashes under others, and rivalsByEndpoint those of them that were
	// accused of the crash of an endpoint.
	rivalParts       map[uint64]bool
	rivalsByEndpoint map[string][]uint64
	// storedParts are the parts for which IsStored is true.
	storedParts map[uint64]bool
	// partsChanged is set if refusedParts has to be determined anew, and changedParts are the parts whose refusal or storing
	// began or ended since TakeChangedParts was called.
	partsChanged bool
	changedParts []uint64
	// lastExpiry is when expire last removed requests.
	lastExpiry time.Time
	// evicted counts the requests that were evicted from a full tally.
	evicted int
}

// NewTally returns an empty Tally.
func NewTally() *Tally {
	return &Tally{
		requests: map[uint64]*requestCrashes{}, suspectParts: map[uint64]bool{}, refusedParts: map[uint64]bool{},
		rivalParts: map[uint64]bool{},
	}
}

// Record adds a crash that this VM or another saw. It reports whether the crash or its clearing was new and is held
// now. A crash of a request that is not held and was last used more than refusedRetention ago is ignored.
func (t *Tally) Record(c Crash, now time.Time) bool {
	t.expire(now)
	usedAt := c.UsedAt
	if usedAt.IsZero() {
		usedAt = now
	}
	r := t.requests[c.Fingerprint]
	if r == nil {
		if now.Sub(usedAt) > refusedRetention {
			return false
		}
		t.evictIfFull()
		r = &requestCrashes{cleared: map[string]bool{}}
		t.requests[c.Fingerprint] = r
	}
	if usedAt.After(r.usedAt) {
		r.usedAt = usedAt
	}
	cleared, known := r.cleared[c.Endpoint]
	if known && (cleared || !c.Cleared) {
		return false
	}
	t.removeFromChecksums(c.Fingerprint, r)
	r.cleared[c.Endpoint] = c.Cleared
	r.dropExcessEndpoints()
	t.addToChecksums(c.Fingerprint, r)
	if c.Cleared {
		r.forgetLate()
	} else {
		r.learn(c.LearnedAt, now)
		r.countLate(c)
	}
	t.updateSuspectPart(c.Fingerprint, r)
	_, kept := r.cleared[c.Endpoint]
	return kept
}

// addToChecksums adds a request to the checksums. The checksums are XOR sums, so adding a request a second time
// removes it.
func (t *Tally) addToChecksums(fingerprint uint64, r *requestCrashes) {
	if !IsPart(fingerprint) && r.hasTooMany() {
		t.refusedRequestsChecksum ^= fingerprint
	}
	for endpoint, cleared := range r.cleared {
		t.checksum ^= crashChecksum(fingerprint, endpoint, cleared)
	}
}

// updateSuspectPart updates the parts that may be refused, or may explain crashes under others, after the crashes of a request
// have changed; r is nil if it was removed.
func (t *Tally) updateSuspectPart(fingerprint uint64, r *requestCrashes) {
	if !IsPart(fingerprint) {
		return
	}
	suspect := r != nil && r.hasTooMany()
	rival := r != nil && r.countedCrashes() >= crashesToExplain
	if !rival && !t.rivalParts[fingerprint] {
		return
	}
	t.partsChanged = true
	setMember(t.suspectParts, fingerprint, suspect)
	setMember(t.rivalParts, fingerprint, rival)
}

// setMember adds an element to a set, or removes it.
func setMember(set map[uint64]bool, element uint64, member bool) {
	if member {
		set[element] = true
		return
	}
	delete(set, element)
}

// removeFromChecksums removes a request from the checksums before it changes.
func (t *Tally) removeFromChecksums(fingerprint uint64, r *requestCrashes) {
	t.addToChecksums(fingerprint, r)
}

// crashChecksum returns a hash of one crash that is the same on all VMs.
func crashChecksum(fingerprint uint64, endpoint string, cleared bool) uint64 {
	h := fnv.New64a()
	// Writes to a hash return no error.
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, fingerprint))
	_, _ = h.Write([]byte(endpoint))
	_, _ = h.Write(strconv.AppendBool(nil, cleared))
	return h.Sum64()
}

// dropExcessEndpoints reduces the endpoints to maxEndpointsPerRequest. It drops cleared ones first and then those
// first in name order, so that VMs with the same crashes keep the same ones.
func (r *requestCrashes) dropExcessEndpoints() {
	if len(r.cleared) <= maxEndpointsPerRequest {
		return
	}
	names := slices.Sorted(maps.Keys(r.cleared))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(clearedRank(r.cleared[a]), clearedRank(r.cleared[b]))
	})
	for _, endpoint := range names[:len(names)-maxEndpointsPerRequest] {
		delete(r.cleared, endpoint)
	}
}

// clearedRank orders cleared crashes before those that count.
func clearedRank(cleared bool) int {
	if cleared {
		return 0
	}
	return 1
}

// Clear clears the crashes of a request that an endpoint answered. It returns the crashes that counted until then,
// for peers.
func (t *Tally) Clear(fingerprint uint64, now time.Time) []Crash {
	r := t.requests[fingerprint]
	if r == nil || r.countedCrashes() == 0 {
		return nil
	}
	var out []Crash
	for _, endpoint := range slices.Sorted(maps.Keys(r.cleared)) {
		if !r.cleared[endpoint] {
			out = append(out, Crash{Fingerprint: fingerprint, Endpoint: endpoint, Cleared: true})
		}
	}
	for _, c := range out {
		t.Record(c, now)
	}
	return out
}

// ShouldRefuse reports whether a request must not be sent to another endpoint. A refusal renews the time for which the
// request is kept.
func (t *Tally) ShouldRefuse(fingerprint uint64, now time.Time) bool {
	t.expire(now)
	if !t.IsRefused(fingerprint) {
		return false
	}
	t.requests[fingerprint].usedAt = now
	return true
}

// IsRefused reports whether a request is refused, without renewing the time for which it is kept.
func (t *Tally) IsRefused(fingerprint uint64) bool {
	if IsPart(fingerprint) {
		t.refreshRefusedParts()
		return t.refusedParts[fingerprint]
	}
	r := t.requests[fingerprint]
	return r != nil && r.hasTooMany()
}

// CrashCount returns the number of crashes that count against a request.
func (t *Tally) CrashCount(fingerprint uint64) int {
	r := t.requests[fingerprint]
	if r == nil {
		return 0
	}
	return r.countedCrashes()
}

// Counts reports whether the end of an endpoint counts against a request.
func (t *Tally) Counts(fingerprint uint64, endpoint string) bool {
	r := t.requests[fingerprint]
	if r == nil {
		return false
	}
	cleared, known := r.cleared[endpoint]
	return known && !cleared
}

// Size returns the number of requests held and the number evicted so far.
func (t *Tally) Size() (requests, evicted int) {
	return len(t.requests), t.evicted
}

// Checksum returns a checksum over all crashes. It is zero if there are none, and differs between tallies with different
// crashes.
func (t *Tally) Checksum() uint64 {
	return t.checksum
}

// RefusedChecksum returns a checksum over the refused requests. It is zero if there are none, and differs between tallies
// that refuse different requests.
func (t *Tally) RefusedChecksum() uint64 {
	t.refreshRefusedParts()
	sum := t.refusedRequestsChecksum
	for part := range t.refusedParts {
		sum ^= part
	}
	return sum
}

// TopCrashes returns the crashes of at most the given number of requests, those with the most crashes first.
func (t *Tally) TopCrashes(most int) []Crash {
	var out []Crash
	for _, fingerprint := range t.byCrashCount(most) {
		out = append(out, t.CrashesOf(fingerprint)...)
	}
	return out
}

// CrashesOf returns the crashes of one request, ordered by endpoint.
func (t *Tally) CrashesOf(fingerprint uint64) []Crash {
	r := t.requests[fingerprint]
	if r == nil {
		return nil
	}
	var out []Crash
	for _, endpoint := range slices.Sorted(maps.Keys(r.cleared)) {
		out = append(out, Crash{
			Fingerprint: fingerprint, Endpoint: endpoint, Cleared: r.cleared[endpoint], UsedAt: r.usedAt, Late: r.lateCrashes,
		})
	}
	return out
}

// byCrashCount returns the fingerprints of at most the given number of requests, those with the most crashes first. Among
// equals, parts come first, since a crash adds many requests that never repeat, and then the last used.
func (t *Tally) byCrashCount(most int) []uint64 {
	all := slices.Collect(maps.Keys(t.requests))
	slices.SortFunc(all, func(a, b uint64) int {
		ra, rb := t.requests[a], t.requests[b]
		return cmp.Or(
			cmp.Compare(rb.countedCrashes(), ra.countedCrashes()), cmp.Compare(b&partBit, a&partBit),
			rb.usedAt.Compare(ra.usedAt), cmp.Compare(a, b),
		)
	})
	return all[:min(len(all), most)]
}

// evictIfFull removes the requests with the fewest crashes from a full tally.
func (t *Tally) evictIfFull() {
	if len(t.requests) < maxTalliedRequests {
		return
	}
	for _, fingerprint := range t.byCrashCount(maxTalliedRequests)[maxTalliedRequests-evictionBatch:] {
		t.remove(fingerprint)
		t.evicted++
	}
}

// remove drops a request and keeps the checksums consistent.
func (t *Tally) remove(fingerprint uint64) {
	t.removeFromChecksums(fingerprint, t.requests[fingerprint])
	delete(t.requests, fingerprint)
	t.updateSuspectPart(fingerprint, nil)
}

// expire removes requests whose retention is over.
func (t *Tally) expire(now time.Time) {
	if now.Sub(t.lastExpiry) < expireInterval {
		return
	}
	t.lastExpiry = now
	for fingerprint, r := range t.requests {
		retention := refusedRetention
		if r.countedCrashes() == 0 {
			retention = clearedRetention
		}
		if now.Sub(r.usedAt) > retention {
			t.remove(fingerprint)
		}
	}
}
