package config

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// replaySimulation runs several replays over one log. A reference replay reads every record once and in order.
type replaySimulation struct {
	log [][]byte
	// oldestOffset is the offset of the oldest record that the log still holds.
	oldestOffset int64
	reference    *Replay
	// digests holds the digest of the reference by next offset.
	digests  []string
	verdicts []Verdict
	vms      []*Replay
	// firstVerdicts holds the first verdict on each id and lastChanges the offset of the newest change of each item.
	// Unlike in a replay, they are never dropped.
	firstVerdicts map[string]Verdict
	lastChanges   map[Ref]int64
	notes         map[int64]ReleaseNote
}

func newReplaySimulation() *replaySimulation {
	f := &replaySimulation{
		reference:     NewReplay(),
		vms:           []*Replay{NewReplay(), NewReplay(), NewReplay()},
		firstVerdicts: map[string]Verdict{},
		lastChanges:   map[Ref]int64{},
		notes:         map[int64]ReleaseNote{},
	}
	f.digests = []string{f.reference.State().Digest()}
	return f
}

// append adds a record to the log and checks the verdict of the reference against firstVerdicts and lastChanges.
func (f *replaySimulation) append(rt *rapid.T, data []byte, note *ReleaseNote) {
	offset := int64(len(f.log))
	f.log = append(f.log, data)
	v, err := f.reference.Apply(offset, data)
	if err != nil {
		rt.Fatalf("reference at %d: %v", offset, err)
	}
	f.digests = append(f.digests, f.reference.State().Digest())
	f.verdicts = append(f.verdicts, v)
	if note == nil {
		return
	}
	f.notes[offset] = *note
	first, repeated := f.firstVerdicts[note.ID]
	if !repeated {
		f.firstVerdicts[note.ID] = v
	}
	if !v.Accepted || v.Offset != offset {
		return
	}
	if repeated {
		rt.Fatalf("id %s accepted at %d, first verdict %+v", note.ID, offset, first)
	}
	for _, ref := range refsOf(note) {
		if last, ok := f.lastChanges[ref]; ok && last > note.Base {
			rt.Fatalf("note at %d with base %d changes %v, which was changed at %d", offset, note.Base, ref, last)
		}
		f.lastChanges[ref] = offset
	}
}

// refsOf returns the workspaces, keys and models that a note lists.
func refsOf(note *ReleaseNote) []Ref {
	refs := append([]Ref{}, note.Withdrawn...)
	for _, items := range []Items{note.Added, note.Changed} {
		for _, w := range items.Workspaces {
			refs = append(refs, Ref{KindWorkspace, w.Name})
		}
		for _, k := range items.Keys {
			refs = append(refs, Ref{KindKey, k.Digest})
		}
		for _, m := range items.Models {
			refs = append(refs, Ref{KindModel, m.Name})
		}
	}
	return refs
}

// checkDigest compares the digest of a VM with that of the reference at the same offset.
func (f *replaySimulation) checkDigest(rt *rapid.T, vm int) {
	r := f.vms[vm]
	if want := f.digests[r.NextOffset()]; r.State().Digest() != want {
		rt.Fatalf("vm %d at %d has digest %s, reference %s", vm, r.NextOffset(), r.State().Digest(), want)
	}
}

// catchUp lets a VM read up to max records and recover from a gap with a snapshot in the log.
func (f *replaySimulation) catchUp(rt *rapid.T, vm, max int) {
	r := f.vms[vm]
	for offset := f.oldestOffset; offset < int64(len(f.log)) && max > 0; offset++ {
		before := r.NextOffset()
		v, err := r.Apply(offset, f.log[offset])
		var gap *GapError
		switch {
		case errors.As(err, &gap):
			if !f.restoreFromLog(rt, r) {
				return
			}
			continue
		case err != nil:
			rt.Fatalf("vm %d at %d: %v", vm, offset, err)
		case offset < before:
			if r.NextOffset() != before {
				rt.Fatalf("vm %d went from %d to %d by an old record", vm, before, r.NextOffset())
			}
			continue
		}
		max--
		if fmt.Sprint(v) != fmt.Sprint(f.verdicts[offset]) {
			rt.Fatalf("vm %d at %d: verdict %+v, reference %+v", vm, offset, v, f.verdicts[offset])
		}
		f.checkDigest(rt, vm)
	}
}

