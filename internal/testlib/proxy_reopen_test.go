package testlib

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"testing"
)

// Guards against a port that cannot be opened again since a process that is being started has
// inherited the listener: between its fork and its exec it keeps the port open.
func TestProxyOpensItsPortWhileProcessesStart(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := NewProxy(t, netip.MustParseAddrPort(target.Addr().String()))
	var starts sync.WaitGroup
	for range 4 {
		starts.Go(func() {
			for range 60 {
				_ = exec.CommandContext(t.Context(), program, "-test.run", "^$").Run() // only its start matters
			}
		})
	}
	for range 20_000 {
		p.SetMode(Down)
		p.SetMode(Forward)
	}
	starts.Wait()
}
