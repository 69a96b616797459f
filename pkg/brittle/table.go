package brittle

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

const (
	// rejectionWindow is the time in which an endpoint counts its rejections.
	rejectionWindow = time.Second
	// fullFor is the time for which an endpoint that rejected a request counts as full for all VMs, and cautiousFor that for
	// which none of them risks another rejection.
	fullFor     = 500 * time.Millisecond
	cautiousFor = time.Second
	// settleFor is the time after a service became brittle in which its VMs risk no rejection, so that requests that wait from
	// before are served before endpoints let fewer wait.
	settleFor = 5 * time.Second
	// calmUse is the share of the room of a service, and of an endpoint, up to which a VM may send to more endpoints than those
	// of which it owns a share. calmChoices is the number of these endpoints, and calmFactor the least factor by which shares
	// are larger.
	calmUse     = 0.5
	calmChoices = 5
	calmFactor  = 2
	// fullUse is the share of the room of a service in use from which VMs keep to their shares. Below it, what they share is larger,
	// by up to the fraction growth.
	fullUse = 1.05
	growth  = 0.5
	// calmAfter is the time without a rejection by any endpoint of a service after which the service may be calm.
	calmAfter = 3 * time.Second
	// roomPerSecond is the number of requests by which the assumed room of an endpoint that rejected one grows in a second.
	roomPerSecond = 1.0
	// roomWeight is the weight of one rejection in the assumed room of the other endpoints of the service.
	roomWeight = 0.1
	// waitForRoom is the time after which a request may be tried again where this VM has used its share, or the endpoint is full.
	waitForRoom = 300 * time.Millisecond
	// endpointRetention is the time after the last use at which the state of an endpoint is forgotten.
	endpointRetention = time.Minute
	// maxRejectionReports bounds the rejections of one report, so that a digest stays small.
	maxRejectionReports = 64
)

// Endpoint is an endpoint of a service.
type Endpoint struct {
	fleet.Incarnation
	Service string
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
}

// Load is the number of requests in flight on an endpoint: those of this VM, and those of all VMs as far as known.
type Load struct {
	Own, Total int
}

// Rejection is the last rejection of a request by an endpoint, as VMs exchange it.
type Rejection struct {
	Endpoint fleet.Incarnation
	Service  string
	At       time.Time
	// Room is the number of requests that the endpoint is assumed to accept, and Slots that which it should run.
	Room, Slots int
}

// endpoint is the state of one start of an endpoint.
type endpoint struct {
	startTimeMs int64
	// service is the name of the endpoint's service, and slots the number of its slots. They are set once this VM got a
	// rejection.
	service string
	slots   int
	// key is the key for rendezvous hashing, and rank this VM's rank among the members as of the revision rankRevision.
	key          uint64
	rank         int
	rankRevision int
	usedAt       time.Time
	// rejected contains the times of the rejections that this VM got in the last rejectionWindow.
	rejected []time.Time
	// rejectedAt is when the endpoint last rejected a request of any VM, as far as known, or zero. While it counts as full,
	// this VM keeps at most held requests there, as many as it had then.
	rejectedAt time.Time
	held       int
	room       learnedRoom
}

// learnedRoom is the number of requests that an endpoint accepted when it rejected one, or zero before that.
type learnedRoom struct {
	requests float64
	at       time.Time
}

// Table holds the services whose endpoints are brittle, and this VM's part of what they tolerate. It is not safe for
// concurrent use.
type Table struct {
	vm        string
	services  map[string]*service
	endpoints map[string]*endpoint
	// members are the names of the VMs that may send requests, sorted. revision increases with each change.
	members  []string
	revision int
}

// New returns an empty table for a VM.
func New(vm string) *Table {
	return &Table{vm: vm, services: map[string]*service{}, endpoints: map[string]*endpoint{}, members: []string{vm}, revision: 1}
}

