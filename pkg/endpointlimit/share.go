package endpointlimit

import (
	"math"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

const (
	// limitPerOwner is the part of a limit, in requests per second, for which there is one owner more. A VM of a large
	// system gets a few requests a second, so it can use its part.
	limitPerOwner = 2.0
	// handoverDelay is the time between the moment at which a VM becomes an owner and its first request. In this time the
	// previous owner learns of the change, and requests that were sent before the limit was known arrive.
	handoverDelay = 2 * time.Second
	// burstPeriod is the time whose requests an owner may send at once, and minBurst the least number of them. With more
	// than one, an owner whose next request comes a little late loses nothing of its part.
	burstPeriod = 250 * time.Millisecond
	minBurst    = 1.5
	// minPerSecond is the rate, in requests per second over all VMs, at which an endpoint with a lower limit is probed.
	// Only an answer shows that the limit has ended.
	minPerSecond = 0.1
	// probeInterval is the time after which an owner that sent nothing to an endpoint probes it with a request.
	probeInterval = 5 * time.Second
	// maxWait bounds the time until the next request that NextSend returns.
	maxWait = 10 * time.Second
)

// Members is what a VM knows about the VMs of the system.
type Members struct {
	// Owners are the names of the VMs that may own limits, sorted: live VMs that recently received requests and are not
	// stopping. This VM is included if it may.
	Owners []string
	// Live is the number of live VMs, this one included. Known also counts VMs that fell silent, since they may only be
	// partitioned from this one and still send requests.
	Live, Known int
}

// part returns the part of every limit that the live VMs may use, so that the sides of a partition together keep to the
// limit.
func (m Members) part() float64 {
	if m.Known <= 0 {
		return 1
	}
	return math.Min(float64(m.Live)/float64(m.Known), 1)
}

// share is this VM's part of the limit of one endpoint.
type share struct {
	owner bool
	// rate is in requests per second, and burst the number of requests that may be sent at once.
	rate, burst float64
	// tokens is the number of requests that may be sent as of refilledAt. While refilledAt is in the future, none may be
	// sent.
	tokens     float64
	refilledAt time.Time
	// usedAt is when this VM last sent a request under the limit or became an owner.
	usedAt time.Time
}

// refill adds the tokens of the time since the last refill.
func (s *share) refill(now time.Time) {
	if elapsed := now.Sub(s.refilledAt).Seconds(); elapsed > 0 {
		s.tokens = math.Min(s.tokens+s.rate*elapsed, s.burst)
		s.refilledAt = now
	}
}

// nextToken returns when the next request may be sent.
func (s *share) nextToken(now time.Time) time.Time {
	s.refill(now)
	if s.tokens >= 1 {
		return now
	}
	from := s.refilledAt
	if from.Before(now) {
		from = now
	}
	return from.Add(waitFor(1-s.tokens, s.rate))
}

// waitFor returns the time in which a rate per second yields a number of tokens, at most maxWait.
func waitFor(tokens, rate float64) time.Duration {
	return time.Duration(math.Min(tokens/rate, maxWait.Seconds()) * float64(time.Second))
}

// SetMembers applies what this VM knows about the others, and recomputes its parts of all limits.
func (t *Table) SetMembers(m Members, now time.Time) {
	if slices.Equal(m.Owners, t.members.Owners) && m.part() == t.members.part() {
		return
	}
	t.members = m
	for _, e := range t.entries {
		t.updateShare(e, now)
	}
}

// updateShare recomputes this VM's part of the limit of an endpoint.
func (t *Table) updateShare(e *entry, now time.Time) {
	owners := ownerCount(e.PerSecond, len(t.members.Owners))
	if !e.Limited || !t.mayOwn() || !rendezvous.IsAmongFirst(e.key, t.vm, t.members.Owners, owners) {
		e.share = share{}
		return
	}
	s := &e.share
	if s.owner {
		s.refill(now)
	} else {
		*s = share{owner: true, refilledAt: now.Add(handoverDelay), usedAt: now}
	}
	s.rate = effectiveRate(e.PerSecond) * t.members.part() / float64(owners)
	s.burst = math.Max(minBurst, s.rate*burstPeriod.Seconds())
	s.tokens = math.Min(s.tokens, s.burst)
}

// mayOwn reports whether this VM may own limits.
func (t *Table) mayOwn() bool {
	_, found := slices.BinarySearch(t.members.Owners, t.vm)
	return found
}

// effectiveRate returns the rate in requests per second that is sent under a limit.
func effectiveRate(perSecond float64) float64 {
	return math.Max(perSecond, minPerSecond)
}

// ownerCount returns the number of owners of a limit among the VMs that may own it.
func ownerCount(perSecond float64, available int) int {
	wanted := 1 + math.Ceil(perSecond/limitPerOwner)
	return int(math.Min(wanted, float64(available)))
}

// NextSend returns when this VM may send the next request to an endpoint: now, or later if the endpoint is limited. For a
// VM that owns no part of the limit, it is the time after which the whole system may send one more.
func (t *Table) NextSend(endpoint fleet.Incarnation, now time.Time) time.Time {
	e := t.limited(endpoint)
	if e == nil {
		return now
	}
	if e.share.owner {
		return e.share.nextToken(now)
	}
	return now.Add(waitFor(1, effectiveRate(e.PerSecond)))
}

// ProbeDue reports whether this VM should send an endpoint a request to find out whether its limit still holds: it owns a
// part that it has not used for probeInterval.
func (t *Table) ProbeDue(endpoint fleet.Incarnation, now time.Time) bool {
	e := t.limited(endpoint)
	return e != nil && e.share.owner && now.Sub(e.share.usedAt) >= probeInterval
}

// RecordSend takes a request that is sent to an endpoint from this VM's part of the limit. It reports whether the
// endpoint is limited.
func (t *Table) RecordSend(endpoint fleet.Incarnation, now time.Time) bool {
	e := t.limited(endpoint)
	if e == nil {
		return false
	}
	e.share.refill(now)
	e.share.tokens--
	e.share.usedAt = now
	return true
}

// Usage is the state of all limits, for metrics.
type Usage struct {
	// Limited is the number of endpoints with a limit, and Owned the number of those of which this VM owns a part.
	Limited, Owned int
	// OwnedPerSecond is the sum of the parts that this VM owns, and LimitPerSecond that of the limits, in requests per
	// second.
	OwnedPerSecond, LimitPerSecond float64
}

// Usage returns the state of all limits.
func (t *Table) Usage() Usage {
	var u Usage
	for _, e := range t.entries {
		if !e.Limited {
			continue
		}
		u.Limited++
		u.LimitPerSecond += e.PerSecond
		if e.share.owner {
			u.Owned++
			u.OwnedPerSecond += e.share.rate
		}
	}
	return u
}
