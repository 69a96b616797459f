package router

import (
	"context"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/peer"
)

const (
	// reportTimeout bounds one report of a crash to a peer.
	reportTimeout = 300 * time.Millisecond
	// crashProbes is the number of state requests that decide whether an engine has crashed.
	crashProbes = 2
	// crashProbePause lets a restarted engine come up before the second probe.
	crashProbePause = 50 * time.Millisecond
)

// accusations lists what peers should merge.
func (r *Router) accusations() []*peer.Accusation {
	now := time.Now()
	known := read(&r.crashes, func(g *crashguard.Guard) []crashguard.Accusation { return g.Snapshot(now) })
	return accusationsToWire(known)
}

func accusationsToWire(list []crashguard.Accusation) []*peer.Accusation {
	out := make([]*peer.Accusation, 0, len(list))
	for _, a := range list {
		out = append(out, &peer.Accusation{Fingerprint: a.Fingerprint, Event: a.Event, WeightMilli: int32(a.Weight)})
	}
	return out
}

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

// reportAccusations sends accusations to every live peer at once and merges their answers. It returns when each
// has answered or the time is over.
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

// crashEvent names a crash of an endpoint, or a run of an accused request there.
func (r *Router) crashEvent(endpoint, incarnation string) crashguard.Event {
	return crashguard.Event{
		At:          time.Now(),
		VM:          r.settings.VM,
		Seq:         r.crashSeq.Add(1),
		Endpoint:    endpoint,
		Incarnation: incarnation,
	}
}

// crashed tells whether an engine has crashed since the given incarnation answered. An engine that still
// answers under it has only lost a connection.
func (r *Router) crashed(e config.Endpoint, incarnation string) bool {
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
