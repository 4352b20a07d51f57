// Package demo implements the demo command: a demonstration in one process, with
// three VMs in three availability zones and fakes of the external services.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/config"
	"github.com/tanagerlb/tanagerlb/internal/daemon"
	"github.com/tanagerlb/tanagerlb/internal/stand"
)

const (
	zones        = 3
	pollInterval = 20 * time.Millisecond
	loadTime     = 50 * time.Millisecond
	tokenTime    = 2 * time.Millisecond
	logTimeout   = 500 * time.Millisecond
)

// fleet holds the VMs, the fakes of the external services, and the servers that
// serve the fakes.
type fleet struct {
	log           *stand.Log
	list          *stand.VMList
	service       *stand.Service
	servers       []*stand.Server
	daemons       []*daemon.Daemon
	vms           []config.Settings
	engines       []*stand.Server
	serviceServer *stand.Server
}

var local = netip.MustParseAddrPort("127.0.0.1:0")

// newFleet starts the fakes and the VMs.
func newFleet() (*fleet, error) {
	f := &fleet{log: stand.NewLog(), list: stand.NewVMList(), service: stand.NewService()}
	if err := f.start(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start() error {
	logServer, err := f.serve(f.log)
	if err != nil {
		return err
	}
	list, err := f.serve(f.list)
	if err != nil {
		return err
	}
	if f.serviceServer, err = f.serve(f.service); err != nil {
		return err
	}
	store, err := f.serve(stand.NewWeightStore(stand.StoreConfig{LoadTime: loadTime}))
	if err != nil {
		return err
	}
	for i := range 2 {
		engine, err := f.serve(stand.NewEngine(stand.EngineConfig{
			Name:      "e" + strconv.Itoa(i+1),
			Slots:     2,
			Batch:     4,
			Fencing:   i == 0,
			TokenTime: tokenTime,
			Store:     store.Address(),
		}))
		if err != nil {
			return err
		}
		f.engines = append(f.engines, engine)
	}
	return f.startVMs(logServer.Address(), list.Address())
}

func (f *fleet) serve(handler http.Handler) (*stand.Server, error) {
	s, err := stand.Listen(local, handler)
	if err != nil {
		return nil, err
	}
	f.servers = append(f.servers, s)
	return s, nil
}

func (f *fleet) startVMs(logAddress, listAddress netip.AddrPort) error {
	var listed []stand.ListedVM
	for i := range zones {
		s := config.Defaults()
		s.VM = "vm-" + strconv.Itoa(i+1)
		s.Zone = "zone-" + string(rune('a'+i))
		for _, address := range []*netip.AddrPort{&s.Caller, &s.Operator, &s.Peer} {
			free, err := stand.FreeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		s.Log.Address, s.VMList.Address = logAddress, listAddress
		s.Log.Timeout = logTimeout
		s.Store.LoadTime = loadTime
		s.Store.LoadRate = 20
		s.BaseModels = []string{"base-7b"}
		f.vms = append(f.vms, s)
		listed = append(listed, stand.ListedVM{Name: s.VM, Zone: s.Zone, Caller: s.Caller, Peer: s.Peer})
	}
	f.list.Set(listed...)
	for _, s := range f.vms {
		d, err := daemon.Start(s, zap.NewNop())
		if err != nil {
			return err
		}
		f.daemons = append(f.daemons, d)
	}
	return nil
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// errTimeout is returned by waitUntil if the condition does not hold before ctx
// ends.
var errTimeout = errors.New("timed out")

// waitUntil polls a condition until it holds or ctx ends.
func waitUntil(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, errTimeout)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
