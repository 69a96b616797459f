package once

import (
	"slices"
	"time"
)

// ApplyResult describes the effect of one applied record.
type ApplyResult struct {
	// Undecided lists the nonces of the local requests of the record's key that must be decided again.
	Undecided []string
	// Err is set if the record could not be parsed. Every VM skips such a record.
	Err error
}

// Apply replays one record of a stream. Records of a stream are applied in offset order. A record that was applied
// before is ignored, so reads may overlap. Gaps are allowed, because the log drops expired records.
func (t *Table) Apply(stream string, offset int64, data []byte, now time.Time) ApplyResult {
	t.expire(now)
	if offset < t.nextOffset[stream] {
		return ApplyResult{}
	}
	t.nextOffset[stream] = offset + 1
	r, err := ParseRecord(stream, data)
	if err != nil {
		return ApplyResult{Err: err}
	}
	id := entryID{workspace: r.Workspace, key: r.Key}
	ms := millis(now)
	switch r.Kind {
	case KindIntent:
		t.applyIntent(id, t.intentOf(&r, offset, r.AcceptedMs), ms)
	case KindResult:
		t.applyResult(id, t.intentOf(&r, r.Offset, r.LoggedMs), &r, ms)
	case KindVoid:
		t.applyVoid(id, t.intentOf(&r, 0, 0), ms)
	case KindCarry:
		t.applyCarriedEntry(id, &r, ms)
	}
	return ApplyResult{Undecided: slices.Clone(t.undecided[id])}
}

// intentOf returns the intent that a record refers to.
func (t *Table) intentOf(r *Record, offset, loggedMs int64) intent {
	return intent{
		nonce:       r.Nonce,
		digest:      r.Digest,
		vm:          r.VM,
		incarnation: r.Incarnation,
		offset:      offset,
		acceptedMs:  r.AcceptedMs,
		windowEndMs: r.AcceptedMs + r.WindowMs,
		loggedMs:    loggedMs,
	}
}

// expired reports whether an item is no longer held at ms because its window, which ended at windowEndMs, and the
// margin have passed.
func (t *Table) expired(windowEndMs, ms int64) bool {
	return windowEndMs+t.settings.Margin.Milliseconds() < ms
}

// applyIntent adds an open intent to its entry unless it has expired, was voided or its key is finished.
func (t *Table) applyIntent(id entryID, in intent, ms int64) {
	t.confirmIntent(&in)
	if t.expired(in.windowEndMs, ms) {
		return
	}
	if h, ok := t.voids[in.nonce]; ok && h == in.holder() {
		t.reappendVoid(id, &in)
		return
	}
	e := t.entries[id]
	if e == nil {
		e = &entry{id: id}
		t.entries[id] = e
	}
	t.expireBefore(e, in.acceptedMs)
	if !e.finished() {
		t.addOpenIntent(e, in)
	}
	t.deleteIfEmpty(e)
}

// confirmIntent marks the intent of a local request as read back.
func (t *Table) confirmIntent(in *intent) {
	r := t.requests[in.nonce]
	if r == nil || in.holder() != t.holder(r) || r.readBack {
		return
	}
	r.readBack = true
	if r.state == StatusPending {
		r.record.Offset = in.offset
		delete(t.unconfirmed, r.nonce)
	}
}

// reappendVoid registers another void for a local intent of which a copy landed after the first void. The log may
// drop the first void before the copy, and a VM that starts then would treat the intent as open.
func (t *Table) reappendVoid(id entryID, in *intent) {
	local := in.vm == t.settings.VM && in.incarnation == t.settings.Incarnation
	if !local || t.requests[in.nonce] != nil {
		return
	}
	r := &request{
		id: id, nonce: in.nonce, digest: in.digest, acceptedMs: in.acceptedMs, windowMs: in.windowEndMs - in.acceptedMs,
	}
	r.finalDecision = refuse(errOutcomeUnknown())
	r.state = StatusAbandoned
	r.readBack = true
	r.record = t.newRecord(r, KindVoid)
	t.requests[r.nonce] = r
	t.unconfirmed[r.nonce] = r
}

// holder returns the holder of a local request.
func (t *Table) holder(r *request) Holder {
	return Holder{VM: t.settings.VM, Incarnation: t.settings.Incarnation, Nonce: r.nonce}
}

// addOpenIntent adds an open intent unless it is a copy or its window ended before a present intent was accepted.
func (t *Table) addOpenIntent(e *entry, in intent) {
	if i := e.intentIndex(in.nonce); i >= 0 {
		e.intents[i].loggedMs = max(e.intents[i].loggedMs, in.loggedMs)
		return
	}
	for i := range e.intents {
		if in.windowEndMs < e.intents[i].acceptedMs {
			return
		}
	}
	e.insert(in)
	t.expiries.add(expiry{atMs: in.windowEndMs + t.settings.Margin.Milliseconds(), kind: expiryEntry, id: e.id})
}

