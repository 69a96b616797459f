package router

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/limit"
	"github.com/corneldeal/corneldeal/pkg/member"
	"github.com/corneldeal/corneldeal/pkg/peer"
	"github.com/corneldeal/corneldeal/pkg/refusal"
)

const (
	// maxTokenWait is the longest time for which a request waits for tokens.
	maxTokenWait = time.Second
	// minTokenRetryPause is the shortest pause between two tries of a request that waits for tokens.
	minTokenRetryPause = 50 * time.Millisecond
	// debitTimeout limits one debit. The tokens of a late answer are lost.
	debitTimeout = 300 * time.Millisecond
	// refundTimeout limits one refund. If it is lost, so are its tokens.
	refundTimeout = time.Second
)

// tokenCharge is the number of tokens charged for a request and the slots that paid them.
type tokenCharge struct {
	workspace string
	tokens    int64
	// local holds what the slots of this VM paid.
	local []limit.Part
	// remote holds what peers paid.
	remote []peerCharge
}

// peerCharge holds the tokens paid by one peer.
type peerCharge struct {
	address string
	parts   []limit.Part
	tokens  int64
}

// tokenTurns lets one request of a workspace at a time collect tokens from peers. With several at once, each would hold
// a part of the last tokens and none would have enough, so that a request is refused although the workspace has tokens
// left.
type tokenTurns struct {
	byWorkspace map[string]chan struct{}
}

// forWorkspace returns the semaphore of a workspace. A send acquires it, a receive releases it.
func (t *tokenTurns) forWorkspace(workspace string) chan struct{} {
	turn, ok := t.byWorkspace[workspace]
	if !ok {
		turn = make(chan struct{}, 1)
		t.byWorkspace[workspace] = turn
	}
	return turn
}

// chargeTokens takes tokens from the slots of this VM, then from peers, and waits a bounded time if the tokens will be
// available soon. After a refusal it keeps no tokens.
func (r *Router) chargeTokens(ctx context.Context, workspace config.Workspace, tokens int64) (*tokenCharge, *refusal.Error) {
	turn := locked(&r.tokenTurns, func(t *tokenTurns) chan struct{} { return t.forWorkspace(workspace.Name) })
	// A request does not overtake one that already waits for tokens on this VM.
	if len(turn) == 0 {
		if charged := r.chargeLocalSlots(workspace, tokens); charged != nil {
			return charged, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, maxTokenWait)
	defer cancel()
	select {
	case turn <- struct{}{}:
		defer func() { <-turn }()
	case <-ctx.Done():
		return nil, tokenWaitRefusal(ctx, workspace, refillTime(workspace, tokens))
	}
	for {
		charged, wait, ref := r.tryCharge(ctx, workspace, tokens)
		if ref != nil || wait == 0 {
			return charged, ref
		}
		if deadline, ok := ctx.Deadline(); ok && time.Now().Add(wait).After(deadline) {
			return nil, errRateLimited(workspace, wait)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, tokenWaitRefusal(ctx, workspace, wait)
		}
	}
}

// chargeLocalSlots takes all tokens from the slots of this VM, or takes none and returns nil.
func (r *Router) chargeLocalSlots(workspace config.Workspace, tokens int64) *tokenCharge {
	var charged *tokenCharge
	r.limits.do(func(l *limit.Limiter) {
		grant, missing := l.Take(workspace.Name, tokens, time.Now)
		if missing == 0 && grant.Outcome == limit.Granted {
			charged = &tokenCharge{workspace: workspace.Name, tokens: tokens, local: grant.Parts}
			return
		}
		l.Refund("", workspace.Name, grant.Parts, time.Now())
	})
	return charged
}

// tokenWaitRefusal returns the refusal of a request whose wait for tokens was ended by ctx.
func tokenWaitRefusal(ctx context.Context, workspace config.Workspace, wait time.Duration) *refusal.Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return errRateLimited(workspace, wait)
	}
	return cancelRefusal(ctx)
}

// errRateLimited returns the refusal of a request that exceeds the token rate of its workspace.
func errRateLimited(workspace config.Workspace, wait time.Duration) *refusal.Error {
	ref := refusal.New(statusTooManyRequests, refusal.CodeRateLimited, "workspace %s has used up its token rate", workspace.Name)
	return ref.WithRetryAfter(min(wait, time.Minute))
}

