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
	// longestTokenWait bounds the wait of a request for tokens.
	longestTokenWait = time.Second
	// tokenPoll is the shortest time between two tries of a request that waits for tokens.
	tokenPoll = 50 * time.Millisecond
	// debitTimeout bounds one debit. A late answer loses its tokens.
	debitTimeout = 300 * time.Millisecond
	// refundTimeout bounds one refund. A lost refund loses its tokens.
	refundTimeout = time.Second
)

// payment is what a request has paid and from where.
type payment struct {
	workspace string
	tokens    int64
	own       []limit.Part
	remote    []remotePart
}

// remotePart is what one peer has paid.
type remotePart struct {
	address string
	parts   []limit.Part
	tokens  int64
}

// turns lets one request of a workspace at a time collect tokens from peers. Several at once each hold a part of the
// last tokens, none has enough, and a request is refused although the workspace has tokens left.
type turns struct {
	byWorkspace map[string]chan struct{}
}

func (t *turns) of(workspace string) chan struct{} {
	turn, ok := t.byWorkspace[workspace]
	if !ok {
		turn = make(chan struct{}, 1)
		t.byWorkspace[workspace] = turn
	}
	return turn
}

// charge takes tokens from the own slots, then from peers, and waits a bounded time where the tokens will be
// there soon. Nothing is kept after a refusal.
func (r *Router) charge(ctx context.Context, workspace config.Workspace, tokens int64) (*payment, *refusal.Error) {
	turn := read(&r.turns, func(t *turns) chan struct{} { return t.of(workspace.Name) })
	// A request does not overtake one that already waits for tokens on this VM.
	if len(turn) == 0 {
		if paid := r.chargeOwn(workspace, tokens); paid != nil {
			return paid, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, longestTokenWait)
	defer cancel()
	select {
	case turn <- struct{}{}:
		defer func() { <-turn }()
	case <-ctx.Done():
		return nil, tokenRefusal(ctx, workspace, mintTime(workspace, tokens))
	}
	for {
		paid, wait, ref := r.tryCharge(ctx, workspace, tokens)
		if ref != nil || wait == 0 {
			return paid, ref
		}
		if deadline, ok := ctx.Deadline(); ok && time.Now().Add(wait).After(deadline) {
			return nil, errRateLimited(workspace, wait)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, tokenRefusal(ctx, workspace, wait)
		}
	}
}

// chargeOwn takes all tokens from the own slots, or none and returns nil.
func (r *Router) chargeOwn(workspace config.Workspace, tokens int64) *payment {
	var paid *payment
	r.limits.do(func(l *limit.Limiter) {
		grant, missing := l.Take(workspace.Name, tokens, time.Now)
		if missing == 0 && grant.Outcome == limit.Granted {
			paid = &payment{workspace: workspace.Name, tokens: tokens, own: grant.Parts}
			return
		}
		l.Return("", workspace.Name, grant.Parts, time.Now())
	})
	return paid
}

// tokenRefusal is the refusal of a request whose wait for tokens has ended.
func tokenRefusal(ctx context.Context, workspace config.Workspace, wait time.Duration) *refusal.Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return errRateLimited(workspace, wait)
	}
	return endCause(ctx)
}

func errRateLimited(workspace config.Workspace, wait time.Duration) *refusal.Error {
	ref := refusal.New(statusTooMany, refusal.CodeRateLimited, "workspace %s has used up its token rate", workspace.Name)
	return ref.After(min(wait, time.Minute))
}

// tryCharge returns a payment, or the time after which a new try may succeed.
func (r *Router) tryCharge(ctx context.Context, workspace config.Workspace, tokens int64) (*payment, time.Duration, *refusal.Error) {
	paid := &payment{workspace: workspace.Name, tokens: tokens}
	var donors []limit.Donor
	var missing int64
	var outcome limit.Outcome
	r.limits.do(func(l *limit.Limiter) {
		var grant limit.Grant
		grant, missing = l.Take(workspace.Name, tokens, time.Now)
		outcome = grant.Outcome
		paid.own = grant.Parts
		if missing > 0 && outcome == limit.Short {
			donors = l.Donors(workspace.Name, missing, time.Now())
		}
	})
	switch outcome {
	case limit.Granted:
		return paid, 0, nil
	case limit.AboveBurst:
		return nil, 0, refusal.New(statusTooMany, refusal.CodeAboveBurst,
			"the request needs %d tokens, the burst of workspace %s is %d", tokens, workspace.Name, workspace.BurstTokens)
	case limit.Short:
	default:
		return nil, 0, refusal.New(statusUnavailable, refusal.CodeNoConfig, "the limit of workspace %s is not known yet", workspace.Name).After(time.Second)
	}
	missing -= r.collect(ctx, paid, donors)
	if missing > 0 {
		missing -= r.sweep(ctx, paid, donors, missing)
	}
	if missing <= 0 {
		return paid, 0, nil
	}
	r.refund(paid, 0)
	return nil, max(mintTime(workspace, missing), tokenPoll), nil
}

