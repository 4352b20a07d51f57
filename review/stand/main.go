//go:build review

// Command stand plays the cases of the review: it starts VMs of the system under test beside
// stand-ins of the platform's store, of replicas and of callers, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// verdict is the result of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

// cases are the cases by name; each file of a case adds its own.
var cases = map[string]func(dir string) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(int(failed))
	}
	result, err := cases[os.Args[1]](os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		result = failed
	}
	os.Exit(int(result))
}
