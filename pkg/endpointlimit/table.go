package endpointlimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

const (
	// reportPeriod is the time for which a VM reports a change that it learned from an answer, and its state to a peer
	// that reported an older one.
	reportPeriod = 3 * time.Second
	// maxReports bounds the states of one report, so that a digest stays small when many endpoints are limited.
	maxReports = 64
	// maxReportDelay is the longest time that a peer's report takes. An endpoint that advertised its limit to this VM
	// within it may have done so after the end that the peer reports, so the limit stays in force.
	maxReportDelay = time.Second
	// unregisteredRetention is the time for which the limit of an endpoint that is not registered is kept, since a
	// registration may lapse while the store is away.
	unregisteredRetention = 10 * time.Minute
	// maxEntries bounds the table.
	maxEntries = 4096
)

// State is the limit of one incarnation of an endpoint as VMs exchange it.
type State struct {
	Endpoint fleet.Incarnation
	// Revision increases with each change. Of two states of the same incarnation, the higher revision holds.
	Revision uint64
	// Limited is false once an answer has ended the limit.
	Limited bool
	// PerSecond is the limit in requests per second over all VMs.
	PerSecond float64
}

// supersedes reports whether a state replaces another one. Of two states with the same revision, which VMs set at the
// same time, the stricter one holds.
func (s State) supersedes(old State) bool {
	switch {
	case s.Endpoint.StartTimeMs != old.Endpoint.StartTimeMs:
		return s.Endpoint.StartTimeMs > old.Endpoint.StartTimeMs
	case s.Revision != old.Revision:
		return s.Revision > old.Revision
	case s.Limited != old.Limited:
		return s.Limited
	}
	return s.PerSecond < old.PerSecond
}

// Change is the effect of an answer or a peer's report on the limit of an endpoint.
type Change struct {
	// Changed is false if the limit is the same as before.
	Changed bool
	// Rejected is set if a limit was not kept, because the table is full or the value is not a finite positive number.
	Rejected bool
	// Before is the state before the change, or the zero value if there was none.
	Before State
	// After is the state after the change.
	After State
	// Age is how long this VM had held the state before.
	Age time.Duration
}

// entry is the limit of one endpoint.
type entry struct {
	State
	// key is the key of the endpoint for rendezvous hashing.
	key uint64
	// learnedAt is when this VM learned the revision.
	learnedAt time.Time
	// advertisedAt is when an answer to this VM last advertised the limit, or zero.
	advertisedAt time.Time
	// reportUntil is the time until which this VM reports a state that it learned from an answer.
	reportUntil time.Time
	// staleReportAt is when a peer last reported an older state, or zero.
	staleReportAt time.Time
	// registeredAt is when the endpoint was last seen registered.
	registeredAt time.Time
	share        share
}

// Table holds the limits of all endpoints that advertised one. It is not safe for concurrent use.
type Table struct {
	vm      string
	entries map[string]*entry
	members Members
	// lastReported is the ID of the endpoint whose limit in force Reports returned last, and lastChange the same for
	// recently learned states.
	lastReported, lastChange string
}

// New returns an empty table for a VM.
func New(vm string) *Table {
	return &Table{vm: vm, entries: map[string]*entry{}}
}

// Answer is an answer of an endpoint to a request of this VM.
type Answer struct {
	Endpoint fleet.Incarnation
	Limit    Advertisement
	// SentAt is when the request was sent.
	SentAt time.Time
	// Conclusive is set if the endpoint itself handled the request. Other answers, such as refusals, may lack the limit
	// although it holds.
	Conclusive bool
}

// Observe applies an answer.
func (t *Table) Observe(a Answer, now time.Time) Change {
	e := t.entries[a.Endpoint.ID]
	if e != nil && a.Endpoint.StartTimeMs < e.Endpoint.StartTimeMs {
		// The endpoint has restarted since.
		return Change{}
	}
	if e != nil && a.Endpoint.StartTimeMs > e.Endpoint.StartTimeMs {
		// The limit of an earlier incarnation says nothing about this one.
		e = nil
	}
	switch a.Limit.Kind {
	case Advertised:
		return t.observeLimit(e, a, now)
	case None:
		return t.observeNoLimit(e, a, now)
	}
	return Change{}
}

// observeLimit applies an answer that advertises a limit. e is nil if no state of the incarnation is known.
func (t *Table) observeLimit(e *entry, a Answer, now time.Time) Change {
	next := State{Endpoint: a.Endpoint, Revision: 1, Limited: true, PerSecond: a.Limit.PerSecond}
	if e != nil {
		next.Revision = e.Revision + 1
	}
	var change Change
	if e == nil || e.mustAdopt(a) {
		change = t.replace(next, now)
		t.scheduleReport(a.Endpoint.ID, now)
	}
	if e := t.entries[a.Endpoint.ID]; e != nil {
		e.advertisedAt = now
	}
	return change
}

// observeNoLimit applies an answer without a limit. It ends a limit only if the request was sent after the limit was
// last advertised, since an answer to an earlier request may be older.
func (t *Table) observeNoLimit(e *entry, a Answer, now time.Time) Change {
	if e == nil || !e.Limited || !a.Conclusive || !a.SentAt.After(e.learnedAt) || !a.SentAt.After(e.advertisedAt) {
		return Change{}
	}
	next := e.State
	next.Revision++
	next.Limited = false
	change := t.replace(next, now)
	t.scheduleReport(a.Endpoint.ID, now)
	return change
}

