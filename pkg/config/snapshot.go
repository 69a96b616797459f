package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// snapshotFormat is the version of the canonical encoding. A snapshot of another version is refused and not compared.
const snapshotFormat = 1

// snapshot is the content of a snapshot record.
type snapshot struct {
	Format int          `json:"format"`
	Digest string       `json:"digest"`
	State  snapshotBody `json:"state"`
}

// snapshotBody is the canonical encoding of a state: fields in this order, lists in order of name or offset.
type snapshotBody struct {
	NextOffset     int64                      `json:"next"`
	OldestRetained int64                      `json:"floor"`
	Checkpoints    []int64                    `json:"marks"`
	Workspaces     []versionedItem[Workspace] `json:"workspaces"`
	Keys           []versionedItem[Key]       `json:"keys"`
	Models         []versionedItem[Model]     `json:"models"`
	Routes         []versionedItem[Route]     `json:"routes"`
	Endpoints      []versionedItem[Endpoint]  `json:"endpoints"`
	Defaults       []versionedItem[Defaults]  `json:"defaults"`
	Withdrawals    []withdrawal               `json:"withdrawals"`
	Verdicts       []Verdict                  `json:"verdicts"`
}

// versionedItem is an item with the offset of its last change.
type versionedItem[T any] struct {
	Offset int64 `json:"offset"`
	Item   T     `json:"item"`
}

// newSnapshotBody returns the canonical encoding of a state.
func newSnapshotBody(s *State) snapshotBody {
	return snapshotBody{
		NextOffset:     s.nextOffset,
		OldestRetained: s.oldestRetained,
		Checkpoints:    orEmpty(s.checkpoints),
		Workspaces:     versionedItems(s.workspaces),
		Keys:           versionedItems(s.keys),
		Models:         versionedItems(s.models),
		Routes:         versionedItems(s.routes),
		Endpoints:      versionedItems(s.endpoints),
		Defaults:       versionedItems(s.defaults),
		Withdrawals:    orEmpty(s.withdrawals),
		Verdicts:       orEmpty(s.verdicts),
	}
}

// orEmpty returns an empty list for nil, so that both are encoded as [].
func orEmpty[T any](elements []T) []T {
	if elements == nil {
		return []T{}
	}
	return elements
}

// versionedItems returns the items of a table in order of name.
func versionedItems[T any](t *table[T]) []versionedItem[T] {
	items := make([]versionedItem[T], 0, len(t.entries))
	for _, name := range t.names() {
		e := t.entries[name]
		items = append(items, versionedItem[T]{Offset: e.offset, Item: e.item})
	}
	return items
}

// bodyDigest returns the lower-case hexadecimal SHA-256 of the canonical encoding.
func bodyDigest(b snapshotBody) string {
	sum := sha256.Sum256(mustJSON(b))
	return hex.EncodeToString(sum[:])
}

// mustJSON encodes a value of a type of this package, which cannot fail.
func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("config: encode %T: %v", value, err))
	}
	return data
}

// stateFromBody rebuilds a state from its canonical encoding. It returns an error if the lists are not in canonical
// order.
func stateFromBody(b snapshotBody) (*State, error) {
	s := &State{
		nextOffset:     b.NextOffset,
		oldestRetained: b.OldestRetained,
		checkpoints:    b.Checkpoints,
		workspaces:     tableFromItems(workspaceTraits, b.Workspaces),
		keys:           tableFromItems(keyTraits, b.Keys),
		models:         tableFromItems(modelTraits, b.Models),
		routes:         tableFromItems(routeTraits, b.Routes),
		endpoints:      tableFromItems(endpointTraits, b.Endpoints),
		defaults:       tableFromItems(defaultsTraits, b.Defaults),
		withdrawals:    b.Withdrawals,
		verdicts:       b.Verdicts,
	}
	s.initDerived(&State{})
	if !bytes.Equal(mustJSON(newSnapshotBody(s)), mustJSON(b)) {
		return nil, &SnapshotError{Reason: "lists are not in canonical order"}
	}
	return s, nil
}

// tableFromItems rebuilds a table and fills in the defaults of its items.
func tableFromItems[T any](kindTraits traits[T], items []versionedItem[T]) *table[T] {
	entries := make(map[string]*entry[T], len(items))
	for _, v := range items {
		entries[kindTraits.name(&v.Item)] = &entry[T]{item: v.Item, withDefaults: kindTraits.withDefaults(v.Item), offset: v.Offset}
	}
	return newTable(entries)
}
