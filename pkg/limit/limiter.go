package limit

import (
	"slices"
	"strings"
	"time"
)

const (
	// idRetention is the time for which the ids of debits and refunds are kept. A peer call times out well before, and
	// a peer never sends an id again.
	idRetention = 30 * time.Second
	// maxIDs is the largest number of ids in one generation. Above it, new debits are refused.
	maxIDs = 1 << 16
	// maxHintAge is the age at which a hint of spare tokens is no longer used: four heartbeats.
	maxHintAge = 2 * time.Second
	// maxDonors is the largest number of peers that one request collects from: a group of slots is spread over at most
	// 16 VMs.
	maxDonors = 15
	// resizeDelay is the time without refills after the number of slots changed. By its end, VMs that still divided by
	// the old number have applied the new configuration or refuse requests.
	resizeDelay = 10 * time.Second
	// minHeldTime is the time for which this VM must have held a slot when a workspace is added, for the bucket of the
	// workspace to start full. A VM in contact with the log is at most 3 s behind, so no other VM can have held the
	// slot and filled its bucket under the same release note.
	minHeldTime = 10 * time.Second
)

// Workspace holds the limits of one workspace.
type Workspace struct {
	Name string
	// TokensPerSecond is the sustained rate over all VMs.
	TokensPerSecond int64
	// BurstTokens is the largest number of unused tokens over all VMs.
	BurstTokens int64
	// Added reports whether this VM applied the release note that added the workspace when the note was published. It
	// is false if the VM read the workspace from a snapshot, from a peer or while catching up.
	Added bool
}

// Slot is a slot whose tokens this VM may spend.
type Slot struct {
	Index int
	Epoch int64
	// Until is the time at which the lease expires unless it is extended.
	Until time.Time
}

// Part is the number of tokens deducted from one slot under one epoch.
type Part struct {
	Slot   int
	Epoch  int64
	Tokens int64
}

// Outcome is the result of a deduction.
type Outcome int

const (
	// Granted means that all tokens were deducted.
	Granted Outcome = iota
	// Insufficient means that fewer tokens were deducted than requested.
	Insufficient
	// AboveBurst means that the charge is larger than the burst, so it can never succeed.
	AboveBurst
	// UnknownWorkspace means that the configuration has no such workspace.
	UnknownWorkspace
	// Duplicate means that the id was seen before. Nothing was deducted.
	Duplicate
	// NegativeCharge means that the charge is negative.
	NegativeCharge
	// TooManyIDs means that the set of recent ids is full. Nothing was deducted.
	TooManyIDs
)

// Grant holds the tokens that a call deducted, by slot.
type Grant struct {
	Outcome Outcome
	Tokens  int64
	Parts   []Part
}

// Unused returns the parts to refund if only spent of the granted tokens were used.
func Unused(parts []Part, spent int64) []Part {
	var out []Part
	left := max(0, spent)
	for _, part := range parts {
		used := min(left, part.Tokens)
		left -= used
		if part.Tokens > used {
			part.Tokens -= used
			out = append(out, part)
		}
	}
	return out
}

// Clock returns the current time by the monotonic clock that the leases use. Take and Debit read it right before they
// deduct, so that a process that was paused after admission does not spend under an expired lease.
type Clock func() time.Time

// Limiter holds the token buckets of one VM. It is not safe for concurrent use.
type Limiter struct {
	slots int
	// configured reports whether Configure was called.
	configured bool
	refillFrom time.Time
	workspaces map[string]*workspace
	held       []*heldSlot
	ids        idSet
	hints      map[string]*peerHint
}

type workspace struct {
	rate  int64
	burst int64
	// withdrawn reports whether the workspace is no longer configured. It stays in the map until an empty bucket would
	// be full, so that withdrawing a workspace and adding it again yields no second burst.
	withdrawn   bool
	withdrawnAt time.Time
}

// heldSlot is a slot that this VM holds under one epoch, with its buckets.
type heldSlot struct {
	Slot
	// heldSince is the start of the uninterrupted time for which the VM has held the slot.
	heldSince time.Time
	buckets   map[string]*bucket
}

// New returns a limiter without configuration and slots, which refuses every charge.
func New() *Limiter {
	return &Limiter{
		workspaces: map[string]*workspace{},
		ids:        newIDSet(),
		hints:      map[string]*peerHint{},
	}
}

