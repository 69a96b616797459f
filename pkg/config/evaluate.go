package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	// maxReasonBytes bounds a reason, because verdicts are kept in memory and in snapshots.
	maxReasonBytes = 400
	// maxConflicts bounds the items named in a verdict for the same reason.
	maxConflicts = 16
)

// evaluation decides on one note.
type evaluation struct {
	base      int64
	offset    int64
	withdrawn map[Ref]int64
	next      *State
	faults    []itemFault
}

// itemFault is a fault of one item, or of the note where the kind is empty.
type itemFault struct {
	ref  Ref
	text string
}

// evaluate applies a note to a copy of the state and collects everything that speaks against it.
func (r *Replay) evaluate(offset int64, note *ReleaseNote) *evaluation {
	e := &evaluation{base: note.Base, offset: offset, withdrawn: r.withdrawn, next: r.state.following()}
	e.header(r.state, note)
	if len(e.faults) > 0 {
		return e
	}
	s := e.next
	s.workspaces = merge(e, workspaceTraits, s.workspaces, note.Added.Workspaces, note.Changed.Workspaces, note.Withdrawn)
	s.keys = merge(e, keyTraits, s.keys, note.Added.Keys, note.Changed.Keys, note.Withdrawn)
	s.models = merge(e, modelTraits, s.models, note.Added.Models, note.Changed.Models, note.Withdrawn)
	s.routes = merge(e, routeTraits, s.routes, note.Added.Routes, note.Changed.Routes, note.Withdrawn)
	s.endpoints = merge(e, endpointTraits, s.endpoints, note.Added.Endpoints, note.Changed.Endpoints, note.Withdrawn)
	s.defaults = merge(e, defaultsTraits, s.defaults, single(note.Added.Defaults), single(note.Changed.Defaults), note.Withdrawn)
	if len(e.faults) == 0 {
		e.references(r.state, s)
	}
	return e
}

func single(d *Defaults) []Defaults {
	if d == nil {
		return nil
	}
	return []Defaults{*d}
}

// header checks the fields of the note itself.
func (e *evaluation) header(s *State, note *ReleaseNote) {
	c := &checker{}
	checkHeader(note, c)
	c.expect(note.Base < e.offset, "base", "an offset before the note's own offset %d, not %d", e.offset, note.Base)
	c.expect(note.Base >= s.OldestBase(), "base", "at least %d, since it is no longer known whether an older note was accepted before, not %d",
		s.OldestBase(), note.Base)
	for i := range note.Withdrawn {
		checkRef(&note.Withdrawn[i], c)
	}
	e.collect(Ref{}, c)
}

func (e *evaluation) fault(ref Ref, text string, args ...any) {
	e.faults = append(e.faults, itemFault{ref: ref, text: fmt.Sprintf(text, args...)})
}

func (e *evaluation) collect(ref Ref, c *checker) {
	for _, f := range c.faults {
		e.fault(ref, "%s: expected %s", f.field, f.want)
	}
}

// merge applies the changes of one kind and returns the new table.
func merge[T any](e *evaluation, tr traits[T], t *table[T], added, changed []T, withdrawn []Ref) *table[T] {
	var names []string
	for _, ref := range withdrawn {
		if ref.Kind == tr.kind {
			names = append(names, ref.Name)
		}
	}
	if len(added)+len(changed)+len(names) == 0 {
		return t
	}
	entries := maps.Clone(t.entries)
	touched := map[string]bool{}
	for i := range added {
		ref := e.touch(tr.kind, tr.name(&added[i]), touched)
		if t.has(ref.Name) {
			e.fault(ref, "added but exists since offset %d", t.entries[ref.Name].offset)
		}
		if at, ok := e.withdrawn[ref]; ok {
			e.moved(ref, at, "withdrawn")
		}
		put(e, tr, entries, ref, added[i])
	}
	for i := range changed {
		ref := e.touch(tr.kind, tr.name(&changed[i]), touched)
		e.existing(ref, lastChange(t, ref.Name))
		put(e, tr, entries, ref, changed[i])
	}
	for _, name := range names {
		ref := e.touch(tr.kind, name, touched)
		e.existing(ref, lastChange(t, name))
		delete(entries, name)
	}
	return newTable(entries)
}

// lastChange returns the offset of an item's last change, or -1 where it does not exist.
func lastChange[T any](t *table[T], name string) int64 {
	found, ok := t.entries[name]
	if !ok {
		return -1
	}
	return found.offset
}

// touch notes that the note lists an item; each item may be listed once.
func (e *evaluation) touch(kind Kind, name string, touched map[string]bool) Ref {
	ref := Ref{Kind: kind, Name: name}
	if touched[name] {
		e.fault(ref, "listed twice in the note")
	}
	touched[name] = true
	return ref
}

// existing expects an item that exists and was not changed after the base.
func (e *evaluation) existing(ref Ref, offset int64) {
	if offset >= 0 {
		e.moved(ref, offset, "changed")
		return
	}
	if at, ok := e.withdrawn[ref]; ok {
		e.fault(ref, "withdrawn at offset %d", at)
		return
	}
	e.fault(ref, "does not exist")
}

// moved expects that an item was not touched after the base.
func (e *evaluation) moved(ref Ref, offset int64, verb string) {
	if offset > e.base {
		e.fault(ref, "%s at offset %d, after base %d", verb, offset, e.base)
	}
}

func put[T any](e *evaluation, tr traits[T], entries map[string]*entry[T], ref Ref, item T) {
	c := &checker{}
	tr.check(&item, c)
	e.collect(ref, c)
	entries[ref.Name] = &entry[T]{item: item, full: tr.fill(item), offset: e.offset}
}

// refusal turns the faults into a verdict. Faults are sorted, because some were found in map order.
func (e *evaluation) refusal(id string, offset int64) Verdict {
	slices.SortFunc(e.faults, func(a, b itemFault) int {
		return strings.Compare(a.sortKey(), b.sortKey())
	})
	v := Verdict{ID: id, Offset: offset}
	if !validID(id) {
		v.ID = ""
	}
	for _, f := range e.faults {
		v.addReason(f.String())
		v.addConflict(f.ref)
	}
	return v
}

// addReason appends to the reason up to its limit.
func (v *Verdict) addReason(text string) {
	if len(v.Reason) >= maxReasonBytes {
		return
	}
	if v.Reason != "" {
		v.Reason += "; "
	}
	v.Reason += text
	if len(v.Reason) > maxReasonBytes {
		v.Reason = v.Reason[:maxReasonBytes-3] + "..."
	}
}

// addConflict names an item up to the limit. Names that no item can have would only fill the memory.
func (v *Verdict) addConflict(ref Ref) {
	if len(v.Conflicts) >= maxConflicts || !validRef(ref) || slices.Contains(v.Conflicts, ref) {
		return
	}
	v.Conflicts = append(v.Conflicts, ref)
}

func (f itemFault) sortKey() string {
	return string(f.ref.Kind) + "\x00" + f.ref.Name + "\x00" + f.text
}

// String implements fmt.Stringer.
func (f itemFault) String() string {
	if f.ref.Kind == "" {
		return f.text
	}
	return fmt.Sprintf("%s %s: %s", f.ref.Kind, quote(f.ref.Name), f.text)
}
