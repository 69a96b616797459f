package gateway

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/ingress"
	"github.com/corneldeal/corneldeal/pkg/place"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

// errTimeLimit cancels an attempt at the end of the request's time.
var errTimeLimit = errors.New("gateway: time limit reached")

// errPanic ends an attempt whose handling panicked.
var errPanic = errors.New("gateway: panic while the attempt was handled")

// result is the end of one attempt.
type result struct {
	outcome place.Outcome
	// notRun is the proof that the endpoint did not run the request.
	notRun bool
	// done is set once the caller has its final answer.
	done bool
	err  error
}

// attempt sends the request to one endpoint and passes its answer on.
func (g *Gateway) attempt(r *request, t *target) result {
	ctx, cancel := context.WithCancelCause(r.x.Context())
	defer cancel(nil)
	limit := time.AfterFunc(r.deadline.Sub(steady.Now()), func() { cancel(errTimeLimit) })
	defer limit.Stop()
	silence := g.limitSilence(r, t, cancel)
	defer silence.stop()

	started := steady.Now()
	// A panic leaves this result, so that the endpoint does not keep the request's load.
	res := result{outcome: place.Neutral, err: errPanic}
	defer func() { g.finish(r, t, res, started) }()
	res = g.exchange(ctx, r, t, silence)
	return res
}

// finish records the end of an attempt.
func (g *Gateway) finish(r *request, t *target, res result, started time.Time) {
	now := steady.Now()
	listAge := g.record(r, t, res, started, now)
	line := g.log.line(partRequest).Str("request", r.call.ID).Int("try", r.tries).
		Str("endpoint", t.choice.Endpoint.ID).Int64("config", r.version).Int64("weights", t.choice.Version).
		Int("running", t.choice.Running).Int("missing", t.choice.Missing).Int("candidates", t.choice.Candidates).
		Str("fetch_from", t.choice.FetchFrom).Dur("list_age_ms", listAge).
		Dur("expected_ms", t.choice.Expected).Dur("took_ms", now.Sub(started)).Str("outcome", outcomeNames[res.outcome]).
		Bool("not_run", res.notRun).Strs("fingerprints", hexOfAll(r.fingerprints))
	if res.err != nil {
		line.Err(res.err)
	}
	line.Msg("attempt ended")
	g.metrics.count("attempts_" + outcomeNames[res.outcome] + "_total")
}

// record takes the end of an attempt into the tables. It returns the age of the list of endpoints.
func (g *Gateway) record(r *request, t *target, res result, began, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.Done(r.id, res.outcome, now)
	g.noteCrash(r, t, res, began, now)
	return now.Sub(g.streams[EndpointStream].readAt)
}

var outcomeNames = map[place.Outcome]string{
	place.Answered:    "answered",
	place.Failed:      "failed",
	place.Broken:      "broken",
	place.Unreachable: "unreachable",
	place.Full:        "full",
	place.Neutral:     "neutral",
	place.Silent:      "silent",
}

// exchange sends the request and reads the answer.
func (g *Gateway) exchange(ctx context.Context, r *request, t *target, silence *silenceLimit) result {
	a := Attempt{
		Endpoint:    t.choice.Endpoint,
		Remaining:   r.deadline.Sub(steady.Now()),
		LastEventID: r.lastEventID,
	}
	if r.workspace != nil {
		a.Workspace = r.workspace.Name
	}
	if t.request.Engine {
		a.Engine = true
		a.Salt = t.request.Salt(t.choice.Version)
		a.Version = t.choice.Version
		a.Urgency = urgency(r)
		a.FetchFrom = t.choice.FetchFrom
		a.SaveTo = t.choice.SaveTo
	}
	body := r.x.Request.Body()
	stream, err := g.http.OpenRaw(ctx, t.choice.Endpoint.Address, httpcall.Raw{
		Head:           g.platform.Wire.Head(&r.x.Request.Header, a, len(body)),
		Body:           body,
		NoResponseBody: r.x.Request.Header.IsHead(),
	})
	if err != nil {
		return g.callFailed(ctx, err)
	}
	defer stream.Close()
	return g.readAnswer(ctx, r, t, stream, silence)
}

// callFailed classifies a call without a readable answer.
func (g *Gateway) callFailed(ctx context.Context, err error) result {
	res := result{outcome: place.Broken, err: err, notRun: httpcall.NeverWritten(err)}
	if res.notRun {
		res.outcome = place.Unreachable
	}
	if cause := context.Cause(ctx); cause != nil {
		res.err = cause
		res.outcome = place.Silent
		if errors.Is(cause, ingress.ErrCallerLeft) || errors.Is(cause, context.Canceled) {
			res.outcome = place.Neutral
		}
	}
	return res
}

