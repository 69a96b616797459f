package lease

import "time"

// EvidenceKind names a source of evidence that no newer claim lets another VM act.
type EvidenceKind int

const (
	// OwnRead is the VM's own read of the control stream up to its end (E1).
	OwnRead EvidenceKind = iota + 1
	// PeerRead is such a read by a peer (E2).
	PeerRead
	// ListRead is a complete read of the VM list (E3, and the absence of other VMs).
	ListRead
	// PeerVouch is a round of answers of peers that can read neither log nor VM list (E4).
	PeerVouch
)

// Evidence is one observation, handed to Manager.Observe.
type Evidence struct {
	Kind EvidenceKind
	// At is when the read or the round of questions started, on the VM's monotonic clock. For PeerRead it is
	// the start of the own request whose response carried the relay, less the age that the peer gave. A relay
	// that was pushed by the peer must not be used, since its time in transit is unknown.
	At time.Time
	// Next is the end of the control stream as read, for OwnRead and PeerRead.
	Next int64
	// LogUnreachable tells, for ListRead, that the newest read of the log failed.
	LogUnreachable bool
	// AsOf is the time that the VM list states for itself, for ListRead.
	AsOf time.Time
	// Listed are the VMs on the list, live or leaving, for ListRead.
	Listed []ListedVM
	// Vouches are the answers received, for PeerVouch.
	Vouches []Vouch
}

// ListedVM is one entry of the VM list.
type ListedVM struct {
	VM string
	// Address is the peer address.
	Address string
	Leaving bool
}

// Vouch is the answer of one peer about its own view of the log and the VM list.
type Vouch struct {
	VM           string
	Incarnation  string
	ReadsLog     bool
	ReadsList    bool
	ClaimPending bool
	// Next is the next offset of the control stream that the peer has not applied.
	Next int64
}

// absence tracks how long the VM list has not shown each VM.
type absence struct {
	// readAt and asOf belong to the newest read of the list. Zero means that there was none.
	readAt time.Time
	asOf   time.Time
	listed map[string]ListedVM
	// since holds the first read of an unbroken series of reads that do not show the VM.
	since map[string]absentSince
}

type absentSince struct {
	readAt time.Time
	asOf   time.Time
}

// observe applies a read of the list. watched are the holders whose absence matters.
func (a *absence) observe(ev Evidence, watched []Holder) {
	if !a.readAt.IsZero() && !ev.At.After(a.readAt) {
		return
	}
	broken := a.readAt.IsZero() || ev.At.Sub(a.readAt) >= Forfeit || ev.AsOf.Sub(a.asOf) >= Unlisted
	if broken || ev.AsOf.Before(a.asOf) {
		a.since = map[string]absentSince{}
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
			a.since[key] = absentSince{readAt: ev.At, asOf: ev.AsOf}
		}
	}
}

// fresh reports whether the newest read is young enough to base a takeover on.
func (a *absence) fresh(now time.Time) bool {
	return !a.readAt.IsZero() && now.Sub(a.readAt) < Forfeit
}

// shows reports whether the newest read shows the holder as live.
func (a *absence) shows(h Holder) bool {
	entry, ok := a.listed[h.listKey()]
	return ok && !entry.Leaving
}

// span returns for how long every read has not shown the holder. Both the clock of this VM and the list's own time
// must have advanced, so that a list that stands still proves nothing.
func (a *absence) span(h Holder) time.Duration {
	since, ok := a.since[h.listKey()]
	if !ok {
		return 0
	}
	return min(a.readAt.Sub(since.readAt), a.asOf.Sub(since.asOf))
}
