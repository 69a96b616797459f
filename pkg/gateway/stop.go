package gateway

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/drain"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/standstill"
)

const (
	// connectionPollInterval is the interval at which Shutdown checks for open connections.
	connectionPollInterval = 50 * time.Millisecond
	// acceptTime is the time after a standstill in which the connections that were opened meanwhile are accepted.
	acceptTime = 200 * time.Millisecond
)

// stoppingFor returns the time from SIGTERM to a time, or a negative duration if this VM is not stopping.
func (g *Gateway) stoppingFor(at time.Time) time.Duration {
	if !g.leaving.Load() {
		return -1
	}
	return time.Duration(at.UnixNano() - g.leavingSince.Load())
}

// refusesNewRequests reports whether this VM is stopping and refuses a request that arrived at the given time.
func (g *Gateway) refusesNewRequests(arrived time.Time) bool {
	return g.stoppingFor(arrived) > drain.NewPlan(g.settings.Grace()).RefuseRequests
}

// isTooLateToSend reports whether this VM is stopping and sends nothing more to endpoints, since the answer would be cut.
func (g *Gateway) isTooLateToSend(now time.Time) bool {
	return g.stoppingFor(now) > drain.NewPlan(g.settings.Grace()).LastSend
}

// stoppingRefusal returns the refusal of a request that another VM accepts at once.
func stoppingRefusal() *refusal.Error {
	return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeLeaving, "this VM is stopping").
		WithRetryAfter(leavingRetryAfter)
}

// Shutdown fails readiness, lets running requests finish and closes the gateway once they have. It cuts none itself before the
// grace has passed, when the platform kills the process.
func (g *Gateway) Shutdown() {
	handled := g.now()
	g.hasStoodStill(handled)
	since := drain.SignalledAt(handled, g.standstill.Last())
	g.leavingSince.Store(since.UnixNano())
	g.leaving.Store(true)
	g.ingress.DisableKeepAlive()
	g.requestDigest()
	g.log.info(partProcess).Int("connections", g.ingress.OpenConnections()).Int("requests", g.inProgress.Len()).
		Dur("late_ms", handled.Sub(since)).Msg("stopping")
	plan := drain.NewPlan(g.settings.Grace())
	// The balancer has been told only now.
	time.Sleep(plan.CloseListener)
	g.awaitAccepts()
	g.ingress.Close()
	g.awaitConnections(since.Add(plan.Report))
	g.logOpenRequests(since)
	g.sendFinalDigest()
	g.awaitConnections(handled.Add(g.settings.Grace()))
	g.log.info(partProcess).Int("connections", g.ingress.OpenConnections()).Msg("stopped")
	g.Close()
}

// awaitAccepts waits, right after a standstill, until what has connected meanwhile is accepted. Closing the listener resets the rest.
func (g *Gateway) awaitAccepts() {
	now := g.now()
	g.hasStoodStill(now)
	time.Sleep(acceptTime - now.Sub(g.standstill.Last().To))
}

// awaitConnections waits until no connection of a caller is open and no request of a peer is being sent, at the latest until the
// given time.
func (g *Gateway) awaitConnections(until time.Time) {
	for (g.ingress.OpenConnections() > 0 || g.forwarded.Load() > 0) && g.now().Before(until) {
		time.Sleep(connectionPollInterval)
	}
}

// logOpenRequests logs each request that is in progress shortly before the grace ends. Those that do not end until then are cut.
func (g *Gateway) logOpenRequests(stopping time.Time) {
	now := g.now()
	for _, e := range g.inProgress.List() {
		g.metrics.count("requests_open_at_stop_total")
		g.log.warn(partRequest).Str("request", e.ID).Str("endpoint", e.Endpoint()).Int64("events", e.Events()).
			Dur("age_ms", now.Sub(e.Arrived)).Dur("stopping_ms", now.Sub(stopping)).Msg("request still open, the grace ends soon")
	}
}

// observeStandstills notices when this process stood still, until it ends.
func (g *Gateway) observeStandstills() {
	for next := true; next; next = g.sleep(standstill.Interval) {
		g.hasStoodStill(g.now())
	}
}

// hasStoodStill records that the process runs now, and logs a standstill that has just ended.
func (g *Gateway) hasStoodStill(now time.Time) bool {
	gap, stood := g.standstill.Observe(now)
	if stood {
		g.metrics.count("standstills_total")
		g.log.warn(partProcess).Dur("for_ms", gap.Duration()).Msg("process stood still")
	}
	return stood
}

// Close stops all work at once and releases what Provision and Start acquired. Further calls do nothing.
func (g *Gateway) Close() {
	if g.ctx.Err() != nil {
		return
	}
	g.leaving.Store(true)
	g.cancel()
	g.ingress.Close()
	err := errors.Join(g.gossipSocket.Close(), g.relayServer.Close(), g.adminServer.Shutdown())
	if err != nil {
		g.log.warn(partProcess).Err(err).Msg("listeners not closed cleanly")
	}
	for _, l := range g.listeners {
		// Most are already closed by their servers.
		_ = l.Close()
	}
	g.http.Close()
	g.peerHTTP.Close()
	if err := g.log.close(); err != nil {
		// The log itself failed, so only standard error remains.
		_, _ = fmt.Fprintln(os.Stderr, "corneldeal: log writer:", err)
	}
}
