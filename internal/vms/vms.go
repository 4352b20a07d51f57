// Package vms provides the client for the platform's list of the entry VMs, which
// the VMs of `tanagerlb serve` read.
package vms

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/pkg/member"
)

// maxList is the maximum size of the response with the VM list, in bytes.
const maxList = 8 << 20

type wireVM struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Caller  netip.AddrPort `json:"caller"`
	Peer    netip.AddrPort `json:"peer"`
	Leaving bool           `json:"leaving"`
}

// Config holds the settings and callbacks of a Watcher.
type Config struct {
	Address  netip.AddrPort
	Interval time.Duration                 // interval between two reads
	OnList   func(list []member.ListEntry) // receives the VM list after each successful read
	OnError  func(err error)               // receives the error of each failed read
}

// Watcher reads the VM list periodically and passes it to Config.OnList.
type Watcher struct {
	config Config
	http   *http.Client
}

// Watch starts reading the VM list in the background, until ctx is done.
func Watch(ctx context.Context, c Config) {
	const idleTimeout = 30 * time.Second
	w := &Watcher{config: c, http: link.NewClient(link.Config{IdleTimeout: idleTimeout, MaxIdle: 1})}
	w.http.Timeout = c.Interval * 2
	go w.run(ctx)
}

func (w *Watcher) run(ctx context.Context) {
	ticker := time.NewTicker(w.config.Interval)
	defer ticker.Stop()
	for {
		list, err := w.read(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			w.http.CloseIdleConnections()
			w.config.OnError(err)
		default:
			w.config.OnList(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Watcher) read(ctx context.Context) ([]member.ListEntry, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.config.Address.String()+"/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("read the VM list: %w", err)
	}
	response, err := w.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read the VM list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read the VM list: status %d", response.StatusCode)
	}
	var entries []wireVM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxList)).Decode(&entries); err != nil {
		return nil, fmt.Errorf("read the VM list: %w", err)
	}
	list := make([]member.ListEntry, 0, len(entries))
	for _, v := range entries {
		vm := member.VM{Name: v.Name, Zone: v.Zone, Caller: v.Caller, Peer: v.Peer}
		list = append(list, member.ListEntry{VM: vm, Leaving: v.Leaving})
	}
	return list, nil
}
