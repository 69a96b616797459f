package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Member is the state of a VM from the VM list and its heartbeats.
type Member struct {
	VM
	// Listed reports whether the newest list shows the VM.
	Listed bool
	// Draining reports whether the VM accepts no new work, according to its heartbeat or the list.
	Draining bool
	// HeartbeatAt is the time at which the newest heartbeat arrived, or zero.
	HeartbeatAt time.Time
	// AnsweredAt is the start of the newest heartbeat call that the VM answered, or zero.
	AnsweredAt time.Time
	// LastHeartbeat is the newest heartbeat, or nil. It must not be modified.
	LastHeartbeat *Heartbeat
}

// peer is the state of one other VM.
type peer struct {
	vm     VM
	listed bool
	// listedAt is the time of the newest list that showed the VM, or zero.
	listedAt time.Time
	// unlistedAt is the time of the first list since listedAt that did not show the VM, or zero.
	unlistedAt time.Time
	// voter reports whether the VM counts for the majority of the isolation rule.
	voter bool

	heartbeatAt   time.Time
	lastHeartbeat *Heartbeat
	// answeredAt is the start of the newest heartbeat call that the VM answered.
	answeredAt time.Time
	// configEndAt is the time at which the VM had proof that configEnd was the end of the config stream.
	configEndAt time.Time
	configEnd   int64
	// earlierIncarnations contains earlier incarnations, newest last.
	earlierIncarnations []string
	// loadsCounted reports whether the loads of lastHeartbeat are part of the table's sums.
	loadsCounted bool
}

// Table holds the other VMs of the router. It is not safe for concurrent use.
type Table struct {
	self  string
	peers map[string]*peer
	// listRead reports whether a list was read.
	listRead     bool
	firstListAt  time.Time
	newestListAt time.Time
	asOf         time.Time
	// selfLive reports whether the list of newestListAt shows this VM as live.
	selfLive bool

	// configEndAt is the newest time of which this VM has proof that the end of the config stream is applied here.
	configEndAt time.Time
	appliedNext int64

	newestOffsets map[string]int64
	inFlight      map[string]int
	// nextLoadExpiry is the earliest time at which the loads of a peer may expire.
	nextLoadExpiry time.Time
}

// NewTable returns an empty table for the VM with the given name.
func NewTable(self string) *Table {
	return &Table{self: self, peers: map[string]*peer{}, newestOffsets: map[string]int64{}, inFlight: map[string]int{}}
}

// ApplyList applies a VM list whose read began at started. It ignores an empty list or one older than the last, and
// returns false. A list never removes a VM that still sends heartbeats. A list with the timestamp of the last one
// proves no absence, since the platform may be repeating an old answer.
func (t *Table) ApplyList(list List, started, now time.Time) bool {
	if len(list.VMs) == 0 || (t.listRead && list.AsOf.Before(t.asOf)) {
		return false
	}
	if !t.listRead {
		t.firstListAt = started
	}
	if !t.listRead || list.AsOf.After(t.asOf) {
		t.newestListAt = started
		t.selfLive = list.listsLive(t.self)
	}
	t.listRead = true
	t.asOf = list.AsOf
	for _, p := range t.peers {
		p.listed = false
	}
	for _, vm := range list.VMs {
		t.markListed(vm, started)
	}
	for _, p := range t.peers {
		if !p.listed && p.unlistedAt.IsZero() {
			p.unlistedAt = started
		}
	}
	t.removeSilent(now)
	return true
}

// SelfLive returns the start of the newest list read and reports whether it showed this VM as live.
func (t *Table) SelfLive() (time.Time, bool) { return t.newestListAt, t.selfLive }

// markListed records that the list shows a VM.
func (t *Table) markListed(vm VM, at time.Time) {
	if vm.Name == t.self {
		return
	}
	p := t.peer(vm.Name)
	p.vm = vm
	p.listed = true
	p.voter = true
	p.listedAt = at
	p.unlistedAt = time.Time{}
}