// SetMembers replaces the names of the VMs that may send requests, sorted. It reports whether they changed.
func (t *Table) SetMembers(names []string) bool {
	if slices.Equal(names, t.members) {
		return false
	}
	t.members = names
	t.revision++
	return true
}

// Empty reports whether no service is or recently was brittle.
func (t *Table) Empty() bool {
	return len(t.services) == 0
}

// Rejections returns the number of requests that an endpoint of a service may reject within a second, or false if the
// service is not brittle.
func (t *Table) Rejections(name string) (rejections int, isBrittle bool) {
	s := t.services[name]
	if s == nil || !s.Brittle {
		return 0, false
	}
	return s.Rejections, true
}

// Reason is why a request may be sent to an endpoint or not.
type Reason int

const (
	// Sound means that the endpoint is not brittle.
	Sound Reason = iota
	// Share means that this VM's requests are within its share of the endpoint's room and rejections.
	Share
	// Calm means that they are not, but the service and the endpoint are far from full.
	Calm
	// Full means that the endpoint rejected a request lately, or is known to have as many requests as it accepts.
	Full
	// ShareUsed means that this VM uses its share of the room and the rejections.
	ShareUsed
)

// String returns the reason's name in logs.
func (r Reason) String() string {
	return [...]string{"sound", "share", "calm", "full", "share used"}[r]
}

// Verdict is the decision on a request for an endpoint.
type Verdict struct {
	Allowed bool
	Reason  Reason
	// WaitUntil is when this VM may send to the endpoint again if the request is not allowed.
	WaitUntil time.Time
}

// Service is what a VM knows of the load of a service.
type Service struct {
	// Endpoints is the number of its endpoints in use, Room the sum of Table.Room over them, and Load the number of requests
	// of all VMs there.
	Endpoints, Room, Load int
}

// use returns the share of the room that is in use.
func (s Service) use() float64 {
	return float64(s.Load) / float64(max(s.Room, 1))
}

// Request is what a decision depends on besides the endpoint.
type Request struct {
	Service Service
	// Retry is set if an endpoint rejected the request before. It needs room that is known.
	Retry bool
}

// Room returns the number of requests that an endpoint is assumed to accept.
func (t *Table) Room(e Endpoint, now time.Time) int {
	if t.services[e.Service] == nil {
		return e.Slots
	}
	return t.currentRoom(t.state(e.Incarnation, now), e, now)
}

// Judge decides whether this VM may send a request to an endpoint.
//
// Unless the service is calm, the requests in flight and the recent rejections of each VM stay within its share of the
// endpoint's room plus the rejections that it tolerates. When the endpoint rejects a request, it holds as many requests in
// flight as its room, so of what the shares add up to at most these rejections are left for a second. This does not depend
// on what is known of the load of other VMs.
func (t *Table) Judge(e Endpoint, l Load, r Request, now time.Time) Verdict {
	rejections, isBrittle := t.Rejections(e.Service)
	if !isBrittle {
		return Verdict{Allowed: true, Reason: Sound}
	}
	x := t.state(e.Incarnation, now)
	room := t.currentRoom(x, e, now)
	limit, fullAt := t.limit(x, room, rejections, r, now), room+risked(rejections)
	if t.isSettling(e.Service, now) {
		limit, fullAt = room, room
	}
	full := now.Sub(x.rejectedAt) < fullFor
	switch {
	case full && l.Own >= x.held:
		return Verdict{Reason: Full, WaitUntil: x.rejectedAt.Add(fullFor)}
	case l.Total >= fullAt:
		return Verdict{Reason: Full, WaitUntil: now.Add(waitForRoom)}
	case l.Own+len(x.rejected) < t.share(x, limit):
		return Verdict{Allowed: true, Reason: Share}
	case !full && t.isCalm(e, l, r, room, now) && l.Own+len(x.rejected) < t.share(x, t.calmLimit(r, room)):
		return Verdict{Allowed: true, Reason: Calm}
	}
	return Verdict{Reason: ShareUsed, WaitUntil: now.Add(waitForRoom)}
}

