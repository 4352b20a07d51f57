package limit

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/budget"
)

const (
	// connBytes is the memory of a connection: its goroutine and the buffers of http.Server. 3,300
	// silent connections took 8 kB each.
	connBytes = 8 << 10
	// lineBytes is the memory of a header line in parsed form beside its text. Heads of short lines
	// took 70 to 115 bytes a line.
	lineBytes = 128
	// runBytes is the memory of a request in progress beside its head and body: goroutines, the
	// connection to its upstream, and the buffers of both.
	runBytes = 32 << 10
	// Bodies are accounted for in pieces: a share of what has arrived, so that a body takes few
	// reads, and no more than the buffer of a socket holds.
	minPiece     = 4 << 10
	maxPiece     = 64 << 10
	pieceDivisor = 4
	// bufferBytes is the size of the read buffer of http.Server, which may hold the beginning of the
	// next request.
	bufferBytes = 4 << 10
	// writePiece is the size of the pieces in which answers are written, so that it is seen whether
	// the client reads.
	writePiece = 64 << 10
	// writeTime is how long a client may take to read such a piece.
	writeTime = 30 * time.Second
	// lastWriteTime is the same for the answer on a connection that gives way, whose memory others
	// wait for.
	lastWriteTime = 2 * time.Second
)

// listener is a listener whose connections are *conn.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // wraps the listener transparently
		}
		if c := l.limiter.open(accepted); c != nil {
			return c, nil
		}
		writeRefusal(accepted)
		_ = accepted.Close()
	}
}

// refusalTime is how long a client may take to receive a refusal for which there is no handler. It
// fits in the buffers of the kernel.
const refusalTime = 10 * time.Millisecond

// writeRefusal tells a client that its request was not read, or not as a whole.
func writeRefusal(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))                                                                                                    // fails only if the connection is closed
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", Refusal{}.retryAfter()) // the connection is closed in any case
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	limiter *Limiter
	holder  *budget.Holder // guarded by limiter.mu

	mu       sync.Mutex
	head     head
	after    int64 // bytes that were read after the head
	lines    int   // line feeds among the newest of these bytes
	length   int64 // of the body of the request; -1 if it is not known
	next     head  // of the next request, as far as it arrived before the answer to this one
	charged  int64 // memory reserved for the request
	begun    bool  // a byte of the request has arrived
	upstream int   // descriptors reserved for the request

	// Read by other connections, to which this one gives way.
	handled atomic.Bool // the request is with the handler
	running atomic.Bool // it has arrived as a whole
	expired atomic.Bool // reads fail
}

func clientOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return s.SyscallConn() //nolint:wrapcheck // wraps the connection transparently
}

// CloseWrite tells the client that nothing follows. http.Server calls it before it waits for the
// client to read the last answer.
func (c *conn) CloseWrite() error {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return syscall.ENOTSUP
	}
	return t.CloseWrite() //nolint:wrapcheck // wraps the connection transparently
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.expired.Load() { // maybe meanwhile
		return c.Conn.SetReadDeadline(past) //nolint:wrapcheck // wraps the connection transparently
	}
	return err //nolint:wrapcheck // wraps the connection transparently
}

// past is a deadline that lets reads fail.
var past = time.Unix(1, 0)

// giveWay ends the connection. A request that is with the handler is answered. It locks nothing,
// since a connection may give way to another one that gives way to it.
func (c *conn) giveWay() {
	c.expired.Store(true)
	if c.handled.Load() && !c.running.Load() {
		_ = c.Conn.SetReadDeadline(past) // fails only if the connection is closed
		return
	}
	_ = c.Close() // there is nothing left to do with it
}

// Read implements net.Conn. Bytes for which there is no room are not passed on, and the connection
// cannot be read any more.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.take(b[:n]) {
		if !c.handled.Load() {
			writeRefusal(c.Conn)
		}
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused} // http.Server closes the connection at such an error
	}
	return n, err //nolint:wrapcheck // wraps the connection transparently
}

// take accounts for bytes that were read.
func (c *conn) take(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired.Load() {
		return false
	}
	if c.head.ended {
		c.noteAfter(b)
		return true
	}
	first := !c.begun
	c.begun = true
	c.noteAfter(c.head.read(b))
	if !c.limiter.reserve(c, c.limiter.headCost(c.head.size, c.head.lines)-c.charged, 0, first) {
		c.expired.Store(true)
		return false
	}
	return true
}

// noteAfter accounts for bytes after the head: the body, and the next request, of which http.Server
// reads a byte while this one is with the handler.
func (c *conn) noteAfter(b []byte) {
	if len(b) == 0 {
		return
	}
	if c.handled.Load() && c.length >= 0 {
		rest := min(max(0, c.length-c.after), int64(len(b))) // of the body
		c.next.read(b[rest:])
	}
	c.after += int64(len(b))
	c.lines = bytes.Count(b[max(0, len(b)-bufferBytes):], []byte{'\n'})
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		piece := b[written:min(len(b), written+writePiece)]
		now := time.Now()
		limit := writeTime
		if !c.limiter.enter(now, c, budget.Writing) {
			limit = lastWriteTime // the answer to a request that gives way
		}
		_ = c.SetWriteDeadline(now.Add(limit)) // fails only if the connection is closed
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(b) {
			after := budget.Reading // the answer was 100 Continue
			if c.running.Load() {
				after = budget.Running
			}
			c.limiter.enter(time.Now(), c, after)
			return written, err //nolint:wrapcheck // wraps the connection transparently
		}
	}
}

// wait records that the connection waits for a request.
func (c *conn) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.next
	if c.length < 0 || next.unknown || next.ended {
		next = head{unknown: true}
	}
	kept := int64(0)
	if next.unknown { // a part of the next request may be in the buffer of http.Server
		kept = int64(c.lines) * lineBytes
		next.lines = c.lines
	}
	c.limiter.wait(c, c.charged, c.upstream)
	c.head, c.next, c.after, c.lines, c.length, c.charged, c.upstream = next, head{}, 0, 0, 0, 0, 0
	c.begun = false
	c.handled.Store(false)
	c.running.Store(false)
	if kept > 0 && !c.limiter.reserve(c, kept, 0, false) {
		c.giveWay()
	}
}

// begin records that the handler gets the request.
func (c *conn) begin(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.length = r.ContentLength
	c.next.unknown = c.after > c.length // the next request arrived with this one
	c.handled.Store(true)
	if c.head.unknown || !c.head.ended {
		c.head = head{size: leastSize(r), lines: countLines(r.Header), ended: true, unknown: true}
	}
}

// end records that the handler has ended.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.release(c)
}

// reserve reserves memory for a part of the body or the answer.
func (c *conn) reserve(bytes int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.expired.Load() && c.limiter.reserveBulk(c, bytes)
}

// run records that the request has arrived as a whole, with a body of a size.
func (c *conn) run(body int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired.Load() {
		return false
	}
	// The upstream gets a copy of the head.
	cost := 2*c.limiter.headCost(c.head.size, c.head.lines) + body + runBytes
	ok := c.limiter.run(c, cost-c.charged)
	c.running.Store(ok)
	return ok
}
