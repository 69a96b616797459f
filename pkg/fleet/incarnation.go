package fleet

import "strconv"

// Incarnation identifies one start of the process of an endpoint.
type Incarnation struct {
	// ID is the ID of the endpoint.
	ID string
	// StartTimeMs is the start time of the incarnation in Unix milliseconds.
	StartTimeMs int64
}

// Name returns the form of the incarnation that Crash.Endpoint contains.
func (s Incarnation) Name() string {
	return s.ID + "/" + strconv.FormatInt(s.StartTimeMs, 10)
}

// Incarnation returns the start that identifies the present process of the endpoint.
func (e *Endpoint) Incarnation() Incarnation {
	return Incarnation{ID: e.ID, StartTimeMs: e.StartTimeMs}
}
