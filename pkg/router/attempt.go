package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/corneldeal/corneldeal/pkg/cacheindex"
	"github.com/corneldeal/corneldeal/pkg/caller"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/engine"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/route"
)

const (
	// maxChatAttempts limits the attempts of one chat request, in addition to the retry budget.
	maxChatAttempts = 6
	// stallCheckInterval is the time between two checks whether the engine of an attempt still answers.
	stallCheckInterval = 250 * time.Millisecond
	// processPauseThreshold is the time between two checks above which this process, not the engine, counts as paused.
	processPauseThreshold = time.Second
	// maxTokenGap is the time without a token after which a started stream counts as interrupted. The target is 53 ms.
	maxTokenGap = 5 * time.Second
	// maxStall is the time for which an attempt on a stalled engine is kept at most while no other engine takes it over.
	maxStall = 15 * time.Second
)

// engineClaim is the right of an accused request to run on an engine without another accused request.
type engineClaim struct {
	event crashguard.Event
}

// checkAccused reports whether the request is accused of a crash. It returns a refusal if the request may not run now.
func (c *chatRun) checkAccused() (bool, *refusal.Error) {
	now := time.Now()
	decision := locked(&c.r.crashes, func(g *crashguard.Guard) crashguard.Decision { return g.Check(c.fingerprint, now) })
	return decision.Action == crashguard.RunIsolated, decision.Refusal()
}

// claimEngine reserves the engine for an accused request. The claim is reported to the peers before the request runs.
// It returns nil without a refusal if another accused request also claims the engine; the caller must then choose an
// engine again.
func (c *chatRun) claimEngine(placed route.Placement) (*engineClaim, *refusal.Error) {
	claim := &engineClaim{event: c.r.newCrashEvent(placed.Endpoint, placed.Incarnation)}
	accusation := locked(&c.r.crashes, func(g *crashguard.Guard) crashguard.Accusation {
		return g.RegisterClaim(c.fingerprint, claim.event, time.Now())
	})
	c.r.reportAccusations([]crashguard.Accusation{accusation})
	var alone, contested bool
	c.r.crashes.do(func(g *crashguard.Guard) {
		now := time.Now()
		alone = g.MayRun(c.fingerprint, claim.event, now)
		contested = g.HasCompetingClaim(c.fingerprint, placed.Endpoint, now)
	})
	if alone && (!contested || time.Now().After(c.exclusiveUntil)) {
		return claim, nil
	}
	c.withdrawClaim(claim)
	if alone {
		// Both requests withdraw and choose again after different pauses.
		c.r.pause(exclusivePollInterval + rand.N(exclusivePollInterval))
		return nil, nil
	}
	if _, ref := c.checkAccused(); ref != nil {
		return nil, ref
	}
	return nil, crashguard.Decision{Action: crashguard.Busy, RetryAfter: time.Second}.Refusal()
}

// withdrawClaim ends a claim under which nothing ran. A nil claim is ignored.
func (c *chatRun) withdrawClaim(claim *engineClaim) {
	if claim == nil {
		return
	}
	accusation := locked(&c.r.crashes, func(g *crashguard.Guard) crashguard.Accusation {
		return g.WithdrawClaim(c.fingerprint, claim.event, time.Now())
	})
	c.r.reportAccusations([]crashguard.Accusation{accusation})
}

// attempt runs the request on one engine. done reports whether the request has ended; ref is its refusal, if any.
func (c *chatRun) attempt(placed route.Placement, accused bool) (ref *refusal.Error, done bool) {
	endpoint, ok := c.r.state.Load().Endpoint(placed.Endpoint)
	if !ok {
		c.excluded = append(c.excluded, placed.Endpoint)
		return nil, false
	}
	var claim *engineClaim
	if accused {
		if claim, ref = c.claimEngine(placed); ref != nil {
			return c.callerRefusal(ref), true
		}
		if claim == nil {
			return nil, false
		}
	}
	c.attempts++
	count(metricAttempts, 1)
	count(metricPromptBlocks, int64(len(c.hashes)))
	count(metricMatchedBlocks, int64(placed.MatchedBlocks))
	c.r.record(partChat, "attempt", c.id, placed.Endpoint)
	c.startAttempt(placed)
	incarnation, err := c.stream(endpoint)
	c.finishAttempt(endpoint.Name, err == nil)
	if err == nil {
		c.recordCleanRun(accused, claim)
		return nil, true
	}
	c.r.debug(partChat).Err(err).Str("request", c.id).Str("endpoint", endpoint.Name).Msg("chat: attempt failed")
	if incarnation == "" {
		incarnation = placed.Incarnation
	}
	return c.handleFailure(endpoint, incarnation, claim, err)
}

