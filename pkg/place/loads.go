package place

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

// SetPeerLoads replaces the loads that a peer reported, by endpoint ID, and keeps the map. Nil removes the peer.
func (p *Placer) SetPeerLoads(vm string, loads map[string]Load) {
	for id, l := range p.peers[vm] {
		p.addPeerLoad(id, Load{Running: -l.Running, PendingPrefill: -l.PendingPrefill, Memory: -l.Memory})
	}
	delete(p.peers, vm)
	if loads == nil {
		return
	}
	p.peers[vm] = loads
	for id, l := range loads {
		p.addPeerLoad(id, l)
	}
}

// addPeerLoad adds a load to the sum over all peers. Negative fields subtract.
func (p *Placer) addPeerLoad(id string, l Load) {
	sum := p.peerSum[id]
	sum.add(l)
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

// Running returns the number of running requests of all VMs on an endpoint.
func (p *Placer) Running(id string) int {
	return p.totalLoad(id).Running
}
