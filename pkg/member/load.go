package member

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/timeline"
)

// InFlight returns the number of requests that the live peers have in flight at an endpoint.
func (t *Table) InFlight(endpoint string, now time.Time) int {
	t.expire(now)
	return t.inFlight[endpoint]
}

// Prefills returns, by endpoint, the expected time until the prompts that the live peers have sent are computed.
func (t *Table) Prefills(now time.Time) map[string]time.Duration {
	t.expire(now)
	sums := map[string]time.Duration{}
	for _, p := range t.peers {
		if !p.counted {
			continue
		}
		for _, l := range p.last.Loads {
			if left := l.Prefill - now.Sub(l.At); left > 0 {
				sums[l.Endpoint] += left
			}
		}
	}
	return sums
}

// ApplyLoads takes loads that a peer sent between two heartbeats. Endpoints that are not listed keep their number. An
// update of another incarnation, or one sent before the newest heartbeat, is ignored and false is returned.
func (t *Table) ApplyLoads(vm, incarnation string, sent timeline.Stamp, loads []EndpointLoad) bool {
	p, ok := t.peers[vm]
	if !ok || p.last == nil || p.last.Incarnation != incarnation || sent.Compare(p.last.Sent) <= 0 {
		return false
	}
	wasCounted := p.counted
	t.uncount(p)
	// Members hand out the newest heartbeat, so a changed copy replaces it.
	next := *p.last
	next.Sent = sent
	next.Loads = mergeLoads(p.last.Loads, loads)
	p.last = &next
	if wasCounted {
		t.count(p)
	}
	return true
}

// mergeLoads returns old with the numbers of changed.
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

// count adds the loads of a peer to the sums.
func (t *Table) count(p *peer) {
	for _, load := range p.last.Loads {
		t.inFlight[load.Endpoint] += max(load.InFlight, 0)
	}
	p.counted = true
	expiry := p.heard.Add(HeartbeatTimeout)
	if t.nextExpiry.IsZero() || expiry.Before(t.nextExpiry) {
		t.nextExpiry = expiry
	}
}

// uncount takes the loads of a peer out of the sums.
func (t *Table) uncount(p *peer) {
	if !p.counted {
		return
	}
	p.counted = false
	for _, load := range p.last.Loads {
		t.inFlight[load.Endpoint] -= max(load.InFlight, 0)
		if t.inFlight[load.Endpoint] == 0 {
			delete(t.inFlight, load.Endpoint)
		}
	}
}

// expire takes out the loads of peers that are down.
func (t *Table) expire(now time.Time) {
	if t.nextExpiry.IsZero() || now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = time.Time{}
	for _, p := range t.peers {
		switch {
		case !p.counted:
		case p.live(now):
			expiry := p.heard.Add(HeartbeatTimeout)
			if t.nextExpiry.IsZero() || expiry.Before(t.nextExpiry) {
				t.nextExpiry = expiry
			}
		default:
			t.uncount(p)
		}
	}
}
