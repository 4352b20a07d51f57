package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/tanagerlb/tanagerlb/gen/http/operator/client"
	"github.com/tanagerlb/tanagerlb/gen/operator"
	"github.com/tanagerlb/tanagerlb/internal/link"
)

// errRejected is returned if a document was rejected because another version has
// replaced its base version.
var errRejected = errors.New("document rejected")

// operatorTimeout is the timeout of a request to a VM. It is long because a
// publication may wait until the document is in force on each live VM.
const operatorTimeout = 30 * time.Second

type operatorOption struct {
	Operator string `long:"operator" default:"127.0.0.1:7001" value-name:"IP:PORT" description:"Operator address of any VM"`
}

func (o operatorOption) client() (*operator.Client, error) {
	address, err := netip.ParseAddrPort(o.Operator)
	if err != nil {
		return nil, fmt.Errorf("parse operator address: %w", err)
	}
	doer := link.NewClient(link.Config{})
	doer.Timeout = operatorTimeout
	c := client.NewClient("http", address.String(), doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return operator.NewClient(c.Publish(), c.Show(), c.Status()), nil
}

type publishCommand struct {
	operatorOption

	Base int64 `long:"base" default:"-1" value-name:"VERSION" description:"Version that the document replaces; 0 for the first, -1 for the one in force now"`
	Wait bool  `long:"wait" description:"Wait until each live VM has the version"`
	Args struct {
		File string `positional-arg-name:"FILE" description:"YAML document"`
	} `positional-args:"yes" required:"yes"`
}

// Execute publishes a document. It prints the version of an accepted document and
// returns errRejected for a rejected one.
func (c *publishCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	document, err := parseDocument(c.Args.File, text)
	if err != nil {
		return err
	}
	remote, err := c.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	base, err := c.base(ctx, remote, document.Service)
	if err != nil {
		return err
	}
	verdict, err := remote.Publish(ctx, &operator.PublishPayload{Base: base, Document: string(text), Wait: c.Wait})
	if err != nil {
		return fmt.Errorf("publish %s: %w", document.Service, err)
	}
	if !verdict.Accepted {
		return fmt.Errorf("%w: %s is at version %d, not %d", errRejected, verdict.Service, verdict.Winner, base)
	}
	fmt.Printf("accepted: %s version %d, in force on %d of %d live VMs\n", verdict.Service, verdict.Version, verdict.Vms, verdict.Live)
	return nil
}

// base returns the version that the document replaces. By default this is the
// version in force, or 0 if the service has no document.
func (c *publishCommand) base(ctx context.Context, remote *operator.Client, service string) (int64, error) {
	if c.Base >= 0 {
		return c.Base, nil
	}
	published, err := remote.Show(ctx, &operator.ShowPayload{Service: service})
	var missing operator.Missing
	switch {
	case errors.As(err, &missing):
		return 0, nil
	case err != nil:
		return 0, fmt.Errorf("look up the version in force: %w", err)
	default:
		return published.Version, nil
	}
}

type showCommand struct {
	operatorOption

	Args struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the document in force for a service.
func (c *showCommand) Execute([]string) error {
	remote, err := c.client()
	if err != nil {
		return err
	}
	published, err := remote.Show(context.Background(), &operator.ShowPayload{Service: c.Args.Service})
	if err != nil {
		return fmt.Errorf("show %s: %w", c.Args.Service, err)
	}
	fmt.Printf("# version %d\n%s", published.Version, published.Document)
	return nil
}

type statusCommand struct{ operatorOption }

// Execute prints the VMs and engines as one VM sees them.
func (c *statusCommand) Execute([]string) error {
	remote, err := c.client()
	if err != nil {
		return err
	}
	status, err := remote.Status(context.Background())
	if err != nil {
		return fmt.Errorf("get status: %w", err)
	}
	fmt.Printf("as %s sees it, log %s\n\nVM\tZONE\tSTATE\tDOCUMENTS\n", status.VM, status.Log)
	for _, vm := range status.Vms {
		fmt.Printf("%s\t%s\t%s\t%v\n", vm.VM, vm.Zone, vm.State, vm.Versions)
	}
	fmt.Printf("\nENGINE\tOWNER\tFENCE\tRESIDENT\n")
	for _, e := range status.Engines {
		fmt.Printf("%s\t%s\t%d\t%v\n", e.Engine, e.Owner, e.Fence, e.Resident)
	}
	return nil
}
