package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/peerforward"
	"github.com/corneldeal/corneldeal/pkg/reach"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// connectTimeout bounds the time to connect to an endpoint or a peer while another VM may be asked instead.
const connectTimeout = 250 * time.Millisecond

// errLostAtPeer means that a peer sent a request to the endpoint and got no answer.
var errLostAtPeer = errors.New("gateway: the endpoint did not answer the peer")

// open sends the request to the chosen endpoint, through a peer if this VM does not reach it. encode returns the request as it
// is to be sent now.
func (g *Gateway) open(ctx context.Context, r *request, t *target, encode func() httpcall.RawRequest) (*httpcall.Stream, error) {
	req := encode()
	req.Connected = func(c net.Conn) { t.stopPathWatch = g.watchPath(t, c) }
	if !g.hasLivePeers() || req.NoResponseBody || len(req.Head)+len(req.Body) > peerforward.MaxRequestBytes {
		return g.http.OpenRaw(ctx, t.choice.Endpoint.Address, req)
	}
	route := g.routeTo(t)
	directErr := error(&httpcall.Error{Address: t.choice.Endpoint.Address, Err: errPathLost})
	if route != reach.ThroughPeer {
		req.ConnectTimeout, req.IdleOnly = connectTimeout, route == reach.IdleOnly
		stream, err := g.http.OpenRaw(ctx, t.choice.Endpoint.Address, req)
		if err == nil || !httpcall.NeverWritten(err) || ctx.Err() != nil {
			return stream, err
		}
		directErr = err
		if route == reach.Direct {
			g.checkPath(t.choice.Endpoint, probeOf(err), t.sentAt)
		}
	}
	stream, err := g.openThroughPeers(ctx, r, t, encode)
	if httpcall.NeverWritten(err) {
		// What this VM saw itself tells more about the endpoint than that no peer sent the request.
		return nil, directErr
	}
	return stream, err
}

// openThroughPeers asks one peer after another until one does not refuse, and returns its result. The error satisfies
// httpcall.NeverWritten if all refused.
func (g *Gateway) openThroughPeers(
	ctx context.Context, r *request, t *target, encode func() httpcall.RawRequest,
) (*httpcall.Stream, error) {
	e := t.choice.Endpoint
	g.mu.Lock()
	now := g.now()
	order := g.forwarders.Order(g.helpers(now), e.Service, g.random, now)
	g.mu.Unlock()
	for _, peer := range order {
		stream, refused, err := g.openThroughPeer(ctx, r, t, peer, encode())
		if refused.Reason == "" {
			return stream, err
		}
		if ctx.Err() != nil {
			break
		}
		g.metrics.count("forwards_refused_" + string(refused.Reason) + "_total")
		g.forwarders.RecordRefusal(peer.VM, e.Service, refused.Reason, g.now())
		if refused.Referral != "" {
			g.forwarders.RecordReferral(refused.Referral, e.Service, g.now())
		}
	}
	return nil, &httpcall.Error{Address: e.Address, Err: errPathLost}
}

// openThroughPeer sends the request through a peer. It returns a refusal if no byte of the request reached the endpoint, or an
// error if the request may have run and its answer is lost.
func (g *Gateway) openThroughPeer(
	ctx context.Context, r *request, t *target, peer reach.Peer, req httpcall.RawRequest,
) (*httpcall.Stream, peerforward.Refusal, error) {
	e := t.choice.Endpoint
	address := g.peerAddress(peer.Address)
	call := peerforward.Request{
		VM: g.settings.VM, Endpoint: e.ID, StartTimeMs: e.StartTimeMs, Idempotent: req.Idempotent, Fresh: req.Fresh,
		ConfigVersion: r.configVersion, Timeout: r.deadline.Sub(steady.Now()), Head: req.Head, Body: req.Body,
	}.Encode(address)
	call.ConnectTimeout = connectTimeout
	end := g.forwarders.Begin(peer.VM)
	stream, err := g.peerHTTP.OpenRaw(ctx, address, call)
	if err != nil {
		end()
		if httpcall.NeverWritten(err) {
			return nil, peerforward.Refusal{Reason: reach.PeerUnreachable}, nil
		}
		t.throughPeer.Store(true)
		t.peer = peer.VM
		return nil, peerforward.Refusal{}, err
	}
	reply := peerforward.ReadReply(&stream.Response.Header)
	switch reply.Outcome {
	case peerforward.Answered:
		t.throughPeer.Store(true)
		t.peer, t.endForward = peer.VM, end
		g.metrics.count("attempts_through_peers_total")
		g.forwarders.RecordHelp(peer.VM, e.Service, g.now())
		return stream, peerforward.Refusal{}, nil
	case peerforward.Lost:
		end()
		stream.Close()
		t.throughPeer.Store(true)
		t.peer = peer.VM
		return nil, peerforward.Refusal{}, &httpcall.Error{Address: e.Address, Written: true, Err: errLostAtPeer}
	}
	end()
	stream.Close()
	return nil, reply.Refusal, nil
}
