package gateway

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/share"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// applyRecords applies records of a stream from the store or a peer; next is the offset after the last of them. The
// caller holds the lock.
func (g *Gateway) applyRecords(s Stream, records []Record, next int64) {
	for _, r := range records {
		if s == OperatorStream {
			g.applyOperatorRecord(r)
			continue
		}
		g.applyEndpointRecord(r)
	}
	st := g.streams[s]
	if s == OperatorStream && next > st.next {
		g.behindSince = time.Time{}
	}
	st.next = max(st.next, next)
	st.readAt = steady.Now()
}

// storeIfNewer stores a record for peers. It reports false if the record is not newer than the stored one of its key.
func (st *streamState) storeIfNewer(r Record) bool {
	old, known := st.records[r.Key]
	if known && r.Offset <= old.Offset {
		return false
	}
	st.records[r.Key] = r
	return true
}

// applyOperatorRecord applies a configuration or an announced weight version. The caller holds the lock.
func (g *Gateway) applyOperatorRecord(r Record) {
	st := g.streams[OperatorStream]
	if !st.storeIfNewer(r) || len(r.Value) == 0 {
		return
	}
	st.recordChange(r.Key, r.Offset)
	change, err := g.platform.Decoder.DecodeOperator(r.Key, r.Value)
	if err != nil {
		g.metrics.count("operator_records_unreadable_total")
		g.log.warn(partConfig).Str("key", r.Key).Int64("offset", r.Offset).Err(err).Msg("record is unreadable")
		return
	}
	for _, err := range change.Skipped {
		g.metrics.count("configuration_elements_skipped_total")
		g.log.warn(partConfig).Int64("version", change.Config.Version).Int64("offset", r.Offset).Err(err).
			Msg("element of the configuration is unreadable, left out")
	}
	if change.Config != nil {
		g.applyConfig(change.Config, r.Offset)
	}
	if change.Weights != nil {
		g.applyWeights(change.Weights)
	}
	g.requestDigest()
}

// applyConfig puts a configuration in force unless it is not newer than the present one. The caller holds the lock.
func (g *Gateway) applyConfig(c *traffic.Config, offset int64) {
	if old := g.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	limits := make([]share.Limit, 0, len(c.Workspaces))
	for _, w := range c.Workspaces {
		limits = append(limits, share.Limit{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst})
	}
	g.limiter.Configure(limits, steady.Now())
	g.config.Store(c)
	g.configAppliedAt = steady.Now()
	g.metrics.count("configurations_total")
	g.log.info(partConfig).Int64("version", c.Version).Int64("offset", offset).Int("routes", len(c.Routes)).
		Int("workspaces", len(c.Workspaces)).Msg("configuration in force")
}

// applyEndpointRecord applies a registration, heartbeat or removal of an endpoint. The caller holds the lock.
func (g *Gateway) applyEndpointRecord(r Record) {
	st := g.streams[EndpointStream]
	now := steady.Now()
	if !st.storeIfNewer(r) {
		return
	}
	if len(r.Value) == 0 {
		st.recordChange(r.Key, r.Offset)
		if g.endpoints.Remove(r.Key, r.Offset, now) == fleet.Left {
			g.announceDeparture(r.Key, "removed", r.Offset)
		}
		return
	}
	e, err := g.platform.Decoder.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		g.metrics.count("endpoint_records_unreadable_total")
		g.log.warn(partEndpoint).Str("endpoint", r.Key).Int64("offset", r.Offset).Err(err).Msg("record is unreadable")
	}
	before := g.endpoints.Get(r.Key)
	change := g.endpoints.Apply(r.Key, r.Offset, e, now)
	if change == fleet.Updated && differsOnlyByHeartbeat(before, e) {
		return
	}
	st.recordChange(r.Key, r.Offset)
	switch change {
	case fleet.Left:
		g.announceDeparture(r.Key, "leaving", r.Offset)
	case fleet.Joined:
		g.log.info(partEndpoint).Str("endpoint", r.Key).Str("service", e.Service).Str("address", e.Address).
			Int64("offset", r.Offset).Msg("endpoint joined")
	}
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
	return a.StartTimeMs == b.StartTimeMs && a.Address == b.Address && a.Service == b.Service && a.Ready == b.Ready
}

// announceDeparture logs that an endpoint left and requests a digest that contains the departure.
func (g *Gateway) announceDeparture(id, reason string, offset int64) {
	g.log.info(partEndpoint).Str("endpoint", id).Str("why", reason).Int64("offset", offset).Msg("endpoint left")
	g.requestDigest()
}
