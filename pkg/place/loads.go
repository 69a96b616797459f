package place

import "time"

// Load is the work in flight on an endpoint, from one VM or summed over several.
type Load struct {
	// Running is the number of requests.
	Running int
	// PendingPrefill is the number of prompt tokens that are still to be computed.
	PendingPrefill int
	// Memory is the number of KV cache tokens that the requests occupy or will occupy.
	Memory int
}

// add adds another load.
func (l *Load) add(o Load) {
	l.Running += o.Running
	l.PendingPrefill += o.PendingPrefill
	l.Memory += o.Memory
}

// totalLoad returns the load of all VMs on an endpoint.
func (p *Placer) totalLoad(id string) Load {
	var sum Load
	if s := p.states[id]; s != nil {
		sum = s.load
	}
	sum.add(p.peerSum[id])
	return sum
}

// SetLoading replaces the set of engines that drain or load new weights.
func (p *Placer) SetLoading(ids []string) {
	clear(p.loading)
	for _, id := range ids {
		p.loading[id] = true
	}
}

// SetPeerLoads replaces the loads that a peer reported, by endpoint ID, and keeps the map. Nil removes the peer. The loads
// count as the present ones at all times.
func (p *Placer) SetPeerLoads(vm string, loads map[string]Load) {
	p.SetPeerLoadsAt(vm, loads, time.Time{})
}

// SetPeerLoadsAt replaces the loads that a peer had at a time, as SetPeerLoads. The model of work reduces them by what the
// endpoints have done since.
func (p *Placer) SetPeerLoadsAt(vm string, loads map[string]Load, at time.Time) {
	before := p.sinceEpoch(p.peerReports[vm])
	for id, l := range p.peers[vm] {
		p.addPeerLoad(id, Load{Running: -l.Running, PendingPrefill: -l.PendingPrefill, Memory: -l.Memory}, before)
	}
	if at := p.peerReports[vm]; !at.IsZero() {
		p.datedReports--
		p.reportSeconds -= before
	}
	delete(p.peers, vm)
	delete(p.peerReports, vm)
	if loads == nil {
		return
	}
	if p.epoch.IsZero() {
		p.epoch = at
	}
	p.peers[vm] = loads
	p.peerReports[vm] = at
	reported := p.sinceEpoch(at)
	if !at.IsZero() {
		p.datedReports++
		p.reportSeconds += reported
	}
	for id, l := range loads {
		p.addPeerLoad(id, l, reported)
	}
}

// undatedSeconds stands for the time of loads that count as the present ones at all times.
const undatedSeconds = 1e9

// sinceEpoch returns the seconds from the first report of a peer to a time, or undatedSeconds for the zero time.
func (p *Placer) sinceEpoch(at time.Time) float64 {
	if at.IsZero() {
		return undatedSeconds
	}
	return at.Sub(p.epoch).Seconds()
}

// addPeerLoad adds a load, reported at a time in seconds since epoch, to the sum over all peers. Negative fields subtract.
func (p *Placer) addPeerLoad(id string, l Load, reported float64) {
	sum := p.peerSum[id]
	sum.add(l)
	p.peerTokenSeconds[id] += float64(l.PendingPrefill) * reported
	if sum.PendingPrefill == 0 {
		// The sum of products is exactly zero but for rounding.
		delete(p.peerTokenSeconds, id)
	}
	if sum == (Load{}) {
		delete(p.peerSum, id)
		return
	}
	p.peerSum[id] = sum
}

// OwnLoads returns the load of this VM, by endpoint ID, on every endpoint where it has running requests.
func (p *Placer) OwnLoads() map[string]Load {
	out := map[string]Load{}
	for id, s := range p.states {
		if s.load.Running > 0 {
			out[id] = s.load
		}
	}
	return out
}

// OwnLoad returns the load of this VM on an endpoint.
func (p *Placer) OwnLoad(id string) Load {
	if s := p.states[id]; s != nil {
		return s.load
	}
	return Load{}
}

// Load returns the load of all VMs on an endpoint.
func (p *Placer) Load(id string) Load {
	return p.totalLoad(id)
}

// Running returns the number of running requests of all VMs on an endpoint.
func (p *Placer) Running(id string) int {
	return p.totalLoad(id).Running
}
