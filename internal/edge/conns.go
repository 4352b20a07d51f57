package edge

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/route"
)

// conns closes callers' connections that are slow or idle for longer than the
// current configuration allows. http.Server cannot do this, as its timeouts are
// fixed once it runs.
type conns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time // when a connection was opened or became idle; no entry while it serves a request
}

func newConns() *conns { return &conns{since: map[net.Conn]time.Time{}} }

// trackState records the state of a connection; see http.Server.ConnState.
func (c *conns) trackState(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		c.since[conn] = time.Now()
		if t, ok := conn.(*trackedConn); ok {
			t.firstByte.Store(nil)
		}
	case http.StateActive, http.StateHijacked, http.StateClosed:
		delete(c.since, conn)
	}
}

// sweep closes the connections that exceed the limits at now, and returns how many
// it closed.
func (c *conns) sweep(now time.Time, limits route.Limits) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for conn, since := range c.since {
		expired := limits.IdleTimeout > 0 && now.Sub(since) > limits.IdleTimeout
		if t, ok := conn.(*trackedConn); ok && limits.HeaderTimeout > 0 {
			firstByte := t.firstByte.Load()
			expired = expired || (firstByte != nil && now.Sub(*firstByte) > limits.HeaderTimeout)
		}
		if expired {
			count++
			delete(c.since, conn)
			_ = conn.Close() // the caller sees the connection close
		}
	}
	return count
}

// trackedConn is a connection that records when the first byte of a request
// arrived.
type trackedConn struct {
	net.Conn
	firstByte atomic.Pointer[time.Time] // nil before the first byte of a request
}

// Read implements net.Conn.
func (t *trackedConn) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 && t.firstByte.Load() == nil {
		now := time.Now()
		t.firstByte.Store(&now)
	}
	return n, err //nolint:wrapcheck // wraps the connection transparently
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
