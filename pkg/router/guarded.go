package router

import (
	"sync"
	"sync/atomic"
	"time"
)

// guarded is a table with its mutex. The package comment gives the order in which tables are locked.
type guarded[T any] struct {
	mu    sync.Mutex
	table T
}

// do runs f with the table locked.
func (g *guarded[T]) do(f func(table T)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.table)
}

// locked runs f with the table locked and returns its result.
func locked[T, R any](g *guarded[T], f func(table T) R) R {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(g.table)
}

// atomicTime is a point in time shared by goroutines, or unset. It keeps the monotonic clock, because a step of the
// wall clock must not make old evidence look fresh. The zero value is unset.
type atomicTime struct {
	at atomic.Pointer[time.Time]
}

func (a *atomicTime) store(t time.Time) {
	a.at.Store(&t)
}

func (a *atomicTime) clear() {
	a.at.Store(nil)
}

// updateIfSet sets the time to t if it is set. An unset time stays unset.
func (a *atomicTime) updateIfSet(t time.Time) {
	if old := a.at.Load(); old != nil {
		a.at.CompareAndSwap(old, &t)
	}
}

// age returns the time elapsed since the stored time, or false if it is unset.
func (a *atomicTime) age(now time.Time) (time.Duration, bool) {
	t := a.at.Load()
	if t == nil {
		return 0, false
	}
	return now.Sub(*t), true
}