// startAttempt records the attempt with the placer, marks the load of the endpoint as changed and adds the prompt to
// the cache index as predicted content of the endpoint.
func (c *chatRun) startAttempt(placed route.Placement) {
	now := time.Now()
	request := c.placementRequest()
	c.r.placer.do(func(p *placementTable) {
		p.placer.RecordSent(request, placed, now)
		p.firstToken[c.requestNumber] = make(chan struct{})
	})
	c.r.markLoadChanged(placed.Endpoint)
	c.r.index.do(func(x *cacheindex.Index) { x.AddPredicted(placed.Endpoint, placed.Incarnation, c.hashes, now) })
}

// finishAttempt records the end of the attempt with the placer and marks the load of the endpoint as changed.
func (c *chatRun) finishAttempt(endpoint string, ok bool) {
	defer c.r.markLoadChanged(endpoint)
	c.r.placer.do(func(p *placementTable) {
		p.placer.RecordDone(c.requestNumber, ok, time.Now())
		p.closeFirstToken(c.requestNumber)
	})
}

// recordCleanRun records that an accused request ran without a crash and reports it to the peers.
func (c *chatRun) recordCleanRun(accused bool, claim *engineClaim) {
	if !accused {
		return
	}
	event := crashguard.Event{}
	if claim != nil {
		event = claim.event
	}
	list := locked(&c.r.crashes, func(g *crashguard.Guard) []crashguard.Accusation {
		return g.Clear(c.fingerprint, event, time.Now())
	})
	c.r.reportAccusations(list)
}

