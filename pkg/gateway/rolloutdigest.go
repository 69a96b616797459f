package gateway

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/rollout"
)

// rolloutInstructions returns the newest known instruction on each roll-out, for a digest. The caller holds the lock.
func (g *Gateway) rolloutInstructions(now time.Time) []*gossip.RolloutInstruction {
	var out []*gossip.RolloutInstruction
	for service, ro := range g.rollouts.byService {
		i, known := ro.follower.Newest()
		if !known {
			continue
		}
		out = append(out, &gossip.RolloutInstruction{
			Service: service, Target: ro.order.Target, OrderEra: i.Order.Era, OrderOffset: i.Order.Offset,
			OrderAgeMs: now.Sub(ro.since).Milliseconds(), ClaimEra: i.Claim.Era, ClaimOffset: i.Claim.Offset,
			Revision: i.Revision, State: rolloutStates[i.State], SharePerMille: uint32(i.SharePerMille),
			AgeMs: now.Sub(i.MadeAt).Milliseconds(),
		})
	}
	return out
}

// rolloutStates are the states in the peer protocol.
var rolloutStates = map[rollout.State]gossip.RolloutState{
	rollout.Running:    gossip.RolloutState_ROLLOUT_STATE_RUNNING,
	rollout.Completed:  gossip.RolloutState_ROLLOUT_STATE_COMPLETED,
	rollout.RolledBack: gossip.RolloutState_ROLLOUT_STATE_ROLLED_BACK,
}

// rolloutStateFromProto converts a state of the peer protocol. It reports false for one that this program does not know.
func rolloutStateFromProto(s gossip.RolloutState) (rollout.State, bool) {
	for state, proto := range rolloutStates {
		if proto == s {
			return state, true
		}
	}
	return 0, false
}

// rolloutEvidence returns what this VM saw of each roll-out that runs, for a digest. The caller holds the lock.
func (g *Gateway) rolloutEvidence(now time.Time) []*gossip.RolloutEvidence {
	var out []*gossip.RolloutEvidence
	for service, ro := range g.rollouts.byService {
		if ro.follower.State().IsFinal() {
			continue
		}
		e := &gossip.RolloutEvidence{
			Service: service, OrderEra: ro.order.At.Era, OrderOffset: ro.order.At.Offset,
			OrderAgeMs: now.Sub(ro.since).Milliseconds(), OldRunning: int32(g.rollouts.oldRunning(ro.order)),
			FollowedPerMille: uint32(ro.follower.SharePerMille(now)),
		}
		for route, c := range ro.tally.Evidence() {
			e.Routes = append(e.Routes, &gossip.RolloutCounts{
				Route: uint64(route), OldAnswers: c.OldAnswers, OldBad: c.OldBad, NewAnswers: c.NewAnswers, NewBad: c.NewBad,
				NewSent: c.NewSent, Sent: c.Sent,
			})
		}
		out = append(out, e)
	}
	return out
}

// applyPeerRollouts applies what a digest, which was sent at a time, says of roll-outs. The caller holds the lock.
func (g *Gateway) applyPeerRollouts(p *peerState, d *gossip.Digest, sentAt time.Time) {
	for _, i := range d.GetRolloutInstructions() {
		g.applyPeerInstruction(p, i, sentAt)
	}
	for _, e := range d.GetRolloutEvidence() {
		ro := g.rollouts.byService[e.GetService()]
		if ro == nil || ro.order.At != (logpos.Position{Era: e.GetOrderEra(), Offset: e.GetOrderOffset()}) {
			continue
		}
		ro.pool.Merge(rollout.Process{VM: p.vm, Boot: p.boot}, evidenceFromProto(e))
		if !p.clock.Known() {
			// The digest may have waited while this process stood still, so its age is not known.
			continue
		}
		ro.observeAge(time.Duration(e.GetOrderAgeMs())*time.Millisecond, sentAt)
		ro.reports[p.vm] = rolloutReport{
			boot: p.boot, at: sentAt, oldRunning: int(e.GetOldRunning()), followed: int(e.GetFollowedPerMille()),
			madeAt: instructionTime(d, e, sentAt),
		}
	}
}

// instructionTime returns when the instruction was made that the sender of a digest follows in a roll-out, or zero if it
// follows none.
func instructionTime(d *gossip.Digest, e *gossip.RolloutEvidence, sentAt time.Time) time.Time {
	for _, i := range d.GetRolloutInstructions() {
		if i.GetService() == e.GetService() && i.GetOrderEra() == e.GetOrderEra() && i.GetOrderOffset() == e.GetOrderOffset() {
			return instructionMadeAt(i, sentAt)
		}
	}
	return time.Time{}
}

// instructionMadeAt returns when the instruction in a digest was made.
func instructionMadeAt(i *gossip.RolloutInstruction, sentAt time.Time) time.Time {
	return sentAt.Add(-time.Duration(max(i.GetAgeMs(), 0)) * time.Millisecond)
}

// evidenceFromProto converts the evidence of a peer.
func evidenceFromProto(e *gossip.RolloutEvidence) rollout.Evidence {
	out := rollout.Evidence{}
	for _, c := range e.GetRoutes() {
		out[rollout.RouteID(c.GetRoute())] = rollout.Counts{
			OldAnswers: c.GetOldAnswers(), OldBad: c.GetOldBad(), NewAnswers: c.GetNewAnswers(), NewBad: c.GetNewBad(),
			NewSent: c.GetNewSent(), Sent: c.GetSent(),
		}
	}
	return out
}

// applyPeerInstruction applies an instruction in a digest that was sent at a time. The caller holds the lock.
func (g *Gateway) applyPeerInstruction(p *peerState, i *gossip.RolloutInstruction, sentAt time.Time) {
	state, known := rolloutStateFromProto(i.GetState())
	if !known || !state.IsFinal() && !p.clock.Known() {
		// The age of an instruction that expires must be known. A later digest of the peer repeats it.
		return
	}
	order := rollout.Order{
		At:      logpos.Position{Era: i.GetOrderEra(), Offset: i.GetOrderOffset()},
		Service: i.GetService(), Target: i.GetTarget(),
	}
	ro := g.rolloutOfPeer(order, sentAt)
	if ro == nil {
		return
	}
	ro.observeAge(time.Duration(i.GetOrderAgeMs())*time.Millisecond, sentAt)
	g.followInstruction(ro, rollout.Instruction{
		Order: order.At, Claim: logpos.Position{Era: i.GetClaimEra(), Offset: i.GetClaimOffset()}, Revision: i.GetRevision(),
		State: state, SharePerMille: int(i.GetSharePerMille()),
		MadeAt: instructionMadeAt(i, sentAt),
	}, p.vm, sentAt)
}

// rolloutOfPeer returns the roll-out of an order that a peer names, or nil if this VM knows a newer one. A VM that has not
// read the record of a newer order obeys instructions on it all the same. The caller holds the lock.
func (g *Gateway) rolloutOfPeer(order rollout.Order, now time.Time) *serviceRollout {
	known := g.rollouts.byService[order.Service]
	switch {
	case known != nil && known.order.At == order.At:
		return known
	case known != nil && known.order.At.After(order.At):
		return nil
	case known != nil && known.order.Target == order.Target && known.order.At.Era < order.At.Era && !known.withdrawn:
		// The record was repeated after a restore of the store.
		known.rename(order.At)
		return known
	}
	ro := newServiceRollout(order, g.settings.Rollback(), now)
	ro.replace(known)
	g.rollouts.byService[order.Service] = ro
	return ro
}
