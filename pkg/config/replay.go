package config

import (
	"cmp"
	"errors"
	"slices"
)

const (
	// windowTicks is the number of ticks for which ids and withdrawals are remembered. A tick is a snapshot
	// record, appended every quarter of the retention, so the window spans at least the retention.
	windowTicks = 4
	// maxVerdicts bounds the id memory when snapshots fail to come or notes flood the log. It holds 14 hours
	// at the target of 14,000 changes a day.
	maxVerdicts = 8192
	// historyStates is the number of recent states kept to check snapshot records against. A snapshot is
	// usually appended within a few records of the state that it holds.
	historyStates = 32
)

// Replay applies the records of the config stream in order. It is safe for one goroutine; the states that
// it returns are safe for all.
type Replay struct {
	state   *State
	history []*State
	// ids maps a remembered id to its offset.
	ids map[string]int64
	// withdrawn maps a withdrawn item to the offset of its newest withdrawal.
	withdrawn map[Ref]int64
}

// NewReplay returns a replay before the first record.
func NewReplay() *Replay {
	r := &Replay{}
	r.adopt(emptyState())
	return r
}

// adopt makes s the current state and rebuilds what is derived from it.
func (r *Replay) adopt(s *State) {
	r.state = s
	r.history = []*State{s.bare()}
	r.ids = make(map[string]int64, len(s.verdicts))
	for _, v := range s.verdicts {
		r.ids[v.ID] = v.Offset
	}
	r.withdrawn = make(map[Ref]int64, len(s.withdrawals))
	for _, w := range s.withdrawals {
		r.withdrawn[w.Ref] = w.Offset
	}
}

// State returns the current state.
func (r *Replay) State() *State { return r.state }

// NextOffset returns the offset that Apply needs next.
func (r *Replay) NextOffset() int64 { return r.state.next }

// Snapshot returns the snapshot record of the current state, for the log and for peers.
func (r *Replay) Snapshot() []byte { return NewSnapshotRecord(r.state) }

// LastTick returns the offset of the newest snapshot record that counts as a tick, or -1. A VM appends a
// snapshot when it has seen no tick for a quarter of the retention, counted from its own start at the earliest.
func (r *Replay) LastTick() int64 { return r.state.lastTick() }

// Preview returns the verdict that a note would get as the next record. It changes nothing.
func (r *Replay) Preview(note *ReleaseNote) Verdict {
	if first, ok := r.Verdict(note.ID); ok {
		return first
	}
	offset := r.state.next
	evaluation := r.evaluate(offset, note)
	if len(evaluation.faults) > 0 {
		return evaluation.refusal(note.ID, offset)
	}
	return Verdict{ID: note.ID, Offset: offset, Accepted: true}
}

// Verdict returns the verdict on a note, as long as its id is remembered.
func (r *Replay) Verdict(id string) (Verdict, bool) {
	offset, ok := r.ids[id]
	if !ok {
		return Verdict{}, false
	}
	return r.state.verdictAt(offset)
}

// Apply applies one record and returns its verdict.
//
// An offset already applied changes nothing and returns the verdict given then, where it is remembered. An
// offset beyond NextOffset changes nothing and returns a *GapError. A snapshot record whose digest differs
// from the state held for its offset is applied and returns a *DigestError, after which the process must stop.
func (r *Replay) Apply(offset int64, data []byte) (Verdict, error) {
	if offset < r.state.next {
		return r.repeat(offset), nil
	}
	if offset > r.state.next {
		return Verdict{Offset: offset, Reason: "earlier records are missing"}, &GapError{Next: r.state.next, Offset: offset}
	}
	rec, reason := decodeRecord(data)
	if reason != "" {
		return r.refuse(Verdict{ID: recordID(data), Offset: offset, Reason: reason}), nil
	}
	if rec.Kind == recordSnapshot {
		return r.applySnapshot(offset, rec.Snapshot)
	}
	return r.applyNote(offset, rec.Note), nil
}

// repeat returns the verdict of an offset that was applied before.
func (r *Replay) repeat(offset int64) Verdict {
	if v, ok := r.state.verdictAt(offset); ok {
		return v
	}
	return Verdict{Offset: offset, Reason: "the record was applied before"}
}

// refuse advances over a record that changes no item. The verdict of an id seen before is returned instead.
func (r *Replay) refuse(v Verdict) Verdict {
	if first, ok := r.Verdict(v.ID); ok {
		r.advance(r.state.following())
		return first
	}
	next := r.state.following()
	r.remember(next, v)
	r.advance(next)
	return v
}

func (r *Replay) applyNote(offset int64, note *ReleaseNote) Verdict {
	if _, ok := r.ids[note.ID]; ok {
		return r.refuse(Verdict{ID: note.ID})
	}
	evaluation := r.evaluate(offset, note)
	if len(evaluation.faults) > 0 {
		return r.refuse(evaluation.refusal(note.ID, offset))
	}
	next := evaluation.next
	for _, ref := range note.Withdrawn {
		next.withdrawals = append(next.withdrawals, withdrawal{Ref: ref, Offset: offset})
		r.withdrawn[ref] = offset
	}
	v := Verdict{ID: note.ID, Offset: offset, Accepted: true}
	r.remember(next, v)
	r.advance(next)
	return v
}

