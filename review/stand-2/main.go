//go:build review

// Command stand-2 plays the scripted cases of the second review: it starts entry VMs as separate
// processes before stand-ins of the platform's store, of replicas and of clients.
package main

import (
	"fmt"
	"os"
	"strings"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2 // the case could not run
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		os.Exit(statusFailed)
	}
	cases := map[string]scenario{
		"prompt-parts":  {configuration: configuration, play: playPromptParts},
		"model-names":   {configuration: configuration, play: playModelNames},
		"poison-query":  {configuration: configuration, play: playPoisonQuery},
		"poison-same":   {configuration: configuration, play: playPoisonSame}, // a comparison, and no case
		"public-tenant": {configuration: withTenants(configuration), settings: tenantSettings, play: playPublicTenant},
	}
	s, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(statusFailed)
	}
	os.Exit(s.run(os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// scenario is a case. play reports whether its rule held.
type scenario struct {
	configuration string
	settings      string // beside those of all cases
	play          func(f *fleet, trouble bool) bool
}

// run plays a case, with or without its disruption, and returns the exit status.
func (s scenario) run(folder string, trouble bool) int {
	f, err := startFleet(folder, s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer f.close()
	if s.play(f, trouble) {
		f.record("the rule held")
		return statusHeld
	}
	f.record("the rule was broken")
	return statusBroken
}

func withTenants(configuration string) string {
	text := strings.Replace(configuration, `"routes":[`, `"routes":[`+publicRoute, 1)
	return text[:len(text)-1] + tenants + "}"
}