// restoreFromLog restores a replay from the newest usable snapshot in the log. It returns false if there is none.
func (f *replaySimulation) restoreFromLog(rt *rapid.T, r *Replay) bool {
	var records []Record
	for offset := f.oldestOffset; offset < int64(len(f.log)); offset++ {
		records = append(records, Record{Offset: offset, Data: f.log[offset]})
	}
	data, ok := NewestSnapshot(records)
	if !ok {
		return false
	}
	if err := r.Restore(data); err != nil {
		rt.Fatalf("restore: %v", err)
	}
	if r.NextOffset() < f.oldestOffset {
		rt.Fatalf("the snapshot of offset %d needs records before %d", r.NextOffset(), f.oldestOffset)
	}
	return true
}

// drawNote draws a note that is usually valid for the newest state and sometimes stale or invalid.
func (f *replaySimulation) drawNote(rt *rapid.T) ReleaseNote {
	end := int64(len(f.log))
	note := ReleaseNote{ID: fmt.Sprintf("n-%d", end), Base: end - 1}
	if rapid.IntRange(0, 2).Draw(rt, "stale") == 0 {
		note.Base = rapid.Int64Range(-1, end).Draw(rt, "base")
	}
	s := f.reference.State()
	for range rapid.IntRange(1, 3).Draw(rt, "items") {
		f.drawItem(rt, s, &note)
	}
	return note
}

func (f *replaySimulation) drawItem(rt *rapid.T, s *State, note *ReleaseNote) {
	n := rapid.IntRange(0, 1).Draw(rt, "number")
	invalid := rapid.IntRange(0, 9).Draw(rt, "wrong") == 0
	withdraw := rapid.IntRange(0, 2).Draw(rt, "withdraw") == 0
	rate := rapid.Int64Range(0, 20).Draw(rt, "rate")
	name := fmt.Sprintf("i-%d", n)
	var ref Ref
	var exists bool
	var item Items
	switch rapid.IntRange(0, 2).Draw(rt, "kind") {
	case 0:
		ref, exists = Ref{KindWorkspace, name}, s.workspaces.has(name)
		item.Workspaces = []Workspace{{Name: name, TokensPerSecond: rate, BurstTokens: 5}}
	case 1:
		digest := strings.Repeat(fmt.Sprint(n), digestBytes)
		ref, exists = Ref{KindKey, digest}, s.keys.has(digest)
		item.Keys = []Key{{Digest: digest, Workspace: fmt.Sprintf("i-%d", rate%2)}}
	default:
		ref, exists = Ref{KindModel, name}, s.models.has(name)
		item.Models = []Model{{Name: name, Version: fmt.Sprintf("v%d", rate)}}
	}
	switch {
	case exists != invalid && withdraw:
		note.Withdrawn = append(note.Withdrawn, ref)
	case exists != invalid:
		addItems(&note.Changed, item)
	default:
		addItems(&note.Added, item)
	}
}

func addItems(to *Items, from Items) {
	to.Workspaces = append(to.Workspaces, from.Workspaces...)
	to.Keys = append(to.Keys, from.Keys...)
	to.Models = append(to.Models, from.Models...)
}

// Guards against VMs that reach different states from one log, states that revert, and accepted stale notes or
// repeated ids after restarts, expiry, lost replies and concurrent notes.
func TestReplaysAgree(t *testing.T) {
	// With the default of 30 steps few runs withdraw an item, restore a VM and then repeat a stale note.
	if steps := flag.Lookup("rapid.steps"); steps.Value.String() == steps.DefValue {
		if err := steps.Value.Set("80"); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		f := newReplaySimulation()
		vm := rapid.IntRange(0, len(f.vms)-1)
		rt.Repeat(map[string]func(*rapid.T){
			"publish": func(rt *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(rt, "notes") {
					note := f.drawNote(rt)
					f.append(rt, NewNoteRecord(note), &note)
				}
			},
			"repeat": func(rt *rapid.T) {
				offset := rapid.Int64Range(-1, int64(len(f.log))-1).Draw(rt, "offset")
				if note, ok := f.notes[offset]; ok {
					f.append(rt, f.log[offset], &note)
				}
			},
			"damage": func(rt *rapid.T) {
				data := NewNoteRecord(f.drawNote(rt))
				data[rapid.IntRange(0, len(data)-1).Draw(rt, "position")] = rapid.Byte().Draw(rt, "byte")
				f.append(rt, data, nil)
			},
			"snapshot": func(rt *rapid.T) {
				f.append(rt, f.vms[vm.Draw(rt, "vm")].Snapshot(), nil)
			},
			"read": func(rt *rapid.T) {
				f.catchUp(rt, vm.Draw(rt, "vm"), rapid.IntRange(1, 20).Draw(rt, "records"))
			},
			"restart": func(rt *rapid.T) {
				to, from := vm.Draw(rt, "to"), vm.Draw(rt, "from")
				f.vms[to] = NewReplay()
				f.restoreFromPeer(rt, to, from)
			},
			"restore": func(rt *rapid.T) {
				f.restoreFromPeer(rt, vm.Draw(rt, "to"), vm.Draw(rt, "from"))
			},
			"expire": func(rt *rapid.T) {
				f.oldestOffset = min(f.oldestOffset+rapid.Int64Range(1, 4).Draw(rt, "records"), int64(len(f.log)))
			},
		})
		for i := range f.vms {
			f.catchUp(rt, i, len(f.log))
		}
	})
}

