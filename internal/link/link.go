// Package link is the HTTP client of tanagerlb edge, with a pool of connections to
// upstreams. It sends each request once and reports whether any byte of the request
// may have reached the upstream. The Transport of net/http cannot be used: it
// resends some requests on its own, so an upstream could run a request twice.
package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tanagerlb/tanagerlb/internal/answer"
)

// Errors of Pool.Do. They tell whether the upstream may have run the request.
var (
	// ErrNotSent means that no byte of the request reached the upstream.
	ErrNotSent = errors.New("request was not sent")
	// ErrBroken means that the exchange failed after the send began: the upstream
	// may have run the request.
	ErrBroken = errors.New("connection broke")
)

// Config holds the settings of a Pool or a client.
type Config struct {
	DialTimeout time.Duration // timeout for opening a connection; 0 for no limit
	IdleTimeout time.Duration // time for which an idle connection is kept, unless the upstream's Keep-Alive header sets one
	MaxIdle     int           // maximum number of idle connections per upstream; 0 for none
	// KeepAlive sets the probes of connections. The zero value is for none: an upstream that is silent
	// for a time goes on, and each exchange ends by its deadline.
	KeepAlive net.KeepAliveConfig
}

// Pool opens connections to upstreams and keeps idle ones for reuse. It is safe
// for concurrent use.
type Pool struct {
	config Config
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	opened func() // called for each new connection
}

// conn is a connection that may be reused for further requests.
type conn struct {
	net.Conn
	answers  *answer.Reader
	used     bool      // a request was sent on this connection
	lastUsed time.Time // end of the last answer on this connection
	expires  time.Time // time after which this connection must not be reused
}

const (
	// maxInlineBytes is the size of the longest request body that is sent before the
	// answer is read.
	maxInlineBytes = 4 << 10
	// idleMargin is subtracted from the idle timeout in an upstream's Keep-Alive
	// header, because a request is lost if it is sent while the upstream closes the
	// connection.
	idleMargin = 1500 * time.Millisecond
)

// NewPool returns an empty pool. It calls opened for each new connection.
func NewPool(c Config, opened func()) *Pool {
	return &Pool{
		config: c, idle: map[netip.AddrPort][]*conn{}, opened: opened,
		// No TCP_USER_TIMEOUT, for the same reason as in Config.KeepAlive. See also conn.abort.
		dialer: net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1, KeepAliveConfig: c.KeepAlive},
	}
}

// abortTimeout is the longest time for which bytes of an exchange that has ended may stay
// unacknowledged.
const abortTimeout = 500 * time.Millisecond

// abort closes a connection. An upstream that is silent does not get what it has not acknowledged when
// it goes on: the kernel would send that again after the connection was closed.
func (c *conn) abort() {
	if raw, ok := rawConn(c.Conn); ok {
		_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(abortTimeout.Milliseconds())) // as above
		})
	}
	_ = c.Close() // nothing more is read from it
}

// silenceTime is the time after which an upstream counts as silent that has acknowledged nothing.
const silenceTime = time.Second

// Request is an HTTP request to an upstream.
type Request struct {
	Method      string
	Target      string // path and query, as the caller sent them
	Host        string
	Header      http.Header
	Body        []byte
	MaxIdleTime time.Duration // maximum time since the last use of a pooled connection; 0 for no limit
	Confirm     func() error  // called when a connection is open; an error keeps the request from being sent; nil for no check
	Sends       *Sends        // earlier sends of the same request; nil if it is sent once only
	NewConn     bool          // send it on a new connection: its answer has no id by which it is known
	// Silent is called if the upstream has acknowledged nothing of the request for silenceTime; nil
	// for no call. A request whose body is long is not watched, as its transfer may take that time.
	Silent func()
	// IsAnswer tells by the headers of an answer whether it belongs to the request. Do skips late
	// copies of answers to earlier requests on the connection; nil for no check.
	IsAnswer func(http.Header) bool
}

// Sends records the connections on which a request was sent. Pool.Do sends it on none of them
// again: a late copy of an answer to an earlier send bears the same id as the answer to a later
// one. The zero value is that of a request that was not sent yet. It is not safe for concurrent
// use.
type Sends struct{ conns []*conn }