// mintTime is the time in which the workspace is given the tokens over all VMs.
func mintTime(workspace config.Workspace, tokens int64) time.Duration {
	seconds := float64(tokens) / float64(max(workspace.TokensPerSecond, 1))
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// sweep asks the peers that the hints did not name, one after the other, and returns the tokens collected. Hints are
// up to a heartbeat old; near the end of a workspace's stock they understate what is there. Every VM asks in the
// same order, so that of two requests the first gets all it needs instead of both getting half.
func (r *Router) sweep(ctx context.Context, paid *payment, asked []limit.Donor, missing int64) int64 {
	collected := int64(0)
	now := time.Now()
	for _, m := range read(&r.members, func(t *member.Table) []member.Member { return t.Live(now) }) {
		if collected >= missing || ctx.Err() != nil {
			break
		}
		named := slices.ContainsFunc(asked, func(d limit.Donor) bool { return d.VM == m.Name })
		if named {
			continue
		}
		part := r.debit(ctx, paid.workspace, limit.Donor{VM: m.Name, Tokens: missing - collected})
		if part == nil {
			continue
		}
		paid.remote = append(paid.remote, *part)
		collected += part.tokens
	}
	return collected
}

// collect debits the donors at the same time and returns the tokens collected.
func (r *Router) collect(ctx context.Context, paid *payment, donors []limit.Donor) int64 {
	results := make(chan *remotePart, len(donors))
	for _, donor := range donors {
		go func() { results <- r.debit(ctx, paid.workspace, donor) }()
	}
	collected := int64(0)
	for range donors {
		part := <-results
		if part == nil {
			continue
		}
		paid.remote = append(paid.remote, *part)
		collected += part.tokens
	}
	return collected
}

func (r *Router) debit(ctx context.Context, workspace string, donor limit.Donor) *remotePart {
	address, ok := r.peerAddress(donor.VM)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.peers.Context(ctx), debitTimeout)
	defer cancel()
	count(metricDebits, 1)
	// The id is new for every call and never sent again, so an answer that is lost loses tokens and makes none.
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
	return &remotePart{address: address, parts: partsFromWire(resp.Parts), tokens: resp.Granted}
}

// refund returns what the request did not use: at most once, to the slots that paid.
func (r *Router) refund(paid *payment, used int64) {
	if paid == nil {
		return
	}
	unused := limit.Unused(paid.own, used)
	for _, part := range paid.own {
		used -= part.Tokens
	}
	r.limits.do(func(l *limit.Limiter) {
		count(metricRefunds, l.Return("", paid.workspace, unused, time.Now()))
	})
	for _, remote := range paid.remote {
		unused := limit.Unused(remote.parts, used)
		used -= remote.tokens
		if len(unused) > 0 {
			r.loop(func() { r.refundPeer(remote.address, paid.workspace, unused) })
		}
	}
	paid.own = nil
	paid.remote = nil
}

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

// stateChanged passes a new configuration on to the tables that depend on it.
func (r *Router) stateChanged(state *config.State) {
	r.cancelWithdrawn(state)
	now := time.Now()
	// A workspace counts as seen to be added only once this VM follows the log, see limit.Workspace.Added.
	following := r.logReadable()
	var workspaces []limit.Workspace
	rates := map[string]int64{}
	for _, w := range state.Workspaces() {
		workspaces = append(workspaces, limit.Workspace{
			Name:            w.Name,
			TokensPerSecond: w.TokensPerSecond,
			BurstTokens:     w.BurstTokens,
			Added:           following,
		})
		rates[w.Name] = w.TokensPerSecond
	}
	r.limits.do(func(l *limit.Limiter) { l.Configure(state.Defaults().LimitSlots, workspaces, now) })
	r.holdSlots()
	retention := time.Duration(state.Defaults().RetentionSeconds) * time.Second
	r.intents.do(func(t *intentTable) { t.table.Configure(retention, 0) })
	r.queues.do(func(t *admissionTable) { t.setWeights(rates) })
	r.syncEngines(state)
}

func (r *Router) firstAttempt() {
	r.retries.do(func(b *admit.RetryBudget) { b.CountFirst(time.Now()) })
}

func (r *Router) takeRetry() bool {
	return read(&r.retries, func(b *admit.RetryBudget) bool { return b.Take(time.Now()) })
}
