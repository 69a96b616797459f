package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/corneldeal/corneldeal/pkg/caller"
	"github.com/corneldeal/corneldeal/pkg/logservice"
	"github.com/corneldeal/corneldeal/pkg/member"
	"github.com/corneldeal/corneldeal/pkg/once"
	"github.com/corneldeal/corneldeal/pkg/peer"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/service"
)

const (
	// intentPoll is the long-poll time of an intent stream.
	intentPoll = time.Second
	// intentBatch is the number of intent records read at once.
	intentBatch = 1000
	// decideEvery bounds the time to the next decision when no record wakes the request.
	decideEvery = 100 * time.Millisecond
	// unconfirmedEvery is the time between two looks for records that were not read back.
	unconfirmedEvery = 250 * time.Millisecond
	// carryEvery is the time between two looks for entries to carry over.
	carryEvery = 10 * time.Second
	// intentAppends is the number of appends a second that all VMs share. The log takes several hundred, and
	// leases and release notes need some of them.
	intentAppends = 300.0
	// askTimeout bounds one question to the holder of an intent.
	askTimeout = 500 * time.Millisecond
	// logSilence is the time without an answered read or append after which the log counts as down.
	logSilence = 2 * time.Second
)

// intentTable is the at-most-once table with the batches to append and the requests to wake.
type intentTable struct {
	table *once.Table
	group *once.Group
	wake  map[string]chan struct{}
}

func newIntentTable(vm, incarnation string) *intentTable {
	return &intentTable{
		table: once.NewTable(once.Settings{VM: vm, Incarnation: incarnation}),
		group: once.NewGroup(once.GroupSettings{}),
		wake:  map[string]chan struct{}{},
	}
}

// add queues records; a record that does not fit is appended later as unconfirmed.
func (t *intentTable) add(records []once.Record, now time.Time) {
	for i := range records {
		t.group.Add(&records[i], now)
	}
}

// notify wakes the waiting requests.
func (t *intentTable) notify(nonces []string) {
	for _, nonce := range nonces {
		select {
		case t.wake[nonce] <- struct{}{}:
		default:
		}
	}
}

// followIntents applies one intent stream for as long as the router runs.
func (r *Router) followIntents(stream string) {
	for r.ctx.Err() == nil {
		from := read(&r.intents, func(t *intentTable) int64 { return t.table.Next(stream) })
		page, err := r.logs.Read(r.ctx, stream, from, intentBatch, intentPoll)
		if err != nil {
			r.pause(retryPause)
			continue
		}
		r.logAnswered()
		r.applyIntents(stream, page)
	}
}

func (r *Router) applyIntents(stream string, page logservice.Page) {
	now := time.Now()
	r.intents.do(func(t *intentTable) {
		for _, record := range page.Records {
			applied := t.table.Apply(stream, record.Offset, record.Data, now)
			if applied.Err != nil {
				r.warn(partOnce).Err(applied.Err).Str("stream", stream).Int64("offset", record.Offset).Msg("once: record skipped")
			}
			t.notify(applied.Wake)
		}
	})
}

// appendIntents appends batches as they fall due.
func (r *Router) appendIntents() {
	for r.ctx.Err() == nil {
		wait := r.appendDue()
		select {
		case <-time.After(wait):
		case <-r.intentsAdded:
		case <-r.ctx.Done():
		}
	}
}

// appendDue starts the appends that are due and returns the time until the next.
func (r *Router) appendDue() time.Duration {
	now := time.Now()
	wait := unconfirmedEvery
	r.intents.do(func(t *intentTable) {
		t.add(t.table.Unconfirmed(now), now)
		for {
			batch, ok := t.group.Due(now)
			if !ok {
				break
			}
			r.loop(func() { r.appendBatch(batch) })
		}
		if next, ok := t.group.Next(now); ok {
			wait = min(wait, max(next.Sub(now), time.Millisecond))
		}
	})
	return wait
}

func (r *Router) appendBatch(batch once.Batch) {
	if err := r.append(batch.Stream, batch.Data); err != nil {
		r.debug(partOnce).Err(err).Str("stream", batch.Stream).Msg("once: append failed")
	}
	r.intents.do(func(t *intentTable) { t.group.Done(batch.Stream) })
	r.wakeAppender()
}

func (r *Router) wakeAppender() {
	wake(r.intentsAdded)
}

