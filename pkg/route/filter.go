package route

import "slices"

// Filter decides whether an endpoint may serve a request at all.
type Filter interface {
	// Keep reports whether the endpoint may serve the request.
	Keep(c *Candidate, r *Request) bool
}

// servesFilter keeps endpoints that are up, hold the request's model, adapter and version, and are not leaving.
type servesFilter struct{}

func (servesFilter) Keep(c *Candidate, _ *Request) bool {
	return c.Serves && !c.Leaving
}

// excludeFilter drops endpoints on which an attempt of the request failed.
type excludeFilter struct{}

func (excludeFilter) Keep(c *Candidate, r *Request) bool {
	return !slices.Contains(r.Exclude, c.Name)
}

// reservedFilter drops endpoints on which a suspected request runs alone.
type reservedFilter struct{}

func (reservedFilter) Keep(c *Candidate, _ *Request) bool {
	return !c.Reserved
}
