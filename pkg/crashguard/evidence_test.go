package crashguard

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

// evidenceVM is a VM with the records that a store holds.
type evidenceVM struct {
	name     string
	tally    *Tally
	evidence *Evidence
	records  map[string][]byte
	writes   int
	now      time.Time
}

// newEvidenceVM starts a VM that reads the records.
func newEvidenceVM(t *testing.T, name string, records map[string][]byte, now time.Time) *evidenceVM {
	t.Helper()
	v := &evidenceVM{name: name, tally: NewTally(), evidence: NewEvidence(), records: records, now: now}
	for vm, value := range records {
		crashes, err := DecodeEvidence(value, now, now)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range crashes {
			v.tally.Record(c, now)
		}
		v.evidence.AddStored(crashes, vm, vm == name, v.tally, now)
	}
	v.evidence.Loaded()
	return v
}

// crash has the VM observe the end of an endpoint under requests.
func (v *evidenceVM) crash(endpoint string, fingerprints ...uint64) {
	for _, f := range fingerprints {
		c := Crash{Fingerprint: f, Endpoint: endpoint}
		if v.tally.Record(c, v.now) {
			v.evidence.Add(c, true, v.now)
		}
	}
}

// clear has the VM observe an answer.
func (v *evidenceVM) clear(fingerprint uint64) {
	for _, c := range v.tally.Clear(fingerprint, v.now) {
		v.evidence.Remove(c.Fingerprint, c.Endpoint, v.now)
	}
}

// step writes the record if that is due. An answer may be lost.
func (v *evidenceVM) step(rank int, answered bool) (stored []uint64) {
	if !v.evidence.IsDue(rank, v.now) {
		return nil
	}
	w := v.evidence.Begin(v.tally, func(uint64) bool { return false }, v.now, v.now)
	v.writes++
	if answered {
		v.set(v.name, w.Value)
		for _, vm := range w.Removals {
			v.set(vm, nil)
		}
	}
	return v.evidence.End(w, answered, v.now)
}

func (v *evidenceVM) set(vm string, value []byte) {
	delete(v.records, vm)
	if value != nil {
		v.records[vm] = value
	}
}

// run lets time pass.
func (v *evidenceVM) run(d time.Duration, rank int) {
	for end := v.now.Add(d); v.now.Before(end); v.now = v.now.Add(50 * time.Millisecond) {
		v.step(rank, true)
	}
}

// countAfterKill returns the crashes that count against a request once all VMs have lost their memory.
func countAfterKill(t *testing.T, v *evidenceVM, fingerprint uint64) int {
	t.Helper()
	return newEvidenceVM(t, "another", v.records, v.now).tally.CrashCount(fingerprint)
}

var evidenceStart = time.Unix(1_800_000_000, 0)

// Guards against crashes that are lost with the memory of all VMs before they are enough to refuse a request.
func TestFirstCrashIsKeptAtOnce(t *testing.T) {
	v := newEvidenceVM(t, "vm", map[string][]byte{}, evidenceStart)
	for n := range 5 {
		v.crash(fmt.Sprint("e", n), 1)
		v.step(0, true)
		if got := countAfterKill(t, v, 1); got != n+1 {
			t.Fatalf("%d crashes are kept after %d", got, n+1)
		}
		v = newEvidenceVM(t, "vm", v.records, v.now.Add(time.Second))
	}
}

// Guards against a write for each request that was in flight, and against one by each VM.
func TestEndOfAnEndpointCostsFewWrites(t *testing.T) {
	records := map[string][]byte{}
	first := newEvidenceVM(t, "first", records, evidenceStart)
	second := newEvidenceVM(t, "second", records, evidenceStart)
	var requests []uint64
	for n := range uint64(200) {
		requests = append(requests, n+1)
	}
	first.crash("e", requests...)
	second.crash("e", requests...)
	for _, id := range first.step(0, true) {
		second.evidence.Reported(id, second.now)
	}
	second.run(10*time.Second, 1)
	for _, f := range requests {
		first.clear(f)
		second.clear(f)
	}
	first.run(10*time.Second, 0)
	second.run(10*time.Second, 1)
	if first.writes != 2 || second.writes != 0 || len(records) != 0 {
		t.Errorf("%d and %d writes, %d records are left, want 2, 0 and 0", first.writes, second.writes, len(records))
	}
}

// Guards against a crash that nobody keeps, since the VM that is to write does not.
func TestOtherVMsWriteWhatIsLeftUndone(t *testing.T) {
	for rank := range 40 {
		v := newEvidenceVM(t, "vm", map[string][]byte{}, evidenceStart)
		v.crash("e", 1)
		v.run(maxObserverDelay+100*time.Millisecond, rank)
		if countAfterKill(t, v, 1) != 1 {
			t.Errorf("the VM of rank %d has not kept a crash that it observed", rank)
		}
	}
}

// Guards against sound requests that seem to have crashed several endpoints, because the store does not learn that they were
// answered in between, also if the VM that kept the crash does not run any more.
func TestClearedCrashesDoNotAddUpThroughKills(t *testing.T) {
	v := newEvidenceVM(t, "vm-0", map[string][]byte{}, evidenceStart)
	for n := range 6 {
		v.crash(fmt.Sprint("e", n), 1)
		v.run(500*time.Millisecond, 0)
		v.clear(1)
		// The VM is killed, and replaced by one of another name.
		v = newEvidenceVM(t, fmt.Sprint("vm-", n+1), v.records, v.now)
		v.clear(1)
		v.evidence.AdoptLeft(func(vm string) bool { return vm == v.name }, v.now)
		v.run(3*time.Second, 0)
	}
	if got := countAfterKill(t, v, 1); got > 1 {
		t.Errorf("%d crashes count against a request that was answered after each of them", got)
	}
	if len(v.records) > 1 {
		t.Errorf("%d records are left", len(v.records))
	}
}

