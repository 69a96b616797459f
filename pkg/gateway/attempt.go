package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/ingress"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// errTimeLimit cancels an attempt at the request's deadline.
var errTimeLimit = fmt.Errorf("gateway: time limit reached: %w", httpcall.ErrNoAnswer)

// errPanic is the result of an attempt whose handling panicked.
var errPanic = errors.New("gateway: panic while the attempt was handled")

// attemptResult is the outcome of one attempt at an endpoint.
type attemptResult struct {
	outcome place.Outcome
	// notRun is set if it is certain that the endpoint did not run the request.
	notRun bool
	// callerAnswered is set once the caller has received its final answer.
	callerAnswered bool
	// pathLost is set if the attempt failed because this VM lost its path to the endpoint.
	pathLost bool
	err      error
}

// attempt sends the request to one endpoint and forwards its answer.
func (g *Gateway) attempt(r *request, t *target) attemptResult {
	ctx, cancel := context.WithCancelCause(r.exchange.Context())
	defer cancel(nil)
	limit := time.AfterFunc(r.deadline.Sub(steady.Now()), func() { cancel(errTimeLimit) })
	defer limit.Stop()
	silence := g.startSilenceTimer(r, t, cancel)
	defer silence.stop()

	r.progress.SetEndpoint(t.choice.Endpoint.ID)
	started := steady.Now()
	// This result stands if the handling panics, so that the request's load is removed from the endpoint.
	res := attemptResult{outcome: place.Neutral, err: errPanic}
	defer func() { g.finishAttempt(r, t, res, started) }()
	res = g.judgePath(r, t, g.callEndpoint(ctx, r, t, silence))
	return res
}

// finishAttempt records and logs the result of an attempt.
func (g *Gateway) finishAttempt(r *request, t *target, res attemptResult, started time.Time) {
	now := steady.Now()
	listAge := g.recordOutcome(r, t, res, started, now)
	line := g.log.info(partRequest).Str("request", r.call.ID).Int("try", r.attempts).
		Str("endpoint", t.choice.Endpoint.ID).Str("software", t.choice.Endpoint.Software).
		Int64("config", r.configVersion).Int64("weights", t.choice.Version).
		Int("running", t.choice.Running).Int("missing", t.choice.UncachedTokens).Int("candidates", t.choice.Candidates).
		Str("fetch_from", t.choice.FetchFrom).Dur("list_age_ms", listAge).
		Dur("expected_ms", t.choice.Expected).Dur("took_ms", now.Sub(started)).Str("outcome", outcomeNames[res.outcome]).
		Bool("not_run", res.notRun).Str("limit", t.limit.Kind.String()).Float64("limit_per_s", t.limit.PerSecond).
		Bool("under_limit", t.underLimit).Int("at_limit", t.choice.AtLimit).
		Str("peer", t.peer).Bool("path_lost", res.pathLost).Bool("reused", t.reused).
		Int("no_connection", t.choice.NoConnection).Bool("beyond_share", t.choice.BeyondShare).
		Strs("fingerprints", formatFingerprints(r.fingerprints)).
		Strs("parts", formatParts(r.call.Chain))
	logAdmission(line, r.admission)
	if t.rollout.order != nil {
		line.Str("rollout", t.rollout.order.order.Target).Bool("bad", t.rollout.bad)
	}
	if !t.firstTokenAt.IsZero() {
		line.Dur("first_token_ms", t.firstTokenAt.Sub(started))
	}
	if res.err != nil {
		line.Err(res.err)
	}
	line.Msg("attempt ended")
	g.metrics.count("attempts_" + outcomeNames[res.outcome] + "_total")
}

// recordOutcome updates the placement and crash state after an attempt that began at the given time. It returns the age
// of the list of endpoints.
func (g *Gateway) recordOutcome(r *request, t *target, res attemptResult, began, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.call.LastEventID == "" && r.attempts == 1 {
		// A resumed stream brings only the rest of an output.
		g.placer.RecordOutputTokens(r.id, t.events)
	}
	g.placer.RecordOutcome(r.id, res.outcome, now)
	g.recordRejection(r, t, res, now)
	if t.firstTokenAt.IsZero() && !res.notRun && !res.pathLost {
		g.observeFirstToken(r, t, now, true)
	}
	g.recordCrashEvidence(r, t, res, began, now)
	g.recordRolloutOutcome(r, t, res, now)
	return now.Sub(g.streams[EndpointStream].readAt)
}

