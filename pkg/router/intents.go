package router

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/corneldeal/corneldeal/pkg/logservice"
	"github.com/corneldeal/corneldeal/pkg/member"
	"github.com/corneldeal/corneldeal/pkg/once"
	"github.com/corneldeal/corneldeal/pkg/peer"
	"github.com/corneldeal/corneldeal/pkg/refusal"
)

const (
	// intentLongPoll is the long-poll time of an intent stream.
	intentLongPoll = time.Second
	// intentBatch is the maximum number of intent records per read.
	intentBatch = 1000
	// decisionInterval is the longest time until the next decision if no record wakes the request.
	decisionInterval = 100 * time.Millisecond
	// unconfirmedCheckInterval is the longest time between two checks for records that were not read back.
	unconfirmedCheckInterval = 250 * time.Millisecond
	// carryOverInterval is the time between two checks for entries to carry over.
	carryOverInterval = 10 * time.Second
	// intentAppendsPerSecond is the rate of appends that all VMs share. The log takes several hundred per second, and
	// leases and release notes need some of them.
	intentAppendsPerSecond = 300.0
	// intentStatusTimeout limits one status request to the holder of an intent.
	intentStatusTimeout = 500 * time.Millisecond
	// logDownAfter is the time without an answered read or append after which the log counts as down. It also counts as
	// down for this time after a failed append.
	logDownAfter = 2 * time.Second
)

// intentTable holds the at-most-once table, the batches to append and the requests to wake.
type intentTable struct {
	table *once.Table
	group *once.Batcher
	// wake holds, by nonce, the channel that wakes a waiting request.
	wake map[string]chan struct{}
}

func newIntentTable(vm, incarnation string) *intentTable {
	return &intentTable{
		table: once.NewTable(once.Settings{VM: vm, Incarnation: incarnation}),
		group: once.NewBatcher(once.BatcherSettings{}),
		wake:  map[string]chan struct{}{},
	}
}

// add queues records for appending. A record that does not fit is appended later as unconfirmed.
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

// followIntents applies one intent stream until the router stops.
func (r *Router) followIntents(stream string) {
	for r.ctx.Err() == nil {
		from := locked(&r.intents, func(t *intentTable) int64 { return t.table.NextOffset(stream) })
		page, err := r.logs.Read(r.ctx, stream, from, intentBatch, intentLongPoll)
		if err != nil {
			r.pause(retryPause)
			continue
		}
		r.recordLogAnswer()
		r.applyIntents(stream, page)
	}
}

// applyIntents applies one page of an intent stream and wakes the requests that it concerns.
func (r *Router) applyIntents(stream string, page logservice.Page) {
	now := time.Now()
	r.intents.do(func(t *intentTable) {
		for _, record := range page.Records {
			applied := t.table.Apply(stream, record.Offset, record.Data, now)
			if applied.Err != nil {
				r.warn(partOnce).Err(applied.Err).Str("stream", stream).Int64("offset", record.Offset).Msg("once: record skipped")
			}
			t.notify(applied.Undecided)
		}
	})
}

// appendIntents appends batches when they are due, until the router stops.
func (r *Router) appendIntents() {
	for r.ctx.Err() == nil {
		wait := r.appendDueBatches()
		select {
		case <-time.After(wait):
		case <-r.intentsAdded:
		case <-r.ctx.Done():
		}
	}
}

// appendDueBatches starts the appends that are due and returns the time until the next one.
func (r *Router) appendDueBatches() time.Duration {
	now := time.Now()
	wait := unconfirmedCheckInterval
	r.intents.do(func(t *intentTable) {
		t.add(t.table.Unconfirmed(now), now)
		for {
			batch, ok := t.group.TakeBatch(now)
			if !ok {
				break
			}
			r.spawn(func() { r.appendBatch(batch) })
		}
		if next, ok := t.group.NextDue(now); ok {
			wait = min(wait, max(next.Sub(now), time.Millisecond))
		}
	})
	return wait
}

// appendBatch appends one batch to its stream.
func (r *Router) appendBatch(batch once.Batch) {
	if err := r.appendToLog(batch.Stream, batch.Data); err != nil {
		r.debug(partOnce).Err(err).Str("stream", batch.Stream).Msg("once: append failed")
	}
	r.intents.do(func(t *intentTable) { t.group.Done(batch.Stream) })
	r.wakeAppender()
}

