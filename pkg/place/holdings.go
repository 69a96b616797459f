package place

import (
	"math"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

const (
	// sentFor is the time for which a part counts as held from the moment a request with it was sent there. The
	// engine's event on it arrives within this time.
	sentFor = 1500 * time.Millisecond
	// unwatchedFor is the same for an engine whose events are not watched.
	unwatchedFor = 5 * time.Second
	// savedFor is the most for a cache store, which has room for longer, and savedLeast the least.
	savedFor   = 15 * time.Second
	savedLeast = time.Second
	// storeShare is the part of a cache store's memory that the parts saved last take, beside those of other versions and
	// those that VMs save at the same time.
	storeShare = 0.8
	// inflowSpan is the time over which the tokens that come to a store are averaged.
	inflowSpan = 4 * time.Second
	// readAfter is the age of a send at which the engine has usually read the parts, or the store has them.
	readAfter = 600 * time.Millisecond
	// expirePause is the pause between two looks for sends that are too old.
	expirePause = time.Second
)

// CacheEvent tells that a source stores more or less of a part.
type CacheEvent struct {
	Salt string
	Part uint64
	// Tokens is how much of the part is stored now.
	Tokens int
}

// partKey identifies a part by a hash. The salt keeps models, weight versions and isolated workspaces apart.
type partKey uint64

func keyOf(salt string, part uint64) partKey {
	return partKey(rendezvous.Weight(part, salt))
}

// sourceState is what an engine or cache store is known to hold by its events.
type sourceState struct {
	epoch int64
	parts map[partKey]int
}

// sentTimes are the first and the last time of the sends of a part to a source that count together.
type sentTimes struct {
	first, last time.Time
}

// holdings tells which prompt parts the engines and cache stores hold: by their events, and for what this VM or a peer
// sent there lately.
type holdings struct {
	sources map[string]*sourceState
	sent    map[string]map[partKey]sentTimes
	// unreported are the sends of this VM that the peers were not told of yet, with the tokens of each part.
	unreported map[string]map[partKey]int
	// inflows are the tokens that come to each source.
	inflows map[string]*inflow
	// expiredAt is when old sends were last dropped.
	expiredAt time.Time
}

// inflow is a moving sum of the tokens that come to a source.
type inflow struct {
	tokens float64
	at     time.Time
}

// decayed returns the sum at a time.
func (f *inflow) decayed(now time.Time) float64 {
	return f.tokens * math.Exp(-now.Sub(f.at).Seconds()/inflowSpan.Seconds())
}

func (f *inflow) add(tokens int, now time.Time) {
	f.tokens = f.decayed(now) + float64(tokens)
	f.at = now
}

// keptFor returns the time for which a cache store keeps a part that is not used again: until as many tokens have come
// as it has room for.
func (h *holdings) keptFor(f Facts, now time.Time) time.Duration {
	in := h.inflows[f.Store]
	if in == nil || f.StoreTokens <= 0 {
		return savedFor
	}
	perSecond := in.decayed(now) / inflowSpan.Seconds()
	if perSecond <= 0 {
		return savedFor
	}
	kept := time.Duration(storeShare * float64(f.StoreTokens) / perSecond * float64(time.Second))
	return min(max(kept, savedLeast), savedFor)
}

func newHoldings() *holdings {
	return &holdings{
		sources:    map[string]*sourceState{},
		sent:       map[string]map[partKey]sentTimes{},
		unreported: map[string]map[partKey]int{},
		inflows:    map[string]*inflow{},
	}
}

// SourceOf returns the name of an engine as a source of cached parts, which is its address. A new start there shows by
// the epoch of its events.
func SourceOf(e *fleet.Endpoint) string {
	return e.Address
}

// CacheEvents takes the events of a source since the last call. A new epoch or a gap voids what was known.
func (p *Placer) CacheEvents(source string, epoch int64, gap bool, events []CacheEvent) {
	s := p.cache.sources[source]
	if s == nil || s.epoch != epoch || gap {
		s = &sourceState{epoch: epoch, parts: map[partKey]int{}}
		p.cache.sources[source] = s
	}
	for _, e := range events {
		k := keyOf(e.Salt, e.Part)
		if e.Tokens <= 0 {
			delete(s.parts, k)
			continue
		}
		s.parts[k] = e.Tokens
	}
}

// CacheLost forgets a source whose events can no longer be read.
func (p *Placer) CacheLost(source string) {
	p.cache.drop(source)
}

// drop forgets what a source held.
func (h *holdings) drop(source string) {
	delete(h.sources, source)
	h.forgetSent(source)
}

// forgetSent forgets what was sent to a source, whose requests may not have run.
func (h *holdings) forgetSent(source string) {
	delete(h.sent, source)
	delete(h.unreported, source)
}

// held returns the tokens of the leading shared parts that a source should hold.
// Limit is how long a send counts where the events of the source are not watched.
func (h *holdings) held(source, salt string, r *Request, limit time.Duration, now time.Time) int {
	s := h.sources[source]
	sent := h.sent[source]
	if s != nil {
		limit = sentFor
	}
	return leading(r, func(part Part) int {
		k := keyOf(salt, part.ID)
		if at, ok := sent[k]; ok && now.Sub(at.last) < limit {
			return part.Tokens
		}
		return s.tokens(k)
	})
}

// stored returns the tokens of the leading shared parts that can be fetched from a source: those that it holds by its
// events or, where these are not watched, those that were sent there first before readAfter and last within limit.
func (h *holdings) stored(source, salt string, r *Request, limit time.Duration, now time.Time) int {
	s := h.sources[source]
	sent := h.sent[source]
	if s == nil && sent == nil {
		return 0
	}
	return leading(r, func(part Part) int {
		k := keyOf(salt, part.ID)
		at, ok := sent[k]
		if s == nil && ok && now.Sub(at.first) > readAfter && now.Sub(at.last) < limit {
			return part.Tokens
		}
		return s.tokens(k)
	})
}

// tokens returns how much of a part a source holds by its events.
func (s *sourceState) tokens(k partKey) int {
	if s == nil {
		return 0
	}
	return s.parts[k]
}

// blockTokens is the granularity in which engines store parts; the rest of a part may be missing.
const blockTokens = 16

// leading adds up the shared parts from the first on, as far as they are held without a gap.
func leading(r *Request, held func(Part) int) int {
	tokens := 0
	for _, part := range r.shared() {
		have := min(held(part), part.Tokens)
		tokens += have
		if have < part.Tokens-blockTokens {
			break
		}
	}
	return tokens
}

// add records that this VM sends a request with its shared parts to a source.
func (h *holdings) add(source, salt string, r *Request, now time.Time) {
	if h.unreported[source] == nil {
		h.unreported[source] = map[partKey]int{}
	}
	for _, part := range r.shared() {
		k := keyOf(salt, part.ID)
		h.note(source, k, part.Tokens, now)
		h.unreported[source][k] = part.Tokens
	}
}

// note records that a part was sent to a source.
func (h *holdings) note(source string, k partKey, tokens int, now time.Time) {
	h.expire(now)
	if h.sent[source] == nil {
		h.sent[source] = map[partKey]sentTimes{}
	}
	at, known := h.sent[source][k]
	if !known || now.Sub(at.last) > unwatchedFor {
		at.first = now
		h.countInflow(source, tokens, now)
	}
	at.last = now
	h.sent[source][k] = at
}

func (h *holdings) countInflow(source string, tokens int, now time.Time) {
	if h.inflows[source] == nil {
		h.inflows[source] = &inflow{at: now}
	}
	h.inflows[source].add(tokens, now)
}

// expire drops the sends that no longer count for any source.
func (h *holdings) expire(now time.Time) {
	if now.Sub(h.expiredAt) < expirePause {
		return
	}
	h.expiredAt = now
	for source, sent := range h.sent {
		for k, at := range sent {
			if now.Sub(at.last) > savedFor {
				delete(sent, k)
			}
		}
		if len(sent) == 0 {
			delete(h.sent, source)
			delete(h.inflows, source)
		}
	}
}

// Placed are the shared parts that were sent to a source, hashed with their salts.
type Placed struct {
	Source string
	Parts  []uint64
	// Tokens is the size of each part.
	Tokens []uint32
}

// TakePlaced returns what this VM sent since the last call.
func (p *Placer) TakePlaced() []Placed {
	out := make([]Placed, 0, len(p.cache.unreported))
	for source, parts := range p.cache.unreported {
		placed := Placed{Source: source, Parts: make([]uint64, 0, len(parts))}
		for k, tokens := range parts {
			placed.Parts = append(placed.Parts, uint64(k))
			placed.Tokens = append(placed.Tokens, uint32(tokens))
		}
		out = append(out, placed)
	}
	clear(p.cache.unreported)
	return out
}

// PeerPlaced records what a peer sent.
func (p *Placer) PeerPlaced(placed Placed, now time.Time) {
	for i, part := range placed.Parts {
		tokens := 0
		if i < len(placed.Tokens) {
			tokens = int(placed.Tokens[i])
		}
		p.cache.note(placed.Source, partKey(part), tokens, now)
	}
}
