package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against a settings file that is replaced without a signal and goes unnoticed, also where the new one is as long
// as the old one.
func TestStampTellsStatesOfAFileApart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if stampOf(file) != (stamp{}) {
		t.Error("a missing file has a stamp")
	}
	write := func(text string, changed time.Time) stamp {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(file, changed, changed); err != nil {
			t.Fatal(err)
		}
		return stampOf(file)
	}
	start := time.Now()
	first := write("vm: a", start)
	if stampOf(file) != first {
		t.Error("two looks at one state differ")
	}
	if write("vm: b", start.Add(time.Second)) == first || write("vm: abc", start) == first {
		t.Error("another state has the same stamp")
	}
}
