package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/corneldeal/corneldeal/pkg/affinity"
	"github.com/corneldeal/corneldeal/pkg/failover"
	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/steady"
	"github.com/corneldeal/corneldeal/pkg/traffic"
)

const (
	// originExpiryMargin is added to the time for which a caller may take a stream up again.
	originExpiryMargin = 2 * time.Second
	// maxOriginWait is the time for which the first event of a stream waits for the record of its origin before another
	// endpoint may take the stream over.
	maxOriginWait = time.Second
	// maxNamingWait is the time for which the first event of a stream waits for a record that it can do without.
	maxNamingWait = 200 * time.Millisecond
	// maxOriginSearch is the time for which a stream that is taken up again waits, after a restore of the store, until the VM
	// that began it has named it, and originSearchInterval is the interval between two listings meanwhile.
	maxOriginSearch      = time.Second
	originSearchInterval = 100 * time.Millisecond
	// originUnknownRetryAfter is the Retry-After of a stream whose origin is not known since the store does not answer, or
	// since other VMs may not have named their streams yet.
	originUnknownRetryAfter = time.Second
)

// errOriginNotRecorded means that the store did not take the record of a stream's origin, so no event may be passed on.
var errOriginNotRecorded = errors.New("gateway: the origin of the stream is not recorded")

// errOriginNotNamed means that no record names a stream yet, although a VM that runs may have begun it.
var errOriginNotNamed = errors.New("gateway: no record names the stream yet")

// isResumable reports whether the request is for a stream that may go on at another endpoint.
func (r *request) isResumable() bool {
	return r.route.Kind == traffic.Streaming && r.route.Resumable
}

// streamAttempt returns the ID of the caller's attempt that brought, or will bring, the first event of the stream.
func (r *request) streamAttempt() string {
	if r.call.LastEventID != "" && r.call.Resumes != "" {
		return r.call.Resumes
	}
	return r.call.ID
}

// originOf returns the origin of a stream that begins at a target.
func originOf(t *target) *affinity.Origin {
	return &affinity.Origin{Service: t.service.Name, Software: t.choice.Endpoint.Software}
}

// mayGoOnAt reports whether the request may be sent to a service.
func (r *request) mayGoOnAt(service string) bool {
	return r.origin == nil || r.origin.Service == service
}

// originCandidates returns the endpoints to which the request may be sent: those of the version that began its stream, or,
// for a new stream while origins cannot be recorded, those whose streams need no record. The caller holds the lock.
func (g *Gateway) originCandidates(r *request, endpoints []*fleet.Endpoint) []*fleet.Endpoint {
	if r.isResumable() {
		endpoints = g.withoutEnded(endpoints)
	}
	if r.origin == nil && (!r.isResumable() || g.canRecordOrigins()) {
		return endpoints
	}
	var out []*fleet.Endpoint
	for _, e := range endpoints {
		allowed := r.origin == nil && (!g.origins.MustRecord(affinity.Origin{Service: e.Service, Software: e.Software}) ||
			g.beginsUntracked(e.Service))
		if allowed || r.origin != nil && e.Software == r.origin.Software {
			out = append(out, e)
		}
	}
	return out
}

// beginOrigin records that a resumable stream is sent to its target. The caller holds the lock.
func (g *Gateway) beginOrigin(r *request, t *target) {
	if !r.isResumable() {
		return
	}
	begun := affinity.Begun{ID: affinity.IDOf(r.streamAttempt()), Origin: *originOf(t), Unlimited: r.call.Timeout <= 0}
	// On a route to several services, the one that began a stream cannot be inferred.
	begun.Always = len(r.route.Targets) > 1
	begun.ExpiresAt = r.arrived.Add(r.call.Timeout + originExpiryMargin)
	if begun.Unlimited {
		begun.ExpiresAt = r.arrived.Add(affinity.UnlimitedTakeUp)
	}
	waits, needed := g.origins.Begin(begun, g.now())
	g.requestOriginWrite()
	if r.origin == nil && !g.beginsUntracked(t.service.Name) {
		t.originWaits, t.originNeeded = waits, needed
	}
}

