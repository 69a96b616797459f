package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	// maxReasonBytes limits the reason of a verdict, because verdicts are kept in memory and in snapshots.
	maxReasonBytes = 400
	// maxConflicts limits the items listed in a verdict, because verdicts are kept in memory and in snapshots.
	maxConflicts = 16
)

// evaluation is the result of applying one note to a copy of the state.
type evaluation struct {
	base       int64
	offset     int64
	withdrawn  map[Ref]int64
	nextState  *State
	violations []itemViolation
}

// itemViolation is a reason to refuse a note. It concerns one item, or the note itself if the kind is empty.
type itemViolation struct {
	ref  Ref
	text string
}

// evaluate applies a note to a copy of the state and collects all violations.
func (r *Replay) evaluate(offset int64, note *ReleaseNote) *evaluation {
	e := &evaluation{base: note.Base, offset: offset, withdrawn: r.withdrawn, nextState: r.state.successor()}
	e.checkNote(r.state, note)
	if len(e.violations) > 0 {
		return e
	}
	s := e.nextState
	s.workspaces = applyChanges(e, workspaceTraits, s.workspaces, note.Added.Workspaces, note.Changed.Workspaces, note.Withdrawn)
	s.keys = applyChanges(e, keyTraits, s.keys, note.Added.Keys, note.Changed.Keys, note.Withdrawn)
	s.models = applyChanges(e, modelTraits, s.models, note.Added.Models, note.Changed.Models, note.Withdrawn)
	s.routes = applyChanges(e, routeTraits, s.routes, note.Added.Routes, note.Changed.Routes, note.Withdrawn)
	s.endpoints = applyChanges(e, endpointTraits, s.endpoints, note.Added.Endpoints, note.Changed.Endpoints, note.Withdrawn)
	s.defaults = applyChanges(e, defaultsTraits, s.defaults,
		defaultsList(note.Added.Defaults), defaultsList(note.Changed.Defaults), note.Withdrawn)
	if len(e.violations) == 0 {
		e.checkReferences(r.state, s)
	}
	return e
}

// defaultsList returns the optional defaults item as a list.
func defaultsList(d *Defaults) []Defaults {
	if d == nil {
		return nil
	}
	return []Defaults{*d}
}

// checkNote checks the note's own fields and its references to withdrawn items.
func (e *evaluation) checkNote(s *State, note *ReleaseNote) {
	c := &checker{}
	checkNoteFields(note, c)
	c.expect(note.Base < e.offset, "base", "an offset before the note's own offset %d, not %d", e.offset, note.Base)
	c.expect(note.Base >= s.OldestBase(), "base", "at least %d, since it is no longer known whether an older note was accepted before, not %d",
		s.OldestBase(), note.Base)
	for i := range note.Withdrawn {
		checkWithdrawnRef(&note.Withdrawn[i], c)
	}
	e.addFieldViolations(Ref{}, c)
}

// addViolation adds a violation of an item.
func (e *evaluation) addViolation(ref Ref, text string, args ...any) {
	e.violations = append(e.violations, itemViolation{ref: ref, text: fmt.Sprintf(text, args...)})
}

// addFieldViolations adds the violations that a checker collected for an item.
func (e *evaluation) addFieldViolations(ref Ref, c *checker) {
	for _, f := range c.violations {
		e.addViolation(ref, "%s: expected %s", f.field, f.expected)
	}
}

