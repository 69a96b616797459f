package router

import (
	"sync"
	"sync/atomic"
	"time"
)

// guarded is a table with its mutex. The order in which several are locked stands in the package comment.
type guarded[T any] struct {
	mu    sync.Mutex
	table T
}

// do runs f while the table is locked.
func (g *guarded[T]) do(f func(table T)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.table)
}

// read returns what f computes while the table is locked.
func read[T, R any](g *guarded[T], f func(table T) R) R {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(g.table)
}

// instant is a point in time that goroutines share. It keeps the monotonic clock, because a step of the wall
// clock must not make old evidence look fresh.
type instant struct {
	at atomic.Pointer[time.Time]
}

func (i *instant) set(t time.Time) {
	i.at.Store(&t)
}

func (i *instant) clear() {
	i.at.Store(nil)
}

// restart moves an instant that is set to a later time. One that was never set or was cleared stays so.
func (i *instant) restart(t time.Time) {
	if old := i.at.Load(); old != nil {
		i.at.CompareAndSwap(old, &t)
	}
}

// age returns the time since the instant, or false where it was never set.
func (i *instant) age(now time.Time) (time.Duration, bool) {
	t := i.at.Load()
	if t == nil {
		return 0, false
	}
	return now.Sub(*t), true
}
