package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/affinity"
	"github.com/corneldeal/corneldeal/pkg/explain"
	"github.com/corneldeal/corneldeal/pkg/ingress"
	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// explainPath is the path of the page on the metrics port that explains the decision about a request.
const explainPath = "/explain"

// maxExplainBytes is the largest size of a request to explain, with its body, in bytes.
const maxExplainBytes = 1 << 20

// errMalformedHead means that the request to explain has no readable head. The parser's own error is not shown, since it
// repeats the head, which may hold a key.
var errMalformedHead = errors.New("the request head is malformed: want a request line, a Host header and further headers")

// serveExplain answers how this VM would decide about a request now. POST sends the request, its head and an optional body
// as on the wire; GET names it by the parameters method, host, path and header, which may be repeated.
func (g *Gateway) serveExplain(ctx *fasthttp.RequestCtx) {
	defer func() {
		if cause := recover(); cause != nil {
			g.ReportPanic(cause, debug.Stack())
			ctx.Error("the decision could not be explained, see the log", fasthttp.StatusInternalServerError)
		}
	}()
	var text []byte
	switch {
	case ctx.IsPost():
		text = ctx.PostBody()
	case ctx.IsGet():
		text = headFromArguments(ctx.QueryArgs())
	default:
		ctx.Error("use GET or POST", fasthttp.StatusMethodNotAllowed)
		return
	}
	if len(text) > maxExplainBytes {
		ctx.Error("the request is too long", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	req, err := readHead(text)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	body, err := json.MarshalIndent(g.explain(req), "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// isMetricsListener reports whether a request came in at the metrics port, which is not the one of the readiness probe.
func (g *Gateway) isMetricsListener(ctx *fasthttp.RequestCtx) bool {
	address, ok := ctx.LocalAddr().(*net.TCPAddr)
	return ok && address.Port == g.settings.MetricsPort
}

// headFromArguments returns the request head that the parameters of a GET describe.
func headFromArguments(args *fasthttp.Args) []byte {
	var out bytes.Buffer
	method, path := args.Peek("method"), args.Peek("path")
	if len(method) == 0 {
		method = []byte(fasthttp.MethodGet)
	}
	if len(path) == 0 {
		path = []byte("/")
	}
	lines := [][]byte{bytes.Join([][]byte{method, path, []byte("HTTP/1.1")}, []byte(" "))}
	if host := args.Peek("host"); len(host) > 0 {
		lines = append(lines, append([]byte("Host: "), host...))
	}
	for _, line := range append(lines, args.PeekMulti("header")...) {
		out.Write(line)
		out.WriteString("\r\n")
	}
	return out.Bytes()
}

// readHead parses a request head, whose lines may end in a line feed alone and which need not end in an empty line. What
// follows an empty line is the body.
func readHead(text []byte) (*fasthttp.Request, error) {
	text = bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n"))
	head, body, _ := bytes.Cut(text, []byte("\n\n"))
	head = bytes.TrimRight(head, "\n")
	req := &fasthttp.Request{}
	wire := append(bytes.ReplaceAll(head, []byte("\n"), []byte("\r\n")), "\r\n\r\n"...)
	reader := bufio.NewReaderSize(bytes.NewReader(wire), len(text)+maxHeadPadding)
	if err := req.Header.Read(reader); err != nil || len(req.Header.Host()) == 0 {
		return nil, errMalformedHead
	}
	if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
		return nil, errMalformedHead
	}
	req.SetBody(body)
	return req, nil
}

// maxHeadPadding is the size of the read buffer beyond the text, in bytes, for the line ends that readHead adds.
const maxHeadPadding = 4 << 10

// explain returns how this VM would decide about a request that arrives now. It works on copies of the state that a
// decision changes, so the request is not charged, counted, logged or sent. It must follow Serve and chooseEndpoint.
func (g *Gateway) explain(req *fasthttp.Request) explain.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	c := g.copyForReading()
	path, _, _ := bytes.Cut(req.Header.RequestURI(), []byte("?"))
	in := explain.Input{
		VM: g.settings.VM, Now: now, Method: string(req.Header.Method()), Host: string(req.Header.Host()), Path: string(path),
		Times: c.explainTimes(now),
	}
	r := &request{exchange: &ingress.Exchange{Request: req, Arrived: now}, arrived: now}
	in.Refusal = c.explainAdmission(r, &in)
	if in.Refusal == nil {
		in.Refusal = c.explainPlacement(r, &in, now)
	}
	in.Probe = r.probe && in.Refusal == nil
	return explain.New(in)
}

// copyForReading returns a gateway that takes the same decisions. What a decision changes is copied; the rest is shared and
// must not be changed through the copy. The caller holds the lock, for as long as the copy is used.
func (g *Gateway) copyForReading() *Gateway {
	c := &Gateway{
		sources: g.sources, settings: g.settings, ownIP: g.ownIP, platform: g.platform, boot: g.boot, started: g.started,
		startedUnixMs: g.startedUnixMs, ctx: g.ctx, metrics: newMetrics(),
		log:          newLimitedLogger(g.settings.VM, g.boot, "error", io.Discard),
		guardedState: g.guardedState,
		// The shares of connections are computed when they are asked for, in the same way by every decision.
		connections: g.connections, paths: g.paths,
	}
	c.config.Store(g.config.Load())
	c.leaving.Store(g.leaving.Load())
	c.leavingSince.Store(g.leavingSince.Load())
	c.crashes = g.crashes.Clone()
	c.limits = g.limits.Clone()
	c.brittle = g.brittle.Clone()
	c.partTraffic = g.partTraffic.Clone(c.crashes)
	return c
}

// explainTimes returns the times at which the inputs of a decision were current. The caller holds the lock.
func (g *Gateway) explainTimes(now time.Time) explain.Times {
	t := explain.Times{ConfigApplied: g.configAppliedAt, EndpointsRead: g.streams[EndpointStream].readAt}
	t.ConfigVersion, _ = g.operatorVersions()
	if age, verified := g.streams[OperatorStream].freshness.Age(now); verified {
		t.ConfigVerified = now.Add(-age)
	}
	for _, p := range g.peers {
		if !p.live(now) {
			continue
		}
		t.Peers++
		if t.OldestDigest.IsZero() || p.lastSeen.Before(t.OldestDigest) {
			t.OldestDigest = p.lastSeen
		}
	}
	return t
}

// explainAdmission takes the decisions of Serve that precede the placement. It returns the refusal, or nil.
func (g *Gateway) explainAdmission(r *request, in *explain.Input) *refusal.Error {
	call, err := g.platform.Wire.ReadCall(&r.exchange.Request.Header)
	r.call, r.lastEventID = call, call.LastEventID
	in.ID, in.Model, in.PromptTokens, in.OutputTokens = call.ID, call.Model, call.PromptTokens, call.OutputTokens
	refused := g.authorize(r)
	in.Route, in.Workspace = r.route, r.workspaceName()
	switch {
	case refused != nil && refused.Code == refusal.CodeNoRoute:
		return refused
	case err != nil:
		return refusal.New(fasthttp.StatusBadRequest, refusal.CodeBadRequest, "%s", err.Error())
	case g.refusesNewRequests(r.arrived):
		return stoppingRefusal()
	case refused != nil:
		return refused
	}
	r.deadline = r.arrived.Add(g.timeLimit(r))
	r.fingerprints = fingerprintsOf(r)
	if refused := g.explainOrigin(r, in); refused != nil {
		return refused
	}
	return g.explainRate(r, in)
}

// explainOrigin looks up where a stream began that the caller takes up, in what this VM knows: it asks the store for nothing.
// The caller holds the lock.
func (g *Gateway) explainOrigin(r *request, in *explain.Input) *refusal.Error {
	services := r.route.TargetOrder(r.call.ID)
	if r.call.LastEventID == "" || !r.isResumable() || len(services) == 0 {
		return nil
	}
	id := affinity.IDOf(r.call.Resumes)
	source := originOwn
	origin, known := g.origins.Own(id)
	if !known {
		source = originListed
		origin, known = g.lookUpListedOrigin(r, id, services)
	}
	if !known {
		in.Stream = &explain.StreamInput{Source: originUnknown}
		return refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeOriginUnknown,
			"it is not known which software version began the stream; a request would ask the store")
	}
	in.Stream = &explain.StreamInput{Source: source, Service: origin.Service, Software: origin.Software}
	r.origin = &origin
	return nil
}

// explainRate returns the verdict on the rate of the workspace, as chargeTokens takes it. The caller holds the lock.
func (g *Gateway) explainRate(r *request, in *explain.Input) *refusal.Error {
	if r.workspace == nil {
		return nil
	}
	p := g.limiter.Preview(r.workspace.Name, r.chargeOf(), r.origin != nil, r.arrived)
	in.Rate = &explain.RateInput{Limited: p.Limited, Allowed: p.Allowed, Cost: r.chargeOf(), Left: p.Level, Wait: p.Wait}
	if p.Allowed {
		return nil
	}
	return overRateRefusal(p.Wait)
}

// explainPlacement takes the decisions of chooseEndpoint. It returns the refusal, or nil. The caller holds the lock.
func (g *Gateway) explainPlacement(r *request, in *explain.Input, now time.Time) *refusal.Error {
	if refused := g.timeRefusal(r, now); refused != nil {
		return refused
	}
	if refused := g.crashRefusal(r, now); refused != nil {
		return refused
	}
	left := r.deadline.Sub(now)
	c := g.config.Load()
	var waitUntil time.Time
	for _, name := range r.route.TargetOrder(r.call.ID) {
		s := c.Services[name]
		if s == nil || !r.mayGoOnAt(name) {
			continue
		}
		registered := g.endpoints.Usable(name)
		endpoints := g.paths.Reachable(g.eligibleEndpoints(r, registered))
		if ro := g.rollouts.byService[name]; ro != nil {
			endpoints = g.candidatesByVersion(r, ro, endpoints, now).endpoints
		}
		p := g.placementRequest(r, c, s, now)
		properties := g.serviceProperties(c, s, p, endpoints)
		x := g.placer.Explain(p, endpoints, properties, now)
		in.Services = append(in.Services, explain.ServiceInput{
			Name: name, Registered: len(registered), Eligible: len(endpoints), Placement: x,
		})
		r.atLimit += x.Choice.AtLimit
		if x.Choice.Endpoint != nil {
			return g.previewAdmission(r, &target{
				service: s, choice: x.Choice, request: p, slots: properties.Slots, sentAt: now,
			}, left, now)
		}
		waitUntil = earliest(waitUntil, x.Choice.WaitUntil)
	}
	return noEndpointRefusal(r, waitUntil, now)
}

// previewAdmission takes the decision of lateRefusal on a copy of the admission state. The caller holds the lock.
func (g *Gateway) previewAdmission(r *request, t *target, left time.Duration, now time.Time) *refusal.Error {
	if g.controlsOverload(r, t) {
		state := admit.NewOverload()
		if known := g.overloads[t.service.Name]; known != nil {
			state = known.Clone()
		}
		v := state.Decide(g.admissionSituation(r, t, left, now), now)
		if v.Refused() {
			return overloadedRefusal(v)
		}
	}
	return g.basicLateRefusal(r, t, left, now)
}
