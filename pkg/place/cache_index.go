package place

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
	"github.com/corneldeal/corneldeal/pkg/rendezvous"
)

const (
	// sentTTL is how long a part counts as held after a request with it was sent to a source whose events are watched.
	// The engine's event for the part arrives within this time.
	sentTTL = 1500 * time.Millisecond
	// unwatchedSentTTL is the sentTTL of an engine whose events are not watched.
	unwatchedSentTTL = 5 * time.Second
	// maxStoreTTL and minStoreTTL bound how long a part counts as held by a cache store. A store has room for longer
	// than maxStoreTTL.
	maxStoreTTL = 15 * time.Second
	minStoreTTL = time.Second
	// storeMemoryShare is the share of a cache store's memory that the most recently saved parts fill. The rest holds
	// parts of other versions and parts that VMs save at the same time.
	storeMemoryShare = 0.8
	// inflowTimeConstant is the time constant of the moving sum of the tokens sent to a source.
	inflowTimeConstant = 4 * time.Second
	// fetchableAfter is the age of the first send of a part at which the engine has usually computed it, or the store
	// has received it.
	fetchableAfter = 600 * time.Millisecond
	// expireInterval is the shortest time between two scans for expired sends.
	expireInterval = time.Second
)

// CacheEvent is a change in how much of a part a source stores.
type CacheEvent struct {
	Salt string
	Part uint64
	// Tokens is the number of tokens of the part that are stored now. Zero means that the part was evicted.
	Tokens int
}

// partKey is a hash of a part and its salt. The salt separates models, weight versions and isolated workspaces.
type partKey uint64

// keyOf returns the key of a part under a salt.
func keyOf(salt string, part uint64) partKey {
	return partKey(rendezvous.Weight(part, salt))
}

// sourceState is the cache content that an engine or cache store reported by its events.
type sourceState struct {
	epoch int64
	parts map[partKey]int
}

// sentTimes holds the first and the last send of a part to a source in a series of sends with no pause longer than
// unwatchedSentTTL.
type sentTimes struct {
	first, last time.Time
}

// cacheIndex tracks which prompt parts the engines and cache stores hold: those that their events report, and those
// that this VM or a peer sent there recently.
type cacheIndex struct {
	sources map[string]*sourceState
	sent    map[string]map[partKey]sentTimes
	// unreported holds the sends of this VM that were not yet passed to the peers, with the tokens of each part.
	unreported map[string]map[partKey]int
	// inflows holds the moving sum of the tokens sent to each source.
	inflows map[string]*inflow
	// expiredAt is the time of the last scan for expired sends.
	expiredAt time.Time
}

// inflow is an exponentially decaying sum of the tokens sent to a source.
type inflow struct {
	tokens    float64
	updatedAt time.Time
}

// decayed returns the sum as of now.
func (f *inflow) decayed(now time.Time) float64 {
	return f.tokens * math.Exp(-now.Sub(f.updatedAt).Seconds()/inflowTimeConstant.Seconds())
}

// add adds tokens that are sent to the source now.
func (f *inflow) add(tokens int, now time.Time) {
	f.tokens = f.decayed(now) + float64(tokens)
	f.updatedAt = now
}

// storeTTL returns how long the cache store keeps a part that is not used again: the time until the inflow fills the
// store's memory, at most maxStoreTTL and at least minStoreTTL.
func (h *cacheIndex) storeTTL(f ServiceProperties, now time.Time) time.Duration {
	in := h.inflows[f.Store]
	if in == nil || f.StoreTokens <= 0 {
		return maxStoreTTL
	}
	perSecond := in.decayed(now) / inflowTimeConstant.Seconds()
	if perSecond <= 0 {
		return maxStoreTTL
	}
	kept := time.Duration(storeMemoryShare * float64(f.StoreTokens) / perSecond * float64(time.Second))
	return min(max(kept, minStoreTTL), maxStoreTTL)
}

// newCacheIndex returns an empty index.
func newCacheIndex() *cacheIndex {
	return &cacheIndex{
		sources:    map[string]*sourceState{},
		sent:       map[string]map[partKey]sentTimes{},
		unreported: map[string]map[partKey]int{},
		inflows:    map[string]*inflow{},
	}
}

// SourceOf returns the source name of an engine, which is its address. A restart of the engine shows as a new epoch in
// its events.
func SourceOf(e *fleet.Endpoint) string {
	return e.Address
}

