package crashguard

import "time"

// maxCleanPerGeneration is the number of requests after which CleanRuns starts a new generation.
const maxCleanPerGeneration = 2048

// CleanRuns is a bounded set of the fingerprints of requests that endpoints answered recently. A request that crashes
// endpoints crashes each one that runs it, so one that ran clean is not at fault. The set holds at least the last
// maxCleanPerGeneration requests and at most twice as many. It is not safe for concurrent use.
type CleanRuns struct {
	// validity is the time for which a clean run counts, or zero for as long as it is held.
	validity         time.Duration
	recent, previous map[uint64]time.Time
}

// NewCleanRuns returns an empty set, whose clean runs count for the given time, or for as long as they are held if it is
// zero.
func NewCleanRuns(validity time.Duration) *CleanRuns {
	return &CleanRuns{validity: validity, recent: map[uint64]time.Time{}}
}

// Add adds a request that ran clean.
func (c *CleanRuns) Add(fingerprint uint64, now time.Time) {
	if len(c.recent) >= maxCleanPerGeneration {
		c.recent, c.previous = map[uint64]time.Time{}, c.recent
	}
	c.recent[fingerprint] = now
}

// Contains reports whether a request ran clean recently.
func (c *CleanRuns) Contains(fingerprint uint64, now time.Time) bool {
	at, known := c.recent[fingerprint]
	if !known {
		at, known = c.previous[fingerprint]
	}
	return known && (c.validity == 0 || now.Sub(at) <= c.validity)
}
