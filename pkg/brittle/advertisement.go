// Package brittle decides which requests may be sent to endpoints that fail when they reject too many requests.
//
// The endpoints of a service may announce in their answers that they are brittle: one that has to reject more than a given
// number of requests within a second, for want of room, fails for some seconds. The number holds for all VMs together. VMs
// exchange which services are brittle and which of their endpoints rejected a request lately. Each VM owns a fixed part of
// the rejections that an endpoint tolerates, and risks no more than that once the endpoint is nearly full. The package does
// no I/O; callers pass the current time.
package brittle

// Kind is what an answer says about the brittleness of its endpoint.
type Kind int

const (
	// None means that the answer does not announce brittleness.
	None Kind = iota
	// Announced means that the answer announces it.
	Announced
	// Malformed means that the announcement cannot be read. It changes nothing.
	Malformed
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	return [...]string{"none", "announced", "malformed"}[k]
}

// Announcement is what one answer says about the brittleness of its endpoint.
type Announcement struct {
	Kind Kind
	// Rejections is the number of requests that the endpoint may reject within a second without failing, over all VMs. It
	// is at least one if Kind is Announced, else zero.
	Rejections int
}
