package crashguard

import (
	"strconv"
	"strings"
	"time"
)

// Event names one crash of an endpoint as seen by one VM, or one run alone. The time in the name makes every VM
// drop the event at the same time, so that VMs cannot keep an expired event alive by sending it to each other.
type Event struct {
	// At is the time of the crash or the claim, in whole milliseconds, on the clock of the VM.
	At time.Time
	// VM is the VM that saw the crash or made the claim.
	VM string
	// Seq is unique among the events of the VM at one time.
	Seq uint64
	// Endpoint is the endpoint that crashed or is to run the request.
	Endpoint string
	// Incarnation is the endpoint's incarnation. Events with equal Endpoint and Incarnation are one crash.
	Incarnation string
}

const (
	eventSeparator = "|"
	eventFields    = 5
)

// String returns the text form that the peer protocol carries.
func (e Event) String() string {
	fields := [eventFields]string{
		strconv.FormatInt(e.At.UnixMilli(), 10),
		clean(e.VM),
		strconv.FormatUint(e.Seq, 10),
		clean(e.Endpoint),
		clean(e.Incarnation),
	}
	return strings.Join(fields[:], eventSeparator)
}

// ParseEvent reads the text form. It reports whether the text is an event.
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

func clean(name string) string {
	return strings.ReplaceAll(name, eventSeparator, "_")
}
