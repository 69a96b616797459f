package gateway

import (
	"time"
)

// A restore of the store loses what the gateways wrote after its copy was made. Nobody else writes that again, so each VM
// repeats its registration, and the preferred VM what concerns the whole system.

const (
	// rewriteSpreadPerVM is the time per known VM over which the VMs write their registrations again, so that hundreds of
	// them stay far below the writes that the store takes from all.
	rewriteSpreadPerVM = 10 * time.Millisecond
	// minRewriteSpread is the shortest such time.
	minRewriteSpread = 200 * time.Millisecond
)

// rewriteSpread returns the time over which the VMs write their registrations again.
func (g *Gateway) rewriteSpread() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(minRewriteSpread, time.Duration(len(g.vms))*rewriteSpreadPerVM)
}

// rewriteRecords writes the records of this VM to the store again. It reports whether the registration was written.
func (g *Gateway) rewriteRecords() bool {
	if !g.writeRegistration() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.info(partStore).Int64("era", g.storeEra).Msg("registration written again")
	return true
}

// requestRewrites makes the records that concern the whole system due again: the announcement times and the refused
// requests. The preferred VM writes them, and another one if it does not. The caller holds the lock.
func (g *Gateway) requestRewrites(now time.Time) {
	for model := range g.announcements {
		if duty := g.announcementDutyOf(model); g.knowsAnnouncementTimes(model) {
			*duty = announcementDuty{undoneSince: now}
		}
	}
	g.refusals.StoreRestored(now)
	g.evidence.StoreRestored(now)
}
