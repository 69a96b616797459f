package gateway

import (
	"strconv"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// retryAfterJitter is the largest random extension of a Retry-After, as a fraction, so that callers do not return at
// the same time.
const retryAfterJitter = 0.4

// refuse answers a request with a refusal by the gateway and refunds the tokens of a request that did not run.
func (g *Gateway) refuse(r *request, e *refusal.Error) {
	if e.RunState == refusal.NotRun {
		g.refundTokens(r)
	}
	g.metrics.count("refusals_total")
	g.metrics.count("refusals_" + string(e.Code) + "_total")
	line := g.log.info(partRequest).Str("request", r.call.ID).Str("outcome", "refused").Int("status", e.Status).
		Str("code", string(e.Code)).Str("run_state", string(e.RunState)).Int64("config", r.configVersion).
		Int("tries", r.attempts).Dur("age_ms", g.now().Sub(r.arrived)).Dur("expected_ms", r.expectedDuration)
	g.logDecisionInputs(line, r)
	resp := &fasthttp.Response{}
	resp.SetStatusCode(e.Status)
	g.platform.Wire.SetRequestID(&resp.Header, r.call.ID)
	resp.Header.SetContentType("application/json")
	resp.SetBodyRaw(e.Body())
	if e.RetryAfter > 0 {
		after := e.RetryAfter
		if !r.refusedAtOverload() {
			after += time.Duration(g.random.Float64() * retryAfterJitter * float64(e.RetryAfter))
		}
		line.Dur("retry_after_ms", after)
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	line.Msg("request refused")
	r.exchange.Respond(resp)
}

// logDecisionInputs adds the state that a decision was based on, and its age, to a log line.
func (g *Gateway) logDecisionInputs(line *log.Entry, r *request) {
	if line == nil {
		return
	}
	ages := g.stateAges(g.now())
	line.Dur("config_age_ms", ages.config).Dur("config_verified_age_ms", ages.configVerified).Dur("list_age_ms", ages.list).
		Int("peers", ages.peers).Int("at_limit", r.atLimit).
		Strs("fingerprints", formatFingerprints(r.fingerprints)).Strs("parts", formatParts(r.call.Chain))
	if r.refusedFingerprint != 0 {
		line.Str("refused_fingerprint", formatFingerprint(r.refusedFingerprint))
	}
	logAdmission(line, r.admission)
	if r.route != nil {
		line.Str("route", r.route.Name)
	}
	if r.workspace != nil {
		line.Str("workspace", r.workspace.Name).Int64("cost", r.cost).Int64("tokens_left", r.remainingTokens)
	}
}

// stateAges are the ages of what this VM knows.
type stateAges struct {
	// list is the time since the list of endpoints was last read, and config the time since the configuration was applied.
	list, config time.Duration
	// configVerified is the time since the configuration was last known to be the newest, or neverVerifiedAge.
	configVerified time.Duration
	// peers is the number of live peers.
	peers int
}

// neverVerifiedAge stands for the age of a verification that never took place, in logs and metrics.
const neverVerifiedAge = time.Hour

// stateAges returns the ages of what this VM knows.
func (g *Gateway) stateAges(now time.Time) stateAges {
	g.mu.Lock()
	defer g.mu.Unlock()
	return stateAges{
		list:           now.Sub(g.streams[EndpointStream].readAt),
		config:         now.Sub(g.configAppliedAt),
		configVerified: g.streams[OperatorStream].verifiedAge(now),
		peers:          len(g.livePeers(now)),
	}
}

// verifiedAge returns the time since the copy was last known to be complete, or neverVerifiedAge.
func (st *streamState) verifiedAge(now time.Time) time.Duration {
	age, verified := st.freshness.Age(now)
	if !verified {
		return neverVerifiedAge
	}
	return age
}
