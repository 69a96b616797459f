// Package endpointlimit keeps the rate limits that endpoints advertise for all VMs together.
//
// An overloaded endpoint advertises in its answers how many requests per second it accepts from the whole system. The
// limit is state that VMs exchange until they agree: it holds until an answer without one, or a restart of the endpoint,
// ends it. A few VMs, the owners, each have a fixed part of the rate; the others leave the endpoint out of placement. The
// package does no I/O; callers pass the current time.
package endpointlimit

// Kind is what an answer says about the rate limit of its endpoint.
type Kind int

const (
	// None means that the answer advertises no limit.
	None Kind = iota
	// Advertised means that the answer advertises a limit.
	Advertised
	// Malformed means that the answer has a limit that cannot be read. It neither sets nor ends a limit.
	Malformed
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	return [...]string{"none", "advertised", "malformed"}[k]
}

// Advertisement is what one answer says about the rate limit of its endpoint.
type Advertisement struct {
	Kind Kind
	// PerSecond is the limit in requests per second over all VMs, finite and not negative. It is zero unless Kind is
	// Advertised.
	PerSecond float64
}
