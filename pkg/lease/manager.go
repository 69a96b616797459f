package lease

import (
	"slices"
	"time"
)

const (
	// EvidenceTTL is the age of the newest evidence at which a lease expires and its holder stops acting.
	EvidenceTTL = 3 * time.Second
	// MinAbsence is the time for which the VM list must not have shown a VM before its resources may be claimed.
	// Takeover is safe while the lags of any two readers of the list differ by at most MinAbsence less EvidenceTTL.
	MinAbsence = 10 * time.Second
	// TakeoverWait is the time from reading back a takeover claim to acting on it, after which the lease of the
	// displaced holder has expired. The half second covers the drift of two clocks over the wait.
	TakeoverWait = EvidenceTTL + MinAbsence + 500*time.Millisecond
	// MaxPollExtension is the time since the VM list last showed the holder for which peer polls alone can extend a
	// lease. Polls query only the holders of slots, so a VM without slots may take over only after this time.
	MaxPollExtension = 5 * time.Minute
	// ResendAfter is the time after which a record that was not read back is appended again.
	ResendAfter = 2 * time.Second
	// resendJitter spreads the repeated records of several VMs.
	resendJitter = time.Second
	// freeClaimJitter spreads the first claims of a free resource over VMs, so that fewer are void.
	freeClaimJitter = 300 * time.Millisecond
	// takeoverFallbackDelay is the time after which a VM claims a resource that another VM was expected to take over.
	takeoverFallbackDelay = 5 * time.Second
	// holderRenewDivisor divides the retention to give the time after which a holder repeats its state.
	holderRenewDivisor = 5
	// peerRenewDivisor divides the retention to give the time after which any VM repeats the state that a holder has
	// not repeated.
	peerRenewDivisor = 2
	// peerRenewDelay is the least time for which other VMs wait for the holder to repeat its state.
	peerRenewDelay = 2 * time.Second
	// DefaultRetention is the log retention if the configuration contains none.
	DefaultRetention = time.Hour
)

// Held is a resource on which the VM may act.
type Held struct {
	Resource string
	Epoch    int64
	// Until is the time at which the lease expires unless new evidence extends it.
	Until time.Time
	// Fence is the offset of the claim.
	Fence int64
}

// View is the state of the deployment as the VM sees it, the input of Plan.
type View struct {
	// Slots is the number of limit slots.
	Slots int
	// Live contains the VMs that share the slots: those that are on the VM list, answer and are not draining. It
	// includes this VM.
	Live []string
	// AllAnswer reports whether every other VM on a fresh VM list answered a request within EvidenceTTL, and PeerHolds
	// contains the resources that they reported to act on.
	AllAnswer bool
	PeerHolds []string
	// Draining reports whether the VM must release all its resources.
	Draining bool
	// CanIssueOrders reports whether this VM is eligible to issue engine orders.
	CanIssueOrders bool
	// Retention is the time for which the log keeps records. Zero means DefaultRetention.
	Retention time.Duration
	// LogStart is the oldest retained offset of the control stream.
	LogStart int64
	// Jitter is a random number in [0,1).
	Jitter float64
}

// Manager holds the lease state of one process on a VM and plans its records. It is not safe for concurrent use.
type Manager struct {
	self     Holder
	table    *Table
	absences absenceTracker

	// evidenceAt is the time of the newest accepted evidence, and evidenceNext the largest end of the control stream
	// that accepted evidence covers.
	evidenceAt   time.Time
	evidenceNext int64
	ownReadAt    time.Time
	// logReadAt is the time of the newest evidence from the log itself (OwnRead or PeerRead).
	logReadAt time.Time
	// caughtUpAt is the time at which the VM first read the log to its end since it last lost records.
	caughtUpAt time.Time
	// listedAt is the start of the newest read of the VM list, or zero if that read did not show this VM as live.
	listedAt time.Time

	// answeredSince is the time of the first of a series of plans without a gap, up to plannedAt, in which all listed
	// VMs answered. It is zero if some VM did not answer at the newest plan.
	answeredSince time.Time
	plannedAt     time.Time
	// slots and retention are as of the newest Plan.
	slots       int
	retention   time.Duration
	localStates map[string]*localState
}

