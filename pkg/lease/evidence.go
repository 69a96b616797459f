package lease

import "time"

// EvidenceKind is a source of evidence that no newer claim lets another VM act.
type EvidenceKind int

const (
	// OwnRead is the VM's own read of the control stream up to its end.
	OwnRead EvidenceKind = iota + 1
	// PeerRead is a read of the control stream up to its end by a peer.
	PeerRead
	// ListRead is a complete read of the VM list. It also shows which VMs are absent.
	ListRead
	// PeerPoll is a round of answers from peers that can read neither the log nor the VM list.
	PeerPoll
)

// Evidence is one observation, passed to Manager.Observe.
type Evidence struct {
	Kind EvidenceKind
	// At is the start of the read or poll, by the VM's monotonic clock. For PeerRead it is the start of the VM's own
	// request whose response carried the peer's read, less the age that the peer reported. A read that the peer pushed
	// must not be used, since its time in transit is unknown.
	At time.Time
	// Next is the end of the control stream as read, for OwnRead and PeerRead.
	Next int64
	// LogUnreachable reports, for ListRead, whether the newest read of the log failed.
	LogUnreachable bool
	// AsOf is the timestamp in the VM list, for ListRead.
	AsOf time.Time
	// Listed contains the VMs on the list, live or leaving, for ListRead.
	Listed []ListedVM
	// PeerStatuses contains the answers received, for PeerPoll.
	PeerStatuses []PeerStatus
}

// ListedVM is one entry of the VM list.
type ListedVM struct {
	VM string
	// Address is the peer address.
	Address string
	Leaving bool
}

// PeerStatus is the answer of one peer to a poll: whether it can read the log and the VM list, and how far it has read.
type PeerStatus struct {
	VM           string
	Incarnation  string
	ReadsLog     bool
	ReadsList    bool
	ClaimPending bool
	// Next is the first offset of the control stream that the peer has not applied.
	Next int64
}

// absenceTracker records how long the VM list has not shown each holder.
type absenceTracker struct {
	// readAt and asOf belong to the newest read of the list, and are zero before the first.
	readAt time.Time
	asOf   time.Time
	listed map[string]ListedVM
	// since contains, by list key, the first of the consecutive reads that do not show the VM.
	since map[string]absenceStart
}

type absenceStart struct {
	readAt time.Time
	asOf   time.Time
}

// observe applies a read of the list. watched contains the holders whose absence is recorded.
func (a *absenceTracker) observe(ev Evidence, watched []Holder) {
	if !a.readAt.IsZero() && !ev.At.After(a.readAt) {
		return
	}
	broken := a.readAt.IsZero() || ev.At.Sub(a.readAt) >= EvidenceTTL || ev.AsOf.Sub(a.asOf) >= MinAbsence
	if broken || ev.AsOf.Before(a.asOf) {
		a.since = map[string]absenceStart{}
	}
	a.readAt = ev.At
	a.asOf = ev.AsOf
	a.listed = make(map[string]ListedVM, len(ev.Listed))
	for _, vm := range ev.Listed {
		key := Holder{VM: vm.VM, Address: vm.Address}.listKey()
		a.listed[key] = vm
		delete(a.since, key)
	}
	for _, h := range watched {
		key := h.listKey()
		if _, shown := a.listed[key]; shown {
			continue
		}
		if _, counted := a.since[key]; !counted {
			a.since[key] = absenceStart{readAt: ev.At, asOf: ev.AsOf}
		}
	}
}

// fresh reports whether the newest read is recent enough to base a takeover on.
func (a *absenceTracker) fresh(now time.Time) bool {
	return !a.readAt.IsZero() && now.Sub(a.readAt) < EvidenceTTL
}

// listsLive reports whether the newest read shows the holder as live.
func (a *absenceTracker) listsLive(h Holder) bool {
	entry, ok := a.listed[h.listKey()]
	return ok && !entry.Leaving
}

// duration returns the time for which no read has shown the holder. It is the lesser of the elapsed times by this VM's
// clock and by the list's own timestamps, so that a list that is no longer updated proves nothing.
func (a *absenceTracker) duration(h Holder) time.Duration {
	since, ok := a.since[h.listKey()]
	if !ok {
		return 0
	}
	return min(a.readAt.Sub(since.readAt), a.asOf.Sub(since.asOf))
}
