package gateway

import (
	"math"
	"strconv"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/place"
)

// Every VM keeps a tally of the requests that crashed endpoints. A VM reports the crashes that it observes in its digests
// for crashguard.NewsPeriod, which is enough for the VMs that receive them. A VM that starts, that was paused or cut off, or
// that refuses other requests than a peer requests that peer's whole tally, so that no crash is forgotten while a VM that
// has counted it runs.

const (
	// maxRequestsPerReply limits the requests whose crashes a reply to a peer contains.
	maxRequestsPerReply = 1024
	// crashRequestInterval is the interval between two requests for all crashes.
	crashRequestInterval = 500 * time.Millisecond
	// maxRefusalMismatch is the time for which a peer may refuse other requests than this VM before it is asked for its
	// crashes. Crashes in digests arrive sooner.
	maxRefusalMismatch = 600 * time.Millisecond
)

// crashSync is the state of the exchange of crashes with peers.
type crashSync struct {
	// news are the crashes for the next digests.
	news crashguard.News
	// sourcePeer is a peer that may hold crashes which this VM lacks, or empty.
	sourcePeer string
	askedAt    time.Time
}

// formatFingerprint returns a fingerprint in hexadecimal, as in logs and store keys.
func formatFingerprint(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, 16)
}

// maxLoggedFingerprints limits the fingerprints of a request in one log line.
const maxLoggedFingerprints = 10

// formatFingerprints returns the first fingerprints in hexadecimal, as in logs.
func formatFingerprints(fingerprints []uint64) []string {
	fingerprints = fingerprints[:min(len(fingerprints), maxLoggedFingerprints)]
	out := make([]string, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		out = append(out, formatFingerprint(fingerprint))
	}
	return out
}

// maxLoggedParts limits the parts of a prompt in one log line.
const maxLoggedParts = 8

// formatParts returns the ids of the first parts of a prompt in hexadecimal, as in logs.
func formatParts(chain []place.Part) []string {
	out := make([]string, 0, min(len(chain), maxLoggedParts))
	for _, part := range chain[:min(len(chain), maxLoggedParts)] {
		out = append(out, strconv.FormatUint(part.ID, 16))
	}
	return out
}

// recordCrashEvidence records what the end of an attempt, which began at the given time, shows about crashes: a broken
// attempt counts as a crash, a clean run clears the request, and an attempt that was given up, or whose connection was
// reset at the endpoint's limit, counts if the endpoint turns out to have ended. A malformed answer shows nothing about the
// request. The caller holds the lock.
func (g *Gateway) recordCrashEvidence(r *request, t *target, res attemptResult, began, now time.Time) {
	g.endProbes(r)
	if res.notRun {
		return
	}
	endpoint := t.choice.Endpoint.Incarnation()
	if res.outcome == place.Answered || res.outcome == place.Failed {
		g.unansweredAttempts.RecordAnswer(endpoint, began)
	}
	switch res.outcome {
	case place.Answered:
		for _, fingerprint := range r.fingerprints {
			g.clearCrashes(fingerprint, now)
		}
	case place.Broken:
		for _, fingerprint := range g.accused(r, t) {
			g.recordOwnCrash(crashguard.Crash{Fingerprint: fingerprint, Endpoint: endpoint.Name(), SentAt: began}, now)
		}
	case place.TimedOut, place.Neutral, place.ConnectionRefused:
		for _, fingerprint := range g.accused(r, t) {
			g.unansweredAttempts.Add(fingerprint, endpoint, began, now)
		}
	}
}

// addUnansweredCrashes counts as crashes the attempts that were given up at endpoints that have ended since. The caller
// holds the lock.
func (g *Gateway) addUnansweredCrashes(now time.Time) {
	ended := func(s fleet.Incarnation) bool { return g.endpoints.EndedUnannounced(s.ID, s.StartTimeMs) }
	for _, c := range g.unansweredAttempts.TakeCrashes(ended, now) {
		g.metrics.count("crashes_unanswered_total")
		g.recordOwnCrash(c, now)
	}
}

// recordOwnCrash counts a crash that this VM observed and reports it to the peers. The caller holds the lock.
func (g *Gateway) recordOwnCrash(c crashguard.Crash, now time.Time) {
	if g.isPresumedClean(c.Fingerprint, now) {
		g.metrics.count("crash_parts_excused_total")
		return
	}
	c.Cleared = !crashguard.IsPart(c.Fingerprint) && g.cleanRuns.Contains(c.Fingerprint, now)
	if !g.addCrash(c, g.settings.VM, now) {
		return
	}
	g.reportCrash(c, now)
	if !crashguard.IsPart(c.Fingerprint) {
		g.refusals.Schedule(c.Fingerprint)
		return
	}
	g.scheduleChangedParts(c.Fingerprint, now)
	// A VM that starts must know all crashes that tell suspects apart.
	g.refusals.ScheduleAgain(c.Fingerprint)
}

// clearCrashes clears the crashes of a request that ran cleanly and reports that to the peers. The caller holds the
// lock.
func (g *Gateway) clearCrashes(fingerprint uint64, now time.Time) {
	g.cleanRunsOf(fingerprint).Add(fingerprint, now)
	cleared := g.crashes.Clear(fingerprint, now)
	if len(cleared) == 0 {
		return
	}
	g.metrics.counters.Add("crashes_cleared_total", int64(len(cleared)))
	g.log.info(partCrash).Str("fingerprint", formatFingerprint(fingerprint)).Int("endpoints", len(cleared)).
		Msg("crashes cleared by a clean run")
	for _, c := range cleared {
		g.evidence.Remove(c.Fingerprint, c.Endpoint, now)
		g.reportCrash(c, now)
	}
	g.scheduleChangedParts(fingerprint, now)
	g.refusals.Schedule(fingerprint)
}