// localState holds what the process records about one resource besides the state in the log.
type localState struct {
	// epoch and released belong to the newest claim or release, which was applied at changedAt.
	epoch     int64
	released  bool
	changedAt time.Time
	// confirmedAt is the time at which the newest record that confirms the state was applied.
	confirmedAt time.Time
	// peerHeldAt is the time at which a peer last reported to act on the resource.
	peerHeldAt time.Time
	// staleSince is the time since which the state needs to be repeated, or zero.
	staleSince time.Time
	// releasing is the epoch that this process has decided to release. The process never acts under it again.
	releasing int64
	pending   map[Kind]pending
}

// pending is a record that was planned and not yet read back.
type pending struct {
	epoch int64
	at    time.Time
}

// NewManager returns the manager of one process. It holds no resources until it has read the log.
func NewManager(self Holder) *Manager {
	return &Manager{
		self:        self,
		table:       NewTable(),
		localStates: map[string]*localState{},
	}
}

// Next returns the offset of the next record to apply.
func (m *Manager) Next() int64 {
	return m.table.Next()
}

// State returns the state of a resource according to the log and reports whether there is one.
func (m *Manager) State(resource string) (State, bool) {
	return m.table.State(resource)
}

// Reset removes all state derived from the log and continues at start, for a log that no longer contains the next
// record. It discards all evidence.
func (m *Manager) Reset(start int64) {
	m.table.Reset(start)
	m.evidenceAt = time.Time{}
	m.evidenceNext = 0
	m.ownReadAt = time.Time{}
	m.caughtUpAt = time.Time{}
	for _, local := range m.localStates {
		local.releasing = 0
	}
}

// Apply applies the record at the offset. On Gap the caller must read from Next, or call Reset if the log no longer
// contains that offset.
func (m *Manager) Apply(offset int64, data []byte, now time.Time) Outcome {
	outcome := m.table.Apply(offset, data)
	if outcome == Gap || outcome == AlreadyApplied {
		return outcome
	}
	s, known := m.table.State(m.table.lastResource)
	if !known {
		return outcome
	}
	local := m.localState(s.Resource)
	if s.Epoch != local.epoch || s.Released != local.released {
		local.changedAt = now
		local.epoch = s.Epoch
		local.released = s.Released
	}
	if s.ConfirmedOffset == offset {
		local.confirmedAt = now
		local.staleSince = time.Time{}
	}
	m.dropConfirmed(s, local)
	return outcome
}

// dropConfirmed removes pending records whose effect is known from the log.
func (m *Manager) dropConfirmed(s State, local *localState) {
	for kind, e := range local.pending {
		done := false
		switch kind {
		case KindClaim:
			// A claim by a VM that did not know the state is void once the state is certain.
			done = s.Epoch >= e.epoch || !s.Assumed && e.epoch > s.Epoch+1
		case KindRelease:
			done = !m.mustRelease(s, e.epoch)
		case KindRenew:
			done = local.confirmedAt.After(e.at) || s.Epoch != e.epoch
		}
		if done {
			delete(local.pending, kind)
		}
	}
}

// mustRelease reports whether the log still contains this process as holder of the epoch, or it or an earlier process
// at its address as a displaced holder.
func (m *Manager) mustRelease(s State, epoch int64) bool {
	if s.Epoch == epoch {
		return !s.Released && s.Holder.sameProcess(m.self)
	}
	return slices.ContainsFunc(s.Displaced, func(d Displaced) bool {
		return d.Epoch == epoch && m.self.replaces(d.Holder)
	})
}

// Observe records evidence and reports whether it extends the leases of this VM.
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
		// Records that this VM has not applied may contain a newer claim.
		if ev.Next > m.table.Next() {
			return false
		}
		m.logReadAt = later(m.logReadAt, ev.At)
		return m.extend(ev.At, ev.Next)
	case ListRead:
		return m.observeList(ev)
	case PeerPoll:
		return m.observePoll(ev)
	}
	return false
}

// extend records evidence from the given time that covers the control stream up to next. It reports false if newer
// evidence is recorded.
func (m *Manager) extend(at time.Time, next int64) bool {
	if at.Before(m.evidenceAt) {
		return false
	}
	m.evidenceAt = at
	m.evidenceNext = max(m.evidenceNext, next)
	return true
}

// continuous reports whether evidence from the given time follows earlier evidence without a gap. List reads and peer
// polls do not show the log, so they can extend a lease but not restore one: during the gap another VM may have read
// back a claim and waited long enough to act on it.
func (m *Manager) continuous(at time.Time) bool {
	return !m.evidenceAt.IsZero() && at.Before(m.evidenceAt.Add(EvidenceTTL))
}

