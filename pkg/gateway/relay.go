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

// relayLag is the time for which peers may know more than this VM before it asks one.
const relayLag = 300 * time.Millisecond

// relayWhileFailing asks a peer for records while the store fails.
func (g *Gateway) relayWhileFailing(s Stream) {
	g.mu.Lock()
	p := g.relayFor(s, steady.Now())
	g.mu.Unlock()
	if p != nil {
		g.fetchFrom(p.vm, p.address)
	}
}

// relayFor returns a live peer that knows more of a stream than this VM, or nil. Peers that reach the store come before
// others, then those of the own data centre; among equals the choice is random, so that VMs that start together do not
// all ask the same one. The caller holds the lock.
func (g *Gateway) relayFor(s Stream, now time.Time) *peerState {
	var best []*peerState
	bestRank := 0
	for _, p := range g.peers {
		if !p.live(now) || p.offset(s) <= g.streams[s].next {
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

// fetchFrom asks a peer for what it has read from the store. It reports whether the peer answered.
func (g *Gateway) fetchFrom(vm, address string) bool {
	g.mu.Lock()
	req := g.stateRequest(vm)
	g.mu.Unlock()
	resp, err := g.relays.State(g.ctx, g.peerAddress(address), req)
	if err != nil {
		g.metrics.count("relay_errors_total")
		g.log.warn(partPeer).Str("peer", vm).Err(err).Msg("relay failed")
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyState(vm, req, resp, steady.Now())
	return true
}

// stateRequest returns what to ask a peer for. The caller holds the lock.
func (g *Gateway) stateRequest(vm string) *gossip.StateRequest {
	return &gossip.StateRequest{
		OperatorOffset: g.streams[OperatorStream].next,
		EndpointOffset: g.streams[EndpointStream].next,
		Crashes:        g.crashSync.from == vm,
	}
}

// applyState takes the answer of a peer. The caller holds the lock.
func (g *Gateway) applyState(vm string, req *gossip.StateRequest, resp *gossip.StateResponse, now time.Time) {
	g.apply(OperatorStream, fromWire(resp.GetOperator()), resp.GetOperatorOffset())
	g.apply(EndpointStream, fromWire(resp.GetEndpoints()), resp.GetEndpointOffset())
	if resp.GetEndpointOffset() > 0 {
		g.streams[EndpointStream].synced = true
	}
	if resp.GetOperatorOffset() > 0 {
		g.streams[OperatorStream].synced = true
	}
	g.countCrashes(resp.GetCrashes(), vm, now)
	if req.GetCrashes() && g.crashSync.from == vm {
		g.crashSync.from = ""
	}
}

func fromWire(records []*gossip.Record) []Record {
	out := make([]Record, 0, len(records))
	for _, r := range records {
		out = append(out, Record{Key: r.GetKey(), Offset: r.GetOffset(), Value: r.GetValue()})
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}

// askReader lets one of the VMs that read the endpoints' records tell what is new. It reports false where this VM
// has to read itself.
func (g *Gateway) askReader() bool {
	now := steady.Now()
	g.mu.Lock()
	if !g.streams[EndpointStream].synced {
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
	able = able[:min(len(able), endpointReaders)]
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
	return g.fetchFrom(vm, address)
}

// relayService implements gossip.Relay.
type relayService struct {
	g *Gateway
}

// State implements gossip.Relay.
func (s relayService) State(_ context.Context, req *gossip.StateRequest) (*gossip.StateResponse, error) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.g.state(req), nil
}

// state answers a peer. The caller holds the lock.
func (g *Gateway) state(req *gossip.StateRequest) *gossip.StateResponse {
	op, ep := g.streams[OperatorStream], g.streams[EndpointStream]
	resp := &gossip.StateResponse{
		Operator:  op.after(req.GetOperatorOffset()),
		Endpoints: ep.after(req.GetEndpointOffset()),
	}
	if op.synced {
		resp.OperatorOffset = op.next
	}
	if ep.synced {
		resp.EndpointOffset = ep.next
	}
	if req.GetCrashes() {
		resp.Crashes = g.crashState(steady.Now())
	}
	return resp
}

// after returns the newest records of the keys that changed at or after an offset.
func (st *streamState) after(offset int64) []*gossip.Record {
	var out []*gossip.Record
	for key, changed := range st.changed {
		if changed >= offset {
			r := st.records[key]
			out = append(out, &gossip.Record{Key: key, Offset: r.Offset, Value: r.Value})
		}
	}
	return out
}
