package engine

import "sync"

// Ledger counts over several engines how many hold each block, and which blocks were computed again although
// another live engine held them. It is safe for concurrent use; its lock is taken after an engine's lock.
type Ledger struct {
	mu      sync.Mutex
	holders map[uint64]int
	totals  LedgerTotals
}

// LedgerTotals are sums since the start.
type LedgerTotals struct {
	// Computed counts blocks that were computed.
	Computed int64
	// Wasted counts those that another live engine held at that moment.
	Wasted int64
	// Hit counts blocks that were found in the engine's own cache.
	Hit int64
	// PromptTokens counts the tokens of all prompts that were looked up.
	PromptTokens int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{holders: map[uint64]int{}}
}

// Totals returns the sums.
func (l *Ledger) Totals() LedgerTotals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

func (l *Ledger) held(hashes []uint64, delta int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range hashes {
		l.holders[h] += delta
		if l.holders[h] <= 0 {
			delete(l.holders, h)
		}
	}
}

// looked records the outcome of one lookup of a prompt of the given tokens. own tells which missing blocks the engine holds itself behind a hole
// in the prefix.
func (l *Ledger) looked(tokens, hits int, missing []uint64, own func(uint64) bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.PromptTokens += int64(tokens)
	l.totals.Hit += int64(hits)
	l.totals.Computed += int64(len(missing))
	for _, h := range missing {
		others := l.holders[h]
		if own(h) {
			others--
		}
		if others > 0 {
			l.totals.Wasted++
		}
	}
}
