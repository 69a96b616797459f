package gateway

import "time"

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