// ApplyCacheEvents applies the events of a source since the last call. A new epoch, or a gap in the events, discards
// what the source reported before.
func (p *Placer) ApplyCacheEvents(source string, epoch int64, gap bool, events []CacheEvent) {
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

// DropCacheSource discards the recorded content of a source whose events can no longer be read.
func (p *Placer) DropCacheSource(source string) {
	p.cache.dropSource(source)
}

// dropSource discards the reported content and the sends of a source.
func (h *cacheIndex) dropSource(source string) {
	delete(h.sources, source)
	h.forgetSent(source)
}

// forgetSent discards the sends to a source, whose requests may not have run.
func (h *cacheIndex) forgetSent(source string) {
	delete(h.sent, source)
	delete(h.unreported, source)
}

// expectedTokens returns the number of tokens of the leading shared parts that a source holds or is about to hold. A
// send counts for sentTTL, or for limit where the events of the source are not watched.
func (h *cacheIndex) expectedTokens(source, salt string, r *Request, limit time.Duration, now time.Time) int {
	s := h.sources[source]
	sent := h.sent[source]
	if s != nil {
		limit = sentTTL
	}
	return leadingTokens(r, func(part Part) int {
		k := keyOf(salt, part.ID)
		if at, ok := sent[k]; ok && now.Sub(at.last) < limit {
			return part.Tokens
		}
		return s.tokens(k)
	})
}

// fetchableTokens returns the number of tokens of the leading shared parts that can be fetched from a source: the parts
// that its events report or, where its events are not watched, the parts whose first send is older than fetchableAfter
// and whose last send is younger than limit.
func (h *cacheIndex) fetchableTokens(source, salt string, r *Request, limit time.Duration, now time.Time) int {
	s := h.sources[source]
	sent := h.sent[source]
	if s == nil && sent == nil {
		return 0
	}
	return leadingTokens(r, func(part Part) int {
		k := keyOf(salt, part.ID)
		at, ok := sent[k]
		if s == nil && ok && now.Sub(at.first) > fetchableAfter && now.Sub(at.last) < limit {
			return part.Tokens
		}
		return s.tokens(k)
	})
}

// tokens returns the number of tokens of a part that the source reported as stored. It is zero for a nil receiver.
func (s *sourceState) tokens(k partKey) int {
	if s == nil {
		return 0
	}
	return s.parts[k]
}

// blockTokens is the block size in which engines store parts. The tokens of a part beyond its last full block may be
// missing.
const blockTokens = 16

// leadingTokens returns the number of held tokens of the leading shared parts, up to the first part of which a whole
// block or more is missing.
func leadingTokens(r *Request, held func(Part) int) int {
	tokens := 0
	for _, part := range r.sharedParts() {
		have := min(held(part), part.Tokens)
		tokens += have
		if have < part.Tokens-blockTokens {
			break
		}
	}
	return tokens
}

// recordSend records that this VM sends a request with its shared parts to a source.
func (h *cacheIndex) recordSend(source, salt string, r *Request, now time.Time) {
	if h.unreported[source] == nil {
		h.unreported[source] = map[partKey]int{}
	}
	for _, part := range r.sharedParts() {
		k := keyOf(salt, part.ID)
		h.recordPart(source, k, part.Tokens, now)
		h.unreported[source][k] = part.Tokens
	}
}

// recordPart records that this VM or a peer sent a part to a source.
func (h *cacheIndex) recordPart(source string, k partKey, tokens int, now time.Time) {
	h.expire(now)
	if h.sent[source] == nil {
		h.sent[source] = map[partKey]sentTimes{}
	}
	at, known := h.sent[source][k]
	if !known || now.Sub(at.last) > unwatchedSentTTL {
		at.first = now
		h.countInflow(source, tokens, now)
	}
	at.last = now
	h.sent[source][k] = at
}

// countInflow adds tokens to the inflow of a source.
func (h *cacheIndex) countInflow(source string, tokens int, now time.Time) {
	if h.inflows[source] == nil {
		h.inflows[source] = &inflow{updatedAt: now}
	}
	h.inflows[source].add(tokens, now)
}

// expire drops the sends that are too old to count for any source.
func (h *cacheIndex) expire(now time.Time) {
	if now.Sub(h.expiredAt) < expireInterval {
		return
	}
	h.expiredAt = now
	for source, sent := range h.sent {
		for k, at := range sent {
			if now.Sub(at.last) > maxStoreTTL {
				delete(sent, k)
			}
		}
		if len(sent) == 0 {
			delete(h.sent, source)
			delete(h.inflows, source)
		}
	}
}

// SentParts lists the shared parts that were sent to a source, as hashes of part and salt.
type SentParts struct {
	Source string
	Parts  []uint64
	// Tokens holds the number of tokens of each part, in the order of Parts.
	Tokens []uint32
}

// TakeSentParts returns the parts that this VM sent since the last call, ordered by source and part.
func (p *Placer) TakeSentParts() []SentParts {
	out := make([]SentParts, 0, len(p.cache.unreported))
	for _, source := range slices.Sorted(maps.Keys(p.cache.unreported)) {
		parts := p.cache.unreported[source]
		placed := SentParts{Source: source, Parts: make([]uint64, 0, len(parts))}
		for _, k := range slices.Sorted(maps.Keys(parts)) {
			placed.Parts = append(placed.Parts, uint64(k))
			placed.Tokens = append(placed.Tokens, uint32(parts[k]))
		}
		out = append(out, placed)
	}
	clear(p.cache.unreported)
	return out
}

// RecordPeerSentParts records parts that a peer sent.
func (p *Placer) RecordPeerSentParts(placed SentParts, now time.Time) {
	for i, part := range placed.Parts {
		tokens := 0
		if i < len(placed.Tokens) {
			tokens = int(placed.Tokens[i])
		}
		p.cache.recordPart(placed.Source, partKey(part), tokens, now)
	}
}
