package lease

import (
	"slices"
	"time"
)

const (
	// Forfeit (F) is the age of the newest evidence at which a holder stops acting.
	Forfeit = 3 * time.Second
	// Unlisted (L) is how long the VM list must not have shown a VM before its resources may be claimed. It is
	// also the largest difference in lag of two readers of the list under which takeover is safe, less Forfeit.
	Unlisted = 10 * time.Second
	// TakeoverWait is the time from reading back a takeover claim to acting: the displaced holder has lapsed by
	// then. The half second covers the drift of two clocks over the wait.
	TakeoverWait = Forfeit + Unlisted + 500*time.Millisecond
	// VouchLimit bounds how long answers of peers alone (E4) keep a lease after the VM list last showed the
	// holder. E4 asks holders of slots, so a VM without slots may only take over after this time.
	VouchLimit = 5 * time.Minute
	// RepeatAfter is the time after which a record that was not read back is appended again.
	RepeatAfter = 2 * time.Second
	// repeatJitter spreads repeated records of several VMs.
	repeatJitter = time.Second
	// freeJitter spreads first claims of a free resource over VMs, so that fewer are void.
	freeJitter = 300 * time.Millisecond
	// takeoverJitter is the time after which a VM claims a resource that another VM was expected to take over.
	takeoverJitter = 5 * time.Second
	// renewFraction is the part of the retention after which a holder repeats its state.
	renewFraction = 5
	// carryFraction is the part of the retention after which any VM repeats the state of a silent holder.
	carryFraction = 2
	// carryDelay is the least time for which other VMs leave repeating a state to the holder.
	carryDelay = 2 * time.Second
	// DefaultRetention is used until the configuration names one.
	DefaultRetention = time.Hour
)

// Held is a resource on which the VM may act.
type Held struct {
	Resource string
	Epoch    int64
	// Until is when the present evidence lapses.
	Until time.Time
	// Fence is the offset of the claim.
	Fence int64
}

// View is what Plan needs to know about the deployment.
type View struct {
	// Slots is the number of limit slots.
	Slots int
	// Live are the VMs that share the slots: on the VM list, answering and not draining. It includes this VM.
	Live []string
	// AllAnswer tells that every other VM on a fresh VM list answered a request within Forfeit, and PeerHolds the
	// resources that they said they act on.
	AllAnswer bool
	PeerHolds []string
	// Draining asks to release everything.
	Draining bool
	// Orders tells that this VM may issue engine orders.
	Orders bool
	// Retention is how long the log keeps records. Zero means DefaultRetention.
	Retention time.Duration
	// LogStart is the oldest kept offset of the control stream.
	LogStart int64
	// Jitter is a random number in [0,1).
	Jitter float64
}

// Manager decides for one process of a VM. It is safe for one goroutine.
type Manager struct {
	self   Holder
	table  *Table
	absent absence

	// evidenceAt is the time that the newest accepted evidence speaks for, and evidenceNext the end of the
	// control stream that it speaks for.
	evidenceAt   time.Time
	evidenceNext int64
	ownReadAt    time.Time
	// logReadAt is the time that the newest evidence from the log itself (E1, E2) speaks for.
	logReadAt time.Time
	// caughtUpAt is when the VM first read the log to its end since it last lost records.
	caughtUpAt time.Time
	// listedAt is the start of the newest read of the VM list that showed this VM; zero if the newest read did
	// not show it.
	listedAt time.Time

	// answeredSince is the first of an unbroken series of plans, up to plannedAt, in which all listed VMs answered.
	// It is zero where the newest plan breaks the series.
	answeredSince time.Time
	plannedAt     time.Time
	// slots and retention are as of the newest Plan.
	slots     int
	retention time.Duration
	notes     map[string]*note
}

// note is what the process remembers about one resource besides the log.
type note struct {
	// epoch and released belong to the newest claim or release, which was applied at changedAt.
	epoch     int64
	released  bool
	changedAt time.Time
	// statedAt is when the newest record that tells the state was applied.
	statedAt time.Time
	// peerHeldAt is when a peer last said that it acts on the resource.
	peerHeldAt time.Time
	// staleAt is when the state was first found to need repeating; zero while it does not.
	staleAt time.Time
	// releasing is the epoch that this process has decided to give up. It never acts under it again.
	releasing int64
	sent      map[Kind]sent
}

// sent is a record that was planned and not yet read back.
type sent struct {
	epoch int64
	at    time.Time
}

