package once

import (
	"time"

	"github.com/zeebo/xxh3"
)

// maxCarryBatch is the largest number of records that one call of CarryOver returns, so that carrying entries over does
// not use up the appends that requests need.
const maxCarryBatch = 256

// CarryOver returns records to append that repeat entries which the log would otherwise drop before their window has
// passed. It should be called a few times a minute. Entries of UUIDv7 keys are not carried over, because their keys
// are refused before their records expire.
//
// Only the lowest intent of an open entry is carried over. A later intent that is old enough to be carried is never
// sent, and it must not reappear after the result of the lowest one has removed it.
//
// Every VM may carry over every entry. The time at which a VM does so is spread by VM and intent over a quarter of
// the retention, so that usually only the first VM appends a record and the others read it in time.
func (t *Table) CarryOver(now time.Time) []Record {
	t.expire(now)
	ms := millis(now)
	var records []Record
	for _, e := range t.entries {
		in := &e.intents[0]
		if !t.carryDue(e, in, ms) {
			continue
		}
		records = append(records, carryRecord(e, in, ms))
		// Before the next attempt, the record has time to be read back.
		in.nextCarryMs = ms + t.settings.Retention.Milliseconds()/16
		if len(records) == maxCarryBatch {
			break
		}
	}
	return records
}

// carryDue reports whether this VM must carry over the intent at ms.
func (t *Table) carryDue(e *entry, in *intent, ms int64) bool {
	retention := t.settings.Retention.Milliseconds()
	if in.windowEndMs+t.settings.Margin.Milliseconds() <= in.loggedMs+retention {
		return false
	}
	if _, ok := t.settings.uuidV7Time(e.id.key, in.acceptedMs); ok {
		return false
	}
	spread := int64(xxh3.HashString(t.settings.VM+"/"+in.nonce) % uint64(retention/4+1))
	return ms >= max(in.loggedMs+retention/2+spread, in.nextCarryMs)
}

// carryRecord returns the record that repeats an intent of an entry, with the result if the entry is finished.
func carryRecord(e *entry, in *intent, ms int64) Record {
	return Record{
		Kind:        KindCarry,
		Stream:      StreamOf(e.id.workspace, e.id.key),
		Workspace:   e.id.workspace,
		Key:         e.id.key,
		Digest:      in.digest,
		VM:          in.vm,
		Incarnation: in.incarnation,
		Nonce:       in.nonce,
		AcceptedMs:  in.acceptedMs,
		WindowMs:    in.windowEndMs - in.acceptedMs,
		Offset:      in.offset,
		Result:      e.result,
		LoggedMs:    ms,
	}
}
