package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/pkg/affinity"
	"github.com/corneldeal/corneldeal/pkg/failover"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/reach"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// minFirstByteWait and firstByteWaitFactor times the predicted duration are the lower bounds of the wait for the first
	// byte of an idempotent request before another endpoint is tried.
	minFirstByteWait    = 900 * time.Millisecond
	firstByteWaitFactor = 4
	// minEventWait and eventWaitFactor times the route's allowed gap between events are the lower bounds of the wait for
	// the next complete event before a stream continues at another endpoint. Callers give up a stream after twice that
	// wait.
	minEventWait    = 1200 * time.Millisecond
	eventWaitFactor = 4
)

// errEndpointSilent cancels an attempt at a silent endpoint.
var errEndpointSilent = fmt.Errorf("gateway: endpoint is silent: %w", httpcall.ErrNoAnswer)

// streamProgress is what a caller has of a stream.
type streamProgress struct {
	started     bool
	lastEventID string
	origin      *affinity.Origin
}

// progressOf returns what the caller of a request has of its stream.
func progressOf(r *request) streamProgress {
	return streamProgress{started: r.streamStarted, lastEventID: r.lastEventID, origin: r.origin}
}

// silenceTimer cancels an attempt at an endpoint that stays silent once another one takes the request over. Bytes that
// complete no event do not reset it, so an endpoint that sends a byte now and then counts as silent. The zero value never
// cancels.
type silenceTimer struct {
	// mu is taken before Gateway.mu. It is held while the timer decides, so that stop returns only after that.
	mu          sync.Mutex
	timer       *time.Timer
	currentWait time.Duration
	eventWait   time.Duration
	// since is when the present silence began.
	since time.Time
	// passingOn is set while events are passed on, so that the endpoint's stream is not read.
	passingOn bool
	progress  streamProgress
	// kept is the last reason why the silent attempt was kept.
	kept failover.Reason
}

// startSilenceTimer starts the timer of an attempt. It returns an inactive timer if the request may not be sent again.
func (g *Gateway) startSilenceTimer(r *request, t *target, cancel context.CancelCauseFunc) *silenceTimer {
	l := &silenceTimer{progress: progressOf(r)}
	if !r.mayRunAgain() {
		return l
	}
	l.currentWait = max(minFirstByteWait, firstByteWaitFactor*t.choice.Expected)
	l.eventWait = max(minEventWait, eventWaitFactor*r.route.MaxEventGap)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.since = steady.Now()
	l.timer = time.AfterFunc(l.currentWait, func() { g.handleSilence(r, t, l, cancel) })
	return l
}

// handleSilence gives a silent attempt up, or looks again later.
func (g *Gateway) handleSilence(r *request, t *target, l *silenceTimer, cancel context.CancelCauseFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer == nil || l.passingOn {
		return
	}
	now := steady.Now()
	g.hasStoodStill(now)
	if rest := l.currentWait - failover.Silence(l.since, g.standstill.Last(), now); rest > 0 {
		l.timer.Reset(rest)
		return
	}
	if !t.throughPeer.Load() {
		g.checkPath(t.choice.Endpoint, reach.Unknown, l.since)
	}
	reason := g.reserveSuccessor(r, t, l.progress, now)
	if reason == "" {
		l.timer = nil
		cancel(errEndpointSilent)
		return
	}
	if reason != l.kept {
		l.kept = reason
		g.metrics.count("silent_attempts_kept_" + string(reason) + "_total")
		g.log.info(partRequest).Str("request", r.call.ID).Str("endpoint", t.choice.Endpoint.ID).Str("reason", string(reason)).
			Msg("silent attempt kept")
	}
	l.timer.Reset(failover.RecheckInterval)
}

// reserveSuccessor returns why the attempt at a silent endpoint is kept. If it is not, a retry is taken from the budget for
// the next attempt.
func (g *Gateway) reserveSuccessor(r *request, t *target, p streamProgress, now time.Time) failover.Reason {
	next := r.successor(t, p)
	refused := g.authorize(next)
	g.mu.Lock()
	defer g.mu.Unlock()
	if refused == nil {
		_, refused = g.findTarget(next, now)
	}
	budget := g.retryBudget(t.service.Name)
	reason := failover.Decide(failover.Situation{
		Stopping: g.isTooLateToSend(now), Left: r.deadline.Sub(now), MinLeft: minTimeToSend,
		Started: p.started, HasPosition: p.lastEventID != "", Suspect: g.isCrashSuspect(next, now),
		HasSuccessor: refused == nil, HasRetry: budget.CanRetry(now),
	})
	if reason == "" {
		t.retryReserved = budget.Take(now)
	}
	return reason
}

// mayRunAgain reports whether the request may run once more after the attempt in progress.
func (r *request) mayRunAgain() bool {
	return r.route.Idempotent() && r.possibleRuns+1 < r.route.Attempts
}

// successor returns the request as it is after an attempt that was given up. The attempt may still be changing the rest of r.
func (r *request) successor(t *target, p streamProgress) *request {
	return &request{
		exchange: r.exchange, call: r.call, id: r.id, progress: r.progress, grant: r.grant, arrived: r.arrived, deadline: r.deadline,
		possibleRuns: r.possibleRuns + 1, attempts: r.attempts, excluded: append(slices.Clone(r.excluded), t.choice.Endpoint.ID),
		lastEventID: p.lastEventID, origin: p.origin, streamStarted: p.started, fingerprints: r.fingerprints, probe: r.probe,
	}
}

// eventReceived stops the timer while events are passed on. That may take long, since a caller may read slowly, and what the
// endpoint sends meanwhile is not read.
func (l *silenceTimer) eventReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer == nil {
		return
	}
	l.passingOn = true
	l.timer.Stop()
}

// eventsSent records what the caller has of a stream, and restarts the timer with the wait for the next event.
func (l *silenceTimer) eventsSent(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.progress = progressOf(r)
	if l.timer == nil {
		return
	}
	l.passingOn = false
	l.currentWait = l.eventWait
	l.since = steady.Now()
	l.kept = ""
	l.timer.Reset(l.currentWait)
}

// stop ends the timer for good. Afterwards it reads nothing of its request.
func (l *silenceTimer) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}
