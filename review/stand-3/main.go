//go:build review

// Command stand-3 plays the scripts of the third review: it starts the stand-ins of the platform and the gateways, disturbs them
// and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the scripts by name. Each reports whether the rule was broken. trouble is false in the run without the disruption.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"crash-part":  playCrashPart,
	"idle":        playIdle,
	"software":    playSoftware,
	"slow-reader": playSlowReader,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](rec, trouble)
	status := 0
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		status = 2
	case broken:
		rec.printf("the rule was broken")
		status = 1
	default:
		rec.printf("the rule held")
	}
	if err := errors.Join(file.Close()); err != nil {
		status = 2
	}
	os.Exit(status)
}
