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
	statusBadRequest   = 400
	statusUnauthorized = 401
	statusNotFound     = 404
	statusConflict     = 409
	statusTimeout      = 504
	statusTooMany      = 429
	statusClientClosed = 499
	statusBadGateway   = 502
	statusUnavailable  = 503
)

// maxServiceAttempts bounds the attempts at an idempotent call, beside the retry budget.
const maxServiceAttempts = 3

// serviceCall is one call of a plain service.
type serviceCall struct {
	id        string
	req       caller.ServiceRequest
	state     *config.State
	route     config.Route
	workspace config.Workspace
	ctx       context.Context
	// maySend is asked right before each attempt at a call with an idempotency key. Nil allows it.
	maySend func() bool
	// excluded are the endpoints that failed for this call.
	excluded map[string]bool
}

// timeout is the time within which an attempt must end.
func (c *serviceCall) timeout() time.Duration {
	if c.req.Timeout > 0 {
		return c.req.Timeout
	}
	return time.Duration(c.route.DeadlineMs) * time.Millisecond
}

func (c *serviceCall) idempotent() bool {
	return slices.Contains(c.route.IdempotentMethods, c.req.Method)
}

// Service implements caller.Backend.
func (r *Router) Service(req caller.ServiceRequest) (service.Response, *refusal.Error) {
	count(metricRequests, 1)
	resp, ref := r.service(req)
	if ref != nil {
		r.refused(partService, "", ref)
	}
	return resp, ref
}

func (r *Router) service(req caller.ServiceRequest) (service.Response, *refusal.Error) {
	state, ref := r.gate()
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
	remove, ref := r.register(identity, cancel)
	if ref != nil {
		return service.Response{}, ref
	}
	defer remove()
	return r.inPool(func() (service.Response, *refusal.Error) { return r.runService(c) })
}

// inPool runs a call in the worker pool and waits for it. A full pool refuses.
func (r *Router) inPool(run func() (service.Response, *refusal.Error)) (service.Response, *refusal.Error) {
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
	return refusal.New(statusUnavailable, refusal.CodeOverloaded, "all workers of this VM are busy").After(time.Second)
}

func (r *Router) runService(c *serviceCall) (service.Response, *refusal.Error) {
	r.running.Add(1)
	defer r.running.Add(-1)
	paid, ref := r.charge(c.ctx, c.workspace, c.route.TokensPerCall)
	if ref != nil {
		return service.Response{}, ref
	}
	started := time.Now()
	resp, ref := r.dispatchService(c)
	if ref != nil && ref.RunState == refusal.NotRun {
		r.refund(paid, c.route.TokensPerCall)
	}
	r.recordTook(partService, "call ended", c.id, c.route.Name, time.Since(started))
	return resp, ref
}

func (r *Router) dispatchService(c *serviceCall) (service.Response, *refusal.Error) {
	if c.idempotent() {
		return r.callRepeatable(c)
	}
	if c.req.IdempotencyKey != "" {
		return r.runOnce(c)
	}
	return r.callUnrepeatable(c.ctx, c)
}

// callRepeatable tries an idempotent call on several endpoints within the retry budget.
func (r *Router) callRepeatable(c *serviceCall) (service.Response, *refusal.Error) {
	r.firstAttempt()
	state := refusal.NotRun
	for attempt := 1; ; attempt++ {
		endpoint, ref := r.pickService(c)
		if ref != nil {
			return service.Response{}, ref.With(state)
		}
		resp, err := r.attemptService(c.ctx, c, endpoint)
		if err == nil {
			return resp, nil
		}
		c.excluded[endpoint.Name] = true
		// An earlier attempt may have run although the last one did not.
		if serviceRunState(err) != refusal.NotRun {
			state = refusal.Unknown
		}
		if c.ctx.Err() != nil {
			return service.Response{}, endCause(c.ctx).With(state)
		}
		if attempt >= maxServiceAttempts || !r.takeRetry() {
			return service.Response{}, errServiceFailed().With(state)
		}
		count(metricRetries, 1)
	}
}

// callUnrepeatable sends a call that may not be repeated. Another endpoint is tried only while no byte of the call
// was written.
func (r *Router) callUnrepeatable(ctx context.Context, c *serviceCall) (service.Response, *refusal.Error) {
	for {
		endpoint, ref := r.pickService(c)
		if ref != nil {
			return service.Response{}, ref
		}
		if c.maySend != nil && !c.maySend() {
			ref := refusal.New(statusUnavailable, refusal.CodeLogDown, "the intent is too old, so the call was not sent")
			return service.Response{}, ref.After(time.Second)
		}
		resp, err := r.attemptService(ctx, c, endpoint)
		if err == nil {
			return resp, nil
		}
		state := serviceRunState(err)
		if ctx.Err() != nil {
			return service.Response{}, endCause(ctx).With(state)
		}
		if state != refusal.NotRun {
			return service.Response{}, errServiceFailed().With(state)
		}
		c.excluded[endpoint.Name] = true
	}
}

func (r *Router) attemptService(ctx context.Context, c *serviceCall, endpoint config.Endpoint) (service.Response, error) {
	count(metricAttempts, 1)
	attempt := uuid.NewString()
	r.record(partService, "attempt", c.id, endpoint.Name)
	resp, err := r.services.Call(ctx, endpoint.Name, endpoint.Address, service.Request{
		AttemptID:  attempt,
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

// pickService returns a live endpoint of the route's service, in the own data centre where there is one.
func (r *Router) pickService(c *serviceCall) (config.Endpoint, *refusal.Error) {
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
		return config.Endpoint{}, ref.After(time.Second)
	}
	return candidates[rand.IntN(len(candidates))], nil
}

func serviceRunState(err error) refusal.RunState {
	var failed *service.Error
	if errors.As(err, &failed) && failed.Failure == service.FailureNotSent {
		return refusal.NotRun
	}
	return refusal.Unknown
}

func errServiceFailed() *refusal.Error {
	return refusal.New(statusBadGateway, refusal.CodeEndpointFailed, "the service did not answer").After(time.Second)
}
