package router

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/engine"
	"github.com/corneldeal/corneldeal/pkg/lease"
	"github.com/corneldeal/corneldeal/pkg/order"
)

// orderPlanInterval is the time between two plans of engine orders. Every VM plans, because the plan also selects the
// version to route to. Only the holder of the lease sends orders.
const orderPlanInterval = 250 * time.Millisecond

// readyVersion returns the weight version to which requests of the model are routed.
func (r *Router) readyVersion(model config.Model) string {
	version := locked(&r.orders, func(p *order.Planner) string { return p.ReadyVersion(model.Name) })
	if version == "" {
		return model.Version
	}
	return version
}

// planOrders plans engine orders and starts sending those that are due.
func (r *Router) planOrders() {
	now := time.Now()
	right := r.orderRight(now)
	state := r.state.Load()
	observed := r.observedEngines()
	orders := locked(&r.orders, func(p *order.Planner) []order.Order {
		p.SetLease(right)
		return p.Plan(order.Config{Models: state.Models(), Endpoints: engineEndpoints(state)}, observed, now)
	})
	for _, o := range orders {
		r.spawn(func() { r.sendOrder(o) })
	}
}

// orderRight returns the right of this VM to issue orders. A lease that was taken over is held only once the right of
// the previous holder has lapsed, so that from then on only its orders in transit are left.
func (r *Router) orderRight(now time.Time) order.IssuerLease {
	var right order.IssuerLease
	r.leases.do(func(m *lease.Manager) {
		if !m.MayAct(lease.ResourceOrders, now) {
			return
		}
		state, _ := m.State(lease.ResourceOrders)
		right = order.IssuerLease{Held: true, Fence: m.Fence(lease.ResourceOrders), Takeover: order.TakeoverReleased}
		if state.Epoch == 1 {
			right.Takeover = order.TakeoverFirst
		}
	})
	if !right.Held {
		return right
	}
	if right.Fence != r.orderFence.Swap(right.Fence) {
		r.orderSince.store(now)
	}
	age, _ := r.orderSince.age(now)
	right.Since = now.Add(-age)
	return right
}

// engineEndpoints returns the endpoints that are engines.
func engineEndpoints(state *config.State) []config.Endpoint {
	var engines []config.Endpoint
	for _, e := range state.Endpoints() {
		if e.Kind == config.EndpointEngine {
			engines = append(engines, e)
		}
	}
	return engines
}

// observedEngines returns the newest state reports of the engines.
func (r *Router) observedEngines() order.Readings {
	var observed order.Readings
	r.engineInfos.do(func(t *engineTable) {
		for name, info := range t.engines {
			if !info.hasAnswered || info.noStateReport {
				continue
			}
			reading := order.Reading{
				Endpoint:    name,
				Incarnation: info.state.Incarnation,
				LastFence:   info.state.Fence,
				ReadAt:      info.lastAnswered,
			}
			for _, v := range info.state.Versions {
				if v.State == engine.StateReady {
					reading.Loaded = append(reading.Loaded, order.Loaded{Model: v.Model, Version: v.Version})
				}
			}
			observed = append(observed, reading)
		}
	})
	return observed
}

// sendOrder sends one order if this VM still holds the lease with the fence of the order.
func (r *Router) sendOrder(o order.Order) {
	holds := locked(&r.leases, func(m *lease.Manager) bool {
		return m.MayAct(lease.ResourceOrders, time.Now()) && m.Fence(lease.ResourceOrders) == o.Fence
	})
	if !holds {
		return
	}
	count(metricOrders, 1)
	r.record(partOrder, string(o.Kind), "", o.Endpoint+" "+o.Model+"@"+o.Version)
	err := r.engines.Order(r.ctx, o.Address, engine.Order{
		Fence:   o.Fence,
		Kind:    string(o.Kind),
		Model:   o.Model,
		Version: o.Version,
	})
	outcome := orderOutcome(err)
	r.info(partOrder).Err(err).Str("endpoint", o.Endpoint).Str("kind", string(o.Kind)).Str("version", o.Version).Msg("order: order sent")
	r.orders.do(func(p *order.Planner) { p.Reply(o, outcome, time.Now()) })
}

// orderOutcome returns the outcome of an order from the error of its call.
func orderOutcome(err error) order.Outcome {
	switch {
	case err == nil:
		return order.OutcomeAccepted
	case isStatus(err, statusConflict):
		return order.OutcomeStale
	case engine.IsRejected(err):
		return order.OutcomeFailed
	}
	return order.OutcomeLost
}