func (s *Sends) add(c *conn) {
	if s != nil {
		s.conns = append(s.conns, c)
	}
}

func (s *Sends) contains(c *conn) bool { return s != nil && slices.Contains(s.conns, c) }

// Exchange is a request that was sent, with its answer. Close must be called when
// the answer has been read or is no longer needed.
type Exchange struct {
	Response *http.Response
	Reused   bool // other requests were sent on the connection before
	Skipped  int  // number of answers to earlier requests that came first
	pool     *Pool
	address  netip.AddrPort
	conn     *conn
	stop     func() bool // keeps the end of the context from closing conn; returns false if the context has already ended
	sender   *sender     // of the request
}

// Do sends a request to the upstream at an address and returns when the headers
// of the answer have arrived. When ctx ends, the connection is closed, even while
// the body of the answer is being read. Errors wrap ErrNotSent or ErrBroken.
func (p *Pool) Do(ctx context.Context, address netip.AddrPort, r Request) (*Exchange, error) {
	c, err := p.take(ctx, address, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if r.Confirm != nil {
		if err := r.Confirm(); err != nil {
			_ = c.Close()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	w := &sender{conn: c, data: r.encode(), ended: make(chan struct{})}
	x := &Exchange{Reused: c.used, pool: p, address: address, conn: c, sender: w}
	c.used = true
	r.Sends.add(c)
	x.stop = context.AfterFunc(ctx, c.abort)
	if len(r.Body) <= maxInlineBytes {
		w.run()
	} else {
		// An upstream may answer before it has read a long body, so the answer is
		// read while the body is sent.
		go w.run()
	}
	request := answer.Request{Method: r.Method, Sent: func() error { return w.finish(time.Now()) }}
	if err = p.awaitAnswer(time.Now(), address, c, r); err == nil {
		x.Response, err = c.answers.Read(request) //nolint:bodyclose // by Close
	}
	for err == nil && x.Reused && x.Skipped < maxSkipped && r.skips(x.Response) {
		x.Skipped++
		if err = skip(x.Response); err == nil {
			x.Response, err = c.answers.Read(request) //nolint:bodyclose // by Close
		}
	}
	if err != nil {
		x.stop()
		c.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return x, nil
}

// awaitAnswer waits for the first byte of an answer if the request is watched for an upstream that
// is silent. The idle connections to such an upstream are closed, since they may be silent for good
// while new ones work.
func (p *Pool) awaitAnswer(now time.Time, address netip.AddrPort, c *conn, r Request) error {
	if r.Silent == nil || len(r.Body) > maxInlineBytes {
		return nil
	}
	_ = c.SetReadDeadline(now.Add(silenceTime)) // fails only if the connection is closed, which the read tells
	err := c.answers.Await()
	_ = c.SetReadDeadline(time.Time{})
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err //nolint:wrapcheck // by Do
	}
	if !c.hasUnacknowledged() {
		return nil
	}
	p.CloseIdle(address)
	r.Silent()
	return nil
}

// hasUnacknowledged reports whether bytes were sent that the upstream has not acknowledged.
func (c *conn) hasUnacknowledged() bool {
	raw, ok := rawConn(c.Conn)
	if !ok {
		return false
	}
	unacknowledged := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		unacknowledged = err == nil && info.Unacked > 0
	})
	return err == nil && unacknowledged
}

// skips reports whether an answer belongs to an earlier request and another one may follow.
func (r *Request) skips(response *http.Response) bool {
	return r.IsAnswer != nil && !r.IsAnswer(response.Header) && !response.Close && answer.IsFramed(response)
}

const (
	// maxSkipped bounds the answers to earlier requests that are skipped.
	maxSkipped = 4
	// maxSkippedBytes bounds the body of one of them.
	maxSkippedBytes = 64 << 10
)

var errSkippedTooLong = errors.New("answer to an earlier request is too long")

// skip reads the body of an answer that is not needed.
func skip(r *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		err = errSkippedTooLong
	}
	return err //nolint:wrapcheck // by Do
}

// sender writes an encoded request to a connection.
type sender struct {
	conn  net.Conn
	data  []byte
	ended chan struct{} // closed when err is set
	err   error
}

func (s *sender) run() {
	_, s.err = s.conn.Write(s.data)
	close(s.ended)
}

