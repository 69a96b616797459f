package gateway

import (
	"math/bits"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

// A part of a prompt that crashes endpoints may come in requests that never repeat. The crash of an endpoint accuses the
// shared parts of every request that it had not answered, over all VMs; sound parts are cleared by the answers to other
// requests. A refused part that may be innocent is tried again by single requests, the probes.

const (
	// cleanPartValidity is the time for which an answer excuses the parts of its prompt. Parts that many requests share are
	// answered all the time, so only rare and new parts are accused. It is shorter than the 3 s within which a part must be
	// refused, so that a part that begins to crash endpoints is accused in time.
	cleanPartValidity = 2 * time.Second
	// soundAnswerEvents is the number of whole events after which an answer shows that no part of its prompt crashes
	// endpoints: a guilty part crashes an endpoint as it begins to write.
	soundAnswerEvents = 2
	// maxSharedParts limits the parts of one prompt that are looked at. A prompt with more exceeds the usual limits of
	// headers.
	maxSharedParts = 1024
	// probeStep is the time after which twice as many VMs may send a probe, in a fixed order of the VMs for each part. The
	// outcome of a probe reaches the other VMs within it.
	probeStep = 500 * time.Millisecond
	// probeTimeEstimate is the time after which callers may come back while a probe runs.
	probeTimeEstimate = time.Second
	// probeStepLarge is the same in a large system, whose digests go through hubs.
	probeStepLarge = 1500 * time.Millisecond
)

// partFingerprints returns the fingerprints of the parts of a prompt that requests share: all but the last, without
// repetitions.
func partFingerprints(chain []place.Part) []uint64 {
	shared := chain[:max(len(chain)-1, 0)]
	shared = shared[max(len(shared)-maxSharedParts, 0):]
	out := make([]uint64, 0, len(shared))
	for _, part := range shared {
		out = append(out, crashguard.PartFingerprint(part.ID))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// clearPartsOf excuses the parts of a prompt on which an endpoint is writing an answer. Streams are excused long before they
// end, so that several endpoints that end in the same moment do not accuse what their streams share. The caller holds the
// lock.
func (g *Gateway) clearPartsOf(r *request, now time.Time) {
	for _, fingerprint := range r.fingerprints {
		if crashguard.IsPart(fingerprint) {
			g.clearCrashes(fingerprint, now)
		}
	}
}

// accused returns the fingerprints that a crash of an endpoint under an attempt accuses. The caller holds the lock.
func (g *Gateway) accused(r *request, t *target) []uint64 {
	return g.accuser.Accused(r.fingerprints, t.events >= soundAnswerEvents)
}

// cleanRunsOf returns the clean runs of requests or of parts, whichever the fingerprint is of. The caller holds the lock.
func (g *Gateway) cleanRunsOf(fingerprint uint64) *crashguard.CleanRuns {
	if crashguard.IsPart(fingerprint) {
		return g.cleanParts
	}
	return g.cleanRuns
}

// probeStep returns the time within which the outcome of a probe reaches the other VMs. The caller holds the lock.
func (g *Gateway) probeStep() time.Duration {
	if g.isLargeSystem() {
		return probeStepLarge
	}
	return probeStep
}

// freeProbeTime returns when this VM may send a request with a refused part as a probe without a turn. One VM may begin, and
// twice as many may with each step, in an order that is the same on all of them: so few send one at the same time, and a rare
// part does not wait until a request with it comes to one VM of hundreds. The caller holds the lock.
func (g *Gateway) freeProbeTime(part uint64, first, now time.Time) time.Time {
	rank := rendezvous.Rank(part, g.settings.VM, g.livePeers(now))
	return first.Add(time.Duration(bits.Len(uint(rank))) * g.probeStep())
}

// mayProbe reports whether a request may be sent now as the probe of a refused part, and if not, when one may be sent. The
// time is zero if none may. The caller holds the lock.
func (g *Gateway) mayProbe(r *request, prompt crashguard.Prompt, part uint64, now time.Time) (probe bool, at time.Time) {
	p := g.probeOf(prompt, part)
	switch p.Kind {
	case crashguard.TurnProbe:
		return r.hasTurn, latest(p.At, now.Add(probeTimeEstimate))
	case crashguard.FreeProbe:
		if sender, running := g.partProbes[part]; running && sender != r.id {
			return false, now.Add(probeTimeEstimate)
		}
		at = g.freeProbeTime(part, p.At, now)
		return !now.Before(at) && !g.partTraffic.MixesSuspects(r.fingerprints), at
	}
	return false, time.Time{}
}

// startProbes records that a request is the probe of the refused parts in its prompt. The caller holds the lock.
func (g *Gateway) startProbes(r *request, t *target) {
	for _, fingerprint := range r.fingerprints {
		if !crashguard.IsPart(fingerprint) || !g.crashes.IsRefused(fingerprint) {
			continue
		}
		g.partProbes[fingerprint] = r.id
		g.metrics.count("crash_probes_total")
		g.log.info(partCrash).Str("request", r.call.ID).Str("fingerprint", formatFingerprint(fingerprint)).
			Str("endpoint", t.choice.Endpoint.ID).Int("endpoints", g.crashes.CrashCount(fingerprint)).Bool("turn", r.hasTurn).
			Msg("request with a refused part sent as a probe")
	}
}

// probeEndpoints returns the endpoint for a probe out of those that may be chosen: the one that runs the fewest requests,
// which a crash would take along. The caller holds the lock.
func (g *Gateway) probeEndpoints(endpoints []*fleet.Endpoint, excluded []string) []*fleet.Endpoint {
	var best *fleet.Endpoint
	for _, e := range endpoints {
		if slices.Contains(excluded, e.ID) {
			continue
		}
		if best == nil || g.placer.Running(e.ID) < g.placer.Running(best.ID) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	return []*fleet.Endpoint{best}
}

// endProbes records that an attempt at a request has ended, which may have been a probe. The caller holds the lock.
func (g *Gateway) endProbes(r *request) {
	for _, fingerprint := range r.fingerprints {
		if sender, running := g.partProbes[fingerprint]; running && sender == r.id {
			delete(g.partProbes, fingerprint)
		}
	}
}

// scheduleChangedParts schedules the writes of the records of parts whose refusal began or ended. Own is the fingerprint
// of a crash that this VM observed, or zero. The caller holds the lock.
func (g *Gateway) scheduleChangedParts(own uint64, now time.Time) {
	changed := g.crashes.TakeChangedParts()
	if len(changed) > 0 {
		close(g.partsChanged)
		g.partsChanged = make(chan struct{})
	}
	for _, part := range changed {
		refused := g.crashes.IsRefused(part)
		g.log.info(partCrash).Str("fingerprint", formatFingerprint(part)).Bool("refused", refused).
			Int("endpoints", g.crashes.CrashCount(part)).Msg("refusal of a part changed")
		for _, c := range g.crashes.CrashesOf(part) {
			if !c.Cleared {
				g.evidence.Add(c, false, now)
			}
		}
		if part == own || g.refusals.HasRecord(part) {
			g.refusals.Schedule(part)
			continue
		}
		g.refusals.Await(part, now)
	}
}

// crashSuspicion returns whether a request must not be sent because it, or a part of its prompt, crashes endpoints, and
// the time after which its caller may come back. The caller holds the lock.
func (g *Gateway) crashSuspicion(r *request, now time.Time) (after time.Duration, refuse bool) {
	if r.attempts == 0 {
		g.partTraffic.Count(r.fingerprints, now)
	}
	r.probe = false
	var prompt crashguard.Prompt
	if slices.ContainsFunc(r.fingerprints, g.crashes.IsRefused) {
		prompt = g.crashes.Prompt(r.fingerprints)
	}
	for _, fingerprint := range r.fingerprints {
		// ShouldRefuse is called for every fingerprint because the call also keeps it from expiring.
		if !g.crashes.ShouldRefuse(fingerprint, now) {
			continue
		}
		wait := crashRetryAfter
		if crashguard.IsPart(fingerprint) {
			probe, at := g.mayProbe(r, prompt, fingerprint, now)
			if probe {
				r.probe = true
				continue
			}
			if !at.IsZero() {
				wait = min(wait, max(at.Sub(now), noEndpointRetryAfter))
			}
		}
		after, refuse = max(after, wait), true
		r.refusedFingerprint = fingerprint
	}
	return after, refuse
}

// isCrashSuspect reports whether a request, or a part of its prompt, is refused since it crashes endpoints. The caller holds
// the lock.
func (g *Gateway) isCrashSuspect(r *request, now time.Time) bool {
	return slices.ContainsFunc(r.fingerprints, func(fingerprint uint64) bool { return g.crashes.ShouldRefuse(fingerprint, now) })
}

// isPresumedClean reports whether a part is not to be accused because an answer lately showed that it crashes nothing. The
// caller holds the lock.
func (g *Gateway) isPresumedClean(fingerprint uint64, now time.Time) bool {
	return crashguard.IsPart(fingerprint) && g.cleanParts.Contains(fingerprint, now)
}
