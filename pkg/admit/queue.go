// Package admit decides when a request may leave the VM's queue, and refuses early what cannot be served in time.
//
// Each workspace has a bounded queue. A virtual token counter per workspace decides whose request is next: it
// grows with the tokens computed for the workspace, divided by its weight, and the lowest counter is served
// first. A workspace that sends several times its rate fills and delays only its own queue.
package admit

import (
	"slices"
	"time"

	"github.com/corneldeal/corneldeal/pkg/refusal"
)

// Item is one waiting request.
type Item struct {
	// ID identifies the request within the VM.
	ID uint64
	// Workspace is the workspace that pays for the request.
	Workspace string
	// Cost is the expected work in tokens: computed prompt tokens, output tokens and cached tokens at their
	// cheap price. See Cost.
	Cost int64
	// Deadline is the latest time of the first byte. Zero means none.
	Deadline time.Time
	// Service is the expected time from leaving the queue to the first byte.
	Service time.Duration
	// Pushed is set by Push.
	Pushed time.Time
}

// cachedPerComputed is the number of cached tokens that count as one computed token. Reading a cached block
// costs memory bandwidth and no prefill; the price keeps a workspace of pure cache hits from being free.
const cachedPerComputed = 10

// Cost returns the work of a request in tokens.
func Cost(computed, cached, output int64) int64 {
	return computed + output + (cached+cachedPerComputed-1)/cachedPerComputed
}

// Settings bound the queue. The zero value of a field means its default.
type Settings struct {
	// MaxPerWorkspace bounds the queue of one workspace. Default 256.
	MaxPerWorkspace int
	// MaxItems bounds the queues of all workspaces together. Default 4096.
	MaxItems int
}

const (
	defaultMaxPerWorkspace = 256
	defaultMaxItems        = 4096
	// A predicted wait must exceed the time left by this factor before a request is given up, since a wrong
	// refusal costs more than a late answer.
	giveUpFactor = 1.25
	// Bounds of the time to retry.
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
)

// HTTP status codes of refusals.
const (
	statusTooMany     = 429
	statusUnavailable = 503
)

// Queue holds the waiting requests of one VM. It is safe for one goroutine.
type Queue struct {
	settings Settings
	lines    map[string]*line
	weights  map[string]float64
	// virtual is the counter of the workspace served last, at the time it was served. A workspace that returns
	// from idling starts there, so that idle time gives no credit.
	virtual float64
	items   int
	drain   drain
}

// line is the queue of one workspace.
type line struct {
	name    string
	weight  float64
	counter float64
	items   []Item
	// tokens is the cost of all items.
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
		settings: settings,
		lines:    make(map[string]*line),
		weights:  make(map[string]float64),
	}
}

// SetWeights sets the share of each workspace, usually its token rate. A workspace that is not listed, or listed
// with a rate of zero or less, has the lowest weight of those listed, or 1.
func (q *Queue) SetWeights(rates map[string]int64) {
	q.weights = make(map[string]float64, len(rates))
	for name, rate := range rates {
		if rate > 0 {
			q.weights[name] = float64(rate)
		}
	}
	for name, l := range q.lines {
		q.reweigh(l, q.weight(name))
	}
}

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

// reweigh keeps the tokens that the workspace is ahead of or behind the virtual time.
func (q *Queue) reweigh(l *line, weight float64) {
	ahead := (l.counter - q.virtual) * l.weight
	l.weight = weight
	l.counter = q.virtual + ahead/weight
}

// Push queues a request. The error is a *refusal.Error: the queue is full, or the predicted wait does not meet
// the deadline. Its RetryAfter is the time after which the request is expected to fit.
func (q *Queue) Push(item Item, now time.Time) error {
	l := q.line(item.Workspace)
	wait := q.wait(l, l.tokens, now)
	if len(l.items) >= q.settings.MaxPerWorkspace || q.items >= q.settings.MaxItems {
		e := refusal.New(statusTooMany, refusal.CodeQueueFull, "the queue of workspace %s is full", l.name)
		return e.After(retryAfter(wait / 2))
	}
	if late := lateness(item, wait, now); late > 0 {
		return DeadlineRefusal(late)
	}
	if q.items == 0 {
		q.settle()
		q.drain.begin(now)
	}
	if len(l.items) == 0 {
		l.counter = max(l.counter, q.virtual)
	}
	item.Pushed = now
	l.items = append(l.items, item)
	l.tokens += item.Cost
	q.items++
	return nil
}

// settle lets all workspaces start equal after the queue was empty. Work done while nobody else waited took
// nothing from anyone and is no debt.
func (q *Queue) settle() {
	for _, l := range q.lines {
		q.virtual = max(q.virtual, l.counter)
	}
}

