package once

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// Table holds the replayed entries of all keys and the local requests of one process. It is not safe for concurrent
// use.
type Table struct {
	settings Settings
	entries  map[entryID]*entry
	// voids holds the holders of void intents by nonce, so that a copy of a void intent that lands later is ignored.
	voids map[string]Holder
	// requests holds the local requests by nonce.
	requests map[string]*request
	// undecided holds the nonces of the undecided local requests by key.
	undecided map[entryID][]string
	// unconfirmed holds the local requests whose latest record was not read back yet.
	unconfirmed map[string]*request
	// nextOffset is the next offset to apply, by stream.
	nextOffset map[string]int64
	expiries   expiryHeap
	// responseOrder lists the finished entries in the order in which their results were read.
	responseOrder []entryID
	responseBytes int64
}

// request is a local request and the record that it must get into the log.
type request struct {
	id         entryID
	nonce      string
	digest     string
	acceptedMs int64
	// windowMs is the time for which repeats are recognised.
	windowMs int64
	state    Status
	// readBack is set once the intent was read from the log.
	readBack bool
	// finalDecision is the decision that ended an abandoned request.
	finalDecision Decision
	// record is appended until it is read back. It is the intent, its void or its result.
	record       Record
	appendedAtMs int64
	// askedNonce is the nonce of the intent whose holder was asked last. reply is the status it returned, valid if
	// hasReply is set.
	askedNonce string
	askedAtMs  int64
	hasReply   bool
	reply      Status
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	next := make(map[string]int64, StreamCount)
	for _, stream := range StreamNames() {
		next[stream] = 0
	}
	return &Table{
		settings:    s.withDefaults(),
		entries:     make(map[entryID]*entry),
		voids:       make(map[string]Holder),
		requests:    make(map[string]*request),
		undecided:   make(map[entryID][]string),
		unconfirmed: make(map[string]*request),
		nextOffset:  next,
	}
}

// Configure sets the log's retention and the window after a configuration change. Zero selects the default. Entries
// keep the window under which they were accepted.
func (t *Table) Configure(retention, window time.Duration) {
	t.settings.Retention = retention
	t.settings.Window = window
	t.settings = t.settings.withDefaults()
}

// NextOffset returns the offset of the next record to read from a stream.
func (t *Table) NextOffset(stream string) int64 {
	return t.nextOffset[stream]
}

// Len returns the number of entries.
func (t *Table) Len() int {
	return len(t.entries)
}

// Begin accepts a local request and returns its decision and the records to append. The decision is usually Wait
// until the records are read back. The nonce identifies the request in later calls.
func (t *Table) Begin(req Request, now time.Time) (Decision, []Record) {
	t.expire(now)
	if _, ok := t.requests[req.Nonce]; ok {
		return t.Decide(req.Nonce, now), nil
	}
	if req.Key == "" || len(req.Key) > MaxKeyBytes {
		return refuse(errKeyLength()), nil
	}
	id := entryID{workspace: req.Workspace, key: req.Key}
	if d, ok := t.decideWithoutIntent(id, req.Digest, now); ok {
		return d, nil
	}
	r := &request{id: id, nonce: req.Nonce, digest: req.Digest, acceptedMs: millis(now), state: StatusPending}
	r.windowMs = t.settings.window(r.id.key, r.acceptedMs).Milliseconds()
	r.record = t.newRecord(r, KindIntent)
	r.appendedAtMs = millis(now)
	t.requests[r.nonce] = r
	t.unconfirmed[r.nonce] = r
	t.undecided[id] = append(t.undecided[id], r.nonce)
	return Decision{Action: Wait}, []Record{r.record}
}

// decideWithoutIntent returns the decision on a request that can be answered or refused at once, without an intent in
// the log.
func (t *Table) decideWithoutIntent(id entryID, digest string, now time.Time) (Decision, bool) {
	ms := millis(now)
	e := t.entries[id]
	if e != nil && e.finished() && e.windowEndMs >= ms {
		return repeatDecision(e.result, e.intents[0].digest, digest), true
	}
	if keyMs, ok := t.settings.uuidV7Time(id.key, ms); ok && keyMs+t.settings.uuidV7Window().Milliseconds() < ms {
		return refuse(errKeyExpired(t.settings.uuidV7Window())), true
	}
	if e != nil && len(e.intents)+len(t.undecided[id]) >= t.settings.MaxWaiting {
		return refuse(errInProgress()), true
	}
	if e == nil && len(t.entries)+len(t.voids)+len(t.unconfirmed) >= t.settings.MaxEntries {
		return refuse(errTableFull()), true
	}
	return Decision{}, false
}

