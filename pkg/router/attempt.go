package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
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
	// maxChatAttempts bounds the attempts at one chat request, beside the retry budget.
	maxChatAttempts = 6
	// watchEvery is the time between two looks at whether the engine of an attempt still answers.
	watchEvery = 250 * time.Millisecond
	// pausedAfter is the time between two looks above which this process, not the engine, was paused.
	pausedAfter = time.Second
	// tokenGap is the time without a token after which a begun stream counts as cut. The target is 53 ms.
	tokenGap = 5 * time.Second
)

// claim is the right of an accused request to run on an engine without another accused request.
type claim struct {
	event crashguard.Event
}

// suspected tells whether the request is accused of a crash, or refuses it.
func (c *chatRun) suspected() (bool, *refusal.Error) {
	now := time.Now()
	verdict := read(&c.r.crashes, func(g *crashguard.Guard) crashguard.Decision { return g.Check(c.fingerprint, now) })
	return verdict.Action == crashguard.RunIsolated, verdict.Refusal()
}

// claim reserves the engine for an accused request. Peers learn of it before the request runs. It returns nothing where
// another accused request claims the engine too, and the caller is to choose again.
func (c *chatRun) claim(placed route.Placement) (*claim, *refusal.Error) {
	held := &claim{event: c.r.crashEvent(placed.Endpoint, placed.Incarnation)}
	accusation := read(&c.r.crashes, func(g *crashguard.Guard) crashguard.Accusation {
		return g.RegisterClaim(c.fingerprint, held.event, time.Now())
	})
	c.r.reportAccusations([]crashguard.Accusation{accusation})
	var alone, contested bool
	c.r.crashes.do(func(g *crashguard.Guard) {
		now := time.Now()
		alone = g.MayRun(c.fingerprint, held.event, now)
		contested = g.HasCompetingClaim(c.fingerprint, placed.Endpoint, now)
	})
	if alone && (!contested || time.Now().After(c.apartUntil)) {
		return held, nil
	}
	c.withdraw(held)
	if alone {
		// Both give way and choose again after different pauses.
		c.r.pause(suspectPoll + rand.N(suspectPoll))
		return nil, nil
	}
	if _, ref := c.suspected(); ref != nil {
		return nil, ref
	}
	return nil, crashguard.Decision{Action: crashguard.Busy, RetryAfter: time.Second}.Refusal()
}

// withdraw ends a claim under which nothing ran.
func (c *chatRun) withdraw(held *claim) {
	if held == nil {
		return
	}
	accusation := read(&c.r.crashes, func(g *crashguard.Guard) crashguard.Accusation {
		return g.WithdrawClaim(c.fingerprint, held.event, time.Now())
	})
	c.r.reportAccusations([]crashguard.Accusation{accusation})
}

// attempt runs the request on one engine. done tells that the request has ended, with the refusal if any.
func (c *chatRun) attempt(placed route.Placement, suspect bool) (ref *refusal.Error, done bool) {
	endpoint, ok := c.r.state.Load().Endpoint(placed.Endpoint)
	if !ok {
		c.excluded = append(c.excluded, placed.Endpoint)
		return nil, false
	}
	var held *claim
	if suspect {
		if held, ref = c.claim(placed); ref != nil {
			return c.failed(ref), true
		}
		if held == nil {
			return nil, false
		}
	}
	c.attempts++
	count(metricAttempts, 1)
	count(metricPromptBlocks, int64(len(c.hashes)))
	count(metricMatchedBlocks, int64(placed.MatchedBlocks))
	c.r.record(partChat, "attempt", c.id, placed.Endpoint)
	c.sent(placed)
	incarnation, err := c.stream(endpoint)
	c.done(endpoint.Name, err == nil)
	if err == nil {
		c.cleared(suspect, held)
		return nil, true
	}
	c.r.debug(partChat).Err(err).Str("request", c.id).Str("endpoint", endpoint.Name).Msg("chat: attempt failed")
	if incarnation == "" {
		incarnation = placed.Incarnation
	}
	return c.afterFailure(endpoint, incarnation, held, err)
}

