package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/freshness"
	"github.com/corneldeal/corneldeal/pkg/logpos"
)

const (
	// operatorReadWait is the longest time that a read waits for new operator records, which are rare.
	operatorReadWait = 20 * time.Second
	// endpointReadInterval is the pause between two reads, so that many changes arrive in few calls.
	endpointReadInterval = 300 * time.Millisecond
	// readerPollInterval is the interval between two checks by a VM that does not read a stream from the store itself.
	readerPollInterval = 500 * time.Millisecond
	// storeTimeout limits a call to the store, in addition to the time that the call may wait for records.
	storeTimeout = 1200 * time.Millisecond
	// checkTimeout limits the first of the reads that do not wait. It is short because a check begins late already.
	checkTimeout = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the pause after a failed call, before it is jittered. A call that hangs as the
	// store returns and the longest pause after it must fit into the 3 s after which every bound holds again.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// endpointReaderCount is the number of VMs that read the endpoint records from the store; the others ask them.
	endpointReaderCount = 2
	// operatorReadersPerDataCentre is the number of VMs in each data centre of a large system that read the operator
	// records from the store. The others see from digests that there are new ones, and ask a peer.
	operatorReadersPerDataCentre = 2
	// maxPeerStartWait limits the time for which a VM that starts in a large system waits for a peer that can send it all
	// records, so that not every VM lists the store.
	maxPeerStartWait = 1200 * time.Millisecond
	// peerStartPollInterval is the interval between two checks for such a peer.
	peerStartPollInterval = 40 * time.Millisecond
	// registrationWait limits the time for which the first read waits for the registrations of the other VMs.
	registrationWait = 100 * time.Millisecond
	// maxAnnouncementsPerModel limits the stored versions of a model; no engine runs older ones any more.
	maxAnnouncementsPerModel = 32
	// assumedAnnouncementAge is the largest assumed age of a version that was announced while this VM did not read the
	// records.
	assumedAnnouncementAge = 8 * time.Second
)

// streamState is the local copy of a stream and how current it is.
type streamState struct {
	// synced is set once all records up to next have been read.
	synced bool
	// next is the position after the newest record read. If it is in an earlier era than that of the store, the store was
	// restored since, and the copy may lack records and hold some that were lost.
	next logpos.Position
	// relistAt is the time from which this VM lists the records itself after a restore. In a large system it waits until then
	// for a peer that has listed them.
	relistAt time.Time
	// records are the newest records by key, in the platform's encoding, for peers.
	records map[string]Record
	// versions are the versions, by key, that the operator gave to the stored records, and weightVersions is the sum of
	// those of weights.
	versions       map[string]int64
	weightVersions int64
	// changedAt are the positions, by key, of the last record that changed more than a heartbeat does.
	changedAt map[string]logpos.Position
	// changedEnd is the position after the newest record in changedAt.
	changedEnd logpos.Position
	// readAt is when the stream was last read, from the store or a peer.
	readAt time.Time
	// answeredAt is when the store last answered on the stream; failing is set if a call failed since.
	answeredAt time.Time
	failing    bool
	// failedAt is the start of the present failure.
	failedAt time.Time
	// freshness is when the copy was last proved complete, by the store or by a peer that has a proof of the store.
	// provenAt is when the store itself last proved it to this VM, or zero.
	freshness freshness.Tracker
	provenAt  time.Time
	// cancelWait ends the last read that waited for records. It is nil before the first.
	cancelWait context.CancelCauseFunc
	// leftToOthers is set while this VM leaves the reading to others. A call of its own that failed before says nothing then.
	leftToOthers bool
	// wake ends the pause between two reads.
	wake chan struct{}
}

func newStreamState(random *rand.Rand) *streamState {
	return &streamState{
		records: map[string]Record{}, versions: map[string]int64{}, changedAt: map[string]logpos.Position{},
		wake: make(chan struct{}, 1), freshness: freshness.Tracker{Draw: random.Float64},
	}
}

// recordChange records that a key changed by more than a heartbeat.
func (st *streamState) recordChange(key string, at logpos.Position) {
	st.changedAt[key] = at
	st.changedEnd = logpos.Max(st.changedEnd, at.Next())
}

// tombstoneRetentionRecords is the number of newer records after which a removal is no longer sent to peers.
const tombstoneRetentionRecords = 20_000

