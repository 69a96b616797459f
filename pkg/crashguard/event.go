package crashguard

import (
	"strconv"
	"strings"
	"time"
)

// Event identifies one crash of an endpoint as seen by one VM, or one claim to run a request in isolation. Its time
// is part of its text form, so that every VM drops the event at the same time and VMs cannot keep an expired event
// alive by sending it to each other.
type Event struct {
	// At is the time of the crash or the claim on the clock of the VM, in whole milliseconds.
	At time.Time
	// VM is the name of the VM that saw the crash or made the claim.
	VM string
	// Seq is unique among the events of the VM with the same time.
	Seq uint64
	// Endpoint is the endpoint that crashed or that is to run the request.
	Endpoint string
	// Incarnation is the endpoint's incarnation. Events with equal Endpoint and Incarnation describe the same crash.
	Incarnation string
}

const (
	eventSeparator = "|"
	eventFields    = 5
)

// String returns the text form of the event that the peer protocol carries.
func (e Event) String() string {
	fields := [eventFields]string{
		strconv.FormatInt(e.At.UnixMilli(), 10),
		escapeSeparator(e.VM),
		strconv.FormatUint(e.Seq, 10),
		escapeSeparator(e.Endpoint),
		escapeSeparator(e.Incarnation),
	}
	return strings.Join(fields[:], eventSeparator)
}

// ParseEvent parses the text form of an event. It reports whether the text is valid.
func ParseEvent(text string) (Event, bool) {
	fields := strings.Split(text, eventSeparator)
	if len(fields) != eventFields {
		return Event{}, false
	}
	at, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return Event{}, false
	}
	seq, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return Event{}, false
	}
	e := Event{
		At:          time.UnixMilli(at),
		VM:          fields[1],
		Seq:         seq,
		Endpoint:    fields[3],
		Incarnation: fields[4],
	}
	return e, true
}

// escapeSeparator replaces the field separator in a name.
func escapeSeparator(name string) string {
	return strings.ReplaceAll(name, eventSeparator, "_")
}
