package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/crashguard"
	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/precedence"
)

// A request that tells suspects apart is sent in a turn, see crashguard.ProbeTurns. The VM that precedes the others gives the
// turns out; if it does not answer, those after it do.

const (
	// maxTurnWait is the time for which a request waits for its turn, or until the run of another one clears its parts.
	maxTurnWait = time.Second
	// maxTurnGivers is the number of VMs that are asked for one turn.
	maxTurnGivers = 3
	// turnTimeout limits one such call, and minAskInterval is the least time between two for the same part.
	turnTimeout    = 250 * time.Millisecond
	minAskInterval = 50 * time.Millisecond
)

// awaitProbeTurn waits until a request that may be sent only in a turn has one, or needs none any more. After maxTurnWait, or once
// its caller has left, it returns without one, and the request is refused.
func (g *Gateway) awaitProbeTurn(r *request) {
	now := g.now()
	r.hasTurn = r.hasTurn && r.possibleRuns == 0 && now.Before(r.turnUntil)
	if r.hasTurn || r.possibleRuns > 0 {
		return
	}
	until := now.Add(min(maxTurnWait, r.deadline.Sub(now)/4))
	for {
		g.mu.Lock()
		at, needed := g.turnNeeded(r, now)
		wait := at.Sub(now)
		if needed && wait <= 0 {
			wait = g.reserveAsk(r, now)
		}
		changed := g.partsChanged
		g.mu.Unlock()
		switch {
		case !needed || at.After(until) || !now.Before(until):
			return
		case wait <= 0:
			if g.takeTurn(r) {
				r.hasTurn, r.turnUntil = true, now.Add(crashguard.TurnDuration)
				return
			}
		case !g.awaitChange(r, changed, min(wait, until.Sub(now))):
			return
		}
		now = g.now()
	}
}

// reserveAsk returns the time after which a VM may ask for the turn of a request, or zero if it may now; its other requests with
// the same parts then wait for the answer. So a VM asks once for all of them. The caller holds the lock.
func (g *Gateway) reserveAsk(r *request, now time.Time) time.Duration {
	_, after := g.turnAsks.Take(g.crashes.Prompt(r.fingerprints).Refused, now)
	return after
}

// awaitChange waits for a time, or until the refused parts change. It reports false if nobody waits for the request any more.
func (g *Gateway) awaitChange(r *request, changed <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.exchange.Context().Done():
		return false
	case <-g.ctx.Done():
		return false
	}
	return true
}

// turnNeeded returns whether a request could be sent if it had a turn, and from when on. The caller holds the lock.
func (g *Gateway) turnNeeded(r *request, now time.Time) (at time.Time, needed bool) {
	if !slices.ContainsFunc(r.fingerprints, g.crashes.IsRefused) {
		return time.Time{}, false
	}
	prompt := g.crashes.Prompt(r.fingerprints)
	for _, fingerprint := range r.fingerprints {
		if !g.crashes.IsRefused(fingerprint) {
			continue
		}
		if !crashguard.IsPart(fingerprint) {
			return time.Time{}, false
		}
		probe := g.probeOf(prompt, fingerprint)
		if probe.Kind == crashguard.TurnProbe {
			needed = true
			at = latest(at, probe.At)
			continue
		}
		if may, _ := g.mayProbe(r, prompt, fingerprint, now); !may {
			return time.Time{}, false
		}
	}
	return at, needed
}

// probeOf returns how a request may be sent although a part of its prompt is refused. A turn is taken only once all VMs have
// heard of the last crash. The caller holds the lock.
func (g *Gateway) probeOf(prompt crashguard.Prompt, part uint64) crashguard.Probe {
	return g.afterSpread(g.crashes.ProbeOf(part, prompt, g.partTraffic.IsWidespread(part)))
}

// afterSpread puts a probe that needs a turn off until all VMs have heard of the last crash.
func (g *Gateway) afterSpread(p crashguard.Probe) crashguard.Probe {
	if p.Kind == crashguard.TurnProbe {
		p.At = p.At.Add(g.probeStep())
	}
	return p
}

// takeTurn asks for a turn. If none is granted, it records when this VM may ask again.
func (g *Gateway) takeTurn(r *request) (granted bool) {
	g.mu.Lock()
	givers := g.turnGivers(g.now())
	g.mu.Unlock()
	granted, after := g.askForTurn(r, givers)
	if !granted {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.deferAsk(r, g.now().Add(max(after, minAskInterval)))
	}
	return granted
}