func (c *chatRun) sent(placed route.Placement) {
	now := time.Now()
	request := c.placeRequest()
	c.r.placer.do(func(p *placement) {
		p.placer.RecordSent(request, placed, now)
		p.first[c.number] = make(chan struct{})
	})
	c.r.noteLoad(placed.Endpoint)
	c.r.index.do(func(x *cacheindex.Index) { x.AddPredicted(placed.Endpoint, placed.Incarnation, c.hashes, now) })
}

func (c *chatRun) done(endpoint string, ok bool) {
	defer c.r.noteLoad(endpoint)
	c.r.placer.do(func(p *placement) {
		p.placer.RecordDone(c.number, ok, time.Now())
		p.end(c.number)
	})
}

// cleared records a clean run of an accused request.
func (c *chatRun) cleared(suspect bool, held *claim) {
	if !suspect {
		return
	}
	event := crashguard.Event{}
	if held != nil {
		event = held.event
	}
	list := read(&c.r.crashes, func(g *crashguard.Guard) []crashguard.Accusation {
		return g.Clear(c.fingerprint, event, time.Now())
	})
	c.r.reportAccusations(list)
}

// stream passes the engine's events on to the caller. It returns the incarnation that answered.
func (c *chatRun) stream(endpoint config.Endpoint) (string, error) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	progress := c.watch(ctx, cancel, endpoint.Name)
	attempt := uuid.NewString()
	opened, err := c.r.engines.Chat(ctx, endpoint.Name, endpoint.Address, engine.ChatRequest{
		AttemptID:  attempt,
		Fields:     c.fields(),
		CacheSalt:  c.seed,
		Version:    c.version,
		Priority:   c.workspace.Priority,
		ResumeFrom: c.delivered,
	})
	if err != nil {
		return "", err
	}
	defer opened.Close()
	if c.delivered > 0 {
		count(metricResumed, 1)
	}
	for first := true; ; first = false {
		chunk, err := opened.Next()
		if errors.Is(err, io.EOF) {
			return opened.Incarnation, nil
		}
		if err != nil {
			return opened.Incarnation, err
		}
		if first {
			c.firstToken()
			c.r.noteLoad(endpoint.Name)
		}
		// The time that a slow reader takes is not the engine's.
		progress.clear()
		passed := c.pass(chunk)
		progress.set(time.Now())
		if !passed {
			return opened.Incarnation, &engine.StreamError{Endpoint: endpoint.Name, Failure: engine.FailureCancelled, Err: context.Cause(c.ctx)}
		}
	}
}

// errStalled ends an attempt on an engine that has stopped answering.
var errStalled = errors.New("the engine has stopped answering")

// watch ends an attempt whose engine does not answer state requests any more, or sends no token for too long
// after the last one. The result is to be set at each token.
func (c *chatRun) watch(ctx context.Context, cancel context.CancelCauseFunc, endpoint string) *instant {
	progress := &instant{}
	go func() {
		ticker := time.NewTicker(watchEvery)
		defer ticker.Stop()
		looked := time.Now()
		for {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			now := time.Now()
			paused := now.Sub(looked) > pausedAfter
			looked = now
			switch {
			case paused:
				progress.restart(now)
			case c.r.stalled(endpoint, progress, now):
				cancel(errStalled)
				return
			}
		}
	}()
	return progress
}

// stalled tells whether an engine answers no state requests, or sent no token for too long after the last one.
func (r *Router) stalled(endpoint string, progress *instant, now time.Time) bool {
	gap, begun := progress.age(now)
	return begun && gap > tokenGap || r.engineSilent(endpoint)
}

func (c *chatRun) firstToken() {
	c.r.placer.do(func(p *placement) {
		p.placer.RecordFirstToken(c.number, time.Now())
		p.end(c.number)
	})
}