// restoreFromPeer restores a VM from another VM's snapshot.
func (f *replaySimulation) restoreFromPeer(rt *rapid.T, to, from int) {
	before := f.vms[to].NextOffset()
	if err := f.vms[to].Restore(f.vms[from].Snapshot()); err != nil {
		rt.Fatalf("restore: %v", err)
	}
	if f.vms[to].NextOffset() < before {
		rt.Fatalf("vm %d went back from %d to %d", to, before, f.vms[to].NextOffset())
	}
	f.checkDigest(rt, to)
}

// mustApply applies a note as the next record.
func mustApply(t testing.TB, r *Replay, note ReleaseNote) Verdict {
	t.Helper()
	v, err := r.Apply(r.NextOffset(), NewNoteRecord(note))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// addCheckpoints applies n snapshot records that count as checkpoints.
func addCheckpoints(t testing.TB, r *Replay, n int) {
	t.Helper()
	for range n {
		if _, err := r.Apply(r.NextOffset(), r.Snapshot()); err != nil {
			t.Fatal(err)
		}
	}
}

// workspaceNote returns a note that adds the named workspaces.
func workspaceNote(id string, base int64, names ...string) ReleaseNote {
	note := ReleaseNote{ID: id, Base: base}
	for _, name := range names {
		note.Added.Workspaces = append(note.Added.Workspaces, Workspace{Name: name, TokensPerSecond: 1, BurstTokens: 1})
	}
	return note
}

// Guards against retained ids that grow without bound, and against accepting a late copy of a note whose id was
// dropped. The first copy is refused, so no conflict would stop the second one.
func TestDroppedIDIsNotAccepted(t *testing.T) {
	r := NewReplay()
	key := ReleaseNote{ID: "key", Base: -1, Added: Items{Keys: []Key{{Digest: testDigest, Workspace: "shop"}}}}
	if v := mustApply(t, r, key); v.Accepted {
		t.Fatal("a key without its workspace was accepted")
	}
	mustApply(t, r, workspaceNote("shop", 0, "shop"))
	addCheckpoints(t, r, windowCheckpoints)
	if _, ok := r.Verdict("key"); !ok {
		t.Error("the verdict is dropped within the window")
	}
	addCheckpoints(t, r, 1)
	if _, ok := r.Verdict("key"); ok {
		t.Error("the verdict is retained beyond the window")
	}
	if v := mustApply(t, r, key); v.Accepted {
		t.Error("a late copy of a dropped note was accepted")
	}
}

// Guards against a restored VM that accepts what others refuse because a withdrawal or an id is missing from the
// snapshot.
func TestRestoredStateRefusesStaleNotes(t *testing.T) {
	r, restored := NewReplay(), NewReplay()
	mustApply(t, r, workspaceNote("add", -1, "shop"))
	mustApply(t, r, ReleaseNote{ID: "withdraw", Base: 0, Withdrawn: []Ref{{KindWorkspace, "shop"}}})
	if err := restored.Restore(r.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if v := mustApply(t, restored, workspaceNote("stale", 0, "shop")); v.Accepted {
		t.Error("a note that is older than a withdrawal was accepted")
	}
	if v := mustApply(t, restored, workspaceNote("add", 1, "shop")); v.Offset != 0 {
		t.Errorf("a second copy of an id got verdict %+v", v)
	}
}

// Guards against states that change after they were returned, and against data races with the replay on the lists
// that states share. The races are detected only with the race detector.
func TestStatesAreImmutable(t *testing.T) {
	r := NewReplay()
	mustApply(t, r, workspaceNote("first", -1, "first"))
	old := r.State()
	digest := bodyDigest(newSnapshotBody(old))
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 50 {
				if bodyDigest(newSnapshotBody(old)) != digest || old.Digest() != digest || len(old.Workspaces()) != 1 {
					t.Error("a state has changed")
				}
			}
		})
	}
	for i := range int64(50) {
		name := fmt.Sprint("w-", i)
		mustApply(t, r, workspaceNote(name, 2*i, name))
		mustApply(t, r, ReleaseNote{ID: name + "-off", Base: 2*i + 1, Withdrawn: []Ref{{KindWorkspace, name}}})
	}
	group.Wait()
}

