package gateway

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/ingress"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

const (
	// defaultTimeout bounds a request whose caller and route name no time.
	defaultTimeout = 30 * time.Second
	// noConfigRetry is the Retry-After for callers of a process that knows no configuration yet.
	noConfigRetry = 500 * time.Millisecond
	// noEndpointRetry is the Retry-After where no endpoint is known or all failed.
	noEndpointRetry = 400 * time.Millisecond
	// leavingRetry is the Retry-After of a VM that is stopping. Another VM takes the request at once.
	leavingRetry = 50 * time.Millisecond
)

// request is one caller's attempt on its way through the gateway.
type request struct {
	x    *ingress.Exchange
	call Call
	id   uint64
	// grant is what the configuration in force allowed when it was last asked, before each send.
	grant
	// version is the version of the configuration that was asked last.
	version  int64
	arrived  time.Time
	deadline time.Time
	cost     int64
	// charged is the name of the workspace that paid the cost, or empty.
	charged string
	// level is the number of tokens that the workspace has left after the charge.
	level int64
	// sends counts the endpoints that may have run the request, tries all attempts.
	sends, tries int
	excluded     []string
	// lastEventID is the last event that the caller has, for a resumed stream.
	lastEventID string
	// begun is set once the header of a stream was sent to the caller.
	begun bool
	// events counts those sent to the caller.
	events int
	// failure is an endpoint's own answer that is passed on if no other attempt succeeds.
	failure *fasthttp.Response
	// fingerprints identify the request over its caller's repeats.
	fingerprints []uint64
	// expected is the prediction of the last placement.
	expected time.Duration
}

// grant is a route and the workspace that may use it.
type grant struct {
	// route is nil until one has matched.
	route *traffic.Route
	// workspace is nil where the route needs none.
	workspace *traffic.Workspace
}

// Serve implements ingress.Handler.
func (g *Gateway) Serve(x *ingress.Exchange) {
	g.metrics.count("requests_total")
	r := &request{x: x, id: g.nextID.Add(1), arrived: x.Arrived}
	call, err := g.platform.Wire.ReadCall(&x.Request.Header)
	r.call = call
	r.lastEventID = call.LastEventID
	if err != nil {
		g.refuse(r, refusal.New(fasthttp.StatusBadRequest, refusal.CodeBadRequest, "%s", err.Error()))
		return
	}
	if g.stopsTaking(r.arrived) {
		g.refuse(r, refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeLeaving, "this VM is stopping").
			After(leavingRetry))
		return
	}
	if refused := g.authorize(r); refused != nil {
		g.refuse(r, refused)
		return
	}
	r.deadline = r.arrived.Add(g.timeLimit(r))
	r.fingerprints = fingerprintsOf(r)
	if refused := g.charge(r); refused != nil {
		g.refuse(r, refused)
		return
	}
	g.forward(r)
}

// fingerprintsOf identifies a request over its caller's repeats, by workspace, target and body. A caller may send a request
// again with another query, so the path alone counts too; clean runs with any query clear that.
func fingerprintsOf(r *request) []uint64 {
	workspace := ""
	if r.workspace != nil {
		workspace = r.workspace.Name
	}
	target, body := r.x.Request.Header.RequestURI(), r.x.Request.Body()
	path, _, hasQuery := bytes.Cut(target, []byte("?"))
	out := []uint64{crashguard.Fingerprint(workspace, string(path), body)}
	if hasQuery {
		out = append(out, crashguard.Fingerprint(workspace, string(target), body))
	}
	return out
}

// stopsTaking reports whether this VM is stopping and takes no more new requests.
func (g *Gateway) stopsTaking(arrived time.Time) bool {
	return g.leaving.Load() && arrived.UnixNano()-g.leavingSince.Load() > int64(refuseAfter)
}

// timeLimit returns the time for the final answer.
func (g *Gateway) timeLimit(r *request) time.Duration {
	limit := r.call.Timeout
	if t := r.route.Timeout; t > 0 && (limit == 0 || t < limit) {
		limit = t
	}
	if limit == 0 {
		return defaultTimeout
	}
	return limit
}

// authorize asks the configuration in force for the route and the workspace. A refusal leaves the grant as it was, since
// a request that was charged or answered in part is still ended under it.
func (g *Gateway) authorize(r *request) *refusal.Error {
	c := g.config.Load()
	if c == nil {
		return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeNoConfig, "no configuration is known yet").
			After(noConfigRetry)
	}
	r.version = c.Version
	path, _, _ := bytes.Cut(r.x.Request.Header.RequestURI(), []byte("?"))
	route := c.Match(string(r.x.Request.Header.Host()), string(path))
	if route == nil {
		return refusal.New(fasthttp.StatusNotFound, refusal.CodeNoRoute, "no route matches")
	}
	workspace := c.WorkspaceOf(r.call.Key)
	if workspace == nil && c.Keyed() && !route.Public {
		return refusal.New(fasthttp.StatusUnauthorized, refusal.CodeUnauthorized, "the key is not known")
	}
	r.grant = grant{route: route, workspace: workspace}
	return nil
}

// charge takes the request's tokens from its workspace.
func (g *Gateway) charge(r *request) *refusal.Error {
	if r.workspace == nil {
		return nil
	}
	r.cost = r.workspace.DefaultCost
	if r.call.Sized {
		r.cost = int64(r.call.PromptTokens + r.call.OutputTokens)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	ok, wait := g.limiter.Take(r.workspace.Name, r.cost, r.arrived)
	r.level = g.limiter.Level(r.workspace.Name, r.arrived)
	if !ok {
		return refusal.New(fasthttp.StatusTooManyRequests, refusal.CodeRateLimited, "the workspace is over its rate").
			After(wait)
	}
	r.charged = r.workspace.Name
	return nil
}

// refund gives the tokens back of a request that did not run.
func (g *Gateway) refund(r *request) {
	if r.charged == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Return(r.charged, r.cost, steady.Now())
	r.charged = ""
}
