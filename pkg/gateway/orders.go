package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// orderPause is the pause between two looks at what is due.
	orderPause = 100 * time.Millisecond
	// orderTimeout bounds an order or a report.
	orderTimeout = 400 * time.Millisecond
	// claimTimeout bounds a read of the claims or a claim.
	claimTimeout = 2 * orderTimeout
	// holderSilence is the age of the holder's last digest at which another VM claims.
	holderSilence = 1100 * time.Millisecond
	// sameStart is the difference of two start times up to which the VMs count as started together.
	sameStart = 2 * time.Second
	// settledAfter is the uptime from which a VM may hold the lease before older ones.
	settledAfter = 2 * time.Second
	// holderKey is the key of the claims.
	holderKey = "orders"
)

// claimRecord is the value of a claim.
type claimRecord struct {
	VM   string `json:"vm"`
	Boot uint64 `json:"boot"`
}

// giveOrders brings the engines to the announced versions while this VM holds the lease on it.
func (g *Gateway) giveOrders() {
	for g.sleep(orderPause) {
		now := steady.Now()
		g.mu.Lock()
		step := g.lease.Next(g.situation(now), now)
		g.mu.Unlock()
		switch step {
		case issuer.Idle:
		case issuer.Acquire:
			g.claimOrders()
		case issuer.Act:
			g.advanceLoads()
		}
	}
}

// situation returns what the lease depends on. The caller holds the lock.
func (g *Gateway) situation(now time.Time) issuer.Situation {
	s := issuer.Situation{
		Pending:   g.ordersDue() && !g.leaving.Load(),
		Reachable: g.storeAge(now) < storeFresh,
		Holder:    g.claim,
		First:     g.comesFirst(now),
	}
	if p := g.peers[g.claim.Holder]; p != nil {
		s.HolderActive = p.holdsLease(g.claim, now)
	}
	if !s.Pending {
		clear(g.loads)
	}
	return s
}

// holdsLease reports whether the peer made a claim and is able to use it.
func (p *peerState) holdsLease(claim issuer.Claim, now time.Time) bool {
	return p.boot == claim.Boot && p.reachesStore(now) && now.Sub(p.lastSeen) < holderSilence
}

// comesFirst reports whether this VM is the one that acts where one has to. The caller holds the lock.
func (g *Gateway) comesFirst(now time.Time) bool {
	for _, p := range g.peers {
		if p.reachesStore(now) && g.before(p, now) {
			return false
		}
	}
	return true
}

// before reports whether a peer comes before this VM as the next holder. In a rolling restart those that have
// restarted already stay, so a VM that started clearly later comes first; otherwise the name decides.
func (g *Gateway) before(p *peerState, now time.Time) bool {
	later := p.started.Sub(g.started)
	settled := now.Sub(p.started) > settledAfter
	switch {
	case later > sameStart:
		return settled
	case later < -sameStart:
		return now.Sub(g.started) <= settledAfter
	}
	return p.vm < g.settings.VM
}

// ordersDue reports whether an engine runs an older version than the one announced. The caller holds the lock.
func (g *Gateway) ordersDue() bool {
	for model := range g.announced {
		for _, e := range g.enginesOf(model) {
			if g.placer.KnownVersion(e, model) < g.newestOf(model) {
				return true
			}
		}
	}
	return false
}

// enginesOf returns the usable endpoints that serve a model. The caller holds the lock.
func (g *Gateway) enginesOf(model string) []*fleet.Endpoint {
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

// newestClaim reads the newest claim and the end of the claims.
func (g *Gateway) newestClaim() (claim issuer.Claim, end int64, err error) {
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	records, end, err := g.platform.Store.Newest(ctx, HolderStream)
	if err != nil {
		return issuer.Claim{}, 0, err
	}
	claim.Token = -1
	for _, r := range records {
		var value claimRecord
		if r.Key != holderKey {
			continue
		}
		if err := json.Unmarshal(r.Value, &value); err != nil {
			g.log.warn(partOrder).Int64("offset", r.Offset).Err(err).Msg("claim is unreadable")
		}
		claim = issuer.Claim{Holder: value.VM, Boot: value.Boot, Token: r.Offset}
	}
	return claim, end, nil
}

// confirmClaim reads the newest claim. It reports whether orders may be given now.
func (g *Gateway) confirmClaim() bool {
	started := steady.Now()
	g.mu.Lock()
	fresh := g.lease.MayOrder(started)
	g.mu.Unlock()
	if fresh {
		return true
	}
	claim, _, err := g.newestClaim()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.storeFailedAt = steady.Now()
		g.log.warn(partOrder).Err(err).Msg("claim not confirmed")
		return false
	}
	g.claim = claim
	g.lease.Confirmed(claim, started)
	if claim.Token != g.lease.Token() {
		g.log.line(partOrder).Str("holder", claim.Holder).Int64("token", claim.Token).Msg("order lease lost")
	}
	return g.lease.MayOrder(steady.Now())
}

// claimOrders claims the lease, unless its holder is able to use it.
func (g *Gateway) claimOrders() {
	claim, end, err := g.newestClaim()
	now := steady.Now()
	g.mu.Lock()
	if err == nil {
		g.claim = claim
		err = g.mayClaim(claim, now)
	}
	g.mu.Unlock()
	var token int64
	if err == nil {
		token, err = g.appendClaim(end)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now = steady.Now()
	if err != nil {
		g.lease.Failed(now)
		g.log.line(partOrder).Err(err).Msg("order lease not acquired")
		return
	}
	predecessor, lastOrder := g.predecessor(claim, now)
	g.lease.Claimed(token, predecessor, lastOrder, now)
	g.claim = issuer.Claim{Holder: g.settings.VM, Boot: g.boot, Token: token}
	g.log.line(partOrder).Int64("token", token).Str("after", claim.Holder).Str("predecessor", predecessor.String()).
		Msg("order lease acquired")
}

// predecessor returns what is known of the holder of an older claim. The caller holds the lock.
func (g *Gateway) predecessor(claim issuer.Claim, now time.Time) (issuer.Predecessor, time.Time) {
	if claim.Token < 0 {
		return issuer.NoPredecessor, now
	}
	p := g.peers[claim.Holder]
	if p != nil && p.boot == claim.Boot && p.leaving {
		return issuer.StoppedPredecessor, p.lastOrder
	}
	return issuer.UnknownPredecessor, now
}

// errLeaseHeld means that the holder of the newest claim can use it.
var errLeaseHeld = errors.New("gateway: the holder is able to give orders")

// mayClaim checks the newest claim as just read. The caller holds the lock.
func (g *Gateway) mayClaim(claim issuer.Claim, now time.Time) error {
	p := g.peers[claim.Holder]
	if p != nil && p.holdsLease(claim, now) {
		return errLeaseHeld
	}
	return nil
}

func (g *Gateway) appendClaim(end int64) (int64, error) {
	value, err := json.Marshal(claimRecord{VM: g.settings.VM, Boot: g.boot})
	if err != nil {
		// The type has no field that JSON cannot hold.
		panic(err)
	}
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	return g.platform.Store.Append(ctx, HolderStream, holderKey, value, end)
}