// applyChanges applies the changes of one kind and returns the new table.
func applyChanges[T any](
	e *evaluation, kindTraits traits[T], t *table[T], added, changed []T, withdrawn []Ref,
) *table[T] {
	var names []string
	for _, ref := range withdrawn {
		if ref.Kind == kindTraits.kind {
			names = append(names, ref.Name)
		}
	}
	if len(added)+len(changed)+len(names) == 0 {
		return t
	}
	entries := maps.Clone(t.entries)
	listed := map[string]bool{}
	for i := range added {
		ref := e.markListed(kindTraits.kind, kindTraits.name(&added[i]), listed)
		if t.has(ref.Name) {
			e.addViolation(ref, "added but exists since offset %d", t.entries[ref.Name].offset)
		}
		if at, ok := e.withdrawn[ref]; ok {
			e.expectUnchangedSinceBase(ref, at, "withdrawn")
		}
		putItem(e, kindTraits, entries, ref, added[i])
	}
	for i := range changed {
		ref := e.markListed(kindTraits.kind, kindTraits.name(&changed[i]), listed)
		e.expectExisting(ref, lastChange(t, ref.Name))
		putItem(e, kindTraits, entries, ref, changed[i])
	}
	for _, name := range names {
		ref := e.markListed(kindTraits.kind, name, listed)
		e.expectExisting(ref, lastChange(t, name))
		delete(entries, name)
	}
	return newTable(entries)
}

// lastChange returns the offset of an item's last change, or -1 if it does not exist.
func lastChange[T any](t *table[T], name string) int64 {
	found, ok := t.entries[name]
	if !ok {
		return -1
	}
	return found.offset
}

// markListed records that the note lists an item. An item that is listed twice is a violation.
func (e *evaluation) markListed(kind Kind, name string, listed map[string]bool) Ref {
	ref := Ref{Kind: kind, Name: name}
	if listed[name] {
		e.addViolation(ref, "listed twice in the note")
	}
	listed[name] = true
	return ref
}

// expectExisting expects that an item exists and was not changed after the base. The offset is that of its last
// change, or -1.
func (e *evaluation) expectExisting(ref Ref, offset int64) {
	if offset >= 0 {
		e.expectUnchangedSinceBase(ref, offset, "changed")
		return
	}
	if at, ok := e.withdrawn[ref]; ok {
		e.addViolation(ref, "withdrawn at offset %d", at)
		return
	}
	e.addViolation(ref, "does not exist")
}

// expectUnchangedSinceBase expects that the offset of an item's last change or withdrawal is not after the base.
func (e *evaluation) expectUnchangedSinceBase(ref Ref, offset int64, verb string) {
	if offset > e.base {
		e.addViolation(ref, "%s at offset %d, after base %d", verb, offset, e.base)
	}
}

// putItem checks an item and stores it with defaults filled in.
func putItem[T any](e *evaluation, kindTraits traits[T], entries map[string]*entry[T], ref Ref, item T) {
	c := &checker{}
	kindTraits.check(&item, c)
	e.addFieldViolations(ref, c)
	entries[ref.Name] = &entry[T]{item: item, withDefaults: kindTraits.withDefaults(item), offset: e.offset}
}

// refusalVerdict returns the verdict that refuses the note. Violations are sorted, because some were found in map
// order.
func (e *evaluation) refusalVerdict(id string, offset int64) Verdict {
	slices.SortFunc(e.violations, func(a, b itemViolation) int {
		return strings.Compare(a.sortKey(), b.sortKey())
	})
	v := Verdict{ID: id, Offset: offset}
	if !validID(id) {
		v.ID = ""
	}
	for _, f := range e.violations {
		v.addReason(f.String())
		v.addConflict(f.ref)
	}
	return v
}

// addReason appends text to the reason and cuts the reason at maxReasonBytes.
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

// addConflict adds an item to the conflicts, up to maxConflicts. A name that no item can have is left out to save
// memory.
func (v *Verdict) addConflict(ref Ref) {
	if len(v.Conflicts) >= maxConflicts || !validRef(ref) || slices.Contains(v.Conflicts, ref) {
		return
	}
	v.Conflicts = append(v.Conflicts, ref)
}

// sortKey orders violations by kind, name and text.
func (f itemViolation) sortKey() string {
	return string(f.ref.Kind) + "\x00" + f.ref.Name + "\x00" + f.text
}

// String returns the violation as it appears in the reason of a verdict.
func (f itemViolation) String() string {
	if f.ref.Kind == "" {
		return f.text
	}
	return fmt.Sprintf("%s %s: %s", f.ref.Kind, quote(f.ref.Name), f.text)
}
