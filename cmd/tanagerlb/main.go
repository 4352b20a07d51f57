// Command tanagerlb runs an entry VM and operates a fleet of entry VMs. Its serve
// command runs an entry VM with the product's own interface, its edge command one
// on the users' platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"

	"github.com/tanagerlb/tanagerlb/pkg/check"
)

// Exit statuses.
const (
	statusFailed   = 1 // the command failed
	statusFindings = 2 // the settings, the document or the arguments are invalid, or no command is given
	statusRejected = 3 // the document was rejected: another version replaced its base version first
)

// version is the version of a release build, set by the linker.
var version = ""

func main() { os.Exit(run(os.Args[1:])) }

type options struct {
	Version bool `long:"version" description:"Print the version and exit"`
}

func run(args []string) int {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.LongDescription = "Serves very many LoRA adapters.\n\n" +
		"Examples:\n" +
		"  tanagerlb demo\n" +
		"  tanagerlb serve --settings a1.yaml\n" +
		"  tanagerlb check a1.yaml\n" +
		"  tanagerlb publish --operator 127.0.0.1:7001 --wait lm-assist.yaml\n" +
		"  tanagerlb status --operator 127.0.0.1:7001"
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			return fail(err)
		}
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return fail(err)
	}
	if o.Version {
		fmt.Println("tanagerlb", buildVersion())
		return 0
	}
	if parser.Active == nil && len(rest) > 0 {
		return fail(&flags.Error{Type: flags.ErrUnknownCommand, Message: fmt.Sprintf("unknown command %q; see tanagerlb --help", rest[0])})
	}
	if parser.Active == nil {
		parser.WriteHelp(os.Stdout)
		return statusFindings
	}
	return 0
}

type subcommand struct {
	name, short, long string
	command           any
}

func commands() []subcommand {
	return []subcommand{
		{"serve", "Run an entry VM", "Runs an entry VM until SIGTERM, then leaves gracefully.", &serveCommand{}},
		{"edge", "Run an entry VM on the platform", "Runs an entry VM on the users' platform until SIGTERM, then leaves gracefully.", &edgeCommand{}},
		{"demo", "Run a demonstration", "Runs three VMs with fake external services in one process and sends calls through them.", &demoCommand{}},
		{"publish", "Publish a document", "Publishes a document and prints whether it was accepted.", &publishCommand{}},
		{"show", "Show a document", "Prints a service's document in force.", &showCommand{}},
		{"check", "Check a file", "Checks settings or a document and prints all findings.", &checkCommand{}},
		{"status", "Show the state of the fleet", "Prints the VMs and engines as one VM sees them.", &statusCommand{}},
	}
}

// fail prints an error and returns its exit status.
func fail(err error) int {
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var findings *check.Error
	switch {
	case errors.As(err, &usage), errors.As(err, &findings):
		return statusFindings
	case errors.Is(err, errRejected):
		return statusRejected
	default:
		return statusFailed
	}
}

func buildVersion() string {
	if version != "" {
		return version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}