// applyVoid removes a void intent from its entry and records the void, so that a later copy of the intent is ignored.
func (t *Table) applyVoid(id entryID, in intent, ms int64) {
	if t.expired(in.windowEndMs, ms) {
		t.confirmVoid(&in)
		return
	}
	e := t.entries[id]
	if e != nil {
		i := e.intentIndex(in.nonce)
		if i >= 0 && (e.finished() || e.intents[i].holder() != in.holder()) {
			// A request that ran stays recorded, and only the holder may void an intent.
			return
		}
		if i >= 0 {
			e.remove(i)
		}
		t.deleteIfEmpty(e)
	}
	if _, ok := t.voids[in.nonce]; !ok {
		t.voids[in.nonce] = in.holder()
		t.expiries.add(expiry{atMs: in.windowEndMs + t.settings.Margin.Milliseconds(), kind: expiryVoid, nonce: in.nonce})
	}
	t.confirmVoid(&in)
}

// confirmVoid drops a local request whose void was read back.
func (t *Table) confirmVoid(in *intent) {
	r := t.requests[in.nonce]
	if r == nil || in.holder() != t.holder(r) || r.state != StatusAbandoned {
		return
	}
	delete(t.unconfirmed, r.nonce)
	delete(t.requests, r.nonce)
}

// applyResult finishes an entry. A result proves that its intent was the lowest non-void one when it was sent, so it
// counts even if earlier records of the key were not read.
func (t *Table) applyResult(id entryID, in intent, rec *Record, ms int64) {
	t.confirmResult(&in)
	if t.expired(in.windowEndMs, ms) {
		return
	}
	e := t.entries[id]
	if e == nil {
		e = &entry{id: id}
		t.entries[id] = e
	}
	t.expireBefore(e, in.acceptedMs)
	if e.finished() {
		if e.intents[0].nonce == in.nonce {
			e.intents[0].loggedMs = max(e.intents[0].loggedMs, in.loggedMs)
		}
		return
	}
	if e.intentIndex(in.nonce) < 0 && len(e.intents) > 0 && in.windowEndMs < e.intents[0].acceptedMs {
		return
	}
	t.finishEntry(e, in, rec.Result)
}

// finishEntry replaces the intents of an entry by the one that was sent and stores its result.
func (t *Table) finishEntry(e *entry, in intent, result *Result) {
	e.intents = append(e.intents[:0:0], in)
	e.result = result
	e.windowEndMs = in.windowEndMs
	t.expiries.add(expiry{atMs: in.windowEndMs + t.settings.Margin.Milliseconds(), kind: expiryEntry, id: e.id})
	t.responseBytes += int64(result.size())
	t.responseOrder = append(t.responseOrder, e.id)
	t.evictResponses()
}

// confirmResult stops appending the result of a local request once it was read back.
func (t *Table) confirmResult(in *intent) {
	r := t.requests[in.nonce]
	if r == nil || in.holder() != t.holder(r) || r.state != StatusDone {
		return
	}
	delete(t.unconfirmed, r.nonce)
	// The entry holds the result from now on.
	r.record.Result = nil
	t.expiries.add(expiry{atMs: in.windowEndMs + t.settings.Margin.Milliseconds(), kind: expiryRequest, nonce: r.nonce})
}

// applyCarriedEntry restores the intent and, if present, the result of a carried entry.
func (t *Table) applyCarriedEntry(id entryID, rec *Record, ms int64) {
	in := t.intentOf(rec, rec.Offset, rec.LoggedMs)
	if rec.Result != nil {
		t.applyResult(id, in, rec, ms)
		return
	}
	t.applyIntent(id, in, ms)
}

// expireBefore removes from an entry the intents and the result whose window ended before ms.
func (t *Table) expireBefore(e *entry, ms int64) {
	result := e.result
	e.expireBefore(ms)
	if result != nil && e.result == nil {
		t.responseBytes -= int64(result.size())
	}
}

// deleteIfEmpty removes an entry without intents.
func (t *Table) deleteIfEmpty(e *entry) {
	if len(e.intents) == 0 {
		delete(t.entries, e.id)
	}
}

// evictResponses truncates the oldest recorded responses until they take at most MaxResultBytes.
func (t *Table) evictResponses() {
	for len(t.responseOrder) > 0 {
		e := t.entries[t.responseOrder[0]]
		held := e != nil && e.finished() && !e.result.Truncated
		if held && t.responseBytes <= t.settings.MaxResultBytes {
			return
		}
		t.responseOrder = t.responseOrder[1:]
		if !held {
			continue
		}
		t.responseBytes -= int64(e.result.size())
		truncated := *e.result
		truncated.truncate()
		e.result = &truncated
	}
}

// expire removes the items whose window and margin have passed.
func (t *Table) expire(now time.Time) {
	ms := millis(now)
	for {
		d, ok := t.expiries.popBefore(ms)
		if !ok {
			return
		}
		switch d.kind {
		case expiryEntry:
			if e := t.entries[d.id]; e != nil {
				t.expireBefore(e, ms-t.settings.Margin.Milliseconds())
				t.deleteIfEmpty(e)
				t.evictResponses()
			}
		case expiryVoid:
			delete(t.voids, d.nonce)
		case expiryRequest:
			delete(t.requests, d.nonce)
		}
	}
}
