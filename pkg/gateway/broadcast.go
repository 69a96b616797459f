package gateway

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/corneldeal/corneldeal/pkg/gossip"
)

const (
	// maxDigestInterval is the longest interval between two digests, and maxDigestIntervalLarge the same in a large
	// system. Three of them fit into holderSilenceLimit and share.SilenceAfter.
	maxDigestInterval      = 250 * time.Millisecond
	maxDigestIntervalLarge = 360 * time.Millisecond
	// minDigestInterval is the shortest interval between two digests, and minDigestIntervalLarge the same in a large
	// system.
	minDigestInterval      = 25 * time.Millisecond
	minDigestIntervalLarge = 120 * time.Millisecond
)

// sendDigests sends this VM's digest to its peers, regularly and soon after changes.
func (g *Gateway) sendDigests() {
	for {
		least, most := g.digestIntervals()
		if !g.sleep(least) {
			return
		}
		select {
		case <-g.ctx.Done():
			return
		case <-g.digestRequests:
		case <-time.After(most - least):
		}
		g.sendDigest()
	}
}

// digestIntervals returns the shortest and the longest interval between two digests.
func (g *Gateway) digestIntervals() (least, most time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isLargeSystem() {
		return minDigestInterval, maxDigestInterval
	}
	return minDigestIntervalLarge, maxDigestIntervalLarge
}

// sendDigest sends one digest and starts the state request to a peer and the store writes that are due.
func (g *Gateway) sendDigest() {
	now := g.now()
	g.mu.Lock()
	g.expireState(now)
	out := g.heartbeatBatches(g.nextDigestSequence(), now)
	crashPeer := g.peerToAskForCrashes(now).id()
	refusals := g.refusals.Begin(g.timeOfDay(), now)
	evidence, evidenceDue := g.evidenceToWrite(now)
	announcements := g.announcementsToStore(now)
	g.mu.Unlock()
	g.sendBatches(out)
	if crashPeer != nil {
		go g.fetchState(crashPeer.vm, crashPeer.address)
	}
	if len(refusals) > 0 {
		go g.writeCrashRefusals(refusals)
	}
	if evidenceDue {
		go g.writeEvidence(evidence)
	}
	for _, w := range announcements {
		go g.storeAnnouncements(w)
	}
}

// nextDigestSequence returns the sequence number of the next digest of this process. The caller holds the lock.
func (g *Gateway) nextDigestSequence() uint64 {
	g.digestCount++
	return g.digestCount
}

// awaitHubBatch waits until the next batch of a hub is due: after hubBatchInterval, or sooner if there are new operator records
// to tell. It reports false if the process is ending.
func (g *Gateway) awaitHubBatch() bool {
	if !g.sleep(minHubBatchInterval) {
		return false
	}
	select {
	case <-g.ctx.Done():
		return false
	case <-g.newsRequests:
	case <-time.After(hubBatchInterval - minHubBatchInterval):
	}
	return true
}

// sendCollectedDigests sends, at every hubBatchInterval and soon after new operator records, the batches of digests that this VM
// collects as a hub.
func (g *Gateway) sendCollectedDigests() {
	for g.awaitHubBatch() {
		now := g.now()
		g.mu.Lock()
		out := g.hubBatches(g.nextDigestSequence, now)
		g.mu.Unlock()
		g.sendBatches(out)
	}
}

// sendFinalDigest announces to the peers that this process ends.
func (g *Gateway) sendFinalDigest() {
	now := g.now()
	g.mu.Lock()
	digest := g.digest(finalSequence, now)
	digest.Leaving = true
	batch := &gossip.Batch{Digests: []*gossip.Digest{digest}}
	out := []outgoingBatch{{batch: batch, recipients: g.smallSystemVMs(1, now)}}
	if g.isLargeSystem() {
		near := &gossip.Batch{Digests: batch.Digests}
		far := &gossip.Batch{Digests: batch.Digests, Spread: gossip.Spread_SPREAD_DATA_CENTRE}
		out = []outgoingBatch{{batch: near, recipients: g.localVMs(now)}, {batch: far, recipients: g.remoteHubs(now)}}
	}
	g.mu.Unlock()
	g.sendBatches(out)
}

// sendBatches sends batches as datagrams and splits those that are too long. The caller must not hold the lock.
func (g *Gateway) sendBatches(out []outgoingBatch) {
	for _, o := range out {
		if len(o.recipients) == 0 {
			continue
		}
		datagram, err := gossip.Encode(o.batch)
		if half := len(o.batch.GetDigests()) / 2; len(datagram) > gossip.MaxBatchBytes && half > 0 {
			g.sendBatches(o.split(half))
			continue
		}
		if err == nil && len(datagram) > gossip.MaxBatchBytes {
			datagram, err = g.encodeShortened(o)
		}
		if err != nil {
			g.log.warn(partPeer).Err(err).Msg("digests not sent")
			continue
		}
		for _, address := range o.recipients {
			if err := g.gossipSocket.Send(address, datagram); err != nil {
				g.metrics.count("digest_send_errors_total")
			}
		}
		g.metrics.counters.Add("digest_bytes_total", int64(len(datagram)*len(o.recipients)))
	}
}

// errDigestTooLong means that a digest fits into no datagram, even without its optional parts.
var errDigestTooLong = errors.New("gateway: digest is too long")

// encodeShortened returns the datagram of a batch with one digest that is too long, without some of its optional parts.
func (g *Gateway) encodeShortened(o outgoingBatch) ([]byte, error) {
	g.metrics.count("digests_too_long_total")
	short := o.shortened()
	datagram, err := gossip.Encode(short)
	if err == nil && len(datagram) > gossip.MaxBatchBytes {
		err = errDigestTooLong
	}
	g.log.warn(partPeer).Int("bytes", proto.Size(o.batch)).Int("sent", len(datagram)).Err(err).
		Msg("digest is too long, sent in part")
	return datagram, err
}

// split returns two batches with the digests before and from index at.
func (o outgoingBatch) split(at int) []outgoingBatch {
	digests, spread := o.batch.GetDigests(), o.batch.GetSpread()
	return []outgoingBatch{
		{batch: &gossip.Batch{Digests: digests[:at], Spread: spread}, recipients: o.recipients},
		{batch: &gossip.Batch{Digests: digests[at:], Spread: spread}, recipients: o.recipients},
	}
}

// shortened returns a copy of a batch with one digest that is too long. It omits parts that receivers can do without or
// obtain otherwise, least important first, until the digest fits, so that its VM does not count as silent.
func (o outgoingBatch) shortened() *gossip.Batch {
	d := proto.CloneOf(o.batch.GetDigests()[0])
	short := &gossip.Batch{Digests: []*gossip.Digest{d}, Spread: o.batch.GetSpread()}
	for _, leaveOut := range []func(){
		func() { d.Placed = nil },
		func() { d.Neighbours = nil },
		func() { d.Versions = nil },
		func() { d.Loads = nil },
		func() { d.Accusations = nil },
		func() { d.SavedRefusals = nil },
		func() { d.EndedStarts = nil },
		func() { d.Announcements = nil },
		func() { d.Departures = nil },
		func() { d.BrittleRejections = nil },
		func() { d.Limits = nil },
	} {
		if proto.Size(short) <= gossip.MaxBatchBytes {
			break
		}
		leaveOut()
	}
	return short
}
