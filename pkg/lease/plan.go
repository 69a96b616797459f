package lease

import (
	"slices"
	"time"
)

// planner is one run of Plan.
type planner struct {
	*Manager
	view View
	now  time.Time
	out  []Record
	// held counts the slots of each VM by log order.
	held map[string]int
	// floor and ceiling bound the even share of one VM, in slots.
	floor   int
	ceiling int
}

// Plan returns the records that the VM should append now. They take effect when they are read back. Nothing is
// planned unless the VM read the log to its end less than Forfeit ago.
func (m *Manager) Plan(now time.Time, v View) []Record {
	if v.Retention <= 0 {
		v.Retention = DefaultRetention
	}
	m.slots = v.Slots
	m.retention = v.Retention
	m.hear(now, v)
	if m.ownReadAt.IsZero() || now.Sub(m.ownReadAt) >= Forfeit {
		return nil
	}
	p := &planner{Manager: m, view: v, now: now, held: map[string]int{}}
	p.share()
	p.stops()
	p.releases()
	p.renewals()
	if !v.Draining {
		p.claims()
	}
	return p.out
}

// share counts the slots and computes the even share.
func (p *planner) share() {
	for i := range p.view.Slots {
		s, known := p.table.State(SlotResource(i))
		if !known || s.Released {
			continue
		}
		if s.Holder.sameProcess(p.self) && p.releasing(s) {
			continue
		}
		p.held[s.Holder.VM]++
	}
	n := max(1, len(p.view.Live))
	p.floor = p.view.Slots / n
	p.ceiling = (p.view.Slots + n - 1) / n
}

func (p *planner) releasing(s State) bool {
	n, ok := p.notes[s.Resource]
	return ok && n.releasing == s.Epoch
}

// send plans a record unless the same one is on its way.
func (p *planner) send(r Record) {
	n := p.note(r.Resource)
	if e, ok := n.sent[r.Kind]; ok && (e.epoch == r.Epoch || r.Partial) {
		age := p.now.Sub(e.at)
		// A read that started after the append must have missed the record.
		if age < RepeatAfter+p.jittered(repeatJitter) || !p.ownReadAt.After(e.at) {
			return
		}
	}
	n.sent[r.Kind] = sent{epoch: r.Epoch, at: p.now}
	p.out = append(p.out, r)
}

func (p *planner) jittered(d time.Duration) time.Duration {
	return time.Duration(p.view.Jitter * float64(d))
}

// stops states that this process, displaced by a claim that it has read, no longer acts, or that an earlier process
// at its address has ended. The claimant need not wait then.
func (p *planner) stops() {
	for _, resource := range p.table.resources() {
		s, _ := p.table.State(resource)
		for _, d := range s.Displaced {
			if p.self.replaces(d.Holder) {
				p.send(Record{Kind: KindRelease, Resource: resource, Epoch: d.Epoch, Holder: d.Holder})
			}
		}
	}
}

// release gives up a resource. The process does not act on it from now on, whatever becomes of the record.
func (p *planner) release(s State) {
	p.note(s.Resource).releasing = s.Epoch
	p.send(Record{Kind: KindRelease, Resource: s.Resource, Epoch: s.Epoch, Holder: p.self})
}

func (p *planner) releases() {
	spare := p.surplus()
	for _, resource := range slices.Backward(p.table.resources()) {
		s, _ := p.table.State(resource)
		if s.Released || !s.Holder.sameProcess(p.self) {
			continue
		}
		index, isSlot := SlotIndex(resource)
		switch {
		case p.releasing(s), p.view.Draining:
			p.release(s)
		case isSlot && index >= p.view.Slots, !isSlot && !p.view.Orders:
			p.release(s)
		case isSlot && spare > 0 && p.owns(resource):
			p.release(s)
			p.held[p.self.VM]--
			spare--
		}
	}
}

// surplus returns how many slots this VM should release: those above the ceiling, and one where another VM lacks
// slots that are not free.
func (p *planner) surplus() int {
	mine := p.held[p.self.VM]
	if mine > p.ceiling {
		return mine - p.ceiling
	}
	lacking := -p.free()
	for _, vm := range p.view.Live {
		lacking += max(0, p.floor-p.held[vm])
	}
	if mine <= p.floor || lacking <= 0 {
		return 0
	}
	// The VMs above the floor release one each, in the order of their names, until enough are free.
	before := 0
	for _, vm := range p.view.Live {
		if p.held[vm] > p.floor && (p.held[vm] > mine || p.held[vm] == mine && vm < p.self.VM) {
			before++
		}
	}
	if before < lacking {
		return 1
	}
	return 0
}