// repeatDecision returns the decision on a repeat of a finished request.
func repeatDecision(result *Result, recordedDigest, requestDigest string) Decision {
	switch {
	case recordedDigest != requestDigest:
		return refuse(errKeyReused())
	case result.Unknown:
		return refuse(errOutcomeUnknown())
	case result.Truncated:
		return refuse(errAnswerNotKept(result.Status))
	}
	return Decision{Action: Answer, Result: result}
}

// Decide returns the next step for a local request. Answer and Refuse end it. Send is returned once; MaySend must
// then be checked right before the first byte, and the request ends with Finish, or with AbandonUnsent if no byte was
// written.
func (t *Table) Decide(nonce string, now time.Time) Decision {
	r := t.requests[nonce]
	if r == nil {
		// The request has expired, so it is not known whether it ran.
		return refuse(errOutcomeUnknown())
	}
	switch r.state {
	case StatusAbandoned:
		return r.finalDecision
	case StatusPending:
		return t.decidePending(r, now)
	}
	return Decision{Action: Wait}
}

// decidePending returns the next step for a request that was neither sent nor abandoned.
func (t *Table) decidePending(r *request, now time.Time) Decision {
	ms := millis(now)
	e := t.entries[r.id]
	if e != nil && e.finished() && e.windowEndMs >= ms {
		return t.abandon(r, repeatDecision(e.result, e.intents[0].digest, r.digest))
	}
	// A request sent late could run twice: VMs may have expired the intents before it.
	late := ms-r.acceptedMs > t.settings.SendWithin.Milliseconds()
	if !r.readBack && !late {
		return Decision{Action: Wait}
	}
	if !r.readBack || e == nil || e.intentIndex(r.nonce) < 0 {
		return t.abandon(r, refuse(errIntentNotRecorded().WithRunState(t.runState(r))))
	}
	lowest := &e.intents[0]
	switch {
	case lowest.nonce != r.nonce:
		return t.decideBlocked(r, lowest, ms)
	case late:
		return t.abandon(r, refuse(errIntentNotRecorded()))
	}
	t.setState(r, StatusRunning)
	return Decision{Action: Send}
}

// decideBlocked returns the next step for a request whose key has an earlier open intent.
func (t *Table) decideBlocked(r *request, lowest *intent, ms int64) Decision {
	if lowest.digest != r.digest {
		return t.abandon(r, refuse(errKeyReused()))
	}
	if lowest.vm == t.settings.VM && lowest.incarnation != t.settings.Incarnation {
		return t.abandon(r, refuse(errOutcomeUnknown()))
	}
	if o := t.requests[lowest.nonce]; o != nil && o.state == StatusDone {
		return t.abandon(r, repeatDecision(o.record.Result, lowest.digest, r.digest))
	}
	if r.askedNonce != lowest.nonce || ms-r.askedAtMs >= t.settings.AskInterval.Milliseconds() {
		r.askedNonce = lowest.nonce
		r.askedAtMs = ms
		r.hasReply = false
		return Decision{Action: AskHolder, Holder: lowest.holder()}
	}
	if !r.hasReply {
		return Decision{Action: Wait}
	}
	switch r.reply {
	case StatusUnknown:
		return t.abandon(r, refuse(errOutcomeUnknown()))
	case StatusUnreachable:
		return t.abandon(r, refuse(errOutcomeUnknown().WithRetryAfter(retryAfterOutage)))
	}
	return Decision{Action: Wait}
}

// RecordHolderStatus records the status that a holder reported for its intent. Call Decide again afterwards. A reply
// about an intent that was not the last one asked for is ignored.
func (t *Table) RecordHolderStatus(nonce string, holder Holder, s Status) {
	r := t.requests[nonce]
	if r == nil || r.askedNonce != holder.Nonce {
		return
	}
	r.hasReply = true
	r.reply = s
}

// MaySend reports whether a request that Decide returned Send for may still be sent. It must be checked right before
// the first byte, so that a process that was paused in between does not send after the window. If it is false, call
// AbandonUnsent.
func (t *Table) MaySend(nonce string, now time.Time) bool {
	r := t.requests[nonce]
	return r != nil && r.state == StatusRunning && millis(now)-r.acceptedMs <= t.settings.SendWithin.Milliseconds()
}

// Status returns the state of an intent that this VM holds, for queries from other VMs.
func (t *Table) Status(nonce, incarnation string) Status {
	if incarnation != t.settings.Incarnation {
		return StatusUnknown
	}
	if r := t.requests[nonce]; r != nil {
		return r.state
	}
	if h, ok := t.voids[nonce]; ok && h.VM == t.settings.VM && h.Incarnation == incarnation {
		return StatusAbandoned
	}
	return StatusUnknown
}

