package router

import (
	"context"
	"time"

	"github.com/corneldeal/corneldeal/pkg/caller"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/lease"
	"github.com/corneldeal/corneldeal/pkg/member"
	"github.com/corneldeal/corneldeal/pkg/once"
	"github.com/corneldeal/corneldeal/pkg/refusal"
	"github.com/corneldeal/corneldeal/pkg/timeline"
)

// exchangeHeartbeat exchanges a heartbeat with one peer. It returns the peer's state, or nil if there was no answer.
func (r *Router) exchangeHeartbeat(address string) *member.Heartbeat {
	ctx, cancel := context.WithTimeout(r.peers.Context(r.ctx), heartbeatTimeout)
	defer cancel()
	started := time.Now()
	resp, err := r.peers.At(address).Heartbeat(ctx, r.newHeartbeat())
	if err != nil || resp.State == nil || resp.State.Envelope == nil {
		return nil
	}
	r.applyHeartbeat(resp.State, address, started, true)
	return heartbeatFromWire(resp.State, address)
}

// exchangeHeartbeats exchanges one heartbeat with every known VM and waits for the answers.
func (r *Router) exchangeHeartbeats() {
	addresses := r.peerAddresses()
	done := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			r.exchangeHeartbeat(address)
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
}

// startLoops starts the background goroutines of the router.
func (r *Router) startLoops() {
	r.spawn(r.followConfig)
	r.spawn(r.followControl)
	for _, stream := range once.StreamNames() {
		r.spawn(func() { r.followIntents(stream) })
	}
	r.spawn(r.appendIntents)
	r.runEvery(vmListInterval, r.readVMList)
	r.runEvery(member.HeartbeatInterval, r.sendHeartbeats)
	r.runEvery(leasePlanInterval, r.planLeases)
	r.runEvery(slotUpdateInterval, r.updateHeldSlots)
	r.runEvery(vouchInterval, r.collectVouches)
	r.runEvery(isolationCheckInterval, r.cancelIfIsolated)
	r.runOnSignal(r.loadsChanged, loadUpdateInterval, r.sendLoads)
	r.runOnSignal(r.queueFilled, dispatchInterval, r.dispatch)
	r.runEvery(carryOverInterval, r.carryOverIntents)
	r.runEvery(snapshotCheckInterval, r.appendSnapshot)
	r.runEvery(orderPlanInterval, r.planOrders)
}

// snapshotDue reports whether the newest snapshot record is a quarter of the retention old, or no snapshot was seen for
// that long since this VM started.
func (r *Router) snapshotDue() bool {
	state := r.state.Load()
	if state.NextOffset() == 0 || !r.logReadable() {
		return false
	}
	quarter := time.Duration(state.Defaults().RetentionSeconds) * time.Second / 4
	snapshot := locked(&r.config, func(c *config.Replay) int64 { return c.LastCheckpoint() })
	now := time.Now()
	if snapshot != r.lastSnapshot.Swap(snapshot) {
		r.lastSnapshotSeen.store(now)
		return false
	}
	age, ok := r.lastSnapshotSeen.age(now)
	if !ok {
		r.lastSnapshotSeen.store(r.started)
		age = now.Sub(r.started)
	}
	if age < quarter {
		return false
	}
	r.lastSnapshotSeen.store(now)
	return true
}

// Models implements caller.Backend.
func (r *Router) Models(key string) ([]string, *refusal.Error) {
	state, ref := r.servingState()
	if ref != nil {
		return nil, ref
	}
	_, refused := keyIdentity(state, key)
	var names []string
	for _, route := range state.Routes() {
		if route.Kind != config.RouteChat || refused != nil && !route.Open {
			continue
		}
		names = append(names, route.CallerModel())
	}
	if refused != nil && len(names) == 0 {
		return nil, refused
	}
	return names, nil
}

// Ready implements caller.Backend.
func (r *Router) Ready() bool {
	if r.draining.Load() {
		return false
	}
	_, ref := r.servingState()
	return ref == nil
}

// Status implements caller.Backend.
func (r *Router) Status() caller.Status {
	now := time.Now()
	state := r.state.Load()
	s := caller.Status{
		VM:           r.settings.VM,
		DataCentre:   r.settings.DataCentre,
		Incarnation:  r.incarnation,
		Version:      Version,
		ConfigNext:   state.NextOffset(),
		ConfigDigest: state.Digest(),
		Contact:      r.contactState().String(),
		Draining:     r.draining.Load(),
		Ready:        r.Ready(),
		Running:      r.running.Load(),
		Slots:        []string{},
		LivePeers:    []string{},
	}
	r.members.do(func(t *member.Table) {
		for _, m := range t.Live(now) {
			s.LivePeers = append(s.LivePeers, m.Name)
		}
	})
	r.leases.do(func(m *lease.Manager) {
		for _, held := range m.Held(now) {
			s.Slots = append(s.Slots, held.Resource)
		}
	})
	return s
}

// recordDuration adds an event with a duration to the timeline.
func (r *Router) recordDuration(part, name, request, detail string, duration time.Duration) {
	r.events.Record(timeline.Event{Part: part, Name: name, Request: request, Detail: detail, Duration: duration}, time.Now())
}
