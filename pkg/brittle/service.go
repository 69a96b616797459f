package brittle

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportPeriod is the time for which a VM reports a change that it learned from an answer.
	reportPeriod = 3 * time.Second
	// maxReportDelay is the longest time that a peer's report takes. An endpoint that announced within it that it is brittle
	// may have done so after the end that the peer reports.
	maxReportDelay = time.Second
	// serviceRetention is the time after which a service of which no answer arrives is forgotten.
	serviceRetention = 10 * time.Minute
)

// ServiceState tells whether the endpoints of a service are brittle, as VMs exchange it.
type ServiceState struct {
	Service string
	// Revision increases with each change. Of two states of a service, the higher revision holds.
	Revision uint64
	Brittle  bool
	// Rejections is the number of requests that an endpoint may reject within a second. It is zero unless Brittle is set.
	Rejections int
}

// supersedes reports whether a state replaces another one. Of two states with the same revision, which VMs set at the same
// time, the stricter one holds.
func (s ServiceState) supersedes(old ServiceState) bool {
	switch {
	case s.Revision != old.Revision:
		return s.Revision > old.Revision
	case s.Brittle != old.Brittle:
		return s.Brittle
	}
	return s.Rejections < old.Rejections
}

// Change is the effect of an answer or a peer's report.
type Change struct {
	// Changed is false if the state is the same as before.
	Changed       bool
	Before, After ServiceState
	// Age is how long this VM had held the state before.
	Age time.Duration
}

// service is the state of one service. Only services whose endpoints were brittle have one.
type service struct {
	ServiceState
	// learnedAt is when this VM learned the revision, announcedAt when an answer to this VM last announced brittleness, and
	// seenAt when an answer or a report last concerned the service.
	learnedAt, announcedAt, seenAt time.Time
	// reportUntil is the time until which this VM reports a change that it learned from an answer, and staleReportAt when a
	// peer last reported an older state.
	reportUntil, staleReportAt time.Time
	// brittleSince is when this VM learned that the service is brittle.
	brittleSince time.Time
	// rejectedAt is when an endpoint last rejected a request, as far as known.
	rejectedAt time.Time
	// room is what an endpoint accepted that last rejected a request.
	room learnedRoom
}

// Answer is an answer of an endpoint to a request of this VM.
type Answer struct {
	Service      string
	Announcement Announcement
	// SentAt is when the request was sent.
	SentAt time.Time
	// Conclusive is set if the endpoint itself handled the request. Other answers may lack the announcement although the
	// endpoint is brittle.
	Conclusive bool
}

// Observe applies an answer. While a service is brittle the lowest number holds. An answer without an announcement ends that
// if its request was sent after the last announcement, since an answer to an earlier request may be older.
func (t *Table) Observe(a Answer, now time.Time) Change {
	s := t.services[a.Service]
	if a.Announcement.Kind == Announced {
		return t.observeAnnouncement(a, now)
	}
	if a.Announcement.Kind == Malformed || s == nil {
		return Change{}
	}
	s.seenAt = now
	if !s.Brittle || !a.Conclusive || !a.SentAt.After(s.learnedAt) || !a.SentAt.After(s.announcedAt) {
		return Change{}
	}
	return t.replace(ServiceState{Service: a.Service, Revision: s.Revision + 1}, true, now)
}

// observeAnnouncement applies an answer that announces brittleness.
func (t *Table) observeAnnouncement(a Answer, now time.Time) Change {
	next := ServiceState{Service: a.Service, Revision: 1, Brittle: true, Rejections: a.Announcement.Rejections}
	var change Change
	s := t.services[a.Service]
	if s != nil {
		next.Revision = s.Revision + 1
	}
	if s == nil || !s.Brittle || next.Rejections < s.Rejections {
		change = t.replace(next, true, now)
	}
	s = t.services[a.Service]
	s.announcedAt, s.seenAt = now, now
	return change
}

// Merge applies a state that a peer reported. An end is not believed if the endpoints may have been brittle since.
func (t *Table) Merge(r ServiceState, now time.Time) Change {
	s := t.services[r.Service]
	switch {
	case r.Brittle && r.Rejections < 1:
		return Change{}
	case s == nil:
		return t.replace(r, false, now)
	}
	s.seenAt = now
	switch {
	case !r.supersedes(s.ServiceState):
		if r != s.ServiceState {
			s.staleReportAt = now
		}
		return Change{}
	case s.Brittle && !r.Brittle && now.Sub(s.announcedAt) < maxReportDelay:
		s.Revision = r.Revision + 1
		s.reportUntil = now.Add(reportPeriod)
		return Change{}
	}
	return t.replace(r, false, now)
}

// replace sets the state of a service. A change that an answer made is reported for reportPeriod.
func (t *Table) replace(next ServiceState, fromAnswer bool, now time.Time) Change {
	s := t.services[next.Service]
	if s == nil {
		s = &service{learnedAt: now}
		t.services[next.Service] = s
	}
	change := Change{Before: s.ServiceState, After: next, Age: now.Sub(s.learnedAt)}
	change.Changed = s.Brittle != next.Brittle || s.Rejections != next.Rejections
	if next.Brittle && !s.Brittle {
		s.brittleSince = now
	}
	s.ServiceState, s.learnedAt, s.seenAt = next, now, now
	if fromAnswer {
		s.reportUntil = now.Add(reportPeriod)
	}
	return change
}

// ServiceReports returns the states for peers: the changes that this VM recently learned from answers and, with all set, all
// services that are brittle and those of which a peer recently reported an older state.
func (t *Table) ServiceReports(all bool, now time.Time) []ServiceState {
	var out []ServiceState
	for _, s := range t.services {
		isStale := !s.staleReportAt.IsZero() && now.Sub(s.staleReportAt) < reportPeriod
		if now.Before(s.reportUntil) || all && (s.Brittle || isStale) {
			out = append(out, s.ServiceState)
		}
	}
	slices.SortFunc(out, func(a, b ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