// Configure sets the number of slots and the limits of all workspaces. Workspaces that are not listed are withdrawn. A
// lower limit applies at once. A change of the number of slots empties all buckets.
func (l *Limiter) Configure(slots int, list []Workspace, now time.Time) {
	if l.configured && slots != l.slots {
		l.held = nil
		l.refillFrom = now.Add(resizeDelay)
	}
	l.slots = slots
	first := !l.configured
	l.configured = true
	listed := make(map[string]bool, len(list))
	for _, w := range list {
		listed[w.Name] = true
		l.configureWorkspace(w, first, now)
	}
	for name, w := range l.workspaces {
		switch {
		case listed[name]:
		case !w.withdrawn:
			l.refillBuckets(name, now)
			w.withdrawn = true
			w.withdrawnAt = now
		case now.Sub(w.withdrawnAt) >= refillTime(w.burst, w.rate):
			l.removeWorkspace(name)
		}
	}
}

// removeWorkspace removes a workspace and its buckets.
func (l *Limiter) removeWorkspace(name string) {
	delete(l.workspaces, name)
	for _, h := range l.held {
		delete(h.buckets, name)
	}
}

// configureWorkspace applies the limits of one workspace. first is true during the first Configure, which adds no full
// buckets.
func (l *Limiter) configureWorkspace(c Workspace, first bool, now time.Time) {
	rate := clampTokens(c.TokensPerSecond)
	burst := clampTokens(c.BurstTokens)
	w, known := l.workspaces[c.Name]
	if !known {
		l.workspaces[c.Name] = &workspace{rate: rate, burst: burst}
		l.addBuckets(c.Name, c.Added && !first, now)
		return
	}
	if w.withdrawn {
		l.refillBuckets(c.Name, now)
		w.withdrawn = false
	}
	if w.rate == rate && w.burst == burst {
		return
	}
	l.refillBuckets(c.Name, now)
	w.rate = rate
	w.burst = burst
	for _, h := range l.held {
		b := h.buckets[c.Name]
		b.tokens = min(b.tokens, l.share(w, h.Index).cap)
		// The unit of the remainder depends on the burst.
		b.remainder = 0
	}
}

// clampTokens limits a setting to the range from 0 to MaxTokens.
func clampTokens(tokens int64) int64 {
	return min(max(tokens, 0), MaxTokens)
}

// addBuckets creates the buckets of a new workspace. A bucket starts full if this VM saw the workspace being added and
// had held the slot for long enough.
func (l *Limiter) addBuckets(name string, seen bool, now time.Time) {
	w := l.workspaces[name]
	for _, h := range l.held {
		b := &bucket{refilledAt: now}
		h.buckets[name] = b
		owned := now.Before(h.Until) && now.Sub(h.heldSince) >= minHeldTime
		if seen && owned && !now.Before(l.refillFrom) {
			b.fill(l.share(w, h.Index))
		}
	}
}

// refillBuckets refills the buckets of a workspace up to now under its present limits.
func (l *Limiter) refillBuckets(name string, now time.Time) {
	for _, h := range l.held {
		if now.Before(h.Until) {
			l.bucket(h, name, now)
		}
	}
}

// share returns the share of a workspace that one slot receives.
func (l *Limiter) share(w *workspace, slot int) share {
	return newShare(w.rate, w.burst, slot, l.slots)
}

// bucket returns the bucket of a workspace in a held slot, refilled up to now.
func (l *Limiter) bucket(h *heldSlot, name string, now time.Time) *bucket {
	w := l.workspaces[name]
	b := h.buckets[name]
	if b.refilledAt.Before(l.refillFrom) {
		b.refilledAt = l.refillFrom
	}
	if w.withdrawn {
		b.refilledAt = later(b.refilledAt, now)
		return b
	}
	b.refill(l.share(w, h.Index), now)
	return b
}

// SetHeldSlots sets the slots that this VM holds. A slot starts empty if it is new, has another epoch or had expired.
func (l *Limiter) SetHeldSlots(slots []Slot, now time.Time) {
	kept := make([]*heldSlot, 0, len(slots))
	for _, s := range slots {
		if s.Index < 0 || s.Index >= l.slots {
			continue
		}
		i := slices.IndexFunc(l.held, func(h *heldSlot) bool { return h.Index == s.Index && h.Epoch == s.Epoch })
		if i >= 0 && now.Before(l.held[i].Until) {
			l.held[i].Until = later(l.held[i].Until, s.Until)
			kept = append(kept, l.held[i])
			continue
		}
		h := &heldSlot{Slot: s, heldSince: now, buckets: make(map[string]*bucket, len(l.workspaces))}
		for name := range l.workspaces {
			h.buckets[name] = &bucket{refilledAt: now}
		}
		kept = append(kept, h)
	}
	l.held = kept
}

