package router

import (
	"context"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/peer"
)

const (
	// reportTimeout limits one report of accusations to a peer.
	reportTimeout = 300 * time.Millisecond
	// crashProbes is the number of state requests that decide whether an engine has crashed.
	crashProbes = 2
	// crashProbePause is the pause before the second probe, in which a restarted engine can come up.
	crashProbePause = 50 * time.Millisecond
)

// knownAccusations returns the accusations that peers should merge.
func (r *Router) knownAccusations() []*peer.Accusation {
	now := time.Now()
	known := locked(&r.crashes, func(g *crashguard.Guard) []crashguard.Accusation { return g.Snapshot(now) })
	return accusationsToWire(known)
}

// accusationsToWire converts accusations to the peer protocol.
func accusationsToWire(list []crashguard.Accusation) []*peer.Accusation {
	out := make([]*peer.Accusation, 0, len(list))
	for _, a := range list {
		out = append(out, &peer.Accusation{Fingerprint: a.Fingerprint, Event: a.Event, WeightMilli: int32(a.Weight)})
	}
	return out
}

// mergeAccusations merges the accusations of a peer.
func (r *Router) mergeAccusations(list []*peer.Accusation) {
	if len(list) == 0 {
		return
	}
	converted := make([]crashguard.Accusation, 0, len(list))
	for _, a := range list {
		converted = append(converted, crashguard.Accusation{
			Fingerprint: a.Fingerprint,
			Event:       a.Event,
			Weight:      crashguard.Weight(a.WeightMilli),
		})
	}
	r.crashes.do(func(g *crashguard.Guard) { g.Merge(converted, time.Now()) })
}

// reportAccusations sends accusations to all peers at once and merges their answers. It returns when every peer has
// answered or its call has failed.
func (r *Router) reportAccusations(list []crashguard.Accusation) {
	wire := accusationsToWire(list)
	addresses := r.peerAddresses()
	done := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			defer func() { done <- struct{}{} }()
			ctx, cancel := context.WithTimeout(r.peers.Context(r.ctx), reportTimeout)
			defer cancel()
			resp, err := r.peers.At(address).ReportCrash(ctx, &peer.ReportCrashRequest{Envelope: r.envelope(), Accusations: wire})
			if err != nil {
				return
			}
			r.observeEnvelope(resp.Envelope)
			r.mergeAccusations(resp.Known)
		}()
	}
	for range addresses {
		<-done
	}
}

// newCrashEvent returns an event that identifies a crash of an endpoint, or a run of an accused request there.
func (r *Router) newCrashEvent(endpoint, incarnation string) crashguard.Event {
	return crashguard.Event{
		At:          time.Now(),
		VM:          r.settings.VM,
		Seq:         r.crashSeq.Add(1),
		Endpoint:    endpoint,
		Incarnation: incarnation,
	}
}

// hasCrashed reports whether an engine has crashed since the given incarnation answered. An engine that still answers
// under that incarnation has only lost a connection. An engine that answers no probe counts as crashed.
func (r *Router) hasCrashed(e config.Endpoint, incarnation string) bool {
	for probe := range crashProbes {
		if probe > 0 {
			r.pause(crashProbePause)
		}
		state, ok := r.pollState(r.ctx, e)
		if ok {
			return state.Incarnation != incarnation
		}
	}
	return true
}