// free returns the number of slots that nobody holds.
func (p *planner) free() int {
	n := p.view.Slots
	for _, held := range p.held {
		n -= held
	}
	return n
}

// renewals repeats states before their records expire, and states that a takeover has become active.
func (p *planner) renewals() {
	for _, resource := range p.table.resources() {
		s, _ := p.table.State(resource)
		own := !s.Released && s.Holder.sameProcess(p.self)
		if own && p.releasing(s) {
			continue
		}
		switch {
		case own && p.waited(s):
			p.renew(s, true)
		case own && !s.Assumed && p.stale(s, p.view.Retention/renewFraction, 0):
			p.renew(s, len(s.Displaced) == 0)
		case !own && !s.Assumed && p.stale(s, p.view.Retention/carryFraction, carryDelay+p.jittered(carryDelay)):
			p.renew(s, false)
		}
	}
}

func (p *planner) renew(s State, active bool) {
	p.send(Record{
		Kind:      KindRenew,
		Resource:  s.Resource,
		Epoch:     s.Epoch,
		Holder:    s.Holder,
		Read:      p.table.Next(),
		Fence:     s.Fence,
		Released:  s.Released,
		Active:    active,
		Displaced: activeOnly(active, s.Displaced),
	})
}

func activeOnly(active bool, displaced []Displaced) []Displaced {
	if active {
		return nil
	}
	return displaced
}

// age is the time since this VM applied the newest record that tells the state.
func (p *planner) age(s State) time.Duration {
	return p.now.Sub(p.note(s.Resource).statedAt)
}

// stale reports whether the state must be repeated: it is old, its record has expired, or a VM did not know it. Other
// VMs than the holder wait a little longer, so that usually the holder alone repeats it.
func (p *planner) stale(s State, limit, delay time.Duration) bool {
	n := p.note(s.Resource)
	if !s.Contested && s.Stated >= p.view.LogStart && p.age(s) < limit {
		return false
	}
	if n.staleAt.IsZero() {
		n.staleAt = p.now
	}
	return p.now.Sub(n.staleAt) >= delay
}

// waited reports whether a takeover by this process may become active: the displaced holders had time to lapse
// and the VM list did not show them meanwhile, which would have let them go on by E3.
func (p *planner) waited(s State) bool {
	if !s.Assumed && len(s.Displaced) == 0 {
		return false
	}
	if s.Assumed && !p.unheld(s.Resource) {
		return false
	}
	if p.now.Sub(p.note(s.Resource).changedAt) < TakeoverWait {
		return false
	}
	for _, d := range s.Displaced {
		if !p.absent.fresh(p.now) || p.absent.span(d.Holder) < TakeoverWait {
			return false
		}
	}
	return true
}

// hear remembers which VMs answered and what they said they act on.
func (m *Manager) hear(now time.Time, v View) {
	unbroken := now.Sub(m.plannedAt) < Forfeit
	m.plannedAt = now
	for _, resource := range v.PeerHolds {
		m.note(resource).peerHeldAt = now
	}
	switch {
	case !v.AllAnswer:
		m.answeredSince = time.Time{}
	case m.answeredSince.IsZero() || !unbroken:
		m.answeredSince = now
	}
}

// unheld reports whether no VM acts on a resource of which the log holds no certain state. Its holder may be cut off
// from the log and go on by E3. It is on the VM list then and has answered, or has left the list for long enough to
// lapse.
func (p *planner) unheld(resource string) bool {
	if p.answeredSince.IsZero() || p.now.Sub(p.answeredSince) < TakeoverWait {
		return false
	}
	return p.now.Sub(p.note(resource).peerHeldAt) >= TakeoverWait
}

func (p *planner) claims() {
	if p.absent.fresh(p.now) && !p.absent.shows(p.self) {
		// Others would take over at once what a VM claims that is not on the list.
		return
	}
	mine := p.held[p.self.VM] + p.pendingSlots()
	for _, resource := range p.candidates() {
		index, isSlot := SlotIndex(resource)
		room := p.view.Orders
		if isSlot {
			room = mine < p.wanted() || mine == p.wanted() && p.claimSent(resource)
		}
		switch {
		case p.claimableAsOwn(resource):
		case room && p.claimable(resource):
		case (isSlot || room) && p.takeover(resource, index):
		default:
			continue
		}
		if isSlot && !p.claimSent(resource) {
			mine++
		}
		p.claim(resource)
	}
}

