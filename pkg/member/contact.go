package member

import (
	"slices"
	"time"
)

// Contact is the result of the isolation rule, which decides whether a VM may serve requests.
type Contact int

const (
	// Isolated means that the VM may have missed the withdrawal of a key. It refuses new requests as not run.
	Isolated Contact = iota
	// InContact means that the VM had proof within ContactWindow that it has applied the config stream up to its end.
	InContact
	// Outage means that most VMs answer and none of them is in contact. The VM continues to serve.
	Outage
)

// String implements fmt.Stringer.
func (c Contact) String() string {
	switch c {
	case InContact:
		return "in contact"
	case Outage:
		return "outage"
	}
	return "isolated"
}

// Contact applies the isolation rule. A VM with proof younger than ContactWindow is in contact. Without it, the VM is
// in an outage if more than half of the voters, itself included, answered within HeartbeatTimeout and no peer reports
// contact; otherwise it is isolated.
func (t *Table) Contact(now time.Time) Contact {
	if now.Sub(t.configEndAt) < ContactWindow {
		return InContact
	}
	if t.peerInContact(now) {
		return Isolated
	}
	if now.Sub(t.majoritySince(now, anyPeer)) < HeartbeatTimeout {
		return Outage
	}
	return Isolated
}

func anyPeer(*peer) bool { return true }

func withoutContact(p *peer) bool { return !p.hasContact() }

// ContactAge returns the time since this VM last had proof that it has applied the config stream up to its end, or -1
// for never. The VM reports it as the Age of that stream. Ages add up along relays, so two VMs without contact cannot
// keep each other in contact.
func (t *Table) ContactAge(now time.Time) time.Duration {
	if t.configEndAt.IsZero() {
		return -1
	}
	return max(now.Sub(t.configEndAt), 0)
}

// LastServed returns the last time at which this VM was in contact or in an outage, or zero.
func (t *Table) LastServed(now time.Time) time.Time {
	return later(t.configEndAt, t.majoritySince(now, withoutContact))
}

// MustCloseStreams reports whether the VM has been isolated for so long that it must close running streams.
func (t *Table) MustCloseStreams(now time.Time) bool {
	return t.Contact(now) == Isolated && now.Sub(t.LastServed(now)) >= CloseAfter
}

// peerInContact reports whether a peer is in contact now. A peer's report becomes stale with its proof: otherwise
// each VM would consider itself isolated for a heartbeat interval when an outage begins.
func (t *Table) peerInContact(now time.Time) bool {
	for _, p := range t.peers {
		if !p.hasContact() {
			continue
		}
		contactAt := p.configEndAt
		if contactAt.IsZero() {
			contactAt = p.answeredAt
		}
		if now.Sub(contactAt) < ContactWindow {
			return true
		}
	}
	return false
}

// hasContact reports whether the newest heartbeat of the peer reports contact.
func (p *peer) hasContact() bool { return p.lastHeartbeat != nil && p.lastHeartbeat.Contact }

// majoritySince returns the newest time since which more than half of the voters, this VM included, have answered and
// qualify, or zero. It returns zero before the first list, when the voters are unknown.
func (t *Table) majoritySince(now time.Time, qualifies func(*peer) bool) time.Time {
	voters := 1
	var answers []time.Time
	for _, p := range t.peers {
		if !p.voter {
			continue
		}
		voters++
		if !p.answeredAt.IsZero() && qualifies(p) {
			answers = append(answers, p.answeredAt)
		}
	}
	needed := voters / 2
	switch {
	case !t.listRead || needed > len(answers):
		return time.Time{}
	case needed == 0:
		return now
	}
	slices.SortFunc(answers, func(a, b time.Time) int { return b.Compare(a) })
	return answers[needed-1]
}
