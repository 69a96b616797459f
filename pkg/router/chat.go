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
	// eventBuffer is the number of events buffered for a slow caller. While the buffer is full, the engine's stream is
	// not read.
	eventBuffer = 64
	// bytesPerToken converts prompt bytes into an estimate of tokens before the engine has counted them.
	bytesPerToken = 4
	// exclusiveWait is the longest time for which an accused request waits for an engine without another accused
	// request. After a crash every request that was in flight is accused, and there may be more of them than engines
	// left.
	exclusiveWait = 3 * time.Second
	// exclusivePollInterval is the time between two tries to find such an engine.
	exclusivePollInterval = 20 * time.Millisecond
)

// chatRun is one chat request from acceptance to its last event.
type chatRun struct {
	r             *Router
	id            string
	requestNumber uint64
	req           caller.ChatRequest
	route         config.Route
	model         config.Model
	version       string
	workspace     config.Workspace
	prompt        []byte
	hashSeed      uint64
	hashes        []uint64
	// fingerprint identifies the request and is the same when the caller sends it again.
	fingerprint uint64

	ctx    context.Context
	cancel context.CancelCauseFunc
	events chan caller.Event
	// begun is closed at the first event, or at the end of a request without events.
	begun chan struct{}
	// endRefusal is the refusal with which the request ended, or nil.
	endRefusal atomic.Pointer[refusal.Error]

	started time.Time
	created time.Time
	// hasBegun is set once an event was sent to the caller.
	hasBegun bool
	// deliveredTokens is the number of tokens sent to the caller.
	deliveredTokens int64
	// unresumable is set once a token without an index was delivered.
	unresumable atomic.Bool
	usage       *engine.Usage
	excluded    []string
	attempts    int
	// mayHaveRun is set once an attempt may have reached an engine. No later refusal then reports NotRun.
	mayHaveRun bool
	// exclusiveUntil is the time until which the request, once accused, waits for an engine without another accused
	// request.
	exclusiveUntil time.Time
	// heldFor is the time for which the request was held back behind others that compute its prefix.
	heldFor time.Duration
}

// Chat implements caller.Backend.
func (r *Router) Chat(req caller.ChatRequest) (*caller.Answer, *refusal.Error) {
	count(metricRequests, 1)
	run, ref := r.acceptChat(req)
	if ref != nil {
		r.recordRefusal(partChat, "", ref)
		return nil, ref
	}
	<-run.begun
	if ref := run.endRefusal.Load(); ref != nil && !run.hasBegun {
		run.cancel(nil)
		r.recordRefusal(partChat, run.id, ref)
		return nil, ref
	}
	return &caller.Answer{
		ID:      run.id,
		Created: run.created,
		Events:  run.events,
		Err:     run.endRefusal.Load,
		Cancel:  func() { run.cancel(errCallerDisconnected) },
	}, nil
}