// isSettling reports whether a service became brittle so lately that its endpoints may still hold more requests than they will
// let wait.
func (t *Table) isSettling(name string, now time.Time) bool {
	return now.Sub(t.services[name].brittleSince) < settleFor
}

// limit returns the number of requests at an endpoint that VMs share unless the service is calm. It exceeds the room by no
// more than the rejections that the endpoint tolerates.
func (t *Table) limit(x *endpoint, room, rejections int, r Request, now time.Time) int {
	limit := room
	if !r.Retry && now.Sub(x.rejectedAt) >= cautiousFor {
		limit += risked(rejections)
	}
	unused := min(max((fullUse-r.Service.use())/(fullUse-calmUse), 0), 1)
	return limit + min(int(growth*unused*float64(limit)), rejections-risked(rejections))
}

// isCalm reports whether a service and an endpoint are so far from full that VMs may send beyond their shares.
func (t *Table) isCalm(e Endpoint, l Load, r Request, room int, now time.Time) bool {
	s := t.services[e.Service]
	return now.Sub(s.rejectedAt) >= calmAfter && r.Service.use() < calmUse && float64(l.Total) < calmUse*float64(room)
}

// calmLimit returns the number of requests at an endpoint that VMs share while the service is calm. Every VM has a share of
// some endpoints, and few VMs have one of the same endpoint, since they may choose it at the same time.
func (t *Table) calmLimit(r Request, room int) int {
	return max(calmFactor*room, calmChoices*len(t.members)/max(r.Service.Endpoints, 1))
}

// risked returns the number of rejections within a second that the shares allow, of those that an endpoint tolerates. The
// rest is for requests that were sent while the service seemed calm, and for VMs that do not know each other yet.
func risked(rejections int) int {
	return min((rejections+1)/2, 3)
}

// share returns this VM's share of a number of requests at an endpoint. They are dealt out in turn, in the order of the
// VMs' ranks.
func (t *Table) share(x *endpoint, total int) int {
	if x.rankRevision != t.revision {
		x.rank = rendezvous.Rank(x.key, t.vm, t.members)
		x.rankRevision = t.revision
	}
	if x.rank >= total {
		return 0
	}
	return (total-x.rank-1)/max(len(t.members), 1) + 1
}

// RecordRejection records that an endpoint rejected a request of this VM. The load does not include the request.
func (t *Table) RecordRejection(e Endpoint, l Load, now time.Time) {
	s := t.services[e.Service]
	if s == nil || !s.Brittle {
		return
	}
	s.rejectedAt = later(s.rejectedAt, now)
	x := t.state(e.Incarnation, now)
	x.service, x.slots = e.Service, e.Slots
	x.rejected = append(x.rejected, now)
	x.markFull(l.Own, now)
	// The load may be known too late, so the assumed room at most halves.
	t.setRoom(s, x, max(l.Total, t.currentRoom(x, e, now)/2, 1), e.Slots, now)
}

// MergeRejection applies a rejection that a peer reported. own is the number of this VM's requests in flight there.
func (t *Table) MergeRejection(r Rejection, own int, now time.Time) {
	s := t.services[r.Service]
	if s == nil || now.Sub(r.At) >= fullFor {
		return
	}
	s.rejectedAt = later(s.rejectedAt, r.At)
	if x := t.state(r.Endpoint, now); x.startTimeMs == r.Endpoint.StartTimeMs && r.At.After(x.rejectedAt) {
		x.markFull(own, r.At)
		t.setRoom(s, x, max(r.Room, 1), r.Slots, now)
	}
}

