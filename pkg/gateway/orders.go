package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/logpos"
)

const (
	// orderCheckInterval is the interval between two checks for due orders.
	orderCheckInterval = 100 * time.Millisecond
	// orderTimeout limits an order or a report.
	orderTimeout = 400 * time.Millisecond
	// claimTimeout limits a read of the claims or the append of a claim.
	claimTimeout = 2 * orderTimeout
	// holderSilenceLimit is the age of the holder's last digest at which another VM claims the lease.
	holderSilenceLimit = 1100 * time.Millisecond
	// claimReportLimit is the time after which a live author of the newest claim that does not report the lease in its
	// digests counts as not knowing of its claim, since the answer to the append or the claim's era was lost.
	claimReportLimit = 1500 * time.Millisecond
	// holderIdleMargin is the time beyond the wait for the previous holder after which a holder that gives no orders while
	// some are due counts as inactive.
	holderIdleMargin = 3 * time.Second
	// claimKey is the record key of all claims.
	claimKey = "orders"
)

// claimRecord is the stored value of a claim.
type claimRecord struct {
	VM   string `json:"vm"`
	Boot uint64 `json:"boot"`
}

// runOrders orders engines to load the announced versions while this VM holds the order lease.
func (g *Gateway) runOrders() {
	for g.sleep(orderCheckInterval) {
		now := g.now()
		g.mu.Lock()
		step := g.lease.Next(g.leaseSituation(now), now)
		g.mu.Unlock()
		switch step {
		case issuer.Idle:
		case issuer.Acquire:
			g.acquireLease()
		case issuer.Act:
			g.advanceLoads()
		}
	}
}

// leaseSituation returns the inputs of the lease's next step. It forgets all loads if no order is due. The caller holds
// the lock.
func (g *Gateway) leaseSituation(now time.Time) issuer.Situation {
	ordersDue := g.ordersDue() && !g.leaving.Load() && !g.cutFromEngines()
	rolloutsDue := g.rolloutsDue(now) && !g.leaving.Load()
	s := issuer.Situation{
		Pending:   ordersDue || rolloutsDue,
		Reachable: g.storeAge(now) < storeFreshness,
		Holder:    g.orderClaim,
	}
	s.HolderIsSelf = g.orderClaim.Holder == g.settings.VM && g.orderClaim.Boot == g.boot
	if !ordersDue {
		clear(g.weightLoads)
	}
	g.ordersDueSince = dueSince(ordersDue, g.ordersDueSince, now)
	g.rolloutsDueSince = dueSince(rolloutsDue, g.rolloutsDueSince, now)
	if !s.Pending {
		g.ordersUndoneSince = time.Time{}
		return s
	}
	s.HolderActive = g.holderActive(now)
	if s.HolderActive {
		g.ordersUndoneSince = time.Time{}
		return s
	}
	g.ordersUndoneSince = startedAt(g.ordersUndoneSince, now)
	s.First = g.takesOver(g.ordersUndoneSince, now)
	return s
}

// startedAt returns when a state that holds now began, given when it began so far, or zero if it did not hold before.
func startedAt(since, now time.Time) time.Time {
	if since.IsZero() {
		return now
	}
	return since
}

// dueSince returns since when a duty is due, given since when it was due so far. It is zero if the duty is not due.
func dueSince(due bool, since, now time.Time) time.Time {
	if !due {
		return time.Time{}
	}
	return startedAt(since, now)
}

// setOrderClaim records the newest known claim. The caller holds the lock.
func (g *Gateway) setOrderClaim(claim issuer.Claim, now time.Time) {
	if claim != g.orderClaim {
		g.orderClaim, g.orderClaimSince = claim, now
	}
}

// holderActive reports whether a peer made the newest known claim and gives orders under it, or will soon. The caller holds
// the lock.
func (g *Gateway) holderActive(now time.Time) bool {
	claim := g.orderClaim
	p := g.peers[claim.Holder]
	if p == nil || p.boot != claim.Boot || !p.reachesStore(now) || now.Sub(p.lastSeen) >= holderSilenceLimit {
		return false
	}
	if p.leaseAt != claim.At {
		return now.Sub(g.orderClaimSince) < claimReportLimit
	}
	if !g.rolloutsDueSince.IsZero() && !g.decidesRollouts(claim, now) {
		return false
	}
	if g.ordersDueSince.IsZero() {
		return true
	}
	lastProgress := later(p.lastOrder, later(g.ordersDueSince, g.orderClaimSince))
	return now.Sub(lastProgress) < g.holderIdleLimit(p)
}

// holderIdleLimit returns the time without an order after which a holder counts as inactive. One that waits for loads to
// end has longer.
func (g *Gateway) holderIdleLimit(p *peerState) time.Duration {
	limit := issuer.SuccessorWait(g.settings.Lease()) + holderIdleMargin
	if len(p.loading) > 0 {
		limit += loadTimeout
	}
	return limit
}

// ordersDue reports whether an engine runs an older version than the newest announced. The caller holds the lock.
func (g *Gateway) ordersDue() bool {
	for model := range g.announcements {
		for _, e := range g.enginesServing(model) {
			if g.placer.KnownVersion(e, model) < g.newestVersion(model) {
				return true
			}
		}
	}
	return false
}

