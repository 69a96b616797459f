// Package endpointlimit keeps the rate limits that endpoints name for all VMs together.
//
// An endpoint in need names in its answers how many requests a second it takes from the whole system. The limit is state
// that VMs exchange until they agree: it holds until an answer without one, or a new start of the endpoint, ends it. A few
// VMs, the owners, share a limited endpoint, each with a fixed part of the rate; the others leave the endpoint out. The
// package does no I/O; callers pass the current time.
package endpointlimit

// Kind is what an answer says about the rate limit of its endpoint.
type Kind int

const (
	// Unlimited means that the answer names no limit.
	Unlimited Kind = iota
	// Limited means that the answer names a limit.
	Limited
	// Malformed means that the answer names a limit that cannot be read. It neither sets nor ends a limit.
	Malformed
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	return [...]string{"none", "named", "malformed"}[k]
}

// Statement is what one answer says about the rate limit of its endpoint.
type Statement struct {
	Kind Kind
	// PerSecond is the limit in requests per second over all VMs, finite and not negative. It is zero unless Kind is
	// Limited.
	PerSecond float64
}
