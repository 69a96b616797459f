// Package crashguard detects and refuses requests that crash every endpoint that runs them.
//
// A request is identified by the fingerprint of its workspace, route and body. An endpoint crash accuses the requests
// that were in flight there. An accused request runs only on an endpoint without another accused request, and only
// once at a time over all VMs; after two crashes every VM refuses it. Since two accused requests never share an
// endpoint, a second crash accuses only one of the requests that the first crash accused.
//
// Accusations are sets of (fingerprint, event) pairs with a weight. VMs merge them in any order and any number of
// times with the same result. Before an accused request runs, its VM registers a claim with RegisterClaim, sends it
// to every live peer, merges their answers and calls MayRun. Two VMs that claim a request at the same time see each
// other's claim in the answers, so at most one of them runs it.
package crashguard

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// Fingerprint returns the identifier of a request, which is the same for every repeat by its caller. It is the
// beginning of a SHA-256 digest: if the hash was easy to invert, a caller could craft a request whose refusal also
// refuses a request of another workspace.
func Fingerprint(workspace, route string, body []byte) uint64 {
	digest := sha256.New()
	for _, name := range [...]string{workspace, route} {
		digest.Write(binary.AppendUvarint(nil, uint64(len(name))))
		digest.Write([]byte(name))
	}
	digest.Write(body)
	return binary.BigEndian.Uint64(digest.Sum(nil))
}

// Weight is the state of one accusation. When two VMs disagree, Strong wins over Cleared, Cleared over Weak, and Weak
// over Claim. The values are those of the peer protocol, in thousandths.
type Weight int32

const (
	// Cleared means that the request ran clean after the crash, or that the claim was withdrawn.
	Cleared Weight = -1
	// Claim means that the request runs in isolation or is about to.
	Claim Weight = 0
	// Weak is the weight of a crash while other requests were in flight as well.
	Weak Weight = 500
	// Strong is the weight of a crash while only this request was in flight.
	Strong Weight = 1000
)

// rank returns the precedence of the weight among conflicting weights of one event.
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

// Accusation links a fingerprint to a crash or to a claim for an isolated run.
type Accusation struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// Event is the text form of the Event.
	Event string
	// Weight is the state of the accusation.
	Weight Weight
}

// Action is what the caller of Check has to do with a request.
type Action int

const (
	// Run means that no crash counts against the request.
	Run Action = iota
	// RunIsolated means that the request may run only on an endpoint without another accused request, after RegisterClaim and
	// MayRun.
	RunIsolated
	// Busy means that the request is accused and is running elsewhere now.
	Busy
	// Refuse means that the request crashed too many endpoints.
	Refuse
)

// Decision is the result of Check for one request.
type Decision struct {
	// Action is what to do with the request.
	Action Action
	// RetryAfter is the time after which the decision may change. It is set for Busy and Refuse.
	RetryAfter time.Duration
}

// Refusal returns the error for the caller, or nil if the request may run.
func (d Decision) Refusal() *refusal.Error {
	switch d.Action {
	case Busy:
		e := refusal.New(statusUnavailable, refusal.CodeCrashSuspect,
			"an endpoint crashed while it ran this request; a new run is in progress")
		return e.WithRetryAfter(d.RetryAfter)
	case Refuse:
		e := refusal.New(statusUnprocessable, refusal.CodeCrashSuspect,
			"endpoints crashed repeatedly while they ran this request")
		return e.WithRetryAfter(d.RetryAfter)
	}
	return nil
}

// Settings holds the limits of a Guard. A zero field takes its default.
type Settings struct {
	// AccusationLifetime is the time for which an accusation counts. Default 10 minutes.
	AccusationLifetime time.Duration
	// ClaimLifetime is the longest run of an accused request. A claim that was neither cleared nor confirmed within
	// this time counts as a crash, since its VM may have died together with the endpoint. Default 2 minutes.
	ClaimLifetime time.Duration
	// MaxFingerprints is the maximum number of fingerprints held. Default 10,000.
	MaxFingerprints int
}

const (
	defaultAccusationLifetime = 10 * time.Minute
	defaultClaimLifetime      = 2 * time.Minute
	defaultMaxFingerprints    = 10_000
	// maxEventsPerRequest bounds the events of one fingerprint. Two crashes decide; the rest leaves room for cleared
	// events.
	maxEventsPerRequest = 16
	// crashesToRefuse is the number of crashes after which a request is refused.
	crashesToRefuse = 2
	// busyRetryAfter is the time after which a caller may try again while an isolated run is in progress.
	busyRetryAfter = 2 * time.Second
	// maxClockSkew is the maximum difference between the clocks of VMs. Events dated further ahead are ignored.
	maxClockSkew = time.Minute
)

