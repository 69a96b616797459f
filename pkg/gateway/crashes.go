package gateway

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/place"
)

// Every VM keeps a tally of the requests that crashed endpoints. What a VM sees itself it tells in its digests for a while,
// which is enough for VMs that hear it. A VM that starts, that was paused or cut off, or that refuses other requests than a
// peer asks that peer for its whole tally, so that no crash is forgotten while a VM that knows of it runs.

const (
	// crashNewsFor is the time for which a VM tells of a crash. It is longer than silentAfter, so a VM that misses it counts
	// as silent for its peers and asks one for all crashes when it is back.
	crashNewsFor = 3 * time.Second
	// maxCrashNews bounds the crashes in one digest.
	maxCrashNews = 128
	// maxCrashState bounds the requests in the answer to a VM that asks for all crashes.
	maxCrashState = 1024
	// crashAskPause is the pause between two questions for all crashes.
	crashAskPause = 500 * time.Millisecond
	// verdictLag is the time for which a peer may refuse other requests before it is asked. News takes less.
	verdictLag = 600 * time.Millisecond
)

// crashNews is a crash that this VM saw or cleared.
type crashNews struct {
	crashguard.Crash
	at time.Time
}

// crashSync is what this VM tells of crashes and whom it asks for those that it may have missed.
type crashSync struct {
	// news are oldest first.
	news []crashNews
	// from is a peer that may know more than this VM, or empty.
	from    string
	askedAt time.Time
	// saved are the refused requests that are known to be in the platform's store, unsaved those to write or remove there.
	saved, unsaved map[uint64]bool
	// saving is set while this VM writes them. It last began at triedAt.
	saving  bool
	triedAt time.Time
}

func newCrashSync() crashSync {
	return crashSync{saved: map[uint64]bool{}, unsaved: map[uint64]bool{}}
}

// startOf returns the start of an endpoint.
func startOf(e *fleet.Endpoint) crashguard.Start {
	return crashguard.Start{ID: e.ID, Born: e.Born}
}

// hexOf returns a fingerprint as logs show it.
func hexOf(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, 16)
}

// hexOfAll returns fingerprints as logs show them.
func hexOfAll(fingerprints []uint64) []string {
	out := make([]string, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		out = append(out, hexOf(fingerprint))
	}
	return out
}

// crashesEndpoints reports whether a request must not be sent to another endpoint. The caller holds the lock.
func (g *Gateway) crashesEndpoints(r *request, now time.Time) bool {
	refuse := false
	for _, fingerprint := range r.fingerprints {
		// Each one is asked, since asking keeps it remembered.
		refuse = g.crashes.Refuse(fingerprint, now) || refuse
	}
	return refuse
}

// noteCrash takes the end of an attempt that began at the given time: a broken one counts as a crash, a clean run clears the
// request, and one that was given up counts if the endpoint turns out to have ended. The caller holds the lock.
func (g *Gateway) noteCrash(r *request, t *target, res result, began, now time.Time) {
	if res.notRun {
		return
	}
	endpoint := startOf(t.choice.Endpoint)
	if res.outcome == place.Answered || res.outcome == place.Failed {
		g.unanswered.Answered(endpoint, began)
	}
	for _, fingerprint := range r.fingerprints {
		switch res.outcome {
		case place.Answered:
			g.clearCrashes(fingerprint, now)
		case place.Broken:
			g.sawCrash(crashguard.Crash{Fingerprint: fingerprint, Endpoint: endpoint.Name()}, now)
		case place.Silent, place.Neutral:
			g.unanswered.Note(fingerprint, endpoint, began, now)
		}
	}
}

// countUnanswered counts the attempts that were given up at endpoints that have ended since. The caller holds the lock.
func (g *Gateway) countUnanswered(now time.Time) {
	ended := func(s crashguard.Start) bool { return g.endpoints.Ended(s.ID, s.Born) }
	for _, c := range g.unanswered.Crashes(ended, now) {
		g.metrics.count("crashes_unanswered_total")
		g.sawCrash(c, now)
	}
}

// sawCrash counts a crash that this VM saw and tells the peers. The caller holds the lock.
func (g *Gateway) sawCrash(c crashguard.Crash, now time.Time) {
	c.Cleared = g.cleanRuns.Has(c.Fingerprint)
	if g.countCrash(c, g.settings.VM, now) {
		g.tellCrash(c, now)
		g.saveVerdict(c.Fingerprint)
	}
}

// clearCrashes clears a request that ran clean and tells the peers. The caller holds the lock.
func (g *Gateway) clearCrashes(fingerprint uint64, now time.Time) {
	g.cleanRuns.Note(fingerprint)
	cleared := g.crashes.Clear(fingerprint, now)
	if len(cleared) == 0 {
		return
	}
	g.metrics.counters.Add("crashes_cleared_total", int64(len(cleared)))
	g.log.line(partCrash).Str("fingerprint", hexOf(fingerprint)).Int("endpoints", len(cleared)).
		Msg("crashes cleared by a clean run")
	for _, c := range cleared {
		g.tellCrash(c, now)
	}
	g.saveVerdict(fingerprint)
}

