//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// verdict is the result of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// cases are the cases by name. Each gets whether the disruption is played, and returns whether the rule was broken.
var cases = map[string]func(l *lab, trouble bool) (bool, error){
	"drill":      drillCase,
	"precedence": precedenceCase,
	"sigterm":    sigtermCase,
	"unheard":    unheardCase,
	"rollout":    rolloutCase,
	"wall":       wallCase,
}

func main() {
	os.Exit(int(run()))
}

// run plays the case that the arguments name: NAME PROGRAM RECORD.
func run() verdict {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		return notRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = file.Close() }()
	r := &recorder{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption played: %v", os.Args[1], trouble)
	l, err := newLab(r, program)
	if err != nil {
		r.line("could not run: %v", err)
		return notRun
	}
	defer l.close()
	wasBroken, err := cases[os.Args[1]](l, trouble)
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		if !errors.Is(err, errCannotRun) {
			fmt.Fprintln(os.Stderr, err)
		}
		return notRun
	case wasBroken:
		r.line("verdict: the rule was broken")
		return broken
	}
	r.line("verdict: the rule held")
	return held
}
