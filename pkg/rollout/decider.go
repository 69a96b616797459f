package rollout

import (
	"math"
	"time"
)

const (
	// perMille is the share of all requests.
	perMille = 1000
	// exposureMargin is the part of the exposure limit that a roll-out plans to use. The rest is for requests that are sent
	// while reports and instructions are on their way.
	exposureMargin = 0.9
	// slackMargin is the part of the exposure slack that a roll-out plans to use.
	slackMargin = 0.5
	// cleanToMove is the number of clean answers before the full move. A version with one bad answer in five passes it with a
	// probability of 1 %, and is then found during the move.
	cleanToMove = 20
	// stageDwell is the least time at one stage. Reports of the last one arrive within it in a small system.
	stageDwell = 400 * time.Millisecond
	// moveFraction is the part of the duration for which the full move is watched at least, within the bounds minMove and
	// maxMove. answersToComplete is the number of answers that it must bring, unless it lasts for maxMove.
	moveFraction      = 0.05
	minMove           = 500 * time.Millisecond
	maxMove           = 3 * time.Second
	answersToComplete = 40
	// answersOfRoute is the number of answers on each route that the old version has answered as often. Among so many, one with
	// 40 % bad answers shows at least two with a probability of 99.5 %.
	answersOfRoute = 15
	// idleGrace is the time after the end of the duration after which the move begins without cleanToMove answers, since the
	// service has too few requests for them.
	idleGrace = 3 * time.Second
	// targetGoneLimit is the time without an endpoint of the target, after the end of the duration, after which the roll-out
	// is given up.
	targetGoneLimit = 10 * time.Second
	// maxSealTime is the longest time for which instructions are sealed without an end, since requests that the target refuses
	// have no other endpoint then.
	maxSealTime = 5 * time.Second
	// sealLead is the time before the least end of the full move at which it may be sealed. It is the way of a seal to the VMs
	// and of their reports back.
	sealLead = 500 * time.Millisecond
	// resealDelay is the time after the end of a seal before the next one. Reports on the earlier one have expired by then.
	resealDelay = sealFactor * InstructionValidity
	// maxProbePerMille is the highest share before the full move, for services with few requests.
	maxProbePerMille = 250
	// shareStep is the least difference of two such shares.
	shareStep = 10
	// minRateAge is the age of an order from which on its requests are divided by it to a rate.
	minRateAge = 500 * time.Millisecond
)

// stage is a share of the requests and the clean answers that are needed to leave it.
type stage struct {
	perMille int
	clean    int64
}

// stages are the shares in which the exposure grows. After the last one, steadyPerMille of the requests keep the test
// running until the full move; the lower share leaves more of the exposure limit to the move.
var stages = [...]stage{{10, 5}, {20, 12}, {40, cleanToMove}}

const steadyPerMille = 20

// Phase is what a roll-out does now.
type Phase string

// Phases of a roll-out. The last two are final.
const (
	// Waiting means that no endpoint of the target is in service, or that the holder cannot confirm its claim or
	// hears too few VMs.
	Waiting Phase = "waiting"
	// Probing means that a small share goes to the target.
	Probing Phase = "probing"
	// Moving means that all new requests go to the target.
	Moving Phase = "moving"
	// Ended means that the roll-out is completed or rolled back.
	Ended Phase = "ended"
)

// Situation is what the holder knows when it decides.
type Situation struct {
	// Age is the time since the order.
	Age time.Duration
	// Evidence is that of all VMs.
	Evidence Evidence
	// TargetInService and OldInService report whether endpoints of the target, and of others, are in service.
	TargetInService, OldInService bool
	// Confirmed reports whether the holder has confirmed its claim lately.
	Confirmed bool
	// ReportsMissing reports whether most of the live VMs have not reported lately, so that bad answers may be missing from
	// the evidence.
	ReportsMissing bool
	// OldIdle reports whether every VM sends all new requests to the target and runs nothing at old endpoints.
	OldIdle bool
	// OldSealed reports whether in addition every VM follows a sealed instruction that outlasts the notice of the end.
	OldSealed bool
	// Withdrawn reports whether the operator removed the order.
	Withdrawn bool
}

// Decision is how much of the traffic goes to the target, and why.
type Decision struct {
	State         State
	Phase         Phase
	SharePerMille int
	Reason        string
}