// NewManager returns the manager of one process. It holds nothing until it has read the log.
func NewManager(self Holder) *Manager {
	return &Manager{
		self:  self,
		table: NewTable(),
		notes: map[string]*note{},
	}
}

// Next returns the offset of the next record to apply.
func (m *Manager) Next() int64 {
	return m.table.Next()
}

// State returns what the log says about a resource.
func (m *Manager) State(resource string) (State, bool) {
	return m.table.State(resource)
}

// Reset forgets the log up to start, because the log no longer holds the next record. All evidence is void.
func (m *Manager) Reset(start int64) {
	m.table.Reset(start)
	m.evidenceAt = time.Time{}
	m.evidenceNext = 0
	m.ownReadAt = time.Time{}
	m.caughtUpAt = time.Time{}
	for _, n := range m.notes {
		n.releasing = 0
	}
}

// Apply applies the record at the offset. Gap means that the caller must read from Next, or Reset where the log
// no longer holds that offset.
func (m *Manager) Apply(offset int64, data []byte, now time.Time) Outcome {
	outcome := m.table.Apply(offset, data)
	if outcome == Gap || outcome == Repeated {
		return outcome
	}
	s, known := m.table.State(m.table.touched)
	if !known {
		return outcome
	}
	n := m.note(s.Resource)
	if s.Epoch != n.epoch || s.Released != n.released {
		n.changedAt = now
		n.epoch = s.Epoch
		n.released = s.Released
	}
	if s.Stated == offset {
		n.statedAt = now
		n.staleAt = time.Time{}
	}
	m.settle(s, n)
	return outcome
}

// settle drops sent records whose effect is known from the log.
func (m *Manager) settle(s State, n *note) {
	for kind, e := range n.sent {
		done := false
		switch kind {
		case KindClaim:
			// A claim of a VM that did not know the state is void once the state is certain.
			done = s.Epoch >= e.epoch || !s.Assumed && e.epoch > s.Epoch+1
		case KindRelease:
			done = !m.mustStateStop(s, e.epoch)
		case KindRenew:
			done = n.statedAt.After(e.at) || s.Epoch != e.epoch
		}
		if done {
			delete(n.sent, kind)
		}
	}
}

// mustStateStop reports whether the log still names this process as holder of the epoch, or it or an earlier one as
// a possible holder.
func (m *Manager) mustStateStop(s State, epoch int64) bool {
	if s.Epoch == epoch {
		return !s.Released && s.Holder.sameProcess(m.self)
	}
	return slices.ContainsFunc(s.Displaced, func(d Displaced) bool {
		return d.Epoch == epoch && m.self.replaces(d.Holder)
	})
}

// Observe takes one piece of evidence. It returns whether the evidence extends the leases of this VM.
func (m *Manager) Observe(ev Evidence, now time.Time) bool {
	if ev.At.After(now) {
		return false
	}
	switch ev.Kind {
	case OwnRead:
		if ev.Next > m.table.Next() {
			return false
		}
		m.ownReadAt = later(m.ownReadAt, ev.At)
		m.logReadAt = later(m.logReadAt, ev.At)
		if m.caughtUpAt.IsZero() {
			m.caughtUpAt = now
		}
		return m.extend(ev.At, ev.Next)
	case PeerRead:
		// Records that this VM has not applied may hold a newer claim.
		if ev.Next > m.table.Next() {
			return false
		}
		m.logReadAt = later(m.logReadAt, ev.At)
		return m.extend(ev.At, ev.Next)
	case ListRead:
		return m.observeList(ev)
	case PeerVouch:
		return m.observeVouches(ev)
	}
	return false
}

func (m *Manager) extend(at time.Time, next int64) bool {
	if at.Before(m.evidenceAt) {
		return false
	}
	m.evidenceAt = at
	m.evidenceNext = max(m.evidenceNext, next)
	return true
}

// unbroken reports whether evidence that started at the time follows earlier evidence without a gap. E3 and E4
// do not show the log, so they can extend a lease but not restore one: a claim may have been read back and
// waited for during the gap.
func (m *Manager) unbroken(at time.Time) bool {
	return !m.evidenceAt.IsZero() && at.Before(m.evidenceAt.Add(Forfeit))
}

func (m *Manager) observeList(ev Evidence) bool {
	if ev.At.Before(m.absent.readAt) {
		return false
	}
	m.absent.observe(ev, m.Electorate())
	if !m.absent.shows(m.self) {
		m.listedAt = time.Time{}
		return false
	}
	m.listedAt = ev.At
	return ev.LogUnreachable && m.unbroken(ev.At) && m.extend(ev.At, 0)
}

