package endpointlimit

import "maps"

// Clone returns an independent copy of the table.
func (t *Table) Clone() *Table {
	c := *t
	c.entries = maps.Clone(t.entries)
	for id, e := range c.entries {
		state := *e
		c.entries[id] = &state
	}
	return &c
}