// HTTP status codes of refusals.
const (
	statusUnprocessable = 422
	statusUnavailable   = 503
)

// Guard holds the accusations and decides which requests may run. It is not safe for concurrent use.
type Guard struct {
	settings Settings
	suspects map[uint64]*suspect
	// lastExpiry is when evictIfFull last removed expired fingerprints.
	lastExpiry time.Time
}

// suspect holds the events of one accused request.
type suspect struct {
	events []weightedEvent
}

// weightedEvent is an event with its text form and its current weight.
type weightedEvent struct {
	event  Event
	text   string
	weight Weight
}

// New returns an empty Guard.
func New(settings Settings) *Guard {
	settings.AccusationLifetime = cmp.Or(settings.AccusationLifetime, defaultAccusationLifetime)
	settings.ClaimLifetime = cmp.Or(settings.ClaimLifetime, defaultClaimLifetime)
	settings.MaxFingerprints = cmp.Or(settings.MaxFingerprints, defaultMaxFingerprints)
	return &Guard{
		settings: settings,
		suspects: make(map[uint64]*suspect),
	}
}

// Check decides on a request that is not running yet.
func (g *Guard) Check(fingerprint uint64, now time.Time) Decision {
	s := g.suspects[fingerprint]
	if s == nil {
		return Decision{Action: Run}
	}
	s.expire(now, g.settings.AccusationLifetime)
	counts := g.countEvents(s, now)
	switch {
	case counts.crashes >= crashesToRefuse:
		return Decision{Action: Refuse, RetryAfter: g.settings.AccusationLifetime - now.Sub(counts.newest)}
	case counts.claims > 0:
		return Decision{Action: Busy, RetryAfter: busyRetryAfter}
	case counts.crashes > 0:
		return Decision{Action: RunIsolated}
	}
	return Decision{Action: Run}
}

// RegisterClaim registers a claim to run an accused request on the event's endpoint. The caller sends the result to every
// live peer before it calls MayRun.
func (g *Guard) RegisterClaim(fingerprint uint64, event Event, now time.Time) Accusation {
	return g.mergeEvent(fingerprint, event, Claim, now)
}

// MayRun reports whether the claim is the only one on the request and the request was not refused in the meantime.
// The caller calls it after merging the answers of all live peers to the claim, and withdraws the claim if MayRun
// returns false.
func (g *Guard) MayRun(fingerprint uint64, event Event, now time.Time) bool {
	s := g.suspects[fingerprint]
	if s == nil {
		return false
	}
	own := s.find(event.String())
	if own < 0 || s.events[own].weight != Claim {
		return false
	}
	counts := g.countEvents(s, now)
	refused := counts.crashes >= crashesToRefuse
	return counts.claims == 1 && !refused && !g.overdue(s.events[own], now)
}

// WithdrawClaim clears a claim under which nothing ran. The caller sends the result to every peer.
func (g *Guard) WithdrawClaim(fingerprint uint64, event Event, now time.Time) Accusation {
	return g.mergeEvent(fingerprint, event, Cleared, now)
}

// Accuse records that the event's endpoint crashed while the requests were in flight. alone means that no other
// request of any VM was in flight there. For a run under a claim, event is the event of the claim. The caller sends
// the result to every peer before it answers its own caller, so that a repeat of the request finds the accusation on
// every VM.
func (g *Guard) Accuse(event Event, fingerprints []uint64, alone bool, now time.Time) []Accusation {
	weight := Weak
	if alone {
		weight = Strong
	}
	var out []Accusation
	for _, f := range fingerprints {
		out = append(out, g.mergeEvent(f, event, weight, now))
	}
	return out
}

