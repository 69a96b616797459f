package once

import (
	"time"

	"github.com/zeebo/xxh3"
)

// carryBatch is the largest number of records that one call of Carry returns, so that carrying over does not take
// the appends that requests need.
const carryBatch = 256

// Carry returns records that repeat entries which the log would drop before the window has passed. Call it a few
// times a minute. Entries of UUIDv7 keys are not carried over: their keys are refused before their records expire.
//
// Only the lowest intent of an open entry is carried over. A later one that is old enough for that is never sent, and
// it must not come back after the result of the lowest has removed it.
//
// Every VM may carry over every entry. The time at which a VM does so is spread by VM and intent over a quarter of
// the retention, so that mostly the first VM appends and the others see its record.
func (t *Table) Carry(now time.Time) []Record {
	t.forget(now)
	ms := millis(now)
	var records []Record
	for _, e := range t.entries {
		in := &e.intents[0]
		if !t.carryDue(e, in, ms) {
			continue
		}
		records = append(records, carried(e, in, ms))
		// The next try comes after the log had time to return the record.
		in.carryAfterMs = ms + t.s.Retention.Milliseconds()/16
		if len(records) == carryBatch {
			break
		}
	}
	return records
}

func (t *Table) carryDue(e *entry, in *intent, ms int64) bool {
	retention := t.s.Retention.Milliseconds()
	if in.untilMs+t.s.Margin.Milliseconds() <= in.loggedMs+retention {
		return false
	}
	if _, ok := t.s.dated(e.id.key, in.atMs); ok {
		return false
	}
	spread := int64(xxh3.HashString(t.s.VM+"/"+in.nonce) % uint64(retention/4+1))
	return ms >= max(in.loggedMs+retention/2+spread, in.carryAfterMs)
}

func carried(e *entry, in *intent, ms int64) Record {
	return Record{
		Kind:        KindCarry,
		Stream:      StreamOf(e.id.workspace, e.id.key),
		Workspace:   e.id.workspace,
		Key:         e.id.key,
		Digest:      in.digest,
		VM:          in.vm,
		Incarnation: in.incarnation,
		Nonce:       in.nonce,
		AtMs:        in.atMs,
		WindowMs:    in.untilMs - in.atMs,
		Offset:      in.offset,
		Result:      e.result,
		LoggedMs:    ms,
	}
}
