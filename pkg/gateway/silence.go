package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/pkg/steady"
)

const (
	// silenceLeast and silenceFactor times the prediction are the least wait for the first byte of an idempotent request
	// before another endpoint is tried.
	silenceLeast  = 900 * time.Millisecond
	silenceFactor = 4
	// stallLeast and stallFactor times the pause with which a stream is on time are the least wait for its next whole
	// event before it goes on elsewhere. Callers give up a stream after twice that.
	stallLeast  = 1200 * time.Millisecond
	stallFactor = 4
)

// errSilent cancels an attempt at a silent endpoint.
var errSilent = errors.New("gateway: endpoint is silent")

// silenceLimit cancels an attempt at an endpoint that stays silent, where the request may go on elsewhere. Bytes that
// complete no event do not count, so an endpoint that sends one now and then is silent. The zero value has no limit.
type silenceLimit struct {
	mu    sync.Mutex
	timer *time.Timer
	wait  time.Duration
	stall time.Duration
}

// limitSilence starts the limit of an attempt.
func (g *Gateway) limitSilence(r *request, t *target, cancel context.CancelCauseFunc) *silenceLimit {
	l := &silenceLimit{}
	if !r.route.Idempotent() || r.sends+1 >= r.route.Attempts {
		return l
	}
	l.wait = max(silenceLeast, silenceFactor*t.choice.Expected)
	l.stall = max(stallLeast, stallFactor*r.route.Gap)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(l.wait, func() {
		if g.mayLeave(t) {
			cancel(errSilent)
			return
		}
		l.again()
	})
	return l
}

// mayLeave reports whether another endpoint can take over from a silent one.
func (g *Gateway) mayLeave(t *target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	others := len(g.endpoints.Usable(t.service.Name)) - len(t.request.Exclude) - 1
	return others > 0 && g.retryBudget(t.service.Name).Left(steady.Now())
}

// event starts the wait for the next event of a stream.
func (l *silenceLimit) event() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer == nil {
		return
	}
	l.wait = l.stall
	l.timer.Reset(l.wait)
}

// again repeats the present wait, after which no other endpoint could take over.
func (l *silenceLimit) again() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Reset(l.wait)
	}
}

// stop ends the limit.
func (l *silenceLimit) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}
