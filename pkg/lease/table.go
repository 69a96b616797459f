package lease

import (
	"encoding/json"
	"maps"
	"slices"
)

// Outcome tells what applying a record did.
type Outcome int

const (
	// Accepted means that the record changed the state.
	Accepted Outcome = iota
	// Ignored means that the record is void: late, a second claim of an epoch, or about an earlier epoch.
	Ignored
	// Repeated means that the offset was applied before.
	Repeated
	// Gap means that records before the offset are missing. Nothing was applied.
	Gap
	// Malformed means that the record cannot be read. All VMs skip it.
	Malformed
)

// State is what the log says about one resource.
type State struct {
	Resource string
	Epoch    int64
	Holder   Holder
	// Released means that nobody holds the resource.
	Released bool
	// Fence is the offset of the claim of this epoch.
	Fence int64
	// Displaced are earlier holders that may still act because they have not read a later claim.
	Displaced []Displaced
	// Assumed means that records before the oldest kept one may contradict the state. A renew record settles it.
	Assumed bool
	// Partial means that the state is assumed after a claim whose author did not know the state either.
	Partial bool
	// Stated is the offset of the newest record from which the state can be told.
	Stated int64
	// Contested means that a void claim came from a VM that does not know the state. It calls for a renew record.
	// The holder does not act meanwhile, since the claimant acts if no renew record comes in time.
	Contested bool
	// contestedAt is the offset of the newest such claim.
	contestedAt int64
}

// Table is the state of all resources by log order.
type Table struct {
	// base is the offset from which the table was replayed.
	base   int64
	next   int64
	states map[string]*State
	// touched is the resource that the last applied record named, or empty.
	touched string
}

// NewTable returns a table that expects the record at offset 0.
func NewTable() *Table {
	return &Table{states: map[string]*State{}}
}

// Reset forgets all states and expects the record at offset start. It is used when the log no longer holds the
// next record.
func (t *Table) Reset(start int64) {
	t.base = start
	t.next = start
	t.states = map[string]*State{}
}

// Next returns the offset of the next record to apply.
func (t *Table) Next() int64 {
	return t.next
}

// State returns a copy of the state of a resource and whether the log says anything about it.
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
		return Repeated
	}
	if offset > t.next {
		return Gap
	}
	t.next++
	t.touched = ""
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Malformed
	}
	if r.Resource == "" || r.Epoch < 1 {
		return Malformed
	}
	t.touched = r.Resource
	switch r.Kind {
	case KindClaim:
		return t.claim(offset, r)
	case KindRelease:
		return t.release(offset, r)
	case KindRenew:
		return t.renew(offset, r)
	}
	return Malformed
}

func (t *Table) claim(offset int64, r Record) Outcome {
	s, known := t.states[r.Resource]
	next := &State{
		Resource: r.Resource,
		Epoch:    r.Epoch,
		Holder:   r.Holder,
		Fence:    offset,
		Stated:   offset,
	}
	switch {
	case !known:
		if t.base == 0 && !r.Partial && r.Epoch != 1 {
			return Ignored
		}
		next.Assumed = t.base != 0 || r.Partial
		next.Partial = r.Partial
	case s.Assumed:
		// Of several claims whose authors do not know the state, the first wins.
		if r.Epoch <= s.Epoch || r.Partial && r.Read <= s.Stated {
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

// displacedBy returns the holders that may still act when h claims after s.
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

func (t *Table) release(offset int64, r Record) Outcome {
	s, known := t.states[r.Resource]
	if !known {
		t.states[r.Resource] = &State{
			Resource: r.Resource,
			Epoch:    r.Epoch,
			Holder:   r.Holder,
			Released: true,
			Assumed:  true,
			Stated:   offset,
		}
		return Accepted
	}
	if r.Epoch == s.Epoch {
		if s.Released || !s.Holder.sameProcess(r.Holder) {
			return Ignored
		}
		s.Released = true
		s.Stated = offset
		return Accepted
	}
	// The epoch must match: a late copy of a release of an earlier epoch says nothing about a later one.
	left := slices.DeleteFunc(slices.Clone(s.Displaced), func(d Displaced) bool {
		return d.Epoch == r.Epoch && d.sameProcess(r.Holder)
	})
	if len(left) == len(s.Displaced) {
		return Ignored
	}
	s.Displaced = left
	return Accepted
}

func (t *Table) renew(offset int64, r Record) Outcome {
	s, known := t.states[r.Resource]
	if !known || t.corrects(s, r) {
		t.states[r.Resource] = &State{
			Resource:  r.Resource,
			Epoch:     r.Epoch,
			Holder:    r.Holder,
			Released:  r.Released,
			Fence:     r.Fence,
			Displaced: slices.Clone(r.Displaced),
			Assumed:   r.Read < t.base,
			Stated:    offset,
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
	s.Stated = offset
	// A renew record whose author had not read the claim may be void for the claimant.
	s.Contested = s.Contested && r.Read <= s.contestedAt
	return Accepted
}

// corrects reports whether the author of a renew record knew more than the table: it had read the newest record from
// which the table tells the state, and the table is not certain or behind. A late renew record fails the first test.
func (t *Table) corrects(s *State, r Record) bool {
	if s.Partial {
		// The claim is void for everyone who knows the state, whether or not the author had read it.
		return r.Read >= t.base
	}
	return r.Read > s.Stated && (s.Assumed || r.Epoch > s.Epoch)
}