func (g *Gateway) tellCrash(c crashguard.Crash, now time.Time) {
	g.crashSync.news = append(g.crashSync.news, crashNews{Crash: c, at: now})
	g.digestSoon()
}

// countCrash takes a crash that this VM or a peer saw into the tally. It reports whether that was news. The caller holds the
// lock.
func (g *Gateway) countCrash(c crashguard.Crash, seenBy string, now time.Time) bool {
	_, dropped := g.crashes.Size()
	if !g.crashes.Note(c, now) {
		return false
	}
	requests, after := g.crashes.Size()
	if evicted := after - dropped; evicted > 0 {
		g.metrics.counters.Add("crash_suspects_dropped_total", int64(evicted))
		g.log.warn(partCrash).Int("dropped", evicted).Int("requests", requests).
			Msg("tally of crashes is full, least dangerous requests dropped")
	}
	g.metrics.count("crashes_counted_total")
	g.log.line(partCrash).Str("fingerprint", hexOf(c.Fingerprint)).Str("endpoint", c.Endpoint).
		Bool("cleared", c.Cleared).Str("seen_by", seenBy).Int("endpoints", g.crashes.Endpoints(c.Fingerprint)).
		Int("requests", requests).Msg("crash counted")
	return true
}

// recentCrashes returns the crashes to tell. Where there are too many for one digest, those of requests with the most crashes
// come first, and the newest among these. The caller holds the lock.
func (g *Gateway) recentCrashes(now time.Time) []*gossip.Accusation {
	news := slices.DeleteFunc(g.crashSync.news, func(n crashNews) bool { return now.Sub(n.at) >= crashNewsFor })
	g.crashSync.news = news
	if left := len(news) - maxCrashNews; left > 0 {
		g.metrics.counters.Add("crash_news_left_out_total", int64(left))
		news = slices.Clone(news)
		slices.SortFunc(news, func(a, b crashNews) int {
			danger := cmp.Compare(g.crashes.Endpoints(b.Fingerprint), g.crashes.Endpoints(a.Fingerprint))
			return cmp.Or(danger, b.at.Compare(a.at))
		})
		news = news[:maxCrashNews]
	}
	out := make([]*gossip.Accusation, 0, len(news))
	for _, n := range news {
		out = append(out, accusation(n.Crash, now.Sub(n.at)))
	}
	return out
}

func accusation(c crashguard.Crash, unused time.Duration) *gossip.Accusation {
	return &gossip.Accusation{
		Fingerprint: c.Fingerprint, Crashed: c.Endpoint, Cleared: c.Cleared, UnusedMs: unused.Milliseconds(),
	}
}

// compareCrashes decides by a peer's digest whether this VM has to ask for crashes: the peer was not heard before and
// remembers others, or it refuses other requests than this VM for a while. The caller holds the lock.
func (g *Gateway) compareCrashes(p *peerState, d *gossip.Digest, back bool, now time.Time) {
	p.crashSum = d.GetCrashSum()
	if back && p.mayKnowCrashes(g.crashes) {
		g.crashSync.from = p.vm
	}
	if d.GetCrashVerdicts() == g.crashes.Verdicts() {
		p.verdictsDiffer = time.Time{}
		return
	}
	if p.verdictsDiffer.IsZero() {
		p.verdictsDiffer = now
	}
	if p.mayKnowCrashes(g.crashes) && now.Sub(p.verdictsDiffer) >= verdictLag {
		g.crashSync.from = p.vm
	}
}

// mayKnowCrashes reports whether a peer remembers crashes that a tally may lack.
func (p *peerState) mayKnowCrashes(t *crashguard.Tally) bool {
	return p.crashSum != 0 && p.crashSum != t.Sum()
}

// peerWithCrashes returns the peer to ask for all crashes now, or nil. The caller holds the lock.
func (g *Gateway) peerWithCrashes(now time.Time) *peerState {
	sync := &g.crashSync
	if sync.from == "" || now.Sub(sync.askedAt) < crashAskPause {
		return nil
	}
	p := g.peers[sync.from]
	if p == nil || !p.live(now) || !p.mayKnowCrashes(g.crashes) {
		p = g.anyPeerWithCrashes(now)
	}
	if p == nil {
		sync.from = ""
		return nil
	}
	sync.from, sync.askedAt = p.vm, now
	return p
}

func (g *Gateway) anyPeerWithCrashes(now time.Time) *peerState {
	for _, p := range g.peers {
		if p.live(now) && p.mayKnowCrashes(g.crashes) {
			return p
		}
	}
	return nil
}

// crashState returns all crashes for a VM that asks. The caller holds the lock.
func (g *Gateway) crashState(now time.Time) []*gossip.Accusation {
	var out []*gossip.Accusation
	for _, c := range g.crashes.All(maxCrashState) {
		out = append(out, accusation(c, now.Sub(c.UsedAt)))
	}
	return out
}
