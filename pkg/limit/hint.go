package limit

import (
	"slices"
	"strings"
	"time"
)

// peerHint holds the spare tokens that a peer last reported.
type peerHint struct {
	receivedAt time.Time
	spare      map[string]int64
}

// Donor is a peer to request tokens from, and the number of tokens to request.
type Donor struct {
	VM     string
	Tokens int64
}

// SetHints records the spare tokens that a peer reported at now, in place of those that it reported before.
func (l *Limiter) SetHints(vm string, spare []SpareTokens, now time.Time) {
	h := &peerHint{receivedAt: now, spare: make(map[string]int64, len(spare))}
	for _, s := range spare {
		h.spare[s.Workspace] = s.Tokens
	}
	l.hints[vm] = h
}

// DropHints removes the spare tokens recorded for a peer, for instance because it did not answer.
func (l *Limiter) DropHints(vm string) {
	delete(l.hints, vm)
}

// Donors returns the peers to request the missing tokens from, largest hint first, and deducts the requested tokens
// from their hints. It returns nil if the hints do not cover the missing tokens, since tokens from a partial collection
// would only be returned.
func (l *Limiter) Donors(name string, missing int64, now time.Time) []Donor {
	type offer struct {
		vm     string
		tokens int64
	}
	var offers []offer
	for vm, h := range l.hints {
		if tokens := h.spare[name]; tokens > 0 && now.Sub(h.receivedAt) < maxHintAge {
			offers = append(offers, offer{vm: vm, tokens: tokens})
		}
	}
	slices.SortFunc(offers, func(a, b offer) int {
		if a.tokens != b.tokens {
			return int(min(max(b.tokens-a.tokens, -1), 1))
		}
		return strings.Compare(a.vm, b.vm)
	})
	var out []Donor
	left := missing
	for _, o := range offers {
		if left <= 0 || len(out) == maxDonors {
			break
		}
		ask := min(left, o.tokens)
		out = append(out, Donor{VM: o.vm, Tokens: ask})
		left -= ask
	}
	if left > 0 {
		return nil
	}
	for _, d := range out {
		l.hints[d.VM].spare[name] -= d.Tokens
	}
	return out
}
