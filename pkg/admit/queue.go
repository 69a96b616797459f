// Package admit queues requests per workspace, decides which may be sent next, and refuses early what cannot be served
// in time.
//
// Each workspace has a bounded queue. A virtual token counter per workspace selects the next request: it grows with the
// tokens computed for the workspace, divided by its weight, and the workspace with the lowest counter is served first.
// A workspace that sends several times its rate fills and delays only its own queue.
package admit

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// Item is a queued request.
type Item struct {
	// ID identifies the request within the VM.
	ID uint64
	// Workspace is the workspace that pays for the request.
	Workspace string
	// Cost is the expected work in tokens, as returned by the function Cost.
	Cost int64
	// Deadline is the latest time for the first byte of the answer. Zero means none.
	Deadline time.Time
	// ServiceTime is the expected time from leaving the queue to the first byte.
	ServiceTime time.Duration
	// PushedAt is the time at which the request was queued. Push sets it.
	PushedAt time.Time
}

// cachedPerComputed is the number of cached tokens that count as one computed token. Reading a cached block costs
// memory bandwidth and no prefill; the charge keeps a workspace with only cache hits from being free.
const cachedPerComputed = 10

// Cost returns the work of a request, in tokens, from its computed prompt tokens, its cached prompt tokens at their
// lower price and its output tokens.
func Cost(computed, cached, output int64) int64 {
	return computed + output + (cached+cachedPerComputed-1)/cachedPerComputed
}

// Settings holds the bounds of a Queue. A field that is zero or negative means its default.
type Settings struct {
	// MaxPerWorkspace is the largest number of queued requests of one workspace. Default 256.
	MaxPerWorkspace int
	// MaxItems is the largest number of queued requests of all workspaces together. Default 4096.
	MaxItems int
}

