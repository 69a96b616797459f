//go:build review2

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// withTrouble is set unless the case is to be played without its disruption.
var withTrouble bool

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(*record) (bool, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER TROUBLE")
		os.Exit(failed)
	}
	withTrouble = os.Args[3] != "0"
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	r.event("case %s, with the disruption: %t", os.Args[1], withTrouble)
	isBroken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.event("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(failed)
	case isBroken:
		os.Exit(broken)
	}
	os.Exit(held)
}