// awaitOriginRecord waits until the store holds the record of a new stream's origin, or for maxNamingWait at most if the stream
// can do without. It fails at the end of the context, or from maxOriginWait on once another endpoint takes the stream over
// without a record.
func (g *Gateway) awaitOriginRecord(ctx context.Context, r *request, t *target) error {
	if !t.originWaits {
		return nil
	}
	id, wait := affinity.IDOf(r.streamAttempt()), maxOriginWait
	if !t.originNeeded {
		wait = maxNamingWait
	}
	check := time.NewTimer(wait)
	defer check.Stop()
	for {
		g.mu.Lock()
		durable, written := g.origins.IsDurable(id), g.originSync.written
		doesWithout := !t.originNeeded && !g.canRecordOrigins()
		g.mu.Unlock()
		if durable || doesWithout {
			t.originWaits = false
			return nil
		}
		select {
		case <-ctx.Done():
			g.metrics.count("stream_origins_not_recorded_total")
			return context.Cause(ctx)
		case <-written:
		case <-check.C:
			if !t.originNeeded {
				t.originWaits = false
				return nil
			}
			if g.mayBeginUnrecorded(r, t) {
				g.metrics.count("stream_origins_not_recorded_total")
				return errOriginNotRecorded
			}
			check.Reset(failover.RecheckInterval)
		}
	}
}

// mayBeginUnrecorded reports whether another endpoint may take over, without a record, a stream that waits for its record. It then
// reserves the retry. While records can be written, the other endpoint would only wait for the same write.
func (g *Gateway) mayBeginUnrecorded(r *request, t *target) bool {
	g.mu.Lock()
	records := g.canRecordOrigins()
	g.mu.Unlock()
	return !records && r.mayRunAgain() && g.reserveSuccessor(r, t, progressOf(r), 1, 1, steady.Now()) == ""
}

// lookUpOrigin finds out where a stream began that the caller takes up again. It returns a refusal if that is not known,
// since what two versions write must not be joined.
func (g *Gateway) lookUpOrigin(r *request) *refusal.Error {
	if r.call.LastEventID == "" || !r.isResumable() {
		return nil
	}
	origin, source, err := g.findOrigin(r)
	line := g.log.info(partRequest).Str("request", r.call.ID).Str("resumes", r.call.Resumes).Str("source", source).
		Str("service", origin.Service).Str("software", origin.Software)
	if err != nil {
		line.Err(err)
	}
	line.Msg("origin of a stream looked up")
	g.metrics.count("stream_origins_" + source + "_total")
	if source != originUnknown {
		r.origin = &origin
		return nil
	}
	refused := refusal.New(fasthttp.StatusServiceUnavailable, refusal.CodeOriginUnknown,
		"it is not known which software version began the stream")
	if err != nil {
		refused = refused.WithRetryAfter(originUnknownRetryAfter)
	}
	return refused
}

// Sources of a stream's origin, as logs and metrics show them.
const (
	originOwn     = "own"
	originListed  = "listed"
	originUnknown = "unknown"
)

// findOrigin returns the origin of the stream that a request takes up, and the source of that knowledge. The error is the
// reason for originUnknown, if another attempt may find it.
func (g *Gateway) findOrigin(r *request) (o affinity.Origin, source string, err error) {
	id := affinity.IDOf(r.call.Resumes)
	g.mu.Lock()
	o, known := g.origins.Own(id)
	g.mu.Unlock()
	if known {
		return o, originOwn, nil
	}
	services := r.route.TargetOrder(r.call.ID)
	if len(services) == 0 {
		return affinity.Origin{}, originUnknown, nil
	}
	searchUntil := r.arrived.Add(min(maxOriginSearch, r.deadline.Sub(r.arrived)/4))
	for listedAfter := r.arrived; ; listedAfter = g.now() {
		if err := g.refreshOrigins(listedAfter); err != nil {
			return affinity.Origin{}, originUnknown, err
		}
		o, known, soon := g.searchListedOrigin(r, id, services)
		if known {
			return o, originListed, nil
		}
		if !soon {
			return affinity.Origin{}, originUnknown, nil
		}
		if g.now().After(searchUntil) || !g.awaitChange(r, nil, originSearchInterval) {
			return affinity.Origin{}, originUnknown, errOriginNotNamed
		}
	}
}

// searchListedOrigin returns the origin of a stream by the records that were listed last. Soon is set if it is not known, but
// another VM may be about to name the stream.
func (g *Gateway) searchListedOrigin(r *request, id affinity.StreamID, services []string) (o affinity.Origin, known, soon bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.observeSoftware(services[0], now)
	if o, known = g.lookUpListedOrigin(r, id, services); known {
		return o, true, false
	}
	return affinity.Origin{}, false, r.call.Resumes != "" && g.origins.MayBeNamedSoon(services[0], now)
}

// lookUpListedOrigin returns the origin of a stream by the records that were listed last. The caller holds the lock.
func (g *Gateway) lookUpListedOrigin(r *request, id affinity.StreamID, services []string) (o affinity.Origin, known bool) {
	now := g.now()
	if r.call.Resumes == "" {
		o, known = g.origins.LookupAny(services[0], now)
	} else {
		o, known = g.origins.Lookup(id, services[0], r.call.Timeout <= 0, now)
	}
	return o, known && (len(services) == 1 || g.origins.IsNamed(id))
}
