package limit

import (
	"slices"
	"strings"
	"time"
)

const (
	// remember is how long the ids of debits and refunds are kept. A peer call times out well before, and a peer
	// never sends an id again.
	remember = 30 * time.Second
	// rememberMost bounds the number of ids kept. Above it new debits are refused.
	rememberMost = 1 << 16
	// hintAge is the age at which a hint of spare tokens is no longer used: four heartbeats.
	hintAge = 2 * time.Second
	// mostDonors bounds the number of peers asked for one request: a group of slots lies on at most 16 VMs.
	mostDonors = 15
	// settleTime is the time without minting after the number of slots changed. VMs that still divide by the old
	// number have taken the new configuration or refuse requests by then.
	settleTime = 10 * time.Second
	// ownedBefore is how long a slot must have been held before a workspace is seen to be added, for its bucket
	// to start full. A VM in contact with the log is at most 3 s behind, so no other VM can have held the slot
	// and filled its bucket under the same release note.
	ownedBefore = 10 * time.Second
)

// Workspace is the limit of one workspace.
type Workspace struct {
	Name string
	// TokensPerSecond is the sustained rate over all VMs.
	TokensPerSecond int64
	// BurstTokens is the largest stock over all VMs.
	BurstTokens int64
	// Added tells that this VM applied the release note that added the workspace when it was published, rather
	// than read it from a snapshot, from a peer or while catching up.
	Added bool
}

// Slot is a slot on which this VM may act.
type Slot struct {
	Index int
	Epoch int64
	// Until is when the evidence for the lease lapses.
	Until time.Time
}

// Part is an amount taken from one slot at one epoch.
type Part struct {
	Slot   int
	Epoch  int64
	Tokens int64
}

// Outcome tells why a grant is smaller than asked for.
type Outcome int

const (
	// Granted means that all tokens were deducted.
	Granted Outcome = iota
	// Short means that fewer tokens were deducted than asked for.
	Short
	// AboveBurst means that the charge is larger than the burst. No waiting helps.
	AboveBurst
	// UnknownWorkspace means that the configuration has no such workspace.
	UnknownWorkspace
	// Counted means that the id was counted before. Nothing was deducted.
	Counted
	// Invalid means that the charge is negative.
	Invalid
	// Busy means that too many ids are remembered. Nothing was deducted.
	Busy
)

// Grant is the result of deducting tokens.
type Grant struct {
	Outcome Outcome
	Tokens  int64
	Parts   []Part
}

// Unused returns the parts to return when only spent of the granted tokens were used.
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

// Clock reads the monotonic clock of the lease. Take and Debit read it right before they deduct, so that a process
// that was paused after admission does not spend under a lease that has lapsed.
type Clock func() time.Time

// Limiter holds the buckets of one VM. It is safe for one goroutine.
type Limiter struct {
	slots int
	// configured is true once Configure was called.
	configured bool
	mintFrom   time.Time
	workspaces map[string]*workspace
	held       []*holding
	ids        idSet
	hints      map[string]*hint
}

type workspace struct {
	rate  int64
	burst int64
	// withdrawn workspaces stay known until an empty bucket would be full, so that withdrawing and adding one
	// again yields no second burst.
	withdrawn   bool
	withdrawnAt time.Time
}

// holding is one slot held under one epoch.
type holding struct {
	Slot
	// since is when the slot was first held without interruption.
	since   time.Time
	buckets map[string]*bucket
}

// New returns a limiter without configuration and slots. It refuses everything.
func New() *Limiter {
	return &Limiter{
		workspaces: map[string]*workspace{},
		ids:        newIDSet(),
		hints:      map[string]*hint{},
	}
}

// Configure sets the number of slots and the limits of all workspaces. Workspaces that are not listed are
// withdrawn. A lower limit applies at once. A changed number of slots empties all buckets.
func (l *Limiter) Configure(slots int, list []Workspace, now time.Time) {
	if l.configured && slots != l.slots {
		l.held = nil
		l.mintFrom = now.Add(settleTime)
	}
	l.slots = slots
	first := !l.configured
	l.configured = true
	listed := make(map[string]bool, len(list))
	for _, w := range list {
		listed[w.Name] = true
		l.configureOne(w, first, now)
	}
	for name, w := range l.workspaces {
		switch {
		case listed[name]:
		case !w.withdrawn:
			l.settle(name, now)
			w.withdrawn = true
			w.withdrawnAt = now
		case now.Sub(w.withdrawnAt) >= mintTime(w.burst, w.rate):
			l.forget(name)
		}
	}
}

func (l *Limiter) forget(name string) {
	delete(l.workspaces, name)
	for _, h := range l.held {
		delete(h.buckets, name)
	}
}

func (l *Limiter) configureOne(c Workspace, first bool, now time.Time) {
	rate := withinMax(c.TokensPerSecond)
	burst := withinMax(c.BurstTokens)
	w, known := l.workspaces[c.Name]
	if !known {
		l.workspaces[c.Name] = &workspace{rate: rate, burst: burst}
		l.addBuckets(c.Name, c.Added && !first, now)
		return
	}
	if w.withdrawn {
		l.settle(c.Name, now)
		w.withdrawn = false
	}
	if w.rate == rate && w.burst == burst {
		return
	}
	l.settle(c.Name, now)
	w.rate = rate
	w.burst = burst
	for _, h := range l.held {
		b := h.buckets[c.Name]
		b.tokens = min(b.tokens, l.share(w, h.Index).cap)
		// The rest counts in units of the burst.
		b.rest = 0
	}
}

func withinMax(tokens int64) int64 {
	return min(max(tokens, 0), MaxTokens)
}

