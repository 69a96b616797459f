package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// snapshotFormat is the version of the canonical encoding. A snapshot of another version is not compared.
const snapshotFormat = 1

// snapshot is the content of a snapshot record.
type snapshot struct {
	Format int    `json:"format"`
	Digest string `json:"digest"`
	State  body   `json:"state"`
}

// body is the canonical encoding of a state: fields in this order, lists in order of name or offset.
type body struct {
	Next        int64                  `json:"next"`
	Floor       int64                  `json:"floor"`
	Marks       []int64                `json:"marks"`
	Workspaces  []versioned[Workspace] `json:"workspaces"`
	Keys        []versioned[Key]       `json:"keys"`
	Models      []versioned[Model]     `json:"models"`
	Routes      []versioned[Route]     `json:"routes"`
	Endpoints   []versioned[Endpoint]  `json:"endpoints"`
	Defaults    []versioned[Defaults]  `json:"defaults"`
	Withdrawals []withdrawal           `json:"withdrawals"`
	Verdicts    []Verdict              `json:"verdicts"`
}

// versioned is an item with the offset of its last change.
type versioned[T any] struct {
	Offset int64 `json:"offset"`
	Item   T     `json:"item"`
}

func bodyOf(s *State) body {
	return body{
		Next:        s.next,
		Floor:       s.floor,
		Marks:       orEmpty(s.marks),
		Workspaces:  list(s.workspaces),
		Keys:        list(s.keys),
		Models:      list(s.models),
		Routes:      list(s.routes),
		Endpoints:   list(s.endpoints),
		Defaults:    list(s.defaults),
		Withdrawals: orEmpty(s.withdrawals),
		Verdicts:    orEmpty(s.verdicts),
	}
}

// orEmpty encodes a list without elements as [], whether it ever had some or not.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func list[T any](t *table[T]) []versioned[T] {
	items := make([]versioned[T], 0, len(t.entries))
	for _, name := range t.names() {
		e := t.entries[name]
		items = append(items, versioned[T]{Offset: e.offset, Item: e.item})
	}
	return items
}

// digestOf hashes the canonical encoding.
func digestOf(b body) string {
	sum := sha256.Sum256(mustJSON(b))
	return hex.EncodeToString(sum[:])
}

// mustJSON encodes types of this package, which always succeeds.
func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("config: encode %T: %v", value, err))
	}
	return data
}

// stateOf rebuilds a state from a snapshot whose digest was checked.
func stateOf(b body) (*State, error) {
	s := &State{
		next:        b.Next,
		floor:       b.Floor,
		marks:       b.Marks,
		workspaces:  load(workspaceTraits, b.Workspaces),
		keys:        load(keyTraits, b.Keys),
		models:      load(modelTraits, b.Models),
		routes:      load(routeTraits, b.Routes),
		endpoints:   load(endpointTraits, b.Endpoints),
		defaults:    load(defaultsTraits, b.Defaults),
		withdrawals: b.Withdrawals,
		verdicts:    b.Verdicts,
	}
	s.finish(&State{})
	if !bytes.Equal(mustJSON(bodyOf(s)), mustJSON(b)) {
		return nil, &SnapshotError{Reason: "lists are not in canonical order"}
	}
	return s, nil
}

func load[T any](tr traits[T], items []versioned[T]) *table[T] {
	entries := make(map[string]*entry[T], len(items))
	for _, v := range items {
		entries[tr.name(&v.Item)] = &entry[T]{item: v.Item, full: tr.fill(v.Item), offset: v.Offset}
	}
	return newTable(entries)
}