// outcomeNames are the outcomes as logs and metrics show them.
var outcomeNames = map[place.Outcome]string{
	place.Answered:    "answered",
	place.Failed:      "failed",
	place.Broken:      "broken",
	place.Malformed:   "malformed",
	place.Unreachable: "unreachable",
	place.Full:        "full",
	place.Neutral:     "neutral",
	place.TimedOut:    "silent",
	// The effect on placement is that of a refusal at capacity.
	place.ConnectionRefused: "full",
}

// callEndpoint sends the request to the chosen endpoint and reads the answer.
func (g *Gateway) callEndpoint(ctx context.Context, r *request, t *target, silence *silenceTimer) attemptResult {
	stream, err := g.open(ctx, r, t, func() httpcall.RawRequest { return g.encodeAttempt(r, t) })
	defer t.stopWatch()
	defer t.endSend()
	if !t.throughPeer.Load() {
		g.recordConnection(t, stream, err)
	}
	if err != nil {
		res := g.classifyFailure(ctx, err)
		if t.throughPeer.Load() {
			return res
		}
		return g.judgeEnding(r, t, res, err)
	}
	defer stream.Close()
	if !t.throughPeer.Load() {
		g.recordArrival(t.choice.Endpoint, stream.Reused)
	}
	return g.readAnswer(ctx, r, t, stream, silence)
}

// encodeAttempt returns the request as its endpoint is to read it now.
func (g *Gateway) encodeAttempt(r *request, t *target) httpcall.RawRequest {
	a := Attempt{
		Endpoint:    t.choice.Endpoint,
		Remaining:   r.deadline.Sub(steady.Now()),
		LastEventID: r.lastEventID,
	}
	if r.workspace != nil {
		a.Workspace = r.workspace.Name
	}
	if t.request.OnEngine {
		a.Engine = true
		a.Salt = t.request.Salt(t.choice.Version)
		a.Version = t.choice.Version
		a.Urgency = urgency(r)
		a.FetchFrom = t.choice.FetchFrom
		a.SaveTo = t.choice.SaveTo
	}
	body := r.exchange.Request.Body()
	return httpcall.RawRequest{
		Head:           g.platform.Wire.RequestHead(&r.exchange.Request.Header, a, len(body)),
		Body:           body,
		Fresh:          needsFreshConnection(r),
		Idempotent:     r.route.Idempotent(),
		NoResponseBody: r.exchange.Request.Header.IsHead(),
	}
}

// needsFreshConnection reports whether an attempt must not use a pooled connection: a copy of the answer to an earlier attempt
// at the same address has the same id, and would pass for that to this one.
func needsFreshConnection(r *request) bool {
	return r.attempts > 1 && !r.route.Idempotent()
}

// classifyFailure returns the result of a call that failed with err before a complete answer was read.
func (g *Gateway) classifyFailure(ctx context.Context, err error) attemptResult {
	res := attemptResult{outcome: place.Broken, err: err, notRun: httpcall.NeverWritten(err)}
	switch {
	case res.notRun:
		res.outcome = place.Unreachable
	case errors.Is(err, errNoAnswerMemory):
		// The endpoint and the request are not at fault.
		res.outcome = place.Neutral
	case isMalformed(err):
		res.outcome = place.Malformed
	}
	if cause := context.Cause(ctx); cause != nil {
		res.err = cause
		res.outcome = place.TimedOut
		if errors.Is(cause, ingress.ErrCallerDisconnected) || errors.Is(cause, context.Canceled) {
			res.outcome = place.Neutral
		}
	}
	return res
}

// isMalformed reports whether an endpoint answered with something that is not a whole answer, or that has no end.
func isMalformed(err error) bool {
	var broken *httpcall.ResponseError
	return errors.As(err, &broken) || errors.Is(err, fasthttp.ErrBodyTooLarge)
}

// errMismatchedAnswer means that an endpoint's answer is unsigned or belongs to another request.
var errMismatchedAnswer = errors.New("gateway: the answer does not belong to the request")