// addBuckets creates the buckets of a new workspace. They start full where the workspace was seen to be added and
// this VM held the slot before.
func (l *Limiter) addBuckets(name string, seen bool, now time.Time) {
	w := l.workspaces[name]
	for _, h := range l.held {
		b := &bucket{mintedTo: now}
		h.buckets[name] = b
		owned := now.Before(h.Until) && now.Sub(h.since) >= ownedBefore
		if seen && owned && !now.Before(l.mintFrom) {
			b.fill(l.share(w, h.Index))
		}
	}
}

// settle mints under the limits so far.
func (l *Limiter) settle(name string, now time.Time) {
	for _, h := range l.held {
		if now.Before(h.Until) {
			l.bucket(h, name, now)
		}
	}
}

func (l *Limiter) share(w *workspace, slot int) share {
	return newShare(w.rate, w.burst, slot, l.slots)
}

// bucket returns the bucket of a workspace in a held slot, minted up to now.
func (l *Limiter) bucket(h *holding, name string, now time.Time) *bucket {
	w := l.workspaces[name]
	b := h.buckets[name]
	if b.mintedTo.Before(l.mintFrom) {
		b.mintedTo = l.mintFrom
	}
	if w.withdrawn {
		b.mintedTo = later(b.mintedTo, now)
		return b
	}
	b.mint(l.share(w, h.Index), now)
	return b
}

// SetHeld sets the slots on which this VM may act. A slot that is new, has another epoch or had lapsed starts
// empty.
func (l *Limiter) SetHeld(slots []Slot, now time.Time) {
	kept := make([]*holding, 0, len(slots))
	for _, s := range slots {
		if s.Index < 0 || s.Index >= l.slots {
			continue
		}
		i := slices.IndexFunc(l.held, func(h *holding) bool { return h.Index == s.Index && h.Epoch == s.Epoch })
		if i >= 0 && now.Before(l.held[i].Until) {
			l.held[i].Until = later(l.held[i].Until, s.Until)
			kept = append(kept, l.held[i])
			continue
		}
		h := &holding{Slot: s, since: now, buckets: make(map[string]*bucket, len(l.workspaces))}
		for name := range l.workspaces {
			h.buckets[name] = &bucket{mintedTo: now}
		}
		kept = append(kept, h)
	}
	l.held = kept
}

// Take deducts tokens for a request of this VM. missing is the number of tokens that the VM does not have; the
// caller collects them from peers or returns the grant. A charge above the burst deducts nothing.
func (l *Limiter) Take(name string, tokens int64, clock Clock) (grant Grant, missing int64) {
	outcome := l.check(name, tokens)
	if outcome != Granted {
		return Grant{Outcome: outcome}, tokens
	}
	grant = l.deduct(name, tokens, clock())
	return grant, tokens - grant.Tokens
}

// Debit deducts tokens for a request of a peer. An id counts once: a second call with it deducts nothing.
func (l *Limiter) Debit(id, name string, tokens int64, clock Clock) Grant {
	if outcome := l.check(name, tokens); outcome != Granted {
		return Grant{Outcome: outcome}
	}
	now := clock()
	if outcome := l.ids.add("debit/"+id, now); outcome != Granted {
		return Grant{Outcome: outcome}
	}
	return l.deduct(name, tokens, now)
}

func (l *Limiter) check(name string, tokens int64) Outcome {
	w, ok := l.workspaces[name]
	switch {
	case !ok || w.withdrawn:
		return UnknownWorkspace
	case tokens < 0:
		return Invalid
	case tokens > w.burst:
		return AboveBurst
	}
	return Granted
}

// deduct takes tokens from the slots whose lease holds at now.
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
		grant.Outcome = Short
	}
	return grant
}

// Return gives back unused tokens to the slots that paid. Parts of slots that have moved are dropped, and no slot
// exceeds its cap. An id counts once; the empty id is for tokens that this VM took itself. It returns the number
// of tokens given back.
func (l *Limiter) Return(id, name string, parts []Part, now time.Time) int64 {
	if _, ok := l.workspaces[name]; !ok {
		return 0
	}
	if id != "" && l.ids.add("refund/"+id, now) != Granted {
		return 0
	}
	returned := int64(0)
	for _, part := range parts {
		returned += l.returnPart(name, part, now)
	}
	return returned
}

func (l *Limiter) returnPart(name string, part Part, now time.Time) int64 {
	i := slices.IndexFunc(l.held, func(h *holding) bool { return h.Index == part.Slot && h.Epoch == part.Epoch })
	if i < 0 || part.Tokens <= 0 || !now.Before(l.held[i].Until) {
		return 0
	}
	b := l.bucket(l.held[i], name, now)
	room := l.share(l.workspaces[name], part.Slot).cap - b.tokens
	n := min(part.Tokens, max(0, room))
	b.tokens += n
	return n
}

// Spare is a hint of tokens that a VM has.
type Spare struct {
	Workspace string
	Tokens    int64
}

// Spare returns the stock of this VM per workspace, sorted by name, without those that have none.
func (l *Limiter) Spare(now time.Time) []Spare {
	var out []Spare
	for name, w := range l.workspaces {
		if w.withdrawn {
			continue
		}
		if tokens := l.stock(name, now); tokens > 0 {
			out = append(out, Spare{Workspace: name, Tokens: tokens})
		}
	}
	slices.SortFunc(out, func(a, b Spare) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

// stock returns the tokens of a workspace on this VM.
func (l *Limiter) stock(name string, now time.Time) int64 {
	tokens := int64(0)
	for _, h := range l.held {
		if now.Before(h.Until) {
			tokens += l.bucket(h, name, now).tokens
		}
	}
	return tokens
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
