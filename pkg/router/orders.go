package router

import (
	"time"

	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/engine"
	"github.com/corneldeal/corneldeal/pkg/lease"
	"github.com/corneldeal/corneldeal/pkg/order"
)

// orderEvery is the time between two plans of engine orders. Every VM plans, since the plan also chooses the version
// to route to; only the holder of the lease sends.
const orderEvery = 250 * time.Millisecond

// readyVersion returns the weight version that requests of the model go to.
func (r *Router) readyVersion(model config.Model) string {
	version := read(&r.orders, func(p *order.Planner) string { return p.ReadyVersion(model.Name) })
	if version == "" {
		return model.Version
	}
	return version
}

// planOrders sends the orders that are due.
func (r *Router) planOrders() {
	now := time.Now()
	right := r.orderRight(now)
	state := r.state.Load()
	observed := r.observedEngines()
	orders := read(&r.orders, func(p *order.Planner) []order.Order {
		p.SetRight(right)
		return p.Plan(order.State{Models: state.Models(), Endpoints: engineEndpoints(state)}, observed, now)
	})
	for _, o := range orders {
		r.loop(func() { r.sendOrder(o) })
	}
}

// orderRight returns the right to issue orders. A lease that was taken over is held only once the earlier holder's
// right has lapsed, so that from then on only its orders in transit are left.
func (r *Router) orderRight(now time.Time) order.Right {
	var right order.Right
	r.leases.do(func(m *lease.Manager) {
		if !m.MayAct(lease.ResourceOrders, now) {
			return
		}
		state, _ := m.State(lease.ResourceOrders)
		right = order.Right{Held: true, Fence: m.Fence(lease.ResourceOrders), Takeover: order.TakeoverReleased}
		if state.Epoch == 1 {
			right.Takeover = order.TakeoverFirst
		}
	})
	if !right.Held {
		return right
	}
	if right.Fence != r.orderFence.Swap(right.Fence) {
		r.orderSince.set(now)
	}
	age, _ := r.orderSince.age(now)
	right.Since = now.Add(-age)
	return right
}

func engineEndpoints(state *config.State) []config.Endpoint {
	var engines []config.Endpoint
	for _, e := range state.Endpoints() {
		if e.Kind == config.EndpointEngine {
			engines = append(engines, e)
		}
	}
	return engines
}

// observedEngines returns the newest reports of the engines.
func (r *Router) observedEngines() order.Observed {
	var observed order.Observed
	r.fleet.do(func(t *engineTable) {
		for name, info := range t.engines {
			if !info.known || info.plain {
				continue
			}
			reading := order.Reading{
				Endpoint:    name,
				Incarnation: info.state.Incarnation,
				LastFence:   info.state.Fence,
				ReadAt:      info.answered,
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

// sendOrder sends one order, after one more look at the lease.
func (r *Router) sendOrder(o order.Order) {
	holds := read(&r.leases, func(m *lease.Manager) bool {
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
