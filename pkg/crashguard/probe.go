package crashguard

import (
	"slices"
	"time"
)

// Parts that always come together are accused in the same crashes, so these do not tell which of them is at fault, however
// many they are. A request that holds some of the suspects and not the others tells: an answer clears those that it holds, and
// a crash is one that the others cannot explain. Such a request is sent in a turn, one at a time over all VMs, and the turns
// in which endpoints crash are few. docs/design/crashing-parts.md has the rules and what they cost.

const (
	// firstProbeDelay and nextProbeDelay are the times after the last crash under a part until a request with it may be
	// sent as a probe, if the part has endpointsToRefuse crashes and if it has more. The first lets an innocent part
	// return soon. After the second, all VMs have long heard of the crash of the first probe.
	firstProbeDelay = 5 * time.Second
	nextProbeDelay  = 20 * time.Second
	// lateAfter is the time after the crash that makes endpointsToRefuseForGood from which requests with the part are late: by
	// then all VMs refuse it, so each is a probe.
	lateAfter = 3 * time.Second
	// maxLateCrashes is the number of late crashes from which no probe of a part is sent, but for one by a request without
	// other suspects, which settles the matter.
	maxLateCrashes = 2
	// crashesToExplain is the number of crashes from which a part may explain those under another one.
	crashesToExplain = 2
	// maxCoincidences is the number of crashes under a part that may be due to something else than its request.
	maxCoincidences = 1
)

// ProbeKind tells how a request may be sent although a part of its prompt is refused.
type ProbeKind int

const (
	// NoProbe means that the request must not be sent.
	NoProbe ProbeKind = iota
	// FreeProbe means that a VM may send the request by itself.
	FreeProbe
	// TurnProbe means that the request may be sent in a turn, see ProbeTurns.
	TurnProbe
)

// Probe is how and from when on a request with a refused part may be sent.
type Probe struct {
	Kind ProbeKind
	At   time.Time
}

// Prompt holds the parts of a request's prompt that other requests share.
type Prompt struct {
	parts map[uint64]bool
	// Refused are those that are refused.
	Refused []uint64
}

// Prompt returns the parts among the fingerprints of a request.
func (t *Tally) Prompt(fingerprints []uint64) Prompt {
	t.refreshRefusedParts()
	p := Prompt{parts: map[uint64]bool{}}
	for _, fingerprint := range fingerprints {
		if !IsPart(fingerprint) {
			continue
		}
		p.parts[fingerprint] = true
		if t.refusedParts[fingerprint] {
			p.Refused = append(p.Refused, fingerprint)
		}
	}
	return p
}

// ProbeOf returns how a request may be sent although a part of its prompt is refused. Widespread is set if nearly all requests
// have the part: then it rides along in nearly every crash, so their number says little of it, and nobody is served while it
// is refused.
func (t *Tally) ProbeOf(part uint64, p Prompt, widespread bool) Probe {
	r := t.requests[part]
	if r == nil || !t.IsRefused(part) {
		return Probe{}
	}
	count := r.countedCrashes()
	switch {
	case t.tellsApart(r, p):
		return Probe{Kind: TurnProbe, At: r.crashedAt}
	case count < endpointsToRefuseForGood && (widespread || count <= endpointsToRefuse):
		return Probe{Kind: FreeProbe, At: r.crashedAt.Add(firstProbeDelay)}
	case count < endpointsToRefuseForGood:
		return Probe{Kind: FreeProbe, At: r.crashedAt.Add(nextProbeDelay)}
	case widespread && len(p.Refused) == 1 && r.lateCrashes < maxLateCrashes:
		return Probe{Kind: TurnProbe, At: r.crashedAt.Add(nextProbeDelay)}
	}
	return Probe{}
}

// tellsApart reports whether a run of a request tells if a refused part of its prompt is at fault: other parts, which it does
// not hold, explain the crashes under the part as well.
func (t *Tally) tellsApart(r *requestCrashes, p Prompt) bool {
	single := len(p.Refused) == 1
	lateAllowed, coincidences := maxLateCrashes, 0
	if single {
		lateAllowed, coincidences = maxLateCrashes+1, maxCoincidences
	}
	if r.lateCrashes >= lateAllowed {
		return false
	}
	unexplained := 0
	for endpoint, cleared := range r.cleared {
		if !cleared && !t.isExplainedWithout(p, endpoint) {
			unexplained++
		}
	}
	return unexplained <= coincidences
}

// isExplainedWithout reports whether a part that a prompt does not hold may have caused the crash of an endpoint.
func (t *Tally) isExplainedWithout(p Prompt, endpoint string) bool {
	return slices.ContainsFunc(t.rivalsByEndpoint[endpoint], func(rival uint64) bool { return !p.parts[rival] })
}

// findRivals determines which parts may explain the crashes of each endpoint.
func (t *Tally) findRivals() {
	t.rivalsByEndpoint = map[string][]uint64{}
	for part := range t.rivalParts {
		for endpoint, cleared := range t.requests[part].cleared {
			if !cleared {
				t.rivalsByEndpoint[endpoint] = append(t.rivalsByEndpoint[endpoint], part)
			}
		}
	}
}

// LateCrashes returns the number of crashes under requests with a part that a VM sent later than lateAfter after the crash that
// made endpointsToRefuseForGood.
func (t *Tally) LateCrashes(part uint64) int {
	r := t.requests[part]
	if r == nil {
		return 0
	}
	return r.lateCrashes
}

// countLate counts a crash if it is late. Only the VM that sent the request can tell; the others hear of the number. Two VMs
// with requests at the endpoint count the same.
func (r *requestCrashes) countLate(c Crash) {
	if !r.refusedForGoodAt.IsZero() && c.SentAt.After(r.refusedForGoodAt.Add(lateAfter)) {
		r.lateCrashes++
	}
	r.lateCrashes = max(r.lateCrashes, c.Late)
}

// forgetLate forgets the late crashes of a part that is no longer refused for good.
func (r *requestCrashes) forgetLate() {
	if r.countedCrashes() < endpointsToRefuseForGood {
		r.refusedForGoodAt, r.lateCrashes = time.Time{}, 0
	}
}

// TurnDuration is the time for which a turn is held: that in which its request crashes an endpoint or is answered, and all VMs
// hear of it.
const TurnDuration = 2 * time.Second

// ProbeTurns gives out the turns in which requests with refused parts are sent. One VM does so for all; the others keep in one
// when they may ask again. It is not safe for concurrent use.
type ProbeTurns struct {
	heldUntil map[uint64]time.Time
}

// NewProbeTurns returns a ProbeTurns of which no turn is held.
func NewProbeTurns() *ProbeTurns {
	return &ProbeTurns{heldUntil: map[uint64]time.Time{}}
}

// Hold has a turn of each of the parts held until the given time.
func (p *ProbeTurns) Hold(parts []uint64, until time.Time) {
	for _, part := range parts {
		p.heldUntil[part] = until
	}
}

// Take takes a turn for a request with refused parts, unless one is held for one of the parts. Otherwise it returns the time
// after which the turn may be taken.
func (p *ProbeTurns) Take(refused []uint64, now time.Time) (taken bool, after time.Duration) {
	for part, until := range p.heldUntil {
		if !now.Before(until) {
			delete(p.heldUntil, part)
		}
	}
	for _, part := range refused {
		if until, held := p.heldUntil[part]; held {
			after = max(after, until.Sub(now))
		}
	}
	if after > 0 {
		return false, after
	}
	p.Hold(refused, now.Add(TurnDuration))
	return true, 0
}