// scheduleReport makes this VM report the state of an endpoint for reportPeriod.
func (t *Table) scheduleReport(id string, now time.Time) {
	if e := t.entries[id]; e != nil {
		e.reportUntil = now.Add(reportPeriod)
	}
}

// mustAdopt reports whether the limit in an answer of the same incarnation replaces the state. An answer to a request that
// was sent before the state was learned may be older than it, so it can only make the limit stricter.
func (e *entry) mustAdopt(a Answer) bool {
	if !e.Limited {
		return true
	}
	if a.SentAt.After(e.learnedAt) {
		return a.Limit.PerSecond != e.PerSecond
	}
	return a.Limit.PerSecond < e.PerSecond
}

// Merge applies a state that a peer reported.
func (t *Table) Merge(s State, now time.Time) Change {
	e := t.entries[s.Endpoint.ID]
	if e == nil {
		return t.replace(s, now)
	}
	if !s.supersedes(e.State) {
		if s != e.State {
			e.staleReportAt = now
		}
		return Change{}
	}
	if e.mayOutlast(s, now) {
		e.Revision = s.Revision + 1
		t.scheduleReport(s.Endpoint.ID, now)
		return Change{}
	}
	return t.replace(s, now)
}

// mayOutlast reports whether the limit may have been advertised to this VM after the end that a peer reports.
func (e *entry) mayOutlast(reported State, now time.Time) bool {
	if reported.Endpoint != e.Endpoint || reported.Limited || !e.Limited || e.advertisedAt.IsZero() {
		return false
	}
	return now.Sub(e.advertisedAt) < maxReportDelay
}

// replace sets the state of an endpoint.
func (t *Table) replace(next State, now time.Time) Change {
	if math.IsNaN(next.PerSecond) || math.IsInf(next.PerSecond, 0) || next.PerSecond < 0 {
		return Change{Rejected: true, After: next}
	}
	old := t.entries[next.Endpoint.ID]
	if old == nil && len(t.entries) >= maxEntries {
		return Change{Rejected: true, After: next}
	}
	e := &entry{
		State: next, key: rendezvous.Key(next.Endpoint.ID), learnedAt: now, registeredAt: now,
	}
	change := Change{Changed: true, After: next}
	if old != nil {
		change.Before = old.State
		change.Age = now.Sub(old.learnedAt)
		change.Changed = old.Limited != next.Limited || old.PerSecond != next.PerSecond
		if old.Endpoint == next.Endpoint {
			e.advertisedAt = old.advertisedAt
			e.share = old.share
		}
	} else if !next.Limited {
		change.Changed = false
	}
	t.entries[next.Endpoint.ID] = e
	t.updateShare(e, now)
	return change
}

// Reports returns up to maxReports states for peers: those that this VM recently learned from answers and, with all set,
// the limits in force and the states of which a peer recently reported an older one. The others follow in turn.
func (t *Table) Reports(all bool, now time.Time) []State {
	var changed, inForce []State
	for _, e := range t.entries {
		switch {
		case now.Before(e.reportUntil):
			changed = append(changed, e.State)
		case all && (e.Limited || !e.staleReportAt.IsZero() && now.Sub(e.staleReportAt) < reportPeriod):
			inForce = append(inForce, e.State)
		}
	}
	changed = nextInTurn(changed, maxReports, &t.lastChange)
	return append(changed, nextInTurn(inForce, maxReports-len(changed), &t.lastReported)...)
}

// nextInTurn returns up to count of the states in the order of their IDs, starting after the ID in last, which it updates.
func nextInTurn(states []State, count int, last *string) []State {
	slices.SortFunc(states, compareID)
	next, _ := slices.BinarySearchFunc(states, State{Endpoint: fleet.Incarnation{ID: *last + "\x00"}}, compareID)
	states = slices.Concat(states[next:], states[:next])
	states = states[:min(len(states), count)]
	if len(states) > 0 {
		*last = states[len(states)-1].Endpoint.ID
	}
	return states
}

// compareID orders states by the IDs of their endpoints.
func compareID(a, b State) int {
	return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID)
}

// States returns all states, ordered by endpoint, for a VM that starts.
func (t *Table) States() []State {
	out := make([]State, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.State)
	}
	slices.SortFunc(out, compareID)
	return out
}

// Expire removes the limits of endpoints that restarted or have not been registered for long, and returns the changes.
// registered returns the registered start time of an endpoint, in Unix milliseconds, or false.
func (t *Table) Expire(registered func(id string) (startTimeMs int64, ok bool), now time.Time) []Change {
	var changes []Change
	for id, e := range t.entries {
		start, ok := registered(id)
		if ok {
			e.registeredAt = now
		}
		if ok && start <= e.Endpoint.StartTimeMs || !ok && now.Sub(e.registeredAt) < unregisteredRetention {
			continue
		}
		delete(t.entries, id)
		if e.Limited {
			next := e.State
			next.Limited = false
			changes = append(changes, Change{Changed: true, Before: e.State, After: next, Age: now.Sub(e.learnedAt)})
		}
	}
	return changes
}

// Empty reports whether the table holds no state.
func (t *Table) Empty() bool {
	return len(t.entries) == 0
}

// limited returns the entry of an endpoint if its limit holds for an incarnation, or nil.
func (t *Table) limited(endpoint fleet.Incarnation) *entry {
	e := t.entries[endpoint.ID]
	if e == nil || !e.Limited || e.Endpoint.StartTimeMs < endpoint.StartTimeMs {
		return nil
	}
	return e
}
