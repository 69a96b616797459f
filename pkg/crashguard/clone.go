package crashguard

import (
	"maps"
	"slices"
)

// Clone returns an independent copy of the tally.
func (t *Tally) Clone() *Tally {
	c := *t
	c.requests = maps.Clone(t.requests)
	for fingerprint, r := range c.requests {
		crashes := *r
		crashes.cleared = maps.Clone(r.cleared)
		c.requests[fingerprint] = &crashes
	}
	c.suspectParts, c.refusedParts = maps.Clone(t.suspectParts), maps.Clone(t.refusedParts)
	c.changedParts = slices.Clone(t.changedParts)
	c.rivalParts = maps.Clone(t.rivalParts)
	// refreshRefusedParts replaces these maps as a whole.
	c.rivalsByEndpoint, c.storedParts = t.rivalsByEndpoint, t.storedParts
	return &c
}
