package gateway

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/admit"
)

// retryBudget returns this VM's part of the budget of a service. The caller holds the lock.
func (g *Gateway) retryBudget(service string) *admit.RetryBudget {
	b := g.retries[service]
	if b == nil {
		b = &admit.RetryBudget{}
		g.retries[service] = b
	}
	b.SetFloor(g.retryFloor)
	return b
}

// shareRetries sets this VM's part of the retries that all VMs may send together. The caller holds the lock.
func (g *Gateway) shareRetries(now time.Time) {
	fresh := !g.settings.FirstStart && now.Sub(g.started) < admit.RetryWindow
	floor := admit.RetryFloor(g.settings.RetrySlack, g.countVMs(now), fresh)
	if floor == g.retryFloor {
		return
	}
	g.retryFloor = floor
	g.log.line(partPeer).Int("retry_floor", floor).Int("vms", g.countVMs(now)).Bool("fresh", fresh).
		Msg("share of the retry budget changed")
}

// countVMs returns the number of VMs that may send retries: this one, those heard within dropPeerAfter, since one that is
// cut off sends on, and those that were known too shortly to be heard. The caller holds the lock.
func (g *Gateway) countVMs(now time.Time) int {
	count := 1 + len(g.peers)
	for name, vm := range g.vms {
		if g.peers[name] == nil && now.Sub(vm.since) < presumedFor {
			count++
		}
	}
	return count
}
