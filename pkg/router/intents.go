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
