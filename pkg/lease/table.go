package lease

import (
	"encoding/json"
	"maps"
	"slices"
)

// Outcome is the result of applying a record.
type Outcome int

const (
	// Accepted means that the record changed the state.
	Accepted Outcome = iota
	// Ignored means that the record is void: it is late, a second claim of an epoch, or about an earlier epoch.
	Ignored
	// AlreadyApplied means that the offset was applied before.
	AlreadyApplied
	// Gap means that records before the offset are missing. Nothing was applied.
	Gap
	// Malformed means that the record cannot be decoded. Every VM skips it.
	Malformed
)

// State is the state of one resource according to the log.
type State struct {
	Resource string
	Epoch    int64
	Holder   Holder
	// Released reports whether no process holds the resource.
	Released bool
	// Fence is the offset of the claim of this epoch.
	Fence int64
	// Displaced lists the earlier holders that may still act because they have not read a later claim.
	Displaced []Displaced
	// Assumed reports whether records older than the oldest retained one may contradict the state. A renew record
	// confirms it.
	Assumed bool
	// Partial reports whether the state is assumed from a claim whose author did not know the state either.
	Partial bool
	// ConfirmedOffset is the offset of the newest record from which the state can be derived.
	ConfirmedOffset int64
	// Contested reports whether a VM that does not know the state has made a void claim. The holder must answer it with
	// a renew record and does not act meanwhile, since the claimant acts if it reads no renew record in time.
	Contested bool
	// contestedAt is the offset of the newest such claim.
	contestedAt int64
}

// Table holds the states of all resources, replayed in log order. It is not safe for concurrent use.
type Table struct {
	// replayedFrom is the offset of the first record that was replayed.
	replayedFrom int64
	next         int64
	states       map[string]*State
	// lastResource is the resource of the last applied record, or empty.
	lastResource string
}

// NewTable returns an empty table that expects the record at offset 0.
func NewTable() *Table {
	return &Table{states: map[string]*State{}}
}

// Reset removes all states and expects the record at offset start. It is used when the log no longer contains the next
// record.
func (t *Table) Reset(start int64) {
	t.replayedFrom = start
	t.next = start
	t.states = map[string]*State{}
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() int64 {
	return t.next
}

// State returns a copy of the state of a resource and reports whether the log has one.
func (t *Table) State(resource string) (State, bool) {
	s, ok := t.states[resource]
	if !ok {
		return State{}, false
	}
	return *s, true
}

// resources returns the names of all resources in the table, sorted.
func (t *Table) resources() []string {
	return slices.Sorted(maps.Keys(t.states))
}

// Apply applies the record at the offset.
func (t *Table) Apply(offset int64, data []byte) Outcome {
	if offset < t.next {
		return AlreadyApplied
	}
	if offset > t.next {
		return Gap
	}
	t.next++
	t.lastResource = ""
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Malformed
	}
	if r.Resource == "" || r.Epoch < 1 {
		return Malformed
	}
	t.lastResource = r.Resource
	switch r.Kind {
	case KindClaim:
		return t.applyClaim(offset, r)
	case KindRelease:
		return t.applyRelease(offset, r)
	case KindRenew:
		return t.applyRenew(offset, r)
	}
	return Malformed
}

// applyClaim applies a claim record.
func (t *Table) applyClaim(offset int64, r Record) Outcome {
	s, known := t.states[r.Resource]
	next := &State{
		Resource:        r.Resource,
		Epoch:           r.Epoch,
		Holder:          r.Holder,
		Fence:           offset,
		ConfirmedOffset: offset,
	}
	switch {
	case !known:
		if t.replayedFrom == 0 && !r.Partial && r.Epoch != 1 {
			return Ignored
		}
		next.Assumed = t.replayedFrom != 0 || r.Partial
		next.Partial = r.Partial
	case s.Assumed:
		// Of several claims whose authors do not know the state, the first wins.
		if r.Epoch <= s.Epoch || r.Partial && r.Read <= s.ConfirmedOffset {
			return Ignored
		}
		next.Assumed = true
		next.Partial = r.Partial
	case r.Epoch != s.Epoch+1:
		if r.Partial {
			s.Contested = true
			s.contestedAt = offset
		}
		return Ignored
	}
	if known {
		next.Displaced = displacedBy(s, r.Holder)
	}
	t.states[r.Resource] = next
	return Accepted
}

// displacedBy returns the holders that may still act when h claims a resource in state s.
func displacedBy(s *State, h Holder) []Displaced {
	var out []Displaced
	for _, d := range s.Displaced {
		if !h.replaces(d.Holder) {
			out = append(out, d)
		}
	}
	if !s.Released && !h.replaces(s.Holder) {
		out = append(out, Displaced{Holder: s.Holder, Epoch: s.Epoch})
	}
	return out
}

// applyRelease applies a release record, by the holder or by a displaced holder.
func (t *Table) applyRelease(offset int64, r Record) Outcome {
	s, known := t.states[r.Resource]
	if !known {
		t.states[r.Resource] = &State{
			Resource:        r.Resource,
			Epoch:           r.Epoch,
			Holder:          r.Holder,
			Released:        true,
			Assumed:         true,
			ConfirmedOffset: offset,
		}
		return Accepted
	}
	if r.Epoch == s.Epoch {
		if s.Released || !s.Holder.sameProcess(r.Holder) {
			return Ignored
		}
		s.Released = true
		s.ConfirmedOffset = offset
		return Accepted
	}
	// The epoch must match: a late copy of a release of an earlier epoch does not apply to a later one.
	left := slices.DeleteFunc(slices.Clone(s.Displaced), func(d Displaced) bool {
		return d.Epoch == r.Epoch && d.sameProcess(r.Holder)
	})
	if len(left) == len(s.Displaced) {
		return Ignored
	}
	s.Displaced = left
	return Accepted
}

// applyRenew applies a renew record.
func (t *Table) applyRenew(offset int64, r Record) Outcome {
	s, known := t.states[r.Resource]
	if !known || t.overrides(s, r) {
		t.states[r.Resource] = &State{
			Resource:        r.Resource,
			Epoch:           r.Epoch,
			Holder:          r.Holder,
			Released:        r.Released,
			Fence:           r.Fence,
			Displaced:       slices.Clone(r.Displaced),
			Assumed:         r.Read < t.replayedFrom,
			ConfirmedOffset: offset,
		}
		return Accepted
	}
	if r.Epoch != s.Epoch || !s.Holder.sameProcess(r.Holder) || s.Released && !r.Released {
		return Ignored
	}
	s.Released = r.Released
	if r.Active {
		s.Displaced = nil
	}
	s.ConfirmedOffset = offset
	// The claimant may ignore a renew record whose author had not read the claim.
	s.Contested = s.Contested && r.Read <= s.contestedAt
	return Accepted
}

// overrides reports whether a renew record replaces the state in the table: its author had read the newest record from
// which the table derives the state, and the state in the table is assumed or older. A late renew record fails the
// first condition.
func (t *Table) overrides(s *State, r Record) bool {
	if s.Partial {
		// The claim is void for every VM that knows the state, whether or not the author of the renew record had read
		// it.
		return r.Read >= t.replayedFrom
	}
	return r.Read > s.ConfirmedOffset && (s.Assumed || r.Epoch > s.Epoch)
}
