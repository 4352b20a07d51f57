// Package testlib provides helpers for tests, mainly a fault-injecting TCP proxy
// and a fleet of real VM processes that run `tanagerlb serve`.
//
// The package has a proxy of its own because the fault-injecting proxy library
// that Go projects commonly use is not available from the module proxy.
package testlib

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Mode selects what a Proxy does with connections.
type Mode int

// Modes of a Proxy.
const (
	Forward   Mode = iota // forward everything
	Refuse                // close all open connections, and new ones at once
	Blackhole             // keep open and new connections open, but forward nothing
	StallOpen             // forward nothing on the connections open now, but everything on later ones
	Down                  // close all connections and the port, so that new connections are refused
)

// Proxy forwards TCP connections to a target and injects faults into them.
type Proxy struct {
	t        testing.TB
	address  netip.AddrPort
	mu       sync.Mutex
	listener *net.TCPListener // nil in mode Down
	target   netip.AddrPort
	mode     Mode
	delay    time.Duration
	rate     float64   // bytes per second that all connections together carry; 0 for any
	free     time.Time // when the link has carried all that was given to it
	links    map[*link]bool
	bytes    atomic.Int64
}

// proxies is the number of proxies that this process has started.
var proxies atomic.Uint32

// proxyAddress returns an address for a proxy that no other one has: another listener, or a
// connection that is opened, may take the port of a proxy in mode Down.
func proxyAddress() netip.AddrPort {
	const (
		first, networks = 2, 18 // second bytes of the addresses; the VMs of the soak have others
		hosts           = 250
	)
	n := proxies.Add(1)
	address := netip.AddrFrom4([4]byte{127, byte(first + os.Getpid()%networks), byte(n / hosts % hosts), byte(1 + n%hosts)})
	return netip.AddrPortFrom(address, 0)
}

func listenTCP(address netip.AddrPort) (*net.TCPListener, error) {
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address)) //nolint:wrapcheck // the callers name what it is for
}

// NewProxy starts a proxy that runs until the test ends.
func NewProxy(t testing.TB, target netip.AddrPort) *Proxy {
	t.Helper()
	listener, err := listenTCP(proxyAddress())
	if err != nil {
		t.Fatalf("listen for proxy: %v", err)
	}
	p := &Proxy{
		t: t, address: netip.MustParseAddrPort(listener.Addr().String()),
		listener: listener, target: target, links: map[*link]bool{},
	}
	t.Cleanup(p.close)
	go p.acceptLoop(listener)
	return p
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() netip.AddrPort { return p.address }

// SetMode changes the mode. The new mode applies to open connections too.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	switch {
	case mode == Down && p.listener != nil:
		p.closePort()
	case mode != Down && p.listener == nil:
		p.listen()
	}
	for l := range p.links {
		switch mode {
		case Refuse, Down:
			l.close()
		case Blackhole, StallOpen:
			l.pause()
		case Forward:
			l.resume()
		}
	}
}

// ForwardedBytes returns the total number of bytes forwarded so far in both
// directions.
func (p *Proxy) ForwardedBytes() int64 { return p.bytes.Load() }

// SetDelay makes the proxy wait for d before it forwards each chunk that it reads.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetRate limits the bytes per second that all connections together carry, as a link of that
// bandwidth does; 0 for no limit.
func (p *Proxy) SetRate(bytesPerSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = bytesPerSecond
}

// carry returns how long it takes until the link has carried a number of bytes, after all that
// it was given before.
func (p *Proxy) carry(now time.Time, bytes int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return 0
	}
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	return p.free.Sub(now)
}

// closePort closes the port. A process that is being started shares the listener for a moment, so
// that closing it here alone would leave the port open.
func (p *Proxy) closePort() {
	if raw, err := p.listener.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RDWR) }) // the listener is closed in any case
	}
	_ = p.listener.Close()
	p.listener = nil
}

// listen opens the port again that mode Down closed.
func (p *Proxy) listen() {
	listener, err := listenTCP(p.address)
	if err != nil {
		p.t.Errorf("listen again for proxy: %v", err)
		return
	}
	p.listener = listener
	go p.acceptLoop(listener)
}

func (p *Proxy) close() { p.SetMode(Down) }

func (p *Proxy) acceptLoop(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		p.accept(c)
	}
}

func (p *Proxy) accept(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Refuse || p.mode == Down {
		_ = c.Close()
		return
	}
	l := &link{proxy: p, client: c, resumed: make(chan struct{})}
	if p.mode == Blackhole {
		l.paused = true
	} else {
		close(l.resumed)
	}
	p.links[l] = true
	go l.run(p.target)
}

func (p *Proxy) currentDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

// link is a pair of connections: one from a client to the proxy, and one from the
// proxy to the target.
type link struct {
	proxy   *Proxy
	client  net.Conn
	mu      sync.Mutex
	server  net.Conn
	paused  bool
	closed  bool
	resumed chan struct{} // closed while the link is not paused
}

func (l *link) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.paused {
		l.paused = true
		l.resumed = make(chan struct{})
	}
}

func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused {
		l.paused = false
		close(l.resumed)
	}
}

func (l *link) whenResumed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resumed
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	_ = l.client.Close()
	if l.server != nil {
		_ = l.server.Close()
	}
	l.mu.Unlock()
	l.resume()
}

func (l *link) run(target netip.AddrPort) {
	defer l.end()
	server, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", target.String())
	if err != nil {
		return
	}
	l.mu.Lock()
	l.server = server
	closed := l.closed
	l.mu.Unlock()
	if closed {
		_ = server.Close()
		return
	}
	reverse := &copier{link: l, src: server, dst: l.client, done: make(chan struct{})}
	go reverse.run()
	(&copier{link: l, src: l.client, dst: server, done: make(chan struct{})}).run()
	<-reverse.done
}

func (l *link) end() {
	l.close()
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	delete(l.proxy.links, l)
}

// copier forwards the data of one direction of a link.
type copier struct {
	link     *link
	src, dst net.Conn
	done     chan struct{}
}

func (c *copier) run() {
	defer close(c.done)
	defer c.link.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.src.Read(buffer)
		if n > 0 && !c.forward(buffer[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *copier) forward(chunk []byte) bool {
	<-c.link.whenResumed()
	if d := c.link.proxy.currentDelay(); d > 0 {
		time.Sleep(d)
	}
	time.Sleep(c.link.proxy.carry(time.Now(), len(chunk)))
	c.link.proxy.bytes.Add(int64(len(chunk)))
	_, err := c.dst.Write(chunk)
	return err == nil
}
