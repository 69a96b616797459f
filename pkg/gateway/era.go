package gateway

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/logpos"
)

// The platform's store may come back from a copy that is some seconds old. Records that it acknowledged since are gone,
// and their offsets are given out again; nothing but the era in its answers tells. The first VM that sees a new era tells
// the others by digest. Every VM then lists both streams anew, and writes again what it wrote itself. What the operator and
// the endpoints count themselves (the versions of configurations and weights, the heartbeats) orders their records across
// eras, so nothing that was confirmed before is replaced by what the copy holds.

const (
	// unknownEra is the era before the first answer of the store.
	unknownEra = -1
	// minPeerListingWait and peerListingWaitSpread are the time for which a VM of a large system waits for a peer that has
	// listed a restored store, so that not every VM lists it. A listing arrives by digest and relay within a second.
	minPeerListingWait    = 1500 * time.Millisecond
	peerListingWaitSpread = time.Second
)

// errStoreRestored ends reads of an era that the store has left.
var errStoreRestored = fmt.Errorf("gateway: the store was restored from a copy: %w", httpcall.ErrNoAnswer)

// observeEra records the era of an answer of the store.
func (g *Gateway) observeEra(era int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyEra(era, "store", g.now())
}

// applyEra records an era that the store or a peer told. The caller holds the lock.
func (g *Gateway) applyEra(era int64, source string, now time.Time) {
	if era <= g.storeEra {
		return
	}
	previous := g.storeEra
	g.storeEra, g.storeEraSince = era, now
	g.metrics.set("store_era", float64(era))
	if previous == unknownEra {
		return
	}
	g.storeRestored = true
	config, weights := g.operatorVersions()
	g.metrics.count("store_restores_total")
	g.log.warn(partStore).Int64("era", era).Int64("previous_era", previous).Str("source", source).Int64("config", config).
		Int64("weight_versions", weights).Msg("store was restored from a copy, its records are listed anew")
	g.endpoints.StoreRecovered(now)
	g.lease.Ended()
	g.setOrderClaim(issuer.Claim{At: issuer.NoClaim}, now)
	for _, st := range sorted(g.streams) {
		st.relistAt = now.Add(minPeerListingWait + g.randomUpTo(peerListingWaitSpread))
		st.endWait(errStoreRestored)
		st.endPause()
	}
	g.requestRewrites(now)
	g.rewriteRolloutStatuses(now)
	g.origins.StoreRestored(now)
	g.requestOriginWrite()
	signal(g.rewriteRequests)
	g.requestDigest()
}

// isOfEarlierEra reports whether this VM has not read a stream since the store was restored. The caller holds the lock.
func (g *Gateway) isOfEarlierEra(s Stream) bool {
	return g.streams[s].synced && g.streams[s].next.Era < g.storeEra
}

// awaitsPeerListing reports whether this VM, after a restore of the store, waits for a peer that has listed a stream. The
// caller holds the lock.
func (g *Gateway) awaitsPeerListing(s Stream, now time.Time) bool {
	return g.isLargeSystem() && g.isOfEarlierEra(s) && now.Before(g.streams[s].relistAt)
}

// relistFromPeer requests the endpoint records, after a restore of the store, from a peer that has listed them. It reports
// false if this VM does not wait for one.
func (g *Gateway) relistFromPeer() bool {
	now := g.now()
	g.mu.Lock()
	waits := g.awaitsPeerListing(EndpointStream, now) && !slices.Contains(g.endpointReaders(now), g.settings.VM)
	p := g.peerAhead(EndpointStream, now).id()
	g.mu.Unlock()
	if waits && p != nil {
		g.fetchState(p.vm, p.address)
	}
	return waits
}

// operatorVersions returns the version of the configuration in force and the sum of the newest weight versions of the
// operator's records. Neither ever goes back, so a lower one shows that records are missing. The caller holds the lock.
func (g *Gateway) operatorVersions() (config, weights int64) {
	if c := g.config.Load(); c != nil {
		config = c.Version
	}
	return config, g.streams[OperatorStream].weightVersions
}

// setEras sets what a digest says of the eras of its offsets, and of the operator records that this VM holds. The caller
// holds the lock.
func (g *Gateway) setEras(d *gossip.Digest) {
	operator, endpoint := g.streams[OperatorStream], g.streams[EndpointStream]
	d.ConfigVersion, d.WeightVersions = g.operatorVersions()
	if g.storeEra == unknownEra {
		return
	}
	d.StoreEra = proto.Int64(g.storeEra)
	d.OperatorErasBehind = g.storeEra - operator.next.Era
	d.EndpointErasBehind = g.storeEra - endpoint.next.Era
	d.EndpointChangedErasBehind = g.storeEra - endpoint.changedEnd.Era
}

// inPresentEra reports whether a position is of the store's present era. A store that tells no era has only one. The caller
// holds the lock.
func (g *Gateway) inPresentEra(at logpos.Position) bool {
	return g.storeEra == unknownEra || at.Era == g.storeEra
}

// sharesEra reports whether the sender of a digest knows of the same era of the store as this VM. The caller holds the lock.
func (g *Gateway) sharesEra(d *gossip.Digest) bool {
	if d.StoreEra == nil {
		return g.storeEra == unknownEra
	}
	return d.GetStoreEra() == g.storeEra
}

// setLease sets what a digest says of the order lease. The caller holds the lock.
func (g *Gateway) setLease(d *gossip.Digest) {
	if at := g.lease.Claim(); at != issuer.NoClaim {
		d.LeaseOffset = proto.Int64(at.Offset)
		d.LeaseEra = at.Era
	}
}
