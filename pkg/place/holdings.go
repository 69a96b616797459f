package place

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/fleet"
)

const (
	// sentFor is the time for which a part counts as held from the moment this VM sent a request with it. The
	// engine's event on it arrives within this time.
	sentFor = 1500 * time.Millisecond
	// unwatchedFor is the same for an engine whose events are not watched.
	unwatchedFor = 5 * time.Second
	// maxSent bounds the remembered sends.
	maxSent = 8192
)

// CacheEvent tells that a source stores more or less of a part.
type CacheEvent struct {
	Salt string
	Part uint64
	// Tokens is how much of the part is stored now.
	Tokens int
}

// partKey identifies a part. The salt keeps models, weight versions and isolated workspaces apart.
type partKey struct {
	salt string
	part uint64
}

// sourceState is what an engine or cache store is known to hold by its events.
type sourceState struct {
	epoch int64
	parts map[partKey]int
}

// sentKey identifies a part sent to an engine.
type sentKey struct {
	source string
	partKey
}

// holdings tells which prompt parts the engines and cache stores hold: by their events, and for what this VM sent
// there lately.
type holdings struct {
	sources map[string]*sourceState
	sent    map[sentKey]time.Time
}

func newHoldings() *holdings {
	return &holdings{sources: map[string]*sourceState{}, sent: map[sentKey]time.Time{}}
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
		k := partKey{salt: e.Salt, part: e.Part}
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
	for k := range h.sent {
		if k.source == source {
			delete(h.sent, k)
		}
	}
}

// held returns the tokens of the leading shared parts that a source should hold.
func (h *holdings) held(source, salt string, r *Request, now time.Time) int {
	s := h.sources[source]
	return leading(r, func(part Part) int {
		return h.expected(s, sentKey{source: source, partKey: partKey{salt: salt, part: part.ID}}, part, now)
	})
}

// stored returns the tokens of the leading shared parts that a source holds by its events. What was sent there may
// still be unread and cannot be fetched.
func (h *holdings) stored(source, salt string, r *Request) int {
	s := h.sources[source]
	if s == nil {
		return 0
	}
	return leading(r, func(part Part) int {
		return s.parts[partKey{salt: salt, part: part.ID}]
	})
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

// expected returns the tokens of a part that a source should hold: by its events, or all of it where it was sent there
// lately.
func (h *holdings) expected(s *sourceState, k sentKey, part Part, now time.Time) int {
	limit := unwatchedFor
	have := 0
	if s != nil {
		limit = sentFor
		have = s.parts[k.partKey]
	}
	if at, ok := h.sent[k]; ok && now.Sub(at) < limit {
		return part.Tokens
	}
	return have
}

func (h *holdings) add(source, salt string, r *Request, now time.Time) {
	if len(h.sent) > maxSent {
		h.expire(now)
	}
	for _, part := range r.shared() {
		h.sent[sentKey{source: source, partKey: partKey{salt: salt, part: part.ID}}] = now
	}
}

func (h *holdings) expire(now time.Time) {
	for k, at := range h.sent {
		if now.Sub(at) > unwatchedFor || len(h.sent) > maxSent {
			delete(h.sent, k)
		}
	}
}
