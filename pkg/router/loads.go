package router

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/member"
	"github.com/corneldeal/corneldeal/pkg/peer"
	"github.com/corneldeal/corneldeal/pkg/timeline"
)

// loadUpdateInterval is the shortest time between two load updates. With reports that were half a second old, several
// VMs chose the same engine at the same time.
const loadUpdateInterval = 20 * time.Millisecond

// loadChanges holds the endpoints whose number of requests in flight changed since the last update.
type loadChanges struct {
	endpoints map[string]bool
}

// markLoadChanged adds an endpoint to the next load update.
func (r *Router) markLoadChanged(endpoint string) {
	r.pendingLoads.do(func(c *loadChanges) { c.endpoints[endpoint] = true })
	wake(r.loadsChanged)
}

// sendLoads sends the changed loads to the peers.
func (r *Router) sendLoads() {
	var names []string
	r.pendingLoads.do(func(c *loadChanges) {
		for name := range c.endpoints {
			names = append(names, name)
		}
		clear(c.endpoints)
	})
	if len(names) == 0 {
		return
	}
	now := time.Now()
	update := &peer.LoadUpdate{Envelope: r.envelope()}
	r.placer.do(func(p *placementTable) {
		for _, name := range names {
			update.Loads = append(update.Loads, p.endpointLoad(name, now))
		}
	})
	datagram := r.datagrams.Encode(update)
	if datagram == nil {
		return
	}
	for _, address := range r.peerAddresses() {
		_ = r.datagrams.Send(address, datagram)
		count(metricLoadUpdates, 1)
		count(metricLoadBytes, int64(len(datagram)))
	}
}

// receiveLoads applies the load updates of peers until the socket is closed.
func (r *Router) receiveLoads() {
	for {
		update, err := r.datagrams.Receive()
		if err != nil {
			return
		}
		r.applyLoads(update)
	}
}

// applyLoads applies one load update to the member table.
func (r *Router) applyLoads(update *peer.LoadUpdate) {
	e := update.Envelope
	if e == nil {
		return
	}
	loads := loadsFromWire(update.Loads, time.Now())
	sent := timeline.Stamp{WallNs: e.HlcWallNs, Counter: e.HlcCounter}
	r.members.do(func(t *member.Table) { t.ApplyLoads(e.Vm, e.Incarnation, sent, loads) })
}

// endpointLoad returns this VM's load on an endpoint in the peer protocol.
func (p *placementTable) endpointLoad(endpoint string, now time.Time) *peer.EndpointLoad {
	return &peer.EndpointLoad{
		Endpoint:  endpoint,
		InFlight:  int32(p.placer.InFlight(endpoint)),
		PrefillMs: int32(p.placer.PrefillBacklog(endpoint, now).Milliseconds()),
	}
}

// loadsFromWire converts loads from the peer protocol.
func loadsFromWire(loads []*peer.EndpointLoad, now time.Time) []member.EndpointLoad {
	out := make([]member.EndpointLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, member.EndpointLoad{
			Endpoint: l.Endpoint,
			InFlight: int(l.InFlight),
			Prefill:  time.Duration(l.PrefillMs) * time.Millisecond,
			At:       now,
		})
	}
	return out
}
