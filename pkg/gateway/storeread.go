package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/corneldeal/corneldeal/pkg/freshness"
	"github.com/corneldeal/corneldeal/pkg/logpos"
)

// readStream reads the new records of a stream from the store, or all records if the stream is not synced, the offset is
// not stored, or the store was restored. A read that gets no answer is repeated at once, see readPlan.
func (g *Gateway) readStream(s Stream, wait time.Duration) error {
	g.mu.Lock()
	next, relist := g.streams[s].next, !g.streams[s].synced || g.isOfEarlierEra(s)
	g.mu.Unlock()
	if relist {
		return g.readNewest(s)
	}
	var err error
	for _, r := range g.readPlan(s, wait) {
		if err = g.readRecords(s, r); !isLostAnswer(err) {
			break
		}
	}
	if errors.Is(err, ErrRecordsExpired) {
		g.log.info(partStore).Str("stream", s.String()).Int64("era", next.Era).Int64("from", next.Offset).
			Msg("records are not stored, reading all")
		return g.readNewest(s)
	}
	if errors.Is(err, errStoreRestored) {
		return g.readNewest(s)
	}
	if err != nil {
		g.recordStoreResult(s, err, g.now())
	}
	return err
}

// plannedRead is one read of a stream: how long the store may wait for records, and the time limit of the call.
type plannedRead struct {
	wait, limit time.Duration
}

// readPlan returns the reads that are sent one after another until one is answered. After a read that waits come those that do
// not. While the store fails, there is only one in a row.
func (g *Gateway) readPlan(s Stream, wait time.Duration) []plannedRead {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := plannedRead{limit: storeTimeout}
	switch {
	case g.streams[s].failing:
		return []plannedRead{last}
	case wait > 0:
		return []plannedRead{{wait: wait, limit: wait + storeTimeout}, {limit: checkTimeout}, last}
	}
	return []plannedRead{{limit: checkTimeout}, last}
}

// isLostAnswer reports whether a read ended because it got no answer.
func isLostAnswer(err error) bool {
	return errors.Is(err, errAnswerLost) || errors.Is(err, context.DeadlineExceeded)
}

// readRecords sends one read to the store and applies the answer.
func (g *Gateway) readRecords(s Stream, r plannedRead) error {
	wait := r.wait
	ctx, cancel := context.WithTimeout(g.ctx, r.limit)
	defer cancel()
	g.mu.Lock()
	st := g.streams[s]
	next := st.next
	if wait > 0 {
		var stop func()
		ctx, stop = st.startWait(ctx)
		defer stop()
	}
	g.mu.Unlock()
	started := g.now()
	page, err := g.platform.Store.Read(ctx, s, next.Offset, wait)
	answered := g.now()
	if isLostAnswer(err) {
		g.logLostAnswer(s, wait, started, answered)
	}
	if err != nil {
		return err
	}
	g.recordStoreResult(s, nil, answered)
	g.mu.Lock()
	defer g.mu.Unlock()
	if page.Next.Era != next.Era || g.isOfEarlierEra(s) {
		// The offset that was read from names another record in the era of the answer.
		return errStoreRestored
	}
	g.applyRecords(s, page.Records, page.Next)
	if page.Complete {
		st.recordProof(freshness.VerifiedAt(started, answered, wait, len(page.Records)))
	}
	return nil
}

// logLostAnswer logs that a read, which started at the given time, is given up because no answer came.
func (g *Gateway) logLostAnswer(s Stream, wait time.Duration, started, now time.Time) {
	g.metrics.count("store_answers_lost_total")
	g.mu.Lock()
	age, next := g.streams[s].verifiedAge(now), g.streams[s].next
	g.mu.Unlock()
	g.log.warn(partStore).Str("stream", s.String()).Dur("wait_ms", wait).Dur("waited_ms", now.Sub(started)).
		Int64("era", next.Era).Int64("from", next.Offset).Dur("verified_age_ms", age).Msg("read given up, its answer was lost")
}

// readNewest reads the newest record of each key of a stream from the store.
func (g *Gateway) readNewest(s Stream) error {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	started := g.now()
	listing, err := g.platform.Store.Newest(ctx, s)
	g.recordStoreResult(s, err, g.now())
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applyListing(s, listing, started)
}

// applyListing applies a listing that was requested at the given time. The caller holds the lock.
func (g *Gateway) applyListing(s Stream, listing Listing, started time.Time) error {
	if listing.End.Era < g.storeEra {
		return errStoreRestored
	}
	st := g.streams[s]
	if s == EndpointStream {
		g.removeUnlisted(listing)
	} else {
		g.withdrawUnlistedRollouts(listing)
	}
	g.applyRecords(s, listing.Records, listing.End)
	st.changedEnd = logpos.Max(st.changedEnd, logpos.Position{Era: listing.End.Era})
	if st.next.Era == listing.End.Era {
		// A store that does not tell its era and was restored ends before the records that were read.
		st.next = listing.End
	}
	st.synced = true
	st.recordProof(started)
	return nil
}

// removeUnlisted removes the endpoints that are missing from a complete listing. The caller holds the lock.
func (g *Gateway) removeUnlisted(listing Listing) {
	listed := make(map[string]bool, len(listing.Records))
	for _, r := range listing.Records {
		listed[r.Key] = true
	}
	last := listing.End.Previous()
	for _, id := range g.endpoints.RemoveUnlisted(listed, listing.End, g.now()) {
		g.announceDeparture(id, "not listed", last)
	}
	st := g.streams[EndpointStream]
	for key, r := range st.records {
		if !listed[key] && r.Position.Before(listing.End) && len(r.Value) > 0 {
			st.records[key] = Record{Key: key, Position: last}
			st.recordChange(key, last)
		}
	}
}

// recordStoreResult records the result of a call to the store and logs when the store is lost and when it is back.
func (g *Gateway) recordStoreResult(s Stream, err error, now time.Time) {
	if g.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.streams[s]
	if err != nil {
		g.metrics.count("store_errors_total")
		g.storeFailedAt = now
		if !st.failing {
			st.failing = true
			st.failedAt = now
			g.log.warn(partStore).Str("stream", s.String()).Err(err).Msg("store lost")
		}
		return
	}
	if st.failing {
		g.log.info(partStore).Str("stream", s.String()).Dur("down_ms", now.Sub(st.failedAt)).Msg("store back")
		if s == EndpointStream {
			g.endpoints.StoreRecovered(now)
		}
	}
	for _, other := range g.streams {
		if other != st && other.failing {
			other.endPause()
		}
	}
	st.failing = false
	st.answeredAt = now
}
