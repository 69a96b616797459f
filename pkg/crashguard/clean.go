package crashguard

// maxCleanPerGeneration is the number of requests after which CleanRuns starts a new generation.
const maxCleanPerGeneration = 2048

// CleanRuns is a bounded set of the fingerprints of requests that endpoints answered recently. A request that crashes
// endpoints crashes each one that runs it, so one that ran clean is not at fault. The set holds at least the last
// maxCleanPerGeneration requests and at most twice as many. It is not safe for concurrent use.
type CleanRuns struct {
	recent, previous map[uint64]struct{}
}

// NewCleanRuns returns an empty set.
func NewCleanRuns() *CleanRuns {
	return &CleanRuns{recent: map[uint64]struct{}{}}
}

// Add adds a request that ran clean.
func (c *CleanRuns) Add(fingerprint uint64) {
	if len(c.recent) >= maxCleanPerGeneration {
		c.recent, c.previous = map[uint64]struct{}{}, c.recent
	}
	c.recent[fingerprint] = struct{}{}
}

// Contains reports whether a request ran clean recently.
func (c *CleanRuns) Contains(fingerprint uint64) bool {
	_, recent := c.recent[fingerprint]
	_, previous := c.previous[fingerprint]
	return recent || previous
}
