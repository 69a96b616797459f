package member

import (
	"slices"
	"time"
)

// Contact is the result of the isolation rule.
type Contact int

const (
	// Isolated means that the VM may miss a withdrawal: it refuses new requests as not run.
	Isolated Contact = iota
	// InContact means that the VM has known and applied the end of the config stream within ContactWindow.
	InContact
	// Outage means that most VMs answer and none of them has contact: the VM continues to serve.
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

// Contact applies the isolation rule of the design page, section 8.1.
func (t *Table) Contact(now time.Time) Contact {
	if now.Sub(t.evidence) < ContactWindow {
		return InContact
	}
	if t.peerInContact(now) {
		return Isolated
	}
	if now.Sub(t.majority(now, anyPeer)) < HeartbeatTimeout {
		return Outage
	}
	return Isolated
}

func anyPeer(*peer) bool { return true }

func withoutContact(p *peer) bool { return !p.hasContact() }

// ContactAge returns the time since this VM knew and had applied the end of the config stream, or -1 for never. It
// is the Age to report for that stream: ages add up along relays, so two VMs without contact cannot keep
// each other in contact.
func (t *Table) ContactAge(now time.Time) time.Duration {
	if t.evidence.IsZero() {
		return -1
	}
	return max(now.Sub(t.evidence), 0)
}

// LastServed returns the last time at which this VM was in contact or in an outage, or zero.
func (t *Table) LastServed(now time.Time) time.Time {
	return later(t.evidence, t.majority(now, withoutContact))
}

// MustClose tells that the VM is isolated and that running streams must be closed.
func (t *Table) MustClose(now time.Time) bool {
	return t.Contact(now) == Isolated && now.Sub(t.LastServed(now)) >= CloseAfter
}

// peerInContact tells whether an answering peer has contact now. Its word is aged like the proof behind it:
// otherwise every VM would look isolated to itself for a heartbeat interval when an outage begins.
func (t *Table) peerInContact(now time.Time) bool {
	for _, p := range t.peers {
		if !p.hasContact() {
			continue
		}
		proof := p.evidence
		if proof.IsZero() {
			proof = p.answer
		}
		if now.Sub(proof) < ContactWindow {
			return true
		}
	}
	return false
}

func (p *peer) hasContact() bool { return p.last != nil && p.last.Contact }

// majority returns the newest time since which more than half of the voters, this VM included, have answered and
// qualify, or zero. Before the first list the voters are not known.
func (t *Table) majority(now time.Time, qualifies func(*peer) bool) time.Time {
	voters := 1
	var answers []time.Time
	for _, p := range t.peers {
		if !p.voter {
			continue
		}
		voters++
		if !p.answer.IsZero() && qualifies(p) {
			answers = append(answers, p.answer)
		}
	}
	needed := voters / 2
	switch {
	case !t.listedOnce || needed > len(answers):
		return time.Time{}
	case needed == 0:
		return now
	}
	slices.SortFunc(answers, func(a, b time.Time) int { return b.Compare(a) })
	return answers[needed-1]
}