// readAnswer checks that an answer belongs to the request and forwards it, or keeps it for a failed request.
func (g *Gateway) readAnswer(
	ctx context.Context, r *request, t *target, stream *httpcall.Stream, silence *silenceTimer,
) attemptResult {
	header := &stream.Response.Header
	answer := g.platform.Wire.ReadAnswer(header)
	status := header.StatusCode()
	success := status >= 200 && status < 300
	t.rollout.success = success
	anonymous := answer.ID == ""
	foreign := !anonymous && answer.ID != r.call.ID
	if foreign || anonymous && (success || stream.Reused) || success && !answer.Signed {
		return attemptResult{outcome: place.Malformed, err: errMismatchedAnswer}
	}
	t.limit = answer.Limit
	g.metrics.count("answers_limit_" + answer.Limit.Kind.String() + "_total")
	g.applyAnswerHeaders(t, answer)
	if answer.NotRun {
		return g.handleEndpointRefusal(ctx, t, stream, answer)
	}
	if promisesNotRun(status) && !r.route.Idempotent() {
		return attemptResult{outcome: place.Failed, err: errUnprovenRefusal}
	}
	if success && r.route.Kind == traffic.Streaming && isEventStream(header) {
		return g.forwardEvents(ctx, r, t, stream, silence)
	}
	silence.stop()
	g.recordFirstByte(r, t)
	resp, size, err := g.bufferAnswer(stream)
	defer g.answerMemory.release(size)
	if err != nil {
		return g.classifyFailure(ctx, err)
	}
	failed := status >= fasthttp.StatusInternalServerError
	if failed && r.route.Idempotent() {
		// Another endpoint may succeed; this answer is kept in case none does.
		r.endpointFailure = resp
	}
	if r.streamStarted || failed && r.route.Idempotent() {
		return attemptResult{outcome: place.Failed, err: errEndpointStatus}
	}
	r.exchange.Respond(resp)
	outcome := place.Answered
	if failed {
		outcome = place.Failed
	}
	g.recordAnswered(r, status)
	return attemptResult{outcome: outcome, callerAnswered: true}
}

// errUnprovenRefusal means that an endpoint answered with a status that promises callers that the request was not run, but did
// not say so itself.
var errUnprovenRefusal = errors.New("gateway: the endpoint refused the request without saying that it did not run it")

// promisesNotRun reports whether a status tells callers that a request was not run and may be sent again.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests,
		fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// errEndpointStatus means that an endpoint answered with a server error.
var errEndpointStatus = errors.New("gateway: the endpoint answered with a failure")

func isEventStream(h *fasthttp.ResponseHeader) bool {
	return strings.HasPrefix(string(h.ContentType()), "text/event-stream")
}

// applyAnswerHeaders records the weight version, the rate limit, the departure and the requested pause that an
// endpoint's answer states.
func (g *Gateway) applyAnswerHeaders(t *target, answer Answer) {
	now := steady.Now()
	e := t.choice.Endpoint
	g.mu.Lock()
	defer g.mu.Unlock()
	if answer.Version > 0 && t.request.OnEngine {
		g.placer.RecordVersion(e, t.request.Model, answer.Version)
	}
	g.applyLimit(t, answer, now)
	g.applyBrittle(t, answer, now)
	g.applyDeparture(e, answer, now)
}

// handleEndpointRefusal returns the result of an attempt that the endpoint states it did not run.
func (g *Gateway) handleEndpointRefusal(ctx context.Context, t *target, stream *httpcall.Stream, answer Answer) attemptResult {
	_, size, err := g.bufferAnswer(stream)
	defer g.answerMemory.release(size)
	var broken *httpcall.ResponseError
	switch {
	case errors.As(err, &broken) && !broken.Cut:
		// An endpoint that breaks the protocol in its refusal is not believed.
		return g.classifyFailure(ctx, err)
	case err != nil:
		// The refusal is valid without its body; the connection is closed with the stream.
		g.metrics.count("refusals_truncated_total")
	}
	if answer.Misdirected {
		g.mu.Lock()
		defer g.mu.Unlock()
		if answer.Instance != "" && answer.Instance != t.choice.Endpoint.ID {
			g.endpoints.MarkMisdirected(t.choice.Endpoint.ID, t.choice.Endpoint.StartTimeMs)
		} else {
			g.placer.MarkVersionUncertain(t.choice.Endpoint, steady.Now())
		}
		return attemptResult{outcome: place.Neutral, notRun: true, err: errMisdirected}
	}
	return attemptResult{outcome: place.Full, notRun: true, err: errEndpointRefused}
}

var (
	// errMisdirected means that another endpoint answered, or one with other weights.
	errMisdirected = errors.New("gateway: the endpoint is not the expected one")
	// errEndpointRefused means that the endpoint refused the request without running it.
	errEndpointRefused = errors.New("gateway: the endpoint refused the request")
)

// recordFirstByte records the time to the first byte of an answer.
func (g *Gateway) recordFirstByte(r *request, t *target) {
	now := steady.Now()
	t.firstTokenAt = now
	g.metrics.observe("first_byte", now.Sub(r.arrived))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.RecordFirstToken(r.id, now)
	g.observeFirstToken(r, t, now, false)
	g.recordRolloutFirstToken(r, t, now)
}

// recordAnswered counts and logs a request that ended with an endpoint's answer.
func (g *Gateway) recordAnswered(r *request, status int) {
	g.metrics.count("answers_total")
	g.metrics.observe("answer", steady.Since(r.arrived))
	g.logRequestEnd(r, "answered", status, "")
}
