package reach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Reason is why a peer did not send a request on. In each case no byte of it reached an endpoint.
type Reason string

// The reasons of peers.
const (
	// PeerCutOff means that the peer does not reach the endpoint either.
	PeerCutOff Reason = "cut_off"
	// PeerBusy means that the peer sends as many requests of others as it may.
	PeerBusy Reason = "busy"
	// PeerStopping means that the peer is stopping.
	PeerStopping Reason = "stopping"
	// PeerLacksEndpoint means that the peer may not send to the endpoint now: it does not know this start of it, or the endpoint
	// leaves or has asked the peer to wait.
	PeerLacksEndpoint Reason = "no_endpoint"
	// PeerUnreachable means that the peer did not answer, or does not know how to.
	PeerUnreachable Reason = "unreachable"
	// PeerDistrusts means that the peer does not know this VM.
	PeerDistrusts Reason = "unknown_vm"
)

// avoidance is the time for which a peer is not asked again after each reason. Where the endpoint is the reason, other requests
// may go through the peer at once.
var avoidance = map[Reason]time.Duration{
	PeerCutOff: time.Second, PeerBusy: 200 * time.Millisecond, PeerStopping: 5 * time.Second, PeerUnreachable: 2 * time.Second,
	PeerDistrusts: time.Second,
}

// maxPeersAsked is the number of peers that are asked for one attempt.
const maxPeersAsked = 3

// Peer is a live VM that may send requests on for this one.
type Peer struct {
	VM, Address, DataCentre string
}

// avoidedPeer names a peer and the service for which it is avoided.
type avoidedPeer struct {
	vm, service string
}

// Peers chooses the VMs through which requests are sent. It is safe for concurrent use; its lock is taken after all others.
type Peers struct {
	mu sync.Mutex
	// avoidUntil are the times until which peers are not asked.
	avoidUntil map[avoidedPeer]time.Time
	// inFlight is the number of requests of this VM that each peer is sending.
	inFlight map[string]int
}

// NewPeers returns an empty choice.
func NewPeers() *Peers {
	return &Peers{avoidUntil: map[avoidedPeer]time.Time{}, inFlight: map[string]int{}}
}

// Order returns the peers to ask for an attempt at a service, the best first, at most maxPeersAsked. Peers that lately said
// that they cannot help are left out, so the result may be empty. The others are taken at random, those with fewer requests of
// this VM first, so that many VMs that are cut off together spread over all that are not.
func (p *Peers) Order(peers []Peer, service string, random *rand.Rand, now time.Time) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	able := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if !now.Before(p.avoidUntil[avoidedPeer{peer.VM, service}]) {
			able = append(able, peer)
		}
	}
	random.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	slices.SortStableFunc(able, func(a, b Peer) int { return p.inFlight[a.VM] - p.inFlight[b.VM] })
	return able[:min(len(able), maxPeersAsked)]
}

// RecordRefusal records why a peer did not send a request on.
func (p *Peers) RecordRefusal(vm, service string, r Reason, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := avoidance[r]
	if d == 0 {
		return
	}
	for key, until := range p.avoidUntil {
		if !now.Before(until) {
			delete(p.avoidUntil, key)
		}
	}
	p.avoidUntil[avoidedPeer{vm, service}] = now.Add(d)
}

// Begin records that a peer sends a request of this VM. The function that it returns records the end.
func (p *Peers) Begin(vm string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[vm]++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inFlight[vm]--
		if p.inFlight[vm] == 0 {
			delete(p.inFlight, vm)
		}
	}
}
