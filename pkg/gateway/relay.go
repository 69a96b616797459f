package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/logpos"
)

// fetchDuringOutage requests records from a peer while the store fails.
func (g *Gateway) fetchDuringOutage(s Stream) {
	g.mu.Lock()
	p := g.peerAhead(s, g.now()).id()
	g.mu.Unlock()
	if p != nil {
		g.fetchState(p.vm, p.address)
	}
}

// peerAhead returns a live peer that holds newer records of a stream than this VM, or nil. Peers that were not asked lately
// are preferred, then those that reach the store, then those of the same data centre; among equals the choice is random, so
// that VMs that start together do not all ask the same one. The caller holds the lock.
func (g *Gateway) peerAhead(s Stream, now time.Time) *peerState {
	var best []*peerState
	bestRank := 0
	for _, p := range sorted(g.peers) {
		if !p.live(now) || !g.isAhead(p, s) {
			continue
		}
		rank := 1
		if p.dataCentre == g.settings.DataCentre {
			rank++
		}
		if p.reachesStore(now) {
			rank += 2
		}
		if s == OperatorStream && !g.catchUp.Avoided(p.vm, now) {
			rank += 4
		}
		if rank > bestRank {
			best, bestRank = nil, rank
		}
		if rank == bestRank {
			best = append(best, p)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[g.random.IntN(len(best))]
}

// fetchState requests from a peer the state that this VM lacks, and applies it. It reports whether the peer answered.
func (g *Gateway) fetchState(vm, address string) bool {
	g.mu.Lock()
	req := g.stateRequest(vm)
	g.mu.Unlock()
	asked := g.now()
	resp, err := g.relayClients.State(g.ctx, g.peerAddress(address), req)
	if err != nil {
		g.metrics.count("relay_errors_total")
		g.log.warn(partPeer).Str("peer", vm).Err(err).Msg("relay failed")
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyState(vm, req, resp, g.now())
	g.applyStateProofs(resp, asked)
	if len(resp.GetOperator()) > 0 {
		g.log.info(partPeer).Str("peer", vm).Int("operator_records", len(resp.GetOperator())).Dur("took_ms", g.now().Sub(asked)).
			Msg("state of a peer applied")
	}
	return true
}

// applyStateProofs records what the store proved to a peer, by its answer to a request that was sent at the given time. The
// answer was made after that, so this is not later than what it proves. The caller holds the lock.
func (g *Gateway) applyStateProofs(resp *gossip.StateResponse, asked time.Time) {
	g.applyPeerProof(OperatorStream, resp.GetOperatorEra(), resp.OperatorVerifiedAgeMs, asked)
	g.applyPeerProof(EndpointStream, resp.GetEndpointEra(), resp.EndpointVerifiedAgeMs, asked)
}

// stateRequest returns the request for a peer's state. The caller holds the lock.
func (g *Gateway) stateRequest(vm string) *gossip.StateRequest {
	operator, endpoint := g.streams[OperatorStream].next, g.streams[EndpointStream].next
	config, weights := g.operatorVersions()
	return &gossip.StateRequest{
		OperatorOffset: operator.Offset,
		OperatorEra:    operator.Era,
		EndpointOffset: endpoint.Offset,
		EndpointEra:    endpoint.Era,
		ConfigVersion:  config,
		WeightVersions: weights,
		Crashes:        g.crashSync.sourcePeer == vm,
	}
}

// applyState applies a peer's answer to req. The caller holds the lock.
func (g *Gateway) applyState(vm string, req *gossip.StateRequest, resp *gossip.StateResponse, now time.Time) {
	g.applyPeerRecords(OperatorStream, resp.GetOperator(), logpos.Position{Era: resp.GetOperatorEra(), Offset: resp.GetOperatorOffset()})
	g.applyPeerRecords(EndpointStream, resp.GetEndpoints(), logpos.Position{Era: resp.GetEndpointEra(), Offset: resp.GetEndpointOffset()})
	g.applyPeerBaselines(resp.GetBaselines())
	g.addPeerCrashes(resp.GetCrashes(), vm, now)
	g.addPeerLimits(resp.GetLimits(), vm, now)
	if req.GetCrashes() && g.crashSync.sourcePeer == vm {
		g.crashSync.sourcePeer = ""
	}
}

// applyPeerRecords applies what a peer sent of a stream. The position after the last of the records is zero if the peer
// has not read the stream. The caller holds the lock.
func (g *Gateway) applyPeerRecords(s Stream, records []*gossip.Record, next logpos.Position) {
	st := g.streams[s]
	before := st.changedEnd
	g.applyRecords(s, recordsFromProto(records), next)
	if next == (logpos.Position{}) {
		return
	}
	st.synced = true
	if next.Era > before.Era {
		// VMs that ask this one for changes see that it is in the new era, even if nothing changed.
		st.changedEnd = logpos.Max(st.changedEnd, logpos.Position{Era: next.Era})
	}
}

// recordsFromProto converts records of the peer protocol and orders them by position.
func recordsFromProto(records []*gossip.Record) []Record {
	out := make([]Record, 0, len(records))
	for _, r := range records {
		at := logpos.Position{Era: r.GetEra(), Offset: r.GetOffset()}
		out = append(out, Record{Key: r.GetKey(), Position: at, Value: r.GetValue()})
	}
	slices.SortFunc(out, func(a, b Record) int { return a.Position.Compare(b.Position) })
	return out
}

// endpointReaders returns the VMs that read the endpoint records from the store for all. The caller holds the lock.
func (g *Gateway) endpointReaders(now time.Time) []string {
	if g.isLargeSystem() {
		return g.storeReaders(endpointReaderCount, now)
	}
	able := []string{g.settings.VM}
	for vm, p := range g.peers {
		if p.reachesStore(now) {
			able = append(able, vm)
		}
	}
	slices.Sort(able)
	return able[:min(len(able), endpointReaderCount)]
}

// syncFromReader requests new endpoint records, if there are any, from one of the VMs that read them from the store. It
// reports false if this VM has to read them itself.
func (g *Gateway) syncFromReader() bool {
	now := g.now()
	g.mu.Lock()
	if !g.streams[EndpointStream].synced || g.isOverdue(EndpointStream, now) {
		g.mu.Unlock()
		return false
	}
	readers := g.endpointReaders(now)
	if slices.Contains(readers, g.settings.VM) {
		g.mu.Unlock()
		return false
	}
	reader := g.peers[readers[0]]
	for _, vm := range readers {
		if g.peers[vm].dataCentre == g.settings.DataCentre {
			reader = g.peers[vm]
		}
	}
	behind := reader.endpointChanged.After(g.streams[EndpointStream].next)
	vm, address := reader.vm, reader.address
	if !behind {
		g.streams[EndpointStream].readAt = reader.lastSeen
	}
	g.mu.Unlock()
	if !behind {
		return true
	}
	return g.fetchState(vm, address)
}

// relayService implements gossip.Relay.
type relayService struct {
	g *Gateway
}

// State implements gossip.Relay.
func (s relayService) State(_ context.Context, req *gossip.StateRequest) (*gossip.StateResponse, error) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.g.stateResponse(req), nil
}

// stateResponse returns the answer to a peer's state request. The caller holds the lock.
func (g *Gateway) stateResponse(req *gossip.StateRequest) *gossip.StateResponse {
	operator, endpoint, now := g.streams[OperatorStream], g.streams[EndpointStream], g.now()
	resp := &gossip.StateResponse{
		Operator:  operator.changedSince(g.operatorRequestStart(req)),
		Endpoints: endpoint.changedSince(logpos.Position{Era: req.GetEndpointEra(), Offset: req.GetEndpointOffset()}),
		Limits:    limitsToProto(g.limits.States()),
	}
	if operator.synced {
		resp.OperatorEra, resp.OperatorOffset = operator.next.Era, operator.next.Offset
		resp.OperatorVerifiedAgeMs = operator.proofAge(now)
	}
	if endpoint.synced {
		resp.EndpointEra, resp.EndpointOffset = endpoint.next.Era, endpoint.next.Offset
		resp.EndpointVerifiedAgeMs = endpoint.proofAge(now)
	}
	for service, b := range sorted(g.origins.Reliable()) {
		resp.Baselines = append(resp.Baselines, &gossip.Baseline{
			Service: service, Software: b.Software, Era: b.Era, Provisional: b.Provisional,
		})
	}
	if req.GetCrashes() {
		resp.Crashes = g.allCrashes(now)
	}
	return resp
}

// operatorRequestStart returns the position from which on a peer lacks operator records. The caller holds the lock.
func (g *Gateway) operatorRequestStart(req *gossip.StateRequest) logpos.Position {
	config, weights := g.operatorVersions()
	if req.GetConfigVersion() < config || req.GetWeightVersions() < weights {
		// The peer may have read the copy from which the store was restored, which lacks what this VM read before.
		return logpos.Position{}
	}
	return logpos.Position{Era: req.GetOperatorEra(), Offset: req.GetOperatorOffset()}
}

// changedSince returns the newest records of the keys that changed at or after a position.
func (st *streamState) changedSince(from logpos.Position) []*gossip.Record {
	var out []*gossip.Record
	for key, changed := range sorted(st.changedAt) {
		if !changed.Before(from) {
			r := st.records[key]
			out = append(out, &gossip.Record{Key: key, Era: r.Position.Era, Offset: r.Position.Offset, Value: r.Value})
		}
	}
	return out
}
