package once

import (
	"slices"
	"time"
)

// Applied is what one record changed.
type Applied struct {
	// Wake lists the local requests to decide again.
	Wake []string
	// Err tells that the record was not understood. It is skipped by every VM.
	Err error
}

// Apply replays one record of a stream. Records of a stream are applied in offset order; one that was applied
// before is ignored, so reads may overlap. A gap is allowed where the log dropped expired records.
func (t *Table) Apply(stream string, offset int64, data []byte, now time.Time) Applied {
	t.forget(now)
	if offset < t.next[stream] {
		return Applied{}
	}
	t.next[stream] = offset + 1
	r, err := ParseRecord(stream, data)
	if err != nil {
		return Applied{Err: err}
	}
	id := entryID{workspace: r.Workspace, key: r.Key}
	ms := millis(now)
	switch r.Kind {
	case KindIntent:
		t.applyIntent(id, t.intent(&r, offset, r.AtMs), ms)
	case KindResult:
		t.applyResult(id, t.intent(&r, r.Offset, r.LoggedMs), &r, ms)
	case KindVoid:
		t.applyVoid(id, t.intent(&r, 0, 0), ms)
	case KindCarry:
		t.applyCarry(id, &r, ms)
	}
	return Applied{Wake: slices.Clone(t.waiting[id])}
}

// intent returns the intent that a record is about.
func (t *Table) intent(r *Record, offset, loggedMs int64) intent {
	return intent{
		nonce:       r.Nonce,
		digest:      r.Digest,
		vm:          r.VM,
		incarnation: r.Incarnation,
		offset:      offset,
		atMs:        r.AtMs,
		untilMs:     r.AtMs + r.WindowMs,
		loggedMs:    loggedMs,
	}
}

// forgotten reports whether an item that was recognised until untilMs is no longer held.
func (t *Table) forgotten(untilMs, ms int64) bool {
	return untilMs+t.s.Margin.Milliseconds() < ms
}

func (t *Table) applyIntent(id entryID, in intent, ms int64) {
	t.confirmIntent(&in)
	if t.forgotten(in.untilMs, ms) {
		return
	}
	if h, ok := t.voids[in.nonce]; ok && h == in.holder() {
		t.voidAgain(id, &in)
		return
	}
	e := t.entries[id]
	if e == nil {
		e = &entry{id: id}
		t.entries[id] = e
	}
	t.expireBefore(e, in.atMs)
	if !e.finished() {
		t.insert(e, in)
	}
	t.dropEmpty(e)
}

// confirmIntent notes that the intent of a local request was read back.
func (t *Table) confirmIntent(in *intent) {
	r := t.own[in.nonce]
	if r == nil || in.holder() != t.holder(r) || r.readBack {
		return
	}
	r.readBack = true
	if r.state == StatusPending {
		r.record.Offset = in.offset
		delete(t.unconfirmed, r.nonce)
	}
}

// voidAgain repeats the void of a local intent of which a copy landed after it. The log may drop the void before the
// copy, and a VM that starts then would take the intent as open.
func (t *Table) voidAgain(id entryID, in *intent) {
	local := in.vm == t.s.VM && in.incarnation == t.s.Incarnation
	if !local || t.own[in.nonce] != nil {
		return
	}
	r := &request{id: id, nonce: in.nonce, digest: in.digest, atMs: in.atMs, windowMs: in.untilMs - in.atMs}
	r.final = refuse(errOutcomeUnknown())
	r.state = StatusAbandoned
	r.readBack = true
	r.record = t.record(r, KindVoid)
	t.own[r.nonce] = r
	t.unconfirmed[r.nonce] = r
}

func (t *Table) holder(r *request) Holder {
	return Holder{VM: t.s.VM, Incarnation: t.s.Incarnation, Nonce: r.nonce}
}

// insert adds an open intent unless it is a copy or older than the window of a present one.
func (t *Table) insert(e *entry, in intent) {
	if i := e.index(in.nonce); i >= 0 {
		e.intents[i].loggedMs = max(e.intents[i].loggedMs, in.loggedMs)
		return
	}
	for i := range e.intents {
		if in.untilMs < e.intents[i].atMs {
			return
		}
	}
	e.insert(in)
	t.deadlines.add(deadline{ms: in.untilMs + t.s.Margin.Milliseconds(), kind: deadlineEntry, id: e.id})
}