// cutFromEngines reports whether this VM lost its paths to a service of engines, so that its orders would not arrive. It then gives
// no orders, and another VM takes over. The caller holds the lock.
func (g *Gateway) cutFromEngines() bool {
	c := g.config.Load()
	if c == nil {
		return false
	}
	for name := range g.cutServices {
		if s := c.Services[name]; s != nil && s.Engine != nil {
			return true
		}
	}
	return false
}

// enginesServing returns the usable endpoints that serve a model. The caller holds the lock.
func (g *Gateway) enginesServing(model string) []*fleet.Endpoint {
	c := g.config.Load()
	if c == nil {
		return nil
	}
	var out []*fleet.Endpoint
	for name, s := range c.Services {
		if s.Engine != nil && slices.Contains(s.Engine.Models, model) {
			out = append(out, g.endpoints.Usable(name)...)
		}
	}
	return out
}

// readNewestClaim reads the newest claim and the end of the claims from the store.
func (g *Gateway) readNewestClaim() (claim issuer.Claim, end logpos.Position, err error) {
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	listing, err := g.platform.Store.Newest(ctx, OrderClaimStream)
	if err != nil {
		return issuer.Claim{}, end, err
	}
	claim.At = issuer.NoClaim
	for _, r := range listing.Records {
		var value claimRecord
		if r.Key != claimKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &value); err != nil {
			g.log.warn(partOrder).Int64("era", r.Position.Era).Int64("offset", r.Position.Offset).Err(err).Msg("claim is unreadable")
		}
		claim = issuer.Claim{Holder: value.VM, Boot: value.Boot, At: r.Position}
	}
	return claim, listing.End, nil
}

// confirmClaim reads the newest claim unless a recent read still permits orders. It reports whether orders may be given
// now.
func (g *Gateway) confirmClaim() bool {
	started := g.now()
	g.mu.Lock()
	fresh := g.lease.MayOrder(started)
	g.mu.Unlock()
	if fresh {
		return true
	}
	g.readClaim(started)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.MayOrder(g.now())
}

// readClaim reads the newest claim and records whether it is that of this VM. The read begins at the given time.
func (g *Gateway) readClaim(started time.Time) {
	claim, _, err := g.readNewestClaim()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.storeFailedAt = g.now()
		g.log.warn(partOrder).Err(err).Msg("claim not confirmed")
		return
	}
	g.setOrderClaim(claim, g.now())
	g.lease.Confirmed(claim, started)
	if claim.At != g.lease.Claim() {
		g.log.info(partOrder).Str("holder", claim.Holder).Int64("era", claim.At.Era).Int64("offset", claim.At.Offset).
			Msg("order lease lost")
	}
}

// acquireLease claims the order lease, unless its holder can still use it.
func (g *Gateway) acquireLease() {
	claim, end, err := g.readNewestClaim()
	now := g.now()
	g.mu.Lock()
	if err == nil {
		g.setOrderClaim(claim, now)
		if g.holderActive(now) {
			err = errLeaseHeld
		}
	}
	g.mu.Unlock()
	var at logpos.Position
	if err == nil {
		at, err = g.appendClaim(end)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.now()
	if err != nil {
		g.lease.Failed(now)
		g.log.info(partOrder).Err(err).Msg("order lease not acquired")
		return
	}
	predecessor, lastOrder := g.predecessorOf(claim, now)
	g.lease.Claimed(at, predecessor, lastOrder, now)
	g.setOrderClaim(issuer.Claim{Holder: g.settings.VM, Boot: g.boot, At: at}, now)
	g.requestDigest()
	g.log.info(partOrder).Int64("era", at.Era).Int64("offset", at.Offset).Str("after", claim.Holder).
		Str("predecessor", predecessor.String()).Int("rank", g.rank(now)).Msg("order lease acquired")
}

// predecessorOf returns what is known about the holder of an older claim, and the latest time at which it may have
// given an order. The caller holds the lock.
func (g *Gateway) predecessorOf(claim issuer.Claim, now time.Time) (issuer.Predecessor, time.Time) {
	if claim.At == issuer.NoClaim {
		return issuer.NoPredecessor, g.lastLostOrder()
	}
	p := g.peers[claim.Holder]
	if p != nil && p.boot == claim.Boot && p.leaving {
		return issuer.StoppedPredecessor, later(p.lastOrder, g.lastLostOrder())
	}
	return issuer.UnknownPredecessor, now
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// lastLostOrder returns the latest time of an order by a holder whose claim was lost in a restore, or zero if there was no
// restore since the first start of the system. The caller holds the lock.
func (g *Gateway) lastLostOrder() time.Time {
	if g.settings.FirstStart && !g.storeRestored {
		return time.Time{}
	}
	return g.storeEraSince.Add(issuer.ReadValidity)
}

// errLeaseHeld means that the holder of the newest claim gives orders.
var errLeaseHeld = errors.New("gateway: the lease holder is active")

// appendClaim appends a claim of this VM if the claims still end at end. It returns the position of the claim. A claim that
// a restored store appended to other claims than those that were read does not count.
func (g *Gateway) appendClaim(end logpos.Position) (logpos.Position, error) {
	value, err := json.Marshal(claimRecord{VM: g.settings.VM, Boot: g.boot})
	if err != nil {
		// The type has no field that JSON cannot encode.
		panic(err)
	}
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	at, err := g.platform.Store.AppendAt(ctx, OrderClaimStream, claimKey, value, end.Offset)
	if err == nil && at.Era != end.Era {
		return at, errStoreRestored
	}
	return at, err
}
