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

// Merge returns the events of several VMs in one causal order: an event comes before every event that it happened
// before, on the same VM or through messages. Duplicates of an event are removed.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEvents)
	return slices.CompactFunc(all, func(a, b Event) bool { return compareEvents(a, b) == 0 })
}

// compareEvents compares events by stamp, then VM, then incarnation. It returns 0 only for copies of one event, because
// events of one incarnation never have the same stamp.
func compareEvents(a, b Event) int {
	return cmp.Or(a.Compare(b.Stamp), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// WriteText writes the events as text, one line each.
func WriteText(w io.Writer, events []Event) error {
	for i := range events {
		if _, err := fmt.Fprintln(w, events[i].textLine()); err != nil {
			return err
		}
	}
	return nil
}

// textLine returns the event as one line of text, without the newline.
func (e *Event) textLine() string {
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

// traceFile is the content of a file in the Chrome trace format.
type traceFile struct {
	TraceEvents     []traceEvent `json:"traceEvents"`
	DisplayTimeUnit string       `json:"displayTimeUnit"`
	OtherData       traceOrigin  `json:"otherData"`
}

// traceOrigin holds the wall time of trace time zero, in nanoseconds since 1970.
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

// traceArgs holds the arguments that a trace viewer shows with an event.
type traceArgs struct {
	Name    string `json:"name,omitempty"`
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail,omitempty"`
	Counter uint32 `json:"hlc_counter,omitempty"`
}

// Event phases of the Chrome trace format.
const (
	phaseComplete = "X"
	phaseInstant  = "i"
	phaseMetadata = "M"
)

// WriteTrace writes the events in the Chrome trace format, with a process for each incarnation of a VM and a thread for
// each of its parts. Trace time zero is the start of the earliest event.
func WriteTrace(w io.Writer, events []Event) error {
	t := &trace{numbers: map[string]int{}}
	for i := range events {
		t.extendOrigin(events[i].WallNs - int64(events[i].Duration))
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

// orEmpty returns events, or an empty slice instead of nil, which JSON would encode as null.
func orEmpty(events []traceEvent) []traceEvent {
	if events == nil {
		return []traceEvent{}
	}
	return events
}

// trace collects the events of a trace file.
type trace struct {
	events   []traceEvent
	originNs int64
	// numbers holds the assigned process and thread numbers by key.
	numbers map[string]int
}

// extendOrigin moves trace time zero back to startNs if that is earlier.
func (t *trace) extendOrigin(startNs int64) {
	if t.originNs == 0 || startNs < t.originNs {
		t.originNs = startNs
	}
}

// add appends the event e, and describes its process and thread on first use.
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

// number returns the number of the process or thread with the given key. On first use it assigns the number and appends
// the metadata event that describe returns.
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

// microseconds formats nanoseconds as microseconds. It is exact; a float would lose digits of a wall time.
func microseconds(ns int64) json.Number {
	return json.Number(fmt.Sprintf("%d.%03d", ns/1000, ns%1000))
}
