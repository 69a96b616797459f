package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/corneldeal/corneldeal/pkg/affinity"
	"github.com/corneldeal/corneldeal/pkg/logpos"
)

const (
	// originKeyPrefix is the prefix of the store keys of the streams of a process.
	originKeyPrefix = "streams/"
	// originWriteInterval is the least interval between two writes, so that many streams share one.
	originWriteInterval = 50 * time.Millisecond
	// originRetryDelay is the pause after a failed write.
	originRetryDelay = 150 * time.Millisecond
	// originRecordTTL is the age, after the last caller of its streams has left, from which a record is removed by a VM that
	// starts.
	originRecordTTL = time.Hour
)

// originSync is the state of the writes and reads of stream origins.
type originSync struct {
	// failing is set while the last write has failed.
	failing bool
	// unreadable is set while neither the store nor a peer tells the baselines. Then no VM can look a stream up, so new ones
	// begin without a record. The baselines that are written later are provisional, and do not count for them.
	unreadable bool
	// written is closed at the end of the next write, and then replaced.
	written chan struct{}
	// oldKeys are those of the last listing whose records are older than originRecordTTL.
	oldKeys []string
	// listedAt is when the last complete listing was requested.
	listedAt time.Time
	// baselineUndoneSince is since when this VM knows of no baseline for a service, or of one that has to be replaced.
	baselineUndoneSince map[string]time.Time
}

// originListing serializes the listings of stream origins, so that one serves all requests that wait for it. Its lock is
// held during I/O and taken before Gateway.mu.
type originListing struct {
	mu sync.Mutex
	// startedAt and err are those of the last listing.
	startedAt time.Time
	err       error
}

// canRecordOrigins reports whether the store takes records of stream origins. The caller holds the lock.
func (g *Gateway) canRecordOrigins() bool {
	storeFails := g.streams[OperatorStream].failing && g.streams[EndpointStream].failing
	return !g.originSync.failing && !storeFails && !g.origins.IsFull()
}

// recordOrigins writes the streams of this process to the store when asked to.
func (g *Gateway) recordOrigins() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.originRequests:
		}
		delay := originWriteInterval
		if !g.writeOrigins() {
			delay = g.jitter(originRetryDelay)
		}
		if !g.sleep(delay) {
			return
		}
	}
}

// writeOrigins writes the next record of streams of this process that the store lacks, and has the one after it written. It
// reports whether that succeeded.
func (g *Gateway) writeOrigins() bool {
	g.mu.Lock()
	pending, unwritten := g.origins.NextRecord()
	pending.Record.UnixMs = g.timeOfDay().UnixMilli()
	g.mu.Unlock()
	if !unwritten {
		return true
	}
	value, err := json.Marshal(pending.Record)
	if err != nil {
		// The type has no field that JSON cannot encode.
		panic(err)
	}
	key := fmt.Sprintf("%s%d", g.ownOriginKeys(), pending.Key)
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	_, err = g.platform.Store.Append(ctx, StreamOriginStream, key, value)
	g.recordOriginWrite(pending, err)
	return err == nil
}

// recordOriginWrite records the result of a write and wakes the streams that wait for it.
func (g *Gateway) recordOriginWrite(pending affinity.Pending, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sync := &g.originSync
	if err != nil {
		if !sync.failing {
			g.log.warn(partStore).Int("key", pending.Key).Err(err).Msg("stream origins not recorded")
		}
		g.origins.WriteFailed(pending)
	} else {
		g.metrics.count("stream_origin_writes_total")
		g.origins.Written(pending)
	}
	sync.failing = err != nil
	close(sync.written)
	sync.written = make(chan struct{})
	g.requestOriginWrite()
}

// requestOriginWrite has the streams of this process written if the store lacks any. The caller holds the lock.
func (g *Gateway) requestOriginWrite() {
	if g.origins.HasUnwritten() {
		signal(g.originRequests)
	}
}

// ownOriginKeys returns the prefix of the keys under which this process records its streams.
func (g *Gateway) ownOriginKeys() string {
	return fmt.Sprintf("%s%s/%x/", originKeyPrefix, g.settings.VM, g.boot)
}

// refreshOrigins lists the stream origins, unless that was done after the given time.
func (g *Gateway) refreshOrigins(after time.Time) error {
	g.originListing.mu.Lock()
	defer g.originListing.mu.Unlock()
	if g.originListing.startedAt.After(after) {
		return g.originListing.err
	}
	g.originListing.startedAt = g.now()
	_, g.originListing.err = g.listOrigins()
	return g.originListing.err
}

// listOrigins reads the stream origins and baselines from the store. It returns the end of the stream.
func (g *Gateway) listOrigins() (logpos.Position, error) {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	started := g.now()
	listing, err := g.platform.Store.Newest(ctx, StreamOriginStream)
	if err != nil {
		return logpos.Position{}, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if listing.End.Era < g.storeEra {
		return logpos.Position{}, errStoreRestored
	}
	g.applyOrigins(listing.Records)
	g.originSync.listedAt = started
	g.originSync.unreadable = false
	return listing.End, nil
}

// applyOrigins applies a listing of the stream origins. The caller holds the lock.
func (g *Gateway) applyOrigins(records []Record) {
	var stored []affinity.Record
	var oldKeys []string
	for _, r := range records {
		if service, found := strings.CutPrefix(r.Key, baselineKeyPrefix); found {
			g.applyBaseline(service, r)
			continue
		}
		if strings.HasPrefix(r.Key, g.ownOriginKeys()) {
			continue
		}
		decoded, err := affinity.DecodeRecord(r.Value)
		if err != nil {
			g.log.warn(partStore).Str("key", r.Key).Err(err).Msg("stream origins are unreadable")
			continue
		}
		decoded.Process = r.Key[:strings.LastIndex(r.Key, "/")+1]
		stored = append(stored, decoded)
		if decoded.Age(g.timeOfDay()) > originRecordTTL {
			oldKeys = append(oldKeys, r.Key)
		}
	}
	g.originSync.oldKeys = oldKeys
	if err := g.origins.SetStored(stored, g.timeOfDay()); err != nil {
		g.log.warn(partStore).Err(err).Msg("stream origins are unreadable")
	}
}

// removeOldOrigins removes the records of processes that ended long ago.
func (g *Gateway) removeOldOrigins() {
	g.mu.Lock()
	keys := g.originSync.oldKeys
	g.mu.Unlock()
	for _, key := range keys {
		ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
		_, err := g.platform.Store.Append(ctx, StreamOriginStream, key, nil)
		cancel()
		if err != nil {
			// The next VM that starts tries again.
			g.log.warn(partStore).Str("key", key).Err(err).Msg("old stream origins not removed")
		}
	}
}
