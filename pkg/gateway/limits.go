package gateway

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/endpointlimit"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
)

// takesRequestsFor is the time since a VM's last request for which it may own limits. A VM to which the balancer sends no
// callers would not use its part.
const takesRequestsFor = 10 * time.Second

// placementLimits implements place.RateLimits. The caller holds the lock.
type placementLimits struct {
	table *endpointlimit.Table
}

// NextSend implements place.RateLimits.
func (l placementLimits) NextSend(e *fleet.Endpoint, now time.Time) time.Time {
	return l.table.NextSend(e.Incarnation(), now)
}

// ProbeDue implements place.RateLimits.
func (l placementLimits) ProbeDue(e *fleet.Endpoint, now time.Time) bool {
	return l.table.ProbeDue(e.Incarnation(), now)
}

// recordLimitedSend takes a request from this VM's part of the endpoint's limit. It reports whether the endpoint is
// limited. The caller holds the lock.
func (g *Gateway) recordLimitedSend(e *fleet.Endpoint, now time.Time) bool {
	limited := g.limits.RecordSend(e.Incarnation(), now)
	if limited {
		g.metrics.count("sends_under_limit_total")
	}
	return limited
}

// applyLimit applies what an answer says about the rate limit of its endpoint. The caller holds the lock.
func (g *Gateway) applyLimit(t *target, answer Answer, now time.Time) {
	e := t.choice.Endpoint
	if answer.Instance != "" && answer.Instance != e.ID {
		// Another endpoint answered.
		return
	}
	if answer.Limit.Kind == endpointlimit.Malformed {
		g.log.warn(partEndpoint).Str("endpoint", e.ID).Msg("endpoint advertises a malformed rate limit, ignored")
	}
	change := g.limits.Observe(endpointlimit.Answer{
		Endpoint: e.Incarnation(), Limit: answer.Limit, SentAt: t.sentAt, Conclusive: answer.Signed && !answer.NotRun,
	}, now)
	if g.handleLimitChange(change, "answer", g.settings.VM, now) {
		g.requestDigest()
	}
}

// addPeerLimits applies the limits that a peer reported. The caller holds the lock.
func (g *Gateway) addPeerLimits(limits []*gossip.EndpointLimit, vm string, now time.Time) {
	for _, l := range limits {
		change := g.limits.Merge(endpointlimit.State{
			Endpoint: fleet.Incarnation{ID: l.GetEndpoint(), StartTimeMs: l.GetBorn()},
			Revision: l.GetRevision(), Limited: l.GetLimited(), PerSecond: l.GetPerSecond(),
		}, now)
		g.handleLimitChange(change, "peer", vm, now)
	}
}

// limitsToProto converts limits to messages of the peer protocol.
func limitsToProto(states []endpointlimit.State) []*gossip.EndpointLimit {
	out := make([]*gossip.EndpointLimit, 0, len(states))
	for _, s := range states {
		out = append(out, &gossip.EndpointLimit{
			Endpoint: s.Endpoint.ID, Born: s.Endpoint.StartTimeMs, Revision: s.Revision, Limited: s.Limited, PerSecond: s.PerSecond,
		})
	}
	return out
}

// handleLimitChange logs a change of an endpoint's limit and updates this VM's parts. It reports whether there is a
// change. The caller holds the lock.
func (g *Gateway) handleLimitChange(c endpointlimit.Change, source, seenBy string, now time.Time) bool {
	if c.Rejected {
		g.log.warn(partEndpoint).Str("endpoint", c.After.Endpoint.ID).Float64("limit_per_s", c.After.PerSecond).
			Str("source", source).Str("seen_by", seenBy).Msg("rate limit of an endpoint not kept")
	}
	if !c.Changed {
		return false
	}
	g.limits.SetMembers(g.limitMembers(now), now)
	g.logLimitChange(c, source, seenBy)
	return true
}

// logLimitChange logs a change of an endpoint's limit with its source, which is an answer, a peer or the list of
// endpoints, and the VM that learned it.
func (g *Gateway) logLimitChange(c endpointlimit.Change, source, seenBy string) {
	message := "endpoint advertised a rate limit"
	switch {
	case !c.After.Limited:
		message = "rate limit of an endpoint ended"
	case c.Before.Limited:
		message = "rate limit of an endpoint changed"
	}
	g.log.info(partEndpoint).Str("endpoint", c.After.Endpoint.ID).Int64("start", c.After.Endpoint.StartTimeMs).
		Float64("limit_per_s", c.After.PerSecond).Float64("was_per_s", c.Before.PerSecond).Uint64("revision", c.After.Revision).
		Str("source", source).Str("seen_by", seenBy).Dur("age_ms", c.Age).Msg(message)
}

// takesRequests reports whether this VM may own limits: it recently received a request and is not stopping. The caller
// holds the lock.
func (g *Gateway) takesRequests(now time.Time) bool {
	return !g.leaving.Load() && !g.lastRequestAt.IsZero() && now.Sub(g.lastRequestAt) < takesRequestsFor
}

// limitMembers returns what this VM knows about the VMs that share the limits of endpoints. Unlike countVMs, it leaves out
// VMs that are stopping, which send nothing more to limited endpoints. The caller holds the lock.
func (g *Gateway) limitMembers(now time.Time) endpointlimit.Members {
	m := endpointlimit.Members{Live: 1, Known: 1}
	if g.takesRequests(now) {
		m.Owners = append(m.Owners, g.settings.VM)
	}
	for name, p := range g.peers {
		if p.leaving {
			continue
		}
		m.Known++
		if !p.live(now) {
			continue
		}
		m.Live++
		if p.takesRequests {
			m.Owners = append(m.Owners, name)
		}
	}
	for name, vm := range g.vms {
		if g.peers[name] == nil && now.Sub(vm.since) < forgetPeerAfter {
			m.Known++
		}
	}
	slices.Sort(m.Owners)
	return m
}

// updateLimits removes the limits of endpoints that are gone and recomputes this VM's parts of the others. The caller
// holds the lock.
func (g *Gateway) updateLimits(now time.Time) {
	for _, change := range g.limits.Expire(g.registeredStart, now) {
		g.logLimitChange(change, "list of endpoints", g.settings.VM)
	}
	if !g.limits.Empty() {
		g.limits.SetMembers(g.limitMembers(now), now)
	}
	usage := g.limits.Usage()
	g.metrics.set("limited_endpoints", float64(usage.Limited))
	g.metrics.set("limited_endpoints_owned", float64(usage.Owned))
	g.metrics.set("limits_per_second", usage.LimitPerSecond)
	g.metrics.set("limits_owned_per_second", usage.OwnedPerSecond)
}

// registeredStart returns the start of a registered endpoint. The caller holds the lock.
func (g *Gateway) registeredStart(id string) (startTimeMs int64, ok bool) {
	e := g.endpoints.Get(id)
	if e == nil {
		return 0, false
	}
	return e.StartTimeMs, true
}