// Decider decides one roll-out while one VM holds the order lease. It is not safe for concurrent use.
type Decider struct {
	order   Order
	limits  Limits
	verdict verdict
	now     Decision

	stage      int
	stageSince time.Time
	// movingSince is the start of the full move, or zero, and answersAtMove the answers of the target until then.
	movingSince   time.Time
	answersAtMove int64
	// forced is set if the move began since no old endpoint was in service, and sealedSince is since when all instructions are
	// sealed, or zero.
	forced      bool
	sealedSince time.Time
	// unsealedAt is when the last seal was given up.
	unsealedAt time.Time
	targetSeen bool
	// targetGoneSince is since when no endpoint of the target is in service, or zero.
	targetGoneSince time.Time
	rate            rate
}

// NewDecider returns a decider that knows nothing. Its first share is the lowest, whatever one before it has allowed.
func NewDecider(order Order, limits Limits) *Decider {
	return &Decider{
		order: order, limits: limits, verdict: verdict{routes: map[RouteID]*sequentialTest{}},
		now: Decision{State: Running, Phase: Waiting, Reason: "ordered"},
	}
}

// Decision returns the last decision.
func (d *Decider) Decision() Decision {
	return d.now
}

// Worst returns the highest score of the sequential tests, the counts behind it, and their route or zero for all routes.
func (d *Decider) Worst() (score float64, c Counts, route RouteID) {
	t, route := d.verdict.worst()
	return t.score, t.seen, route
}

// Step decides anew. It must be called several times a second.
func (d *Decider) Step(s Situation, now time.Time) Decision {
	if d.now.State.IsFinal() {
		return d.now
	}
	d.verdict.observe(s.Evidence, now)
	total := s.Evidence.Total()
	d.rate.observe(total.Sent, now)
	d.targetSeen = d.targetSeen || s.TargetInService || total.NewSent > 0
	switch {
	case s.TargetInService:
		d.targetGoneSince = time.Time{}
	case d.targetGoneSince.IsZero():
		d.targetGoneSince = now
	}
	if reason := d.rollBackReason(s, now); reason != "" {
		d.now = Decision{State: RolledBack, Phase: Ended, Reason: reason}
		return d.now
	}
	d.now = d.running(s, total, now)
	return d.now
}

// rollBackReason returns why the roll-out is rolled back, or "".
func (d *Decider) rollBackReason(s Situation, now time.Time) string {
	worst, route := d.verdict.worst()
	over := s.Age >= d.order.Duration
	switch {
	case s.Withdrawn:
		return "withdrawn"
	case worst.isBad() && route == 0:
		return "bad answers"
	case worst.isBad():
		return "bad answers on one route"
	case over && s.Confirmed && !d.targetSeen:
		return "no endpoint of the target"
	case over && s.Confirmed && !d.targetGoneSince.IsZero() && now.Sub(d.targetGoneSince) >= targetGoneLimit:
		return "endpoints of the target left"
	}
	return ""
}

// running returns the decision on a roll-out that is not rolled back.
func (d *Decider) running(s Situation, total Counts, now time.Time) Decision {
	out := Decision{State: Running, Phase: Waiting}
	if out.Reason = s.obstacle(); out.Reason != "" {
		d.movingSince, d.stage, d.stageSince = time.Time{}, 0, now
		return out
	}
	if d.mayMove(s, total, now) {
		return d.move(s, total, now)
	}
	d.movingSince = time.Time{}
	d.raise(total, now)
	out.Phase, out.SharePerMille, out.Reason = Probing, d.probeShare(s, total), "evidence grows"
	if !d.withinExposure(s, total) {
		out.SharePerMille, out.Reason = 0, "exposure limit"
	}
	return out
}

// obstacle returns why nothing may be sent to the target, or "".
func (s Situation) obstacle() string {
	switch {
	case !s.TargetInService:
		return "no endpoint of the target"
	case !s.Confirmed:
		return "claim not confirmed"
	case s.ReportsMissing:
		return "no reports of peers"
	}
	return ""
}

// isSuspect reports whether the target may be bad.
func (d *Decider) isSuspect() bool {
	worst, _ := d.verdict.worst()
	return worst.score >= suspectScore
}

// raise enters the next stage if the evidence allows it, and the first one while the target is suspect.
func (d *Decider) raise(total Counts, now time.Time) {
	switch {
	case d.stageSince.IsZero():
		d.stageSince = now
	case d.isSuspect():
		d.stage, d.stageSince = 0, now
	case d.stage < len(stages) && total.clean() >= stages[d.stage].clean && now.Sub(d.stageSince) >= stageDwell:
		d.stage, d.stageSince = d.stage+1, now
	}
}

