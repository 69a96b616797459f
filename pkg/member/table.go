package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Member is a VM as known from both sources.
type Member struct {
	VM
	// Listed tells that the newest list shows the VM.
	Listed bool
	// Draining tells that the VM takes no new work, by its own word or by the list.
	Draining bool
	// Heard is the time of the newest heartbeat, or zero.
	Heard time.Time
	// Answered is the start of the newest heartbeat call that the VM answered, or zero.
	Answered time.Time
	// Last is the newest heartbeat, or nil. It must not be modified.
	Last *Heartbeat
}

// peer is what the table holds on one other VM.
type peer struct {
	vm     VM
	listed bool
	// shown is the time of the newest list that showed the VM, or zero.
	shown time.Time
	// absent is the time of the first list since shown that did not show it, or zero.
	absent time.Time
	// voter tells that the VM counts for the majority of the isolation rule.
	voter bool

	heard time.Time
	last  *Heartbeat
	// answer is the start of the newest heartbeat call that the VM answered.
	answer time.Time
	// evidence is the time at which the VM knew that evidenceNext was the end of the config stream.
	evidence     time.Time
	evidenceNext int64
	// superseded holds earlier incarnations, newest last.
	superseded []string
	// counted tells that the loads of last are part of the table's sums.
	counted bool
}

// Table holds the VMs of the router. It is safe for one goroutine.
type Table struct {
	self  string
	peers map[string]*peer
	// listedOnce tells that a list was read.
	listedOnce bool
	firstRead  time.Time
	newestRead time.Time
	asOf       time.Time
	// selfLive tells that the list of newestRead shows this VM as live.
	selfLive bool

	// evidence is the newest time at which the end of the config stream was known and is applied here.
	evidence time.Time
	ownNext  int64

	newest   map[string]int64
	inFlight map[string]int
	// nextExpiry is the earliest time at which the loads of a peer lapse.
	nextExpiry time.Time
}

// NewTable returns a table for the VM with the given name.
func NewTable(self string) *Table {
	return &Table{self: self, peers: map[string]*peer{}, newest: map[string]int64{}, inFlight: map[string]int{}}
}

// ApplyList takes a reading of the VM list that began at started. An empty list or one that is older than the
// last is ignored, and false is returned. A list never removes a VM that still sends heartbeats. A list with the time
// of the last one proves no absence, since the platform may be repeating an old answer.
func (t *Table) ApplyList(list List, started, now time.Time) bool {
	if len(list.VMs) == 0 || (t.listedOnce && list.AsOf.Before(t.asOf)) {
		return false
	}
	if !t.listedOnce {
		t.firstRead = started
	}
	if !t.listedOnce || list.AsOf.After(t.asOf) {
		t.newestRead = started
		t.selfLive = list.shows(t.self)
	}
	t.listedOnce = true
	t.asOf = list.AsOf
	for _, p := range t.peers {
		p.listed = false
	}
	for _, vm := range list.VMs {
		t.show(vm, started)
	}
	for _, p := range t.peers {
		if !p.listed && p.absent.IsZero() {
			p.absent = started
		}
	}
	t.forget(now)
	return true
}

// SelfLive returns the start of the newest list read, and whether it showed this VM as live.
func (t *Table) SelfLive() (time.Time, bool) { return t.newestRead, t.selfLive }

// show notes that the list shows a VM.
func (t *Table) show(vm VM, at time.Time) {
	if vm.Name == t.self {
		return
	}
	p := t.peer(vm.Name)
	p.vm = vm
	p.listed = true
	p.voter = true
	p.shown = at
	p.absent = time.Time{}
}

func (t *Table) peer(name string) *peer {
	p, ok := t.peers[name]
	if !ok {
		p = &peer{vm: VM{Name: name, State: StateLive}}
		t.peers[name] = p
	}
	return p
}