// Take deducts tokens for a request of this VM. It returns what it deducted and the number of missing tokens; the
// caller collects those from peers or refunds the grant. A charge above the burst deducts nothing.
func (l *Limiter) Take(name string, tokens int64, clock Clock) (grant Grant, missing int64) {
	outcome := l.validate(name, tokens)
	if outcome != Granted {
		return Grant{Outcome: outcome}, tokens
	}
	grant = l.deduct(name, tokens, clock())
	return grant, tokens - grant.Tokens
}

// Debit deducts tokens for a request of a peer. A second call with the same id deducts nothing.
func (l *Limiter) Debit(id, name string, tokens int64, clock Clock) Grant {
	if outcome := l.validate(name, tokens); outcome != Granted {
		return Grant{Outcome: outcome}
	}
	now := clock()
	if outcome := l.ids.add("debit/"+id, now); outcome != Granted {
		return Grant{Outcome: outcome}
	}
	return l.deduct(name, tokens, now)
}

// validate returns the outcome for a charge that can never be deducted, or Granted.
func (l *Limiter) validate(name string, tokens int64) Outcome {
	w, ok := l.workspaces[name]
	switch {
	case !ok || w.withdrawn:
		return UnknownWorkspace
	case tokens < 0:
		return NegativeCharge
	case tokens > w.burst:
		return AboveBurst
	}
	return Granted
}

// deduct takes tokens from the slots whose lease is valid at now.
func (l *Limiter) deduct(name string, tokens int64, now time.Time) Grant {
	grant := Grant{Outcome: Granted}
	for _, h := range l.held {
		if grant.Tokens == tokens {
			break
		}
		if !now.Before(h.Until) {
			continue
		}
		b := l.bucket(h, name, now)
		n := min(tokens-grant.Tokens, b.tokens)
		if n <= 0 {
			continue
		}
		b.tokens -= n
		grant.Tokens += n
		grant.Parts = append(grant.Parts, Part{Slot: h.Index, Epoch: h.Epoch, Tokens: n})
	}
	if grant.Tokens < tokens {
		grant.Outcome = Insufficient
	}
	return grant
}

// Refund puts unused tokens back into the slots that they were deducted from and returns the number of tokens put back.
// It drops parts of slots that have moved, and fills no slot above its capacity. A second call with the same id has no
// effect; the empty id is for tokens that this VM took itself.
func (l *Limiter) Refund(id, name string, parts []Part, now time.Time) int64 {
	if _, ok := l.workspaces[name]; !ok {
		return 0
	}
	if id != "" && l.ids.add("refund/"+id, now) != Granted {
		return 0
	}
	returned := int64(0)
	for _, part := range parts {
		returned += l.refundPart(name, part, now)
	}
	return returned
}

// refundPart puts one part back into its slot and returns the number of tokens put back.
func (l *Limiter) refundPart(name string, part Part, now time.Time) int64 {
	i := slices.IndexFunc(l.held, func(h *heldSlot) bool { return h.Index == part.Slot && h.Epoch == part.Epoch })
	if i < 0 || part.Tokens <= 0 || !now.Before(l.held[i].Until) {
		return 0
	}
	b := l.bucket(l.held[i], name, now)
	room := l.share(l.workspaces[name], part.Slot).cap - b.tokens
	n := min(part.Tokens, max(0, room))
	b.tokens += n
	return n
}

// SpareTokens is the number of unused tokens that a VM holds for a workspace.
type SpareTokens struct {
	Workspace string
	Tokens    int64
}

// SpareTokens returns the unused tokens of this VM per workspace, sorted by name, without workspaces that have none.
func (l *Limiter) SpareTokens(now time.Time) []SpareTokens {
	var out []SpareTokens
	for name, w := range l.workspaces {
		if w.withdrawn {
			continue
		}
		if tokens := l.balance(name, now); tokens > 0 {
			out = append(out, SpareTokens{Workspace: name, Tokens: tokens})
		}
	}
	slices.SortFunc(out, func(a, b SpareTokens) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

// balance returns the unused tokens of a workspace on this VM.
func (l *Limiter) balance(name string, now time.Time) int64 {
	tokens := int64(0)
	for _, h := range l.held {
		if now.Before(h.Until) {
			tokens += l.bucket(h, name, now).tokens
		}
	}
	return tokens
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