// carryIntents appends entries again before they expire.
func (r *Router) carryIntents() {
	now := time.Now()
	vms := 1 + read(&r.members, func(t *member.Table) int { return len(t.Live(now)) })
	r.intents.do(func(t *intentTable) {
		t.group.SetRate(intentAppends/float64(vms), now)
		t.add(t.table.Carry(now), now)
	})
	r.wakeAppender()
}

// append appends records to a stream and keeps account of the log's answers.
func (r *Router) append(stream string, data [][]byte) error {
	records := make([]json.RawMessage, 0, len(data))
	for _, d := range data {
		records = append(records, d)
	}
	count(metricAppends, 1)
	_, err := r.logs.Append(r.ctx, stream, records)
	if err != nil {
		count(metricAppendErrors, 1)
		r.appendFailed.set(time.Now())
		return err
	}
	r.appendFailed.clear()
	r.logAnswered()
	return nil
}

func (r *Router) logAnswered() {
	r.logAnswer.set(time.Now())
}

// logDown tells whether keyed requests are refused at once.
func (r *Router) logDown() bool {
	now := time.Now()
	answered, ok := r.logAnswer.age(now)
	if !ok || answered > logSilence {
		return true
	}
	failed, ok := r.appendFailed.age(now)
	return ok && failed < logSilence
}