// wanted returns how many slots this VM should hold: the floor, and up to the ceiling once no live VM is below
// the floor.
func (p *planner) wanted() int {
	for _, vm := range p.view.Live {
		if vm != p.self.VM && p.held[vm] < p.floor {
			return p.floor
		}
	}
	return p.ceiling
}

// candidates returns the resources to consider for claims. The VMs start at different slots, so that fewer of
// their claims are void.
func (p *planner) candidates() []string {
	rank := max(0, slices.Index(p.view.Live, p.self.VM))
	out := make([]string, 0, p.view.Slots+1)
	out = append(out, ResourceOrders)
	for i := range p.view.Slots {
		out = append(out, SlotResource((i+rank*max(1, p.floor))%p.view.Slots))
	}
	return out
}

// claimSent reports whether a claim is on its way and not overdue by far.
func (p *planner) claimSent(resource string) bool {
	e, ok := p.note(resource).sent[KindClaim]
	return ok && p.now.Sub(e.at) < 2*(RepeatAfter+repeatJitter)
}

func (p *planner) pendingSlots() int {
	n := 0
	for i := range p.view.Slots {
		if p.claimSent(SlotResource(i)) {
			n++
		}
	}
	return n
}

func (p *planner) claim(resource string) {
	s, known := p.table.State(resource)
	r := Record{
		Kind:     KindClaim,
		Resource: resource,
		Epoch:    s.Epoch + 1,
		Holder:   p.self,
		Read:     p.table.Next(),
		Partial:  !known && p.table.base != 0 || s.Assumed,
	}
	if r.Partial {
		r.Epoch = r.Read + 1
	}
	p.send(r)
}

// claimableAsOwn reports whether an earlier process of this VM holds the resource.
func (p *planner) claimableAsOwn(resource string) bool {
	s, known := p.table.State(resource)
	return known && !s.Released && p.self.replaces(s.Holder) && !s.Holder.sameProcess(p.self)
}

// claimable reports whether nobody holds the resource.
func (p *planner) claimable(resource string) bool {
	s, known := p.table.State(resource)
	if !known {
		// A holder whose records have expired repeats its state as soon as it reads the log.
		return p.table.base == 0 || p.now.Sub(p.caughtUpAt) >= TakeoverWait && p.unheld(resource)
	}
	if s.Assumed {
		gone := p.absent.fresh(p.now) && p.absent.span(s.Holder) >= Unlisted
		return (s.Released || gone) && p.unheld(resource)
	}
	return s.Released && p.now.Sub(p.note(resource).changedAt) >= p.jittered(freeJitter)
}

// takeover reports whether this VM should claim a resource whose holder is not on the VM list.
func (p *planner) takeover(resource string, index int) bool {
	s, known := p.table.State(resource)
	if !known || s.Released || s.Assumed || s.Holder.VM == p.self.VM && s.Holder.Address == p.self.Address {
		return false
	}
	// A list that does not show this VM is not a list to judge others by.
	if !p.absent.fresh(p.now) || !p.absent.shows(p.self) {
		return false
	}
	gone := p.absent.span(s.Holder)
	if p.held[p.self.VM] == 0 {
		return gone >= Unlisted && p.holdersGone()
	}
	if p.taker(index) == p.self.VM {
		return gone >= Unlisted
	}
	return gone >= Unlisted+takeoverJitter+p.jittered(takeoverJitter)
}

// holdersGone reports whether no holder was on the VM list for so long that none can act by E4, which does not
// ask a VM without slots.
func (p *planner) holdersGone() bool {
	for _, h := range p.Electorate() {
		if p.absent.span(h) < VouchLimit+Forfeit+Unlisted {
			return false
		}
	}
	return true
}

// taker returns the live VM that should take over the slot: VMs with slots take turns.
func (p *planner) taker(index int) string {
	var takers []string
	for _, vm := range p.view.Live {
		if p.held[vm] > 0 {
			takers = append(takers, vm)
		}
	}
	if len(takers) == 0 {
		return ""
	}
	slices.Sort(takers)
	return takers[index%len(takers)]
}
