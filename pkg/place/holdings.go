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

// SourceOf returns the name of an engine as a source of cached parts. A new start of it is another source.
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
	h.unsend(source)
}

// unsend forgets what was sent to a source, whose requests may not have run.
func (h *holdings) unsend(source string) {
	for k := range h.sent {
		if k.source == source {
			delete(h.sent, k)
		}
	}
}

// held returns the tokens of the leading shared parts that a source should hold.
func (h *holdings) held(source, salt string, r *Request, now time.Time) int {
	tokens := 0
	s := h.sources[source]
	for i, part := range r.Chain {
		if i == len(r.Chain)-1 {
			break
		}
		have := h.part(s, source, partKey{salt: salt, part: part.ID}, part.Tokens, now)
		tokens += have
		if have < part.Tokens-blockTokens {
			break
		}
	}
	return tokens
}

// stored returns the tokens of the leading shared parts that a source holds by its events. What was sent there may
// still be unread and cannot be fetched.
func (h *holdings) stored(source, salt string, r *Request) int {
	s := h.sources[source]
	if s == nil {
		return 0
	}
	tokens := 0
	for i, part := range r.Chain {
		if i == len(r.Chain)-1 {
			break
		}
		have := min(s.parts[partKey{salt: salt, part: part.ID}], part.Tokens)
		tokens += have
		if have < part.Tokens-blockTokens {
			break
		}
	}
	return tokens
}

// blockTokens is the granularity in which engines store parts; the rest of a part may be missing.
const blockTokens = 16

func (h *holdings) part(s *sourceState, source string, k partKey, whole int, now time.Time) int {
	limit := unwatchedFor
	have := 0
	if s != nil {
		limit = sentFor
		have = min(s.parts[k], whole)
	}
	if at, ok := h.sent[sentKey{source: source, partKey: k}]; ok && now.Sub(at) < limit {
		return whole
	}
	return have
}

func (h *holdings) add(source, salt string, r *Request, now time.Time) {
	if len(h.sent) > maxSent {
		h.expire(now)
	}
	for i, part := range r.Chain {
		if i == len(r.Chain)-1 {
			break
		}
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
