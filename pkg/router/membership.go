package router

import (
	"context"
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/lease"
	"github.com/corneldeal/corneldeal/pkg/limit"
	"github.com/corneldeal/corneldeal/pkg/logservice"
	"github.com/corneldeal/corneldeal/pkg/member"
	"github.com/corneldeal/corneldeal/pkg/peer"
	"github.com/corneldeal/corneldeal/pkg/timeline"
	"github.com/corneldeal/corneldeal/pkg/vmlist"
)

const (
	// vmListInterval is the time between two reads of the VM list.
	vmListInterval = time.Second
	// heartbeatTimeout limits one heartbeat call. An answer proves contact only as of the start of its call, so a later
	// one proves too little.
	heartbeatTimeout = time.Second
	// isolationCheckInterval is the time between two checks of the contact with the log and other VMs.
	isolationCheckInterval = 250 * time.Millisecond
)

// envelope returns the envelope that identifies this process in every message to a peer.
func (r *Router) envelope() *peer.Envelope {
	stamp := r.clock.Now(time.Now())
	return &peer.Envelope{
		Vm:           r.settings.VM,
		Incarnation:  r.incarnation,
		ConfigOffset: r.state.Load().NextOffset(),
		HlcWallNs:    stamp.WallNs,
		HlcCounter:   stamp.Counter,
	}
}

// observeEnvelope updates the clock with the timestamp of a peer's message.
func (r *Router) observeEnvelope(e *peer.Envelope) {
	if e == nil {
		return
	}
	stamp := timeline.Stamp{WallNs: e.HlcWallNs, Counter: e.HlcCounter}
	if err := r.clock.Observe(stamp, time.Now()); err != nil {
		r.warn(partMember).Err(err).Str("peer", e.Vm).Msg("member: clock of a peer is refused")
	}
}

// readVMList reads the platform's VM list once.
func (r *Router) readVMList() {
	started := time.Now()
	list, err := r.vmList.Read(r.ctx)
	if err != nil {
		r.vmListReadable.Store(false)
		r.debug(partMember).Err(err).Msg("member: VM list is not readable")
		return
	}
	r.vmListReadable.Store(true)
	r.applyVMListAt(list, started)
}

// applyVMList applies a VM list as of now.
func (r *Router) applyVMList(list vmlist.List) {
	r.applyVMListAt(list, time.Now())
}

// applyVMListAt applies a VM list, whose read began at started, to the member table and the lease manager.
func (r *Router) applyVMListAt(list vmlist.List, started time.Time) {
	converted := member.List{AsOf: list.AsOf}
	ev := lease.Evidence{
		Kind:           lease.ListRead,
		At:             started,
		AsOf:           list.AsOf,
		LogUnreachable: !r.logReadable(),
	}
	for _, vm := range list.VMs {
		converted.VMs = append(converted.VMs, member.VM{
			Name:       vm.Name,
			DataCentre: vm.DataCentre,
			CallerAddr: vm.CallerAddress,
			PeerAddr:   vm.PeerAddress,
			State:      member.VMState(vm.State),
		})
		ev.Listed = append(ev.Listed, lease.ListedVM{VM: vm.Name, Address: vm.PeerAddress, Leaving: vm.State == vmlist.Leaving})
	}
	now := time.Now()
	r.members.do(func(t *member.Table) { t.ApplyList(converted, started, now) })
	r.observeLeaseEvidence(ev)
}

// peerAddresses returns the peer addresses of all other known VMs.
func (r *Router) peerAddresses() []string {
	now := time.Now()
	members := locked(&r.members, func(t *member.Table) []member.Member { return t.Members(now) })
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		if m.PeerAddr != "" {
			addresses = append(addresses, m.PeerAddr)
		}
	}
	return addresses
}

// peerAddress returns the peer address of a VM, or false if it is not known.
func (r *Router) peerAddress(vm string) (string, bool) {
	now := time.Now()
	members := locked(&r.members, func(t *member.Table) []member.Member { return t.Members(now) })
	i := slices.IndexFunc(members, func(m member.Member) bool { return m.Name == vm })
	if i < 0 || members[i].PeerAddr == "" {
		return "", false
	}
	return members[i].PeerAddr, true
}

// observeLogRead notes an answered read of the config stream.
func (r *Router) observeLogRead(started time.Time, atEnd bool) {
	r.recordLogAnswer()
	// Only what is in force counts as applied.
	next := r.state.Load().NextOffset()
	r.members.do(func(t *member.Table) {
		if atEnd {
			t.ObserveRead(started, next)
			return
		}
		t.ObserveConfig(next)
	})
}

// newHeartbeat returns the state of this VM for its peers.
func (r *Router) newHeartbeat() *peer.HeartbeatRequest {
	now := time.Now()
	state := r.state.Load()
	h := &peer.HeartbeatRequest{
		Envelope:       r.envelope(),
		DataCentre:     r.settings.DataCentre,
		Draining:       r.draining.Load(),
		LogReadable:    r.logReadable(),
		VmListReadable: r.vmListReadable.Load(),
		ConfigDigest:   state.Digest(),
	}
	r.members.do(func(t *member.Table) {
		h.Contact = t.Contact(now) == member.InContact
		h.Offsets = append(h.Offsets, &peer.StreamOffset{
			Stream:    logservice.StreamConfig,
			Next:      state.NextOffset(),
			ReadAgeMs: ageMillis(t.ContactAge(now)),
		})
	})
	r.leases.do(func(m *lease.Manager) {
		h.ClaimPending = m.ClaimPending()
		h.Offsets = append(h.Offsets, &peer.StreamOffset{
			Stream:    logservice.StreamControl,
			Next:      m.Next(),
			ReadAgeMs: r.controlReadAge(now),
		})
		for _, held := range m.Held(now) {
			h.Slots = append(h.Slots, held.Resource)
		}
	})
	r.limits.do(func(l *limit.Limiter) {
		for _, spare := range l.SpareTokens(now) {
			h.Spare = append(h.Spare, &peer.SpareTokens{Workspace: spare.Workspace, Tokens: spare.Tokens})
		}
	})
	h.Loads = r.endpointLoads()
	h.Accusations = r.knownAccusations()
	return h
}