// observeList records a read of the VM list and reports whether it extends the leases.
func (m *Manager) observeList(ev Evidence) bool {
	if ev.At.Before(m.absences.readAt) {
		return false
	}
	m.absences.observe(ev, m.HoldersToPoll())
	if !m.absences.listsLive(m.self) {
		m.listedAt = time.Time{}
		return false
	}
	m.listedAt = ev.At
	return ev.LogUnreachable && m.continuous(ev.At) && m.extend(ev.At, 0)
}

// observePoll reports whether the answers to a peer poll extend the leases.
func (m *Manager) observePoll(ev Evidence) bool {
	if m.listedAt.IsZero() || ev.At.Sub(m.listedAt) >= MaxPollExtension || !m.continuous(ev.At) {
		return false
	}
	// The log retains the records that show this VM as holder at least until then, for VMs that start meanwhile.
	if ev.At.Sub(m.logReadAt) >= m.retention/2 || !m.allSlotsHeld() {
		return false
	}
	for _, h := range m.HoldersToPoll() {
		if !slices.ContainsFunc(ev.PeerStatuses, func(s PeerStatus) bool { return m.cannotHaveClaimed(h, s) }) {
			return false
		}
	}
	return m.extend(ev.At, 0)
}

// allSlotsHeld reports whether the log contains a holder for each slot. A VM that claimed a free slot after this VM's
// last read could take over without being polled.
func (m *Manager) allSlotsHeld() bool {
	for i := range m.slots {
		s, known := m.table.State(SlotResource(i))
		if !known || s.Released || s.Assumed {
			return false
		}
	}
	return m.slots > 0
}

// cannotHaveClaimed reports whether the answer shows that its sender, a holder as of this VM's last read, cannot have
// claimed a resource since. A different process on that VM does not know what the earlier one appended.
func (m *Manager) cannotHaveClaimed(h Holder, s PeerStatus) bool {
	if s.VM != h.VM || s.Incarnation != h.Incarnation {
		return false
	}
	return !s.ReadsLog && !s.ReadsList && !s.ClaimPending && s.Next <= m.table.Next()
}

// HoldersToPoll returns the other holders that a peer poll must query.
func (m *Manager) HoldersToPoll() []Holder {
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

// ClaimPending reports whether a claim or release of this process may still reach the log. It is part of the answer to
// a peer poll.
func (m *Manager) ClaimPending() bool {
	for _, local := range m.localStates {
		if _, ok := local.pending[KindClaim]; ok {
			return true
		}
		if _, ok := local.pending[KindRelease]; ok {
			return true
		}
	}
	return false
}

// MayAct reports whether the VM may act on the resource at now.
func (m *Manager) MayAct(resource string, now time.Time) bool {
	return m.owns(resource) && m.fresh(now)
}

// fresh reports whether the newest evidence is younger than EvidenceTTL.
func (m *Manager) fresh(now time.Time) bool {
	return !m.evidenceAt.IsZero() && now.Before(m.evidenceAt.Add(EvidenceTTL))
}

// owns reports whether the log assigns the resource to this process and to no earlier holder.
func (m *Manager) owns(resource string) bool {
	s, ok := m.table.State(resource)
	if !ok || s.Released || s.Assumed || s.Contested || len(s.Displaced) > 0 || !s.Holder.sameProcess(m.self) {
		return false
	}
	// A VM that does not know the state has claimed the resource. It will act unless it reads this VM's renew record,
	// so this VM stops until it has read that record back.
	if s.Contested {
		return false
	}
	if s.Fence >= m.evidenceNext {
		return false
	}
	local, ok := m.localStates[resource]
	return !ok || local.releasing != s.Epoch
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
			Until:    m.evidenceAt.Add(EvidenceTTL),
			Fence:    s.Fence,
		})
	}
	return out
}

// Fence returns the offset of the claim under which this process holds the resource, or -1 if it does not.
func (m *Manager) Fence(resource string) int64 {
	if !m.owns(resource) {
		return -1
	}
	s, _ := m.table.State(resource)
	return s.Fence
}

// localState returns the local state of a resource, creating it if necessary.
func (m *Manager) localState(resource string) *localState {
	local, ok := m.localStates[resource]
	if !ok {
		local = &localState{pending: map[Kind]pending{}}
		m.localStates[resource] = local
	}
	return local
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
