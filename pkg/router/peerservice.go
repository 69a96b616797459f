package router

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/limit"
	"github.com/corneldeal/corneldeal/pkg/once"
	"github.com/corneldeal/corneldeal/pkg/peer"
	"github.com/corneldeal/corneldeal/pkg/timeline"
)

// peerService serves the requests of other VMs. It implements peer.Peer.
type peerService struct {
	r *Router
}

// checkEnvelope rejects a message without an envelope and otherwise updates the clock with the sender's timestamp.
func (s *peerService) checkEnvelope(e *peer.Envelope) error {
	if e == nil || e.Vm == "" || e.Incarnation == "" {
		return twirp.RequiredArgumentError("envelope")
	}
	s.r.observeEnvelope(e)
	return nil
}

// Heartbeat implements peer.Peer.
func (s *peerService) Heartbeat(_ context.Context, req *peer.HeartbeatRequest) (*peer.HeartbeatResponse, error) {
	if err := s.checkEnvelope(req.Envelope); err != nil {
		return nil, err
	}
	address, _ := s.r.peerAddress(req.Envelope.Vm)
	s.r.applyHeartbeat(req, address, time.Now(), false)
	return &peer.HeartbeatResponse{State: s.r.newHeartbeat()}, nil
}

// GetState implements peer.Peer.
func (s *peerService) GetState(_ context.Context, req *peer.GetStateRequest) (*peer.GetStateResponse, error) {
	if err := s.checkEnvelope(req.Envelope); err != nil {
		return nil, err
	}
	resp := &peer.GetStateResponse{Envelope: s.r.envelope()}
	s.r.config.do(func(c *config.Replay) {
		resp.NextOffset = c.NextOffset()
		if resp.NextOffset > 0 {
			resp.Snapshot = c.Snapshot()
		}
	})
	return resp, nil
}

// Debit implements peer.Peer.
func (s *peerService) Debit(_ context.Context, req *peer.DebitRequest) (*peer.DebitResponse, error) {
	if err := s.checkEnvelope(req.Envelope); err != nil {
		return nil, err
	}
	grant := locked(&s.r.limits, func(l *limit.Limiter) limit.Grant {
		return l.Debit(req.Id, req.Workspace, req.Tokens, time.Now)
	})
	return &peer.DebitResponse{
		Envelope: s.r.envelope(),
		Granted:  grant.Tokens,
		Parts:    partsToWire(grant.Parts),
	}, nil
}

// Refund implements peer.Peer.
func (s *peerService) Refund(_ context.Context, req *peer.RefundRequest) (*peer.RefundResponse, error) {
	if err := s.checkEnvelope(req.Envelope); err != nil {
		return nil, err
	}
	if req.Id == "" {
		return nil, twirp.RequiredArgumentError("id")
	}
	s.r.limits.do(func(l *limit.Limiter) {
		count(metricRefunds, l.Refund(req.Id, req.Workspace, partsFromWire(req.Parts), time.Now()))
	})
	return &peer.RefundResponse{Envelope: s.r.envelope()}, nil
}

// IntentStatus implements peer.Peer.
func (s *peerService) IntentStatus(_ context.Context, req *peer.IntentStatusRequest) (*peer.IntentStatusResponse, error) {
	if err := s.checkEnvelope(req.Envelope); err != nil {
		return nil, err
	}
	status := locked(&s.r.intents, func(t *intentTable) once.Status {
		return t.table.Status(req.Nonce, req.Incarnation)
	})
	return &peer.IntentStatusResponse{Envelope: s.r.envelope(), Status: intentStatusToWire(status)}, nil
}

// ReportCrash implements peer.Peer.
func (s *peerService) ReportCrash(_ context.Context, req *peer.ReportCrashRequest) (*peer.ReportCrashResponse, error) {
	if err := s.checkEnvelope(req.Envelope); err != nil {
		return nil, err
	}
	s.r.mergeAccusations(req.Accusations)
	now := time.Now()
	known := locked(&s.r.crashes, func(g *crashguard.Guard) []crashguard.Accusation { return g.Snapshot(now) })
	return &peer.ReportCrashResponse{Envelope: s.r.envelope(), Known: accusationsToWire(known)}, nil
}

// Timeline implements peer.Peer.
func (s *peerService) Timeline(_ context.Context, req *peer.TimelineRequest) (*peer.TimelineResponse, error) {
	if err := s.checkEnvelope(req.Envelope); err != nil {
		return nil, err
	}
	resp := &peer.TimelineResponse{Envelope: s.r.envelope()}
	for _, e := range s.r.events.Events(req.SinceNs) {
		resp.Events = append(resp.Events, eventToWire(e))
	}
	return resp, nil
}

// eventToWire converts a timeline event to the peer protocol.
func eventToWire(e timeline.Event) *peer.Event {
	return &peer.Event{
		HlcWallNs:   e.WallNs,
		HlcCounter:  e.Counter,
		Vm:          e.VM,
		Incarnation: e.Incarnation,
		Part:        e.Part,
		Name:        e.Name,
		Request:     e.Request,
		Detail:      e.Detail,
		DurationNs:  int64(e.Duration),
	}
}
