package admit

import "time"

const (
	// shedShare is the part of the objective beyond which the wait for the requests ahead makes an endpoint overloaded.
	// The rest is for the prompt of the request itself.
	shedShare = 0.9
	// shedRunning is the number of running requests below which an endpoint is not overloaded, however slow it was.
	shedRunning = 12
)

// Offer is a request about to be sent to the best endpoint for it.
type Offer struct {
	// Age is the time since the request arrived.
	Age time.Duration
	// Expected is the predicted time to the first token.
	Expected time.Duration
	// Reading is the part of Expected that the request's own prompt takes. It does not count, since large requests would
	// be shed before all others.
	Reading time.Duration
	// Objective is the latency within which the first token is on time. Zero means none.
	Objective time.Duration
	// Running is the number of requests at the endpoint.
	Running int
}

// Shed returns by how much the wait on an overloaded endpoint is too long, or zero where the offer is to be sent. A late
// request that is sent only lengthens the queue and makes those behind it late too; refused at once, it may come back
// when the queue is shorter.
func Shed(o Offer) time.Duration {
	if o.Objective <= 0 || o.Running < shedRunning {
		return 0
	}
	limit := time.Duration(shedShare * float64(o.Objective))
	return max(o.Age+o.Expected-o.Reading-limit, 0)
}
