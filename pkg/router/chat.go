package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/caller"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/engine"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/route"
)

const (
	// eventBuffer is the number of events held for a slow reader. Beyond it the engine's stream is not read.
	eventBuffer = 64
	// bytesPerToken estimates tokens from prompt bytes before the engine has counted them.
	bytesPerToken = 4
	// suspectWait is the longest time for which an accused request waits for an engine without another one. After
	// a crash every request that was in flight is accused, and more of them than engines may be left.
	suspectWait = 3 * time.Second
	suspectPoll = 20 * time.Millisecond
)

// chatRun is one chat request from acceptance to its last event.
type chatRun struct {
	r         *Router
	id        string
	number    uint64
	req       caller.ChatRequest
	route     config.Route
	model     config.Model
	version   string
	workspace config.Workspace
	prompt    []byte
	seed      uint64
	hashes    []uint64
	// fingerprint survives the caller's sending the request again.
	fingerprint uint64

	ctx    context.Context
	cancel context.CancelCauseFunc
	events chan caller.Event
	// begun is closed at the first event or at the end.
	begun chan struct{}
	end   atomic.Pointer[refusal.Error]

	started   time.Time
	created   time.Time
	hasBegun  bool
	delivered int64
	// resumable is false once a token without an index was delivered.
	resumable bool
	usage     *engine.Usage
	excluded  []string
	attempts  int
	// touched tells that an attempt may have reached an engine, so that no later refusal says "not run".
	touched bool
	// apartUntil is the time up to which the request, once accused, waits for an engine without another accused one.
	apartUntil time.Time
	// held is the time for which the request was held back behind others that compute its prefix.
	held time.Duration
}

// Chat implements caller.Backend.
func (r *Router) Chat(req caller.ChatRequest) (*caller.Answer, *refusal.Error) {
	count(metricRequests, 1)
	run, ref := r.acceptChat(req)
	if ref != nil {
		r.refused(partChat, "", ref)
		return nil, ref
	}
	<-run.begun
	if ref := run.end.Load(); ref != nil && !run.hasBegun {
		run.cancel(nil)
		r.refused(partChat, run.id, ref)
		return nil, ref
	}
	return &caller.Answer{
		ID:      run.id,
		Created: run.created,
		Events:  run.events,
		Err:     run.end.Load,
		Cancel:  func() { run.cancel(errCallerGone) },
	}, nil
}

// acceptChat checks a request and hands it to the worker pool.
func (r *Router) acceptChat(req caller.ChatRequest) (*chatRun, *refusal.Error) {
	state, ref := r.gate()
	if ref != nil {
		return nil, ref
	}
	chatRoute, ok := state.ChatRoute(req.Model)
	if !ok {
		return nil, refusal.New(statusNotFound, refusal.CodeUnknownModel, "no route serves model %q", req.Model)
	}
	who, ref := r.identify(state, chatRoute, req.Key)
	if ref != nil {
		return nil, ref
	}
	model, ok := state.Model(chatRoute.Model)
	if !ok {
		return nil, refusal.New(statusNotFound, refusal.CodeUnknownModel, "model %q is not configured", chatRoute.Model)
	}
	run := r.newRun(req, chatRoute, model, who.workspace)
	remove, ref := r.register(who, run.cancel)
	if ref != nil {
		return nil, ref
	}
	err := r.pool.Submit(func() {
		defer remove()
		run.run()
	})
	if err != nil {
		remove()
		return nil, errPoolFull()
	}
	return run, nil
}

func (r *Router) newRun(req caller.ChatRequest, chatRoute config.Route, model config.Model, workspace config.Workspace) *chatRun {
	run := &chatRun{
		r:           r,
		id:          uuid.NewString(),
		number:      r.requestIDs.Add(1),
		req:         req,
		route:       chatRoute,
		model:       model,
		workspace:   workspace,
		fingerprint: crashguard.Fingerprint(workspace.Name, chatRoute.Name, req.Body),
		events:      make(chan caller.Event, eventBuffer),
		begun:       make(chan struct{}),
		started:     time.Now(),
		resumable:   true,
	}
	run.prompt = route.EncodePrompt(req.Messages)
	run.setVersion(r.readyVersion(model))
	run.ctx, run.cancel = context.WithCancelCause(r.ctx)
	return run
}