// probeShare returns the share of the present stage. A service with few requests has a higher one, as far as the exposure
// slack covers it, since it would bring no evidence otherwise.
func (d *Decider) probeShare(s Situation, total Counts) int {
	share := steadyPerMille
	if d.stage < len(stages) {
		share = stages[d.stage].perMille
	}
	if s.Age >= d.order.Duration {
		return max(share, int(perMille*d.limits.ExposureShare))
	}
	if s.Age < minRateAge || d.isSuspect() {
		return share
	}
	perSecond := float64(total.Sent) / s.Age.Seconds()
	covered := slackMargin * d.limits.ExposureSlack / d.order.Duration.Seconds()
	if perSecond*maxProbePerMille <= covered*perMille {
		return maxProbePerMille
	}
	// Shares in steps keep the instruction the same while the rate varies.
	raised := math.Ceil(perMille*covered/perSecond/shareStep) * shareStep
	return max(share, int(raised))
}

// withinExposure reports whether the exposure so far leaves room for more.
func (d *Decider) withinExposure(s Situation, total Counts) bool {
	if s.Age >= d.order.Duration {
		return true
	}
	return float64(total.NewSent) <= d.plannedExposure(float64(total.Sent))
}

// plannedExposure returns the number of requests that may reach the target of a number that reaches the service.
func (d *Decider) plannedExposure(sent float64) float64 {
	return exposureMargin*d.limits.ExposureShare*sent + slackMargin*d.limits.ExposureSlack
}

// mayMove reports whether all new requests may go to the target: the evidence is there, and if the target is bad after all,
// what the rest of the duration sends to it fits into the exposure limit.
func (d *Decider) mayMove(s Situation, total Counts, now time.Time) bool {
	if !s.OldInService {
		d.forced = d.forced || d.movingSince.IsZero()
		return true
	}
	if d.forced {
		// Old endpoints are back, so the move has to fit into the exposure limit like any other.
		d.forced, d.movingSince = false, time.Time{}
	}
	if !d.movingSince.IsZero() {
		return d.withinExposure(s, total)
	}
	if d.isSuspect() {
		return false
	}
	left := d.order.Duration - s.Age
	enough := total.clean() >= cleanToMove && d.stage >= len(stages)
	if left <= 0 {
		return enough || -left >= idleGrace
	}
	if !enough {
		return false
	}
	perSecond := max(d.rate.perSecond, float64(total.Sent)/s.Age.Seconds())
	coming := perSecond * left.Seconds()
	return float64(total.NewSent)+coming <= d.plannedExposure(float64(total.Sent)+coming)
}

// move returns the decision while all new requests go to the target.
func (d *Decider) move(s Situation, total Counts, now time.Time) Decision {
	if d.movingSince.IsZero() {
		d.movingSince, d.answersAtMove, d.sealedSince = now, total.NewAnswers, time.Time{}
	}
	moved := now.Sub(d.movingSince)
	least := min(max(time.Duration(moveFraction*float64(d.order.Duration)), minMove), maxMove)
	answered := total.NewAnswers-d.answersAtMove >= answersToComplete && s.Evidence.coversRoutes(answersOfRoute)
	watched := moved >= least && (answered || moved >= maxMove)
	if !d.sealedSince.IsZero() && (d.isSuspect() || now.Sub(d.sealedSince) >= maxSealTime) {
		d.sealedSince, d.unsealedAt = time.Time{}, now
	}
	switch {
	case watched && s.OldSealed && !d.sealedSince.IsZero():
		return Decision{State: Completed, Phase: Ended, SharePerMille: perMille, Reason: "all traffic moved"}
	case d.sealedSince.IsZero() && d.maySeal(s, moved, least, now):
		d.sealedSince = now
	}
	if !d.sealedSince.IsZero() {
		return Decision{State: Running, Phase: Moving, SharePerMille: SealedPerMille, Reason: "old endpoints get no more requests"}
	}
	return Decision{State: Running, Phase: Moving, SharePerMille: perMille, Reason: "all traffic moves"}
}

// maySeal reports whether instructions may be sealed, which have been for the full move for a time. Old endpoints that are never
// idle, since the target refuses some requests, are sealed after maxMove.
func (d *Decider) maySeal(s Situation, moved, least time.Duration, now time.Time) bool {
	if d.isSuspect() || now.Sub(d.unsealedAt) < resealDelay {
		return false
	}
	return moved >= maxMove || s.OldIdle && moved+sealLead >= least
}

// rateWindow is the time over which the present rate of requests is taken.
const rateWindow = time.Second

// rate is the present rate of requests.
type rate struct {
	perSecond float64
	count     int64
	since     time.Time
}

// observe records the number of requests since the order.
func (r *rate) observe(count int64, now time.Time) {
	if r.since.IsZero() {
		r.count, r.since = count, now
		return
	}
	if elapsed := now.Sub(r.since); elapsed >= rateWindow {
		r.perSecond = float64(count-r.count) / elapsed.Seconds()
		r.count, r.since = count, now
	}
}
