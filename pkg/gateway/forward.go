package gateway

import (
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/endpointlimit"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

const (
	// maxNotRunAttempts limits the attempts of one request that endpoints refuse without running it.
	maxNotRunAttempts = 3
	// crashRetryAfter is the longest Retry-After for callers of requests that crash endpoints.
	crashRetryAfter = 30 * time.Second
	// minTimeToSend is the time before the deadline below which a request is not sent, because an answer in time is too
	// unlikely.
	minTimeToSend = 30 * time.Millisecond
)

// target is the endpoint chosen for an attempt, with the service and the placement that led to it.
type target struct {
	service *traffic.Service
	choice  place.Choice
	request *place.Request
	// events counts the whole events that have arrived in the attempt.
	events int
	// limit is what the answer said about the rate limit of the endpoint.
	limit endpointlimit.Advertisement
	// sentAt is when the request was sent.
	sentAt time.Time
	// firstTokenAt is when the first byte of the answer or the first event was complete, or zero.
	firstTokenAt time.Time
	// originWaits is set while the first event of the stream waits for the record of its origin.
	originWaits bool
	// originNeeded is set if no event may be passed on without that record.
	originNeeded bool
	// slots is the number of requests that the endpoint runs at the same time.
	slots int
	// reused is set if the request was sent on a connection that had carried another one.
	reused bool
	// usable is the number of usable endpoints of the service when the endpoint was chosen.
	usable int
	// throughPeer is set once the request was sent to a peer that may have sent it on. peer is the name of its VM.
	throughPeer atomic.Bool
	peer        string
	// stopPathWatch ends the watch on the request's connection, or is nil.
	stopPathWatch func() bool
	// endForward records that the peer no longer sends the request, or is nil.
	endForward func()
	// retriesReserved is the number of retries that were taken from the budget for the attempts after this one.
	retriesReserved int
	// rollout is the part of the attempt in a roll-out.
	rollout rolloutAttempt
	// underLimit is set if the endpoint was limited when the request was sent.
	underLimit bool
}

// stopWatch ends the watch on the connection of a request that was sent directly.
func (t *target) stopWatch() {
	if t.stopPathWatch != nil {
		t.stopPathWatch()
	}
}

// endSend records that a peer no longer sends the request, if one did.
func (t *target) endSend() {
	if t.endForward != nil {
		t.endForward()
	}
}

// forward sends the request to endpoints until the caller has its final answer.
func (g *Gateway) forward(r *request) {
	defer g.giveBackRetries(r)
	for {
		t, refused := g.chooseEndpoint(r)
		if refused != nil {
			g.failRequest(r, refused)
			return
		}
		res := g.attempt(r, t)
		if t.retriesReserved > 0 {
			g.giveBackRetries(r)
			r.reserved = reservedRetries{endpoint: t.choice.Endpoint.ID, service: t.service.Name, count: t.retriesReserved}
		}
		if res.callerAnswered {
			return
		}
		if err := r.exchange.Context().Err(); err != nil {
			g.handleDisconnect(r)
			return
		}
		if !res.notRun {
			r.possibleRuns++
		}
		r.excluded = append(r.excluded, t.choice.Endpoint.ID)
		if !g.mayRetry(r, t, res) {
			g.failRequest(r, g.finalFailure(r, res))
			return
		}
		g.metrics.count("retries_total")
	}
}

// reservedRetries are retries of a service's budget that are held for a request: one for the attempt after an endpoint was given up
// for its silence, and one for the return to that endpoint, in case the next one turns the request away.
type reservedRetries struct {
	endpoint, service string
	count             int
}

// takeWayBack lets the request return to the endpoint that was given up, since its successor turned the request away.
func (r *request) takeWayBack() {
	r.reserved.count--
	r.excluded = slices.DeleteFunc(r.excluded, func(id string) bool { return id == r.reserved.endpoint })
}

// giveBackRetries returns the retries that are held for a request to the budget.
func (g *Gateway) giveBackRetries(r *request) {
	if r.reserved.count == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for range r.reserved.count {
		g.retryBudget(r.reserved.service).GiveBack(g.now())
	}
	r.reserved.count = 0
}

// chooseEndpoint selects the endpoint for the next attempt under the configuration in force now.
func (g *Gateway) chooseEndpoint(r *request) (*target, *refusal.Error) {
	g.awaitProbeTurn(r)
	if refused := g.authorize(r); refused != nil {
		return nil, refused
	}
	now := steady.Now()
	if refused := g.timeRefusal(r, now); refused != nil {
		return nil, refused
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastRequestAt = now
	if refused := g.crashRefusal(r, now); refused != nil {
		return nil, refused
	}
	t, refused := g.findTarget(r, now)
	if refused != nil {
		return nil, refused
	}
	g.recordSend(r, t)
	return t, nil
}

// findTarget returns the endpoint that takes the next attempt, or the refusal. It records nothing about the endpoint. The
// caller holds the lock.
func (g *Gateway) findTarget(r *request, now time.Time) (*target, *refusal.Error) {
	left := r.deadline.Sub(now)
	c := g.config.Load()
	var waitUntil time.Time
	r.atLimit = 0
	for _, name := range r.route.TargetOrder(r.call.ID) {
		s := c.Services[name]
		if s == nil || !r.mayGoOnAt(name) {
			continue
		}
		t := g.placeOn(r, c, s, now)
		if t.choice.Endpoint == nil {
			waitUntil = earliest(waitUntil, t.choice.WaitUntil)
			continue
		}
		if refused := g.lateRefusal(r, t, left, now); refused != nil {
			return nil, refused
		}
		return t, nil
	}
	return nil, noEndpointRefusal(r, waitUntil, now)
}

// timeRefusal returns the refusal of a request that is not sent because this VM stops or its deadline is too near, or nil.
func (g *Gateway) timeRefusal(r *request, now time.Time) *refusal.Error {
	if g.isTooLateToSend(now) {
		return stoppingRefusal()
	}
	if r.deadline.Sub(now) < minTimeToSend {
		return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeDeadline, "no time is left").
			WithRetryAfter(noEndpointRetryAfter)
	}
	return nil
}

// crashRefusal returns the refusal of a request that is suspected to crash endpoints, or nil. The caller holds the lock.
func (g *Gateway) crashRefusal(r *request, now time.Time) *refusal.Error {
	after, refuse := g.crashSuspicion(r, now)
	if !refuse {
		return nil
	}
	return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeCrashSuspect, "the request crashes endpoints").
		WithRetryAfter(after)
}

