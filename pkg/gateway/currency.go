package gateway

import "time"

// currencyCheckInterval is the interval at which a VM checks whether it may lack operator records.
const currencyCheckInterval = 100 * time.Millisecond

// keepCurrent asks peers for operator records that they hold and this VM lacks, and makes it ask the store when no proof of its
// copies has arrived for too long. It depends on no digest that arrives, since the VMs that send them may be what was lost.
func (g *Gateway) keepCurrent() {
	for g.sleep(currencyCheckInterval) {
		if p := g.checkCurrency(g.now()); p != nil {
			go g.fetchState(p.vm, p.address)
		}
	}
}

// checkCurrency ends the waits of reads that have to be repeated. It returns the peer to ask for operator records now, or nil.
func (g *Gateway) checkCurrency(now time.Time) *peerID {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkFreshness(now)
	if !g.catchUp.Due(now) {
		return nil
	}
	p := g.peerAhead(OperatorStream, now)
	if p == nil {
		return nil
	}
	// The store would have answered this VM's own read with the records that the peer has.
	g.streams[OperatorStream].endWait(errAnswerLost)
	g.catchUp.Asked(p.vm, now)
	return p.id()
}

// knowsNewestConfig reports whether the configuration in force can't have been replaced for longer than the time within which
// a configuration has to be in force. The caller holds the lock.
func (g *Gateway) knowsNewestConfig(now time.Time) bool {
	age, proved := g.streams[OperatorStream].freshness.Age(now)
	return proved && age < g.settings.ConfigurationLimit() && !g.lacksLostConfig()
}

// logCurrency logs when this VM no longer knows that its configuration is the newest, and when it does again. The caller holds
// the lock.
func (g *Gateway) logCurrency(now time.Time) {
	outdated := g.config.Load() != nil && !g.knowsNewestConfig(now)
	if outdated == g.configOutdated {
		return
	}
	g.configOutdated = outdated
	st := g.streams[OperatorStream]
	line, message := g.log.info(partConfig), "configuration is known to be the newest again"
	if outdated {
		g.metrics.count("configuration_uncertain_total")
		line, message = g.log.warn(partConfig), "configuration may not be the newest"
	}
	line.Int64("version", g.config.Load().Version).Dur("verified_age_ms", st.verifiedAge(now)).Bool("store_fails", st.failing).
		Int("peers", len(g.livePeers(now))).Bool("config_lost", g.lacksLostConfig()).Msg(message)
}
