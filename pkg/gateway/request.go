package gateway

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/affinity"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/drain"
	"github.com/corneldeal/corneldeal/pkg/ingress"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

const (
	// defaultRequestTimeout limits a request if neither its caller nor its route sets a timeout.
	defaultRequestTimeout = 30 * time.Second
	// noConfigRetryAfter is the Retry-After for callers while the process has no configuration yet.
	noConfigRetryAfter = 500 * time.Millisecond
	// noEndpointRetryAfter is the Retry-After if no endpoint is known or all have failed.
	noEndpointRetryAfter = 400 * time.Millisecond
	// leavingRetryAfter is the Retry-After of a VM that is stopping. Another VM accepts the request at once.
	leavingRetryAfter = 50 * time.Millisecond
)

// request is the state of one caller's request while the gateway handles it.
type request struct {
	// exchange is the caller's connection with the request that was read from it.
	exchange *ingress.Exchange
	call     Call
	id       uint64
	// progress is the entry of the request among those in progress.
	progress *drain.Entry
	// grant is what the configuration in force allowed when it was last checked, before each attempt.
	grant
	// configVersion is the version of the configuration at the last check.
	configVersion int64
	arrived       time.Time
	deadline      time.Time
	cost          int64
	// chargedWorkspace is the name of the workspace that was charged the cost, or empty.
	chargedWorkspace string
	// remainingTokens is the number of tokens that the workspace has left after the charge.
	remainingTokens int64
	// possibleRuns counts the attempts that may have run the request; attempts counts all.
	possibleRuns, attempts int
	excluded               []string
	// reserved are the retries that are held for the request.
	reserved reservedRetries
	// lastEventID is the last event that the caller has received, for a resumed stream.
	lastEventID string
	// origin is where the stream began, or nil before its first event.
	origin *affinity.Origin
	// streamStarted is set once the header of a stream was sent to the caller.
	streamStarted bool
	// eventsSent counts the events sent to the caller.
	eventsSent int
	// endpointFailure is an endpoint's failure answer that is forwarded if no other attempt succeeds.
	endpointFailure *fasthttp.Response
	// fingerprints identify the request when its caller sends it again, and the shared parts of its prompt.
	fingerprints []uint64
	// refusedFingerprint is the fingerprint for whose crashes the request is refused, or zero.
	refusedFingerprint uint64
	// probe is set if the request is sent although a part of its prompt is refused, to learn whether the part crashes
	// endpoints.
	probe bool
	// hasTurn is set if the request may be sent until turnUntil as a probe that needs a turn.
	hasTurn   bool
	turnUntil time.Time
	// atLimit is the number of endpoints that the last placement left out because of their rate limits.
	atLimit int
	// expectedDuration is the duration predicted by the last placement.
	expectedDuration time.Duration
	// admission is the last verdict on a request at overload, or nil if there was none.
	admission *admit.Verdict
}

// grant is a route and the workspace that may use it.
type grant struct {
	// route is nil until one has matched.
	route *traffic.Route
	// workspace is nil if the route needs none.
	workspace *traffic.Workspace
}

// Serve implements ingress.Handler.
func (g *Gateway) Serve(exchange *ingress.Exchange) {
	g.metrics.count("requests_total")
	r := &request{exchange: exchange, id: g.nextID.Add(1), arrived: exchange.Arrived}
	call, err := g.platform.Wire.ReadCall(&exchange.Request.Header)
	r.call = call
	r.progress = g.inProgress.Begin(call.ID, r.arrived)
	defer g.inProgress.End(r.progress)
	r.lastEventID = call.LastEventID
	if err != nil {
		g.refuse(r, refusal.New(fasthttp.StatusBadRequest, refusal.CodeBadRequest, "%s", err.Error()))
		return
	}
	if g.refusesNewRequests(r.arrived) {
		g.refuse(r, stoppingRefusal())
		return
	}
	if refused := g.authorize(r); refused != nil {
		g.refuse(r, refused)
		return
	}
	r.deadline = r.arrived.Add(g.timeLimit(r))
	r.fingerprints = fingerprintsOf(r)
	if refused := g.lookUpOrigin(r); refused != nil {
		g.refuse(r, refused)
		return
	}
	if refused := g.chargeTokens(r); refused != nil {
		g.refuse(r, refused)
		return
	}
	g.forward(r)
}

