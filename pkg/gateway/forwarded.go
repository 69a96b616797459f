package gateway

import (
	"bufio"
	"bytes"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/peerforward"
	"github.com/corneldeal/corneldeal/pkg/reach"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// forwardedDescriptorFraction is the fraction of the VM's file descriptors that requests of peers may take. Each takes two: one to
// the peer and one to the endpoint.
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
		return nil, g.refuseUnreached(e), nil
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
	if e == nil || e.StartTimeMs != r.StartTimeMs || g.endpoints.HasEnded(e) || g.placer.WaitsUntil(e).After(now) {
		return nil, peerforward.Refusal{Reason: reach.PeerLacksEndpoint}
	}
	if g.forbidsForwarded(r, e.Service) {
		return nil, peerforward.Refusal{Reason: reach.PeerForbids}
	}
	usable := len(g.endpoints.Usable(e.Service))
	if g.paths.RouteTo(e, usable) != reach.Direct {
		return nil, g.unreachedRefusal(e, usable, now)
	}
	return e, peerforward.Refusal{}
}

// forbidsForwarded reports whether a peer decided on a request under an older configuration than this VM's, which does not lead
// it to the service.
func (g *Gateway) forbidsForwarded(r peerforward.Request, service string) bool {
	c := g.config.Load()
	if c == nil || r.ConfigVersion <= 0 || r.ConfigVersion >= c.Version {
		return false
	}
	var h fasthttp.RequestHeader
	if err := h.Read(bufio.NewReader(bytes.NewReader(r.Head))); err != nil {
		g.log.warn(partPeer).Str("peer", r.VM).Err(err).Msg("head of a peer's request is unreadable")
		return true
	}
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	route := c.Match(string(h.Host()), string(path))
	return route == nil || !slices.Contains(route.TargetOrder(""), service)
}

// refuseUnreached returns the refusal of a peer's request to an endpoint that this VM does not reach either.
func (g *Gateway) refuseUnreached(e *fleet.Endpoint) peerforward.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unreachedRefusal(e, len(g.endpoints.Usable(e.Service)), g.now())
}

// unreachedRefusal is refuseUnreached for a caller that holds the lock. A VM that reaches other endpoints of the service may help
// with the next attempt.
func (g *Gateway) unreachedRefusal(e *fleet.Endpoint, usable int, now time.Time) peerforward.Refusal {
	if !g.paths.CutOff(e.Service, usable) {
		return peerforward.Refusal{Reason: reach.PeerLacksEndpoint}
	}
	return peerforward.Refusal{Reason: reach.PeerCutOff, Referral: g.forwarders.Referral(e.Service, now)}
}

// applyForwardedAnswer records the departure and the requested pause that an endpoint states in its answer to a peer's request,
// since they hold for this VM too.
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
	e, control, ended := s.g.probeTargets(req)
	switch {
	case e == nil:
		return &gossip.ProbeResponse{Result: reach.Unknown.String()}, nil
	case ended:
		return &gossip.ProbeResponse{Result: reach.Refused.String()}, nil
	}
	return &gossip.ProbeResponse{Result: s.g.pathChecks.Answer(e, control).String()}, nil
}

// probeTargets returns the endpoint that a peer asks about and another one of its service, either of which may be nil, and
// whether the first is known to have ended.
func (g *Gateway) probeTargets(req *gossip.ProbeRequest) (e, control *fleet.Endpoint, ended bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e = g.endpoints.Get(req.GetEndpoint())
	if e == nil || e.StartTimeMs != req.GetBorn() {
		return nil, nil, false
	}
	ended = g.endpoints.HasEnded(e)
	usable := g.endpoints.Usable(e.Service)
	first := g.random.IntN(len(usable))
	for i := range usable {
		if other := usable[(first+i)%len(usable)]; other.ID != e.ID {
			return e, other, ended
		}
	}
	return e, nil, ended
}