// stream forwards the engine's events to the caller. It returns the incarnation of the engine that answered, or an
// empty string if none did.
func (c *chatRun) stream(endpoint config.Endpoint) (string, error) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	lastToken := c.watch(ctx, cancel, endpoint.Name)
	attemptID := uuid.NewString()
	response, err := c.r.engines.Chat(ctx, endpoint.Name, endpoint.Address, engine.ChatRequest{
		AttemptID:  attemptID,
		Fields:     c.fields(),
		CacheSalt:  c.hashSeed,
		Version:    c.version,
		Priority:   c.workspace.Priority,
		ResumeFrom: c.deliveredTokens,
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	if c.deliveredTokens > 0 {
		count(metricResumed, 1)
	}
	for first := true; ; first = false {
		chunk, err := response.Next()
		if errors.Is(err, io.EOF) {
			return response.Incarnation, nil
		}
		if err != nil {
			return response.Incarnation, err
		}
		if first {
			c.recordFirstToken()
			c.r.markLoadChanged(endpoint.Name)
		}
		// The time in which a slow caller reads does not count as a gap of the engine.
		lastToken.clear()
		forwarded := c.forward(chunk)
		lastToken.store(time.Now())
		if !forwarded {
			return response.Incarnation, &engine.StreamError{Endpoint: endpoint.Name, Failure: engine.FailureCancelled, Err: context.Cause(c.ctx)}
		}
	}
}

// errStalled is the cause of the cancellation of an attempt whose engine stopped answering. The retry that follows needs no
// further one from the budget.
var errStalled = errors.New("the engine has stopped answering")

// watch cancels an attempt whose engine no longer answers state requests, or sends no token for too long after the last
// one, once another engine takes the request over. The caller must store the time of each token in the result.
func (c *chatRun) watch(ctx context.Context, cancel context.CancelCauseFunc, endpoint string) *atomicTime {
	lastToken := &atomicTime{}
	next := successor{
		run: c, endpoint: endpoint, version: c.version, excluded: append(slices.Clone(c.excluded), endpoint),
		hasAttempt: c.attempts < maxChatAttempts,
	}
	go func() {
		ticker := time.NewTicker(stallCheckInterval)
		defer ticker.Stop()
		lastCheck, lastGoing := time.Now(), time.Now()
		for {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			now := time.Now()
			paused := now.Sub(lastCheck) > processPauseThreshold
			lastCheck = now
			switch {
			case paused:
				lastToken.updateIfSet(now)
				lastGoing = now
			case !c.r.stalled(endpoint, lastToken, now):
				lastGoing = now
			case now.Sub(lastGoing) > maxStall || next.reserve(now):
				cancel(errStalled)
				return
			}
		}
	}()
	return lastToken
}

// stalled reports whether an engine answers no state requests, or sent no token for too long after the last one.
func (r *Router) stalled(endpoint string, lastToken *atomicTime, now time.Time) bool {
	gap, started := lastToken.age(now)
	return started && gap > maxTokenGap || r.engineUnresponsive(endpoint)
}

// recordFirstToken records the first token with the placer and releases the requests that wait for it.
func (c *chatRun) recordFirstToken() {
	c.r.placer.do(func(p *placementTable) {
		p.placer.RecordFirstToken(c.requestNumber, time.Now())
		p.closeFirstToken(c.requestNumber)
	})
}

// forward sends one chunk to the caller. It returns false if the request was cancelled.
func (c *chatRun) forward(chunk engine.Chunk) bool {
	event := caller.Event{TokenIndex: chunk.TokenIndex, Choices: chunk.Choices}
	switch {
	case chunk.TokenIndex >= 0:
		c.deliveredTokens = chunk.TokenIndex + 1
		count(metricTokensOut, 1)
	case len(chunk.Choices) > len(`[]`):
		c.unresumable.Store(true)
	}
	if chunk.Usage != nil {
		usage := *chunk.Usage
		if !c.unresumable.Load() && c.deliveredTokens > 0 {
			// The engine counts only the tokens of its own attempt.
			usage.CompletionTokens = c.deliveredTokens
			usage.TotalTokens = usage.PromptTokens + c.deliveredTokens
		}
		c.usage = &usage
		event.Usage = &usage
	}
	return c.emit(event)
}

// handleFailure decides whether another attempt follows a failed one. If not, it returns true and the refusal.
func (c *chatRun) handleFailure(endpoint config.Endpoint, incarnation string, claim *engineClaim, err error) (*refusal.Error, bool) {
	var failed *engine.StreamError
	if !errors.As(err, &failed) {
		failed = &engine.StreamError{Failure: engine.FailureInterrupted, Err: err}
	}
	c.mayHaveRun = c.mayHaveRun || failureMayHaveRun(failed.Failure)
	if c.ctx.Err() != nil {
		c.withdrawCancelledClaim(claim, failed)
		return cancelRefusal(c.ctx).WithRunState(c.runState()), true
	}
	c.excluded = append(c.excluded, endpoint.Name)
	switch failed.Failure {
	case engine.FailureBadRequest:
		c.withdrawClaim(claim)
		ref := refusal.New(statusBadRequest, refusal.CodeEndpointRejected, "the engine refused the request: %s", failed.Message)
		return c.callerRefusal(ref), true
	case engine.FailureNotSent:
		c.withdrawClaim(claim)
		c.r.markDown(endpoint.Name)
		return c.retryOrFail(failed, true)
	case engine.FailureRejected, engine.FailureVersionMismatch:
		c.withdrawClaim(claim)
		return c.retryOrFail(failed, c.r.takeRetry())
	}
	crashed := c.r.hasCrashed(endpoint, incarnation)
	if crashed {
		c.accuse(endpoint, incarnation, claim)
	} else {
		c.withdrawClaim(claim)
	}
	// A crash interrupts many streams at once. The crash guard limits how often they are resumed. The retry budget does
	// not apply, because it would leave most of them incomplete.
	return c.retryOrFail(failed, crashed || errors.Is(err, errStalled) || c.r.takeRetry())
}

// withdrawCancelledClaim withdraws the claim of a cancelled request if its attempt ended by the cancellation or was not
// sent. After any other failure the claim stays.
func (c *chatRun) withdrawCancelledClaim(claim *engineClaim, failed *engine.StreamError) {
	if failed.Failure == engine.FailureCancelled || failed.Failure == engine.FailureNotSent {
		c.withdrawClaim(claim)
	}
}

// accuse records that the engine crashed while it ran the request and reports the accusation to the peers.
func (c *chatRun) accuse(endpoint config.Endpoint, incarnation string, claim *engineClaim) {
	count(metricCrashes, 1)
	c.r.record(partEngine, "crash", c.id, endpoint.Name)
	event := c.r.newCrashEvent(endpoint.Name, incarnation)
	if claim != nil {
		event = claim.event
	}
	list := locked(&c.r.crashes, func(g *crashguard.Guard) []crashguard.Accusation {
		return g.Accuse(event, []uint64{c.fingerprint}, claim != nil, time.Now())
	})
	c.r.reportAccusations(list)
}

// retryOrFail allows another attempt if mayRetry is set, attempts are left and a started stream can be resumed. If not,
// it returns true and the refusal.
func (c *chatRun) retryOrFail(failed *engine.StreamError, mayRetry bool) (*refusal.Error, bool) {
	if c.hasBegun && c.unresumable.Load() {
		return c.callerRefusal(refusal.New(statusBadGateway, refusal.CodeStreamCut, "the engine failed")), true
	}
	if mayRetry && c.attempts < maxChatAttempts {
		count(metricRetries, 1)
		return nil, false
	}
	ref := refusal.New(statusBadGateway, refusal.CodeEndpointFailed, "the engine failed").WithRunState(c.runState()).WithRetryAfter(time.Second)
	return c.callerRefusal(ref), true
}

// runState returns the run state for a refusal of the request at this point.
func (c *chatRun) runState() refusal.RunState {
	switch {
	case c.hasBegun:
		return refusal.Run
	case c.mayHaveRun:
		return refusal.Unknown
	}
	return refusal.NotRun
}

// failureMayHaveRun reports whether an engine may have started an attempt with the given failure.
func failureMayHaveRun(failure engine.Failure) bool {
	switch failure {
	case engine.FailureNotSent, engine.FailureRejected, engine.FailureVersionMismatch, engine.FailureBadRequest:
		return false
	}
	return true
}
