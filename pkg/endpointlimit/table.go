package endpointlimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

const (
	// tellPeriod is the time for which a VM tells peers a change that it learned from an answer, and answers a peer that
	// holds an older state.
	tellPeriod = 3 * time.Second
	// maxReports bounds the states that are told at once, so that a digest stays small when many endpoints are limited.
	maxReports = 64
	// doubtPeriod is the longest time that a peer's report of an end may take to arrive. An endpoint that named its limit
	// to this VM within it may have done so after the end, so the limit is named again.
	doubtPeriod = time.Second
	// unregisteredRetention is the time for which the limit of an endpoint that is not registered is kept, since a
	// registration may lapse while the store is away.
	unregisteredRetention = 10 * time.Minute
	// maxEntries bounds the table.
	maxEntries = 4096
)

// Incarnation is one start of an endpoint.
type Incarnation struct {
	ID string
	// StartTimeMs is the start of the endpoint in Unix milliseconds, or zero if it is not reported.
	StartTimeMs int64
}

// State is the limit of one start of an endpoint as VMs exchange it.
type State struct {
	Endpoint Incarnation
	// Revision increases with each change. Of two states of the same start, the one with the higher revision holds.
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
	// Was is the state before, or the zero value if there was none.
	Was State
	// Now is the state after.
	Now State
	// Age is how long the state before had held on this VM.
	Age time.Duration
}

// entry is the limit of one endpoint.
type entry struct {
	State
	// key is the key of the endpoint for rendezvous hashing.
	key uint64
	// learnedAt is when this VM learned the revision.
	learnedAt time.Time
	// namedAt is when an answer to this VM last named the limit, or zero.
	namedAt time.Time
	// tellUntil is the time until which this VM tells peers a state that it learned from an answer.
	tellUntil time.Time
	// olderSeenAt is when a peer last reported an older state, or zero.
	olderSeenAt time.Time
	// registeredAt is when the endpoint was last seen registered.
	registeredAt time.Time
	share        share
}

// Table holds the limits of all endpoints that named one. It is not safe for concurrent use.
type Table struct {
	vm      string
	entries map[string]*entry
	members Members
	// reported is the id of the last endpoint whose state was told without having changed.
	reported string
}

// New returns an empty table for a VM.
func New(vm string) *Table {
	return &Table{vm: vm, entries: map[string]*entry{}}
}

// Answer is an answer of an endpoint to a request of this VM.
type Answer struct {
	Endpoint Incarnation
	Limit    Statement
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
		return Change{}
	}
	current := e != nil && a.Endpoint.StartTimeMs == e.Endpoint.StartTimeMs
	switch a.Limit.Kind {
	case Limited:
		next := State{Endpoint: a.Endpoint, Revision: 1, Limited: true, PerSecond: a.Limit.PerSecond}
		if current {
			next.Revision = e.Revision + 1
		}
		change := Change{}
		if !current || e.mustAdopt(a) {
			change = t.replace(next, now)
			t.tell(next.Endpoint.ID, now)
		}
		if e = t.entries[a.Endpoint.ID]; e != nil {
			e.namedAt = now
		}
		return change
	case Unlimited:
		if !current || !e.Limited || !a.Conclusive || !a.SentAt.After(e.learnedAt) || !a.SentAt.After(e.namedAt) {
			// An answer to an earlier request may have been given before the limit was named.
			return Change{}
		}
		next := e.State
		next.Revision++
		next.Limited = false
		change := t.replace(next, now)
		t.tell(next.Endpoint.ID, now)
		return change
	}
	return Change{}
}

// tell tells peers the state of an endpoint for tellPeriod.
func (t *Table) tell(id string, now time.Time) {
	if e := t.entries[id]; e != nil {
		e.tellUntil = now.Add(tellPeriod)
	}
}

// mustAdopt reports whether the limit that an answer of the same start names replaces the state. Answers to requests
// that were sent before the state was learned may be older than it; such an answer can only make the limit stricter.
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
			e.olderSeenAt = now
		}
		return Change{}
	}
	sameStart := s.Endpoint == e.Endpoint
	if sameStart && e.Limited && !s.Limited && !e.namedAt.IsZero() && now.Sub(e.namedAt) < doubtPeriod {
		// The endpoint may have named its limit to this VM after it ended it to the peer.
		e.Revision = s.Revision + 1
		e.tellUntil = now.Add(tellPeriod)
		return Change{}
	}
	return t.replace(s, now)
}

// replace sets the state of an endpoint.
func (t *Table) replace(next State, now time.Time) Change {
	if math.IsNaN(next.PerSecond) || math.IsInf(next.PerSecond, 0) || next.PerSecond < 0 {
		return Change{Rejected: true, Now: next}
	}
	old := t.entries[next.Endpoint.ID]
	if old == nil && len(t.entries) >= maxEntries {
		return Change{Rejected: true, Now: next}
	}
	e := &entry{
		State: next, key: rendezvous.Key(next.Endpoint.ID), learnedAt: now, registeredAt: now,
	}
	change := Change{Changed: true, Now: next}
	if old != nil {
		change.Was = old.State
		change.Age = now.Sub(old.learnedAt)
		change.Changed = old.Limited != next.Limited || old.PerSecond != next.PerSecond
		if old.Endpoint == next.Endpoint {
			e.namedAt = old.namedAt
			e.share = old.share
		}
	} else if !next.Limited {
		change.Changed = false
	}
	t.entries[next.Endpoint.ID] = e
	t.updateShare(e, now)
	return change
}

// Reports returns up to maxReports states to tell peers: those that this VM learned from answers lately, and with all set
// also the limits in force and the states of which a peer lately reported an older one. What does not fit is told with
// the next reports.
func (t *Table) Reports(all bool, now time.Time) []State {
	var changed, standing []State
	for _, e := range t.entries {
		switch {
		case now.Before(e.tellUntil):
			changed = append(changed, e.State)
		case all && (e.Limited || !e.olderSeenAt.IsZero() && now.Sub(e.olderSeenAt) < tellPeriod):
			standing = append(standing, e.State)
		}
	}
	slices.SortFunc(standing, func(a, b State) int {
		// The endpoints after the one told last come first.
		return cmp.Or(compareBool(a.Endpoint.ID <= t.reported, b.Endpoint.ID <= t.reported), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	changed = changed[:min(len(changed), maxReports)]
	standing = standing[:min(len(standing), maxReports-len(changed))]
	if len(standing) > 0 {
		t.reported = standing[len(standing)-1].Endpoint.ID
	}
	return append(changed, standing...)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// States returns all states, for a VM that starts.
func (t *Table) States() []State {
	out := make([]State, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.State)
	}
	return out
}

// Expire removes the limits of endpoints that started again or have not been registered for long, and returns the
// changes. registered returns the registered start of an endpoint, or false.
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
			changes = append(changes, Change{Changed: true, Was: e.State, Now: next, Age: now.Sub(e.learnedAt)})
		}
	}
	return changes
}

// Empty reports whether no endpoint has named a limit.
func (t *Table) Empty() bool {
	return len(t.entries) == 0
}

// limited returns the entry of an endpoint if its limit holds for a start, or nil.
func (t *Table) limited(endpoint Incarnation) *entry {
	e := t.entries[endpoint.ID]
	if e == nil || !e.Limited || e.Endpoint.StartTimeMs < endpoint.StartTimeMs {
		return nil
	}
	return e
}
