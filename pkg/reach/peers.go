package reach

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Reason is why a peer did not send a request on. In each case no byte of it reached an endpoint.
type Reason string

// The reasons of peers.
const (
	// PeerCutOff means that the peer is cut off from the service too.
	PeerCutOff Reason = "cut_off"
	// PeerBusy means that the peer sends as many requests of others as it may.
	PeerBusy Reason = "busy"
	// PeerStopping means that the peer is stopping.
	PeerStopping Reason = "stopping"
	// PeerLacksEndpoint means that the peer may not send to the endpoint now: it does not know this start of it or does not
	// reach it, or the endpoint leaves or has asked the peer to wait.
	PeerLacksEndpoint Reason = "no_endpoint"
	// PeerUnreachable means that the peer did not answer, or does not know how to.
	PeerUnreachable Reason = "unreachable"
	// PeerForbids means that the peer's configuration is newer and does not lead the request to the endpoint's service.
	PeerForbids Reason = "newer_configuration"
	// PeerDistrusts means that the peer does not know this VM.
	PeerDistrusts Reason = "unknown_vm"
)

// avoidance is the time for which a peer is not asked again after each reason. Where the endpoint is the reason, other requests
// may go through the peer at once.
var avoidance = map[Reason]time.Duration{
	PeerCutOff: time.Second, PeerBusy: 200 * time.Millisecond, PeerStopping: 5 * time.Second, PeerUnreachable: 2 * time.Second,
	PeerDistrusts: time.Second,
}

const (
	// maxPeersAsked is the number of peers that are asked for one attempt.
	maxPeersAsked = 3
	// helpValidity is the time for which a peer that sent a request counts as able to send others of the same service.
	helpValidity = 2 * time.Second
)

// Peer is a live VM that may send requests on for this one.
type Peer struct {
	VM, Address string
}

// peerService names a peer and a service.
type peerService struct {
	vm, service string
}

// help is what is known of a peer that lately sent a request.
type help struct {
	until time.Time
	// seen is set if it sent a request of this VM. Otherwise another VM named it as able to.
	seen bool
}

// Peers chooses the VMs through which requests are sent. It is safe for concurrent use; its lock is taken after all others.
type Peers struct {
	mu sync.Mutex
	// avoidUntil are the times until which peers are not asked.
	avoidUntil map[peerService]time.Time
	// helpers are the peers that lately sent requests.
	helpers map[peerService]help
	// inFlight is the number of requests of this VM that each peer is sending.
	inFlight map[string]int
}

// NewPeers returns a choice that knows nothing of any peer.
func NewPeers() *Peers {
	return &Peers{avoidUntil: map[peerService]time.Time{}, helpers: map[peerService]help{}, inFlight: map[string]int{}}
}

// Order returns the peers to ask for an attempt at a service, the best first, at most maxPeersAsked. Peers that lately said
// that they cannot help are left out, so the result may be empty. The others are taken at random, those with fewer requests of
// this VM first, so that many VMs that are cut off together spread over all that are not. The last place is for a peer that
// helped lately, in case the others are cut off too.
func (p *Peers) Order(peers []Peer, service string, random *rand.Rand, now time.Time) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	able := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if !now.Before(p.avoidUntil[peerService{peer.VM, service}]) {
			able = append(able, peer)
		}
	}
	random.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	slices.SortStableFunc(able, func(a, b Peer) int { return p.inFlight[a.VM] - p.inFlight[b.VM] })
	isHelper := func(peer Peer) bool { return now.Before(p.helpers[peerService{peer.VM, service}].until) }
	if i := slices.IndexFunc(able, isHelper); i >= maxPeersAsked {
		able[maxPeersAsked-1] = able[i]
	}
	return able[:min(len(able), maxPeersAsked)]
}

// RecordHelp records that a peer sent a request to an endpoint of a service.
func (p *Peers) RecordHelp(vm, service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.helpers[peerService{vm, service}] = help{until: now.Add(helpValidity), seen: true}
}

// RecordReferral records that a peer that could not help named another that may.
func (p *Peers) RecordReferral(vm, service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := peerService{vm, service}
	if now.Before(p.helpers[key].until) {
		return
	}
	delete(p.avoidUntil, key)
	p.helpers[key] = help{until: now.Add(helpValidity)}
}

// Referral returns a peer that lately sent a request of this VM to an endpoint of a service, or "". A VM that cannot help names
// it. What it only knows from others it does not pass on, so that names of peers that no longer help die out.
func (p *Peers) Referral(service string, now time.Time) (vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, h := range p.helpers {
		if key.service == service && h.seen && now.Before(h.until) && (vm == "" || key.vm < vm) {
			vm = key.vm
		}
	}
	return vm
}

// RecordRefusal records why a peer did not send a request on.
func (p *Peers) RecordRefusal(vm, service string, r Reason, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := avoidance[r]
	if d == 0 {
		return
	}
	maps.DeleteFunc(p.avoidUntil, func(_ peerService, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(p.helpers, func(_ peerService, h help) bool { return !now.Before(h.until) })
	p.avoidUntil[peerService{vm, service}] = now.Add(d)
	if r != PeerBusy {
		delete(p.helpers, peerService{vm, service})
	}
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
