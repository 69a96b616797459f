package limit

import (
	"slices"
	"strings"
	"time"
)

// hint is what a peer last told about its spare tokens.
type hint struct {
	at    time.Time
	spare map[string]int64
}

// Donor is a peer to ask and the tokens to ask it for.
type Donor struct {
	VM     string
	Tokens int64
}

// Hint records the spare tokens of a peer, as of now. It replaces what the peer told before.
func (l *Limiter) Hint(vm string, spare []Spare, now time.Time) {
	h := &hint{at: now, spare: make(map[string]int64, len(spare))}
	for _, s := range spare {
		h.spare[s.Workspace] = s.Tokens
	}
	l.hints[vm] = h
}

// DropHints forgets what a peer told, for instance because it did not answer.
func (l *Limiter) DropHints(vm string) {
	delete(l.hints, vm)
}

// Donors chooses the peers to ask for missing tokens, largest hint first, and counts what it asks for as used. It
// returns nil when the hints do not cover the missing tokens: a partial collection would only be returned.
func (l *Limiter) Donors(name string, missing int64, now time.Time) []Donor {
	type offer struct {
		vm     string
		tokens int64
	}
	var offers []offer
	for vm, h := range l.hints {
		if tokens := h.spare[name]; tokens > 0 && now.Sub(h.at) < hintAge {
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
		if left <= 0 || len(out) == mostDonors {
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
