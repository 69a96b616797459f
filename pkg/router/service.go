package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/corneldeal/corneldeal/pkg/caller"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/service"
)

// HTTP statuses of refusals.
const (
	statusBadRequest          = 400
	statusUnauthorized        = 401
	statusNotFound            = 404
	statusConflict            = 409
	statusTimeout             = 504
	statusTooManyRequests     = 429
	statusClientClosedRequest = 499
	statusBadGateway          = 502
	statusUnavailable         = 503
)

// maxServiceAttempts limits the attempts of an idempotent call, in addition to the retry budget.
const maxServiceAttempts = 3

// serviceCall is one call to a service that is not a model engine.
type serviceCall struct {
	id        string
	req       caller.ServiceRequest
	state     *config.State
	route     config.Route
	workspace config.Workspace
	ctx       context.Context
	// maySend is called right before each attempt of a call with an idempotency key and reports whether it may be sent.
	// Nil allows every attempt.
	maySend func() bool
	// excluded holds the endpoints that failed for this call.
	excluded map[string]bool
}

// timeout returns the time limit of an attempt.
func (c *serviceCall) timeout() time.Duration {
	if c.req.Timeout > 0 {
		return c.req.Timeout
	}
	return time.Duration(c.route.DeadlineMs) * time.Millisecond
}

// idempotent reports whether the route declares the method as idempotent.
func (c *serviceCall) idempotent() bool {
	return slices.Contains(c.route.IdempotentMethods, c.req.Method)
}

// Service implements caller.Backend.
func (r *Router) Service(req caller.ServiceRequest) (service.Response, *refusal.Error) {
	count(metricRequests, 1)
	resp, ref := r.handleService(req)
	if ref != nil {
		r.recordRefusal(partService, "", ref)
	}
	return resp, ref
}

// handleService checks a call and runs it in the worker pool.
func (r *Router) handleService(req caller.ServiceRequest) (service.Response, *refusal.Error) {
	state, ref := r.servingState()
	if ref != nil {
		return service.Response{}, ref
	}
	route, ok := state.ServiceRoute(req.Path)
	if !ok {
		return service.Response{}, refusal.New(statusNotFound, refusal.CodeNoRoute, "no route leads to this path")
	}
	identity, ref := r.identify(state, route, req.Key)
	if ref != nil {
		return service.Response{}, ref
	}
	c := &serviceCall{
		id:        uuid.NewString(),
		req:       req,
		state:     state,
		route:     route,
		workspace: identity.workspace,
		excluded:  map[string]bool{},
	}
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	ctx, stop := context.WithTimeout(ctx, c.timeout())
	defer stop()
	c.ctx = ctx
	remove, ref := r.registerRequest(identity, cancel)
	if ref != nil {
		return service.Response{}, ref
	}
	defer remove()
	return r.runInPool(func() (service.Response, *refusal.Error) { return r.runService(c) })
}

// runInPool runs a call in the worker pool and waits for it. It returns a refusal if the pool is full.
func (r *Router) runInPool(run func() (service.Response, *refusal.Error)) (service.Response, *refusal.Error) {
	var resp service.Response
	var ref *refusal.Error
	done := make(chan struct{})
	err := r.pool.Submit(func() {
		defer close(done)
		resp, ref = run()
	})
	if err != nil {
		return service.Response{}, errPoolFull()
	}
	<-done
	return resp, ref
}

func errPoolFull() *refusal.Error {
	return refusal.New(statusUnavailable, refusal.CodeOverloaded, "all workers of this VM are busy").WithRetryAfter(time.Second)
}

// runService charges the tokens of the call and makes the call.
func (r *Router) runService(c *serviceCall) (service.Response, *refusal.Error) {
	r.running.Add(1)
	defer r.running.Add(-1)
	charged, ref := r.chargeTokens(c.ctx, c.workspace, c.route.TokensPerCall)
	if ref != nil {
		return service.Response{}, ref
	}
	started := time.Now()
	resp, ref := r.dispatchService(c)
	if ref != nil && ref.RunState == refusal.NotRun {
		r.refund(charged, c.route.TokensPerCall)
	}
	r.recordDuration(partService, "call ended", c.id, c.route.Name, time.Since(started))
	return resp, ref
}