func (m *Manager) observeVouches(ev Evidence) bool {
	if m.listedAt.IsZero() || ev.At.Sub(m.listedAt) >= VouchLimit || !m.unbroken(ev.At) {
		return false
	}
	// The records that show this VM as holder are still kept until then, for VMs that start meanwhile.
	if ev.At.Sub(m.logReadAt) >= m.retention/2 || !m.allSlotsHeld() {
		return false
	}
	for _, h := range m.Electorate() {
		if !slices.ContainsFunc(ev.Vouches, func(v Vouch) bool { return m.vouches(h, v) }) {
			return false
		}
	}
	return m.extend(ev.At, 0)
}

// allSlotsHeld reports whether the log names a holder for each slot. A VM that claimed a free slot after this VM's
// last read would be entitled to take over without being asked by E4.
func (m *Manager) allSlotsHeld() bool {
	for i := range m.slots {
		s, known := m.table.State(SlotResource(i))
		if !known || s.Released || s.Assumed {
			return false
		}
	}
	return m.slots > 0
}

// vouches reports whether the answer shows that its sender, a holder as of this VM's last read, can have claimed
// nothing since. Another process of that VM does not know what the earlier one appended.
func (m *Manager) vouches(h Holder, v Vouch) bool {
	if v.VM != h.VM || v.Incarnation != h.Incarnation {
		return false
	}
	return !v.ReadsLog && !v.ReadsList && !v.ClaimPending && v.Next <= m.table.Next()
}

// Electorate returns the other holders that E4 must ask.
func (m *Manager) Electorate() []Holder {
	var out []Holder
	for _, resource := range m.table.resources() {
		s, _ := m.table.State(resource)
		all := make([]Holder, 0, 1+len(s.Displaced))
		if !s.Released {
			all = append(all, s.Holder)
		}
		for _, d := range s.Displaced {
			all = append(all, d.Holder)
		}
		for _, h := range all {
			known := slices.ContainsFunc(out, h.sameProcess)
			if !known && !h.sameProcess(m.self) {
				out = append(out, h)
			}
		}
	}
	return out
}

// ClaimPending reports whether a claim or release of this process may still land in the log. It goes into the
// answer to an E4 question.
func (m *Manager) ClaimPending() bool {
	for _, n := range m.notes {
		if _, ok := n.sent[KindClaim]; ok {
			return true
		}
		if _, ok := n.sent[KindRelease]; ok {
			return true
		}
	}
	return false
}

// MayAct reports whether the VM may act on the resource at now.
func (m *Manager) MayAct(resource string, now time.Time) bool {
	return m.owns(resource) && m.fresh(now)
}

// fresh reports whether the evidence has not lapsed.
func (m *Manager) fresh(now time.Time) bool {
	return !m.evidenceAt.IsZero() && now.Before(m.evidenceAt.Add(Forfeit))
}

// owns reports whether the log gives the resource to this process and to no earlier holder.
func (m *Manager) owns(resource string) bool {
	s, ok := m.table.State(resource)
	if !ok || s.Released || s.Assumed || s.Contested || len(s.Displaced) > 0 || !s.Holder.sameProcess(m.self) {
		return false
	}
	// A VM that does not know the state has claimed the resource. It acts unless it reads this VM's renew record, so
	// this VM stops until it has read that record back.
	if s.Contested {
		return false
	}
	if s.Fence >= m.evidenceNext {
		return false
	}
	n, ok := m.notes[resource]
	return !ok || n.releasing != s.Epoch
}

// Held returns the resources on which the VM may act at now, sorted by name.
func (m *Manager) Held(now time.Time) []Held {
	if !m.fresh(now) {
		return nil
	}
	var out []Held
	for _, resource := range m.table.resources() {
		if !m.owns(resource) {
			continue
		}
		s, _ := m.table.State(resource)
		out = append(out, Held{
			Resource: resource,
			Epoch:    s.Epoch,
			Until:    m.evidenceAt.Add(Forfeit),
			Fence:    s.Fence,
		})
	}
	return out
}

// Fence returns the offset of the claim under which this process holds the resource, or -1.
func (m *Manager) Fence(resource string) int64 {
	if !m.owns(resource) {
		return -1
	}
	s, _ := m.table.State(resource)
	return s.Fence
}

func (m *Manager) note(resource string) *note {
	n, ok := m.notes[resource]
	if !ok {
		n = &note{sent: map[Kind]sent{}}
		m.notes[resource] = n
	}
	return n
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
