package router

import "sync"

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
