package gateway

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/ingress"
	"github.com/corneldeal/corneldeal/pkg/place"
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
	// retrySpread spreads the times at which callers come back.
	retrySpread = 0.4
	// bitsPerByte converts the bandwidth of links.
	bitsPerByte = 8
	// urgencyTop is the urgency of priority 0, and urgencyStep what each further priority adds.
	urgencyTop  = 3
	urgencyStep = 2
	urgencyMost = 9
	// versionMargin keeps the last request on old weights clear of the limit.
	versionMargin = 1500 * time.Millisecond
	// unsizedOutput is the output that is assumed where neither hint nor limit is given.
	unsizedOutput = 64
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
	// level is the stock of the workspace's rate after the charge.
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
	// fingerprint identifies the request over its caller's repeats. Zero for one without a body, which nothing tells
	// from other requests.
	fingerprint uint64
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
	r.fingerprint = fingerprintOf(r)
	if refused := g.charge(r); refused != nil {
		g.refuse(r, refused)
		return
	}
	g.forward(r)
}

func fingerprintOf(r *request) uint64 {
	body := r.x.Request.Body()
	if len(body) == 0 {
		return 0
	}
	workspace := ""
	if r.workspace != nil {
		workspace = r.workspace.Name
	}
	return crashguard.Fingerprint(workspace, string(r.x.Request.Header.RequestURI()), body)
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
	ok, wait := g.limiter.Take(r.workspace.Name, r.cost, r.arrived)
	r.level = g.limiter.Level(r.workspace.Name, r.arrived)
	g.mu.Unlock()
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
	g.limiter.Return(r.charged, r.cost)
	r.charged = ""
}

// refuse answers with a refusal of the gateway's own.
func (g *Gateway) refuse(r *request, e *refusal.Error) {
	if e.RunState == refusal.NotRun {
		g.refund(r)
	}
	g.metrics.counters.Add("refusals_total", 1)
	g.metrics.counters.Add("refusals_"+string(e.Code)+"_total", 1)
	line := g.log.line(partRequest).Str("request", r.call.ID).Str("outcome", "refused").Int("status", e.Status).
		Str("code", string(e.Code)).Str("run_state", string(e.RunState)).Int64("config", r.version).
		Int("tries", r.tries).Dur("age_ms", steady.Since(r.arrived)).Dur("expected_ms", r.expected)
	g.logInputs(line, r)
	resp := &fasthttp.Response{}
	resp.SetStatusCode(e.Status)
	g.platform.Wire.Identify(&resp.Header, r.call.ID)
	resp.Header.SetContentType("application/json")
	resp.SetBodyString(fmt.Sprintf(`{"error":{"code":%q,"run_state":%q,"message":%q}}`, e.Code, e.RunState, e.Message))
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
	g.mu.Lock()
	listAge := now.Sub(g.streams[EndpointStream].readAt)
	configAge := now.Sub(g.configAt)
	peers := 0
	for _, p := range g.peers {
		if p.live(now) {
			peers++
		}
	}
	g.mu.Unlock()
	line.Dur("config_age_ms", configAge).Dur("list_age_ms", listAge).Int("peers", peers)
	if r.route != nil {
		line.Str("route", r.route.Name)
	}
	if r.workspace != nil {
		line.Str("workspace", r.workspace.Name).Int64("cost", r.cost).Int64("level", r.level)
	}
}

// placement returns the request as the placer sees it.
func (g *Gateway) placement(r *request, s *traffic.Service) *place.Request {
	p := &place.Request{ID: r.id, Exclude: r.excluded}
	if s.Engine == nil {
		return p
	}
	p.Engine = true
	p.Model = r.call.Model
	p.Chain = r.call.Chain
	p.Prompt = r.call.PromptTokens
	p.Output = r.call.OutputTokens
	if hint := r.call.ExpectedOutput; hint > 0 && hint < p.Output {
		p.Output = hint
	}
	if p.Output == 0 {
		p.Output = unsizedOutput
	}
	p.Salt = salts(p.Model, isolationOf(r.workspace))
	p.Announced = g.announced[p.Model]
	return p
}

// isolationOf returns what separates the cached material of an isolated workspace.
func isolationOf(w *traffic.Workspace) string {
	if w == nil || !w.Isolated {
		return ""
	}
	return w.Name
}

// salts returns what separates cached material by model, weight version and, where the workspace is isolated, workspace.
// Placement asks for the same few versions many times.
func salts(model, isolation string) func(version int64) string {
	known := map[int64]string{}
	return func(version int64) string {
		salt, ok := known[version]
		if !ok {
			h := fnv.New64a()
			_, _ = fmt.Fprintf(h, "%q %d %q", model, version, isolation)
			salt = strconv.FormatUint(h.Sum64(), 36)
			known[version] = salt
		}
		return salt
	}
}

// facts returns the properties of a service for placement. The caller holds the lock.
func (g *Gateway) facts(c *traffic.Config, s *traffic.Service, endpoints []*fleet.Endpoint) place.Facts {
	f := place.Facts{DataCentre: g.settings.DataCentre}
	if len(endpoints) > 0 {
		f.Slots = endpoints[0].Slots
	}
	if s.Engine == nil {
		return f
	}
	f.Slots = s.Engine.Slots
	f.CacheTokens = s.Engine.CacheTokens
	f.VersionLimit = g.settings.VersionLimit() - versionMargin
	f.LinkTokensPerMs = tokensPerMs(s.Engine.LinkMbps, s.Engine.TokenBytes)
	if store := c.StoreNear(g.settings.DataCentre); store != nil {
		f.Store = store.Address
		f.StoreTokensPerMs = tokensPerMs(store.LinkMbps, s.Engine.TokenBytes)
	}
	return f
}

// tokensPerMs returns the speed of a link in tokens of the given size.
func tokensPerMs(mbps float64, tokenBytes int) float64 {
	const bitsPerMs = 1e3 // of one Mbit/s
	return mbps * bitsPerMs / bitsPerByte / float64(max(tokenBytes, 1))
}

// urgency returns the rank of a request in an engine's queue.
func urgency(r *request) int {
	priority := r.route.Priority
	if r.workspace != nil && r.workspace.HasPriority {
		priority = r.workspace.Priority
	}
	return min(urgencyTop+urgencyStep*priority, urgencyMost)
}

// retryBudget returns the budget of a service. The caller holds the lock.
func (g *Gateway) retryBudget(service string) *admit.RetryBudget {
	b := g.retries[service]
	if b == nil {
		b = &admit.RetryBudget{}
		g.retries[service] = b
	}
	return b
}
