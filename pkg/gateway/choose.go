package gateway

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

const (
	// notRunTries bounds the sends of one request that endpoints refused without running it.
	notRunTries = 3
	// crashRetry is the Retry-After for callers of requests that crash endpoints.
	crashRetry = 30 * time.Second
	// minRemaining is the time below which a send is no real offer.
	minRemaining = 30 * time.Millisecond
)

// target is the endpoint chosen for an attempt.
type target struct {
	service *traffic.Service
	choice  place.Choice
	request *place.Request
	// firstSeen is set once the first event of the attempt was seen.
	firstSeen bool
}

// forward sends the request to endpoints until the caller has its final answer.
func (g *Gateway) forward(r *request) {
	for {
		t, refused := g.choose(r)
		if refused != nil {
			g.giveUp(r, refused)
			return
		}
		res := g.attempt(r, t)
		if res.done {
			return
		}
		if err := r.x.Context().Err(); err != nil {
			g.callerLeft(r)
			return
		}
		if !res.notRun {
			r.sends++
		}
		r.excluded = append(r.excluded, t.choice.Endpoint.ID)
		if !g.mayRetry(r, t, res) {
			g.giveUp(r, g.failureOf(r, res))
			return
		}
		g.metrics.count("retries_total")
	}
}

// choose finds the endpoint for the next attempt under the configuration in force now.
func (g *Gateway) choose(r *request) (*target, *refusal.Error) {
	if refused := g.authorize(r); refused != nil {
		return nil, refused
	}
	now := steady.Now()
	left := r.deadline.Sub(now)
	if left < minRemaining {
		return nil, refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeDeadline, "no time is left").
			After(noEndpointRetry)
	}
	c := g.config.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashesEndpoints(r, now) {
		return nil, refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeCrashSuspect, "the request crashes endpoints").
			After(crashRetry)
	}
	var waitUntil time.Time
	for _, name := range r.route.Pick(r.call.ID) {
		s := c.Services[name]
		if s == nil {
			continue
		}
		endpoints := g.endpoints.Usable(name)
		p := g.placement(r, s)
		choice := g.placer.Place(p, endpoints, g.facts(c, s, p, endpoints), now)
		if choice.Endpoint == nil {
			waitUntil = earliest(waitUntil, choice.WaitUntil)
			continue
		}
		r.expected = choice.Expected
		if choice.Expected > left {
			return nil, refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeQueueFull, "the answer would be late").
				After(choice.Expected - left + noEndpointRetry)
		}
		if late := shed(r, s, choice, now); late > 0 {
			return nil, refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeOverloaded, "the engines are overloaded").
				After(late)
		}
		if r.tries == 0 {
			g.retryBudget(name).First(now)
		}
		r.tries++
		g.placer.Sent(p, choice, now)
		return &target{service: s, choice: choice, request: p}, nil
	}
	if !waitUntil.IsZero() {
		return nil, refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeQueueFull, "all endpoints asked to wait").
			After(waitUntil.Sub(now))
	}
	return nil, refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeNoEndpoint, "no endpoint is available").
		After(noEndpointRetry)
}

// earliest returns the earlier of two times, either of which may be unset.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// shed returns by how much a new request would be late on overloaded engines.
func shed(r *request, s *traffic.Service, c place.Choice, now time.Time) time.Duration {
	if s.Engine == nil || r.tries > 0 {
		return 0
	}
	return admit.Shed(admit.Offer{
		Age: now.Sub(r.arrived), Expected: c.Expected, Reading: c.Reading, Objective: r.route.Objective, Running: c.Running,
	})
}

// mayRetry decides whether another endpoint is tried.
func (g *Gateway) mayRetry(r *request, t *target, res result) bool {
	if res.notRun {
		if r.tries >= notRunTries {
			return false
		}
	} else if !r.route.Idempotent() || r.sends >= r.route.Attempts {
		return false
	}
	if r.begun && r.lastEventID == "" {
		return false
	}
	now := steady.Now()
	if r.deadline.Sub(now) < minRemaining {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.retryBudget(t.service.Name).Take(now) {
		g.metrics.count("retries_over_budget_total")
		return false
	}
	return true
}

// failureOf returns the final answer after a failed attempt.
func (g *Gateway) failureOf(r *request, res result) *refusal.Error {
	if r.sends == 0 && res.notRun {
		return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeQueueFull, "the endpoints refused the request").
			After(noEndpointRetry)
	}
	if errors.Is(res.err, errTimeLimit) {
		return refusal.New(fasthttp.StatusGatewayTimeout, refusal.CodeDeadline, "the endpoint did not answer in time").
			With(refusal.Unknown)
	}
	return refusal.New(fasthttp.StatusBadGateway, refusal.CodeEndpointFailed, "the endpoint failed").With(refusal.Unknown)
}

// giveUp ends a request without a success.
func (g *Gateway) giveUp(r *request, refused *refusal.Error) {
	if r.begun {
		g.metrics.count("streams_cut_total")
		g.logEnd(r, "cut", 0, refused.Message)
		r.x.Abort()
		return
	}
	if r.failure != nil {
		g.logEnd(r, "endpoint failed", r.failure.StatusCode(), "")
		r.x.Respond(r.failure)
		return
	}
	if r.sends > 0 && refused.RunState == refusal.NotRun {
		// An earlier attempt may have run.
		refused = refusal.New(fasthttp.StatusBadGateway, refused.Code, "%s", refused.Message).With(refusal.Unknown)
	}
	g.refuse(r, refused)
}

func (g *Gateway) callerLeft(r *request) {
	g.metrics.count("callers_left_total")
	g.logEnd(r, "caller left", 0, "")
	r.x.Abort()
}

func (g *Gateway) logEnd(r *request, outcome string, status int, detail string) {
	g.log.line(partRequest).Str("request", r.call.ID).Str("outcome", outcome).Int("status", status).
		Str("route", r.route.Name).Int("tries", r.tries).Int("events", r.events).
		Dur("age_ms", steady.Since(r.arrived)).Str("detail", detail).Msg("request ended")
}
