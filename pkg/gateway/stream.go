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

const (
	// readBytes is the size of one read from an endpoint's stream.
	readBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// eventEnd is the blank line that ends an event.
var eventEnd = []byte("\n\n")

// errCutEvent means that a stream ended within an event.
var errCutEvent = errors.New("gateway: the stream ended within an event")

// pump passes the events of a stream on as they arrive. Only whole events reach the caller, so that another endpoint
// can go on after the last one.
func (g *Gateway) pump(
	ctx context.Context, r *request, t *target, stream *httpcall.Stream, silence *silenceLimit,
) result {
	buf := make([]byte, 0, readBytes)
	chunk := make([]byte, readBytes)
	for {
		n, err := stream.Read(chunk)
		buf = append(buf, chunk[:n]...)
		if end := bytes.LastIndex(buf, eventEnd); end >= 0 {
			silence.event()
			if sendErr := g.sendEvents(r, t, stream, buf[:end+len(eventEnd)]); sendErr != nil {
				// The caller cannot be reached, so nothing can be answered.
				r.x.Abort()
				return result{outcome: place.Neutral, err: sendErr, done: true}
			}
			buf = append(buf[:0], buf[end+len(eventEnd):]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return g.endStream(r, stream, buf)
		case err != nil:
			return g.callFailed(ctx, err)
		case len(buf) > maxEventBytes:
			return result{outcome: place.Broken, err: fasthttp.ErrBodyTooLarge}
		}
	}
}

// sendEvents passes whole events on, after the header of the first endpoint's answer.
func (g *Gateway) sendEvents(r *request, t *target, stream *httpcall.Stream, events []byte) error {
	if !r.begun {
		header := &fasthttp.ResponseHeader{}
		g.platform.Wire.Forward(&stream.Response.Header, header)
		if err := r.x.Begin(header); err != nil {
			return err
		}
		r.begun = true
	}
	if !t.firstSeen {
		t.firstSeen = true
		g.firstByte(r)
	}
	for event := range bytes.SplitSeq(bytes.TrimSuffix(events, eventEnd), eventEnd) {
		g.noteEvent(r, t, event)
	}
	return r.x.Send(events)
}

// noteEvent remembers the id of an event and the weights that it names.
func (g *Gateway) noteEvent(r *request, t *target, event []byte) {
	r.events++
	if version := g.platform.Wire.EventVersion(event); version > 0 {
		g.learn(t, Answer{Version: version})
	}
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			r.lastEventID = string(bytes.TrimSpace(id))
		}
	}
}

// endStream ends a stream whose endpoint ended it as complete.
func (g *Gateway) endStream(r *request, stream *httpcall.Stream, rest []byte) result {
	if len(rest) > 0 {
		return result{outcome: place.Broken, err: errCutEvent}
	}
	if !r.begun {
		resp := &fasthttp.Response{}
		g.platform.Wire.Forward(&stream.Response.Header, &resp.Header)
		r.x.Respond(resp)
	} else {
		r.x.Finish()
	}
	g.answered(r, fasthttp.StatusOK)
	return result{outcome: place.Answered, done: true}
}