// wakeAppender wakes appendIntents.
func (r *Router) wakeAppender() {
	wake(r.intentsAdded)
}

// carryOverIntents sets this VM's share of the append rate and appends entries again before they expire.
func (r *Router) carryOverIntents() {
	now := time.Now()
	vms := 1 + locked(&r.members, func(t *member.Table) int { return len(t.Live(now)) })
	r.intents.do(func(t *intentTable) {
		t.group.SetRate(intentAppendsPerSecond/float64(vms), now)
		t.add(t.table.CarryOver(now), now)
	})
	r.wakeAppender()
}

// appendToLog appends records to a stream and records whether the log answered.
func (r *Router) appendToLog(stream string, data [][]byte) error {
	records := make([]json.RawMessage, 0, len(data))
	for _, d := range data {
		records = append(records, d)
	}
	count(metricAppends, 1)
	_, err := r.logs.Append(r.ctx, stream, records)
	if err != nil {
		count(metricAppendErrors, 1)
		r.lastAppendFailure.store(time.Now())
		return err
	}
	r.lastAppendFailure.clear()
	r.recordLogAnswer()
	return nil
}

// recordLogAnswer records that the log has answered now.
func (r *Router) recordLogAnswer() {
	r.lastLogAnswer.store(time.Now())
}

// logDown reports whether the log counts as down. Calls with an idempotency key are then refused at once.
func (r *Router) logDown() bool {
	now := time.Now()
	answered, ok := r.lastLogAnswer.age(now)
	if !ok || answered > logDownAfter {
		return true
	}
	failed, ok := r.lastAppendFailure.age(now)
	return ok && failed < logDownAfter
}

// queryHolder requests the status of an open intent from its holder and passes the reply to the table.
func (r *Router) queryHolder(ctx context.Context, nonce string, holder once.Holder) {
	status := r.holderStatus(ctx, holder)
	r.intents.do(func(t *intentTable) { t.table.RecordHolderStatus(nonce, holder, status) })
}

// holderStatus returns the holder's status of an intent, or once.StatusUnreachable if it did not answer.
func (r *Router) holderStatus(ctx context.Context, holder once.Holder) once.Status {
	if holder.VM == r.settings.VM {
		return locked(&r.intents, func(t *intentTable) once.Status { return t.table.Status(holder.Nonce, holder.Incarnation) })
	}
	address, ok := r.peerAddress(holder.VM)
	if !ok {
		return once.StatusUnreachable
	}
	ctx, cancel := context.WithTimeout(r.peers.Context(ctx), intentStatusTimeout)
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
	return intentStatusFromWire[resp.Status]
}

// intentStatusFromWire maps the status of the peer protocol to that of the table.
var intentStatusFromWire = map[peer.IntentStatusResponse_Status]once.Status{
	peer.IntentStatusResponse_UNKNOWN:   once.StatusUnknown,
	peer.IntentStatusResponse_PENDING:   once.StatusPending,
	peer.IntentStatusResponse_RUNNING:   once.StatusRunning,
	peer.IntentStatusResponse_ABANDONED: once.StatusAbandoned,
	peer.IntentStatusResponse_DONE:      once.StatusDone,
}

// intentStatusToWire returns the status in the peer protocol.
func intentStatusToWire(s once.Status) peer.IntentStatusResponse_Status {
	for wire, status := range intentStatusFromWire {
		if status == s {
			return wire
		}
	}
	return peer.IntentStatusResponse_UNKNOWN
}

// errCallerDisconnected is the cause of the cancellation of a request whose caller has disconnected.
var errCallerDisconnected = errors.New("the caller has disconnected")

// cancelRefusal returns the refusal for a request whose ctx has ended. The caller of cancelRefusal sets the run state.
func cancelRefusal(ctx context.Context) *refusal.Error {
	var ref *refusal.Error
	if errors.As(context.Cause(ctx), &ref) {
		copied := *ref
		return &copied
	}
	if errors.Is(context.Cause(ctx), errCallerDisconnected) {
		return refusal.New(statusClientClosedRequest, refusal.CodeDeadline, "the caller has disconnected")
	}
	return refusal.New(statusTimeout, refusal.CodeDeadline, "the deadline has passed").WithRetryAfter(time.Second)
}
