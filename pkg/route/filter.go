package route

import "slices"

// Filter excludes endpoints that must not serve a request.
type Filter interface {
	// Eligible reports whether the endpoint may serve the request.
	Eligible(c *Candidate, r *Request) bool
}

// servesFilter admits endpoints that are up, hold the request's model, adapter and version, and are not draining.
type servesFilter struct{}

func (servesFilter) Eligible(c *Candidate, _ *Request) bool {
	return c.Serves && !c.Draining
}

// excludeFilter rejects endpoints on which an attempt of the request failed.
type excludeFilter struct{}

func (excludeFilter) Eligible(c *Candidate, r *Request) bool {
	return !slices.Contains(r.Exclude, c.Name)
}

// reservedFilter rejects endpoints on which a request suspected of crashing engines runs alone.
type reservedFilter struct{}

func (reservedFilter) Eligible(c *Candidate, _ *Request) bool {
	return !c.Reserved
}