// reportCrash adds a crash to the next digests. The caller holds the lock.
func (g *Gateway) reportCrash(c crashguard.Crash, now time.Time) {
	g.crashSync.news.Add(c, now)
	g.requestDigest()
}

// addCrash adds a crash that this VM or a peer observed to the tally. It reports whether the tally changed. The caller
// holds the lock.
func (g *Gateway) addCrash(c crashguard.Crash, seenBy string, now time.Time) bool {
	_, dropped := g.crashes.Size()
	if !g.crashes.Record(c, now) {
		return false
	}
	requests, after := g.crashes.Size()
	if evicted := after - dropped; evicted > 0 {
		g.metrics.counters.Add("crash_suspects_dropped_total", int64(evicted))
		g.log.warn(partCrash).Int("dropped", evicted).Int("requests", requests).
			Msg("tally of crashes is full, least dangerous requests dropped")
	}
	if c.Cleared {
		g.evidence.Remove(c.Fingerprint, c.Endpoint, now)
	} else {
		g.evidence.Add(c, seenBy == g.settings.VM, now)
	}
	g.metrics.count("crashes_counted_total")
	g.log.info(partCrash).Str("fingerprint", formatFingerprint(c.Fingerprint)).Str("endpoint", c.Endpoint).
		Bool("cleared", c.Cleared).Str("seen_by", seenBy).Int("endpoints", g.crashes.CrashCount(c.Fingerprint)).
		Int("requests", requests).Msg("crash counted")
	return true
}

// crashReports returns the crashes for the next digest. The caller holds the lock.
func (g *Gateway) crashReports(now time.Time) []*gossip.Accusation {
	news, leftOut := g.crashSync.news.Take(g.crashes, now)
	g.metrics.counters.Add("crash_news_left_out_total", int64(leftOut))
	out := make([]*gossip.Accusation, 0, len(news))
	for _, n := range news {
		out = append(out, newAccusation(n.Crash, now.Sub(n.RecordedAt)))
	}
	return out
}

// newAccusation returns the protocol form of a crash whose request was last used the given time ago.
func newAccusation(c crashguard.Crash, unused time.Duration) *gossip.Accusation {
	return &gossip.Accusation{
		Fingerprint: c.Fingerprint, Crashed: c.Endpoint, Cleared: c.Cleared, UnusedMs: unused.Milliseconds(),
		Late: int32(min(c.Late, math.MaxInt32)),
	}
}

// compareCrashState decides from a peer's digest whether this VM has to request crashes: the peer was not live before
// and holds other crashes, or it has refused other requests than this VM for maxRefusalMismatch. The caller holds the
// lock.
func (g *Gateway) compareCrashState(p *peerState, d *gossip.Digest, appeared bool, now time.Time) {
	p.crashSum = d.GetCrashSum()
	if appeared && p.mayHoldOtherCrashes(g.crashes) {
		g.crashSync.sourcePeer = p.vm
	}
	if d.GetCrashVerdicts() == g.crashes.RefusedChecksum() {
		p.refusalsDifferSince = time.Time{}
		return
	}
	if p.refusalsDifferSince.IsZero() {
		p.refusalsDifferSince = now
	}
	if p.mayHoldOtherCrashes(g.crashes) && now.Sub(p.refusalsDifferSince) >= maxRefusalMismatch {
		g.crashSync.sourcePeer = p.vm
	}
}

// mayHoldOtherCrashes reports whether a peer may hold crashes that are missing from a tally.
func (p *peerState) mayHoldOtherCrashes(t *crashguard.Tally) bool {
	return p.crashSum != 0 && p.crashSum != t.Checksum()
}

// peerToAskForCrashes returns the peer to ask for all crashes now, or nil. The caller holds the lock.
func (g *Gateway) peerToAskForCrashes(now time.Time) *peerState {
	sync := &g.crashSync
	if sync.sourcePeer == "" || now.Sub(sync.askedAt) < crashRequestInterval {
		return nil
	}
	p := g.peers[sync.sourcePeer]
	if p == nil || !p.live(now) || !p.mayHoldOtherCrashes(g.crashes) {
		p = g.anyPeerWithOtherCrashes(now)
	}
	if p == nil {
		sync.sourcePeer = ""
		return nil
	}
	sync.sourcePeer, sync.askedAt = p.vm, now
	return p
}

// anyPeerWithOtherCrashes returns a live peer, chosen at random, that may hold crashes which this VM lacks, or nil. The
// caller holds the lock.
func (g *Gateway) anyPeerWithOtherCrashes(now time.Time) *peerState {
	var able []*peerState
	for _, p := range sorted(g.peers) {
		if p.live(now) && p.mayHoldOtherCrashes(g.crashes) {
			able = append(able, p)
		}
	}
	if len(able) == 0 {
		return nil
	}
	return able[g.random.IntN(len(able))]
}

// allCrashes returns the crashes of at most maxRequestsPerReply requests for a peer that requests them. The caller
// holds the lock.
func (g *Gateway) allCrashes(now time.Time) []*gossip.Accusation {
	var out []*gossip.Accusation
	for _, c := range g.crashes.TopCrashes(maxRequestsPerReply) {
		out = append(out, newAccusation(c, now.Sub(c.UsedAt)))
	}
	return out
}
