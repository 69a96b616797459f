package once

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// Table holds the entries of all keys and the local requests of one process. It is not safe for concurrent use.
type Table struct {
	s       Settings
	entries map[entryID]*entry
	// voids holds the void intents, so that a copy of an intent that lands later does not count.
	voids map[string]Holder
	// own holds the local requests by nonce.
	own map[string]*request
	// waiting holds the nonces of the local requests of a key that are not decided.
	waiting map[entryID][]string
	// unconfirmed holds the local requests with a record that was not read back.
	unconfirmed map[string]*request
	next        map[string]int64
	deadlines   deadlines
	// answers lists the finished entries in the order in which their results were read.
	answers     []entryID
	answerBytes int64
}

// request is a local request.
type request struct {
	id     entryID
	nonce  string
	digest string
	atMs   int64
	// windowMs is the time for which repeats are recognised.
	windowMs int64
	state    Status
	// readBack tells that the intent was read from the log.
	readBack bool
	// final is the last decision of an abandoned request.
	final Decision
	// record is appended until it is read back: the intent, its void or its result.
	record     Record
	appendedMs int64
	// asked is the holder that was asked last, reply what it said.
	asked   string
	askedMs int64
	replied bool
	reply   Status
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	next := make(map[string]int64, Streams)
	for _, stream := range StreamNames() {
		next[stream] = 0
	}
	return &Table{
		s:           s.withDefaults(),
		entries:     make(map[entryID]*entry),
		voids:       make(map[string]Holder),
		own:         make(map[string]*request),
		waiting:     make(map[entryID][]string),
		unconfirmed: make(map[string]*request),
		next:        next,
	}
}

// Configure sets the log's retention and the window when the configuration changes. Zero means the default.
// Entries keep the window under which they were accepted.
func (t *Table) Configure(retention, window time.Duration) {
	t.s.Retention = retention
	t.s.Window = window
	t.s = t.s.withDefaults()
}

// Next returns the offset of a stream from which records are to be read.
func (t *Table) Next(stream string) int64 {
	return t.next[stream]
}

// Len returns the number of keys that are held.
func (t *Table) Len() int {
	return len(t.entries)
}

// Begin accepts a local request. The records are to be appended; the decision is rarely final before they are read
// back. The nonce names the request in all later calls.
func (t *Table) Begin(req Request, now time.Time) (Decision, []Record) {
	t.forget(now)
	if _, ok := t.own[req.Nonce]; ok {
		return t.Decide(req.Nonce, now), nil
	}
	if req.Key == "" || len(req.Key) > MaxKeyBytes {
		return refuse(errBadKey()), nil
	}
	id := entryID{workspace: req.Workspace, key: req.Key}
	if d, ok := t.atOnce(id, req.Digest, now); ok {
		return d, nil
	}
	r := &request{id: id, nonce: req.Nonce, digest: req.Digest, atMs: millis(now), state: StatusPending}
	r.windowMs = t.s.window(r.id.key, r.atMs).Milliseconds()
	r.record = t.record(r, KindIntent)
	r.appendedMs = millis(now)
	t.own[r.nonce] = r
	t.unconfirmed[r.nonce] = r
	t.waiting[id] = append(t.waiting[id], r.nonce)
	return Decision{Action: Wait}, []Record{r.record}
}

// atOnce decides a request that needs no intent.
func (t *Table) atOnce(id entryID, digest string, now time.Time) (Decision, bool) {
	ms := millis(now)
	e := t.entries[id]
	if e != nil && e.finished() && e.untilMs >= ms {
		return outcome(e.result, e.intents[0].digest, digest), true
	}
	if keyMs, ok := t.s.dated(id.key, ms); ok && keyMs+t.s.datedWindow().Milliseconds() < ms {
		return refuse(errKeyExpired(t.s.datedWindow())), true
	}
	if e != nil && len(e.intents)+len(t.waiting[id]) >= t.s.MaxWaiting {
		return refuse(errInProgress()), true
	}
	if e == nil && len(t.entries)+len(t.voids)+len(t.unconfirmed) >= t.s.MaxEntries {
		return refuse(errTableFull()), true
	}
	return Decision{}, false
}

