package gateway

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/brittle"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/traffic"
	"github.com/corneldeal/corneldeal/pkg/workload"
)

const (
	// brittleWarningInterval is the shortest time between two log lines on malformed announcements.
	brittleWarningInterval = 10 * time.Second
	// silentVMsShareFor is the time for which a VM that fell silent keeps its shares, since it may only be cut off from this
	// one and still send requests.
	silentVMsShareFor = 30 * time.Second
)

// placementRejections implements place.Rejections for a service whose endpoints are brittle. The caller holds the lock.
type placementRejections struct {
	g       *Gateway
	service *traffic.Service
	request brittle.Request
}

// NextSend implements place.Rejections.
func (p placementRejections) NextSend(e *fleet.Endpoint, own, total int, now time.Time) time.Time {
	v := p.g.brittle.Judge(p.g.brittleEndpoint(e, p.service), brittle.Load{Own: own, Total: total}, p.request, now)
	if v.Allowed {
		return now
	}
	return v.WaitUntil
}

// brittleService returns what the endpoints of a brittle service tolerate. The caller holds the lock.
func (g *Gateway) brittleService(s *traffic.Service, retry bool) place.Rejections {
	p := placementRejections{g: g, service: s, request: brittle.Request{Retry: retry}}
	now := g.now()
	for _, e := range g.endpoints.Usable(s.Name) {
		p.request.Service.Endpoints++
		p.request.Service.Load += g.placer.Running(e.ID)
		p.request.Service.Room += g.brittle.Room(g.brittleEndpoint(e, s), now)
	}
	return p
}

// brittleEndpoint returns an endpoint with the number of requests that it runs at the same time. An engine whose cache is
// too small for its slots runs fewer. The caller holds the lock.
func (g *Gateway) brittleEndpoint(e *fleet.Endpoint, s *traffic.Service) brittle.Endpoint {
	slots := e.Slots
	if s.Engine != nil {
		slots = s.Engine.Slots
		load := g.placer.Load(e.ID)
		if usable := int(workload.UsableMemoryShare * float64(s.Engine.CacheTokens)); load.Memory > 0 && usable > 0 {
			slots = min(slots, max(usable*load.Running/load.Memory, 1))
		}
	}
	return brittle.Endpoint{Incarnation: e.Incarnation(), Service: s.Name, Slots: slots}
}

// applyBrittle applies what an answer says about the rejections that its endpoint tolerates. The caller holds the lock.
func (g *Gateway) applyBrittle(t *target, answer Answer, now time.Time) {
	e := t.choice.Endpoint
	if answer.Instance != "" && answer.Instance != e.ID {
		// Another endpoint answered.
		return
	}
	if answer.Brittle.Kind == brittle.Malformed {
		g.warnOfMalformedBrittleness(e, now)
	}
	change := g.brittle.Observe(brittle.Answer{
		Service: t.service.Name, Announcement: answer.Brittle, SentAt: t.sentAt, Conclusive: answer.Signed && !answer.NotRun,
	}, now)
	if g.handleBrittleChange(change, "answer", g.settings.VM, now) {
		g.requestDigest()
	}
}

// warnOfMalformedBrittleness logs and counts an announcement that cannot be read. The caller holds the lock.
func (g *Gateway) warnOfMalformedBrittleness(e *fleet.Endpoint, now time.Time) {
	g.metrics.count("answers_brittle_malformed_total")
	if now.Sub(g.brittleWarnedAt) < brittleWarningInterval {
		return
	}
	g.brittleWarnedAt = now
	g.log.warn(partEndpoint).Str("endpoint", e.ID).Str("service", e.Service).
		Msg("endpoint announces a malformed number of rejections, ignored")
}

// handleBrittleChange logs a change of a service with its source and the VM that learned it. It reports whether there is a
// change. The caller holds the lock.
func (g *Gateway) handleBrittleChange(c brittle.Change, source, seenBy string, now time.Time) bool {
	if !c.Changed {
		return false
	}
	g.updateBrittle(now)
	message := "endpoints of a service are brittle"
	if !c.After.Brittle {
		message = "endpoints of a service are no longer brittle"
	}
	g.log.info(partEndpoint).Str("service", c.After.Service).Int("rejections_per_s", c.After.Rejections).
		Int("was_per_s", c.Before.Rejections).Str("source", source).Str("seen_by", seenBy).
		Uint64("revision", c.After.Revision).Dur("age_ms", c.Age).Msg(message)
	return true
}

