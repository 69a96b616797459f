// Package crashguard refuses requests that crash every endpoint that runs them.
//
// A request is known by the fingerprint of its workspace, route and body. An endpoint crash accuses the requests
// in flight there. An accused request runs only on an endpoint without another accused one, and only once at a time
// over all VMs; after two crashes it is refused everywhere. Since two accused requests do not share an endpoint, a
// second crash accuses only one of those that the first had accused.
//
// Accusations are sets of (fingerprint, event) with a weight. VMs merge them in any order and any number of times
// with the same result. Before an accused request runs, its VM registers a claim with Begin, sends it to every
// live peer, merges their answers and asks MayRun. Two VMs that claim at once see each other's claim in the
// answers, so at most one of them runs.
package crashguard

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// Fingerprint identifies a request over all repeats by its caller. It is the beginning of a SHA-256 digest: with a
// hash that is easy to invert, a caller could make a request that is refused together with another workspace's.
func Fingerprint(workspace, route string, body []byte) uint64 {
	digest := sha256.New()
	for _, name := range [...]string{workspace, route} {
		digest.Write(binary.AppendUvarint(nil, uint64(len(name))))
		digest.Write([]byte(name))
	}
	digest.Write(body)
	return binary.BigEndian.Uint64(digest.Sum(nil))
}

// Weight is the state of one accusation. When two VMs disagree, Strong wins over Cleared, Cleared over Weak and
// Weak over Claim. The values are those of the peer protocol, in thousandths.
type Weight int32

const (
	// Cleared means that the request ran clean afterwards, or that the claim was withdrawn.
	Cleared Weight = -1
	// Claim means that the request is running apart from others, or about to.
	Claim Weight = 0
	// Weak is the weight of a crash with other requests in flight.
	Weak Weight = 500
	// Strong is the weight of a crash with only this request in flight.
	Strong Weight = 1000
)

// rank orders the weights of one event.
func (w Weight) rank() int {
	switch {
	case w >= Strong:
		return 3
	case w < Claim:
		return 2
	case w > Claim:
		return 1
	}
	return 0
}

// Accusation ties a fingerprint to a crash or to a run apart.
type Accusation struct {
	// Fingerprint is the request.
	Fingerprint uint64
	// Event is the text form of the Event.
	Event string
	// Weight is the state of the accusation.
	Weight Weight
}

// Action tells what to do with a request.
type Action int

const (
	// Run means that nothing is known against the request.
	Run Action = iota
	// RunApart means that the request may run only apart from other accused requests, after Begin and MayRun.
	RunApart
	// Busy means that the request is accused and runs elsewhere at this time.
	Busy
	// Refuse means that the request crashes endpoints.
	Refuse
)

// Verdict is the decision on one request.
type Verdict struct {
	// Action tells what to do.
	Action Action
	// RetryAfter is the time after which a new try may be decided otherwise. Set for Busy and Refuse.
	RetryAfter time.Duration
}

// Refusal returns the error for the caller, or nil when the request may run.
func (v Verdict) Refusal() *refusal.Error {
	switch v.Action {
	case Busy:
		e := refusal.New(statusUnavailable, refusal.CodeCrashSuspect,
			"an endpoint crashed while it ran this request; a new run is in progress")
		return e.After(v.RetryAfter)
	case Refuse:
		e := refusal.New(statusUnprocessable, refusal.CodeCrashSuspect,
			"endpoints crashed repeatedly while they ran this request")
		return e.After(v.RetryAfter)
	}
	return nil
}

// Settings bound the guard. The zero value of a field means its default.
type Settings struct {
	// Life is the time for which an accusation counts. Default 10 minutes.
	Life time.Duration
	// ClaimLife is the longest run of an accused request. A claim that is neither cleared nor confirmed by then
	// counts as a crash, since its VM may have died together with the endpoint. Default 2 minutes.
	ClaimLife time.Duration
	// MaxFingerprints bounds the fingerprints held. Default 10,000.
	MaxFingerprints int
}

const (
	defaultLife            = 10 * time.Minute
	defaultClaimLife       = 2 * time.Minute
	defaultMaxFingerprints = 10_000
	// Events kept per fingerprint. Two crashes decide; the rest leaves room for cleared events.
	maxEvents = 16
	// Crashes after which a request is refused.
	maxCrashes = 2
	// Time after which a caller may try again while a run alone is in progress.
	busyRetry = 2 * time.Second
	// Events dated further ahead are ignored. VM clocks must agree within this time.
	maxSkew = time.Minute
)

// HTTP status codes of refusals.
const (
	statusUnprocessable = 422
	statusUnavailable   = 503
)

// Guard holds the accusations. It is safe for one goroutine.
type Guard struct {
	settings Settings
	suspects map[uint64]*suspect
	swept    time.Time
}