// dispatchService makes the call with the retries that its method and idempotency key allow.
func (r *Router) dispatchService(c *serviceCall) (service.Response, *refusal.Error) {
	if c.idempotent() {
		return r.callIdempotent(c)
	}
	if c.req.IdempotencyKey != "" {
		return r.runOnce(c)
	}
	return r.callNonIdempotent(c.ctx, c)
}

// callIdempotent tries an idempotent call on several endpoints within the retry budget.
func (r *Router) callIdempotent(c *serviceCall) (service.Response, *refusal.Error) {
	r.recordFirstAttempt()
	runState := refusal.NotRun
	for attempt := 1; ; attempt++ {
		endpoint, ref := r.pickServiceEndpoint(c)
		if ref != nil {
			return service.Response{}, ref.WithRunState(runState)
		}
		resp, err := r.attemptService(c.ctx, c, endpoint)
		if err == nil {
			return resp, nil
		}
		c.excluded[endpoint.Name] = true
		// An earlier attempt may have run although the last one did not.
		if serviceRunState(err) != refusal.NotRun {
			runState = refusal.Unknown
		}
		if c.ctx.Err() != nil {
			return service.Response{}, cancelRefusal(c.ctx).WithRunState(runState)
		}
		if attempt >= maxServiceAttempts || !r.takeRetry() {
			return service.Response{}, errServiceFailed().WithRunState(runState)
		}
		count(metricRetries, 1)
	}
}

// callNonIdempotent makes a call that must not be repeated. It tries another endpoint only while no byte of the call
// was written.
func (r *Router) callNonIdempotent(ctx context.Context, c *serviceCall) (service.Response, *refusal.Error) {
	for {
		endpoint, ref := r.pickServiceEndpoint(c)
		if ref != nil {
			return service.Response{}, ref
		}
		if c.maySend != nil && !c.maySend() {
			ref := refusal.New(statusUnavailable, refusal.CodeLogDown, "the intent is too old, so the call was not sent")
			return service.Response{}, ref.WithRetryAfter(time.Second)
		}
		resp, err := r.attemptService(ctx, c, endpoint)
		if err == nil {
			return resp, nil
		}
		runState := serviceRunState(err)
		if ctx.Err() != nil {
			return service.Response{}, cancelRefusal(ctx).WithRunState(runState)
		}
		if runState != refusal.NotRun {
			return service.Response{}, errServiceFailed().WithRunState(runState)
		}
		c.excluded[endpoint.Name] = true
	}
}

// attemptService sends the call to one endpoint.
func (r *Router) attemptService(ctx context.Context, c *serviceCall, endpoint config.Endpoint) (service.Response, error) {
	count(metricAttempts, 1)
	attemptID := uuid.NewString()
	r.record(partService, "attempt", c.id, endpoint.Name)
	resp, err := r.services.Call(ctx, endpoint.Name, endpoint.Address, service.Request{
		AttemptID:  attemptID,
		Method:     c.req.Method,
		URI:        c.req.URI,
		Headers:    c.req.Headers,
		Body:       c.req.Body,
		Idempotent: c.idempotent(),
	})
	if err != nil {
		r.debug(partService).Err(err).Str("request", c.id).Msg("service: attempt failed")
	}
	return resp, err
}

// pickServiceEndpoint returns a random endpoint of the route's service, in the data centre of this VM if it has one
// there.
func (r *Router) pickServiceEndpoint(c *serviceCall) (config.Endpoint, *refusal.Error) {
	var near, far []config.Endpoint
	// The newest state is used, so that a leaving endpoint gets no new work.
	for _, e := range r.state.Load().ServiceEndpoints(c.route.Service) {
		if e.Leaving || c.excluded[e.Name] {
			continue
		}
		if e.DataCentre == r.settings.DataCentre {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	candidates := near
	if len(candidates) == 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		ref := refusal.New(statusUnavailable, refusal.CodeNoEndpoint, "no endpoint of service %s can be reached", c.route.Service)
		return config.Endpoint{}, ref.WithRetryAfter(time.Second)
	}
	return candidates[rand.IntN(len(candidates))], nil
}

// serviceRunState returns the run state of a call that failed with err.
func serviceRunState(err error) refusal.RunState {
	var failed *service.Error
	if errors.As(err, &failed) && failed.Failure == service.FailureNotSent {
		return refusal.NotRun
	}
	return refusal.Unknown
}

func errServiceFailed() *refusal.Error {
	return refusal.New(statusBadGateway, refusal.CodeEndpointFailed, "the service did not answer").WithRetryAfter(time.Second)
}
