package lease

import (
	"slices"
	"time"
)

// planner holds the state of one call of Plan.
type planner struct {
	*Manager
	view    View
	now     time.Time
	records []Record
	// held is the number of slots of each VM according to the log, without those that this process is releasing.
	held map[string]int
	// floor and ceiling are the bounds of one VM's even share, in slots.
	floor   int
	ceiling int
}

// Plan returns the records that the VM should append now. They take effect when they are read back. Plan returns none
// unless the VM read the log to its end less than EvidenceTTL ago.
func (m *Manager) Plan(now time.Time, v View) []Record {
	if v.Retention <= 0 {
		v.Retention = DefaultRetention
	}
	m.slots = v.Slots
	m.retention = v.Retention
	m.recordPeerAnswers(now, v)
	if m.ownReadAt.IsZero() || now.Sub(m.ownReadAt) >= EvidenceTTL {
		return nil
	}
	p := &planner{Manager: m, view: v, now: now, held: map[string]int{}}
	p.computeShares()
	p.planDisplacedReleases()
	p.planReleases()
	p.planRenewals()
	if !v.Draining {
		p.planClaims()
	}
	return p.records
}

// computeShares counts the slots of each VM and computes the even share.
func (p *planner) computeShares() {
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

// releasing reports whether this process has decided to release the epoch.
func (p *planner) releasing(s State) bool {
	local, ok := p.localStates[s.Resource]
	return ok && local.releasing == s.Epoch
}

// enqueue adds a record to the plan unless the same one is pending.
func (p *planner) enqueue(r Record) {
	local := p.localState(r.Resource)
	if e, ok := local.pending[r.Kind]; ok && (e.epoch == r.Epoch || r.Partial) {
		age := p.now.Sub(e.at)
		// The record counts as lost only if a read that started after the append did not contain it.
		if age < ResendAfter+p.jittered(resendJitter) || !p.ownReadAt.After(e.at) {
			return
		}
	}
	local.pending[r.Kind] = pending{epoch: r.Epoch, at: p.now}
	p.records = append(p.records, r)
}

// jittered returns d times the jitter of this plan.
func (p *planner) jittered(d time.Duration) time.Duration {
	return time.Duration(p.view.Jitter * float64(d))
}

// planDisplacedReleases releases the epochs of this process that were displaced by a claim it has read, and those of
// earlier processes at its address, which have ended. The claimant then need not wait.
func (p *planner) planDisplacedReleases() {
	for _, resource := range p.table.resources() {
		s, _ := p.table.State(resource)
		for _, d := range s.Displaced {
			if p.self.replaces(d.Holder) {
				p.enqueue(Record{Kind: KindRelease, Resource: resource, Epoch: d.Epoch, Holder: d.Holder})
			}
		}
	}
}

// planRelease releases a resource. The process does not act on it from now on, whether or not the record reaches the
// log.
func (p *planner) planRelease(s State) {
	p.localState(s.Resource).releasing = s.Epoch
	p.enqueue(Record{Kind: KindRelease, Resource: s.Resource, Epoch: s.Epoch, Holder: p.self})
}

// planReleases releases everything when draining, resources that the VM should no longer hold, and surplus slots.
func (p *planner) planReleases() {
	excess := p.surplusSlots()
	for _, resource := range slices.Backward(p.table.resources()) {
		s, _ := p.table.State(resource)
		if s.Released || !s.Holder.sameProcess(p.self) {
			continue
		}
		index, isSlot := SlotIndex(resource)
		switch {
		case p.releasing(s), p.view.Draining:
			p.planRelease(s)
		case isSlot && index >= p.view.Slots, !isSlot && !p.view.CanIssueOrders:
			p.planRelease(s)
		case isSlot && excess > 0 && p.owns(resource):
			p.planRelease(s)
			p.held[p.self.VM]--
			excess--
		}
	}
}

// surplusSlots returns the number of slots that this VM should release: those above the ceiling, or one if other VMs
// are below the floor by more slots than are free.
func (p *planner) surplusSlots() int {
	mine := p.held[p.self.VM]
	if mine > p.ceiling {
		return mine - p.ceiling
	}
	lacking := -p.freeSlots()
	for _, vm := range p.view.Live {
		lacking += max(0, p.floor-p.held[vm])
	}
	if mine <= p.floor || lacking <= 0 {
		return 0
	}
	// The VMs above the floor release one slot each, those with most slots first and then in the order of their names,
	// until enough are free.
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

// freeSlots returns the number of slots that no VM holds.
func (p *planner) freeSlots() int {
	n := p.view.Slots
	for _, held := range p.held {
		n -= held
	}
	return n
}

// planRenewals repeats states before their records expire, and announces when a takeover by this process becomes
// active.
func (p *planner) planRenewals() {
	for _, resource := range p.table.resources() {
		s, _ := p.table.State(resource)
		own := !s.Released && s.Holder.sameProcess(p.self)
		if own && p.releasing(s) {
			continue
		}
		switch {
		case own && p.canActivate(s):
			p.planRenewal(s, true)
		case own && !s.Assumed && p.needsRenewal(s, p.view.Retention/holderRenewDivisor, 0):
			p.planRenewal(s, len(s.Displaced) == 0)
		case !own && !s.Assumed &&
			p.needsRenewal(s, p.view.Retention/peerRenewDivisor, peerRenewDelay+p.jittered(peerRenewDelay)):
			p.planRenewal(s, false)
		}
	}
}

// planRenewal repeats the state of a resource.
func (p *planner) planRenewal(s State, active bool) {
	p.enqueue(Record{
		Kind:      KindRenew,
		Resource:  s.Resource,
		Epoch:     s.Epoch,
		Holder:    s.Holder,
		Read:      p.table.Next(),
		Fence:     s.Fence,
		Released:  s.Released,
		Active:    active,
		Displaced: displacedUnlessActive(active, s.Displaced),
	})
}

// displacedUnlessActive returns the displaced holders of a renew record: none once the holder is active.
func displacedUnlessActive(active bool, displaced []Displaced) []Displaced {
	if active {
		return nil
	}
	return displaced
}

// stateAge returns the time since this VM applied the newest record that confirms the state.
func (p *planner) stateAge(s State) time.Duration {
	return p.now.Sub(p.localState(s.Resource).confirmedAt)
}

// needsRenewal reports whether the state must be repeated: it is older than limit, its record has expired, or a VM did
// not know it. delay makes other VMs wait longer than the holder, so that usually the holder alone repeats it.
func (p *planner) needsRenewal(s State, limit, delay time.Duration) bool {
	local := p.localState(s.Resource)
	if !s.Contested && s.ConfirmedOffset >= p.view.LogStart && p.stateAge(s) < limit {
		return false
	}
	if local.staleSince.IsZero() {
		local.staleSince = p.now
	}
	return p.now.Sub(local.staleSince) >= delay
}

// canActivate reports whether a takeover by this process may become active: the leases of the displaced holders have
// had time to expire, and the VM list did not show those holders meanwhile, which would have extended their leases.
func (p *planner) canActivate(s State) bool {
	if !s.Assumed && len(s.Displaced) == 0 {
		return false
	}
	if s.Assumed && !p.noActiveHolder(s.Resource) {
		return false
	}
	if p.now.Sub(p.localState(s.Resource).changedAt) < TakeoverWait {
		return false
	}
	for _, d := range s.Displaced {
		if !p.absences.fresh(p.now) || p.absences.duration(d.Holder) < TakeoverWait {
			return false
		}
	}
	return true
}

// recordPeerAnswers records whether all VMs answered and which resources they reported to act on.
func (m *Manager) recordPeerAnswers(now time.Time, v View) {
	unbroken := now.Sub(m.plannedAt) < EvidenceTTL
	m.plannedAt = now
	for _, resource := range v.PeerHolds {
		m.localState(resource).peerHeldAt = now
	}
	switch {
	case !v.AllAnswer:
		m.answeredSince = time.Time{}
	case m.answeredSince.IsZero() || !unbroken:
		m.answeredSince = now
	}
}

// noActiveHolder reports whether no VM acts on a resource whose state in the log is missing or uncertain. Its holder
// may be cut off from the log and extend its lease by reads of the VM list. Such a holder either is on the VM list and
// has answered, or left the list long enough ago for its lease to have expired.
func (p *planner) noActiveHolder(resource string) bool {
	if p.answeredSince.IsZero() || p.now.Sub(p.answeredSince) < TakeoverWait {
		return false
	}
	return p.now.Sub(p.localState(resource).peerHeldAt) >= TakeoverWait
}

// planClaims claims resources that an earlier process at this address holds, that are free or whose holder is gone.
func (p *planner) planClaims() {
	if p.absences.fresh(p.now) && !p.absences.listsLive(p.self) {
		// A VM that is not on the list would lose whatever it claims to a takeover at once.
		return
	}
	mine := p.held[p.self.VM] + p.pendingSlots()
	for _, resource := range p.candidates() {
		index, isSlot := SlotIndex(resource)
		mayClaim := p.view.CanIssueOrders
		if isSlot {
			mayClaim = mine < p.targetSlots() || mine == p.targetSlots() && p.claimInFlight(resource)
		}
		switch {
		case p.heldByEarlierProcess(resource):
		case mayClaim && p.isFree(resource):
		case (isSlot || mayClaim) && p.shouldTakeOver(resource, index):
		default:
			continue
		}
		if isSlot && !p.claimInFlight(resource) {
			mine++
		}
		p.planClaim(resource)
	}
}

// targetSlots returns the number of slots that this VM should hold: the floor, or the ceiling if no other live VM is
// below the floor.
func (p *planner) targetSlots() int {
	for _, vm := range p.view.Live {
		if vm != p.self.VM && p.held[vm] < p.floor {
			return p.floor
		}
	}
	return p.ceiling
}

// candidates returns the resources to consider for claims. Each VM starts at a different slot, so that fewer claims are
// void.
func (p *planner) candidates() []string {
	rank := max(0, slices.Index(p.view.Live, p.self.VM))
	out := make([]string, 0, p.view.Slots+1)
	out = append(out, ResourceOrders)
	for i := range p.view.Slots {
		out = append(out, SlotResource((i+rank*max(1, p.floor))%p.view.Slots))
	}
	return out
}

// claimInFlight reports whether a claim is pending and not long overdue.
func (p *planner) claimInFlight(resource string) bool {
	e, ok := p.localState(resource).pending[KindClaim]
	return ok && p.now.Sub(e.at) < 2*(ResendAfter+resendJitter)
}

// pendingSlots returns the number of slots with a claim in flight.
func (p *planner) pendingSlots() int {
	n := 0
	for i := range p.view.Slots {
		if p.claimInFlight(SlotResource(i)) {
			n++
		}
	}
	return n
}

// planClaim claims a resource under the next epoch, or as partial if this VM does not know its state.
func (p *planner) planClaim(resource string) {
	s, known := p.table.State(resource)
	r := Record{
		Kind:     KindClaim,
		Resource: resource,
		Epoch:    s.Epoch + 1,
		Holder:   p.self,
		Read:     p.table.Next(),
		Partial:  !known && p.table.replayedFrom != 0 || s.Assumed,
	}
	if r.Partial {
		r.Epoch = r.Read + 1
	}
	p.enqueue(r)
}

// heldByEarlierProcess reports whether an earlier process at this VM's address holds the resource.
func (p *planner) heldByEarlierProcess(resource string) bool {
	s, known := p.table.State(resource)
	return known && !s.Released && p.self.replaces(s.Holder) && !s.Holder.sameProcess(p.self)
}

// isFree reports whether no VM holds the resource and this VM may claim it now.
func (p *planner) isFree(resource string) bool {
	s, known := p.table.State(resource)
	if !known {
		// A holder whose records have expired repeats its state as soon as it reads the log.
		return p.table.replayedFrom == 0 || p.now.Sub(p.caughtUpAt) >= TakeoverWait && p.noActiveHolder(resource)
	}
	if s.Assumed {
		gone := p.absences.fresh(p.now) && p.absences.duration(s.Holder) >= MinAbsence
		return (s.Released || gone) && p.noActiveHolder(resource)
	}
	return s.Released && p.now.Sub(p.localState(resource).changedAt) >= p.jittered(freeClaimJitter)
}

// shouldTakeOver reports whether this VM should claim a resource whose holder is not on the VM list.
func (p *planner) shouldTakeOver(resource string, index int) bool {
	s, known := p.table.State(resource)
	if !known || s.Released || s.Assumed || s.Holder.VM == p.self.VM && s.Holder.Address == p.self.Address {
		return false
	}
	// A list that does not show this VM does not prove that other VMs are absent.
	if !p.absences.fresh(p.now) || !p.absences.listsLive(p.self) {
		return false
	}
	gone := p.absences.duration(s.Holder)
	if p.held[p.self.VM] == 0 {
		return gone >= MinAbsence && p.holdersGone()
	}
	if p.takeoverVM(index) == p.self.VM {
		return gone >= MinAbsence
	}
	return gone >= MinAbsence+takeoverFallbackDelay+p.jittered(takeoverFallbackDelay)
}

// holdersGone reports whether the VM list has shown no holder for so long that none can extend its lease by a peer
// poll. Polls do not query a VM without slots.
func (p *planner) holdersGone() bool {
	for _, h := range p.HoldersToPoll() {
		if p.absences.duration(h) < MaxPollExtension+EvidenceTTL+MinAbsence {
			return false
		}
	}
	return true
}

// takeoverVM returns the live VM that should take over the slot, or an empty string. The VMs that hold slots take turns
// by slot index.
func (p *planner) takeoverVM(index int) string {
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
