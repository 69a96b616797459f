package timeline

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Merge returns the events of several VMs in one causal order: an event that happened before another one, on the
// same VM or through a message, comes first. Copies of one event are merged.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEvents)
	return slices.CompactFunc(all, func(a, b Event) bool { return compareEvents(a, b) == 0 })
}

// compareEvents orders by stamp. Two events of one incarnation never share a stamp.
func compareEvents(a, b Event) int {
	return cmp.Or(a.Compare(b.Stamp), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// WriteText writes one line for each event.
func WriteText(w io.Writer, events []Event) error {
	for i := range events {
		if _, err := fmt.Fprintln(w, events[i].line()); err != nil {
			return err
		}
	}
	return nil
}

func (e *Event) line() string {
	at := time.Unix(0, e.WallNs).UTC().Format("2006-01-02T15:04:05.000000000Z")
	fields := []string{fmt.Sprintf("%s+%d", at, e.Counter), e.VM, e.Part + ":", e.Name}
	if e.Request != "" {
		fields = append(fields, "request="+e.Request)
	}
	if e.Duration != 0 {
		fields = append(fields, "took="+e.Duration.String())
	}
	if e.Detail != "" {
		fields = append(fields, fmt.Sprintf("%q", e.Detail))
	}
	return strings.Join(fields, " ")
}

// traceFile is a file in the Chrome trace format.
type traceFile struct {
	TraceEvents     []traceEvent `json:"traceEvents"`
	DisplayTimeUnit string       `json:"displayTimeUnit"`
	OtherData       traceOrigin  `json:"otherData"`
}

// traceOrigin tells the wall time of trace time zero.
type traceOrigin struct {
	OriginNs int64 `json:"origin_ns"`
}

// traceEvent is one event in the Chrome trace format. Times are in microseconds.
type traceEvent struct {
	Name     string      `json:"name"`
	Category string      `json:"cat,omitempty"`
	Phase    string      `json:"ph"`
	Start    json.Number `json:"ts,omitempty"`
	Duration json.Number `json:"dur,omitempty"`
	Process  int         `json:"pid"`
	Thread   int         `json:"tid"`
	Scope    string      `json:"s,omitempty"`
	Args     *traceArgs  `json:"args,omitempty"`
}

// traceArgs are shown beside an event.
type traceArgs struct {
	Name    string `json:"name,omitempty"`
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail,omitempty"`
	Counter uint32 `json:"hlc_counter,omitempty"`
}

// Phases of the Chrome trace format.
const (
	phaseComplete = "X"
	phaseInstant  = "i"
	phaseMetadata = "M"
)

// WriteTrace writes events in the Chrome trace format: a process for each incarnation of a VM, a thread for each
// part. Trace time starts at the first event.
func WriteTrace(w io.Writer, events []Event) error {
	t := &trace{numbers: map[string]int{}}
	for i := range events {
		t.origin(events[i].WallNs - int64(events[i].Duration))
	}
	for i := range events {
		t.add(&events[i])
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(traceFile{
		TraceEvents:     orEmpty(t.events),
		DisplayTimeUnit: "ms",
		OtherData:       traceOrigin{OriginNs: t.originNs},
	})
}

func orEmpty(events []traceEvent) []traceEvent {
	if events == nil {
		return []traceEvent{}
	}
	return events
}

// trace builds the events of a trace file.
type trace struct {
	events   []traceEvent
	originNs int64
	// numbers holds the process and thread numbers that were given out.
	numbers map[string]int
}

func (t *trace) origin(startNs int64) {
	if t.originNs == 0 || startNs < t.originNs {
		t.originNs = startNs
	}
}

func (t *trace) add(e *Event) {
	process := t.number(e.VM+" "+e.Incarnation, func(n int) traceEvent {
		return traceEvent{Name: "process_name", Process: n, Args: &traceArgs{Name: e.VM + " " + e.Incarnation}}
	})
	thread := t.number(e.VM+" "+e.Incarnation+" "+e.Part, func(n int) traceEvent {
		return traceEvent{Name: "thread_name", Process: process, Thread: n, Args: &traceArgs{Name: e.Part}}
	})
	event := traceEvent{
		Name:     e.Name,
		Category: e.Part,
		Phase:    phaseInstant,
		Start:    microseconds(e.WallNs - int64(e.Duration) - t.originNs),
		Process:  process,
		Thread:   thread,
		Scope:    "t",
		Args:     &traceArgs{Request: e.Request, Detail: e.Detail, Counter: e.Counter},
	}
	if e.Duration > 0 {
		event.Phase = phaseComplete
		event.Duration = microseconds(int64(e.Duration))
		event.Scope = ""
	}
	t.events = append(t.events, event)
}

// number returns the number of a process or thread and describes it on first use.
func (t *trace) number(key string, describe func(n int) traceEvent) int {
	if n, ok := t.numbers[key]; ok {
		return n
	}
	n := len(t.numbers) + 1
	t.numbers[key] = n
	event := describe(n)
	event.Phase = phaseMetadata
	t.events = append(t.events, event)
	return n
}

// microseconds formats nanoseconds exactly; a float would lose digits of a wall time.
func microseconds(ns int64) json.Number {
	return json.Number(fmt.Sprintf("%d.%03d", ns/1000, ns%1000))
}
