package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/peerforward"
	"github.com/corneldeal/corneldeal/pkg/reach"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// forwardedDescriptorFraction is the part of the VM's file descriptors for requests of peers, each of which takes two.
const forwardedDescriptorFraction = 0.1

// forwardService implements peerforward.Sender.
type forwardService struct {
	g *Gateway
}

// Reserve implements peerforward.Sender.
func (s forwardService) Reserve(vm string, from netip.Addr, bytes int) (release func(), refused reach.Reason) {
	g := s.g
	if !g.knowsVM(vm, from) {
		g.metrics.count("forwards_from_strangers_total")
		g.log.warn(partPeer).Str("peer", vm).Str("from", from.String()).Msg("request of an unknown VM refused")
		return nil, reach.PeerDistrusts
	}
	if g.leaving.Load() {
		return nil, reach.PeerStopping
	}
	most := int64(float64(g.settings.Descriptors) * forwardedDescriptorFraction / 2)
	if g.forwarded.Add(1) > most || !g.answerMemory.reserve(bytes) {
		g.forwarded.Add(-1)
		return nil, reach.PeerBusy
	}
	return func() {
		g.answerMemory.release(bytes)
		g.forwarded.Add(-1)
	}, ""
}

// knowsVM reports whether a VM of that name is registered, or sends digests, with the given address.
func (g *Gateway) knowsVM(vm string, from netip.Addr) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[vm]; p != nil && p.address == from.String() {
		return true
	}
	known := g.vms[vm]
	return known != nil && known.ip == from
}

// ReportMalformed implements peerforward.Sender.
func (s forwardService) ReportMalformed(from netip.Addr, err error) {
	s.g.metrics.count("forwards_malformed_total")
	s.g.log.warn(partPeer).Str("from", from.String()).Err(err).Msg("malformed call to the port for peers")
}

// Send implements peerforward.Sender.
func (s forwardService) Send(ctx context.Context, r peerforward.Request) (*httpcall.Stream, peerforward.Refusal, error) {
	g := s.g
	began := steady.Now()
	e, refused := g.forwardTarget(r)
	if refused.Reason != "" {
		return nil, refused, nil
	}
	stream, err := g.http.OpenRaw(ctx, e.Address, httpcall.RawRequest{
		Head: r.Head, Body: r.Body, Fresh: r.Fresh, Idempotent: r.Idempotent, ConnectTimeout: connectTimeout,
	})
	line := g.log.info(partPeer).Str("peer", r.VM).Str("endpoint", e.ID).Dur("took_ms", steady.Since(began))
	switch {
	case err == nil:
		g.metrics.count("forwarded_answered_total")
		line.Int("status", stream.Response.StatusCode()).Msg("request of a peer answered")
		g.recordArrival(e, stream.Reused)
		g.applyForwardedAnswer(e, g.platform.Wire.ReadAnswer(&stream.Response.Header))
		return stream, peerforward.Refusal{}, nil
	case httpcall.NeverWritten(err):
		g.metrics.count("forwarded_not_sent_total")
		line.Err(err).Msg("request of a peer not sent")
		g.checkPath(e, probeOf(err), began)
		return nil, peerforward.Refusal{Reason: reach.PeerCutOff}, nil
	}
	g.metrics.count("forwarded_lost_total")
	line.Err(err).Msg("request of a peer lost")
	return nil, peerforward.Refusal{}, err
}

// forwardTarget returns the endpoint to which a peer's request goes, or the refusal.
func (g *Gateway) forwardTarget(r peerforward.Request) (*fleet.Endpoint, peerforward.Refusal) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpoints.Get(r.Endpoint)
	if e == nil || e.StartTimeMs != r.StartTimeMs || g.endpoints.HasEnded(e, now) || g.placer.WaitsUntil(e).After(now) {
		return nil, peerforward.Refusal{Reason: reach.PeerLacksEndpoint}
	}
	if g.paths.RouteTo(e, len(g.endpoints.Usable(e.Service))) != reach.Direct {
		return nil, peerforward.Refusal{Reason: reach.PeerCutOff, Referral: g.forwarders.Referral(e.Service, now)}
	}
	return e, peerforward.Refusal{}
}

// applyForwardedAnswer records what an endpoint's answer to a peer's request asks of this VM too.
func (g *Gateway) applyForwardedAnswer(e *fleet.Endpoint, answer Answer) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyDeparture(e, answer, now)
}

// applyDeparture records the departure and the requested pause that an endpoint's answer states. The caller holds the lock.
func (g *Gateway) applyDeparture(e *fleet.Endpoint, answer Answer, now time.Time) {
	if answer.Leaving && g.endpoints.MarkDraining(e.ID, e.StartTimeMs, now) {
		g.announceDeparture(e.ID, "said so in an answer", logpos.Position{Era: g.storeEra})
	}
	if answer.RetryAfter > 0 {
		g.placer.RecordBackoff(e, answer.RetryAfter, now)
		g.log.info(partEndpoint).Str("endpoint", e.ID).Dur("retry_after_ms", answer.RetryAfter).
			Msg("endpoint asked to wait")
	}
}

// Probe implements gossip.Relay.
func (s relayService) Probe(_ context.Context, req *gossip.ProbeRequest) (*gossip.ProbeResponse, error) {
	e, control := s.g.probeTargets(req)
	if e == nil {
		return &gossip.ProbeResponse{Result: reach.Unknown.String()}, nil
	}
	return &gossip.ProbeResponse{Result: s.g.pathChecks.Answer(e, control).String()}, nil
}

// probeTargets returns the endpoint that a peer asks about and another one of its service, either of which may be nil.
func (g *Gateway) probeTargets(req *gossip.ProbeRequest) (e, control *fleet.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e = g.endpoints.Get(req.GetEndpoint())
	if e == nil || e.StartTimeMs != req.GetBorn() {
		return nil, nil
	}
	usable := g.endpoints.Usable(e.Service)
	first := g.random.IntN(len(usable))
	for i := range usable {
		if other := usable[(first+i)%len(usable)]; other.ID != e.ID {
			return e, other
		}
	}
	return e, nil
}