type suspect struct {
	events []record
}

type record struct {
	event  Event
	text   string
	weight Weight
}

// New returns an empty guard.
func New(settings Settings) *Guard {
	settings.Life = cmp.Or(settings.Life, defaultLife)
	settings.ClaimLife = cmp.Or(settings.ClaimLife, defaultClaimLife)
	settings.MaxFingerprints = cmp.Or(settings.MaxFingerprints, defaultMaxFingerprints)
	return &Guard{
		settings: settings,
		suspects: make(map[uint64]*suspect),
	}
}

// Check decides on a request that is not running yet.
func (g *Guard) Check(fingerprint uint64, now time.Time) Verdict {
	s := g.suspects[fingerprint]
	if s == nil {
		return Verdict{Action: Run}
	}
	s.expire(now, g.settings.Life)
	counts := g.count(s, now)
	switch {
	case counts.crashes >= maxCrashes:
		return Verdict{Action: Refuse, RetryAfter: g.settings.Life - now.Sub(counts.newest)}
	case counts.claims > 0:
		return Verdict{Action: Busy, RetryAfter: busyRetry}
	case counts.crashes > 0:
		return Verdict{Action: RunApart}
	}
	return Verdict{Action: Run}
}

// Begin registers a claim to run an accused request on the event's endpoint. The result goes to every live
// peer before MayRun is asked.
func (g *Guard) Begin(fingerprint uint64, event Event, now time.Time) Accusation {
	return g.put(fingerprint, event, Claim, now)
}

// MayRun reports whether the claim stands alone and the request is not refused meanwhile. It is asked after the
// answers of all live peers to the claim were merged. When it is false the claim must be withdrawn.
func (g *Guard) MayRun(fingerprint uint64, event Event, now time.Time) bool {
	s := g.suspects[fingerprint]
	if s == nil {
		return false
	}
	own := s.find(event.String())
	if own < 0 || s.events[own].weight != Claim {
		return false
	}
	counts := g.count(s, now)
	refused := counts.crashes >= maxCrashes
	return counts.claims == 1 && !refused && !g.overdue(s.events[own], now)
}

// Withdraw ends a claim under which nothing ran. The result goes to every peer.
func (g *Guard) Withdraw(fingerprint uint64, event Event, now time.Time) Accusation {
	return g.put(fingerprint, event, Cleared, now)
}

// Accuse records that the event's endpoint crashed with the requests in flight. alone tells that no other request
// of any VM was in flight there. A run under a claim passes the event of the claim. The result goes to every
// peer before the caller gets its answer, so that a repeat meets the accusation on every VM.
func (g *Guard) Accuse(event Event, fingerprints []uint64, alone bool, now time.Time) []Accusation {
	weight := Weak
	if alone {
		weight = Strong
	}
	var out []Accusation
	for _, f := range fingerprints {
		out = append(out, g.put(f, event, weight, now))
	}
	return out
}

// Clear records a clean run. It clears the weak accusations and the given claim; strong accusations stay until
// they expire. The result goes to every peer.
func (g *Guard) Clear(fingerprint uint64, event Event, now time.Time) []Accusation {
	var out []Accusation
	if event != (Event{}) {
		out = append(out, g.put(fingerprint, event, Cleared, now))
	}
	s := g.suspects[fingerprint]
	if s == nil {
		return out
	}
	for i := range s.events {
		r := &s.events[i]
		if r.weight.rank() == Weak.rank() {
			r.weight = Cleared
			out = append(out, Accusation{fingerprint, r.text, Cleared})
		}
	}
	return out
}

// Merge adds what a peer knows. Texts that are no event, expired events and events from the
// future are ignored.
func (g *Guard) Merge(accusations []Accusation, now time.Time) {
	for _, a := range accusations {
		event, ok := ParseEvent(a.Event)
		if !ok {
			continue
		}
		g.put(a.Fingerprint, event, a.Weight, now)
	}
}

// Known returns what a peer should merge, in a fixed order.
func (g *Guard) Known(now time.Time) []Accusation {
	var out []Accusation
	for f, s := range g.suspects {
		s.expire(now, g.settings.Life)
		for _, r := range s.events {
			out = append(out, Accusation{f, r.text, r.weight})
		}
		if len(s.events) == 0 {
			delete(g.suspects, f)
		}
	}
	slices.SortFunc(out, func(a, b Accusation) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Event, b.Event))
	})
	return out
}

// Contested reports whether another request has a claim on the endpoint. Two requests that are accused of one crash and
// choose their endpoints at the same moment see each other's claims here, after the answers of the peers were merged.
func (g *Guard) Contested(fingerprint uint64, endpoint string, now time.Time) bool {
	for other, s := range g.suspects {
		if other == fingerprint {
			continue
		}
		for _, r := range s.events {
			if r.weight == Claim && r.event.Endpoint == endpoint && !g.overdue(r, now) {
				return true
			}
		}
	}
	return false
}

