package admit

import "time"

const (
	// shedShare is the part of the objective beyond which a predicted first token makes an endpoint overloaded.
	shedShare = 1.0
	// shedRunning is the number of running requests below which an endpoint is not overloaded, however slow it was.
	shedRunning = 12
)

// Offer is a request about to be sent to the best endpoint for it.
type Offer struct {
	// Age is the time since the request arrived.
	Age time.Duration
	// Expected is the predicted time to the first token.
	Expected time.Duration
	// Objective is the latency within which the first token is on time. Zero means none.
	Objective time.Duration
	// Running is the number of requests at the endpoint.
	Running int
}

// Shed returns by how much an offer would be late on an overloaded endpoint, or zero where it is to be sent. A late
// request that is sent only lengthens the queue and makes those behind it late too; refused at once, it may come back
// when the queue is shorter.
func Shed(o Offer) time.Duration {
	if o.Objective <= 0 || o.Running < shedRunning {
		return 0
	}
	limit := time.Duration(shedShare * float64(o.Objective))
	return max(o.Age+o.Expected-limit, 0)
}