// ageMillis returns an age in milliseconds, rounded up because an age that is too small would prove too much. It
// returns -1 for a negative age, which means never.
func ageMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

// sendHeartbeats starts the exchange of heartbeats with every other VM.
func (r *Router) sendHeartbeats() {
	state := r.newHeartbeat()
	for _, address := range r.peerAddresses() {
		r.spawn(func() { r.sendHeartbeat(address, state) })
	}
}

// sendHeartbeat sends a heartbeat to one peer and applies the answer.
func (r *Router) sendHeartbeat(address string, state *peer.HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(r.peers.Context(r.ctx), heartbeatTimeout)
	defer cancel()
	started := time.Now()
	count(metricHeartbeats, 1)
	resp, err := r.peers.At(address).Heartbeat(ctx, state)
	if err != nil {
		count(metricHeartbeatFails, 1)
		return
	}
	if resp.State == nil || resp.State.Envelope == nil {
		return
	}
	r.applyHeartbeat(resp.State, address, started, true)
}

// applyHeartbeat applies the state of a peer. If answer is set, the state answers a call of this VM and counts from the
// start of that call. A state that the peer pushed proves no contact.
func (r *Router) applyHeartbeat(h *peer.HeartbeatRequest, address string, started time.Time, answer bool) {
	r.observeEnvelope(h.Envelope)
	now := time.Now()
	converted := heartbeatFromWire(h, address)
	r.members.do(func(t *member.Table) {
		if answer {
			t.ApplyAnswer(converted, started, now)
			return
		}
		t.ApplyHeartbeat(converted, now)
	})
	r.limits.do(func(l *limit.Limiter) {
		spare := make([]limit.SpareTokens, 0, len(h.Spare))
		for _, s := range h.Spare {
			spare = append(spare, limit.SpareTokens{Workspace: s.Workspace, Tokens: s.Tokens})
		}
		l.SetHints(h.Envelope.Vm, spare, now)
	})
	r.mergeAccusations(h.Accusations)
	if answer {
		r.observePeerRead(converted, started)
	}
	if h.Envelope.ConfigOffset > r.state.Load().NextOffset() && !r.logReadable() {
		r.startCatchUp(address)
	}
}

// heartbeatFromWire converts a heartbeat from the peer protocol.
func heartbeatFromWire(h *peer.HeartbeatRequest, address string) *member.Heartbeat {
	out := &member.Heartbeat{
		VM:             h.Envelope.Vm,
		Incarnation:    h.Envelope.Incarnation,
		DataCentre:     h.DataCentre,
		PeerAddr:       address,
		Sent:           timeline.Stamp{WallNs: h.Envelope.HlcWallNs, Counter: h.Envelope.HlcCounter},
		ConfigNext:     h.Envelope.ConfigOffset,
		ConfigDigest:   h.ConfigDigest,
		Contact:        h.Contact,
		LogReadable:    h.LogReadable,
		VMListReadable: h.VmListReadable,
		ClaimPending:   h.ClaimPending,
		Draining:       h.Draining,
		Slots:          h.Slots,
	}
	for _, o := range h.Offsets {
		out.Offsets = append(out.Offsets, member.StreamOffset{
			Stream: o.Stream,
			Next:   o.Next,
			Age:    time.Duration(o.ReadAgeMs) * time.Millisecond,
		})
	}
	out.Loads = loadsFromWire(h.Loads, time.Now())
	return out
}

// startCatchUp starts to restore the newer configuration of a peer, for use while the log is not readable.
func (r *Router) startCatchUp(address string) {
	r.spawn(func() {
		state := r.fetchPeerState(r.ctx, address)
		if state == nil || len(state.Snapshot) == 0 {
			return
		}
		r.config.do(func(c *config.Replay) {
			if err := c.Restore(state.Snapshot); err != nil {
				r.handleRestoreError(err)
			}
		})
		r.publishState()
		next := r.state.Load().NextOffset()
		r.members.do(func(t *member.Table) { t.ObserveConfig(next) })
	})
}

// contactState returns the outcome of the isolation rule.
func (r *Router) contactState() member.Contact {
	now := time.Now()
	return locked(&r.members, func(t *member.Table) member.Contact { return t.Contact(now) })
}

// isolated reports whether this VM is isolated.
func (r *Router) isolated() bool {
	return r.contactState() == member.Isolated
}

// cancelIfIsolated cancels the running requests of a VM that has been isolated for too long, because it may have missed
// the withdrawal of their keys.
func (r *Router) cancelIfIsolated() {
	now := time.Now()
	mustClose := locked(&r.members, func(t *member.Table) bool { return t.MustCloseStreams(now) })
	if !mustClose {
		return
	}
	ended := r.requests.CancelWithdrawn(func(string) bool { return false })
	if ended > 0 {
		r.warn(partMember).Int("requests", ended).Msg("member: isolated, running requests ended")
	}
}