// fingerprintsOf returns the fingerprints under which crashes of endpoints count against a request. The first identify
// the request when its caller sends it again, by workspace, target and body. A caller may repeat a request with another
// query, so the path without the query counts too; clean runs with any query clear that fingerprint. The others are those
// of the parts that its prompt shares with other requests.
func fingerprintsOf(r *request) []uint64 {
	workspace := r.workspaceName()
	target, body := r.exchange.Request.Header.RequestURI(), r.exchange.Request.Body()
	path, _, hasQuery := bytes.Cut(target, []byte("?"))
	out := []uint64{crashguard.RequestFingerprint(crashguard.Fingerprint(workspace, string(path), body))}
	if hasQuery {
		out = append(out, crashguard.RequestFingerprint(crashguard.Fingerprint(workspace, string(target), body)))
	}
	return append(out, partFingerprints(r.call.Chain)...)
}

// timeLimit returns the time allowed for the final answer.
func (g *Gateway) timeLimit(r *request) time.Duration {
	limit := r.call.Timeout
	if t := r.route.Timeout; t > 0 && (limit == 0 || t < limit) {
		limit = t
	}
	if limit == 0 {
		return defaultRequestTimeout
	}
	return limit
}

// authorize checks the route and the workspace against the configuration in force. A refusal leaves the grant
// unchanged, since a request that was charged or partly answered still ends under it.
func (g *Gateway) authorize(r *request) *refusal.Error {
	c := g.config.Load()
	if c == nil {
		return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeNoConfig, "no configuration is known yet").
			WithRetryAfter(noConfigRetryAfter)
	}
	r.configVersion = c.Version
	path, _, _ := bytes.Cut(r.exchange.Request.Header.RequestURI(), []byte("?"))
	route := c.Match(string(r.exchange.Request.Header.Host()), string(path))
	if route == nil {
		return g.denial(refusal.New(fasthttp.StatusNotFound, refusal.CodeNoRoute, "no route matches"))
	}
	workspace := c.WorkspaceByKey(r.call.Key)
	if workspace == nil && c.RequiresKey() && !route.Public {
		return g.denial(refusal.New(fasthttp.StatusUnauthorized, refusal.CodeUnauthorized, "the key is not known"))
	}
	r.grant = grant{route: route, workspace: workspace}
	return nil
}

// chargeTokens takes the request's tokens from its workspace.
func (g *Gateway) chargeTokens(r *request) *refusal.Error {
	if r.workspace == nil {
		return nil
	}
	r.cost = r.chargeOf()
	g.mu.Lock()
	defer g.mu.Unlock()
	take := g.limiter.Take
	if r.origin != nil {
		take = g.limiter.TakeToResume
	}
	ok, wait := take(r.workspace.Name, r.cost, r.arrived)
	r.remainingTokens = g.limiter.Level(r.workspace.Name, r.arrived)
	if !ok {
		return overRateRefusal(wait)
	}
	r.chargedWorkspace = r.workspace.Name
	return nil
}

// chargeOf returns the tokens that the request costs its workspace.
func (r *request) chargeOf() int64 {
	if r.call.HasTokenCounts {
		return int64(r.call.PromptTokens + r.call.OutputTokens)
	}
	return r.workspace.DefaultCost
}

// overRateRefusal returns the refusal of a request whose workspace has too few tokens.
func overRateRefusal(wait time.Duration) *refusal.Error {
	return refusal.New(fasthttp.StatusTooManyRequests, refusal.CodeRateLimited, "the workspace is over its rate").
		WithRetryAfter(wait)
}

// refundTokens returns the tokens of a request that did not run to its workspace.
func (g *Gateway) refundTokens(r *request) {
	if r.chargedWorkspace == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Refund(r.chargedWorkspace, r.cost, g.now())
	r.chargedWorkspace = ""
}