// requestDigest identifies method, target and body, so that a key cannot be used for two different requests.
func requestDigest(req caller.ServiceRequest) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Method), []byte(req.URI), req.Body} {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// runOnce runs a call with an idempotency key at most once over all VMs.
func (r *Router) runOnce(c *serviceCall) (service.Response, *refusal.Error) {
	if r.logDown() {
		ref := refusal.New(statusUnavailable, refusal.CodeLogDown, "the log is not available, so the call was not sent")
		return service.Response{}, ref.After(logSilence)
	}
	nonce := uuid.NewString()
	wake := make(chan struct{}, 1)
	var decision once.Decision
	r.intents.do(func(t *intentTable) {
		var records []once.Record
		now := time.Now()
		t.wake[nonce] = wake
		decision, records = t.table.Begin(once.Request{
			Workspace: c.workspace.Name,
			Key:       c.req.IdempotencyKey,
			Digest:    requestDigest(c.req),
			Nonce:     nonce,
		}, now)
		t.add(records, now)
	})
	defer r.intents.do(func(t *intentTable) { delete(t.wake, nonce) })
	r.wakeAppender()
	return r.followDecision(c, nonce, wake, decision)
}

func (r *Router) followDecision(c *serviceCall, nonce string, wake <-chan struct{}, d once.Decision) (service.Response, *refusal.Error) {
	for {
		switch d.Action {
		case once.Refuse:
			return service.Response{}, d.Refusal
		case once.Answer:
			return recordedAnswer(d.Result), nil
		case once.Send:
			return r.sendOnce(c, nonce)
		case once.AskHolder:
			r.askHolder(c.ctx, nonce, d.Holder)
		case once.Wait:
			select {
			case <-wake:
			case <-time.After(decideEvery):
			case <-c.ctx.Done():
				return service.Response{}, r.abandonIntent(c, nonce)
			}
		}
		d = read(&r.intents, func(t *intentTable) once.Decision { return t.table.Decide(nonce, time.Now()) })
	}
}

// abandonIntent gives up a call that was not sent. The run state covers other calls of the same key.
func (r *Router) abandonIntent(c *serviceCall, nonce string) *refusal.Error {
	state := refusal.NotRun
	r.intents.do(func(t *intentTable) {
		now := time.Now()
		var records []once.Record
		records, state = t.table.Abandon(nonce, now)
		t.add(records, now)
	})
	r.wakeAppender()
	return endCause(c.ctx).With(state)
}

// sendOnce sends the call and records the outcome. Once sent it is not cancelled: the outcome is recorded even
// when the caller's key was withdrawn or the caller's deadline has passed.
func (r *Router) sendOnce(c *serviceCall, nonce string) (service.Response, *refusal.Error) {
	type outcome struct {
		resp service.Response
		ref  *refusal.Error
	}
	done := make(chan outcome, 1)
	c.maySend = func() bool {
		return read(&r.intents, func(t *intentTable) bool { return t.table.MaySend(nonce, time.Now()) })
	}
	r.loop(func() {
		ctx, cancel := context.WithTimeout(r.ctx, c.timeout())
		defer cancel()
		resp, ref := r.callUnrepeatable(ctx, c)
		r.finishIntent(c, nonce, resp, ref)
		done <- outcome{resp, ref}
	})
	select {
	case out := <-done:
		return out.resp, out.ref
	case <-c.ctx.Done():
		return service.Response{}, endCause(c.ctx).With(refusal.Unknown)
	}
}

func (r *Router) finishIntent(c *serviceCall, nonce string, resp service.Response, ref *refusal.Error) {
	r.intents.do(func(t *intentTable) {
		now := time.Now()
		if ref != nil && ref.RunState == refusal.NotRun {
			t.add(t.table.Unsent(nonce, now), now)
			return
		}
		t.add(t.table.Finish(nonce, callResult(resp, ref), now), now)
		for waiting := range t.wake {
			t.notify([]string{waiting})
		}
	})
	r.wakeAppender()
	r.record(partOnce, "outcome recorded", c.id, "")
}

func callResult(resp service.Response, ref *refusal.Error) once.Result {
	if ref != nil {
		return once.Result{Unknown: true}
	}
	result := once.Result{Status: resp.Status, Body: resp.Body}
	for _, h := range resp.Headers {
		result.Headers = append(result.Headers, once.Header{Name: h.Name, Value: h.Value})
	}
	return result
}

func recordedAnswer(result *once.Result) service.Response {
	resp := service.Response{Status: result.Status, Body: result.Body}
	for _, h := range result.Headers {
		resp.Headers = append(resp.Headers, service.Header{Name: h.Name, Value: h.Value})
	}
	return resp
}

// askHolder asks the holder of an open intent what became of it.
func (r *Router) askHolder(ctx context.Context, nonce string, holder once.Holder) {
	status := r.holderStatus(ctx, holder)
	r.intents.do(func(t *intentTable) { t.table.HolderReply(nonce, holder, status) })
}

func (r *Router) holderStatus(ctx context.Context, holder once.Holder) once.Status {
	if holder.VM == r.settings.VM {
		return read(&r.intents, func(t *intentTable) once.Status { return t.table.Status(holder.Nonce, holder.Incarnation) })
	}
	address, ok := r.peerAddress(holder.VM)
	if !ok {
		return once.StatusUnreachable
	}
	ctx, cancel := context.WithTimeout(r.peers.Context(ctx), askTimeout)
	defer cancel()
	resp, err := r.peers.At(address).IntentStatus(ctx, &peer.IntentStatusRequest{
		Envelope:    r.envelope(),
		Nonce:       holder.Nonce,
		Incarnation: holder.Incarnation,
	})
	if err != nil {
		return once.StatusUnreachable
	}
	r.observeEnvelope(resp.Envelope)
	return intentStatuses[resp.Status]
}

// intentStatuses maps the peer protocol's status to the table's.
var intentStatuses = map[peer.IntentStatusResponse_Status]once.Status{
	peer.IntentStatusResponse_UNKNOWN:   once.StatusUnknown,
	peer.IntentStatusResponse_PENDING:   once.StatusPending,
	peer.IntentStatusResponse_RUNNING:   once.StatusRunning,
	peer.IntentStatusResponse_ABANDONED: once.StatusAbandoned,
	peer.IntentStatusResponse_DONE:      once.StatusDone,
}

func intentStatusOf(s once.Status) peer.IntentStatusResponse_Status {
	for wire, status := range intentStatuses {
		if status == s {
			return wire
		}
	}
	return peer.IntentStatusResponse_UNKNOWN
}

// errCallerGone ends a request whose caller has disconnected.
var errCallerGone = errors.New("the caller has disconnected")

// endCause returns the refusal that ended ctx. The caller sets the run state.
func endCause(ctx context.Context) *refusal.Error {
	var ref *refusal.Error
	if errors.As(context.Cause(ctx), &ref) {
		copied := *ref
		return &copied
	}
	if errors.Is(context.Cause(ctx), errCallerGone) {
		return refusal.New(statusClientClosed, refusal.CodeDeadline, "the caller has disconnected")
	}
	return refusal.New(statusTimeout, refusal.CodeDeadline, "the deadline has passed").After(time.Second)
}
