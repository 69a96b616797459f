package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"corneldeal": func() { os.Exit(run(os.Args)) },
	})
}

// Guards against commands that hide a mistake, report it without file, line and key, or exit with another status than
// documented.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}

// Guards against an exit status that does not distinguish mistakes in a file from other failures. Automation depends on
// it.
func TestMistakesExitWithStatusTwo(t *testing.T) {
	for _, args := range [][]string{
		{"corneldeal", "check", "--settings", "testdata/missing.yaml"},
		{"corneldeal", "serve", "--settings", "testdata/missing.yaml"},
		{"corneldeal", "publish", "--log", "127.0.0.1:1", "--vm-list", "127.0.0.1:1", "testdata/missing.yaml"},
	} {
		if got := run(args); got != exitInvalid {
			t.Errorf("%v: exit status %d, want %d", args, got, exitInvalid)
		}
	}
}
