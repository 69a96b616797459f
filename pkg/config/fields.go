package config

import (
	"reflect"
	"strings"
	"sync"
)

// fieldCache holds the results of fieldsOf by type; a snapshot has thousands of items of few types.
var fieldCache sync.Map

// fieldsOf maps the keys of a struct, the same in YAML and JSON, to its field indexes.
func fieldsOf(t reflect.Type) map[string]int {
	if fields, ok := fieldCache.Load(t); ok {
		return fields.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[keyOf(t.Field(i))] = i
	}
	fieldCache.Store(t, fields)
	return fields
}

func keyOf(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}

// knownKeys lists the keys of a struct in order of declaration.
func knownKeys(t reflect.Type) string {
	keys := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		keys = append(keys, keyOf(t.Field(i)))
	}
	return strings.Join(keys, ", ")
}
