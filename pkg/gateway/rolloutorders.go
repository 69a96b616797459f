package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/corneldeal/corneldeal/pkg/issuer"
	"github.com/corneldeal/corneldeal/pkg/logpos"
	"github.com/corneldeal/corneldeal/pkg/rollout"
)

const (
	// rolloutStepInterval is the interval between two decisions on a roll-out.
	rolloutStepInterval = 100 * time.Millisecond
	// claimRefreshInterval is the interval between two reads that confirm the claim while a roll-out runs. Two of them and
	// their time on the way fit into issuer.ReadValidity.
	claimRefreshInterval = 200 * time.Millisecond
	// rolloutIdleLimit is the time without an instruction after which the holder counts as inactive.
	rolloutIdleLimit = 4 * time.Second
	// finalDutyPeriod is the time after a final state for which the VMs see to it that there is a holder who writes the status.
	// It is shorter than rolloutIdleLimit, since the holder makes no more instructions.
	finalDutyPeriod = 3 * time.Second
	// silentVMLimit is the time after its last digest from which a silent VM no longer holds up the end of a roll-out. Such a
	// VM has most likely ended, and its requests with it.
	silentVMLimit = 5 * time.Second
	// reportValidity is the time for which a VM counts as heard after its report. With the time on the way of reports and
	// instructions it stays well below the default roll-back limit.
	reportValidity = 2 * time.Second
	// finalNoticeTime is the time within which all VMs know a final state after it was decided, and its record is written. Until
	// then a VM obeys the instruction before.
	finalNoticeTime = 700 * time.Millisecond
	// statusRetryDelay is the pause after a failed write of a status.
	statusRetryDelay = 200 * time.Millisecond
)

// rolloutDuty is the state of the VM that decides a roll-out.
type rolloutDuty struct {
	// claim is the position of the claim under which this VM decides, and decider is nil while it does not.
	claim    logpos.Position
	decider  *rollout.Decider
	revision int64
	logged   rollout.Decision
	// mayAdopt is set if a holder before this one, or this VM's earlier process, may have stored a final state.
	mayAdopt bool
	// statusRead is set once the stored status was read under the claim, and written is the state in it.
	statusRead bool
	written    rollout.State
	retryAt    time.Time
}

// isRolloutDecider reports whether this VM decides roll-outs: as far as it knows its claim is the newest. The caller holds the
// lock.
func (g *Gateway) isRolloutDecider() bool {
	claim := g.lease.Claim()
	return claim != issuer.NoClaim && claim == g.orderClaim.At && !g.leaving.Load()
}

// canBeDecided reports whether this VM knows what it has to know to decide a roll-out. The caller holds the lock.
func (g *Gateway) canBeDecided(ro *serviceRollout) bool {
	c := g.config.Load()
	return g.platform.Statuses != nil && ro.isOrdered() && c != nil && c.Services[ro.order.Service] != nil
}

// rolloutsDue reports whether a roll-out has to be decided, or its final state to be written. The caller holds the lock.
func (g *Gateway) rolloutsDue(now time.Time) bool {
	for _, ro := range g.rollouts.byService {
		if !g.canBeDecided(ro) {
			continue
		}
		state := ro.follower.State()
		unwritten := ro.duty.decider != nil && ro.duty.written != state
		if !state.IsFinal() || unwritten || now.Sub(ro.finalSince) < finalDutyPeriod {
			return true
		}
	}
	return false
}

// decidesRollouts reports whether the holder of a claim gives instructions on roll-outs, or will soon. The caller holds the
// lock.
func (g *Gateway) decidesRollouts(claim issuer.Claim, now time.Time) bool {
	last := later(g.rolloutsDueSince, g.orderClaimSince)
	for _, ro := range g.rollouts.byService {
		if i, known := ro.follower.Newest(); known && i.Claim == claim.At {
			last = later(last, i.MadeAt)
		}
	}
	return now.Sub(last) < rolloutIdleLimit
}

