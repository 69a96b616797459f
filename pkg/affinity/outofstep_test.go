package affinity

import (
	"testing"
	"time"
)

// Guards against a process that was suspended, cut off, or whose list of endpoints is old, and takes the version that it knows
// for the only one: a stream that began meanwhile at a version that joined would go on at another version.
func TestProcessOutOfStepInfersNoOrigin(t *testing.T) {
	start := time.Unix(1000, 0)
	const interval = 500 * time.Millisecond
	// observe observes version v1 until a time, with lists that are complete up to then less lag.
	observe := func(table *Table, from, to time.Time, lag time.Duration) {
		for at := from; !at.After(to); at = at.Add(interval) {
			table.Observe("s", []string{"v1"}, at.Add(-lag), at)
		}
	}
	settled := start.Add(LostRecordsPeriod + interval)
	id := IDOf("attempt")
	for name, c := range map[string]struct {
		// after is what happens once the process is settled. It returns the time of the lookup.
		after func(table *Table) time.Time
		known bool
	}{
		"in step": {func(table *Table) time.Time {
			observe(table, settled, settled.Add(4*time.Second), interval)
			return settled.Add(4 * time.Second)
		}, true},
		"just resumed": {func(*Table) time.Time { return settled.Add(3500 * time.Millisecond) }, false},
		"resumed, lists again": {func(table *Table) time.Time {
			observe(table, settled.Add(3500*time.Millisecond), settled.Add(5*time.Second), 0)
			return settled.Add(5 * time.Second)
		}, false},
		"cut off, with its old list": {func(table *Table) time.Time {
			for lag := time.Duration(0); lag <= 4*time.Second; lag += interval {
				table.Observe("s", []string{"v1"}, settled, settled.Add(lag))
			}
			return settled.Add(4 * time.Second)
		}, false},
		"in step again for long": {func(table *Table) time.Time {
			back := settled.Add(3500 * time.Millisecond)
			observe(table, back, back.Add(LostRecordsPeriod), 0)
			return back.Add(LostRecordsPeriod)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			observe(table, start, settled, 0)
			now := c.after(table)
			if o, known := table.Lookup(id, "s", false, now); known != c.known {
				t.Errorf("origin %+v, known %v, want %v", o, known, c.known)
			}
		})
	}
}
