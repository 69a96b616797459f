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
	// dispatchInterval is the pause between two dispatch rounds while requests wait in the queues.
	dispatchInterval = 20 * time.Millisecond
	// engineQueueFactor is the number of admitted requests per engine slot. Above 1, a few requests wait in the engine,
	// so that it refills its batch without a gap.
	engineQueueFactor = 1.25
)

// admissionTable holds one queue per model, so that a saturated model does not hold back another.
type admissionTable struct {
	maxPerWorkspace int
	tokenRates      map[string]int64
	queues          map[string]*modelQueue
}

// modelQueue holds the queued requests of one model and counts those that left the queue.
type modelQueue struct {
	queue *admit.Queue
	// waiting holds, by request ID, the channel that receives the queue's decision. Nil admits the request.
	waiting map[uint64]chan *refusal.Error
	// running is the number of requests that left the queue and have not ended.
	running int
}

func newAdmissionTable(maxPerWorkspace int) *admissionTable {
	return &admissionTable{
		maxPerWorkspace: maxPerWorkspace,
		tokenRates:      map[string]int64{},
		queues:          map[string]*modelQueue{},
	}
}

// queueFor returns the queue of a model and creates it on first use.
func (t *admissionTable) queueFor(name string) *modelQueue {
	q, ok := t.queues[name]
	if !ok {
		q = &modelQueue{
			queue:   admit.New(admit.Settings{MaxPerWorkspace: t.maxPerWorkspace}),
			waiting: map[uint64]chan *refusal.Error{},
		}
		q.queue.SetWeights(t.tokenRates)
		t.queues[name] = q
	}
	return q
}

// setWeights sets the token rates of the workspaces as weights of every queue, including those created later.
func (t *admissionTable) setWeights(tokenRates map[string]int64) {
	t.tokenRates = tokenRates
	for _, q := range t.queues {
		q.queue.SetWeights(tokenRates)
	}
}

// admission is a request that left the queue and counts against the capacity of its model. The holder must call release
// exactly once.
type admission struct {
	r     *Router
	model string
}

// release ends the admission and dispatches waiting requests.
func (a admission) release() {
	a.r.queues.do(func(t *admissionTable) { t.queueFor(a.model).running-- })
	a.r.dispatch()
}

// awaitAdmission queues a request and blocks until it is admitted, refused or cancelled.
func (r *Router) awaitAdmission(ctx context.Context, model string, item admit.Item) (admission, *refusal.Error) {
	decision := make(chan *refusal.Error, 1)
	var pushErr error
	r.queues.do(func(t *admissionTable) {
		q := t.queueFor(model)
		if pushErr = q.queue.Push(item, time.Now()); pushErr == nil {
			q.waiting[item.ID] = decision
		}
	})
	if pushErr != nil {
		return admission{}, asRefusal(pushErr)
	}
	count(metricQueued, 1)
	r.dispatch()
	select {
	case ref := <-decision:
		return admission{r: r, model: model}, ref
	case <-ctx.Done():
	}
	removed := locked(&r.queues, func(t *admissionTable) bool {
		q := t.queueFor(model)
		delete(q.waiting, item.ID)
		return q.queue.Remove(item.Workspace, item.ID, time.Now())
	})
	if !removed {
		// The queue decided at the same moment. An admission must be released.
		if ref := <-decision; ref == nil {
			admission{r: r, model: model}.release()
		}
	}
	return admission{}, cancelRefusal(ctx)
}

// asRefusal returns err itself if it is a refusal, and otherwise a refusal with CodeOverloaded.
func asRefusal(err error) *refusal.Error {
	if ref, ok := err.(*refusal.Error); ok {
		return ref
	}
	return refusal.New(statusUnavailable, refusal.CodeOverloaded, "%v", err)
}

// dispatch admits queued requests while engines have capacity, and refuses those that can no longer meet their
// deadline.
func (r *Router) dispatch() {
	models := locked(&r.queues, func(t *admissionTable) []string {
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

// dispatchModel dispatches the queue of one model.
func (r *Router) dispatchModel(model string) {
	capacity := r.modelCapacity(model)
	now := time.Now()
	r.queues.do(func(t *admissionTable) {
		q := t.queueFor(model)
		for _, item := range q.queue.Expire(now) {
			q.notify(item.ID, admit.DeadlineRefusal(time.Second))
		}
		for q.running < capacity {
			item, ok := q.queue.Pop(now)
			if !ok {
				return
			}
			q.running++
			q.notify(item.ID, nil)
		}
	})
}

// notify sends the queue's decision to a waiting request. A nil ref admits it.
func (q *modelQueue) notify(id uint64, ref *refusal.Error) {
	if ch, ok := q.waiting[id]; ok {
		delete(q.waiting, id)
		ch <- ref
	}
}

// modelCapacity returns the number of requests of the model that this VM may have on engines: the slots that peers
// leave free, but at least an even share of all slots.
func (r *Router) modelCapacity(model string) int {
	endpoints := r.state.Load().ModelEndpoints(model)
	now := time.Now()
	slots, upEngines := 0, 0
	r.engineInfos.do(func(t *engineTable) {
		for _, e := range endpoints {
			info, ok := t.engines[e.Name]
			if e.Leaving || !ok || info.down || !info.hasAnswered {
				continue
			}
			slots += e.MaxRunning
			upEngines++
		}
	})
	peerInFlight, vms := 0, 1
	r.members.do(func(t *member.Table) {
		vms += len(t.Live(now))
		for _, e := range endpoints {
			peerInFlight += t.InFlight(e.Name, now)
		}
	})
	total := int(float64(slots) * engineQueueFactor)
	// The minimum of 1 lets a request leave the queue when no engine is live. Placement then refuses it at once.
	return max(total-peerInFlight, total/vms, 1)
}

// queueItem returns the queue entry of a request.
func queueItem(id uint64, workspace config.Workspace, cost int64, deadline time.Time) admit.Item {
	return admit.Item{ID: id, Workspace: workspace.Name, Cost: cost, Deadline: deadline}
}
