// Command standin runs fakes of the external services that the VMs of `tanagerlb
// serve` use, for tests and trials. A POST request to /control of a fake sets the
// faults that the fake injects.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/tanagerlb/tanagerlb/internal/stand"
)

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short string
		command     any
	}{
		{"log", "Run a fake log service", &logCommand{}},
		{"store", "Run a fake weight store", &storeCommand{}},
		{"list", "Run a fake VM list", &listCommand{}},
		{"engine", "Run a fake model engine", &engineCommand{}},
		{"service", "Run a fake plain service", &serviceCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.command); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type listenOption struct {
	Listen string `long:"listen" required:"true" value-name:"IP:PORT" description:"Address to serve"`
}

// serve serves the handler of a fake until the process gets SIGTERM or SIGINT.
func (o listenOption) serve(handler http.Handler) error {
	address, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return fmt.Errorf("parse listen address: %w", err)
	}
	s, err := stand.Listen(address, handler)
	if err != nil {
		return err
	}
	fmt.Println("listening on", s.Address())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return s.Close()
}

type logCommand struct{ listenOption }

// Execute runs a fake log service until SIGTERM or SIGINT.
func (c *logCommand) Execute([]string) error { return c.serve(stand.NewLog()) }

type storeCommand struct {
	listenOption

	Load time.Duration `long:"load" default:"400ms" description:"Time to read an adapter's weights"`
}

// Execute runs a fake weight store until SIGTERM or SIGINT.
func (c *storeCommand) Execute([]string) error {
	return c.serve(stand.NewWeightStore(stand.StoreConfig{LoadTime: c.Load}))
}

type listCommand struct{ listenOption }

// Execute runs a fake VM list until SIGTERM or SIGINT.
func (c *listCommand) Execute([]string) error { return c.serve(stand.NewVMList()) }

type engineCommand struct {
	listenOption

	Name   string        `long:"name" required:"true" description:"Name of the engine"`
	Slots  int           `long:"slots" default:"4" description:"Adapters resident at once"`
	Batch  int           `long:"batch" default:"8" description:"Requests running at once"`
	Fences bool          `long:"fences" description:"Refuse orders with old fencing tokens"`
	Step   time.Duration `long:"step" default:"10ms" description:"Time of one token"`
	Store  string        `long:"store" required:"true" value-name:"IP:PORT" description:"Address of the weight store"`
}

// Execute runs a fake model engine until SIGTERM or SIGINT.
func (c *engineCommand) Execute([]string) error {
	store, err := netip.ParseAddrPort(c.Store)
	if err != nil {
		return fmt.Errorf("parse weight store address: %w", err)
	}
	return c.serve(stand.NewEngine(stand.EngineConfig{
		Name:      c.Name,
		Slots:     c.Slots,
		Batch:     c.Batch,
		Fencing:   c.Fences,
		TokenTime: c.Step,
		Store:     store,
	}))
}

type serviceCommand struct{ listenOption }

// Execute runs a fake plain service until SIGTERM or SIGINT.
func (c *serviceCommand) Execute([]string) error { return c.serve(stand.NewService()) }