// runRollouts decides roll-outs while this VM holds the order lease.
func (g *Gateway) runRollouts() {
	for g.sleep(rolloutStepInterval) {
		g.mu.Lock()
		g.stepRollouts(g.now())
		g.mu.Unlock()
	}
}

// stepRollouts decides each roll-out anew. The caller holds the lock.
func (g *Gateway) stepRollouts(now time.Time) {
	decides := g.isRolloutDecider()
	for _, ro := range g.rollouts.byService {
		if !decides || !g.canBeDecided(ro) {
			ro.duty = rolloutDuty{}
			continue
		}
		if ro.duty.decider == nil || ro.duty.claim != g.lease.Claim() {
			g.beginDeciding(ro)
		}
		if !ro.follower.State().IsFinal() {
			g.decideRollout(ro, now)
		}
	}
}

// beginDeciding makes this VM the one that decides a roll-out. The caller holds the lock.
func (g *Gateway) beginDeciding(ro *serviceRollout) {
	newest, known := ro.follower.Newest()
	ro.duty = rolloutDuty{
		claim: g.lease.Claim(), mayAdopt: ro.foundAtStart || known && newest.Claim != g.lease.Claim(),
		decider: rollout.NewDecider(ro.order, rollout.Limits{
			ExposureShare: g.settings.ExposureShare, ExposureSlack: g.settings.ExposureSlack,
		}),
	}
	if known && newest.Claim == ro.duty.claim {
		ro.duty.revision = newest.Revision
	}
}

// decideRollout decides a roll-out and announces the decision. The caller holds the lock.
func (g *Gateway) decideRollout(ro *serviceRollout, now time.Time) {
	duty := &ro.duty
	ro.pool.Merge(rollout.Process{VM: g.settings.VM, Boot: g.boot}, ro.tally.Evidence())
	inService := g.endpoints.Usable(ro.order.Service)
	target, old := splitByVersion(ro.withoutBarred(inService, inService), ro.order.Target)
	s := rollout.Situation{
		Age: now.Sub(ro.since), Evidence: ro.pool.Evidence(), TargetInService: len(target) > 0, OldInService: len(old) > 0,
		Confirmed: g.lease.HoldsClaim(now) && (duty.statusRead || !duty.mayAdopt),
		Withdrawn: ro.withdrawn,
	}
	s.ReportsMissing = g.lacksReports(ro, now)
	s.OldIdle, s.OldSealed = g.oldUse(ro, now)
	decision := duty.decider.Step(s, now)
	g.logDecision(ro, decision, s, now)
	g.instruct(ro, decision.State, decision.SharePerMille, now)
}

// instruct makes an instruction. The caller holds the lock.
func (g *Gateway) instruct(ro *serviceRollout, state rollout.State, sharePerMille int, now time.Time) {
	ro.duty.revision++
	g.followInstruction(ro, rollout.Instruction{
		Order: ro.order.At, Claim: ro.duty.claim, Revision: ro.duty.revision, State: state, SharePerMille: sharePerMille, MadeAt: now,
	}, "self", now)
}

// logDecision logs a decision that differs from the one before. The caller holds the lock.
func (g *Gateway) logDecision(ro *serviceRollout, d rollout.Decision, s rollout.Situation, now time.Time) {
	if d == ro.duty.logged {
		return
	}
	ro.duty.logged = d
	total := s.Evidence.Total()
	score, worst, route := ro.duty.decider.Worst()
	oldest := now
	for _, report := range ro.reports {
		if report.at.Before(oldest) {
			oldest = report.at
		}
	}
	g.log.info(partOrder).Str("service", ro.order.Service).Str("target", ro.order.Target).
		Int64("era", ro.order.At.Era).Int64("offset", ro.order.At.Offset).Str("state", d.State.String()).Str("phase", string(d.Phase)).
		Int("share_per_mille", d.SharePerMille).Str("why", d.Reason).Dur("order_age_ms", s.Age).
		Int64("sent", total.Sent).Int64("target_sent", total.NewSent).Int64("target_answers", total.NewAnswers).
		Int64("target_bad", total.NewBad).Int64("old_answers", total.OldAnswers).Int64("old_bad", total.OldBad).
		Float64("score", score).Str("route", fmt.Sprintf("%x", uint64(route))).Int64("route_bad", worst.NewBad).
		Bool("confirmed", s.Confirmed).Bool("old_idle", s.OldIdle).Bool("old_sealed", s.OldSealed).Int("reports", len(ro.reports)).
		Dur("oldest_report_ms", now.Sub(oldest)).Msg("roll-out decided")
}