// eligibleEndpoints returns the usable endpoints of a service that may serve the request's stream, or its probe. The caller
// holds the lock.
func (g *Gateway) eligibleEndpoints(r *request, usable []*fleet.Endpoint) []*fleet.Endpoint {
	endpoints := g.originCandidates(r, usable)
	if r.probe {
		endpoints = g.probeEndpoints(endpoints, r.excluded)
	}
	return endpoints
}

// placeOn places the request on the endpoints of a service of the configuration. The caller holds the lock.
func (g *Gateway) placeOn(r *request, c *traffic.Config, s *traffic.Service, now time.Time) *target {
	usable := g.endpoints.Usable(s.Name)
	endpoints := g.paths.Reachable(g.eligibleEndpoints(r, usable))
	p := g.placementRequest(r, c, s, now)
	properties := g.serviceProperties(c, s, p, endpoints)
	choice := g.placeByVersion(r, s.Name, endpoints, now, func(endpoints []*fleet.Endpoint) place.Choice {
		return g.placer.Place(p, endpoints, properties, now)
	})
	r.atLimit += choice.AtLimit
	g.metrics.counters.Add("endpoints_left_out_at_limit_total", int64(choice.AtLimit))
	g.metrics.counters.Add("endpoints_left_out_connections_total", int64(choice.NoConnection))
	g.metrics.counters.Add("endpoints_left_out_full_total", int64(choice.Full))
	return &target{service: s, choice: choice, request: p, slots: properties.Slots, sentAt: now, usable: len(usable)}
}

// recordSend records that the request is sent to its target. The caller holds the lock.
func (g *Gateway) recordSend(r *request, t *target) {
	if r.attempts == 0 {
		g.retryBudget(t.service.Name).CountFirst(t.sentAt)
	}
	g.recordRolloutSend(r, t)
	r.attempts++
	g.placer.RecordSend(t.request, t.choice, t.sentAt)
	t.underLimit = g.recordLimitedSend(t.choice.Endpoint, t.sentAt)
	if t.choice.BeyondShare {
		g.metrics.count("sends_beyond_connection_share_total")
	}
	g.startProbes(r, t)
	g.beginOrigin(r, t)
}

// lateRefusal returns the refusal of a request whose answer would be late on the chosen endpoint, or nil. The caller holds
// the lock.
func (g *Gateway) lateRefusal(r *request, t *target, left time.Duration, now time.Time) *refusal.Error {
	r.expectedDuration = t.choice.Expected
	if g.controlsOverload(r, t) {
		if refused := g.overloadRefusal(r, t, left, now); refused != nil {
			return refused
		}
	}
	return g.basicLateRefusal(r, t, left, now)
}

// basicLateRefusal returns the refusal of a request that would be late on the chosen endpoint, or nil. It changes no state.
func (g *Gateway) basicLateRefusal(r *request, t *target, left time.Duration, now time.Time) *refusal.Error {
	if t.choice.Expected > left {
		return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeQueueFull, "the answer would be late").
			WithRetryAfter(t.choice.Expected - left + noEndpointRetryAfter)
	}
	if g.controlsOverload(r, t) {
		return nil
	}
	if late := overloadDelay(r, t.service, t.choice, now); late > 0 {
		return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeOverloaded, "the engines are overloaded").
			WithRetryAfter(late)
	}
	return nil
}

