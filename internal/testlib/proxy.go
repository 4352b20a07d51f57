// Package testlib provides helpers for tests: a fault-injecting TCP proxy and
// a fleet of real processes.
//
// The proxy is our own because the one that Go projects commonly use cannot be
// had from the module proxy here, and the brief wants libraries only where
// they exist.
package testlib

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Mode is what a Proxy does with connections.
type Mode int

// Modes.
const (
	Pass   Mode = iota // pass all on
	Refuse             // cut all connections and refuse new ones
	Hole               // keep all connections open and pass nothing on
	Stale              // pass nothing on open connections, but all on new ones
)

// Proxy passes TCP connections on to a target.
type Proxy struct {
	listener net.Listener
	mu       sync.Mutex
	target   netip.AddrPort
	mode     Mode
	delay    time.Duration
	links    map[*link]bool
	bytes    atomic.Int64
}

// NewProxy starts a proxy that ends with the test.
func NewProxy(t testing.TB, target netip.AddrPort) *Proxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen for proxy: %v", err)
	}
	p := &Proxy{listener: listener, target: target, links: map[*link]bool{}}
	t.Cleanup(p.close)
	go p.loop()
	return p
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// Set changes what the proxy does, also with open connections.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for l := range p.links {
		switch mode {
		case Refuse:
			l.close()
		case Hole, Stale:
			l.stall()
		case Pass:
			l.resume()
		}
	}
}

// Bytes returns the number of bytes passed on so far, both ways.
func (p *Proxy) Bytes() int64 { return p.bytes.Load() }

// Delay makes the proxy wait before it passes each piece on.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *Proxy) close() {
	_ = p.listener.Close()
	p.Set(Refuse)
}

func (p *Proxy) loop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.accept(c)
	}
}

func (p *Proxy) accept(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Refuse {
		_ = c.Close()
		return
	}
	l := &link{proxy: p, near: c, open: make(chan struct{})}
	if p.mode == Hole {
		l.stalled = true
	} else {
		close(l.open)
	}
	p.links[l] = true
	go l.run(p.target)
}

func (p *Proxy) wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

// link is one connection through the proxy.
type link struct {
	proxy   *Proxy
	near    net.Conn
	mu      sync.Mutex
	far     net.Conn
	stalled bool
	closed  bool
	open    chan struct{} // closed while pieces may pass
}

func (l *link) stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stalled {
		l.stalled = true
		l.open = make(chan struct{})
	}
}

func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stalled {
		l.stalled = false
		close(l.open)
	}
}

func (l *link) gate() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	_ = l.near.Close()
	if l.far != nil {
		_ = l.far.Close()
	}
	l.mu.Unlock()
	l.resume()
}

func (l *link) run(target netip.AddrPort) {
	defer l.end()
	far, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp", target.String())
	if err != nil {
		return
	}
	l.mu.Lock()
	l.far = far
	closed := l.closed
	l.mu.Unlock()
	if closed {
		_ = far.Close()
		return
	}
	back := &pump{link: l, from: far, to: l.near, done: make(chan struct{})}
	go back.run()
	(&pump{link: l, from: l.near, to: far, done: make(chan struct{})}).run()
	<-back.done
}

func (l *link) end() {
	l.close()
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	delete(l.proxy.links, l)
}

// pump copies one direction of a link.
type pump struct {
	link     *link
	from, to net.Conn
	done     chan struct{}
}

func (u *pump) run() {
	defer close(u.done)
	defer u.link.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := u.from.Read(buffer)
		if n > 0 && !u.pass(buffer[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (u *pump) pass(piece []byte) bool {
	<-u.link.gate()
	if d := u.link.proxy.wait(); d > 0 {
		time.Sleep(d)
	}
	u.link.proxy.bytes.Add(int64(len(piece)))
	_, err := u.to.Write(piece)
	return err == nil
}
