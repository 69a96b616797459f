package gateway

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/steady"
)

// retrySpread spreads the times at which callers come back.
const retrySpread = 0.4

// refuse answers with a refusal of the gateway's own.
func (g *Gateway) refuse(r *request, e *refusal.Error) {
	if e.RunState == refusal.NotRun {
		g.refund(r)
	}
	g.metrics.count("refusals_total")
	g.metrics.count("refusals_" + string(e.Code) + "_total")
	line := g.log.line(partRequest).Str("request", r.call.ID).Str("outcome", "refused").Int("status", e.Status).
		Str("code", string(e.Code)).Str("run_state", string(e.RunState)).Int64("config", r.version).
		Int("tries", r.tries).Dur("age_ms", steady.Since(r.arrived)).Dur("expected_ms", r.expected)
	g.logInputs(line, r)
	resp := &fasthttp.Response{}
	resp.SetStatusCode(e.Status)
	g.platform.Wire.Identify(&resp.Header, r.call.ID)
	resp.Header.SetContentType("application/json")
	resp.SetBodyRaw(e.Body())
	if e.RetryAfter > 0 {
		after := e.RetryAfter + time.Duration(rand.Float64()*retrySpread*float64(e.RetryAfter))
		line.Dur("retry_after_ms", after)
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	line.Msg("request refused")
	r.x.Respond(resp)
}

// logInputs adds what a decision rested on and how old it is.
func (g *Gateway) logInputs(line *log.Entry, r *request) {
	if line == nil {
		return
	}
	now := steady.Now()
	listAge, configAge, peers := g.knowledge(now)
	line.Dur("config_age_ms", configAge).Dur("list_age_ms", listAge).Int("peers", peers).
		Strs("fingerprints", hexOfAll(r.fingerprints))
	if r.route != nil {
		line.Str("route", r.route.Name)
	}
	if r.workspace != nil {
		line.Str("workspace", r.workspace.Name).Int64("cost", r.cost).Int64("level", r.level)
	}
}

// knowledge returns how old what the decisions rest on is, and the number of live peers.
func (g *Gateway) knowledge(now time.Time) (listAge, configAge time.Duration, peers int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.streams[EndpointStream].readAt), now.Sub(g.configAt), len(g.livePeers(now))
}