// lacksReports reports whether more than half of the live peers have sent no report on a roll-out lately. Digests may reach the
// peers of a VM and not come back, so the VM would go on without their evidence. The caller holds the lock.
func (g *Gateway) lacksReports(ro *serviceRollout, now time.Time) bool {
	peers, heard := 0, 0
	for _, p := range g.peers {
		if p.leaving || now.Sub(p.lastSeen) >= silentVMLimit {
			continue
		}
		peers++
		if report := ro.reports[p.vm]; report.boot == p.boot && now.Sub(report.at) < reportValidity {
			heard++
		}
	}
	return 2*heard < peers
}

// oldUse returns whether every VM sends all new requests to the target and runs nothing at old endpoints, and whether none can
// begin a request there before it hears of the end. The caller holds the lock.
func (g *Gateway) oldUse(ro *serviceRollout, now time.Time) (idle, sealed bool) {
	if ro.follower.SharePerMille(now) < rollout.FullPerMille || g.rollouts.oldRunning(ro.order) > 0 {
		return false, false
	}
	sealed = ro.follower.IsSealed(now)
	for _, p := range g.peers {
		if now.Sub(p.lastSeen) >= silentVMLimit || p.leaving && p.sequence == finalSequence {
			continue
		}
		report := ro.reports[p.vm]
		fresh := report.boot == p.boot && now.Sub(report.at) < peerSilenceLimit
		if !fresh || report.followed < rollout.FullPerMille || report.oldRunning > 0 {
			return false, false
		}
		outlasts := ro.follower.SealsUntil(report.madeAt).After(now.Add(finalNoticeTime))
		sealed = sealed && report.followed == rollout.SealedPerMille && outlasts
	}
	return true, sealed
}

// rewriteRolloutStatuses makes the holder of the order lease write the status of all roll-outs again if the store, which was
// restored, has lost it. The caller holds the lock.
func (g *Gateway) rewriteRolloutStatuses(now time.Time) {
	for _, ro := range g.rollouts.byService {
		if ro.follower.State().IsFinal() {
			ro.finalSince = now
		}
	}
}

// writeRolloutStatuses writes the status of roll-outs to the store, and confirms the claim under which this VM decides them.
func (g *Gateway) writeRolloutStatuses() {
	for g.sleep(rolloutStepInterval) {
		started := g.now()
		g.mu.Lock()
		decides := g.isRolloutDecider() && g.rolloutsDue(started)
		stale := !g.lease.HoldsClaim(started.Add(claimRefreshInterval + rolloutStepInterval))
		g.mu.Unlock()
		if !decides {
			continue
		}
		if stale {
			g.readClaim(started)
		}
		if write, due := g.nextStatusWrite(g.now()); due {
			g.writeStatus(write)
		}
	}
}

// statusWrite is a status that has to be in the store.
type statusWrite struct {
	ro     *serviceRollout
	claim  logpos.Position
	status RolloutStatus
}

// nextStatusWrite returns a status that the store does not hold as far as is known. It reports false if there is none, or
// this VM's claim is not confirmed.
func (g *Gateway) nextStatusWrite(now time.Time) (w statusWrite, due bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lease.HoldsClaim(now) {
		return w, false
	}
	for _, ro := range g.rollouts.byService {
		duty := &ro.duty
		if duty.decider == nil || duty.claim != g.lease.Claim() || now.Before(duty.retryAt) {
			continue
		}
		if duty.statusRead && duty.written == ro.follower.State() {
			continue
		}
		return g.statusWriteOf(ro), true
	}
	return w, false
}

