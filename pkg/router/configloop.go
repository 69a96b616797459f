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
	// configPoll is the long-poll time of the config stream. It is kept below the contact limit, since only an
	// answered read proves contact.
	configPoll = time.Second
	// retryPause is the pause after a failed read of the log.
	retryPause = 200 * time.Millisecond
	// bootstrapTimeout bounds the wait for peers' state at start.
	bootstrapTimeout = time.Second
	// snapshotCheck is the time between two looks at whether a snapshot is due.
	snapshotCheck = time.Second
)

func (r *Router) follower() *configsync.Follower {
	return &configsync.Follower{
		Log:    r.logs,
		Replay: r.config.table,
		Locked: func(f func()) { r.config.do(func(*config.Replay) { f() }) },
	}
}

// followConfig applies the config stream for as long as the router runs.
func (r *Router) followConfig() {
	f := r.follower()
	for r.ctx.Err() == nil {
		progress, err := f.Read(r.ctx, configPoll)
		// The state is put in force before the read counts as contact. In the other order a VM that resumed after a
		// pause served a request under a key whose withdrawal it had read but not put in force.
		r.publishState()
		if err == nil {
			r.observeLogRead(progress.Started, progress.AtEnd)
			r.logVerdicts(progress.Verdicts)
		}
		if err != nil {
			r.configReadFailed(err)
		}
	}
}

func (r *Router) logVerdicts(verdicts []config.Verdict) {
	for _, v := range verdicts {
		count(metricNotes, 1)
		if v.ID == "" {
			continue
		}
		r.info(partConfig).Str("note", v.ID).Int64("offset", v.Offset).Bool("accepted", v.Accepted).Str("reason", v.Reason).Msg("config: note decided")
		r.record(partConfig, "note decided", v.ID, v.Reason)
	}
}

// configReadFailed reacts to a failed read: a broken invariant stops the process, records that are gone come
// from a peer, anything else is tried again.
func (r *Router) configReadFailed(err error) {
	if r.ctx.Err() != nil {
		return
	}
	count(metricReadErrors, 1)
	var digest *config.DigestError
	var gap *config.GapError
	switch {
	case errors.As(err, &digest):
		r.fail(err)
	case errors.As(err, &gap), errors.Is(err, configsync.ErrNoSnapshot):
		r.warn(partConfig).Err(err).Msg("config: records are gone, asking peers")
		r.restoreFromPeers(r.ctx)
	default:
		r.debug(partConfig).Err(err).Msg("config: log read failed")
	}
	r.pause(retryPause)
}

func (r *Router) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.ctx.Done():
	}
}

// publishState puts the newest state in force. Two callers, the follower of the log and the catch-up from a peer, must not
// interleave, or an older state could replace a newer one.
func (r *Router) publishState() {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	state := read(&r.config, func(c *config.Replay) *config.State { return c.State() })
	if state == r.state.Load() {
		return
	}
	r.state.Store(state)
	r.stateChanged(state)
}

// cancelWithdrawn ends the queued and running requests whose key no longer admits to their workspace.
func (r *Router) cancelWithdrawn(state *config.State) {
	cancelled := r.keys.CancelWithdrawn(func(entry string) bool { return entryValid(state, entry) })
	if cancelled == 0 {
		return
	}
	count(metricCancelled, int64(cancelled))
	r.info(partConfig).Int("requests", cancelled).Msg("config: requests of withdrawn keys ended")
	r.record(partConfig, "requests of withdrawn keys ended", "", "")
}

// bootstrap takes the configuration from peers, so that a restarted VM serves at once, also while the log is down.
func (r *Router) bootstrap() {
	ctx, cancel := context.WithTimeout(r.ctx, bootstrapTimeout)
	defer cancel()
	list, err := r.vms.Read(ctx)
	if err != nil {
		r.warn(partMember).Err(err).Msg("member: VM list is not readable at start")
		return
	}
	r.applyVMList(list)
	r.restoreFromPeers(ctx)
	// Requests that crash endpoints must be known before the first request is served. A peer that does not answer must
	// not use up the time for the configuration, so this comes second and has its own bound.
	r.greetPeers()
	r.publishState()
}

// restoreFromPeers asks every known peer and restores the highest state.
func (r *Router) restoreFromPeers(ctx context.Context) {
	addresses := r.peerAddresses()
	states := make(chan *peer.GetStateResponse, len(addresses))
	for _, address := range addresses {
		go func() { states <- r.peerState(ctx, address) }()
	}
	for range addresses {
		state := <-states
		if state == nil || len(state.Snapshot) == 0 {
			continue
		}
		r.config.do(func(c *config.Replay) {
			if err := c.Restore(state.Snapshot); err != nil {
				r.peerStateRefused(err)
			}
		})
	}
}

func (r *Router) peerStateRefused(err error) {
	var digest *config.DigestError
	if errors.As(err, &digest) {
		r.fail(err)
		return
	}
	r.warn(partConfig).Err(err).Msg("config: state of a peer is refused")
}

func (r *Router) peerState(ctx context.Context, address string) *peer.GetStateResponse {
	ctx, cancel := context.WithTimeout(r.peers.Context(ctx), bootstrapTimeout)
	defer cancel()
	state, err := r.peers.At(address).GetState(ctx, &peer.GetStateRequest{Envelope: r.envelope()})
	if err != nil {
		return nil
	}
	r.observeEnvelope(state.Envelope)
	return state
}

// appendSnapshot writes a snapshot when the last one is a quarter of the retention old. Any VM may; two
// identical snapshots do no harm. VMs look at different times, so that usually one writes.
func (r *Router) appendSnapshot() {
	if r.ctx.Err() != nil || !r.snapshotDue() {
		return
	}
	record := read(&r.config, func(c *config.Replay) []byte { return c.Snapshot() })
	if err := r.append(logservice.StreamConfig, [][]byte{record}); err != nil {
		return
	}
	r.info(partConfig).Int("bytes", len(record)).Msg("config: snapshot appended")
}