// Reserved returns the endpoints on which claims stand. They get no other request.
func (g *Guard) Reserved(now time.Time) []string {
	var out []string
	for _, s := range g.suspects {
		for _, r := range s.events {
			if r.weight == Claim && !g.overdue(r, now) && !slices.Contains(out, r.event.Endpoint) {
				out = append(out, r.event.Endpoint)
			}
		}
	}
	slices.Sort(out)
	return out
}

// Len returns the number of fingerprints held.
func (g *Guard) Len() int {
	return len(g.suspects)
}

// put merges one record by rank. The result carries the weight that holds now.
func (g *Guard) put(fingerprint uint64, event Event, weight Weight, now time.Time) Accusation {
	text := event.String()
	if age := now.Sub(event.At); age >= g.settings.Life || age < -maxSkew {
		return Accusation{fingerprint, text, Cleared}
	}
	s := g.suspects[fingerprint]
	if s == nil {
		g.makeRoom(now)
		s = &suspect{}
		g.suspects[fingerprint] = s
	}
	return Accusation{fingerprint, text, s.merge(event, text, weight)}
}

func (s *suspect) find(text string) int {
	return slices.IndexFunc(s.events, func(r record) bool { return r.text == text })
}

// merge keeps the weight of the higher rank. A full set loses its least decisive record, the oldest of these.
func (s *suspect) merge(event Event, text string, weight Weight) Weight {
	if i := s.find(text); i >= 0 {
		r := &s.events[i]
		if weight.rank() > r.weight.rank() {
			r.weight = weight
		}
		return r.weight
	}
	s.events = append(s.events, record{event, text, weight})
	if len(s.events) > maxEvents {
		worst := 0
		for i, r := range s.events {
			if keepsBefore(s.events[worst], r) {
				worst = i
			}
		}
		s.events = slices.Delete(s.events, worst, worst+1)
	}
	return weight
}

// keepsBefore reports whether a is worth more than b: strong, then claims, then weak, then cleared; younger first.
func keepsBefore(a, b record) bool {
	order := func(r record) int {
		switch r.weight.rank() {
		case Strong.rank():
			return 3
		case Claim.rank():
			return 2
		case Weak.rank():
			return 1
		}
		return 0
	}
	if order(a) != order(b) {
		return order(a) > order(b)
	}
	return a.event.At.After(b.event.At)
}

func (s *suspect) expire(now time.Time, life time.Duration) {
	s.events = slices.DeleteFunc(s.events, func(r record) bool {
		return now.Sub(r.event.At) >= life
	})
}

// makeRoom removes expired fingerprints at most once a second, and one fingerprint when the table is full.
func (g *Guard) makeRoom(now time.Time) {
	if len(g.suspects) < g.settings.MaxFingerprints {
		return
	}
	if now.Sub(g.swept) >= time.Second {
		g.swept = now
		for f, s := range g.suspects {
			s.expire(now, g.settings.Life)
			if len(s.events) == 0 {
				delete(g.suspects, f)
			}
		}
	}
	if len(g.suspects) >= g.settings.MaxFingerprints {
		g.evict(now)
	}
}

// evict removes the least decisive fingerprint of a sample: refused ones and runs in progress stay longest.
func (g *Guard) evict(now time.Time) {
	const sample = 32
	var victim uint64
	best, seen := 0, 0
	for f, s := range g.suspects {
		c := g.count(s, now)
		value := c.crashes + 4*c.alone + 4*c.claims
		if seen == 0 || value < best {
			victim, best = f, value
		}
		seen++
		if seen == sample {
			break
		}
	}
	delete(g.suspects, victim)
}

type counts struct {
	crashes int
	alone   int
	claims  int
	newest  time.Time
}

// count counts crashes, not events: VMs that saw the same crash report it under their own events.
func (g *Guard) count(s *suspect, now time.Time) counts {
	var c counts
	var seen []crash
	for _, r := range s.events {
		strong := r.weight >= Strong || g.overdue(r, now)
		switch {
		case r.weight == Claim && !strong:
			c.claims++
			continue
		case r.weight < Claim:
			continue
		}
		if strong {
			c.alone++
		}
		if r.event.At.After(c.newest) {
			c.newest = r.event.At
		}
		id := crash{r.event.Endpoint, r.event.Incarnation}
		if !slices.Contains(seen, id) {
			seen = append(seen, id)
			c.crashes++
		}
	}
	return c
}

// overdue reports whether a claim is so old that its VM must have been lost.
func (g *Guard) overdue(r record, now time.Time) bool {
	return r.weight == Claim && now.Sub(r.event.At) >= g.settings.ClaimLife
}

type crash struct {
	endpoint    string
	incarnation string
}
