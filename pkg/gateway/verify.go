package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/corneldeal/corneldeal/pkg/gossip"
	"github.com/corneldeal/corneldeal/pkg/httpcall"
)

// A read that waits for records looks the same whether there are none or its answer was lost, and no error ever ends the
// wait. So each VM records when its copy of a stream was last proved complete. A few VMs read with short waits, and their
// digests state the age of their proof, which holds for every VM that has the records they know. A VM without a recent
// proof gives up the read that it waits on and asks the store at once. This needs no agreement on who reads: if the VMs
// that read for all lose their answers, are cut off or stop, every other VM checks for itself.

const (
	// verifyReadWait is the longest time that a read waits on the VMs that verify a stream for all.
	verifyReadWait = 500 * time.Millisecond
	// maxVerifiedAge is the age of the last proof at which a VM checks a stream itself. It leaves time for the check within
	// the 2 s in which small deployments want a configuration in force and an endpoint out of use.
	maxVerifiedAge = 1100 * time.Millisecond
	// maxVerifiedAgeLarge is the same in a large system, where a hub proves for all and its digests wait for the next batch.
	maxVerifiedAgeLarge = 1300 * time.Millisecond
	// verifiedAgeSpread is the largest random extension of both.
	verifiedAgeSpread = 300 * time.Millisecond
)

// errAnswerLost ends a read that waits although the copy of its stream has to be verified.
var errAnswerLost = fmt.Errorf("gateway: the answer to a read was lost: %w", httpcall.ErrNoAnswer)

// isOverdue reports whether this VM has to verify its copy of a stream itself. The caller holds the lock.
func (g *Gateway) isOverdue(s Stream, now time.Time) bool {
	limit := maxVerifiedAge
	if g.isLargeSystem() {
		limit = maxVerifiedAgeLarge
	}
	return g.isOfEarlierEra(s) || g.streams[s].freshness.Overdue(now, limit, verifiedAgeSpread)
}

// checkFreshness ends the waiting reads of streams that have to be verified, and ends the pause of a VM that leaves the
// reading to others. Reads that have failed are repeated after their own pauses. The caller holds the lock.
func (g *Gateway) checkFreshness(now time.Time) {
	for s, st := range g.streams {
		if st.synced && (!st.failing || st.leftToOthers) && g.isOverdue(s, now) {
			st.endWait(errAnswerLost)
			st.endPause()
		}
	}
}

// verifiesForAll reports whether this VM reads the operator records with short waits, for all. In a large system that is a hub,
// whose digests take the shortest way to the others. The caller holds the lock.
func (g *Gateway) verifiesForAll(now time.Time) bool {
	if !g.isLargeSystem() {
		return g.isPreferredVM(now)
	}
	return g.storeReaders(1, now)[0] == g.settings.VM
}

// recordProof records that the store itself proved the copy complete as of the given time. The caller holds the lock.
func (st *streamState) recordProof(at time.Time) {
	st.freshness.Verified(at)
	if at.After(st.provenAt) {
		st.provenAt = at
	}
}

// proofAge returns the time since the store itself last proved the copy complete, for peers. It is nil if it never did.
func (st *streamState) proofAge(now time.Time) *int64 {
	if st.provenAt.IsZero() {
		return nil
	}
	age := max(0, now.Sub(st.provenAt)).Milliseconds()
	return &age
}

// applyPeerProofs records what the store proved to a peer, for the streams of which this VM holds all records that the
// peer knows. The digest was built at the given time. The caller holds the lock.
func (g *Gateway) applyPeerProofs(p *peerState, d *gossip.Digest, builtAt time.Time) {
	if !p.operatorNext.After(g.streams[OperatorStream].next) {
		g.applyPeerProof(OperatorStream, p.operatorNext.Era, d.OperatorVerifiedAgeMs, builtAt)
	}
	if !p.endpointChanged.After(g.streams[EndpointStream].next) {
		g.applyPeerProof(EndpointStream, p.endpointNext.Era, d.EndpointVerifiedAgeMs, builtAt)
	}
}

// applyPeerProof records that the store, in an era, proved a stream complete to a peer, the given number of milliseconds
// before the given time. It ends the pause after a failed read if this VM had no recent proof: the store is back. The caller
// holds the lock.
func (g *Gateway) applyPeerProof(s Stream, era int64, ageMs *int64, now time.Time) {
	st := g.streams[s]
	if ageMs == nil || era != st.next.Era {
		return
	}
	wasOverdue := g.isOverdue(s, now)
	st.freshness.Verified(now.Add(-time.Duration(max(0, *ageMs)) * time.Millisecond))
	if wasOverdue && !g.isOverdue(s, now) {
		st.endPause()
	}
}

// startWait returns a context for a read that waits for records. Until stop is called, endWait ends the read.
func (st *streamState) startWait(ctx context.Context) (waitCtx context.Context, stop func()) {
	waitCtx, cancel := context.WithCancelCause(ctx)
	st.cancelWait = cancel
	return waitCtx, func() { cancel(context.Canceled) }
}

// endWait ends the read that waits for records, if there is one.
func (st *streamState) endWait(cause error) {
	if st.cancelWait != nil {
		st.cancelWait(cause)
	}
}

// endPause ends the present or next pause between two reads.
func (st *streamState) endPause() {
	signal(st.wake)
}

// leaveToOthers waits until this VM checks again whether it reads a stream itself. It reports false if the process is ending.
func (g *Gateway) leaveToOthers(s Stream) bool {
	g.setLeftToOthers(s, true)
	defer g.setLeftToOthers(s, false)
	return g.pause(s, g.jitter(readerPollInterval))
}

// setLeftToOthers sets whether this VM leaves the reading of a stream to others.
func (g *Gateway) setLeftToOthers(s Stream, left bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streams[s].leftToOthers = left
}

// pause waits until d has passed or endPause is called. It reports false if the process is ending.
func (g *Gateway) pause(s Stream, d time.Duration) bool {
	g.mu.Lock()
	wake := g.streams[s].wake
	g.mu.Unlock()
	select {
	case <-g.ctx.Done():
		return false
	case <-wake:
	case <-time.After(d):
	}
	return true
}
