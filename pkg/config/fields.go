package config

import (
	"reflect"
	"strings"
	"sync"
)

// fieldCache caches the results of fieldIndexes by type, because a snapshot has thousands of items of few types.
var fieldCache sync.Map

// fieldIndexes returns the field indexes of a struct by key. Keys are the same in YAML and JSON.
func fieldIndexes(t reflect.Type) map[string]int {
	if fields, ok := fieldCache.Load(t); ok {
		return fields.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[fieldKey(t.Field(i))] = i
	}
	fieldCache.Store(t, fields)
	return fields
}

// fieldKey returns the YAML and JSON key of a field.
func fieldKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}

// knownKeys returns the keys of a struct in order of declaration, separated by commas.
func knownKeys(t reflect.Type) string {
	keys := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		keys = append(keys, fieldKey(t.Field(i)))
	}
	return strings.Join(keys, ", ")
}
