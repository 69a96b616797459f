package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/httpcall"
	"github.com/corneldeal/corneldeal/pkg/place"
)

// streamReadBytes is the size of one read from an endpoint's stream.
const streamReadBytes = 4 << 10

// errTruncatedEvent means that a stream ended within an event.
var errTruncatedEvent = errors.New("gateway: the stream ended within an event")

// forwardEvents forwards the events of a stream as they arrive. Only complete events are sent to the caller, so that
// another endpoint can continue after the last one.
func (g *Gateway) forwardEvents(
	ctx context.Context, r *request, t *target, stream *httpcall.Stream, silence *silenceTimer,
) attemptResult {
	buffer := newEventBuffer(&g.answerMemory)
	defer buffer.release()
	chunk := make([]byte, streamReadBytes)
	for {
		n, err := stream.Read(chunk)
		complete, full := buffer.add(chunk[:n])
		if full != nil {
			return g.classifyFailure(ctx, full)
		}
		if complete > 0 {
			silence.eventReceived()
			g.recordProgress(t)
			if err := g.awaitOriginRecord(ctx, r, t); err != nil {
				return attemptResult{outcome: place.Neutral, err: err}
			}
			if sendErr := g.sendEvents(r, t, stream, buffer.data[:complete]); sendErr != nil {
				// The caller cannot be reached, so no answer is possible.
				r.exchange.Abort()
				return attemptResult{outcome: place.Neutral, err: sendErr, callerAnswered: true}
			}
			silence.eventsSent(r)
			buffer.drop(complete)
		}
		switch {
		case errors.Is(err, io.EOF):
			return g.finishStream(r, stream, buffer.data)
		case err != nil:
			return g.classifyFailure(ctx, err)
		}
	}
}

// recordProgress records that something arrived from the endpoint of an attempt.
func (g *Gateway) recordProgress(t *target) {
	if !t.throughPeer.Load() {
		g.recordArrival(t.choice.Endpoint, true)
	}
}

// sendEvents sends complete events to the caller, preceded by the header of the first endpoint's answer.
func (g *Gateway) sendEvents(r *request, t *target, stream *httpcall.Stream, events []byte) error {
	if !r.streamStarted {
		header := &fasthttp.ResponseHeader{}
		g.platform.Wire.CopyResponseHeaders(&stream.Response.Header, header)
		if err := r.exchange.Begin(header); err != nil {
			return err
		}
		r.streamStarted = true
	}
	if r.origin == nil {
		r.origin = originOf(t)
	}
	if t.events == 0 {
		g.recordFirstByte(r, t)
	}
	for event := range bytes.SplitSeq(bytes.TrimSuffix(events, eventSeparator), eventSeparator) {
		g.recordEvent(r, t, event)
	}
	return r.exchange.Send(events)
}

// recordEvent records the id of an event and the weight version it states.
func (g *Gateway) recordEvent(r *request, t *target, event []byte) {
	r.eventsSent++
	r.progress.AddEvent()
	t.events++
	if t.events == soundAnswerEvents {
		g.mu.Lock()
		g.clearPartsOf(r, g.now())
		g.mu.Unlock()
	}
	if version := g.platform.Wire.EventVersion(event); version > 0 {
		g.applyAnswerHeaders(t, Answer{Version: version})
	}
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			r.lastEventID = string(bytes.TrimSpace(id))
		}
	}
}

// finishStream ends a stream that the endpoint ended; rest is what followed the last complete event.
func (g *Gateway) finishStream(r *request, stream *httpcall.Stream, rest []byte) attemptResult {
	if len(rest) > 0 {
		return attemptResult{outcome: place.Broken, err: errTruncatedEvent}
	}
	if !r.streamStarted {
		resp := &fasthttp.Response{}
		g.platform.Wire.CopyResponseHeaders(&stream.Response.Header, &resp.Header)
		r.exchange.Respond(resp)
	} else {
		r.exchange.Finish()
	}
	g.recordAnswered(r, fasthttp.StatusOK)
	return attemptResult{outcome: place.Answered, callerAnswered: true}
}