// deferAsk records when this VM may ask again for a turn of a request's parts. The caller holds the lock.
func (g *Gateway) deferAsk(r *request, until time.Time) {
	g.turnAsks.Hold(g.crashes.Prompt(r.fingerprints).Refused, until)
}

// askForTurn asks VMs for a turn until one answers. If none is granted, it returns the time after which one may be.
func (g *Gateway) askForTurn(r *request, givers []turnGiver) (granted bool, after time.Duration) {
	parts := partsOf(r.fingerprints)
	for _, giver := range givers {
		granted, after, err := g.ask(giver, parts)
		if err == nil {
			return granted, after
		}
		g.metrics.count("crash_turn_errors_total")
		g.log.info(partCrash).Str("request", r.call.ID).Str("peer", giver.vm).Err(err).Msg("no answer about a turn")
	}
	return g.giveTurnNow(parts)
}

// turnGiver is a VM that may be asked for a turn; its address is empty for this VM.
type turnGiver struct {
	vm, address string
}

// turnGivers returns the VMs to ask for a turn, in this order: the first ones in the order of all VMs, up to this one. The caller
// holds the lock.
func (g *Gateway) turnGivers(now time.Time) []turnGiver {
	keys := []precedence.Key{g.precedenceKey(now)}
	for _, p := range g.peers {
		if p.live(now) {
			keys = append(keys, p.precedenceKey(now))
		}
	}
	slices.SortFunc(keys, func(a, b precedence.Key) int {
		if a.Precedes(b) {
			return -1
		}
		return 1
	})
	var out []turnGiver
	for _, k := range keys[:min(len(keys), maxTurnGivers)] {
		if k.VM == g.settings.VM {
			return append(out, turnGiver{vm: k.VM})
		}
		out = append(out, turnGiver{vm: k.VM, address: g.peers[k.VM].address})
	}
	return out
}

// ask asks a VM, which may be this one, for a turn.
func (g *Gateway) ask(giver turnGiver, parts []uint64) (granted bool, after time.Duration, err error) {
	if giver.address == "" {
		granted, after = g.giveTurnNow(parts)
		return granted, after, nil
	}
	ctx, cancel := context.WithTimeout(g.ctx, turnTimeout)
	defer cancel()
	resp, err := g.relayClients.TakeTurn(ctx, g.peerAddress(giver.address), &gossip.TurnRequest{Parts: parts})
	if err != nil {
		return false, 0, err
	}
	return resp.GetGranted(), time.Duration(resp.GetAfterMs()) * time.Millisecond, nil
}

// giveTurnNow is giveTurn for callers that do not hold the lock.
func (g *Gateway) giveTurnNow(parts []uint64) (granted bool, after time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.giveTurn(parts, g.now())
}

// giveTurn grants a turn for a request with the given parts, unless one is held or this VM knows of crashes that forbid it.
// Otherwise it returns the time after which the answer may change. The caller holds the lock.
func (g *Gateway) giveTurn(parts []uint64, now time.Time) (granted bool, after time.Duration) {
	prompt := g.crashes.Prompt(parts)
	if len(prompt.Refused) == 0 {
		// One of the two VMs is about to hear of crashes, or that the parts are cleared.
		return false, probeTimeEstimate / 4
	}
	for _, part := range prompt.Refused {
		// Whether the part is widespread is known where its requests arrive.
		probe := g.afterSpread(g.crashes.ProbeOf(part, prompt, true))
		if probe.Kind == crashguard.NoProbe {
			return false, crashRetryAfter
		}
		if probe.Kind == crashguard.TurnProbe && probe.At.After(now) {
			return false, probe.At.Sub(now)
		}
	}
	return g.probeTurns.Take(prompt.Refused, now)
}

// TakeTurn implements gossip.Relay.
func (s relayService) TakeTurn(_ context.Context, req *gossip.TurnRequest) (*gossip.TurnResponse, error) {
	granted, after := s.g.giveTurnNow(req.GetParts())
	return &gossip.TurnResponse{Granted: granted, AfterMs: after.Milliseconds()}, nil
}

// partsOf returns the fingerprints of parts among those of a request.
func partsOf(fingerprints []uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(fingerprints), func(f uint64) bool { return !crashguard.IsPart(f) })
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
