package gateway

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// sharingMargin is the time by which the last request that shares cached material precedes the time limit of the
// configuration. It covers the way of the request to its endpoint.
const sharingMargin = 200 * time.Millisecond

// mayShareCache reports whether requests of different workspaces may use the same cached material now. A workspace may
// have become isolated since the store last proved this VM's configuration to be the newest, so sharing ends when that
// proof is as old as a configuration may be. It also ends if the store has lost a newer configuration that a peer holds.
// Without sharing each workspace uses a scope of its own, which is safe under every configuration. The caller holds the
// lock.
func (g *Gateway) mayShareCache(now time.Time) bool {
	age, proved := g.streams[OperatorStream].freshness.Age(now)
	return proved && age < g.settings.ConfigurationLimit()-sharingMargin && !g.lacksLostConfig()
}

// lacksLostConfig reports whether a peer holds a newer configuration that the store lost in a restore. What the store
// proves does not count then. The caller holds the lock.
func (g *Gateway) lacksLostConfig() bool {
	c := g.config.Load()
	return c != nil && c.Version < g.lostConfigVersion
}

// recordLostConfig records that a peer holds a newer configuration but no later position of the log than this VM, so the
// store has lost the record. The caller holds the lock.
func (g *Gateway) recordLostConfig(p *peerState) {
	if p.operatorNext.After(g.streams[OperatorStream].next) {
		return
	}
	if c := g.config.Load(); c != nil && p.configVersion > c.Version {
		g.lostConfigVersion = max(g.lostConfigVersion, p.configVersion)
	}
}

// cacheScope returns the cache scope of a workspace's requests under a configuration. The caller holds the lock.
func (g *Gateway) cacheScope(c *traffic.Config, workspace string, now time.Time) string {
	if g.mayShareCache(now) {
		return c.CacheScope(workspace)
	}
	g.metrics.count("requests_unshared_total")
	return c.OwnCacheScope(workspace)
}

// logSharing logs when this VM ends or resumes the sharing of cached material. The caller holds the lock.
func (g *Gateway) logSharing(now time.Time) {
	suspended := g.config.Load() != nil && !g.mayShareCache(now)
	if suspended == g.sharingSuspended {
		return
	}
	g.sharingSuspended = suspended
	age := g.streams[OperatorStream].verifiedAge(now)
	g.log.info(partConfig).Dur("verified_age_ms", age).Bool("config_lost", g.lacksLostConfig()).Bool("shared", !suspended).
		Msg("sharing of cached material between workspaces changed")
}
