package crashguard

// maxClean bounds the requests of one generation of clean runs.
const maxClean = 2048

// CleanRuns remembers the requests that endpoints answered lately. A request that crashes endpoints crashes each one that
// runs it, so one that ran clean is not at fault. It keeps the last maxClean requests at least and twice as many at most. It is
// safe for one goroutine.
type CleanRuns struct {
	young, old map[uint64]struct{}
}

// NewCleanRuns returns an empty memory.
func NewCleanRuns() *CleanRuns {
	return &CleanRuns{young: map[uint64]struct{}{}}
}

// Note remembers a clean run.
func (c *CleanRuns) Note(fingerprint uint64) {
	if len(c.young) >= maxClean {
		c.young, c.old = map[uint64]struct{}{}, c.young
	}
	c.young[fingerprint] = struct{}{}
}

// Has reports whether a request ran clean lately.
func (c *CleanRuns) Has(fingerprint uint64) bool {
	_, young := c.young[fingerprint]
	_, old := c.old[fingerprint]
	return young || old
}