// Guards against a write without an answer that takes effect late, in place of a newer one.
func TestLateWriteDoesNotLoseCrashes(t *testing.T) {
	v := newEvidenceVM(t, "vm", map[string][]byte{}, evidenceStart)
	v.crash("e0", 1)
	late := v.evidence.Begin(v.tally, func(uint64) bool { return false }, v.now, v.now)
	v.evidence.End(late, false, v.now)
	v.crash("e1", 1)
	v.run(time.Second, 0)
	if got := countAfterKill(t, v, 1); got != 2 {
		t.Fatalf("%d crashes are kept, want 2", got)
	}
	v.set("vm", late.Value)
	v.run(lateWritePeriod, 0)
	if got := countAfterKill(t, v, 1); got != 2 {
		t.Errorf("%d crashes are kept after the late write, want 2", got)
	}
}

// Guards against crashes that a restore of the store loses.
func TestCrashesAreKeptAgainAfterARestoreOfTheStore(t *testing.T) {
	v := newEvidenceVM(t, "vm", map[string][]byte{}, evidenceStart)
	v.crash("e", 1)
	v.run(time.Second, 0)
	clear(v.records)
	v.evidence.StoreRestored(v.now)
	v.run(time.Second, 0)
	if countAfterKill(t, v, 1) != 1 {
		t.Error("the crash is lost")
	}
}

// Guards against a record that grows without bound, and that holds sound requests in place of one with more crashes.
func TestEvidenceIsBounded(t *testing.T) {
	v := newEvidenceVM(t, "vm", map[string][]byte{}, evidenceStart)
	v.crash("e0", 1)
	for n := range uint64(maxEvidence + 500) {
		v.crash("e1", n+1)
	}
	v.run(time.Second, 0)
	if n := len(v.records["vm"]); n > 100_000 {
		t.Errorf("a record of %d bytes", n)
	}
	if got := countAfterKill(t, v, 1); got != 2 {
		t.Errorf("%d crashes of the most dangerous request are kept, want 2", got)
	}
	v.run(time.Minute, 0)
	if v.writes > 2 {
		t.Errorf("%d writes although nothing changes", v.writes)
	}
}

// Guards against reports of many crashes that cost time for each one that is remembered, and against remembering them for good.
func TestReportsAreRememberedBoundedAndBriefly(t *testing.T) {
	v := newEvidenceVM(t, "vm", map[string][]byte{}, evidenceStart)
	for n := range uint64(4 * maxEvidence) {
		v.evidence.Reported(n, v.now)
	}
	if n := len(v.evidence.reported); n > maxEvidence {
		t.Errorf("%d reports are remembered", n)
	}
	v.now = v.now.Add(2 * reportPeriod)
	v.evidence.Reported(EvidenceID(1, "e"), v.now)
	if n := len(v.evidence.reported); n != 1 {
		t.Errorf("%d reports are remembered later, want 1", n)
	}
	v.crash("e", 1)
	if v.evidence.HasWork() {
		t.Error("a crash that is reported as stored is written again")
	}
}

// Guards against records that end a process, or hide the crashes beside what is unreadable, and against crashes that never end to
// count.
func TestUnreadableAndOutdatedEvidence(t *testing.T) {
	now := evidenceStart
	old := now.Add(-refusedRetention - time.Second).UnixMilli()
	for name, c := range map[string]struct {
		value  string
		count  int
		failed bool
	}{
		"good":            {fmt.Sprintf(`{"crashes":[{"unix_ms":%d,"endpoint":"e","fingerprints":["a"]}]}`, now.UnixMilli()), 1, false},
		"from the future": {fmt.Sprintf(`{"crashes":[{"unix_ms":%d,"endpoint":"e","fingerprints":["a"]}]}`, now.UnixMilli()+9000), 1, false},
		"outdated":        {fmt.Sprintf(`{"crashes":[{"unix_ms":%d,"endpoint":"e","fingerprints":["a"]}]}`, old), 0, false},
		"partly":          {fmt.Sprintf(`{"crashes":[{"unix_ms":%d,"endpoint":"e","fingerprints":["x","a"]}]}`, now.UnixMilli()), 1, true},
		"no JSON":         {"crashes", 0, true},
		"other type":      {`{"crashes":{"e":1}}`, 0, true},
		"empty":           {`{}`, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			crashes, err := DecodeEvidence([]byte(c.value), now, now)
			if len(crashes) != c.count || (err != nil) != c.failed {
				t.Errorf("%d crashes, error %v", len(crashes), err)
			}
		})
	}
	var r EvidenceRecord
	v := newEvidenceVM(t, "vm", map[string][]byte{}, now)
	v.crash("e", 3, 4)
	v.step(0, true)
	if err := json.Unmarshal(v.records["vm"], &r); err != nil || len(r.Crashes) != 1 || !slices.Contains(r.Crashes[0].Fingerprints, "3") {
		t.Errorf("record %s, error %v", v.records["vm"], err)
	}
}
