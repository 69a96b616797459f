package member

import "time"

// InFlight returns the number of requests that the live peers have in flight at an endpoint.
func (t *Table) InFlight(endpoint string, now time.Time) int {
	t.expire(now)
	return t.inFlight[endpoint]
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
