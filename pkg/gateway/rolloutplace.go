package gateway

import (
	"hash/fnv"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/rollout"
)

// rolloutAttempt is the part of an attempt in a roll-out.
type rolloutAttempt struct {
	// order is the roll-out of the service when the request was sent, or nil.
	order *serviceRollout
	// counted is set once the answer was counted, and bad if it was counted as bad.
	counted, bad bool
	// success is set if the answer has a status of success.
	success bool
}

// versionCandidates are the endpoints of the versions to which a request may be sent.
type versionCandidates struct {
	endpoints []*fleet.Endpoint
	// fallback are those that take the request if none of endpoints can.
	fallback []*fleet.Endpoint
}

// placeByVersion places a request on the endpoints of the version to which it belongs under the roll-out of its service, if
// there is one. The caller holds the lock.
func (g *Gateway) placeByVersion(
	r *request, service string, endpoints []*fleet.Endpoint, now time.Time, placeOn func([]*fleet.Endpoint) place.Choice,
) place.Choice {
	ro := g.rollouts.byService[service]
	if ro == nil {
		return placeOn(endpoints)
	}
	c := g.candidatesByVersion(r, ro, endpoints, now)
	choice := placeOn(c.endpoints)
	if choice.Endpoint != nil || len(c.fallback) == 0 {
		return choice
	}
	second := placeOn(c.fallback)
	second.WaitUntil = earliest(choice.WaitUntil, second.WaitUntil)
	second.AtLimit += choice.AtLimit
	return second
}

// candidatesByVersion returns the endpoints to which a request may be sent under a roll-out. The caller holds the lock.
func (g *Gateway) candidatesByVersion(
	r *request, ro *serviceRollout, endpoints []*fleet.Endpoint, now time.Time,
) versionCandidates {
	// What is in service decides, not what a request was refused by already.
	inService := g.endpoints.Usable(ro.order.Service)
	endpoints = ro.withoutBarred(endpoints, inService)
	target, old := splitByVersion(endpoints, ro.order.Target)
	allTarget, allOld := splitByVersion(ro.withoutBarred(inService, inService), ro.order.Target)
	share := ro.follower.SharePerMille(now)
	switch state := ro.follower.State(); {
	case state == rollout.RolledBack && ro.withdrawn && len(allOld) == 0:
		// The operator has ended the order, and runs the version on purpose.
		return versionCandidates{endpoints: endpoints}
	case state == rollout.RolledBack:
		return versionCandidates{endpoints: old}
	case state == rollout.Completed && len(allTarget) > 0:
		return versionCandidates{endpoints: target}
	case state == rollout.Completed, len(allOld) == 0:
		return versionCandidates{endpoints: endpoints}
	case ro.follower.IsSealed(now) && !ro.withdrawn:
		if share == 0 {
			target = nil
		}
		return versionCandidates{endpoints: target}
	case ro.withdrawn || share == 0:
		return versionCandidates{endpoints: old}
	case r.origin != nil:
		return versionCandidates{endpoints: endpoints}
	case rollout.Draw(ro.order.At, r.call.ID) < share:
		return versionCandidates{endpoints: target, fallback: old}
	}
	return versionCandidates{endpoints: old}
}

// splitByVersion returns the endpoints of a software version, and the others.
func splitByVersion(endpoints []*fleet.Endpoint, software string) (of, others []*fleet.Endpoint) {
	for _, e := range endpoints {
		if e.Software == software {
			of = append(of, e)
		} else {
			others = append(others, e)
		}
	}
	return of, others
}

// routeID returns the id of a route in the evidence on roll-outs.
func routeID(name string) rollout.RouteID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rollout.RouteID(h.Sum64())
}

// versionOf returns the side of a target in a roll-out.
func (ro *serviceRollout) versionOf(t *target) rollout.Version {
	if t.choice.Endpoint.Software == ro.order.Target {
		return rollout.Target
	}
	return rollout.Old
}