// outcome decides a repeat of a finished request.
func outcome(result *Result, digest, asked string) Decision {
	switch {
	case digest != asked:
		return refuse(errKeyReused())
	case result.Unknown:
		return refuse(errOutcomeUnknown())
	case result.Truncated:
		return refuse(errAnswerNotKept(result.Status))
	}
	return Decision{Action: Answer, Result: result}
}

// Decide tells what to do next with a local request. Answer and Refuse end it; Send is returned once, after which
// MaySend is checked right before the first byte. The request ends with Finish, or with Unsent if no byte was written.
func (t *Table) Decide(nonce string, now time.Time) Decision {
	r := t.own[nonce]
	if r == nil {
		// Nothing is known of the request any more, so nothing may be claimed.
		return refuse(errOutcomeUnknown())
	}
	switch r.state {
	case StatusAbandoned:
		return r.final
	case StatusPending:
		return t.decidePending(r, now)
	}
	return Decision{Action: Wait}
}

func (t *Table) decidePending(r *request, now time.Time) Decision {
	ms := millis(now)
	e := t.entries[r.id]
	if e != nil && e.finished() && e.untilMs >= ms {
		return t.end(r, outcome(e.result, e.intents[0].digest, r.digest))
	}
	// A late send could meet VMs that forgot the intents before it.
	late := ms-r.atMs > t.s.SendWithin.Milliseconds()
	if !r.readBack && !late {
		return Decision{Action: Wait}
	}
	if !r.readBack || e == nil || e.index(r.nonce) < 0 {
		return t.end(r, refuse(errLogSlow().WithRunState(t.runState(r))))
	}
	lowest := &e.intents[0]
	switch {
	case lowest.nonce != r.nonce:
		return t.decideLater(r, lowest, ms)
	case late:
		return t.end(r, refuse(errLogSlow()))
	}
	t.setState(r, StatusRunning)
	return Decision{Action: Send}
}

// decideLater decides a request whose key has an earlier open intent.
func (t *Table) decideLater(r *request, lowest *intent, ms int64) Decision {
	if lowest.digest != r.digest {
		return t.end(r, refuse(errKeyReused()))
	}
	if lowest.vm == t.s.VM && lowest.incarnation != t.s.Incarnation {
		return t.end(r, refuse(errOutcomeUnknown()))
	}
	if o := t.own[lowest.nonce]; o != nil && o.state == StatusDone {
		return t.end(r, outcome(o.record.Result, lowest.digest, r.digest))
	}
	if r.asked != lowest.nonce || ms-r.askedMs >= t.s.AskEvery.Milliseconds() {
		r.asked = lowest.nonce
		r.askedMs = ms
		r.replied = false
		return Decision{Action: AskHolder, Holder: lowest.holder()}
	}
	if !r.replied {
		return Decision{Action: Wait}
	}
	switch r.reply {
	case StatusUnknown:
		return t.end(r, refuse(errOutcomeUnknown()))
	case StatusUnreachable:
		return t.end(r, refuse(errOutcomeUnknown().WithRetryAfter(retryHolder)))
	}
	return Decision{Action: Wait}
}

// HolderReply passes what a holder said about its intent. Decide again after it.
func (t *Table) HolderReply(nonce string, holder Holder, s Status) {
	r := t.own[nonce]
	if r == nil || r.asked != holder.Nonce {
		return
	}
	r.replied = true
	r.reply = s
}

// MaySend reports whether a request that Send handed out may still be sent. Check it right before the first byte, so
// that a process that was paused in between does not send after the window; give up with Unsent if it is false.
func (t *Table) MaySend(nonce string, now time.Time) bool {
	r := t.own[nonce]
	return r != nil && r.state == StatusRunning && millis(now)-r.atMs <= t.s.SendWithin.Milliseconds()
}

