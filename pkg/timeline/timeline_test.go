package timeline

import (
	"bytes"
	"errors"
	"flag"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "write the golden files")

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Guards against stamps that decrease when the wall clock steps back, or repeat within one tick of it.
func TestClockStrictlyIncreases(t *testing.T) {
	var c Clock
	last := Stamp{}
	for _, ns := range []int64{5, 5, 3, 5, 6, 1} {
		stamp := c.Now(time.Unix(0, ns))
		if stamp.Compare(last) <= 0 {
			t.Errorf("stamp %v follows %v", stamp, last)
		}
		last = stamp
	}
	exhausted := Clock{last: Stamp{WallNs: 9, Counter: math.MaxUint32}}
	if got := exhausted.Now(time.Unix(0, 1)); got != (Stamp{WallNs: 10}) {
		t.Errorf("stamp after the maximum counter: %v", got)
	}
}

// Guards against one wrong clock that advances the clocks of all VMs.
func TestClockRefusesDrift(t *testing.T) {
	var c Clock
	far := Stamp{WallNs: start.Add(MaxDrift + 1).UnixNano()}
	var drift *DriftError
	if err := c.Observe(far, start); !errors.As(err, &drift) || drift.Ahead != MaxDrift+1 {
		t.Errorf("error %v, want a DriftError", err)
	}
	if got := c.Now(start); got.WallNs != start.UnixNano() {
		t.Errorf("the far clock was adopted: %v", got)
	}
	near := Stamp{WallNs: start.Add(MaxDrift).UnixNano()}
	if err := c.Observe(near, start); err != nil || c.Now(start).Compare(near) <= 0 {
		t.Errorf("a clock within the bound was not adopted: %v", err)
	}
	if err := c.Observe(Stamp{WallNs: math.MinInt64}, start); err != nil {
		t.Errorf("a clock far behind is reported as ahead: %v", err)
	}
}

// Guards against a merged timeline that shows an effect before its cause because wall clocks differ between VMs.
func TestMergeIsCausal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const vms = 3
		var recorders [vms]*Recorder
		var clocks [vms]*Clock
		var skew [vms]int64
		for i := range vms {
			clocks[i] = &Clock{}
			recorders[i] = NewRecorder(clocks[i], string(rune('a'+i)), "1", 1000)
			skew[i] = rapid.Int64Range(-4e9, 4e9).Draw(rt, "skew")
		}
		now := start.UnixNano()
		// before holds pairs of event names. The first event of each pair happened before the second.
		var before [][2]string
		var newest [vms]string
		names := 0
		record := func(vm int) {
			name := string(rune(0x4e00 + names))
			names++
			recorders[vm].Record(Event{Name: name}, time.Unix(0, now+skew[vm]))
			before = append(before, [2]string{newest[vm], name})
			newest[vm] = name
		}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now += rapid.Int64Range(0, 1e9).Draw(rt, "ns")
			from, to := rapid.IntRange(0, vms-1).Draw(rt, "from"), rapid.IntRange(0, vms-1).Draw(rt, "to")
			record(from)
			cause := newest[from]
			if err := clocks[to].Observe(clocks[from].Now(time.Unix(0, now+skew[from])), time.Unix(0, now+skew[to])); err != nil {
				rt.Fatal(err)
			}
			record(to)
			before = append(before, [2]string{cause, newest[to]})
		}
		merged := Merge(recorders[2].Events(0), recorders[0].Events(0), recorders[1].Events(0), recorders[0].Events(0))
		if len(merged) != names {
			rt.Fatalf("%d events, want %d", len(merged), names)
		}
		position := map[string]int{"": -1}
		for i, e := range merged {
			position[e.Name] = i
		}
		for _, pair := range before {
			if pair[0] != pair[1] && position[pair[0]] > position[pair[1]] {
				rt.Fatalf("event %d comes before its cause %d", position[pair[1]], position[pair[0]])
			}
		}
	})
}

// Guards against a ring buffer that loses the newest events or returns them out of order.
func TestRecorderKeepsNewest(t *testing.T) {
	r := NewRecorder(&Clock{}, "vm-1", "1", 3)
	for i := range 5 {
		r.Record(Event{Name: string(rune('a' + i))}, start.Add(time.Duration(i)))
	}
	var names []string
	for _, e := range r.Events(0) {
		names = append(names, e.Name)
	}
	if !slices.Equal(names, []string{"c", "d", "e"}) || r.Lost() != 2 {
		t.Errorf("events %v, %d lost", names, r.Lost())
	}
	if n := len(r.Events(start.UnixNano() + 4)); n != 1 {
		t.Errorf("%d events from the time of the last event on, want 1", n)
	}
}

// Guards against unintended changes of the output formats, which trace viewers and operators read.
func TestOutputIsGolden(t *testing.T) {
	event := func(ms int64, vm, part, name string) Event {
		wall := start.Add(time.Duration(ms) * time.Millisecond).UnixNano()
		return Event{Stamp: Stamp{WallNs: wall}, VM: vm, Incarnation: "i1", Part: part, Name: name}
	}
	request := event(40, "vm-1", "caller", "request")
	request.Request, request.Duration = "r-1", 35*time.Millisecond+1
	accepted := event(10, "vm-2", "config", "accepted")
	accepted.Detail, accepted.Counter = `note "n-1"`, 2
	events := Merge([]Event{event(5, "vm-1", "limit", "granted"), request}, []Event{accepted})
	var text, trace, empty bytes.Buffer
	if err := errors.Join(WriteText(&text, events), WriteTrace(&trace, events), WriteTrace(&empty, nil)); err != nil {
		t.Fatal(err)
	}
	for name, got := range map[string][]byte{"events.txt": text.Bytes(), "trace.json": trace.Bytes(), "empty.json": empty.Bytes()} {
		path := "testdata/" + name
		if *update {
			if err := os.WriteFile(path, got, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: %v\n%s", name, err, got)
		}
	}
}
