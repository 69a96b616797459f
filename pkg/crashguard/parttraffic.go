package crashguard

import (
	"maps"
	"slices"
	"time"
)

// If a part of prompts crashes endpoints from the first requests after a start on, nothing was answered before, so the parts
// that all requests share are accused in every crash like the guilty one, and refusing them refuses everybody. What tells
// them apart is how many of the requests have them.

const (
	// partTrafficPeriod is the time after which the counts of requests are halved.
	partTrafficPeriod = 5 * time.Second
	// minPartTraffic is the number of requests from which on the share of a part is known.
	minPartTraffic = 8
	// widespreadShare is the share of the requests above which a part is widespread.
	widespreadShare = 0.8
)

// PartTraffic counts the requests that have parts which a tally refuses. It is not safe for concurrent use.
type PartTraffic struct {
	tally     *Tally
	requests  int
	withPart  map[uint64]int
	countedAt time.Time
}

// NewPartTraffic returns a PartTraffic that has counted no request.
func NewPartTraffic(t *Tally) *PartTraffic {
	return &PartTraffic{tally: t, withPart: map[uint64]int{}}
}

// Clone returns a copy for the parts that another tally refuses.
func (p *PartTraffic) Clone(t *Tally) *PartTraffic {
	return &PartTraffic{tally: t, requests: p.requests, withPart: maps.Clone(p.withPart), countedAt: p.countedAt}
}

// Count counts a request and the refused ones among its fingerprints that are parts.
func (p *PartTraffic) Count(fingerprints []uint64, now time.Time) {
	p.halve(now)
	p.requests++
	for _, fingerprint := range fingerprints {
		if p.isRefusedPart(fingerprint) {
			p.withPart[fingerprint]++
		}
	}
}

// IsWidespread reports whether nearly all requests have a part.
func (p *PartTraffic) IsWidespread(part uint64) bool {
	return p.requests >= minPartTraffic && float64(p.withPart[part]) > widespreadShare*float64(p.requests)
}

// MixesSuspects reports whether a request with these fingerprints has widespread refused parts and others. It is no probe of the
// former, since a crash would most likely be due to the latter.
func (p *PartTraffic) MixesSuspects(fingerprints []uint64) bool {
	widespread := func(f uint64) bool { return p.isRefusedPart(f) && p.IsWidespread(f) }
	other := func(f uint64) bool { return p.isRefusedPart(f) && !p.IsWidespread(f) }
	return slices.ContainsFunc(fingerprints, widespread) && slices.ContainsFunc(fingerprints, other)
}

// isRefusedPart reports whether a fingerprint is that of a part which the tally refuses.
func (p *PartTraffic) isRefusedPart(fingerprint uint64) bool {
	return IsPart(fingerprint) && p.tally.IsRefused(fingerprint)
}

// halve halves the counts if they are old.
func (p *PartTraffic) halve(now time.Time) {
	if now.Sub(p.countedAt) < partTrafficPeriod {
		return
	}
	p.countedAt = now
	p.requests /= 2
	for part, n := range p.withPart {
		p.withPart[part] = n / 2
		if n < 2 {
			delete(p.withPart, part)
		}
	}
}