// acceptChat checks a request and submits it to the worker pool.
func (r *Router) acceptChat(req caller.ChatRequest) (*chatRun, *refusal.Error) {
	state, ref := r.servingState()
	if ref != nil {
		return nil, ref
	}
	chatRoute, ok := state.ChatRoute(req.Model)
	if !ok {
		return nil, refusal.New(statusNotFound, refusal.CodeUnknownModel, "no route serves model %q", req.Model)
	}
	identity, ref := r.identify(state, chatRoute, req.Key)
	if ref != nil {
		return nil, ref
	}
	model, ok := state.Model(chatRoute.Model)
	if !ok {
		return nil, refusal.New(statusNotFound, refusal.CodeUnknownModel, "model %q is not configured", chatRoute.Model)
	}
	run := r.newChatRun(req, chatRoute, model, identity.workspace)
	remove, ref := r.registerRequest(identity, run.cancel)
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

func (r *Router) newChatRun(req caller.ChatRequest, chatRoute config.Route, model config.Model, workspace config.Workspace) *chatRun {
	run := &chatRun{
		r:             r,
		id:            uuid.NewString(),
		requestNumber: r.requestIDs.Add(1),
		req:           req,
		route:         chatRoute,
		model:         model,
		workspace:     workspace,
		fingerprint:   crashguard.Fingerprint(workspace.Name, chatRoute.Name, req.Body),
		events:        make(chan caller.Event, eventBuffer),
		begun:         make(chan struct{}),
		started:       time.Now(),
	}
	run.prompt = route.EncodePrompt(req.Messages)
	run.setVersion(r.readyVersion(model))
	run.ctx, run.cancel = context.WithCancelCause(r.ctx)
	return run
}

// setVersion sets the weight version and computes the block hashes, which depend on it.
func (c *chatRun) setVersion(version string) {
	c.version = version
	c.hashSeed = route.HashSeed(c.workspace.Name, c.model.Name, c.route.Adapter, version)
	c.hashes = route.BlockHashes(c.hashSeed, c.prompt, c.model.BlockBytes)
}

// refreshVersion follows a version switch while the caller has received nothing. A started stream stays on its version.
func (c *chatRun) refreshVersion() {
	if version := c.r.readyVersion(c.model); !c.hasBegun && version != c.version {
		c.setVersion(version)
	}
}

// deadline returns the latest time of the first event.
func (c *chatRun) deadline() time.Time {
	wait := c.req.FirstTokenTimeout
	if wait == 0 {
		wait = time.Duration(c.route.DeadlineMs) * time.Millisecond
	}
	return c.started.Add(wait)
}

// promptTokens estimates the number of prompt tokens.
func (c *chatRun) promptTokens() int64 {
	return int64(len(c.prompt)+bytesPerToken-1) / bytesPerToken
}

// outputTokens returns the maximum number of output tokens.
func (c *chatRun) outputTokens() int64 {
	if c.req.MaxTokens > 0 {
		return c.req.MaxTokens
	}
	return c.model.MaxOutputTokens
}

// run processes the request to its end. It is called by a worker of the pool.
func (c *chatRun) run() {
	c.r.running.Add(1)
	defer c.r.running.Add(-1)
	timer := time.AfterFunc(time.Until(c.deadline()), func() { c.cancelAtDeadline() })
	defer timer.Stop()
	ref := c.serve()
	if ref != nil {
		c.endRefusal.Store(ref)
	}
	c.closeBegun()
	close(c.events)
	c.cancel(nil)
	outcome := "answer ended"
	if ref != nil {
		outcome = "answer failed: " + string(ref.Code)
	}
	c.r.recordDuration(partChat, outcome, c.id, c.workspace.Name, time.Since(c.started))
}

// cancelAtDeadline cancels the request if it has no first event yet.
func (c *chatRun) cancelAtDeadline() {
	select {
	case <-c.begun:
	default:
		ref := refusal.New(statusTimeout, refusal.CodeDeadline, "the first token was not there at the deadline")
		c.cancel(ref.WithRetryAfter(time.Second))
	}
}

// serve charges the tokens, runs the request and refunds unused tokens.
func (c *chatRun) serve() *refusal.Error {
	estimate := c.promptTokens() + c.outputTokens()
	charged, ref := c.r.chargeTokens(c.ctx, c.workspace, estimate)
	if ref != nil {
		return ref
	}
	ref = c.admitAndRun()
	used := estimate
	switch {
	case ref != nil && ref.RunState == refusal.NotRun:
		used = 0
	case c.usage != nil:
		used = c.usage.PromptTokens + c.deliveredTokens
	}
	c.r.refund(charged, used)
	return ref
}

// admitAndRun waits for admission and runs the attempts.
func (c *chatRun) admitAndRun() *refusal.Error {
	cost := admit.Cost(c.promptTokens(), 0, c.outputTokens())
	slot, ref := c.r.awaitAdmission(c.ctx, c.model.Name, queueItem(c.requestNumber, c.workspace, cost, c.deadline()))
	if ref != nil {
		return ref
	}
	defer slot.release()
	return c.runAttempts()
}

// runAttempts tries engines until the answer is complete, the request is cancelled or no engine or retry is left.
func (c *chatRun) runAttempts() *refusal.Error {
	c.r.recordFirstAttempt()
	for {
		c.refreshVersion()
		accused, ref := c.checkAccused()
		if ref != nil {
			return c.callerRefusal(ref)
		}
		placed, ref := c.placeWithWait(accused)
		if ref != nil {
			return c.callerRefusal(ref)
		}
		if placed.Wait > 0 && !accused {
			c.waitForPrefix(placed)
			continue
		}
		ref, done := c.attempt(placed, accused)
		if done {
			return ref
		}
	}
}

// callerRefusal adapts a refusal to what the caller has already received. After the first event it reports an
// interrupted stream, and before that an unknown run state if an engine may have run the request.
func (c *chatRun) callerRefusal(ref *refusal.Error) *refusal.Error {
	if !c.hasBegun {
		if c.mayHaveRun {
			return ref.WithRunState(refusal.Unknown)
		}
		return ref
	}
	return refusal.New(statusBadGateway, refusal.CodeStreamCut, "the answer broke off: %s", ref.Message).WithRunState(refusal.Run)
}