// dropTombstones deletes removals that are older than tombstoneRetentionRecords.
func (st *streamState) dropTombstones() {
	for key, r := range st.records {
		if len(r.Value) == 0 && (r.Position.Era < st.next.Era || r.Position.Offset < st.next.Offset-tombstoneRetentionRecords) {
			delete(st.records, key)
			delete(st.changedAt, key)
		}
	}
}

// syncOperatorRecords keeps the configuration and the announced versions current, from the store or from peers.
func (g *Gateway) syncOperatorRecords() {
	g.bootstrapFromPeers()
	pause := minRetryDelay
	for g.ctx.Err() == nil {
		wait, read := g.nextOperatorRead(g.now())
		if !read {
			if !g.leaveToOthers(OperatorStream) {
				return
			}
			continue
		}
		err := g.readStream(OperatorStream, wait)
		if err == nil {
			pause = minRetryDelay
			continue
		}
		if !g.pause(OperatorStream, g.jitter(pause)) {
			return
		}
		pause = min(2*pause, maxRetryDelay)
		g.fetchDuringOutage(OperatorStream)
	}
}

// nextOperatorRead reports whether this VM reads the operator records from the store now, and how long that read may
// wait for records.
func (g *Gateway) nextOperatorRead(now time.Time) (wait time.Duration, read bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.streams[OperatorStream]
	switch {
	case !st.synced || g.isOverdue(OperatorStream, now):
		return 0, !g.awaitsPeerListing(OperatorStream, now) || !g.operatorReadByOthers(now)
	case g.verifiesForAll(now):
		wait = verifyReadWait
	case g.operatorReadByOthers(now):
		return 0, false
	default:
		wait = operatorReadWait
	}
	if st.failing {
		wait = 0
	}
	return wait, true
}

// operatorReadByOthers reports whether other VMs of the data centre read the operator records, so that this one need
// not. The caller holds the lock.
func (g *Gateway) operatorReadByOthers(now time.Time) bool {
	if !g.isLargeSystem() {
		return false
	}
	readers := g.widestLinks(g.settings.DataCentre, operatorReadersPerDataCentre, func(name string, _ *knownVM) bool {
		p := g.peers[name]
		return p != nil && p.reachesStore(now)
	})
	return !slices.Contains(readers, g.settings.VM)
}

// bootstrapFromPeers requests all records from a peer of a large system. It returns when a peer has sent them, or when
// this VM has to read them from the store itself.
func (g *Gateway) bootstrapFromPeers() {
	select {
	case <-g.registrationTried:
	case <-time.After(registrationWait):
	}
	for wait := g.randomUpTo(maxPeerStartWait); wait > 0; wait -= peerStartPollInterval {
		g.mu.Lock()
		large, synced := g.isLargeSystem(), g.streams[OperatorStream].synced && g.streams[EndpointStream].synced
		p := g.peerAhead(OperatorStream, g.now()).id()
		g.mu.Unlock()
		if !large || synced {
			return
		}
		if p != nil && g.fetchState(p.vm, p.address) {
			return
		}
		if !g.sleep(peerStartPollInterval) {
			return
		}
	}
}

// syncEndpointRecords keeps the list of endpoints current: from the store on a few VMs, from these VMs on the others.
func (g *Gateway) syncEndpointRecords() {
	g.bootstrapFromPeers()
	pause := minRetryDelay
	for g.ctx.Err() == nil {
		if g.relistFromPeer() || g.syncFromReader() {
			if !g.leaveToOthers(EndpointStream) {
				return
			}
			continue
		}
		if err := g.readStream(EndpointStream, g.endpointReadWait(g.now())); err != nil {
			if !g.pause(EndpointStream, g.jitter(pause)) {
				return
			}
			pause = min(2*pause, maxRetryDelay)
			g.fetchDuringOutage(EndpointStream)
			continue
		}
		pause = minRetryDelay
		if !g.sleep(endpointReadInterval) {
			return
		}
	}
}

// endpointReadWait returns how long the next read of the endpoint records may wait for records.
func (g *Gateway) endpointReadWait(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.streams[EndpointStream].failing || g.isOverdue(EndpointStream, now) {
		return 0
	}
	return verifyReadWait
}
