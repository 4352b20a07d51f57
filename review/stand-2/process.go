//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/platform/emul"
)

// process is a replica whose connections end and whose port refuses connections while it is down.
type process struct {
	fleet   *fleet
	replica *emul.Replica
	address string
	mu      sync.Mutex
	server  *http.Server
	closed  bool
}

func (p *process) listen(address string) error {
	listener, err := net.Listen("tcp", address) //nolint:noctx // ends with the case
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = listener.Addr().String()
	p.server = &http.Server{Handler: p.replica, ConnContext: emul.ConnContext, ReadHeaderTimeout: time.Minute}
	go p.server.Serve(listener) //nolint:errcheck // ends with the server
	return nil
}

// restart closes all connections and starts the replica again under its id after downTime.
func (p *process) restart() {
	p.mu.Lock()
	_ = p.server.Close() // nothing is left to do with it
	p.mu.Unlock()
	time.Sleep(downTime)
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return
	}
	p.replica.Start(time.Now())
	if err := p.listen(p.address); err != nil {
		p.fleet.record("a replica cannot start again: %v", err)
	}
}

func (p *process) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.server.Close() // nothing is left to do with it
}
