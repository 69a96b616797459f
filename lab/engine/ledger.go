package engine

import "sync"

// Ledger counts, across several engines, how many engines cache each block and how many blocks were recomputed although
// another live engine cached them. It is safe for concurrent use; its lock is acquired after an engine's lock.
type Ledger struct {
	mu sync.Mutex
	// holders is the number of engines that cache each block, by hash.
	holders map[uint64]int
	totals  LedgerTotals
}

// LedgerTotals contains sums since the creation of the ledger.
type LedgerTotals struct {
	// Computed counts blocks that were computed.
	Computed int64
	// Wasted counts the computed blocks that another live engine cached at that moment.
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

// Totals returns a copy of the sums.
func (l *Ledger) Totals() LedgerTotals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// addHolders adds delta to the number of engines that cache each block. A nil ledger ignores it.
func (l *Ledger) addHolders(hashes []uint64, delta int) {
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

// recordLookup records the cache lookup of a prompt with the given number of tokens. own reports whether the engine
// itself caches a missing block, which happens after a gap in the prefix. A nil ledger ignores it.
func (l *Ledger) recordLookup(tokens, hits int, missing []uint64, own func(uint64) bool) {
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
