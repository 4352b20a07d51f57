//go:build review

// Command stand-3 plays the scripts of the third review: it starts entry VMs as separate
// processes, with stand-ins of the platform's store, of replicas and of clients on loopback
// addresses, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses of a script.
const (
	held   = 0 // the rule held
	broken = 1 // the rule was broken
	failed = 2 // the case could not run
)

// longest bounds the time that a script takes.
const longest = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	time.AfterFunc(longest, func() {
		r.write("the case takes too long")
		killAll()
		os.Exit(failed)
	})
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(failed)
	}
	status, err := play(r, os.Getenv("TROUBLE") != "0")
	killAll()
	if err != nil {
		r.write("cannot run: %v", err)
		status = failed
	}
	r.write("exit status %d", status)
	os.Exit(status)
}

// cases holds the scripts by name.
var cases = map[string]func(r *record, trouble bool) (int, error){
	"ids":      playIDs,
	"parts":    playParts,
	"sessions": playSessions,
}
