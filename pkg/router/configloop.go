package router

import (
	"context"
	"errors"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/configsync"
	"github.com/corneldeal/corneldeal/pkg/logservice"
	"github.com/corneldeal/corneldeal/pkg/peer"
)

const (
	// configLongPoll is the long-poll time of the config stream. It stays below the contact window of the isolation
	// rule, because only an answered read proves contact.
	configLongPoll = time.Second
	// retryPause is the pause after a failed read of the log or of cache events.
	retryPause = 200 * time.Millisecond
	// bootstrapTimeout limits the wait for the state of peers.
	bootstrapTimeout = time.Second
	// snapshotCheckInterval is the time between two checks whether a snapshot is due.
	snapshotCheckInterval = time.Second
)

// newFollower returns a follower that replays the config stream into r.config.
func (r *Router) newFollower() *configsync.Follower {
	return &configsync.Follower{
		Log:    r.logs,
		Replay: r.config.table,
		Locked: func(f func()) { r.config.do(func(*config.Replay) { f() }) },
	}
}

// followConfig applies the config stream until the router stops.
func (r *Router) followConfig() {
	f := r.newFollower()
	for r.ctx.Err() == nil {
		progress, err := f.Read(r.ctx, configLongPoll)
		// The state is put in force before the read counts as contact. In the other order, a VM that resumed after a
		// pause served a request with a key whose withdrawal it had read but not yet put in force.
		r.publishState()
		if err == nil {
			r.observeLogRead(progress.Started, progress.AtEnd)
			r.logVerdicts(progress.Verdicts)
		}
		if err != nil {
			r.handleConfigReadError(err)
		}
	}
}

// logVerdicts counts, logs and records the verdicts on release notes.
func (r *Router) logVerdicts(verdicts []config.Verdict) {
	for _, v := range verdicts {
		count(metricConfigRecords, 1)
		if v.ID == "" {
			continue
		}
		r.info(partConfig).Str("note", v.ID).Int64("offset", v.Offset).Bool("accepted", v.Accepted).Str("reason", v.Reason).Msg("config: note decided")
		r.record(partConfig, "note decided", v.ID, v.Reason)
	}
}

// handleConfigReadError handles a failed read. A broken invariant stops the process. If the log no longer holds the
// next records, the state of a peer is restored instead. Any other error is retried.
func (r *Router) handleConfigReadError(err error) {
	if r.ctx.Err() != nil {
		return
	}
	count(metricReadErrors, 1)
	var digest *config.DigestError
	var gap *config.GapError
	switch {
	case errors.As(err, &digest):
		r.reportFatal(err)
	case errors.As(err, &gap), errors.Is(err, configsync.ErrNoSnapshot):
		r.warn(partConfig).Err(err).Msg("config: log lacks the next records, restoring from peers")
		r.restoreFromPeers(r.ctx)
	default:
		r.debug(partConfig).Err(err).Msg("config: log read failed")
	}
	r.pause(retryPause)
}

// pause waits for d or until the router stops.
func (r *Router) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// publishState puts the newest replayed state in force. The follower of the log and the catch-up from a peer call it
// concurrently; the lock keeps an older state from replacing a newer one.
func (r *Router) publishState() {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	state := locked(&r.config, func(c *config.Replay) *config.State { return c.State() })
	if state == r.state.Load() {
		return
	}
	r.state.Store(state)
	r.applyState(state)
}

// cancelWithdrawn cancels the queued and running requests whose key no longer gives access to their workspace.
func (r *Router) cancelWithdrawn(state *config.State) {
	cancelled := r.requests.CancelWithdrawn(func(credential string) bool { return credentialValid(state, credential) })
	if cancelled == 0 {
		return
	}
	count(metricCancelled, int64(cancelled))
	r.info(partConfig).Int("requests", cancelled).Msg("config: requests of withdrawn keys ended")
	r.record(partConfig, "requests of withdrawn keys ended", "", "")
}

// bootstrap reads the configuration from peers, so that a restarted VM serves at once, even while the log is down.
func (r *Router) bootstrap() {
	ctx, cancel := context.WithTimeout(r.ctx, bootstrapTimeout)
	defer cancel()
	list, err := r.vmList.Read(ctx)
	if err != nil {
		r.warn(partMember).Err(err).Msg("member: VM list is not readable at start")
		return
	}
	r.applyVMList(list)
	r.restoreFromPeers(ctx)
	// Heartbeats carry the accusations of requests that crash endpoints, which must be merged before the first request
	// is served. They come second and have their own timeout, so that a peer that does not answer cannot use up the
	// time for the configuration.
	r.exchangeHeartbeats()
	r.publishState()
}

// restoreFromPeers requests the state of every known peer and restores the one with the highest offset.
func (r *Router) restoreFromPeers(ctx context.Context) {
	addresses := r.peerAddresses()
	states := make(chan *peer.GetStateResponse, len(addresses))
	for _, address := range addresses {
		go func() { states <- r.fetchPeerState(ctx, address) }()
	}
	for range addresses {
		state := <-states
		if state == nil || len(state.Snapshot) == 0 {
			continue
		}
		r.config.do(func(c *config.Replay) {
			if err := c.Restore(state.Snapshot); err != nil {
				r.handleRestoreError(err)
			}
		})
	}
}

// handleRestoreError stops the process if the digest of a restored state is wrong, and logs any other error.
func (r *Router) handleRestoreError(err error) {
	var digest *config.DigestError
	if errors.As(err, &digest) {
		r.reportFatal(err)
		return
	}
	r.warn(partConfig).Err(err).Msg("config: state of a peer is refused")
}

// fetchPeerState returns the configuration state of a peer, or nil if the call fails.
func (r *Router) fetchPeerState(ctx context.Context, address string) *peer.GetStateResponse {
	ctx, cancel := context.WithTimeout(r.peers.Context(ctx), bootstrapTimeout)
	defer cancel()
	state, err := r.peers.At(address).GetState(ctx, &peer.GetStateRequest{Envelope: r.envelope()})
	if err != nil {
		return nil
	}
	r.observeEnvelope(state.Envelope)
	return state
}

// appendSnapshot appends a snapshot when the last one is a quarter of the retention old. Any VM may do so, and two
// identical snapshots do no harm. VMs check at different times, so that usually one of them appends.
func (r *Router) appendSnapshot() {
	if r.ctx.Err() != nil || !r.snapshotDue() {
		return
	}
	record := locked(&r.config, func(c *config.Replay) []byte { return c.Snapshot() })
	if err := r.appendToLog(logservice.StreamConfig, [][]byte{record}); err != nil {
		return
	}
	r.info(partConfig).Int("bytes", len(record)).Msg("config: snapshot appended")
}
