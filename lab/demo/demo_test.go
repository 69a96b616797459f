package demo

import (
	"bytes"
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func build(t *testing.T, pkg string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), filepath.Base(pkg))
	if out, err := exec.Command("go", "build", "-o", file, pkg).CombinedOutput(); err != nil {
		t.Fatalf("build %s: %v\n%s", pkg, err, out)
	}
	return file
}

// The demo is the first thing that a new user runs. It must show an answer, a booking that ran once, refusals that
// did not run and the timeline, and must stop what it started.
func TestDemoShowsTheWholePathAndStops(t *testing.T) {
	var out bytes.Buffer
	err := Run(context.Background(), Options{
		Router: build(t, "github.com/corneldeal/corneldeal/cmd/corneldeal"),
		Self:   build(t, "github.com/corneldeal/corneldeal/lab/cmd/corneldeal-lab"),
		Out:    &out,
	})
	if err != nil {
		t.Fatalf("%v\n%s", err, &out)
	}
	for _, want := range []string{
		"answer: 0:",
		"runs at the service: 1",
		"code above_burst, run state not_run",
		"a withdrawn key: refused with status 401",
		"chat: attempt request=",
		"Everything that was started has stopped.",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the output lacks %q:\n%s", want, &out)
		}
	}
}