// Clear records that the request ran clean. It clears the weak accusations and the given claim; strong accusations
// stay until they expire. The caller sends the result to every peer.
func (g *Guard) Clear(fingerprint uint64, event Event, now time.Time) []Accusation {
	var out []Accusation
	if event != (Event{}) {
		out = append(out, g.mergeEvent(fingerprint, event, Cleared, now))
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

// Merge adds the accusations of a peer. It ignores texts that are no valid event, expired events and events dated
// more than maxClockSkew ahead.
func (g *Guard) Merge(accusations []Accusation, now time.Time) {
	for _, a := range accusations {
		event, ok := ParseEvent(a.Event)
		if !ok {
			continue
		}
		g.mergeEvent(a.Fingerprint, event, a.Weight, now)
	}
}

// Snapshot returns all accusations for a peer to merge, sorted by fingerprint and event. It drops expired ones first.
func (g *Guard) Snapshot(now time.Time) []Accusation {
	var out []Accusation
	for f, s := range g.suspects {
		s.expire(now, g.settings.AccusationLifetime)
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

// HasCompetingClaim reports whether another request has a claim on the endpoint. Two requests that are accused of one crash
// and choose their endpoints at the same time find each other's claims here, after the answers of the peers were
// merged.
func (g *Guard) HasCompetingClaim(fingerprint uint64, endpoint string, now time.Time) bool {
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

// ClaimedEndpoints returns the endpoints with a claim, sorted. They must receive no other request.
func (g *Guard) ClaimedEndpoints(now time.Time) []string {
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

// mergeEvent merges one event by the rank of its weight, unless the event is expired or dated too far ahead. The
// result carries the weight in force after the merge.
func (g *Guard) mergeEvent(fingerprint uint64, event Event, weight Weight, now time.Time) Accusation {
	text := event.String()
	if age := now.Sub(event.At); age >= g.settings.AccusationLifetime || age < -maxClockSkew {
		return Accusation{fingerprint, text, Cleared}
	}
	s := g.suspects[fingerprint]
	if s == nil {
		g.evictIfFull(now)
		s = &suspect{}
		g.suspects[fingerprint] = s
	}
	return Accusation{fingerprint, text, s.merge(event, text, weight)}
}

// find returns the index of the event with the given text form, or -1.
func (s *suspect) find(text string) int {
	return slices.IndexFunc(s.events, func(r weightedEvent) bool { return r.text == text })
}

// merge keeps the weight of the higher rank and returns it. A set above maxEventsPerRequest drops its least decisive
// event, and among equally decisive ones the oldest.
func (s *suspect) merge(event Event, text string, weight Weight) Weight {
	if i := s.find(text); i >= 0 {
		r := &s.events[i]
		if weight.rank() > r.weight.rank() {
			r.weight = weight
		}
		return r.weight
	}
	s.events = append(s.events, weightedEvent{event, text, weight})
	if len(s.events) > maxEventsPerRequest {
		worst := 0
		for i, r := range s.events {
			if moreDecisive(s.events[worst], r) {
				worst = i
			}
		}
		s.events = slices.Delete(s.events, worst, worst+1)
	}
	return weight
}

// moreDecisive reports whether a is kept in preference to b: strong events first, then claims, weak and cleared
// events, and among equals the younger first.
func moreDecisive(a, b weightedEvent) bool {
	order := func(r weightedEvent) int {
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

// expire removes the events that are older than life.
func (s *suspect) expire(now time.Time, life time.Duration) {
	s.events = slices.DeleteFunc(s.events, func(r weightedEvent) bool {
		return now.Sub(r.event.At) >= life
	})
}

// evictIfFull makes room in a full table: it removes expired fingerprints at most once a second, and one more
// fingerprint if the table is still full.
func (g *Guard) evictIfFull(now time.Time) {
	if len(g.suspects) < g.settings.MaxFingerprints {
		return
	}
	if now.Sub(g.lastExpiry) >= time.Second {
		g.lastExpiry = now
		for f, s := range g.suspects {
			s.expire(now, g.settings.AccusationLifetime)
			if len(s.events) == 0 {
				delete(g.suspects, f)
			}
		}
	}
	if len(g.suspects) >= g.settings.MaxFingerprints {
		g.evict(now)
	}
}

// evict removes the least decisive fingerprint of a sample. Refused requests and isolated runs in progress are kept
// longest.
func (g *Guard) evict(now time.Time) {
	const sample = 32
	var victim uint64
	best, seen := 0, 0
	for f, s := range g.suspects {
		c := g.countEvents(s, now)
		value := c.crashes + 4*c.strongEvents + 4*c.claims
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

// eventCounts summarizes the events of one request.
type eventCounts struct {
	crashes      int
	strongEvents int
	claims       int
	newest       time.Time
}

// countEvents counts the distinct crashes, strong events and claims of a request. VMs that saw the same crash report
// it under their own events, so crashes are counted by endpoint and incarnation. An overdue claim counts as a strong
// event.
func (g *Guard) countEvents(s *suspect, now time.Time) eventCounts {
	var c eventCounts
	var seen []crashID
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
			c.strongEvents++
		}
		if r.event.At.After(c.newest) {
			c.newest = r.event.At
		}
		id := crashID{r.event.Endpoint, r.event.Incarnation}
		if !slices.Contains(seen, id) {
			seen = append(seen, id)
			c.crashes++
		}
	}
	return c
}

// overdue reports whether a claim has outlived ClaimLifetime, so that its VM must have been lost.
func (g *Guard) overdue(r weightedEvent, now time.Time) bool {
	return r.weight == Claim && now.Sub(r.event.At) >= g.settings.ClaimLifetime
}

// crashID identifies one crash over the reports of all VMs.
type crashID struct {
	endpoint    string
	incarnation string
}