// peer returns the state of a VM, adding it if necessary.
func (t *Table) peer(name string) *peer {
	p, ok := t.peers[name]
	if !ok {
		p = &peer{vm: VM{Name: name, State: StateLive}}
		t.peers[name] = p
	}
	return p
}

// removeSilent stops counting VMs that are not listed and send no heartbeats as voters, and later removes them. An
// isolated VM removes none: otherwise a short list together with the isolation would turn it into a majority of its
// own.
func (t *Table) removeSilent(now time.Time) {
	if t.Contact(now) == Isolated {
		return
	}
	for name, p := range t.peers {
		silence := now.Sub(later(p.heartbeatAt, p.listedAt))
		if p.listed || silence < VoterTimeout {
			continue
		}
		p.voter = false
		if silence >= removeAfter {
			t.removeLoads(p)
			delete(t.peers, name)
		}
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ApplyHeartbeat records a heartbeat that a peer sent. It shows that the peer is up, but does not prove contact,
// because it may have waited while this process was paused. It returns false for a heartbeat that is ignored.
func (t *Table) ApplyHeartbeat(h *Heartbeat, now time.Time) bool {
	if h.VM == t.self || h.VM == "" {
		return false
	}
	p := t.peer(h.VM)
	if slices.Contains(p.earlierIncarnations, h.Incarnation) {
		return false
	}
	p.heartbeatAt = later(p.heartbeatAt, now)
	p.voter = true
	if p.lastHeartbeat != nil && p.lastHeartbeat.Incarnation == h.Incarnation && h.Sent.Compare(p.lastHeartbeat.Sent) < 0 {
		return true
	}
	p.recordIncarnation(h)
	t.removeLoads(p)
	p.lastHeartbeat = h
	p.vm.DataCentre = cmp.Or(h.DataCentre, p.vm.DataCentre)
	p.vm.PeerAddr = cmp.Or(h.PeerAddr, p.vm.PeerAddr)
	t.recordOffset(StreamConfig, h.ConfigNext)
	for _, o := range h.Offsets {
		t.recordOffset(o.Stream, o.Next)
	}
	t.addLoads(p)
	return true
}

// recordIncarnation detects a restart of the VM, retains the earlier incarnation and discards the answers that the VM
// gave before.
func (p *peer) recordIncarnation(h *Heartbeat) {
	if p.lastHeartbeat == nil || p.lastHeartbeat.Incarnation == h.Incarnation {
		return
	}
	p.earlierIncarnations = append(p.earlierIncarnations, p.lastHeartbeat.Incarnation)
	if len(p.earlierIncarnations) > maxEarlierIncarnations {
		p.earlierIncarnations = slices.Delete(p.earlierIncarnations, 0, 1)
	}
	p.answeredAt = time.Time{}
}

// recordOffset raises the newest known offset of a stream.
func (t *Table) recordOffset(stream string, next int64) {
	t.newestOffsets[stream] = max(t.newestOffsets[stream], next)
}

// ApplyAnswer records the answer to a heartbeat call that this VM began at started. The ages in the answer count from
// started, by the clock of this VM.
func (t *Table) ApplyAnswer(h *Heartbeat, started, now time.Time) bool {
	if !t.ApplyHeartbeat(h, now) {
		return false
	}
	p := t.peers[h.VM]
	p.answeredAt = later(p.answeredAt, started)
	o, ok := h.configOffset()
	if !ok || !started.Add(-o.Age).After(p.configEndAt) {
		return true
	}
	p.configEndAt = started.Add(-o.Age)
	p.configEnd = max(o.Next, h.ConfigNext)
	t.adoptContact(p)
	return true
}

// ObserveRead records that a read of the config stream, begun at started, reached its end, and that this VM has applied
// every record before next.
func (t *Table) ObserveRead(started time.Time, next int64) {
	t.ObserveConfig(next)
	t.configEndAt = later(t.configEndAt, started)
}

// ObserveConfig records that this VM has applied every record of the config stream before next, from any source.
func (t *Table) ObserveConfig(next int64) {
	if next <= t.appliedNext {
		return
	}
	t.appliedNext = next
	t.recordOffset(StreamConfig, next)
	for _, p := range t.peers {
		t.adoptContact(p)
	}
}

// adoptContact uses a peer's proof of contact once this VM has applied as much as the peer had read. A peer that is
// ahead proves that a change is missing here.
func (t *Table) adoptContact(p *peer) {
	if p.configEnd <= t.appliedNext {
		t.configEndAt = later(t.configEndAt, p.configEndAt)
	}
}

// Members returns all other VMs that are listed or sent a heartbeat within VoterTimeout, in order of name. These are
// the peers to send heartbeats to.
func (t *Table) Members(now time.Time) []Member {
	return t.selectMembers(func(p *peer) bool { return p.listed || p.voter || now.Sub(p.heartbeatAt) < VoterTimeout })
}

// Live returns the other VMs that sent a heartbeat within HeartbeatTimeout, in order of name.
func (t *Table) Live(now time.Time) []Member {
	return t.selectMembers(func(p *peer) bool { return p.live(now) })
}

// selectMembers returns the VMs that keep accepts, in order of name.
func (t *Table) selectMembers(keep func(*peer) bool) []Member {
	members := make([]Member, 0, len(t.peers))
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		if p := t.peers[name]; keep(p) {
			members = append(members, p.member())
		}
	}
	return members
}

// live reports whether the peer sent a heartbeat within HeartbeatTimeout.
func (p *peer) live(now time.Time) bool {
	return p.lastHeartbeat != nil && now.Sub(p.heartbeatAt) < HeartbeatTimeout
}

func (p *peer) member() Member {
	return Member{
		VM:            p.vm,
		Listed:        p.listed,
		Draining:      p.vm.State == StateLeaving || (p.lastHeartbeat != nil && p.lastHeartbeat.Draining),
		HeartbeatAt:   p.heartbeatAt,
		AnsweredAt:    p.answeredAt,
		LastHeartbeat: p.lastHeartbeat,
	}
}

// Behind returns the names of live VMs that have not applied the config stream up to next. A release note is in force
// when there are none. An isolated VM serves nothing and does not count.
func (t *Table) Behind(next int64, now time.Time) []string {
	var names []string
	for _, m := range t.Live(now) {
		if m.LastHeartbeat.ConfigNext < next {
			names = append(names, m.Name)
		}
	}
	return names
}

// NewestOffset returns the highest next offset of a stream that this VM or a peer has reported.
func (t *Table) NewestOffset(stream string) int64 { return t.newestOffsets[stream] }

// Absence is the time for which a VM is proven to have been gone.
type Absence struct {
	// Since is the first time at which the list did not show the VM and it sent no heartbeat.
	Since time.Time
	// Until is the start of the newest list read, up to which the absence is proven.
	Until time.Time
}

// Length returns the length of the absence.
func (a Absence) Length() time.Duration { return a.Until.Sub(a.Since) }

// AbsenceOf returns the absence of a VM from the list, or false if the newest list shows the VM or no list was read. A
// heartbeat restarts the absence. A VM that was never seen is absent since the first list read.
func (t *Table) AbsenceOf(vm string) (Absence, bool) {
	if !t.listRead || vm == t.self {
		return Absence{}, false
	}
	p, ok := t.peers[vm]
	if !ok {
		return Absence{Since: t.firstListAt, Until: t.newestListAt}, true
	}
	if p.listed {
		return Absence{}, false
	}
	since := p.unlistedAt
	if since.IsZero() {
		since = t.firstListAt
	}
	return Absence{Since: later(since, p.heartbeatAt), Until: t.newestListAt}, true
}