// noEndpointRefusal returns the refusal of a request that no endpoint may take now. waitUntil is the earliest time at
// which one may, or zero if none is known.
func noEndpointRefusal(r *request, waitUntil, now time.Time) *refusal.Error {
	code, message, after := refusal.CodeQueueFull, "all endpoints asked to wait", waitUntil.Sub(now)
	switch {
	case waitUntil.IsZero():
		code, message, after = refusal.CodeNoEndpoint, "no endpoint is available", noEndpointRetryAfter
	case r.atLimit > 0:
		code, message = refusal.CodeEndpointLimit, "all endpoints are at their rate limits"
	}
	return refusal.New(fasthttp.StatusServiceUnavailable, code, "%s", message).WithRetryAfter(after)
}

// earliest returns the earlier of two times, either of which may be zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// overloadDelay returns how late a new request would be on overloaded engines, or 0 if it should be sent.
func overloadDelay(r *request, s *traffic.Service, c place.Choice, now time.Time) time.Duration {
	if s.Engine == nil || r.attempts > 0 {
		return 0
	}
	return admit.ExcessWait(admit.PlannedSend{
		Age: now.Sub(r.arrived), Expected: c.Expected, Prefill: c.Prefill, Objective: r.route.Objective, Running: c.Running,
	})
}

// mayRetry reports whether another attempt may follow. It uses a retry that was reserved for the request, or else takes one from
// the service's budget.
func (g *Gateway) mayRetry(r *request, t *target, res attemptResult) bool {
	if res.notRun {
		if r.attempts >= maxNotRunAttempts {
			return false
		}
	} else if !r.route.Idempotent() || r.possibleRuns >= r.route.Attempts {
		return false
	}
	if r.streamStarted && r.lastEventID == "" {
		return false
	}
	now := steady.Now()
	if r.deadline.Sub(now) < minTimeToSend {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case t.retriesReserved > 0:
		r.reserved.count--
		return true
	case res.notRun && r.reserved.count > 0:
		r.takeWayBack()
		return true
	}
	if !g.retryBudget(t.service.Name).Take(now) {
		g.metrics.count("retries_over_budget_total")
		return false
	}
	return true
}

// finalFailure returns the caller's final answer after a failed attempt.
func (g *Gateway) finalFailure(r *request, res attemptResult) *refusal.Error {
	if r.possibleRuns == 0 && res.notRun {
		return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeQueueFull, "the endpoints refused the request").
			WithRetryAfter(noEndpointRetryAfter)
	}
	if errors.Is(res.err, errTimeLimit) {
		return refusal.New(fasthttp.StatusGatewayTimeout, refusal.CodeDeadline, "the endpoint did not answer in time").
			WithRunState(refusal.Unknown)
	}
	return refusal.New(fasthttp.StatusBadGateway, refusal.CodeEndpointFailed, "the endpoint failed").WithRunState(refusal.Unknown)
}

// failRequest ends a request without success: it aborts a stream that has started, forwards an endpoint's failure or
// sends the refusal.
func (g *Gateway) failRequest(r *request, refused *refusal.Error) {
	if r.streamStarted {
		g.metrics.count("streams_cut_total")
		g.logRequestEnd(r, "cut", 0, refused.Message)
		r.exchange.Abort()
		return
	}
	if r.endpointFailure != nil {
		g.logRequestEnd(r, "endpoint failed", r.endpointFailure.StatusCode(), "")
		r.exchange.Respond(r.endpointFailure)
		return
	}
	if r.possibleRuns > 0 && refused.RunState == refusal.NotRun {
		// An earlier attempt may have run the request.
		refused = refusal.New(fasthttp.StatusBadGateway, refused.Code, "%s", refused.Message).WithRunState(refusal.Unknown)
	}
	g.refuse(r, refused)
}

// handleDisconnect ends a request whose caller closed the connection.
func (g *Gateway) handleDisconnect(r *request) {
	g.metrics.count("callers_left_total")
	g.logRequestEnd(r, "caller left", 0, "")
	r.exchange.Abort()
}

// logRequestEnd logs the end of a request.
func (g *Gateway) logRequestEnd(r *request, outcome string, status int, detail string) {
	g.log.info(partRequest).Str("request", r.call.ID).Str("outcome", outcome).Int("status", status).
		Str("route", r.route.Name).Int("tries", r.attempts).Int("events", r.eventsSent).
		Dur("age_ms", steady.Since(r.arrived)).Dur("stopping_ms", max(0, g.stoppingFor(steady.Now()))).Str("detail", detail).
		Msg("request ended")
}
