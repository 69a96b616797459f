package gateway

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/precedence"
)

// precedenceKey returns the place of this VM in the order of all VMs.
func (g *Gateway) precedenceKey(now time.Time) precedence.Key {
	return precedence.Key{
		VM: g.settings.VM, StartedUnixMs: g.startedUnixMs, Settled: now.Sub(g.started) >= precedence.SettledUptime,
	}
}

// precedenceKey returns the place of the peer in the order of all VMs.
func (p *peerState) precedenceKey(now time.Time) precedence.Key {
	return precedence.Key{VM: p.vm, StartedUnixMs: p.startedUnixMs, Settled: now.Sub(p.started) >= precedence.SettledUptime}
}

// rank returns the number of peers in reach of the store that precede this VM. The caller holds the lock.
func (g *Gateway) rank(now time.Time) int {
	rank, self := 0, g.precedenceKey(now)
	for _, p := range g.peers {
		if p.reachesStore(now) && p.precedenceKey(now).Precedes(self) {
			rank++
		}
	}
	return rank
}

// isPreferredVM reports whether this VM is the one of those in reach of the store that acts when one of them has to: the one
// of rank 0. The caller holds the lock.
func (g *Gateway) isPreferredVM(now time.Time) bool {
	self := g.precedenceKey(now)
	for _, p := range g.peers {
		if p.reachesStore(now) && p.precedenceKey(now).Precedes(self) {
			return false
		}
	}
	return true
}

// takesOver reports whether this VM does a duty that no VM is known to have done since the given time. The preferred VM
// does it at once, the others later one by one. The caller holds the lock.
func (g *Gateway) takesOver(undoneSince, now time.Time) bool {
	return now.Sub(undoneSince) >= precedence.TakeoverDelay(g.rank(now))
}