// pass passes one event on.
func (c *chatRun) pass(chunk engine.Chunk) bool {
	event := caller.Event{TokenIndex: chunk.TokenIndex, Choices: chunk.Choices}
	switch {
	case chunk.TokenIndex >= 0:
		c.delivered = chunk.TokenIndex + 1
		count(metricTokensOut, 1)
	case len(chunk.Choices) > len(`[]`):
		c.resumable = false
	}
	if chunk.Usage != nil {
		usage := *chunk.Usage
		if c.resumable && c.delivered > 0 {
			// The engine counts only the tokens of its own attempt.
			usage.CompletionTokens = c.delivered
			usage.TotalTokens = usage.PromptTokens + c.delivered
		}
		c.usage = &usage
		event.Usage = &usage
	}
	return c.emit(event)
}

// afterFailure decides whether another attempt follows.
func (c *chatRun) afterFailure(endpoint config.Endpoint, incarnation string, held *claim, err error) (*refusal.Error, bool) {
	var failed *engine.StreamError
	if !errors.As(err, &failed) {
		failed = &engine.StreamError{Failure: engine.FailureInterrupted, Err: err}
	}
	c.touched = c.touched || mayHaveRun(failed.Failure)
	if c.ctx.Err() != nil {
		c.withdrawAfter(held, failed)
		return endCause(c.ctx).With(c.runState()), true
	}
	c.excluded = append(c.excluded, endpoint.Name)
	switch failed.Failure {
	case engine.FailureBadRequest:
		c.withdraw(held)
		ref := refusal.New(statusBadRequest, refusal.CodeEndpointRejected, "the engine refused the request: %s", failed.Message)
		return c.failed(ref), true
	case engine.FailureNotSent:
		c.withdraw(held)
		c.r.markDown(endpoint.Name)
		return c.mayTry(failed, true)
	case engine.FailureRejected, engine.FailureVersionMismatch:
		c.withdraw(held)
		return c.mayTry(failed, c.r.takeRetry())
	}
	crashed := c.r.crashed(endpoint, incarnation)
	if crashed {
		c.accuse(endpoint, incarnation, held)
	} else {
		c.withdraw(held)
	}
	// A crash takes many streams down at once. Resuming them is bounded by the crash guard, and the retry budget
	// would leave most of them incomplete.
	return c.mayTry(failed, crashed || c.r.takeRetry())
}

// withdrawAfter ends the claim of a request that was cancelled while it ran.
func (c *chatRun) withdrawAfter(held *claim, failed *engine.StreamError) {
	if failed.Failure == engine.FailureCancelled || failed.Failure == engine.FailureNotSent {
		c.withdraw(held)
	}
}

func (c *chatRun) accuse(endpoint config.Endpoint, incarnation string, held *claim) {
	count(metricCrashes, 1)
	c.r.record(partEngine, "crash", c.id, endpoint.Name)
	event := c.r.crashEvent(endpoint.Name, incarnation)
	if held != nil {
		event = held.event
	}
	list := read(&c.r.crashes, func(g *crashguard.Guard) []crashguard.Accusation {
		return g.Accuse(event, []uint64{c.fingerprint}, held != nil, time.Now())
	})
	c.r.reportAccusations(list)
}

// mayTry tells whether another attempt follows a failed one.
func (c *chatRun) mayTry(failed *engine.StreamError, allowed bool) (*refusal.Error, bool) {
	if c.hasBegun && !c.resumable {
		return c.failed(refusal.New(statusBadGateway, refusal.CodeStreamCut, "the engine failed")), true
	}
	if allowed && c.attempts < maxChatAttempts {
		count(metricRetries, 1)
		return nil, false
	}
	ref := refusal.New(statusBadGateway, refusal.CodeEndpointFailed, "the engine failed").With(c.runState()).After(time.Second)
	return c.failed(ref), true
}

// runState tells what the caller may assume about the request.
func (c *chatRun) runState() refusal.RunState {
	switch {
	case c.hasBegun:
		return refusal.Run
	case c.touched:
		return refusal.Unknown
	}
	return refusal.NotRun
}

// mayHaveRun tells whether an engine may have begun a failed attempt.
func mayHaveRun(failure engine.Failure) bool {
	switch failure {
	case engine.FailureNotSent, engine.FailureRejected, engine.FailureVersionMismatch, engine.FailureBadRequest:
		return false
	}
	return true
}
