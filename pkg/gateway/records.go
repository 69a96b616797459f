package gateway

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/share"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// applyRecords applies records of a stream from the store or a peer; next is the position after the last of them. The
// caller holds the lock.
func (g *Gateway) applyRecords(s Stream, records []Record, next logpos.Position) {
	for _, r := range records {
		if s == OperatorStream {
			g.applyOperatorRecord(r)
			continue
		}
		g.applyEndpointRecord(r)
	}
	st := g.streams[s]
	if s == OperatorStream && next.After(st.next) {
		g.catchUp.Applied()
	}
	st.advance(next)
	st.readAt = g.now()
}

// advance records that all records before a position have been read.
func (st *streamState) advance(next logpos.Position) {
	if next.Era > st.next.Era {
		// A proof of an earlier era says nothing about this one.
		st.freshness.Reset()
		st.provenAt = time.Time{}
	}
	st.next = logpos.Max(st.next, next)
}

// isApplied reports whether a record, or a later one of its key and era, was applied already.
func (st *streamState) isApplied(r Record) bool {
	old, known := st.records[r.Key]
	return known && old.Position.Era == r.Position.Era && !r.Position.After(old.Position)
}

// applyOperatorRecord applies a configuration or an announced weight version. The operator's own versions order its
// records, since the store may come back from a copy that holds older ones at later positions. The caller holds the lock.
func (g *Gateway) applyOperatorRecord(r Record) {
	st := g.streams[OperatorStream]
	if st.isApplied(r) {
		return
	}
	if len(r.Value) == 0 {
		g.withdrawRollout(r)
		return
	}
	change, err := g.platform.Decoder.DecodeOperator(r.Key, r.Value)
	if err != nil {
		g.metrics.count("operator_records_unreadable_total")
		g.log.warn(partConfig).Str("key", r.Key).Int64("era", r.Position.Era).Int64("offset", r.Position.Offset).Err(err).
			Msg("record is unreadable")
		return
	}
	if change.Rollout != nil {
		g.applyRolloutOrder(r, *change.Rollout, g.now())
		return
	}
	version, named := change.version()
	if !named {
		return
	}
	if old, known := st.versions[r.Key]; known && version <= old {
		if version < old {
			g.log.info(partConfig).Str("key", r.Key).Int64("version", version).Int64("known_version", old).
				Int64("era", r.Position.Era).Int64("offset", r.Position.Offset).Msg("older version ignored")
		}
		return
	}
	if change.Weights != nil {
		st.weightVersions += version - st.versions[r.Key]
	}
	st.records[r.Key] = r
	st.versions[r.Key] = version
	st.recordChange(r.Key, r.Position)
	for _, err := range change.Skipped {
		g.metrics.count("configuration_elements_skipped_total")
		g.log.warn(partConfig).Int64("version", change.Config.Version).Int64("offset", r.Position.Offset).Err(err).
			Msg("element of the configuration is unreadable, left out")
	}
	if change.Config != nil {
		g.applyConfig(change.Config, r.Position)
	}
	if change.Weights != nil {
		g.applyWeights(change.Weights)
	}
	g.requestDigest()
	signal(g.newsRequests)
}

// version returns the operator's version of a change. It reports false if the key of the record is unknown.
func (c OperatorChange) version() (version int64, named bool) {
	switch {
	case c.Config != nil:
		return c.Config.Version, true
	case c.Weights != nil:
		return c.Weights.Version, true
	}
	return 0, false
}

// applyConfig puts a configuration in force unless it is not newer than the present one. The caller holds the lock.
func (g *Gateway) applyConfig(c *traffic.Config, at logpos.Position) {
	if old := g.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	limits := make([]share.Limit, 0, len(c.Workspaces))
	for _, w := range c.Workspaces {
		limits = append(limits, share.Limit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	g.limiter.Configure(limits, g.now())
	c.KeepUnreadableLimits(g.config.Load())
	g.config.Store(c)
	g.configAppliedAt = g.now()
	g.metrics.count("configurations_total")
	g.log.info(partConfig).Int64("version", c.Version).Int64("era", at.Era).Int64("offset", at.Offset).Int("routes", len(c.Routes)).
		Int("workspaces", len(c.Workspaces)).Dur("verified_age_ms", g.streams[OperatorStream].verifiedAge(g.now())).
		Dur("behind_ms", g.catchUp.BehindFor(g.now())).
		Msg("configuration in force")
}

// applyEndpointRecord applies a registration, heartbeat or removal of an endpoint. The caller holds the lock.
func (g *Gateway) applyEndpointRecord(r Record) {
	st := g.streams[EndpointStream]
	if st.isApplied(r) {
		return
	}
	before := g.endpoints.Get(r.Key)
	change, e := g.applyToEndpoints(r)
	if change == fleet.Ignored {
		return
	}
	old, known := st.records[r.Key]
	st.records[r.Key] = r
	// A heartbeat after a removal that still waits for the end of its grace is news for peers, which know of the removal.
	wasRemoved := known && len(old.Value) == 0
	if change == fleet.Updated && !wasRemoved && differsOnlyByHeartbeat(before, e) {
		return
	}
	st.recordChange(r.Key, r.Position)
	switch {
	case change == fleet.Left && len(r.Value) == 0:
		g.announceDeparture(r.Key, "removed", r.Position)
	case change == fleet.Left:
		g.announceDeparture(r.Key, "leaving", r.Position)
	case change == fleet.Joined:
		g.log.info(partEndpoint).Str("endpoint", r.Key).Str("service", e.Service).Str("address", e.Address).
			Int64("era", r.Position.Era).Int64("offset", r.Position.Offset).Msg("endpoint joined")
	}
}

// applyToEndpoints applies a record to the list of endpoints. The registration is nil for a removal or an unreadable
// record. The caller holds the lock.
func (g *Gateway) applyToEndpoints(r Record) (fleet.Change, *fleet.Endpoint) {
	now := g.now()
	if len(r.Value) == 0 {
		return g.endpoints.Remove(r.Key, r.Position, now), nil
	}
	e, err := g.platform.Decoder.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		g.metrics.count("endpoint_records_unreadable_total")
		g.log.warn(partEndpoint).Str("endpoint", r.Key).Int64("era", r.Position.Era).Int64("offset", r.Position.Offset).
			Err(err).Msg("record is unreadable")
	}
	if e != nil && e.ColdRemaining > 0 {
		e.WarmAt = now.Add(e.ColdRemaining)
	}
	return g.endpoints.Apply(r.Key, r.Position, e, now), e
}

// differsOnlyByHeartbeat reports whether two records of an endpoint differ at most in what its heartbeats change.
func differsOnlyByHeartbeat(a, b *fleet.Endpoint) bool {
	if a == nil || b == nil || len(a.Versions) != len(b.Versions) {
		return false
	}
	for model, version := range a.Versions {
		if b.Versions[model] != version {
			return false
		}
	}
	return a.StartTimeMs == b.StartTimeMs && a.Address == b.Address && a.Service == b.Service &&
		a.Software == b.Software && a.Ready == b.Ready
}

// announceDeparture logs that an endpoint left and requests a digest that contains the departure.
func (g *Gateway) announceDeparture(id, reason string, at logpos.Position) {
	g.log.info(partEndpoint).Str("endpoint", id).Str("why", reason).Int64("era", at.Era).Int64("offset", at.Offset).
		Msg("endpoint left")
	g.requestDigest()
}