// tryCharge tries once to charge the tokens. It returns the charge, or the time after which another try may succeed, or
// a refusal.
func (r *Router) tryCharge(ctx context.Context, workspace config.Workspace, tokens int64) (*tokenCharge, time.Duration, *refusal.Error) {
	charged := &tokenCharge{workspace: workspace.Name, tokens: tokens}
	var donors []limit.Donor
	var missing int64
	var outcome limit.Outcome
	r.limits.do(func(l *limit.Limiter) {
		var grant limit.Grant
		grant, missing = l.Take(workspace.Name, tokens, time.Now)
		outcome = grant.Outcome
		charged.local = grant.Parts
		if missing > 0 && outcome == limit.Insufficient {
			donors = l.Donors(workspace.Name, missing, time.Now())
		}
	})
	switch outcome {
	case limit.Granted:
		return charged, 0, nil
	case limit.AboveBurst:
		return nil, 0, refusal.New(statusTooManyRequests, refusal.CodeAboveBurst,
			"the request needs %d tokens, the burst of workspace %s is %d", tokens, workspace.Name, workspace.BurstTokens)
	case limit.Insufficient:
	default:
		return nil, 0, refusal.New(statusUnavailable, refusal.CodeNoConfig, "the limit of workspace %s is not known yet", workspace.Name).WithRetryAfter(time.Second)
	}
	missing -= r.collectFromDonors(ctx, charged, donors)
	if missing > 0 {
		missing -= r.collectSequentially(ctx, charged, donors, missing)
	}
	if missing <= 0 {
		return charged, 0, nil
	}
	r.refund(charged, 0)
	return nil, max(refillTime(workspace, missing), minTokenRetryPause), nil
}

// refillTime returns the time in which the workspace receives the tokens over all VMs, at most one hour.
func refillTime(workspace config.Workspace, tokens int64) time.Duration {
	seconds := float64(tokens) / float64(max(workspace.TokensPerSecond, 1))
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// collectSequentially debits, one after the other, the peers that the hints did not name, and returns the number of
// tokens collected. Hints are up to one heartbeat interval old and understate the tokens left when a workspace is
// nearly out of them. Every VM asks in the same order, so that of two requests the first gets all it needs instead of
// both getting half.
func (r *Router) collectSequentially(ctx context.Context, charged *tokenCharge, asked []limit.Donor, missing int64) int64 {
	collected := int64(0)
	now := time.Now()
	for _, m := range locked(&r.members, func(t *member.Table) []member.Member { return t.Live(now) }) {
		if collected >= missing || ctx.Err() != nil {
			break
		}
		alreadyAsked := slices.ContainsFunc(asked, func(d limit.Donor) bool { return d.VM == m.Name })
		if alreadyAsked {
			continue
		}
		part := r.debitPeer(ctx, charged.workspace, limit.Donor{VM: m.Name, Tokens: missing - collected})
		if part == nil {
			continue
		}
		charged.remote = append(charged.remote, *part)
		collected += part.tokens
	}
	return collected
}

// collectFromDonors debits the donors concurrently and returns the number of tokens collected.
func (r *Router) collectFromDonors(ctx context.Context, charged *tokenCharge, donors []limit.Donor) int64 {
	results := make(chan *peerCharge, len(donors))
	for _, donor := range donors {
		go func() { results <- r.debitPeer(ctx, charged.workspace, donor) }()
	}
	collected := int64(0)
	for range donors {
		part := <-results
		if part == nil {
			continue
		}
		charged.remote = append(charged.remote, *part)
		collected += part.tokens
	}
	return collected
}

// debitPeer takes tokens from one peer. It returns nil if the peer's address is unknown or the call fails.
func (r *Router) debitPeer(ctx context.Context, workspace string, donor limit.Donor) *peerCharge {
	address, ok := r.peerAddress(donor.VM)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.peers.Context(ctx), debitTimeout)
	defer cancel()
	count(metricDebits, 1)
	// Every call has a new ID and is never repeated, so a lost answer loses tokens but creates none.
	resp, err := r.peers.At(address).Debit(ctx, &peer.DebitRequest{
		Envelope:  r.envelope(),
		Id:        uuid.NewString(),
		Workspace: workspace,
		Tokens:    donor.Tokens,
	})
	if err != nil {
		r.limits.do(func(l *limit.Limiter) { l.DropHints(donor.VM) })
		return nil
	}
	r.observeEnvelope(resp.Envelope)
	count(metricDebitsGranted, resp.Granted)
	return &peerCharge{address: address, parts: partsFromWire(resp.Parts), tokens: resp.Granted}
}