// forget stops counting VMs that are neither listed nor heard. An isolated VM forgets nobody: otherwise a
// short list together with the isolation would turn it into a majority of its own.
func (t *Table) forget(now time.Time) {
	if t.Contact(now) == Isolated {
		return
	}
	for name, p := range t.peers {
		silence := now.Sub(later(p.heard, p.shown))
		if p.listed || silence < ForgetAfter {
			continue
		}
		p.voter = false
		if silence >= dropAfter {
			t.uncount(p)
			delete(t.peers, name)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ApplyHeartbeat takes a heartbeat that a peer sent. It shows that the peer is up. It is no proof of contact,
// because it may have waited while this process was paused. It returns false for a heartbeat that is ignored.
func (t *Table) ApplyHeartbeat(h *Heartbeat, now time.Time) bool {
	if h.VM == t.self || h.VM == "" {
		return false
	}
	p := t.peer(h.VM)
	if slices.Contains(p.superseded, h.Incarnation) {
		return false
	}
	p.heard = later(p.heard, now)
	p.voter = true
	if p.last != nil && p.last.Incarnation == h.Incarnation && h.Sent.Compare(p.last.Sent) < 0 {
		return true
	}
	p.supersede(h)
	t.uncount(p)
	p.last = h
	p.vm.DataCentre = cmp.Or(h.DataCentre, p.vm.DataCentre)
	p.vm.PeerAddr = cmp.Or(h.PeerAddr, p.vm.PeerAddr)
	t.report(StreamConfig, h.ConfigNext)
	for _, o := range h.Offsets {
		t.report(o.Stream, o.Next)
	}
	t.count(p)
	return true
}

// supersede forgets the answers that the VM gave before a restart.
func (p *peer) supersede(h *Heartbeat) {
	if p.last == nil || p.last.Incarnation == h.Incarnation {
		return
	}
	p.superseded = append(p.superseded, p.last.Incarnation)
	if len(p.superseded) > supersededIncarnations {
		p.superseded = slices.Delete(p.superseded, 0, 1)
	}
	p.answer = time.Time{}
}

func (t *Table) report(stream string, next int64) {
	t.newest[stream] = max(t.newest[stream], next)
}

// ApplyAnswer takes the answer to a heartbeat call that this VM began at started. What it says on contact counts
// from started, by the clock of this VM.
func (t *Table) ApplyAnswer(h *Heartbeat, started, now time.Time) bool {
	if !t.ApplyHeartbeat(h, now) {
		return false
	}
	p := t.peers[h.VM]
	p.answer = later(p.answer, started)
	o, ok := h.configOffset()
	if !ok || !started.Add(-o.Age).After(p.evidence) {
		return true
	}
	p.evidence = started.Add(-o.Age)
	p.evidenceNext = max(o.Next, h.ConfigNext)
	t.adopt(p)
	return true
}

// ObserveRead notes that a read of the config stream, begun at started, ended at its end, and that this VM has
// applied every record before next.
func (t *Table) ObserveRead(started time.Time, next int64) {
	t.ObserveConfig(next)
	t.evidence = later(t.evidence, started)
}

// ObserveConfig notes that this VM has applied every record of the config stream before next, from whatever source.
func (t *Table) ObserveConfig(next int64) {
	if next <= t.ownNext {
		return
	}
	t.ownNext = next
	t.report(StreamConfig, next)
	for _, p := range t.peers {
		t.adopt(p)
	}
}

// adopt takes a peer's evidence once this VM has caught up with it. A peer that is ahead proves that a change is
// missing here.
func (t *Table) adopt(p *peer) {
	if p.evidenceNext <= t.ownNext {
		t.evidence = later(t.evidence, p.evidence)
	}
}

// Members returns all other VMs that are listed or were heard within ForgetAfter, in order of name. These are the
// peers to send heartbeats to.
func (t *Table) Members(now time.Time) []Member {
	return t.collect(func(p *peer) bool { return p.listed || p.voter || now.Sub(p.heard) < ForgetAfter })
}

// Live returns the other VMs that were heard within HeartbeatTimeout, in order of name.
func (t *Table) Live(now time.Time) []Member {
	return t.collect(func(p *peer) bool { return p.live(now) })
}

func (t *Table) collect(keep func(*peer) bool) []Member {
	members := make([]Member, 0, len(t.peers))
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		if p := t.peers[name]; keep(p) {
			members = append(members, p.member())
		}
	}
	return members
}

func (p *peer) live(now time.Time) bool {
	return p.last != nil && now.Sub(p.heard) < HeartbeatTimeout
}

func (p *peer) member() Member {
	return Member{
		VM:       p.vm,
		Listed:   p.listed,
		Draining: p.vm.State == StateLeaving || (p.last != nil && p.last.Draining),
		Heard:    p.heard,
		Answered: p.answer,
		Last:     p.last,
	}
}

// Behind returns the names of live VMs that have not applied the config stream up to next. A release note is in
// force when the list is empty. An isolated VM serves nothing and does not count.
func (t *Table) Behind(next int64, now time.Time) []string {
	var names []string
	for _, m := range t.Live(now) {
		if m.Last.ConfigNext < next {
			names = append(names, m.Name)
		}
	}
	return names
}

// NewestOffset returns the highest next offset of a stream that this VM or a peer has reported.
func (t *Table) NewestOffset(stream string) int64 { return t.newest[stream] }

// Absence tells for how long a VM has been gone.
type Absence struct {
	// Since is the first moment at which the list did not show the VM and it sent no heartbeat.
	Since time.Time
	// Until is the start of the newest list read, up to which the absence is proven.
	Until time.Time
}

// Lasted returns the proven length of the absence.
func (a Absence) Lasted() time.Duration { return a.Until.Sub(a.Since) }

// AbsentSince returns the absence of a VM from the list, or false where the newest list shows it or no list was
// read. A heartbeat starts the absence anew. A VM that was never seen is absent since the first list read.
func (t *Table) AbsentSince(vm string) (Absence, bool) {
	if !t.listedOnce || vm == t.self {
		return Absence{}, false
	}
	p, ok := t.peers[vm]
	if !ok {
		return Absence{Since: t.firstRead, Until: t.newestRead}, true
	}
	if p.listed {
		return Absence{}, false
	}
	since := p.absent
	if since.IsZero() {
		since = t.firstRead
	}
	return Absence{Since: later(since, p.heard), Until: t.newestRead}, true
}