// Status returns what this VM knows about an intent that it holds, for replies to other VMs.
func (t *Table) Status(nonce, incarnation string) Status {
	if incarnation != t.s.Incarnation {
		return StatusUnknown
	}
	if r := t.own[nonce]; r != nil {
		return r.state
	}
	if h, ok := t.voids[nonce]; ok && h.VM == t.s.VM && h.Incarnation == incarnation {
		return StatusAbandoned
	}
	return StatusUnknown
}

// Finish records the outcome of a request that was sent. The record is to be appended; Unconfirmed repeats it until
// it is read back. It returns nothing for a request that was not handed out by Send.
func (t *Table) Finish(nonce string, result Result, now time.Time) []Record {
	r := t.own[nonce]
	if r == nil || r.state != StatusRunning {
		return nil
	}
	if result.size() > MaxBodyBytes {
		result.truncate()
	}
	offset := r.record.Offset
	t.setState(r, StatusDone)
	r.record = t.record(r, KindResult)
	r.record.Offset = offset
	r.record.Result = &result
	r.record.LoggedMs = millis(now)
	return t.appendUntilReadBack(r, now)
}

// Abandon gives up a request that was not sent, for example since its caller left. The records are to be appended.
// The run state is true for the request's key as far as this VM has read the log. A request that was sent goes on.
func (t *Table) Abandon(nonce string, now time.Time) ([]Record, refusal.RunState) {
	r := t.own[nonce]
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
	t.end(r, refuse(errGivenUp().WithRunState(state)))
	return t.appendUntilReadBack(r, now), state
}

// Unsent gives up a request that Send handed out and of which no byte was written. It is never sent afterwards.
func (t *Table) Unsent(nonce string, now time.Time) []Record {
	r := t.own[nonce]
	if r == nil || r.state != StatusRunning {
		return nil
	}
	t.end(r, refuse(errGivenUp()))
	return t.appendUntilReadBack(r, now)
}

// runState tells whether another intent of the same request ran.
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

// Unconfirmed returns the records of local requests that were not read back in time, to be appended again. A
// repeated record counts once.
func (t *Table) Unconfirmed(now time.Time) []Record {
	ms := millis(now)
	var due []*request
	for _, r := range t.unconfirmed {
		if ms-r.appendedMs >= t.s.RetryAppend.Milliseconds() {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, compareRequests)
	records := make([]Record, 0, len(due))
	for _, r := range due {
		r.appendedMs = ms
		records = append(records, r.record)
	}
	return records
}

func compareRequests(a, b *request) int {
	if a.atMs != b.atMs {
		return int(a.atMs - b.atMs)
	}
	if a.nonce < b.nonce {
		return -1
	}
	return 1
}

// end ends a request that is never sent. Its void is appended until it is read back.
func (t *Table) end(r *request, d Decision) Decision {
	if r.state == StatusAbandoned {
		return r.final
	}
	r.final = d
	t.setState(r, StatusAbandoned)
	r.record = t.record(r, KindVoid)
	r.appendedMs = 0
	t.unconfirmed[r.nonce] = r
	return d
}

func (t *Table) appendUntilReadBack(r *request, now time.Time) []Record {
	r.appendedMs = millis(now)
	t.unconfirmed[r.nonce] = r
	return []Record{r.record}
}

func (t *Table) setState(r *request, s Status) {
	if r.state == StatusPending {
		left := slices.DeleteFunc(t.waiting[r.id], func(n string) bool { return n == r.nonce })
		if len(left) == 0 {
			delete(t.waiting, r.id)
		} else {
			t.waiting[r.id] = left
		}
	}
	r.state = s
}

// record returns a record of a local request.
func (t *Table) record(r *request, kind Kind) Record {
	rec := Record{
		Kind:        kind,
		Stream:      StreamOf(r.id.workspace, r.id.key),
		Workspace:   r.id.workspace,
		Key:         r.id.key,
		VM:          t.s.VM,
		Incarnation: t.s.Incarnation,
		Nonce:       r.nonce,
		AtMs:        r.atMs,
		WindowMs:    r.windowMs,
	}
	if kind != KindVoid {
		rec.Digest = r.digest
	}
	return rec
}