// statusWriteOf returns the present status of a roll-out. The caller holds the lock.
func (g *Gateway) statusWriteOf(ro *serviceRollout) statusWrite {
	return statusWrite{ro: ro, claim: ro.duty.claim, status: RolloutStatus{
		Service: ro.order.Service, Target: ro.order.Target, State: ro.follower.State(),
	}}
}

// writeStatus writes a status, unless the store holds it already. The write is bound to the end of the stream that was read
// before, so that one that takes effect late does not replace a newer one.
func (g *Gateway) writeStatus(w statusWrite) {
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	listing, err := g.platform.Store.Newest(ctx, StatusStream)
	if err != nil {
		g.recordStatusWrite(w, logpos.Position{}, err)
		return
	}
	w, needed := g.applyStoredStatus(w, listing)
	if !needed {
		return
	}
	key, value := g.platform.Statuses.EncodeStatus(w.status)
	at, err := g.platform.Store.AppendAt(ctx, StatusStream, key, value, listing.End.Offset)
	if err == nil && at.Era != listing.End.Era {
		err = errStoreRestored
	}
	g.recordStatusWrite(w, at, err)
}

// applyStoredStatus applies the stored status of a roll-out. It returns the write that is needed now, and reports false if
// none is.
func (g *Gateway) applyStoredStatus(w statusWrite, listing Listing) (statusWrite, bool) {
	stored := g.storedStatus(w.status.Service, listing)
	g.mu.Lock()
	defer g.mu.Unlock()
	duty := &w.ro.duty
	if duty.decider == nil || duty.claim != w.claim {
		return w, false
	}
	adopts := duty.mayAdopt && !duty.statusRead && stored.State.IsFinal() && stored.Target == w.ro.order.Target
	duty.statusRead = true
	if adopts && !w.ro.follower.State().IsFinal() {
		g.log.info(partOrder).Str("service", stored.Service).Str("target", stored.Target).Str("state", stored.State.String()).
			Msg("roll-out ended before, by its stored status")
		g.instruct(w.ro, stored.State, 0, g.now())
	}
	w = g.statusWriteOf(w.ro)
	if stored == w.status {
		duty.written = stored.State
		return w, false
	}
	return w, true
}

// storedStatus returns the stored status of a service, or the zero status.
func (g *Gateway) storedStatus(service string, listing Listing) RolloutStatus {
	for _, r := range listing.Records {
		s, known, err := g.platform.Statuses.DecodeStatus(r.Key, r.Value)
		if err != nil {
			g.log.warn(partOrder).Str("key", r.Key).Int64("era", r.Position.Era).Int64("offset", r.Position.Offset).Err(err).
				Msg("roll-out status is unreadable")
			continue
		}
		if known && s.Service == service {
			return s
		}
	}
	return RolloutStatus{}
}

// recordStatusWrite records the result of a write.
func (g *Gateway) recordStatusWrite(w statusWrite, at logpos.Position, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if err != nil {
		w.ro.duty.retryAt = now.Add(g.jitter(statusRetryDelay))
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			g.storeFailedAt = now
		}
		g.log.warn(partOrder).Str("service", w.status.Service).Str("target", w.status.Target).Str("state", w.status.State.String()).
			Err(err).Msg("roll-out status not written")
		return
	}
	if w.ro.duty.claim == w.claim {
		w.ro.duty.written = w.status.State
	}
	g.metrics.count("rollout_status_writes_total")
	g.log.info(partOrder).Str("service", w.status.Service).Str("target", w.status.Target).Str("state", w.status.State.String()).
		Int64("era", at.Era).Int64("offset", at.Offset).Dur("order_age_ms", now.Sub(w.ro.since)).Msg("roll-out status written")
}