func (t *Table) applyVoid(id entryID, in intent, ms int64) {
	if t.forgotten(in.untilMs, ms) {
		t.confirmVoid(&in)
		return
	}
	e := t.entries[id]
	if e != nil {
		i := e.index(in.nonce)
		if i >= 0 && (e.finished() || e.intents[i].holder() != in.holder()) {
			// A request that ran stays recorded, and only the holder may void.
			return
		}
		if i >= 0 {
			e.remove(i)
		}
		t.dropEmpty(e)
	}
	if _, ok := t.voids[in.nonce]; !ok {
		t.voids[in.nonce] = in.holder()
		t.deadlines.add(deadline{ms: in.untilMs + t.s.Margin.Milliseconds(), kind: deadlineVoid, nonce: in.nonce})
	}
	t.confirmVoid(&in)
}

func (t *Table) confirmVoid(in *intent) {
	r := t.own[in.nonce]
	if r == nil || in.holder() != t.holder(r) || r.state != StatusAbandoned {
		return
	}
	delete(t.unconfirmed, r.nonce)
	delete(t.own, r.nonce)
}

// applyResult finishes an entry. A result proves that its intent was the lowest non-void one when it was sent, so it
// counts even if earlier records of the key were not read.
func (t *Table) applyResult(id entryID, in intent, rec *Record, ms int64) {
	t.confirmResult(&in)
	if t.forgotten(in.untilMs, ms) {
		return
	}
	e := t.entries[id]
	if e == nil {
		e = &entry{id: id}
		t.entries[id] = e
	}
	t.expireBefore(e, in.atMs)
	if e.finished() {
		if e.intents[0].nonce == in.nonce {
			e.intents[0].loggedMs = max(e.intents[0].loggedMs, in.loggedMs)
		}
		return
	}
	if e.index(in.nonce) < 0 && len(e.intents) > 0 && in.untilMs < e.intents[0].atMs {
		return
	}
	t.finish(e, in, rec.Result)
}

func (t *Table) finish(e *entry, in intent, result *Result) {
	e.intents = append(e.intents[:0:0], in)
	e.result = result
	e.untilMs = in.untilMs
	t.deadlines.add(deadline{ms: in.untilMs + t.s.Margin.Milliseconds(), kind: deadlineEntry, id: e.id})
	t.answerBytes += int64(result.size())
	t.answers = append(t.answers, e.id)
	t.limitAnswers()
}

func (t *Table) confirmResult(in *intent) {
	r := t.own[in.nonce]
	if r == nil || in.holder() != t.holder(r) || r.state != StatusDone {
		return
	}
	delete(t.unconfirmed, r.nonce)
	// The body lives on in the entry.
	r.record.Result = nil
	t.deadlines.add(deadline{ms: in.untilMs + t.s.Margin.Milliseconds(), kind: deadlineOwn, nonce: r.nonce})
}

func (t *Table) applyCarry(id entryID, rec *Record, ms int64) {
	in := t.intent(rec, rec.Offset, rec.LoggedMs)
	if rec.Result != nil {
		t.applyResult(id, in, rec, ms)
		return
	}
	t.applyIntent(id, in, ms)
}

// expireBefore removes from an entry what is no longer recognised at the given time.
func (t *Table) expireBefore(e *entry, ms int64) {
	result := e.result
	e.expireBefore(ms)
	if result != nil && e.result == nil {
		t.answerBytes -= int64(result.size())
	}
}

func (t *Table) dropEmpty(e *entry) {
	if len(e.intents) == 0 {
		delete(t.entries, e.id)
	}
}

// limitAnswers drops the oldest answers while they take more than MaxResultBytes.
func (t *Table) limitAnswers() {
	for len(t.answers) > 0 {
		e := t.entries[t.answers[0]]
		held := e != nil && e.finished() && !e.result.Truncated
		if held && t.answerBytes <= t.s.MaxResultBytes {
			return
		}
		t.answers = t.answers[1:]
		if !held {
			continue
		}
		t.answerBytes -= int64(e.result.size())
		short := *e.result
		short.truncate()
		e.result = &short
	}
}

// forget removes what the window and the margin have passed.
func (t *Table) forget(now time.Time) {
	ms := millis(now)
	for {
		d, ok := t.deadlines.due(ms)
		if !ok {
			return
		}
		switch d.kind {
		case deadlineEntry:
			if e := t.entries[d.id]; e != nil {
				t.expireBefore(e, ms-t.s.Margin.Milliseconds())
				t.dropEmpty(e)
				t.limitAnswers()
			}
		case deadlineVoid:
			delete(t.voids, d.nonce)
		case deadlineOwn:
			delete(t.own, d.nonce)
		}
	}
}
