package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// maxPeerLag is the time for which peers may hold newer records than this VM before it asks one of them.
const maxPeerLag = 300 * time.Millisecond

// fetchDuringOutage requests records from a peer while the store fails.
func (g *Gateway) fetchDuringOutage(s Stream) {
	g.mu.Lock()
	p := g.peerAhead(s, steady.Now())
	g.mu.Unlock()
	if p != nil {
		g.fetchState(p.vm, p.address)
	}
}

// peerAhead returns a live peer that holds newer records of a stream than this VM, or nil. Peers that reach the store
// are preferred, then those of the same data centre; among equals the choice is random, so that VMs that start together
// do not all ask the same one. The caller holds the lock.
func (g *Gateway) peerAhead(s Stream, now time.Time) *peerState {
	var best []*peerState
	bestRank := 0
	for _, p := range g.peers {
		if !p.live(now) || p.streamOffset(s) <= g.streams[s].next {
			continue
		}
		rank := 1
		if p.dataCentre == g.settings.DataCentre {
			rank++
		}
		if p.reachesStore(now) {
			rank += 2
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
	return best[rand.N(len(best))]
}

// fetchState requests from a peer the state that this VM lacks, and applies it. It reports whether the peer answered.
func (g *Gateway) fetchState(vm, address string) bool {
	g.mu.Lock()
	req := g.stateRequest(vm)
	g.mu.Unlock()
	asked := steady.Now()
	resp, err := g.relayClients.State(g.ctx, g.peerAddress(address), req)
	if err != nil {
		g.metrics.count("relay_errors_total")
		g.log.warn(partPeer).Str("peer", vm).Err(err).Msg("relay failed")
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyState(vm, req, resp, steady.Now())
	// The answer was made after the question, so this is not later than what it proves.
	g.applyPeerProof(OperatorStream, resp.OperatorVerifiedAgeMs, asked)
	g.applyPeerProof(EndpointStream, resp.EndpointVerifiedAgeMs, asked)
	return true
}

// stateRequest returns the request for a peer's state. The caller holds the lock.
func (g *Gateway) stateRequest(vm string) *gossip.StateRequest {
	return &gossip.StateRequest{
		OperatorOffset: g.streams[OperatorStream].next,
		EndpointOffset: g.streams[EndpointStream].next,
		Crashes:        g.crashSync.sourcePeer == vm,
	}
}

// applyState applies a peer's answer to req. The caller holds the lock.
func (g *Gateway) applyState(vm string, req *gossip.StateRequest, resp *gossip.StateResponse, now time.Time) {
	g.applyRecords(OperatorStream, recordsFromProto(resp.GetOperator()), resp.GetOperatorOffset())
	g.applyRecords(EndpointStream, recordsFromProto(resp.GetEndpoints()), resp.GetEndpointOffset())
	if resp.GetEndpointOffset() > 0 {
		g.streams[EndpointStream].synced = true
	}
	if resp.GetOperatorOffset() > 0 {
		g.streams[OperatorStream].synced = true
	}
	g.addPeerCrashes(resp.GetCrashes(), vm, now)
	g.addPeerLimits(resp.GetLimits(), vm, now)
	if req.GetCrashes() && g.crashSync.sourcePeer == vm {
		g.crashSync.sourcePeer = ""
	}
}

// recordsFromProto converts records of the peer protocol and orders them by offset.
func recordsFromProto(records []*gossip.Record) []Record {
	out := make([]Record, 0, len(records))
	for _, r := range records {
		out = append(out, Record{Key: r.GetKey(), Offset: r.GetOffset(), Value: r.GetValue()})
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// syncFromReader requests new endpoint records, if there are any, from one of the VMs that read them from the store. It
// reports false if this VM has to read them itself.
func (g *Gateway) syncFromReader() bool {
	now := steady.Now()
	g.mu.Lock()
	if !g.streams[EndpointStream].synced || g.isOverdue(EndpointStream, now) {
		g.mu.Unlock()
		return false
	}
	able := []string{g.settings.VM}
	for vm, p := range g.peers {
		if p.reachesStore(now) {
			able = append(able, vm)
		}
	}
	slices.Sort(able)
	able = able[:min(len(able), endpointReaderCount)]
	if slices.Contains(able, g.settings.VM) {
		g.mu.Unlock()
		return false
	}
	reader := g.peers[able[0]]
	for _, vm := range able {
		if g.peers[vm].dataCentre == g.settings.DataCentre {
			reader = g.peers[vm]
		}
	}
	behind := reader.endpointChanged > g.streams[EndpointStream].next
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
	operator, endpoint, now := g.streams[OperatorStream], g.streams[EndpointStream], steady.Now()
	resp := &gossip.StateResponse{
		Operator:  operator.changedSince(req.GetOperatorOffset()),
		Endpoints: endpoint.changedSince(req.GetEndpointOffset()),
		Limits:    limitsToProto(g.limits.States()),
	}
	if operator.synced {
		resp.OperatorOffset, resp.OperatorVerifiedAgeMs = operator.next, operator.proofAge(now)
	}
	if endpoint.synced {
		resp.EndpointOffset, resp.EndpointVerifiedAgeMs = endpoint.next, endpoint.proofAge(now)
	}
	if req.GetCrashes() {
		resp.Crashes = g.allCrashes(now)
	}
	return resp
}

// changedSince returns the newest records of the keys that changed at or after an offset.
func (st *streamState) changedSince(offset int64) []*gossip.Record {
	var out []*gossip.Record
	for key, changed := range st.changedOffsets {
		if changed >= offset {
			r := st.records[key]
			out = append(out, &gossip.Record{Key: key, Offset: r.Offset, Value: r.Value})
		}
	}
	return out
}