// Guards against unbounded memory when many notes and no snapshots are published.
func TestVerdictsAreBounded(t *testing.T) {
	r := NewReplay()
	for i := range int64(maxVerdicts + 10) {
		mustApply(t, r, ReleaseNote{ID: fmt.Sprint("n-", i), Base: max(i-1, r.State().OldestBase())})
	}
	if n := len(r.State().verdicts); n != maxVerdicts {
		t.Errorf("%d verdicts, want %d", n, maxVerdicts)
	}
	if len(r.ids) != maxVerdicts || r.State().OldestBase() != 9 {
		t.Errorf("%d ids, oldest base %d", len(r.ids), r.State().OldestBase())
	}
}

// Guards against a window that shrinks because several VMs append the same snapshot at once.
func TestRacingSnapshotsCountOnce(t *testing.T) {
	r := NewReplay()
	mustApply(t, r, workspaceNote("a", -1, "a"))
	snapshot := r.Snapshot()
	for range 3 * windowCheckpoints {
		if _, err := r.Apply(r.NextOffset(), snapshot); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := r.Verdict("a"); !ok || r.LastCheckpoint() != 1 {
		t.Errorf("last checkpoint %d, want 1", r.LastCheckpoint())
	}
}

// Guards against a VM that continues with a state that differs from that of other VMs.
func TestSnapshotMismatchIsReported(t *testing.T) {
	r, other := NewReplay(), NewReplay()
	mustApply(t, r, workspaceNote("a", -1, "a"))
	mustApply(t, other, workspaceNote("b", -1, "b"))
	mustApply(t, r, workspaceNote("c", 0, "c"))
	var mismatch *DigestError
	if err := r.Restore(other.Snapshot()); !errors.As(err, &mismatch) || mismatch.Next != 1 {
		t.Errorf("restore: %v, want a digest error at 1", err)
	}
	if _, err := r.Apply(2, other.Snapshot()); !errors.As(err, &mismatch) || mismatch.Next != 1 {
		t.Errorf("apply: %v, want a digest error at 1", err)
	}
}

// Guards against restoring a damaged, incompatible or premature snapshot.
func TestUnusableSnapshotIsRefused(t *testing.T) {
	r := NewReplay()
	mustApply(t, r, workspaceNote("a", -1, "a", "b"))
	good := string(r.Snapshot())
	damaged := map[string]string{
		"content": strings.Replace(good, `"burst_tokens":1`, `"burst_tokens":2`, 1),
		"digest":  strings.Replace(good, r.State().Digest(), testDigest, 1),
		"format":  strings.Replace(good, `"format":1`, `"format":2`, 1),
		"field":   strings.Replace(good, `"format":1`, `"format":1,"extra":0`, 1),
		"note":    string(NewNoteRecord(workspaceNote("n", -1, "n"))),
	}
	for name, data := range damaged {
		fresh := NewReplay()
		var refused *SnapshotError
		if err := fresh.Restore([]byte(data)); !errors.As(err, &refused) || fresh.NextOffset() != 0 {
			t.Errorf("%s: restored with %v", name, err)
		}
	}
	fresh := NewReplay()
	if v, err := fresh.Apply(0, []byte(good)); v.Accepted || err != nil {
		t.Errorf("a snapshot from beyond its offset: %+v, %v", v, err)
	}
}

const testDigest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
