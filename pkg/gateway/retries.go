package gateway

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/admit"
)

// retryBudget returns this VM's share of a service's retry budget. The caller holds the lock.
func (g *Gateway) retryBudget(service string) *admit.RetryBudget {
	b := g.retries[service]
	if b == nil {
		b = &admit.RetryBudget{}
		g.retries[service] = b
	}
	b.SetFloor(g.retryFloor)
	return b
}

// shareRetries updates this VM's share of the retries that all VMs together may send. The caller holds the lock.
func (g *Gateway) shareRetries(now time.Time) {
	fresh := !g.settings.FirstStart && now.Sub(g.started) < admit.RetryWindow
	floor := admit.RetryFloor(g.settings.RetrySlack, g.countVMs(now), fresh)
	if floor == g.retryFloor {
		return
	}
	g.retryFloor = floor
	g.log.info(partPeer).Int("retry_floor", floor).Int("vms", g.countVMs(now)).Bool("fresh", fresh).
		Msg("share of the retry budget changed")
}

// countVMs returns the number of VMs that may send retries: this one, those that sent a digest within forgetPeerAfter,
// since a VM that is cut off continues to send, and those known too briefly to have sent one. The caller holds the
// lock.
func (g *Gateway) countVMs(now time.Time) int {
	count := 1 + len(g.peers)
	for name, vm := range g.vms {
		if g.peers[name] == nil && now.Sub(vm.since) < presumedLiveFor {
			count++
		}
	}
	return count
}