// recordRolloutSend counts an attempt that is sent, before it is added to those of the request. The caller holds the lock.
func (g *Gateway) recordRolloutSend(r *request, t *target) {
	g.rollouts.running[runningKey{t.service.Name, t.choice.Endpoint.Software}]++
	ro := g.rollouts.byService[t.service.Name]
	if ro == nil || ro.follower.State().IsFinal() {
		return
	}
	t.rollout.order = ro
	ro.tally.Sent(routeID(r.route.Name), ro.versionOf(t), r.attempts == 0)
	if ro.versionOf(t) == rollout.Target {
		g.metrics.count("rollout_target_sends_total")
	}
}

// recordRolloutFirstToken judges the time to a first token. The caller holds the lock.
func (g *Gateway) recordRolloutFirstToken(r *request, t *target, now time.Time) {
	if !t.rollout.success {
		// The outcome of the attempt counts.
		return
	}
	ro := t.rollout.order
	took := now.Sub(t.sentAt)
	cold := now.Before(t.choice.Endpoint.WarmAt)
	slow := !cold && g.isSlowFirstToken(r, t, took)
	if !cold && (ro == nil || ro.versionOf(t) == rollout.Old) {
		g.rolloutReference(t.service.Name).Observe(routeID(r.route.Name), t.choice.UncachedTokens, took)
	}
	if ro != nil && !cold {
		g.countRolloutAnswer(r, t, slow)
	}
}

// rolloutReference returns what the versions in use of a service need for their first tokens. The caller holds the lock.
func (g *Gateway) rolloutReference(service string) *rollout.Reference {
	ref := g.rollouts.references[service]
	if ref == nil {
		ref = rollout.NewReference()
		g.rollouts.references[service] = ref
	}
	return ref
}

// isSlowFirstToken reports whether a wait for a first token is too long for the version that is replaced. The caller holds the
// lock.
func (g *Gateway) isSlowFirstToken(r *request, t *target, took time.Duration) bool {
	return g.rolloutReference(t.service.Name).IsSlow(routeID(r.route.Name), t.choice.UncachedTokens, took)
}

// countRolloutAnswer counts the answer to an attempt, or that it turned out to be bad. The caller holds the lock.
func (g *Gateway) countRolloutAnswer(r *request, t *target, bad bool) {
	ro, version, route := t.rollout.order, t.rollout.order.versionOf(t), routeID(r.route.Name)
	switch {
	case !t.rollout.counted:
		ro.tally.Answered(route, version, bad)
	case bad && !t.rollout.bad:
		ro.tally.TurnedBad(route, version)
	default:
		return
	}
	if version == rollout.Target {
		if !t.rollout.counted {
			g.metrics.count("rollout_target_answers_total")
		}
		if bad {
			g.metrics.count("rollout_target_bad_answers_total")
		}
	}
	t.rollout.counted, t.rollout.bad = true, bad
}

// recordRolloutOutcome counts the outcome of an attempt. The caller holds the lock.
func (g *Gateway) recordRolloutOutcome(r *request, t *target, res attemptResult, now time.Time) {
	key := runningKey{t.service.Name, t.choice.Endpoint.Software}
	if g.rollouts.running[key]--; g.rollouts.running[key] <= 0 {
		delete(g.rollouts.running, key)
	}
	if t.rollout.order == nil {
		return
	}
	switch res.outcome {
	case place.Answered:
		g.countRolloutAnswer(r, t, false)
	case place.Failed, place.Broken, place.Malformed, place.Unreachable, place.TimedOut:
		g.countRolloutAnswer(r, t, true)
	case place.Neutral:
		// A caller that left may have done so because the first token was late.
		waits := !res.notRun && t.firstTokenAt.IsZero() && !now.Before(t.choice.Endpoint.WarmAt)
		if waits && g.isSlowFirstToken(r, t, now.Sub(t.sentAt)) {
			g.countRolloutAnswer(r, t, true)
		}
	case place.Full:
	}
}