// remember adds a verdict to the state that is being built.
func (r *Replay) remember(next *State, v Verdict) {
	if v.ID == "" {
		return
	}
	next.verdicts = append(next.verdicts, v)
	r.ids[v.ID] = v.Offset
}

// advance makes next the current state after it forgot what the window no longer covers.
func (r *Replay) advance(next *State) {
	r.forget(next)
	next.finish(r.state)
	r.state = next
	r.history = append(r.history, next.bare())
	if len(r.history) > historyStates {
		r.history = slices.Delete(r.history, 0, 1)
	}
}

// forget drops verdicts and withdrawals before the floor. The floor depends on the records only, so every
// VM forgets at the same offset. A note whose base is older than the floor is refused, which is why a late copy
// of a forgotten id cannot be accepted.
func (r *Replay) forget(next *State) {
	if extra := len(next.verdicts) - maxVerdicts; extra > 0 {
		next.floor = max(next.floor, next.verdicts[extra].Offset)
	}
	for len(next.verdicts) > 0 && next.verdicts[0].Offset < next.floor {
		delete(r.ids, next.verdicts[0].ID)
		next.verdicts = next.verdicts[1:]
	}
	for len(next.withdrawals) > 0 && next.withdrawals[0].Offset < next.floor {
		oldest := next.withdrawals[0]
		if r.withdrawn[oldest.Ref] == oldest.Offset {
			delete(r.withdrawn, oldest.Ref)
		}
		next.withdrawals = next.withdrawals[1:]
	}
}

// applySnapshot checks a snapshot record at its place in the log and counts it as a tick where it was taken
// after the last tick. Snapshots that several VMs append at the same time thus count once.
func (r *Replay) applySnapshot(offset int64, s *snapshot) (Verdict, error) {
	taken, err := s.open()
	if err != nil {
		var broken *SnapshotError
		errors.As(err, &broken)
		return r.refuse(Verdict{Offset: offset, Reason: broken.Reason}), nil
	}
	if taken.next > offset {
		return r.refuse(Verdict{Offset: offset, Reason: "the snapshot is from beyond its own offset"}), nil
	}
	mismatch := r.compare(taken)
	next := r.state.following()
	if taken.next > next.lastTick() {
		next.tick(offset)
	}
	r.advance(next)
	return Verdict{Offset: offset, Accepted: true}, mismatch
}

// compare checks another state against the own state for the same offset, where it is still held.
func (r *Replay) compare(other *State) error {
	for _, own := range r.history {
		if own.next != other.next || own.Digest() == other.Digest() {
			continue
		}
		return &DigestError{Next: own.next, Own: own.Digest(), Other: other.Digest()}
	}
	return nil
}

// Restore takes the state from a snapshot record of a peer or of the log, after checking its digest. An older
// state is ignored without error. It returns a *SnapshotError for a snapshot that cannot be used and a
// *DigestError where the own state for that offset is another one.
func (r *Replay) Restore(data []byte) error {
	taken, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	if taken.next <= r.state.next {
		return r.compare(taken)
	}
	r.adopt(taken)
	return nil
}

// NewestSnapshot returns the data of the newest usable snapshot among records that were read in order from
// the oldest kept one. Usable means that the records which follow its state are kept too. A VM whose log has lost
// its oldest records restores it and applies the records from NextOffset on.
func NewestSnapshot(records []Record) ([]byte, bool) {
	for _, rec := range slices.Backward(records) {
		taken, err := decodeSnapshot(rec.Data)
		if err != nil {
			continue
		}
		if taken.next >= records[0].Offset && taken.next <= rec.Offset {
			return rec.Data, true
		}
	}
	return nil, false
}

// bare returns a copy of s that shares the items but not the views computed from them. The history of 32 states at
// the size of the target held 29 MB with views, of the 64 MB that a node has.
func (s *State) bare() *State {
	b := *s
	b.workspaces = newTable(s.workspaces.entries)
	b.keys = newTable(s.keys.entries)
	b.models = newTable(s.models.entries)
	b.routes = newTable(s.routes.entries)
	b.endpoints = newTable(s.endpoints.entries)
	b.defaults = newTable(s.defaults.entries)
	b.finish(&State{})
	return &b
}

// following returns a copy of s that ends one record later.
func (s *State) following() *State {
	next := *s
	next.next++
	return &next
}

func (s *State) lastTick() int64 {
	if len(s.marks) == 0 {
		return -1
	}
	return s.marks[len(s.marks)-1]
}

// tick adds a mark and raises the floor to the mark that lies the window back.
func (s *State) tick(offset int64) {
	s.marks = append(slices.Clone(s.marks), offset)
	if len(s.marks) > windowTicks {
		s.marks = s.marks[len(s.marks)-windowTicks-1:]
		s.floor = max(s.floor, s.marks[0])
	}
}

// verdictAt returns the remembered verdict of an offset.
func (s *State) verdictAt(offset int64) (Verdict, bool) {
	i, ok := slices.BinarySearchFunc(s.verdicts, offset, func(v Verdict, o int64) int {
		return cmp.Compare(v.Offset, o)
	})
	if !ok {
		return Verdict{}, false
	}
	return s.verdicts[i], true
}
