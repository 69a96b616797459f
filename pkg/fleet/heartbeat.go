package fleet

import "cmp"

// HeartbeatCount orders the registrations of one endpoint. An endpoint counts its registrations from its start, and starts
// later under the same ID with a later start time. Unlike a position in the log, the count is not changed by a restore of
// the store: a registration that the endpoint writes has a higher count than all before it, and one that a copy lists
// again keeps its own.
type HeartbeatCount struct {
	// StartTimeMs is Endpoint.StartTimeMs.
	StartTimeMs int64
	// Heartbeat is Endpoint.Heartbeat.
	Heartbeat int64
}

// heartbeatCount returns the count of a registration. That of an unreadable one is not reported.
func (e *Endpoint) heartbeatCount() HeartbeatCount {
	if e == nil {
		return HeartbeatCount{}
	}
	return HeartbeatCount{StartTimeMs: e.StartTimeMs, Heartbeat: e.Heartbeat}
}

// reported reports whether the endpoint gave a count.
func (c HeartbeatCount) reported() bool {
	return c.Heartbeat > 0
}

// comparable reports whether both counts are known.
func (c HeartbeatCount) comparable(other HeartbeatCount) bool {
	return c.reported() && other.reported()
}

// after reports whether c is the count of a later registration than other.
func (c HeartbeatCount) after(other HeartbeatCount) bool {
	return cmp.Or(cmp.Compare(c.StartTimeMs, other.StartTimeMs), cmp.Compare(c.Heartbeat, other.Heartbeat)) > 0
}
