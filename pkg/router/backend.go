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

// askHeartbeat exchanges a heartbeat with one peer and returns its state, or nil.
func (r *Router) askHeartbeat(address string) *member.Heartbeat {
	ctx, cancel := context.WithTimeout(r.peers.Context(r.ctx), heartbeatTimeout)
	defer cancel()
	started := time.Now()
	resp, err := r.peers.At(address).Heartbeat(ctx, r.heartbeatState())
	if err != nil || resp.State == nil || resp.State.Envelope == nil {
		return nil
	}
	r.applyHeartbeat(resp.State, address, started, true)
	return memberHeartbeat(resp.State, address)
}

// greetPeers exchanges one heartbeat with every known VM and waits for the answers.
func (r *Router) greetPeers() {
	addresses := r.peerAddresses()
	done := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			r.askHeartbeat(address)
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
}

// startLoops starts everything that runs beside requests.
func (r *Router) startLoops() {
	r.loop(r.followConfig)
	r.loop(r.followControl)
	for _, stream := range once.StreamNames() {
		r.loop(func() { r.followIntents(stream) })
	}
	r.loop(r.appendIntents)
	r.every(vmListEvery, r.readVMList)
	r.every(member.HeartbeatInterval, r.sendHeartbeats)
	r.every(planEvery, r.planLeases)
	r.every(holdEvery, r.holdSlots)
	r.every(vouchEvery, r.vouchRound)
	r.every(isolationCheck, r.watchIsolation)
	r.onSignal(r.loadsChanged, loadUpdateEvery, r.sendLoads)
	r.onSignal(r.queueFilled, queueTick, r.dispatch)
	r.every(carryEvery, r.carryIntents)
	r.every(snapshotCheck, r.appendSnapshot)
	r.every(orderEvery, r.planOrders)
}

// snapshotDue tells whether the newest snapshot record is a quarter of the retention old, or was not seen for that
// long since this VM started.
func (r *Router) snapshotDue() bool {
	state := r.state.Load()
	if state.NextOffset() == 0 || !r.logReadable() {
		return false
	}
	quarter := time.Duration(state.Defaults().RetentionSeconds) * time.Second / 4
	tick := read(&r.config, func(c *config.Replay) int64 { return c.LastTick() })
	now := time.Now()
	if tick != r.snapshotTick.Swap(tick) {
		r.snapshotSeen.set(now)
		return false
	}
	age, ok := r.snapshotSeen.age(now)
	if !ok {
		r.snapshotSeen.set(r.started)
		age = now.Sub(r.started)
	}
	if age < quarter {
		return false
	}
	r.snapshotSeen.set(now)
	return true
}

// Models implements caller.Backend.
func (r *Router) Models(key string) ([]string, *refusal.Error) {
	state, ref := r.gate()
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
	_, ref := r.gate()
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
		Contact:      r.contact().String(),
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

// recordTook adds an event with a duration to the timeline.
func (r *Router) recordTook(part, name, request, detail string, took time.Duration) {
	r.events.Record(timeline.Event{Part: part, Name: name, Request: request, Detail: detail, Duration: took}, time.Now())
}
