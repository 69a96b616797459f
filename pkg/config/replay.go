package config

import (
	"cmp"
	"errors"
	"slices"
)

const (
	// windowCheckpoints is the number of checkpoints for which ids and withdrawals are retained. A checkpoint is a
	// snapshot record. One is appended every quarter of the retention, so the window spans at least the retention.
	windowCheckpoints = 4
	// maxVerdicts limits the retained ids if no snapshots are appended or too many notes are published. It covers
	// 14 hours at the target of 14,000 changes a day.
	maxVerdicts = 8192
	// maxHistoryStates is the number of recent states that are kept to compare snapshot records with. A snapshot is
	// usually appended within a few records of the state that it holds.
	maxHistoryStates = 32
)

// Replay applies the records of the config stream in order. It is not safe for concurrent use; the states that it
// returns are.
type Replay struct {
	state   *State
	history []*State
	// ids maps each retained note id to the offset of its verdict.
	ids map[string]int64
	// withdrawn maps each withdrawn item to the offset of its newest withdrawal.
	withdrawn map[Ref]int64
}

// NewReplay returns a replay with the empty state before the first record.
func NewReplay() *Replay {
	r := &Replay{}
	r.setState(emptyState())
	return r
}

// setState makes s the current state and rebuilds the indexes and the history from it.
func (r *Replay) setState(s *State) {
	r.state = s
	r.history = []*State{s.withoutViews()}
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

// NextOffset returns the offset of the next record to apply.
func (r *Replay) NextOffset() int64 { return r.state.nextOffset }

// Snapshot returns the encoded snapshot record of the current state, for the log and for peers.
func (r *Replay) Snapshot() []byte { return NewSnapshotRecord(r.state) }

// LastCheckpoint returns the offset of the newest checkpoint, or -1 if there is none. A VM appends a snapshot when it has
// read no checkpoint for a quarter of the retention, counted from its own start at the earliest.
func (r *Replay) LastCheckpoint() int64 { return r.state.lastCheckpoint() }

// Preview returns the verdict that a note would get as the next record. It does not change the replay.
func (r *Replay) Preview(note *ReleaseNote) Verdict {
	if first, ok := r.Verdict(note.ID); ok {
		return first
	}
	offset := r.state.nextOffset
	evaluation := r.evaluate(offset, note)
	if len(evaluation.violations) > 0 {
		return evaluation.refusalVerdict(note.ID, offset)
	}
	return Verdict{ID: note.ID, Offset: offset, Accepted: true}
}

// Verdict returns the verdict on the note with the id. It returns false if the id is not retained.
func (r *Replay) Verdict(id string) (Verdict, bool) {
	offset, ok := r.ids[id]
	if !ok {
		return Verdict{}, false
	}
	return r.state.verdictAt(offset)
}

// Apply applies one record and returns its verdict.
//
// An offset that was already applied changes nothing and returns the earlier verdict if it is retained. An offset
// beyond NextOffset changes nothing and returns a *GapError. A snapshot record whose digest differs from the state
// held for its offset is applied and returns a *DigestError, after which the process must stop.
func (r *Replay) Apply(offset int64, data []byte) (Verdict, error) {
	if offset < r.state.nextOffset {
		return r.verdictOfApplied(offset), nil
	}
	if offset > r.state.nextOffset {
		return Verdict{Offset: offset, Reason: "earlier records are missing"}, &GapError{Next: r.state.nextOffset, Offset: offset}
	}
	rec, reason := decodeRecord(data)
	if reason != "" {
		return r.applyRefusal(Verdict{ID: malformedNoteID(data), Offset: offset, Reason: reason}), nil
	}
	if rec.Kind == recordSnapshot {
		return r.applySnapshot(offset, rec.Snapshot)
	}
	return r.applyNote(offset, rec.Note), nil
}

// verdictOfApplied returns the verdict of a record that was applied before.
func (r *Replay) verdictOfApplied(offset int64) Verdict {
	if v, ok := r.state.verdictAt(offset); ok {
		return v
	}
	return Verdict{Offset: offset, Reason: "the record was applied before"}
}

// applyRefusal advances past a record that changes no item and returns its verdict, or the first verdict if the id is
// retained.
func (r *Replay) applyRefusal(v Verdict) Verdict {
	if first, ok := r.Verdict(v.ID); ok {
		r.advance(r.state.successor())
		return first
	}
	next := r.state.successor()
	r.addVerdict(next, v)
	r.advance(next)
	return v
}

// applyNote applies a note and returns its verdict.
func (r *Replay) applyNote(offset int64, note *ReleaseNote) Verdict {
	if _, ok := r.ids[note.ID]; ok {
		return r.applyRefusal(Verdict{ID: note.ID})
	}
	evaluation := r.evaluate(offset, note)
	if len(evaluation.violations) > 0 {
		return r.applyRefusal(evaluation.refusalVerdict(note.ID, offset))
	}
	next := evaluation.nextState
	for _, ref := range note.Withdrawn {
		next.withdrawals = append(next.withdrawals, withdrawal{Ref: ref, Offset: offset})
		r.withdrawn[ref] = offset
	}
	v := Verdict{ID: note.ID, Offset: offset, Accepted: true}
	r.addVerdict(next, v)
	r.advance(next)
	return v
}

// addVerdict adds a verdict to the next state, unless its id is empty.
func (r *Replay) addVerdict(next *State, v Verdict) {
	if v.ID == "" {
		return
	}
	next.verdicts = append(next.verdicts, v)
	r.ids[v.ID] = v.Offset
}

// advance makes next the current state after dropping what the window no longer covers.
func (r *Replay) advance(next *State) {
	r.dropExpired(next)
	next.initDerived(r.state)
	r.state = next
	r.history = append(r.history, next.withoutViews())
	if len(r.history) > maxHistoryStates {
		r.history = slices.Delete(r.history, 0, 1)
	}
}

// dropExpired drops verdicts and withdrawals before oldestRetained, which depends only on the records, so every VM
// drops them at the same offset. A late copy of a note with a dropped id cannot be accepted, because its base is
// older than oldestRetained allows.
func (r *Replay) dropExpired(next *State) {
	if excess := len(next.verdicts) - maxVerdicts; excess > 0 {
		next.oldestRetained = max(next.oldestRetained, next.verdicts[excess].Offset)
	}
	for len(next.verdicts) > 0 && next.verdicts[0].Offset < next.oldestRetained {
		delete(r.ids, next.verdicts[0].ID)
		next.verdicts = next.verdicts[1:]
	}
	for len(next.withdrawals) > 0 && next.withdrawals[0].Offset < next.oldestRetained {
		oldest := next.withdrawals[0]
		if r.withdrawn[oldest.Ref] == oldest.Offset {
			delete(r.withdrawn, oldest.Ref)
		}
		next.withdrawals = next.withdrawals[1:]
	}
}

// applySnapshot compares a snapshot record with the local state. The record counts as a checkpoint if its state is
// newer than the last checkpoint, so snapshots that several VMs append at the same time count once.
func (r *Replay) applySnapshot(offset int64, s *snapshot) (Verdict, error) {
	taken, err := s.verifiedState()
	if err != nil {
		var broken *SnapshotError
		errors.As(err, &broken)
		return r.applyRefusal(Verdict{Offset: offset, Reason: broken.Reason}), nil
	}
	if taken.nextOffset > offset {
		return r.applyRefusal(Verdict{Offset: offset, Reason: "the snapshot is from beyond its own offset"}), nil
	}
	mismatch := r.compareDigest(taken)
	next := r.state.successor()
	if taken.nextOffset > next.lastCheckpoint() {
		next.addCheckpoint(offset)
	}
	r.advance(next)
	return Verdict{Offset: offset, Accepted: true}, mismatch
}

// compareDigest compares another state with the local state for the same offset, if that is still held. It returns a
// *DigestError if they differ.
func (r *Replay) compareDigest(other *State) error {
	for _, own := range r.history {
		if own.nextOffset != other.nextOffset || own.Digest() == other.Digest() {
			continue
		}
		return &DigestError{Next: own.nextOffset, Own: own.Digest(), Other: other.Digest()}
	}
	return nil
}

// Restore replaces the state by that of a snapshot record from a peer or the log, after checking its digest. A state
// that is not newer is ignored. Restore returns a *SnapshotError if the snapshot cannot be used and a *DigestError if
// the local state for its offset differs.
func (r *Replay) Restore(data []byte) error {
	taken, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	if taken.nextOffset <= r.state.nextOffset {
		return r.compareDigest(taken)
	}
	r.setState(taken)
	return nil
}

// NewestSnapshot returns the data of the newest usable snapshot among records that were read in order, starting with
// the oldest that the log holds. A snapshot is usable if the log also holds all records that follow its state. A VM
// whose log has lost its oldest records restores the snapshot and applies the records from NextOffset on.
func NewestSnapshot(records []Record) ([]byte, bool) {
	for _, rec := range slices.Backward(records) {
		taken, err := decodeSnapshot(rec.Data)
		if err != nil {
			continue
		}
		if taken.nextOffset >= records[0].Offset && taken.nextOffset <= rec.Offset {
			return rec.Data, true
		}
	}
	return nil, false
}

// withoutViews returns a copy of s that shares the items but not the views computed from them. With views, the
// history of 32 states took 29 MB at the target size, of the 64 MB that a node has.
func (s *State) withoutViews() *State {
	b := *s
	b.workspaces = newTable(s.workspaces.entries)
	b.keys = newTable(s.keys.entries)
	b.models = newTable(s.models.entries)
	b.routes = newTable(s.routes.entries)
	b.endpoints = newTable(s.endpoints.entries)
	b.defaults = newTable(s.defaults.entries)
	b.initDerived(&State{})
	return &b
}

// successor returns a copy of s whose next offset is one higher.
func (s *State) successor() *State {
	next := *s
	next.nextOffset++
	return &next
}

// lastCheckpoint returns the offset of the newest checkpoint, or -1.
func (s *State) lastCheckpoint() int64 {
	if len(s.checkpoints) == 0 {
		return -1
	}
	return s.checkpoints[len(s.checkpoints)-1]
}

// addCheckpoint adds a checkpoint and raises oldestRetained to the checkpoint at the start of the window.
func (s *State) addCheckpoint(offset int64) {
	s.checkpoints = append(slices.Clone(s.checkpoints), offset)
	if len(s.checkpoints) > windowCheckpoints {
		s.checkpoints = s.checkpoints[len(s.checkpoints)-windowCheckpoints-1:]
		s.oldestRetained = max(s.oldestRetained, s.checkpoints[0])
	}
}

// verdictAt returns the retained verdict of the record at an offset.
func (s *State) verdictAt(offset int64) (Verdict, bool) {
	i, ok := slices.BinarySearchFunc(s.verdicts, offset, func(v Verdict, o int64) int {
		return cmp.Compare(v.Offset, o)
	})
	if !ok {
		return Verdict{}, false
	}
	return s.verdicts[i], true
}