// recordRejection records that a brittle endpoint rejected a request for want of room. The caller holds the lock.
func (g *Gateway) recordRejection(r *request, t *target, res attemptResult, now time.Time) {
	rejections, isBrittle := g.brittle.Rejections(t.service.Name)
	if !isBrittle || res.outcome != place.Full {
		return
	}
	e := t.choice.Endpoint
	own, total := g.placer.OwnLoad(e.ID).Running, g.placer.Running(e.ID)
	g.brittle.RecordRejection(g.brittleEndpoint(e, t.service), brittle.Load{Own: own, Total: total}, now)
	g.metrics.count("rejections_by_brittle_endpoints_total")
	g.log.info(partEndpoint).Str("request", r.call.ID).Str("endpoint", e.ID).Int64("start", e.StartTimeMs).
		Int("rejections_per_s", rejections).Int("own", own).Int("running", total).
		Dur("digests_age_ms", g.oldestDigest(now)).Msg("brittle endpoint rejected a request")
	g.requestDigest()
}

// addBrittle adds the services whose endpoints are brittle and their recent rejections to a digest. The caller holds the lock.
func (g *Gateway) addBrittle(d *gossip.Digest, all bool, now time.Time) {
	for _, s := range g.brittle.ServiceReports(all, now) {
		d.BrittleServices = append(d.BrittleServices, &gossip.BrittleService{
			Service: s.Service, Revision: s.Revision, Brittle: s.Brittle, Rejections: int64(s.Rejections),
		})
	}
	for _, x := range g.brittle.RejectionReports(now) {
		d.BrittleRejections = append(d.BrittleRejections, &gossip.BrittleRejection{
			Service: x.Service, Endpoint: x.Endpoint.ID, Born: x.Endpoint.StartTimeMs, AgeMs: now.Sub(x.At).Milliseconds(),
			Room: int32(x.Room), Slots: int32(x.Slots),
		})
	}
}

// addPeerBrittle applies what a peer's digest says of brittle endpoints. The caller holds the lock.
func (g *Gateway) addPeerBrittle(d *gossip.Digest, vm string, now time.Time) {
	for _, s := range d.GetBrittleServices() {
		change := g.brittle.Merge(brittle.ServiceState{
			Service: s.GetService(), Revision: s.GetRevision(), Brittle: s.GetBrittle(), Rejections: int(s.GetRejections()),
		}, now)
		g.handleBrittleChange(change, "peer", vm, now)
	}
	for _, x := range d.GetBrittleRejections() {
		g.brittle.MergeRejection(brittle.Rejection{
			Endpoint: fleet.Incarnation{ID: x.GetEndpoint(), StartTimeMs: x.GetBorn()}, Service: x.GetService(),
			At: now.Add(-time.Duration(max(x.GetAgeMs(), 0)) * time.Millisecond), Room: int(x.GetRoom()), Slots: int(x.GetSlots()),
		}, g.placer.OwnLoad(x.GetEndpoint()).Running, now)
	}
}

// brittleMembers returns the VMs that may send requests to endpoints, sorted: this one, and those that lately received
// requests and whose digests arrive or arrived until lately. The caller holds the lock.
func (g *Gateway) brittleMembers(now time.Time) []string {
	names := []string{g.settings.VM}
	for name, p := range g.peers {
		if p.takesRequests && !p.leaving && now.Sub(p.lastSeen) < silentVMsShareFor {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// updateBrittle drops what is outdated and applies the VMs that share what endpoints tolerate. The caller holds the lock.
func (g *Gateway) updateBrittle(now time.Time) {
	if g.brittle.Empty() {
		return
	}
	g.brittle.Expire(now)
	if members := g.brittleMembers(now); g.brittle.SetMembers(members) {
		g.metrics.set("brittle_vms", float64(len(members)))
	}
	usage := g.brittle.Usage(now)
	g.metrics.set("brittle_services", float64(usage.Services))
	g.metrics.set("brittle_endpoints_full", float64(usage.Full))
}
