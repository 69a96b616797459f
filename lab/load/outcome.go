package load

import "time"

// End tells how a request ended.
type End int

const (
	// Complete means that the whole answer arrived and is the right one.
	Complete End = iota
	// Refused means that the router refused the request.
	Refused
	// Broken means that the answer began or ran but is not complete, not in order or not its own.
	Broken
	// Lost means that the VM that had the request was killed and the caller did not send it again.
	Lost
)

// Outcome is what became of one arrival.
type Outcome struct {
	Arrival *Arrival
	End     End
	// Sent, First and Done are times since the start of the run. First is 0 when no token came.
	Sent  time.Duration
	First time.Duration
	Done  time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Status, Code and RunState describe a refusal.
	Status   int
	Code     string
	RunState string
	// Fault says what was wrong with a broken answer.
	Fault string
	// Cached is the number of prompt tokens that the engine found in its cache.
	Cached int
	// Resent tells that the caller sent the request again after its VM was killed.
	Resent bool
}

// ttft is the time to the first token.
func (o *Outcome) ttft() time.Duration {
	return o.First - o.Sent
}
