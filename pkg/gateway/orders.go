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
	// holderSilence is the age of the holder's last digest at which another VM claims.
	holderSilence = 1100 * time.Millisecond
	// sameStart is the difference of two start times up to which the VMs count as started together.
	sameStart = 2 * time.Second
	// settledAfter is the uptime from which a VM may hold the right to give orders before older ones.
	settledAfter = 2 * time.Second
	// holderKey is the key of the claims.
	holderKey = "orders"
)

// claimRecord is the value of a claim.
type claimRecord struct {
	VM   string `json:"vm"`
	Boot uint64 `json:"boot"`
}

// giveOrders brings the engines to the named versions while this VM holds the right to do so.
func (g *Gateway) giveOrders() {
	for g.sleep(orderPause) {
		now := steady.Now()
		g.mu.Lock()
		step := g.right.Next(g.situation(now), now)
		g.mu.Unlock()
		switch step {
		case issuer.Idle:
		case issuer.ClaimIt:
			g.claimOrders()
		case issuer.Act:
			g.advanceLoads()
		}
	}
}

// situation returns what the right to give orders depends on. The caller holds the lock.
func (g *Gateway) situation(now time.Time) issuer.Situation {
	s := issuer.Situation{
		Self:      g.settings.VM,
		Boot:      g.boot,
		Pending:   g.ordersDue() && !g.leaving.Load(),
		Reachable: g.storeAge(now) < storeFresh,
		Holder:    g.claim,
		First:     g.comesFirst(now),
	}
	if p := g.peers[g.claim.Holder]; p != nil {
		s.HolderAble = p.holds(g.claim, now)
	}
	if !s.Pending {
		clear(g.loads)
		g.loading = nil
	}
	return s
}

// holds reports whether the peer made a claim and is able to use it.
func (p *peerState) holds(claim issuer.Claim, now time.Time) bool {
	return p.boot == claim.Boot && p.able(now) && now.Sub(p.heard) < holderSilence
}

// comesFirst reports whether this VM is the one that acts where one has to. The caller holds the lock.
func (g *Gateway) comesFirst(now time.Time) bool {
	for _, p := range g.peers {
		if p.able(now) && g.before(p, now) {
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

// ordersDue reports whether an engine runs an older version than the one named. The caller holds the lock.
func (g *Gateway) ordersDue() bool {
	for model := range g.named {
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
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout*2)
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
			g.book.warn(partOrder).Int64("offset", r.Offset).Err(err).Msg("claim is unreadable")
		}
		claim = issuer.Claim{Holder: value.VM, Boot: value.Boot, Token: r.Offset}
	}
	return claim, end, nil
}

// confirmClaim reads the newest claim. It reports whether orders may be given now.
func (g *Gateway) confirmClaim() bool {
	started := steady.Now()
	g.mu.Lock()
	fresh := g.right.MayOrder(started)
	g.mu.Unlock()
	if fresh {
		return true
	}
	claim, _, err := g.newestClaim()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.storeFailedAt = steady.Now()
		g.book.warn(partOrder).Err(err).Msg("claim not confirmed")
		return false
	}
	g.claim = claim
	g.right.Confirmed(claim, started)
	if claim.Token != g.right.Token() {
		g.book.line(partOrder).Str("holder", claim.Holder).Int64("token", claim.Token).Msg("right to give orders lost")
	}
	return g.right.MayOrder(steady.Now())
}

// claimOrders claims the right to give orders, unless its holder is able to use it.
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
		g.right.Failed(now)
		g.book.line(partOrder).Err(err).Msg("right to give orders not claimed")
		return
	}
	before, lastOrder := g.holderBefore(claim, now)
	g.right.Claimed(token, before, lastOrder, now)
	g.claim = issuer.Claim{Holder: g.settings.VM, Boot: g.boot, Token: token}
	g.book.line(partOrder).Int64("token", token).Str("before", claim.Holder).Int("known", int(before)).
		Msg("right to give orders claimed")
}

// holderBefore returns what is known of the holder of an older claim. The caller holds the lock.
func (g *Gateway) holderBefore(claim issuer.Claim, now time.Time) (issuer.Before, time.Time) {
	if claim.Token < 0 {
		return issuer.Nobody, now
	}
	p := g.peers[claim.Holder]
	if p != nil && p.boot == claim.Boot && p.leaving {
		return issuer.Stopped, p.lastOrder
	}
	return issuer.Unsure, now
}

// errHolderAble means that the holder of the newest claim can use it.
var errHolderAble = errors.New("gateway: the holder is able to give orders")

// mayClaim checks the newest claim as just read. The caller holds the lock.
func (g *Gateway) mayClaim(claim issuer.Claim, now time.Time) error {
	p := g.peers[claim.Holder]
	if p != nil && p.holds(claim, now) {
		return errHolderAble
	}
	return nil
}

func (g *Gateway) appendClaim(end int64) (int64, error) {
	value, err := json.Marshal(claimRecord{VM: g.settings.VM, Boot: g.boot})
	if err != nil {
		// The type has no field that JSON cannot hold.
		panic(err)
	}
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout*2)
	defer cancel()
	return g.platform.Store.Append(ctx, HolderStream, holderKey, value, end)
}
