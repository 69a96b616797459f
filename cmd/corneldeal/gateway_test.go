package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Guards against an undetected replacement of the settings file without a signal, including one by a file of the same
// size.
func TestFileStateDetectsReplacement(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if fileStateOf(file) != (fileState{}) {
		t.Error("a missing file has a non-zero state")
	}
	write := func(text string, modified time.Time) fileState {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(file, modified, modified); err != nil {
			t.Fatal(err)
		}
		return fileStateOf(file)
	}
	start := time.Now()
	first := write("vm: a", start)
	if fileStateOf(file) != first {
		t.Error("two reads of an unchanged file differ")
	}
	if write("vm: b", start.Add(time.Second)) == first || write("vm: abc", start) == first {
		t.Error("a replaced file has the same state as before")
	}
}