// refund returns the tokens that the request did not use to the slots that paid them. Only the first call for a charge
// has an effect.
func (r *Router) refund(charged *tokenCharge, used int64) {
	if charged == nil {
		return
	}
	unused := limit.Unused(charged.local, used)
	for _, part := range charged.local {
		used -= part.Tokens
	}
	r.limits.do(func(l *limit.Limiter) {
		count(metricRefunds, l.Refund("", charged.workspace, unused, time.Now()))
	})
	for _, remote := range charged.remote {
		unused := limit.Unused(remote.parts, used)
		used -= remote.tokens
		if len(unused) > 0 {
			r.spawn(func() { r.refundPeer(remote.address, charged.workspace, unused) })
		}
	}
	charged.local = nil
	charged.remote = nil
}

// refundPeer returns tokens to the slots of a peer.
func (r *Router) refundPeer(address, workspace string, parts []limit.Part) {
	ctx, cancel := context.WithTimeout(r.peers.Context(r.ctx), refundTimeout)
	defer cancel()
	_, err := r.peers.At(address).Refund(ctx, &peer.RefundRequest{
		Envelope:  r.envelope(),
		Id:        uuid.NewString(),
		Workspace: workspace,
		Parts:     partsToWire(parts),
	})
	if err != nil {
		r.debug(partLimit).Err(err).Msg("limit: refund was lost")
	}
}

func partsFromWire(parts []*peer.Part) []limit.Part {
	out := make([]limit.Part, 0, len(parts))
	for _, p := range parts {
		out = append(out, limit.Part{Slot: int(p.Slot), Epoch: p.Epoch, Tokens: p.Tokens})
	}
	return out
}

func partsToWire(parts []limit.Part) []*peer.Part {
	out := make([]*peer.Part, 0, len(parts))
	for _, p := range parts {
		out = append(out, &peer.Part{Slot: int32(p.Slot), Epoch: p.Epoch, Tokens: p.Tokens})
	}
	return out
}

// applyState updates the tables that depend on the configuration.
func (r *Router) applyState(state *config.State) {
	r.cancelWithdrawn(state)
	now := time.Now()
	// A workspace counts as newly added only once this VM follows the log, see limit.Workspace.Added.
	following := r.logReadable()
	var workspaces []limit.Workspace
	tokenRates := map[string]int64{}
	for _, w := range state.Workspaces() {
		workspaces = append(workspaces, limit.Workspace{
			Name:            w.Name,
			TokensPerSecond: w.TokensPerSecond,
			BurstTokens:     w.BurstTokens,
			Added:           following,
		})
		tokenRates[w.Name] = w.TokensPerSecond
	}
	r.limits.do(func(l *limit.Limiter) { l.Configure(state.Defaults().LimitSlots, workspaces, now) })
	r.updateHeldSlots()
	retention := time.Duration(state.Defaults().RetentionSeconds) * time.Second
	r.intents.do(func(t *intentTable) { t.table.Configure(retention, 0) })
	r.queues.do(func(t *admissionTable) { t.setWeights(tokenRates) })
	r.syncEngines(state)
}

// recordFirstAttempt adds the first attempt of a request to the retry budget.
func (r *Router) recordFirstAttempt() {
	r.retries.do(func(b *admit.RetryBudget) { b.CountFirst(time.Now()) })
}

// takeRetry takes one retry from the retry budget and reports whether it could.
func (r *Router) takeRetry() bool {
	return locked(&r.retries, func(b *admit.RetryBudget) bool { return b.Take(time.Now()) })
}
