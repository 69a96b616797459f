package router

import (
	"context"
	"time"

	"github.com/corneldeal/corneldeal/pkg/admit"
	"github.com/corneldeal/corneldeal/pkg/config"
	"github.com/corneldeal/corneldeal/pkg/member"
	"github.com/corneldeal/corneldeal/pkg/refusal"
)

const (
	// queueTick is the time between two looks at the queues.
	queueTick = 20 * time.Millisecond
	// engineQueueFactor lets a few requests wait in an engine, so that its batch is refilled without a gap.
	engineQueueFactor = 1.25
)

// admissionTable holds one queue per model, so that a saturated model does not hold back another.
type admissionTable struct {
	perWorkspace int
	rates        map[string]int64
	queues       map[string]*modelQueue
}

// modelQueue is the queue of one model with the requests that left it.
type modelQueue struct {
	queue   *admit.Queue
	waiting map[uint64]chan *refusal.Error
	// running is the number of requests that left the queue and have not ended.
	running int
}

func newAdmissionTable(perWorkspace int) *admissionTable {
	return &admissionTable{
		perWorkspace: perWorkspace,
		rates:        map[string]int64{},
		queues:       map[string]*modelQueue{},
	}
}

func (t *admissionTable) model(name string) *modelQueue {
	q, ok := t.queues[name]
	if !ok {
		q = &modelQueue{
			queue:   admit.New(admit.Settings{MaxPerWorkspace: t.perWorkspace}),
			waiting: map[uint64]chan *refusal.Error{},
		}
		q.queue.SetWeights(t.rates)
		t.queues[name] = q
	}
	return q
}

func (t *admissionTable) setWeights(rates map[string]int64) {
	t.rates = rates
	for _, q := range t.queues {
		q.queue.SetWeights(rates)
	}
}

// admission is a request that left the queue. release must be called once.
type admission struct {
	r     *Router
	model string
}

func (a admission) release() {
	a.r.queues.do(func(t *admissionTable) { t.model(a.model).running-- })
	a.r.dispatch()
}

// enter queues a request and waits for its turn.
func (r *Router) enter(ctx context.Context, model string, item admit.Item) (admission, *refusal.Error) {
	granted := make(chan *refusal.Error, 1)
	var pushed error
	r.queues.do(func(t *admissionTable) {
		q := t.model(model)
		if pushed = q.queue.Push(item, time.Now()); pushed == nil {
			q.waiting[item.ID] = granted
		}
	})
	if pushed != nil {
		return admission{}, asRefusal(pushed)
	}
	count(metricQueued, 1)
	r.dispatch()
	select {
	case ref := <-granted:
		return admission{r: r, model: model}, ref
	case <-ctx.Done():
	}
	left := read(&r.queues, func(t *admissionTable) bool {
		q := t.model(model)
		delete(q.waiting, item.ID)
		return q.queue.Remove(item.Workspace, item.ID, time.Now())
	})
	if !left {
		// The turn came at the same moment.
		if ref := <-granted; ref == nil {
			admission{r: r, model: model}.release()
		}
	}
	return admission{}, endCause(ctx)
}

func asRefusal(err error) *refusal.Error {
	if ref, ok := err.(*refusal.Error); ok {
		return ref
	}
	return refusal.New(statusUnavailable, refusal.CodeOverloaded, "%v", err)
}

// dispatch lets requests out of the queues while engines have room, and refuses those that cannot meet their
// deadline any more.
func (r *Router) dispatch() {
	models := read(&r.queues, func(t *admissionTable) []string {
		var names []string
		for name, q := range t.queues {
			if q.queue.Len() > 0 {
				names = append(names, name)
			}
		}
		return names
	})
	for _, model := range models {
		r.dispatchModel(model)
	}
	if len(models) > 0 {
		wake(r.queueFilled)
	}
}

func (r *Router) dispatchModel(model string) {
	room := r.capacity(model)
	now := time.Now()
	r.queues.do(func(t *admissionTable) {
		q := t.model(model)
		for _, item := range q.queue.Expire(now) {
			q.grant(item.ID, admit.DeadlineRefusal(time.Second))
		}
		for q.running < room {
			item, ok := q.queue.Pop(now)
			if !ok {
				return
			}
			q.running++
			q.grant(item.ID, nil)
		}
	})
}

func (q *modelQueue) grant(id uint64, ref *refusal.Error) {
	if ch, ok := q.waiting[id]; ok {
		delete(q.waiting, id)
		ch <- ref
	}
}

// capacity is the number of requests of the model that this VM may have on engines: what the peers leave free, and
// at least its even share.
func (r *Router) capacity(model string) int {
	endpoints := r.state.Load().ModelEndpoints(model)
	now := time.Now()
	slots, up := 0, 0
	r.fleet.do(func(t *engineTable) {
		for _, e := range endpoints {
			info, ok := t.engines[e.Name]
			if e.Leaving || !ok || info.down || !info.known {
				continue
			}
			slots += e.MaxRunning
			up++
		}
	})
	peers, vms := 0, 1
	r.members.do(func(t *member.Table) {
		vms += len(t.Live(now))
		for _, e := range endpoints {
			peers += t.InFlight(e.Name, now)
		}
	})
	total := int(float64(slots) * engineQueueFactor)
	// Without a live engine the request leaves the queue and is refused at once by placement.
	return max(total-peers, total/vms, 1)
}

// queueItem describes a request to the queue.
func queueItem(id uint64, workspace config.Workspace, cost int64, deadline time.Time) admit.Item {
	return admit.Item{ID: id, Workspace: workspace.Name, Cost: cost, Deadline: deadline}
}