// resetTime is how long the reset of a connection may take to arrive after its end.
const resetTime = time.Second

// finish gives the upstream, which has ended its side of the connection, resetTime to take the rest of
// the request. It returns an error if the connection was reset. The kernel reports a reset once, so that
// the write may have got it, and not the reads.
func (s *sender) finish(now time.Time) error {
	_ = s.conn.SetWriteDeadline(now.Add(resetTime)) // fails only if the connection is closed, which the write tells
	<-s.ended
	if errors.Is(s.err, os.ErrDeadlineExceeded) {
		return nil // the upstream only takes no more bytes
	}
	return s.err
}

// encode returns the request in HTTP/1.1 format.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(maxInlineBytes + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	h := r.Header.Clone()
	h.Del("Content-Length")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	_ = h.Write(&b) // a write to a buffer never fails
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Close ends the exchange. The caller sets complete if it has read the answer to
// its end and the answer belongs to the request. If complete is not set, the
// connection is closed and not reused.
func (x *Exchange) Close(now time.Time, complete bool) {
	intact := x.stop()
	select {
	case <-x.sender.ended:
		complete = complete && x.sender.err == nil
	default: // the upstream answered before the request was sent completely
		complete = false
	}
	idle := x.idleTime()
	if !intact || !complete || x.Response.Close || idle <= 0 || x.conn.answers.Buffered() > 0 {
		x.conn.abort() // must come first: closing the body reads the rest of it from an open connection
		_ = x.Response.Body.Close()
		return
	}
	_ = x.Response.Body.Close()
	x.conn.lastUsed, x.conn.expires = now, now.Add(idle)
	x.pool.put(x.address, x.conn)
}

// idleTime returns how long the connection may stay idle in the pool.
func (x *Exchange) idleTime() time.Duration {
	for part := range strings.SplitSeq(x.Response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return x.pool.config.IdleTimeout
}

// take returns an idle connection to the upstream on which the request may be sent, or opens a
// new connection.
func (p *Pool) take(ctx context.Context, address netip.AddrPort, r Request) (*conn, error) {
	if !r.NewConn {
		if c := p.takeIdle(time.Now(), address, r); c != nil {
			return c, nil
		}
	}
	return p.open(ctx, address)
}

// takeIdle returns the idle connection to the upstream that was used last and on which the
// request may be sent, or nil. It closes the connections that it finds unusable, expired or idle
// for too long.
func (p *Pool) takeIdle(now time.Time, address netip.AddrPort, r Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		c := conns[i]
		if r.Sends.contains(c) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		p.idle[address] = conns
		if now.After(c.expires) || (r.MaxIdleTime > 0 && now.Sub(c.lastUsed) > r.MaxIdleTime) || !c.usable() {
			_ = c.Close()
			continue
		}
		return c
	}
	return nil
}

// open opens a connection to the upstream.
func (p *Pool) open(ctx context.Context, address netip.AddrPort) (*conn, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	p.opened()
	return &conn{Conn: opened, answers: answer.NewReader(opened)}, nil
}

// Check opens a connection to the upstream at an address, and keeps it for later
// requests. It returns an error if no connection can be opened.
func (p *Pool) Check(ctx context.Context, address netip.AddrPort) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	c.lastUsed = time.Now()
	c.expires = c.lastUsed.Add(p.config.IdleTimeout)
	p.put(address, c)
	return nil
}

// put adds an idle connection to the pool, or closes it if the pool already holds
// MaxIdle idle connections to the upstream.
func (p *Pool) put(address netip.AddrPort, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= p.config.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// rawConn returns the socket of a connection; false if there is none.
func rawConn(c net.Conn) (syscall.RawConn, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := s.SyscallConn()
	return raw, err == nil
}

// usable reports whether an idle connection can be reused: the upstream has neither
// closed it nor sent bytes that belong to no request.
func (c *conn) usable() bool {
	raw, ok := rawConn(c.Conn)
	if !ok {
		return false
	}
	usable := false
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		usable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// CloseIdle closes the idle connections to an upstream that was removed or is silent.
func (p *Pool) CloseIdle(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// closeAllIdle closes all idle connections.
func (p *Pool) closeAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// CloseExpired closes the idle connections that expired at now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.After(c.expires) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}
