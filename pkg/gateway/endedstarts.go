package gateway

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/place"
)

// An endpoint may start again under its ID and at its address with other software, and is taken for its earlier process until
// its new record is read. What tells a VM sooner is that connections broke and nothing listens at the address, neither for this
// VM nor for others: that process has ended for good. Until a newer record arrives, no stream begins or goes on there that
// must stay at one software version.

// maxEndedReports limits the ended starts in one digest.
const maxEndedReports = 64

// mayHaveEnded reports whether the failure of an attempt may mean that the endpoint's process has ended.
func mayHaveEnded(res attemptResult) bool {
	switch res.outcome {
	case place.Broken, place.Unreachable, place.ConnectionRefused:
		return true
	}
	return false
}

// recordEnded records that this VM saw that the process of an endpoint has ended, and tells the peers. The caller holds the
// lock.
func (g *Gateway) recordEnded(e *fleet.Endpoint, now time.Time) {
	s := fleet.EndedStart{ID: e.ID, StartTimeMs: e.StartTimeMs, At: now}
	if g.markEnded(s, g.settings.VM, now) {
		g.endedSeen = append(g.endedSeen, s)
		g.requestDigest()
	}
}

// markEnded records that the process of an endpoint has ended. It reports whether that was not known and concerns the
// registered start. The caller holds the lock.
func (g *Gateway) markEnded(s fleet.EndedStart, seenBy string, now time.Time) bool {
	if !g.endpoints.MarkEnded(s) {
		return false
	}
	g.metrics.count("endpoints_ended_total")
	g.log.info(partEndpoint).Str("endpoint", s.ID).Int64("born", s.StartTimeMs).Str("seen_by", seenBy).Dur("age_ms", now.Sub(s.At)).
		Msg("endpoint has ended, no streams until it registers again")
	return true
}

// endedReports returns the ended starts for the next digest: those that this VM saw, for as long as they count, so that a VM that
// starts or was cut off hears of them too. The caller holds the lock.
func (g *Gateway) endedReports(now time.Time) []*gossip.EndedStart {
	g.endedSeen = slices.DeleteFunc(g.endedSeen, func(s fleet.EndedStart) bool { return !g.endpoints.StillCounts(s) })
	var out []*gossip.EndedStart
	for _, s := range g.endedSeen[max(len(g.endedSeen)-maxEndedReports, 0):] {
		out = append(out, &gossip.EndedStart{Endpoint: s.ID, Born: s.StartTimeMs, AgeMs: now.Sub(s.At).Milliseconds()})
	}
	return out
}

// applyPeerEnded applies the ended starts that a peer reports. The caller holds the lock.
func (g *Gateway) applyPeerEnded(d *gossip.Digest, now time.Time) {
	for _, s := range d.GetEndedStarts() {
		at := now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond)
		g.markEnded(fleet.EndedStart{ID: s.GetEndpoint(), StartTimeMs: s.GetBorn(), At: at}, d.GetVm(), now)
	}
}

// withoutEnded returns the endpoints whose processes are not known to have ended. The caller holds the lock.
func (g *Gateway) withoutEnded(endpoints []*fleet.Endpoint) []*fleet.Endpoint {
	for i, e := range endpoints {
		if !g.endpoints.HasEnded(e) {
			continue
		}
		out := append([]*fleet.Endpoint(nil), endpoints[:i]...)
		for _, other := range endpoints[i+1:] {
			if !g.endpoints.HasEnded(other) {
				out = append(out, other)
			}
		}
		return out
	}
	return endpoints
}