// Pop takes the next request: the oldest of the workspace with the lowest counter. The workspace is charged the
// request's cost at once; Charge corrects it later. The caller calls Pop only when an endpoint can take a
// request, so that waiting happens here and not in an endpoint's queue.
func (q *Queue) Pop(now time.Time) (Item, bool) {
	var next *line
	for _, l := range q.lines {
		if len(l.items) == 0 {
			continue
		}
		if next == nil || l.before(next) {
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
	q.virtual = max(q.virtual, next.counter)
	next.counter += float64(item.Cost) / next.weight
	if now.Sub(item.Pushed) >= drainMinWait {
		q.drain.served(item.Cost, now)
	}
	q.pause(now)
	return item, true
}

// before orders lines by counter, then by age of the first item, then by name.
func (l *line) before(other *line) bool {
	if l.counter != other.counter {
		return l.counter < other.counter
	}
	if !l.items[0].Pushed.Equal(other.items[0].Pushed) {
		return l.items[0].Pushed.Before(other.items[0].Pushed)
	}
	return l.name < other.name
}

// Charge corrects the charge of a request that was served: positive for work beyond its Cost, negative for work
// that was not done.
func (q *Queue) Charge(workspace string, tokens int64) {
	l := q.line(workspace)
	l.counter += float64(tokens) / l.weight
}

// Remove takes a request out of the queue, such as one whose caller left. It reports whether it was there.
func (q *Queue) Remove(workspace string, id uint64, now time.Time) bool {
	l := q.lines[workspace]
	if l == nil {
		return false
	}
	i := slices.IndexFunc(l.items, func(item Item) bool { return item.ID == id })
	if i < 0 {
		return false
	}
	q.removeAt(l, i)
	q.pause(now)
	return true
}

// pause stops the measurement of the service rate when nothing waits.
func (q *Queue) pause(now time.Time) {
	if q.items == 0 {
		q.drain.end(now)
	}
}

func (q *Queue) removeAt(l *line, i int) {
	l.tokens -= l.items[i].Cost
	l.items = slices.Delete(l.items, i, i+1)
	q.items--
}

// Expire removes and returns the requests that can no longer meet their deadline. Each gets its final answer at
// once, from DeadlineRefusal. It also forgets workspaces that are idle without debt.
func (q *Queue) Expire(now time.Time) []Item {
	var out []Item
	for _, name := range q.names() {
		l := q.lines[name]
		ahead := int64(0)
		for i := 0; i < len(l.items); {
			if lateness(l.items[i], q.wait(l, ahead, now), now) > 0 {
				out = append(out, l.items[i])
				q.removeAt(l, i)
				continue
			}
			ahead += l.items[i].Cost
			i++
		}
		if len(l.items) == 0 && l.counter <= q.virtual {
			delete(q.lines, name)
		}
	}
	q.pause(now)
	return out
}

// DeadlineRefusal returns the refusal of a request that would be late by the given time.
func DeadlineRefusal(late time.Duration) *refusal.Error {
	e := refusal.New(statusUnavailable, refusal.CodeDeadline, "the deadline cannot be met")
	return e.After(retryAfter(late))
}

// Wait returns the predicted time in the queue of a request that the workspace would push now. It is zero while
// nothing is known about the speed of service.
func (q *Queue) Wait(workspace string, now time.Time) time.Duration {
	l := q.lines[workspace]
	if l == nil {
		l = &line{name: workspace, weight: q.weight(workspace), counter: q.virtual}
	}
	return q.wait(l, l.tokens, now)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.items
}

// Waiting returns the number of waiting requests of a workspace.
func (q *Queue) Waiting(workspace string) int {
	if l := q.lines[workspace]; l != nil {
		return len(l.items)
	}
	return 0
}

func (q *Queue) line(name string) *line {
	l := q.lines[name]
	if l == nil {
		l = &line{name: name, weight: q.weight(name), counter: q.virtual}
		q.lines[name] = l
	}
	return l
}

func (q *Queue) names() []string {
	names := make([]string, 0, len(q.lines))
	for name := range q.lines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// wait predicts the time until an item of the line with ahead tokens in front of it in the same line is served.
// Until then every other line with a lower counter is served up to the counter at which the item's turn comes,
// as far as it has items.
func (q *Queue) wait(l *line, ahead int64, now time.Time) time.Duration {
	rate := q.drain.rate(now)
	if rate <= 0 {
		return 0
	}
	start := l.counter
	if len(l.items) == 0 {
		start = max(start, q.virtual)
	}
	turn := start + float64(ahead)/l.weight
	work := float64(ahead)
	for _, other := range q.lines {
		if other == l || other.tokens == 0 {
			continue
		}
		before := (turn - other.counter) * other.weight
		work += min(max(before, 0), float64(other.tokens))
	}
	return time.Duration(work / rate * float64(time.Second))
}

// lateness returns the time by which the item will miss its deadline, or zero when it may still meet it.
func lateness(item Item, wait time.Duration, now time.Time) time.Duration {
	if item.Deadline.IsZero() {
		return 0
	}
	left := item.Deadline.Sub(now) - item.Service
	if left <= 0 {
		return max(wait, minRetry)
	}
	if float64(wait) <= float64(left)*giveUpFactor {
		return 0
	}
	return wait - left
}

func retryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetry), maxRetry)
}
