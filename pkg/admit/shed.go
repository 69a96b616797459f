package admit

import "time"

const (
	// maxWaitShare is the share of the objective beyond which the wait for the requests ahead makes an endpoint
	// overloaded. The rest is for the prompt of the request itself.
	maxWaitShare = 0.9
	// minRunningToShed is the number of running requests below which an endpoint is not overloaded, however slow it
	// was.
	minRunningToShed = 12
)

// PlannedSend describes a request about to be sent to the endpoint chosen for it.
type PlannedSend struct {
	// Age is the time since the request arrived.
	Age time.Duration
	// Expected is the predicted time to the first token.
	Expected time.Duration
	// Prefill is the part of Expected that the request's own prompt takes. It is not counted as waiting, since large
	// requests would otherwise be shed before all others.
	Prefill time.Duration
	// Objective is the latency within which the first token counts as on time. Zero means none.
	Objective time.Duration
	// Running is the number of requests running on the endpoint.
	Running int
}

// ExcessWait returns by how much the wait on an overloaded endpoint is too long, or zero if the request should be sent.
// Sending a late request lengthens the queue and makes those behind it late too; refused at once, it may be sent again
// when the queue is shorter.
func ExcessWait(o PlannedSend) time.Duration {
	if o.Objective <= 0 || o.Running < minRunningToShed {
		return 0
	}
	limit := time.Duration(maxWaitShare * float64(o.Objective))
	return max(o.Age+o.Expected-o.Prefill-limit, 0)
}