const (
	defaultMaxPerWorkspace = 256
	defaultMaxItems        = 4096
	// refuseFactor is the factor by which the predicted wait must exceed the remaining time before a request is
	// refused, since a wrong refusal costs more than a late answer.
	refuseFactor = 1.25
	// minRetryAfter and maxRetryAfter bound the RetryAfter of refusals.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// HTTP status codes of refusals.
const (
	statusTooMany     = 429
	statusUnavailable = 503
)

// Queue holds the queued requests of one VM. It is not safe for concurrent use.
type Queue struct {
	settings   Settings
	workspaces map[string]*workspaceQueue
	weights    map[string]float64
	// virtualTime is the counter of the workspace served last, at the time it was served. A workspace that returns from
	// idling starts there, so that idle time gives no credit.
	virtualTime float64
	items       int
	serviceRate serviceRate
}

// workspaceQueue is the queue of one workspace, oldest request first.
type workspaceQueue struct {
	name    string
	weight  float64
	counter float64
	items   []Item
	// tokens is the sum of the costs of all items.
	tokens int64
}

// New returns an empty queue.
func New(settings Settings) *Queue {
	if settings.MaxPerWorkspace <= 0 {
		settings.MaxPerWorkspace = defaultMaxPerWorkspace
	}
	if settings.MaxItems <= 0 {
		settings.MaxItems = defaultMaxItems
	}
	return &Queue{
		settings:   settings,
		workspaces: make(map[string]*workspaceQueue),
		weights:    make(map[string]float64),
	}
}

// SetWeights sets the relative share of each workspace, usually its token rate. A workspace that is not listed, or
// listed with a rate of zero or less, has the lowest weight of those listed, or 1.
func (q *Queue) SetWeights(rates map[string]int64) {
	q.weights = make(map[string]float64, len(rates))
	for name, rate := range rates {
		if rate > 0 {
			q.weights[name] = float64(rate)
		}
	}
	for name, l := range q.workspaces {
		q.setWeight(l, q.weight(name))
	}
}

// weight returns the weight of a workspace, listed or not.
func (q *Queue) weight(name string) float64 {
	if w, ok := q.weights[name]; ok {
		return w
	}
	lowest := 0.0
	for _, w := range q.weights {
		if lowest == 0 || w < lowest {
			lowest = w
		}
	}
	if lowest == 0 {
		return 1
	}
	return lowest
}

// setWeight changes the weight of a workspace and keeps the number of tokens by which it is ahead of or behind the
// virtual time.
func (q *Queue) setWeight(l *workspaceQueue, weight float64) {
	ahead := (l.counter - q.virtualTime) * l.weight
	l.weight = weight
	l.counter = q.virtualTime + ahead/weight
}

// Push queues a request. Its error is a *refusal.Error, returned if the queue is full or if the predicted wait exceeds
// the deadline. RetryAfter is the time after which the request is expected to be accepted.
func (q *Queue) Push(item Item, now time.Time) error {
	l := q.workspaceQueue(item.Workspace)
	predictedWait := q.predictedWait(l, l.tokens, now)
	if len(l.items) >= q.settings.MaxPerWorkspace || q.items >= q.settings.MaxItems {
		e := refusal.New(statusTooMany, refusal.CodeQueueFull, "the queue of workspace %s is full", l.name)
		return e.WithRetryAfter(retryAfter(predictedWait / 2))
	}
	if late := lateness(item, predictedWait, now); late > 0 {
		return DeadlineRefusal(late)
	}
	if q.items == 0 {
		q.raiseVirtualTime()
		q.serviceRate.start(now)
	}
	if len(l.items) == 0 {
		l.counter = max(l.counter, q.virtualTime)
	}
	item.PushedAt = now
	l.items = append(l.items, item)
	l.tokens += item.Cost
	q.items++
	return nil
}

// raiseVirtualTime raises the virtual time to the highest counter, so that all workspaces start equal after the queue
// was empty. Work done while no other workspace waited delayed none of them and is not charged.
func (q *Queue) raiseVirtualTime() {
	for _, l := range q.workspaces {
		q.virtualTime = max(q.virtualTime, l.counter)
	}
}

// Pop removes and returns the next request: the oldest of the workspace with the lowest counter. It charges the
// workspace the request's cost, which Charge corrects later. Call Pop only when an endpoint can take a request, so that
// requests wait in this queue and not in that of an endpoint.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	var next *workspaceQueue
	for _, l := range q.workspaces {
		if len(l.items) == 0 {
			continue
		}
		if next == nil || l.servedBefore(next) {
			next = l
		}
	}
	if next == nil {
		return Item{}, false
	}
	item := next.items[0]
	next.items = slices.Delete(next.items, 0, 1)
	next.tokens -= item.Cost
	q.items--
	q.virtualTime = max(q.virtualTime, next.counter)
	next.counter += float64(item.Cost) / next.weight
	if now.Sub(item.PushedAt) >= minRateWait {
		q.serviceRate.served(item.Cost, now)
	}
	q.stopIfEmpty(now)
	return item, true
}

// servedBefore orders workspaces by counter, then by the age of the oldest request, then by name.
func (l *workspaceQueue) servedBefore(other *workspaceQueue) bool {
	if l.counter != other.counter {
		return l.counter < other.counter
	}
	if !l.items[0].PushedAt.Equal(other.items[0].PushedAt) {
		return l.items[0].PushedAt.Before(other.items[0].PushedAt)
	}
	return l.name < other.name
}

// Charge corrects the charge of a served request. Positive tokens are work beyond its Cost, negative tokens work that
// was not done.
func (q *Queue) Charge(workspace string, tokens int64) {
	l := q.workspaceQueue(workspace)
	l.counter += float64(tokens) / l.weight
}

// Remove takes a request out of the queue, for instance because its caller left. It reports whether the request was
// queued.
func (q *Queue) Remove(workspace string, id uint64, now time.Time) bool {
	l := q.workspaces[workspace]
	if l == nil {
		return false
	}
	i := slices.IndexFunc(l.items, func(item Item) bool { return item.ID == id })
	if i < 0 {
		return false
	}
	q.removeAt(l, i)
	q.stopIfEmpty(now)
	return true
}

// stopIfEmpty stops the measurement of the service rate when the queue is empty.
func (q *Queue) stopIfEmpty(now time.Time) {
	if q.items == 0 {
		q.serviceRate.stop(now)
	}
}

