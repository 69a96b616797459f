package member

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/timeline"
)

// InFlight returns the number of requests that the live peers have in flight at an endpoint.
func (t *Table) InFlight(endpoint string, now time.Time) int {
	t.expireLoads(now)
	return t.inFlight[endpoint]
}

// Prefills returns, by endpoint, the expected time until the prompts that the live peers have sent are computed.
func (t *Table) Prefills(now time.Time) map[string]time.Duration {
	t.expireLoads(now)
	sums := map[string]time.Duration{}
	for _, p := range t.peers {
		if !p.loadsCounted {
			continue
		}
		for _, l := range p.lastHeartbeat.Loads {
			if left := l.Prefill - now.Sub(l.At); left > 0 {
				sums[l.Endpoint] += left
			}
		}
	}
	return sums
}

// ApplyLoads updates the loads of a peer between two heartbeats. Endpoints that are not in loads keep their load. It
// returns false for an update that is ignored, because it is from another incarnation or was sent before the newest
// heartbeat.
func (t *Table) ApplyLoads(vm, incarnation string, sent timeline.Stamp, loads []EndpointLoad) bool {
	p, ok := t.peers[vm]
	if !ok || p.lastHeartbeat == nil || p.lastHeartbeat.Incarnation != incarnation || sent.Compare(p.lastHeartbeat.Sent) <= 0 {
		return false
	}
	wasCounted := p.loadsCounted
	t.removeLoads(p)
	// Callers may hold the newest heartbeat from a Member, so it is replaced by a modified copy.
	next := *p.lastHeartbeat
	next.Sent = sent
	next.Loads = mergeLoads(p.lastHeartbeat.Loads, loads)
	p.lastHeartbeat = &next
	if wasCounted {
		t.addLoads(p)
	}
	return true
}

// mergeLoads returns old with the loads of changed in place of those of the same endpoints.
func mergeLoads(old, changed []EndpointLoad) []EndpointLoad {
	out := make([]EndpointLoad, 0, len(old)+len(changed))
	for _, l := range old {
		listed := slices.ContainsFunc(changed, func(c EndpointLoad) bool { return c.Endpoint == l.Endpoint })
		if !listed {
			out = append(out, l)
		}
	}
	for _, c := range changed {
		if c.InFlight > 0 {
			out = append(out, c)
		}
	}
	return out
}

// addLoads adds the loads of a peer to the sums.
func (t *Table) addLoads(p *peer) {
	for _, load := range p.lastHeartbeat.Loads {
		t.inFlight[load.Endpoint] += max(load.InFlight, 0)
	}
	p.loadsCounted = true
	expiry := p.heartbeatAt.Add(HeartbeatTimeout)
	if t.nextLoadExpiry.IsZero() || expiry.Before(t.nextLoadExpiry) {
		t.nextLoadExpiry = expiry
	}
}

// removeLoads subtracts the loads of a peer from the sums.
func (t *Table) removeLoads(p *peer) {
	if !p.loadsCounted {
		return
	}
	p.loadsCounted = false
	for _, load := range p.lastHeartbeat.Loads {
		t.inFlight[load.Endpoint] -= max(load.InFlight, 0)
		if t.inFlight[load.Endpoint] == 0 {
			delete(t.inFlight, load.Endpoint)
		}
	}
}

// expireLoads subtracts the loads of peers that are down.
func (t *Table) expireLoads(now time.Time) {
	if t.nextLoadExpiry.IsZero() || now.Before(t.nextLoadExpiry) {
		return
	}
	t.nextLoadExpiry = time.Time{}
	for _, p := range t.peers {
		switch {
		case !p.loadsCounted:
		case p.live(now):
			expiry := p.heartbeatAt.Add(HeartbeatTimeout)
			if t.nextLoadExpiry.IsZero() || expiry.Before(t.nextLoadExpiry) {
				t.nextLoadExpiry = expiry
			}
		default:
			t.removeLoads(p)
		}
	}
}
