package main

import (
	"reflect"
	"testing"

	"github.com/corneldeal/corneldeal/lab/engine"
)

// A model flag that is read wrongly would start an engine without the weights that the release note names.
func TestModelFlagNamesVersionAndAdapters(t *testing.T) {
	got, err := parseModels([]string{"m@v1", "n@v2+a+b"})
	want := []engine.LoadedModel{
		{Model: "m", Version: "v1", Adapters: []string{}},
		{Model: "n", Version: "v2", Adapters: []string{"a", "b"}},
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v", got, err)
	}
	for _, text := range []string{"m", "@v1", "m@"} {
		if _, err := parseModels([]string{text}); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