// RejectionReports returns the rejections that this VM got lately, for peers.
func (t *Table) RejectionReports(now time.Time) []Rejection {
	var out []Rejection
	for id, x := range t.endpoints {
		x.expire(now)
		if n := len(x.rejected); n > 0 {
			out = append(out, Rejection{
				Endpoint: fleet.Incarnation{ID: id, StartTimeMs: x.startTimeMs}, Service: x.service, At: x.rejected[n-1],
				Room: int(x.room.requests), Slots: x.slots,
			})
		}
	}
	slices.SortFunc(out, func(a, b Rejection) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	return out[:min(len(out), maxRejectionReports)]
}

// Expire drops what is no longer needed.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.endpoints, func(_ string, x *endpoint) bool { return now.Sub(x.usedAt) > endpointRetention })
	maps.DeleteFunc(t.services, func(_ string, s *service) bool {
		return now.Sub(s.seenAt) > serviceRetention
	})
}

// Usage is the state of all services and endpoints, for metrics.
type Usage struct {
	// Services is the number of services whose endpoints are brittle, and Full that of the endpoints that count as full.
	Services, Full int
}

// Usage returns the state of all services and endpoints.
func (t *Table) Usage(now time.Time) Usage {
	var u Usage
	for _, s := range t.services {
		if s.Brittle {
			u.Services++
		}
	}
	for _, x := range t.endpoints {
		if now.Sub(x.rejectedAt) < fullFor {
			u.Full++
		}
	}
	return u
}

// Clone returns an independent copy of the table.
func (t *Table) Clone() *Table {
	c := *t
	c.services = make(map[string]*service, len(t.services))
	for name, s := range t.services {
		copied := *s
		c.services[name] = &copied
	}
	c.endpoints = make(map[string]*endpoint, len(t.endpoints))
	for id, x := range t.endpoints {
		copied := *x
		copied.rejected = slices.Clone(x.rejected)
		c.endpoints[id] = &copied
	}
	return &c
}

// state returns the state of an endpoint and creates it if needed. A later start of the endpoint begins anew.
func (t *Table) state(e fleet.Incarnation, now time.Time) *endpoint {
	x := t.endpoints[e.ID]
	if x == nil || x.startTimeMs < e.StartTimeMs {
		x = &endpoint{startTimeMs: e.StartTimeMs, key: rendezvous.Key(e.ID)}
		t.endpoints[e.ID] = x
	}
	x.usedAt = now
	x.expire(now)
	return x
}

// expire drops the rejections that no longer count.
func (x *endpoint) expire(now time.Time) {
	end := now.Add(-rejectionWindow)
	x.rejected = slices.DeleteFunc(x.rejected, func(at time.Time) bool { return !at.After(end) })
}

// markFull makes the endpoint count as full after a rejection at a time, with a number of this VM's requests in flight. While
// it is full already, this VM's places stay.
func (x *endpoint) markFull(own int, at time.Time) {
	if at.Sub(x.rejectedAt) < fullFor {
		own = max(own, x.held)
	}
	x.held = own
	x.rejectedAt = later(x.rejectedAt, at)
}

// setRoom sets the number of requests that an endpoint is assumed to accept. The other endpoints of its service that are not
// known better follow slowly, since one endpoint may differ.
func (t *Table) setRoom(s *service, x *endpoint, room, slots int, now time.Time) {
	x.room = learnedRoom{float64(room), now}
	s.room = learnedRoom{s.room.grown(slots, now)*(1-roomWeight) + float64(room)*roomWeight, now}
}

// currentRoom returns the number of requests that an endpoint is assumed to accept, which is at most its slots.
func (t *Table) currentRoom(x *endpoint, e Endpoint, now time.Time) int {
	room := x.room
	if room.at.IsZero() {
		room = t.services[e.Service].room
	}
	return max(int(room.grown(e.Slots, now)), 1)
}

// grown returns the room at a time, which is at most the number of slots.
func (r learnedRoom) grown(slots int, now time.Time) float64 {
	if r.at.IsZero() {
		return float64(slots)
	}
	return min(float64(slots), r.requests+now.Sub(r.at).Seconds()*roomPerSecond)
}