// setVersion chooses the weight version, on which the hashes depend.
func (c *chatRun) setVersion(version string) {
	c.version = version
	c.seed = route.HashSeed(c.workspace.Name, c.model.Name, c.route.Adapter, version)
	c.hashes = route.BlockHashes(c.seed, c.prompt, c.model.BlockBytes)
}

// refreshVersion follows a version switch as long as the caller has no token yet. A begun stream stays on its version.
func (c *chatRun) refreshVersion() {
	if version := c.r.readyVersion(c.model); !c.hasBegun && version != c.version {
		c.setVersion(version)
	}
}

// deadline is the latest time of the first event.
func (c *chatRun) deadline() time.Time {
	wait := c.req.FirstTokenTimeout
	if wait == 0 {
		wait = time.Duration(c.route.DeadlineMs) * time.Millisecond
	}
	return c.started.Add(wait)
}

func (c *chatRun) promptTokens() int64 {
	return int64(len(c.prompt)+bytesPerToken-1) / bytesPerToken
}

func (c *chatRun) outputTokens() int64 {
	if c.req.MaxTokens > 0 {
		return c.req.MaxTokens
	}
	return c.model.MaxOutputTokens
}

// run runs the request to its end in a worker of the pool.
func (c *chatRun) run() {
	c.r.running.Add(1)
	defer c.r.running.Add(-1)
	timer := time.AfterFunc(time.Until(c.deadline()), func() { c.expire() })
	defer timer.Stop()
	ref := c.serve()
	if ref != nil {
		c.end.Store(ref)
	}
	c.begin()
	close(c.events)
	c.cancel(nil)
	outcome := "answer ended"
	if ref != nil {
		outcome = "answer failed: " + string(ref.Code)
	}
	c.r.recordTook(partChat, outcome, c.id, c.workspace.Name, time.Since(c.started))
}

// expire gives up a request whose first event is not there at its deadline.
func (c *chatRun) expire() {
	select {
	case <-c.begun:
	default:
		ref := refusal.New(statusTimeout, refusal.CodeDeadline, "the first token was not there at the deadline")
		c.cancel(ref.After(time.Second))
	}
}

// serve charges, queues and runs the request.
func (c *chatRun) serve() *refusal.Error {
	estimate := c.promptTokens() + c.outputTokens()
	paid, ref := c.r.charge(c.ctx, c.workspace, estimate)
	if ref != nil {
		return ref
	}
	ref = c.admitted()
	used := estimate
	switch {
	case ref != nil && ref.RunState == refusal.NotRun:
		used = 0
	case c.usage != nil:
		used = c.usage.PromptTokens + c.delivered
	}
	c.r.refund(paid, used)
	return ref
}

func (c *chatRun) admitted() *refusal.Error {
	cost := admit.Cost(c.promptTokens(), 0, c.outputTokens())
	place, ref := c.r.enter(c.ctx, c.model.Name, queueItem(c.number, c.workspace, cost, c.deadline()))
	if ref != nil {
		return ref
	}
	defer place.release()
	return c.runAttempts()
}

// runAttempts tries engines until the answer is whole, the request is given up or nothing is left to try.
func (c *chatRun) runAttempts() *refusal.Error {
	c.r.firstAttempt()
	for {
		c.refreshVersion()
		suspect, ref := c.suspected()
		if ref != nil {
			return c.failed(ref)
		}
		placed, ref := c.placeWithin(suspect)
		if ref != nil {
			return c.failed(ref)
		}
		if placed.Wait > 0 && !suspect {
			c.waitBehind(placed)
			continue
		}
		ref, done := c.attempt(placed, suspect)
		if done {
			return ref
		}
	}
}

// failed turns a refusal into one that is true for what the caller already has.
func (c *chatRun) failed(ref *refusal.Error) *refusal.Error {
	if !c.hasBegun {
		if c.touched {
			return ref.With(refusal.Unknown)
		}
		return ref
	}
	return refusal.New(statusBadGateway, refusal.CodeStreamCut, "the answer broke off: %s", ref.Message).With(refusal.Run)
}
