package crashguard

import (
	"slices"

	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

const (
	// MaxAccusedParts limits the parts of one request that a crash accuses, so that prompts of hundreds of parts do not fill
	// the tally.
	MaxAccusedParts = 128
	// accusationTurnName is the name under which the turn of a part is drawn.
	accusationTurnName = "turn"
)

// Accuser chooses the parts of a request that a crash accuses. It is not safe for concurrent use.
type Accuser struct {
	tally *Tally
	// turn is that of the parts that the last crash under a long prompt accused.
	turn uint64
}

// NewAccuser returns an Accuser for a tally. VMs begin with different turns if their seeds differ.
func NewAccuser(t *Tally, seed uint64) *Accuser {
	return &Accuser{tally: t, turn: seed}
}

// Accused returns which of the fingerprints of a request a crash of an endpoint accuses: those of the request and, unless an answer
// had shown that its parts are sound, of about MaxAccusedParts parts. Of a longer prompt the parts that are accused already come
// first, and the others take turns, so that a part that is in all crashes is soon accused wherever it stands. The fingerprints of
// parts follow those of the request.
func (a *Accuser) Accused(fingerprints []uint64, sound bool) []uint64 {
	first := slices.IndexFunc(fingerprints, IsPart)
	if first >= 0 && sound {
		return fingerprints[:first]
	}
	if first < 0 || len(fingerprints)-first <= MaxAccusedParts {
		return fingerprints
	}
	parts := fingerprints[first:]
	turns := uint64((len(parts) + MaxAccusedParts - 1) / MaxAccusedParts)
	a.turn++
	out := slices.Clone(fingerprints[:first])
	for _, part := range parts {
		if rendezvous.Weight(part, accusationTurnName)%turns == a.turn%turns || a.tally.CrashCount(part) > 0 {
			out = append(out, part)
		}
	}
	return out
}