// errBadAnswer means that an endpoint's answer is not the answer to this request.
var errBadAnswer = errors.New("gateway: the answer does not belong to the request")

func (g *Gateway) readAnswer(
	ctx context.Context, r *request, t *target, stream *httpcall.Stream, silence *silenceLimit,
) result {
	header := &stream.Response.Header
	answer := g.platform.Wire.ReadAnswer(header)
	status := header.StatusCode()
	success := status >= 200 && status < 300
	anonymous := answer.ID == ""
	foreign := !anonymous && answer.ID != r.call.ID
	if foreign || anonymous && (success || stream.Reused) || success && !answer.Signed {
		return result{outcome: place.Broken, err: errBadAnswer}
	}
	g.learn(t, answer)
	if answer.NotRun {
		return g.refusedByEndpoint(t, stream, answer)
	}
	if success && r.route.Kind == traffic.Streaming && isEventStream(header) {
		return g.pump(ctx, r, t, stream, silence)
	}
	silence.stop()
	g.firstByte(r)
	resp, size, err := g.buffer(stream)
	defer g.answers.release(size)
	if err != nil {
		return g.callFailed(ctx, err)
	}
	failed := status >= fasthttp.StatusInternalServerError
	if failed && r.route.Idempotent() {
		// Another endpoint may do better; the answer is kept in case none does.
		r.failure = resp
	}
	if r.begun || failed && r.route.Idempotent() {
		return result{outcome: place.Failed, err: errEndpointStatus}
	}
	r.x.Respond(resp)
	outcome := place.Answered
	if failed {
		outcome = place.Failed
	}
	g.answered(r, status)
	return result{outcome: outcome, done: true}
}

// errEndpointStatus means that an endpoint answered with a failure.
var errEndpointStatus = errors.New("gateway: the endpoint answered with a failure")

func isEventStream(h *fasthttp.ResponseHeader) bool {
	return strings.HasPrefix(string(h.ContentType()), "text/event-stream")
}

// learn takes what an answer says of its endpoint.
func (g *Gateway) learn(t *target, answer Answer) {
	now := steady.Now()
	e := t.choice.Endpoint
	g.mu.Lock()
	defer g.mu.Unlock()
	if answer.Version > 0 && t.request.Engine {
		g.placer.Version(e, t.request.Model, answer.Version)
	}
	if answer.Leaving && g.endpoints.Drain(e.ID, e.Born, now) {
		g.endpointLeft(e.ID, "said so in an answer", 0)
	}
	if answer.RetryAfter > 0 {
		g.placer.Wait(e, answer.RetryAfter, now)
		g.log.line(partEndpoint).Str("endpoint", e.ID).Dur("retry_after_ms", answer.RetryAfter).
			Msg("endpoint asked to wait")
	}
}

// refusedByEndpoint handles the endpoint's statement that it did not run the request.
func (g *Gateway) refusedByEndpoint(t *target, stream *httpcall.Stream, answer Answer) result {
	_, size, err := g.buffer(stream)
	defer g.answers.release(size)
	if err != nil {
		// The refusal stands; the connection is closed with the stream.
		g.metrics.count("refusals_truncated_total")
	}
	if answer.Misdirected {
		g.mu.Lock()
		defer g.mu.Unlock()
		if answer.Instance != "" && answer.Instance != t.choice.Endpoint.ID {
			g.endpoints.Misdirect(t.choice.Endpoint.ID, t.choice.Endpoint.Born)
		} else {
			g.placer.Doubt(t.choice.Endpoint, steady.Now())
		}
		return result{outcome: place.Neutral, notRun: true, err: errMisdirected}
	}
	return result{outcome: place.Full, notRun: true, err: errFull}
}

var (
	// errMisdirected means that another endpoint answered, or one with other weights.
	errMisdirected = errors.New("gateway: the endpoint is not the expected one")
	// errFull means that the endpoint refused the request without running it.
	errFull = errors.New("gateway: the endpoint refused the request")
)

// firstByte records the time to the first byte of an answer.
func (g *Gateway) firstByte(r *request) {
	now := steady.Now()
	g.metrics.observe("first_byte", now.Sub(r.arrived))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.FirstToken(r.id, now)
}

func (g *Gateway) answered(r *request, status int) {
	g.metrics.count("answers_total")
	g.metrics.observe("answer", steady.Since(r.arrived))
	g.logEnd(r, "answered", status, "")
}