// Finish records the result of a request that was sent and returns the record to append. Unconfirmed returns the
// record again until it is read back. Finish returns nil if Decide did not return Send for the request or the request
// has ended.
func (t *Table) Finish(nonce string, result Result, now time.Time) []Record {
	r := t.requests[nonce]
	if r == nil || r.state != StatusRunning {
		return nil
	}
	if result.size() > MaxResponseBytes {
		result.truncate()
	}
	offset := r.record.Offset
	t.setState(r, StatusDone)
	r.record = t.newRecord(r, KindResult)
	r.record.Offset = offset
	r.record.Result = &result
	r.record.LoggedMs = millis(now)
	return t.appendUntilReadBack(r, now)
}

// Abandon ends a request that was not sent, for example because its caller disconnected, and returns the records to
// append. The run state holds for the request's key as far as this VM has read the log. A request that was sent is
// not affected.
func (t *Table) Abandon(nonce string, now time.Time) ([]Record, refusal.RunState) {
	r := t.requests[nonce]
	if r == nil {
		return nil, refusal.Unknown
	}
	switch r.state {
	case StatusRunning:
		return nil, refusal.Unknown
	case StatusDone:
		return nil, refusal.Run
	}
	state := t.runState(r)
	t.abandon(r, refuse(errAbandoned().WithRunState(state)))
	return t.appendUntilReadBack(r, now), state
}

// AbandonUnsent abandons a request for which Decide returned Send but of which no byte was written, and returns the
// records to append. The request is never sent afterwards.
func (t *Table) AbandonUnsent(nonce string, now time.Time) []Record {
	r := t.requests[nonce]
	if r == nil || r.state != StatusRunning {
		return nil
	}
	t.abandon(r, refuse(errAbandoned()))
	return t.appendUntilReadBack(r, now)
}

// runState returns whether another intent with the same key and digest ran, as far as this VM has read the log.
func (t *Table) runState(r *request) refusal.RunState {
	e := t.entries[r.id]
	if e == nil {
		return refusal.NotRun
	}
	for i := range e.intents {
		in := &e.intents[i]
		switch {
		case in.nonce == r.nonce || in.digest != r.digest:
		case e.finished() && !e.result.Unknown:
			return refusal.Run
		default:
			return refusal.Unknown
		}
	}
	return refusal.NotRun
}

// Unconfirmed returns the records of local requests that were not read back within ReappendInterval and must be
// appended again. Repeated copies of a record have no effect.
func (t *Table) Unconfirmed(now time.Time) []Record {
	ms := millis(now)
	var due []*request
	for _, r := range t.unconfirmed {
		if ms-r.appendedAtMs >= t.settings.ReappendInterval.Milliseconds() {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, compareRequests)
	records := make([]Record, 0, len(due))
	for _, r := range due {
		r.appendedAtMs = ms
		records = append(records, r.record)
	}
	return records
}

// compareRequests orders requests by acceptance time, then by nonce.
func compareRequests(a, b *request) int {
	if a.acceptedMs != b.acceptedMs {
		return int(a.acceptedMs - b.acceptedMs)
	}
	if a.nonce < b.nonce {
		return -1
	}
	return 1
}

// abandon ends a request that is never sent with the decision and returns that decision. The void is appended until
// it is read back.
func (t *Table) abandon(r *request, d Decision) Decision {
	if r.state == StatusAbandoned {
		return r.finalDecision
	}
	r.finalDecision = d
	t.setState(r, StatusAbandoned)
	r.record = t.newRecord(r, KindVoid)
	r.appendedAtMs = 0
	t.unconfirmed[r.nonce] = r
	return d
}

// appendUntilReadBack returns the request's record for its first append and has Unconfirmed repeat it until it is
// read back.
func (t *Table) appendUntilReadBack(r *request, now time.Time) []Record {
	r.appendedAtMs = millis(now)
	t.unconfirmed[r.nonce] = r
	return []Record{r.record}
}

// setState changes the state of a request and removes it from undecided if it was pending.
func (t *Table) setState(r *request, s Status) {
	if r.state == StatusPending {
		remaining := slices.DeleteFunc(t.undecided[r.id], func(n string) bool { return n == r.nonce })
		if len(remaining) == 0 {
			delete(t.undecided, r.id)
		} else {
			t.undecided[r.id] = remaining
		}
	}
	r.state = s
}

// newRecord returns a record of the given kind for a local request.
func (t *Table) newRecord(r *request, kind Kind) Record {
	rec := Record{
		Kind:        kind,
		Stream:      StreamOf(r.id.workspace, r.id.key),
		Workspace:   r.id.workspace,
		Key:         r.id.key,
		VM:          t.settings.VM,
		Incarnation: t.settings.Incarnation,
		Nonce:       r.nonce,
		AcceptedMs:  r.acceptedMs,
		WindowMs:    r.windowMs,
	}
	if kind != KindVoid {
		rec.Digest = r.digest
	}
	return rec
}