// removeAt removes the i-th request of a workspace.
func (q *Queue) removeAt(l *workspaceQueue, i int) {
	l.tokens -= l.items[i].Cost
	l.items = slices.Delete(l.items, i, i+1)
	q.items--
}

// Expire removes and returns the requests that can no longer meet their deadline. The caller answers them with
// DeadlineRefusal. Expire also drops workspaces that are idle and not ahead of the virtual time.
func (q *Queue) Expire(now time.Time) []Item {
	var out []Item
	for _, name := range q.names() {
		l := q.workspaces[name]
		ahead := int64(0)
		for i := 0; i < len(l.items); {
			if lateness(l.items[i], q.predictedWait(l, ahead, now), now) > 0 {
				out = append(out, l.items[i])
				q.removeAt(l, i)
				continue
			}
			ahead += l.items[i].Cost
			i++
		}
		if len(l.items) == 0 && l.counter <= q.virtualTime {
			delete(q.workspaces, name)
		}
	}
	q.stopIfEmpty(now)
	return out
}

// DeadlineRefusal returns the refusal of a request that would miss its deadline by the time late.
func DeadlineRefusal(late time.Duration) *refusal.Error {
	e := refusal.New(statusUnavailable, refusal.CodeDeadline, "the deadline cannot be met")
	return e.WithRetryAfter(retryAfter(late))
}

// Wait returns the predicted queueing time of a request that the workspace would push now. It is zero while the service
// rate is not known.
func (q *Queue) Wait(workspace string, now time.Time) time.Duration {
	l := q.workspaces[workspace]
	if l == nil {
		l = &workspaceQueue{name: workspace, weight: q.weight(workspace), counter: q.virtualTime}
	}
	return q.predictedWait(l, l.tokens, now)
}

// Len returns the number of queued requests.
func (q *Queue) Len() int {
	return q.items
}

// Waiting returns the number of queued requests of a workspace.
func (q *Queue) Waiting(workspace string) int {
	if l := q.workspaces[workspace]; l != nil {
		return len(l.items)
	}
	return 0
}

// workspaceQueue returns the queue of a workspace and creates it if needed.
func (q *Queue) workspaceQueue(name string) *workspaceQueue {
	l := q.workspaces[name]
	if l == nil {
		l = &workspaceQueue{name: name, weight: q.weight(name), counter: q.virtualTime}
		q.workspaces[name] = l
	}
	return l
}

// names returns the names of the workspaces with a queue, sorted.
func (q *Queue) names() []string {
	names := make([]string, 0, len(q.workspaces))
	for name := range q.workspaces {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// predictedWait returns the predicted time until an item of workspace queue l is served that has the given number of
// tokens ahead of it in the same queue. Until then, every other workspace with a lower counter is served up to the
// counter at which the item's turn comes, as far as it has items.
func (q *Queue) predictedWait(l *workspaceQueue, ahead int64, now time.Time) time.Duration {
	rate := q.serviceRate.rate(now)
	if rate <= 0 {
		return 0
	}
	start := l.counter
	if len(l.items) == 0 {
		start = max(start, q.virtualTime)
	}
	turn := start + float64(ahead)/l.weight
	work := float64(ahead)
	for _, other := range q.workspaces {
		if other == l || other.tokens == 0 {
			continue
		}
		before := (turn - other.counter) * other.weight
		work += min(max(before, 0), float64(other.tokens))
	}
	return time.Duration(work / rate * float64(time.Second))
}

// lateness returns the time by which the item would miss its deadline after the predicted wait, or zero if it may still
// meet it.
func lateness(item Item, wait time.Duration, now time.Time) time.Duration {
	if item.Deadline.IsZero() {
		return 0
	}
	left := item.Deadline.Sub(now) - item.ServiceTime
	if left <= 0 {
		return max(wait, minRetryAfter)
	}
	if float64(wait) <= float64(left)*refuseFactor {
		return 0
	}
	return wait - left
}

// retryAfter limits a time to the range from minRetryAfter to maxRetryAfter.
func retryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
