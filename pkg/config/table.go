package config

import (
	"maps"
	"slices"
	"sync"
)

// entry is one item of the current configuration.
type entry[T any] struct {
	// item is the item as published. It is part of the digest.
	item T
	// withDefaults is the item with defaults filled in.
	withDefaults T
	// offset is the offset of the note that last added or changed the item.
	offset int64
}

// table holds the items of one kind. It must not be modified once a State refers to it.
type table[T any] struct {
	entries map[string]*entry[T]
	names   func() []string
	sorted  func() []T
}

// newTable returns a table over entries. The sorted views are computed on first use, because most states of a replay
// are never read.
func newTable[T any](entries map[string]*entry[T]) *table[T] {
	t := &table[T]{entries: entries}
	t.names = sync.OnceValue(func() []string {
		return slices.Sorted(maps.Keys(entries))
	})
	t.sorted = sync.OnceValue(func() []T {
		list := make([]T, 0, len(entries))
		for _, name := range t.names() {
			list = append(list, entries[name].withDefaults)
		}
		return list
	})
	return t
}

func (t *table[T]) has(name string) bool {
	_, ok := t.entries[name]
	return ok
}

// lookup returns the named item with defaults filled in.
func (t *table[T]) lookup(name string) (T, bool) {
	e, ok := t.entries[name]
	if !ok {
		var zero T
		return zero, false
	}
	return e.withDefaults, true
}
