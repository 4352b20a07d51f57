package edge

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/route"
)

// conns closes callers' connections that are slow or idle for longer than the
// current configuration allows. http.Server cannot do this, as its timeouts are
// fixed once it runs, and closes connections on which a request has just arrived.
type conns struct {
	mu     sync.Mutex
	open   map[*trackedConn]struct{}
	idle   timeout
	header timeout
}

func newConns() *conns { return &conns{open: map[*trackedConn]struct{}{}} }

// trackState records the state of a connection; see http.Server.ConnState.
func (c *conns) trackState(conn net.Conn, s http.ConnState) {
	t, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
		t.enter(time.Now(), phaseNew)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.open[t] = struct{}{}
	case http.StateActive:
		t.enter(time.Now(), phaseHandled)
	case http.StateIdle:
		t.enter(time.Now(), phaseWaiting)
	case http.StateHijacked, http.StateClosed:
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, t)
	}
}

// sweep lets the connections expire that exceed the limits at now, and returns how many
// did. grace is how long a configuration may take to be in force everywhere.
func (c *conns) sweep(now time.Time, limits route.Limits, grace time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle, header := c.idle.set(now, limits.IdleTimeout, grace), c.header.set(now, limits.HeaderTimeout, grace)
	count := 0
	for conn := range c.open {
		if conn.expireSlow(now, idle, header) {
			count++
		}
	}
	return count
}

// newConnTime is how long a new connection is left open for its first request while the VM leaves.
const newConnTime = 500 * time.Millisecond

// leave lets the connections expire on which no request is in progress at now, and returns how
// many are open.
func (c *conns) leave(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		conn.expireWaiting(now, newConnTime)
	}
	return len(c.open)
}

// timeout is a configured timeout. A shorter one applies late, since callers may still use
// connections that it would close: they go by the one before, which the last answer on a
// connection told them.
type timeout struct {
	value     time.Duration // applied at present; 0 for none
	shortened time.Time     // when a shorter one was configured; zero if none is
	next      time.Duration // longest one configured since then
}

// set tells which timeout is configured at now, and returns the one to apply: the longest one
// that was configured within the grace and within its own time.
func (t *timeout) set(now time.Time, configured, grace time.Duration) time.Duration {
	if !shorter(configured, t.value) {
		*t = timeout{value: configured}
		return configured
	}
	if t.shortened.IsZero() {
		t.shortened, t.next = now, configured
	}
	if shorter(t.next, configured) {
		t.next = configured
	}
	if now.Sub(t.shortened) >= max(grace, t.value) {
		*t = timeout{value: t.next}
		return t.set(now, configured, grace)
	}
	return t.value
}

// shorter reports whether a timeout is shorter than another one. A timeout of 0 is none.
func shorter(a, b time.Duration) bool { return a > 0 && (b == 0 || a < b) }

// phase tells what a connection waits for.
type phase int

// Phases of a connection.
const (
	phaseNew     phase = iota // for the first byte of its first request
	phaseWaiting              // for the first byte of another request
	phaseReading              // for the rest of a request's headers, or for the server to parse them
	phaseHandled              // for the answer
)

// trackedConn is a caller's connection that may expire while it waits for input. The server closes
// it when its next read fails. What was read before that is handled.
type trackedConn struct {
	net.Conn
	mu       sync.Mutex
	phase    phase
	since    time.Time // begin of the phase
	expired  bool
	failed   bool      // a read has failed since the connection expired
	deadline time.Time // of reads, by http.Server; zero for none
}

// NetConn returns the connection below.
func (t *trackedConn) NetConn() net.Conn { return t.Conn }

func (t *trackedConn) enter(now time.Time, p phase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.phase, t.since = p, now
	t.revive()
}

// Read implements net.Conn.
func (t *trackedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	for n == 0 && t.reviveUnread() {
		n, err = t.Conn.Read(b)
	}
	if n > 0 {
		t.noteRead(time.Now())
	}
	return n, err //nolint:wrapcheck // wraps the connection transparently
}

// noteRead records that bytes were read.
func (t *trackedConn) noteRead(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revive()
	if t.phase == phaseNew || t.phase == phaseWaiting {
		t.phase, t.since = phaseReading, now
	}
}

// SetReadDeadline implements net.Conn.
func (t *trackedConn) SetReadDeadline(at time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deadline = at
	if t.expired {
		return nil
	}
	return t.Conn.SetReadDeadline(at) //nolint:wrapcheck // wraps the connection transparently
}

// expireSlow lets the connection expire if it has been idle, or a request's headers have been
// incomplete, for longer than a timeout, and reports whether it did. A timeout of 0 is none.
func (t *trackedConn) expireSlow(now time.Time, idle, header time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := time.Duration(0)
	switch t.phase {
	case phaseNew, phaseWaiting:
		limit = idle
	case phaseReading:
		limit = header
	case phaseHandled:
	}
	return limit > 0 && now.Sub(t.since) > limit && t.expire()
}

// expireWaiting lets the connection expire if it waits for a request; if it is new, only after a
// time.
func (t *trackedConn) expireWaiting(now time.Time, newTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == phaseWaiting || t.phase == phaseNew && now.Sub(t.since) > newTime {
		t.expire()
	}
}

// expire lets reads fail from now on, unless bytes have arrived that were not read yet, and reports
// whether it changed this. t.mu is locked.
func (t *trackedConn) expire() bool {
	if t.expired || t.hasUnread() {
		return false
	}
	t.expired = true
	_ = t.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	return true
}

// revive ends the expiry unless a read has failed by it: the server might read on in the middle of a
// line. t.mu is locked.
func (t *trackedConn) revive() {
	if t.expired && !t.failed {
		t.expired = false
		_ = t.Conn.SetReadDeadline(t.deadline) // fails only if the connection is closed
	}
}

// reviveUnread ends the expiry after a read without bytes if some have arrived since, and reports
// whether it did. If not, the expiry is final.
func (t *trackedConn) reviveUnread() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.expired || t.failed {
		return false
	}
	if !t.hasUnread() {
		t.failed = true
		return false
	}
	t.revive()
	return true
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (t *trackedConn) hasUnread() bool {
	s, ok := t.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		for errors.Is(err, syscall.EINTR) {
			n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// trackedListener is a listener that accepts connections as *trackedConn.
type trackedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // wraps the listener transparently
	}
	return &trackedConn{Conn: conn}, nil
}
