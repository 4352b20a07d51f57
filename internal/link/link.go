// Package link provides connections to upstreams. It sends a request once, and
// tells whether any of it can have reached the upstream: net/http's transport
// sends some requests again by itself, which here would run them twice.
package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Errors of an exchange.
var (
	// ErrUnsent tells that no byte of the request reached the upstream.
	ErrUnsent = errors.New("request was not sent")
	// ErrBroken tells that the request may have run.
	ErrBroken = errors.New("connection broke")
)

// Config sets up a Pool.
type Config struct {
	Dial time.Duration // for a new connection
	Idle time.Duration // for which a connection is kept, if the upstream names no time
	Most int           // idle connections kept to one upstream
}

// Pool keeps connections to upstreams. Its methods may be called at the same
// time.
type Pool struct {
	config Config
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
	opened func()
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	used   time.Time // when the last answer on it ended
	until  time.Time // when it must not be used any more
}

const (
	// bufferSize holds the head of an answer, or a few events, in bytes.
	bufferSize = 4 << 10
	// margin is kept from the end of an upstream's idle timeout, since a
	// request that crosses the close is lost.
	margin = 1500 * time.Millisecond
)

// NewPool returns a pool. opened is called for each new connection.
func NewPool(c Config, opened func()) *Pool {
	return &Pool{
		config: c, idle: map[netip.AddrPort][]*conn{}, opened: opened,
		dialer: net.Dialer{Timeout: c.Dial, Control: bound, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		}},
	}
}

// unacknowledged bounds the time that sent bytes stay without an
// acknowledgement: an upstream that lost its power sends no reset.
const unacknowledged = time.Second

// bound makes a connection fail whose other end is silent.
func bound(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("bound a connection: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("bound a connection: %w", failed)
	}
	return nil
}

// Request is a request to an upstream.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	Fresh  time.Duration // a kept connection must have been used within this; 0 for any
}

// Exchange is a request under way and its answer. Close must be called.
type Exchange struct {
	Response *http.Response
	pool     *Pool
	at       netip.AddrPort
	conn     *conn
	stop     func() bool
	sent     chan error
}

// Do sends a request to the upstream at an address and returns when the head
// of the answer is there. The end of ctx breaks the exchange off. A failure
// wraps ErrUnsent or ErrBroken.
func (p *Pool) Do(ctx context.Context, at netip.AddrPort, r Request) (*Exchange, error) {
	c, err := p.take(ctx, at, r.Fresh)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	x := &Exchange{pool: p, at: at, conn: c, sent: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	w := &sender{conn: c, text: r.encode(), sent: x.sent}
	if len(r.Body) <= bufferSize {
		w.run()
	} else {
		// An upstream may answer before it has read a long body.
		go w.run()
	}
	request := &http.Request{Method: r.Method, URL: &url.URL{Path: "/"}}
	x.Response, err = http.ReadResponse(c.reader, request) //nolint:bodyclose // by Close
	for err == nil && x.Response.StatusCode < http.StatusOK {
		x.Response, err = http.ReadResponse(c.reader, request) //nolint:bodyclose // by Close
	}
	if err != nil {
		x.stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return x, nil
}

// sender writes a request.
type sender struct {
	conn net.Conn
	text []byte
	sent chan<- error
}

func (s *sender) run() {
	_, err := s.conn.Write(s.text)
	s.sent <- err
}

func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(bufferSize + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	h := r.Header.Clone()
	h.Del("Content-Length")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	_ = h.Write(&b) // a buffer does not fail
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Close ends the exchange. The connection is kept if whole tells that the
// answer was read to its end and belonged to the request.
func (x *Exchange) Close(now time.Time, whole bool) {
	live := x.stop()
	select {
	case err := <-x.sent:
		whole = whole && err == nil
	default: // the upstream answered before it had read the request
		whole = false
	}
	idle := x.idleTime()
	if !live || !whole || x.Response.Close || idle <= 0 || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close() // first, as closing a body reads the rest of it
		_ = x.Response.Body.Close()
		return
	}
	_ = x.Response.Body.Close()
	x.conn.used, x.conn.until = now, now.Add(idle)
	x.pool.put(x.at, x.conn)
}

// idleTime returns how long the connection may be kept.
func (x *Exchange) idleTime() time.Duration {
	for part := range strings.SplitSeq(x.Response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			return time.Duration(seconds)*time.Second - margin
		}
	}
	return x.pool.config.Idle
}

func (p *Pool) take(ctx context.Context, at netip.AddrPort, fresh time.Duration) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	var c *conn
	for list := p.idle[at]; len(list) > 0 && c == nil; list = p.idle[at] {
		c = list[len(list)-1]
		p.idle[at] = list[:len(list)-1]
		if now.After(c.until) || (fresh > 0 && now.Sub(c.used) > fresh) || !c.quiet() {
			_ = c.Close()
			c = nil
		}
	}
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	opened, err := p.dialer.DialContext(ctx, "tcp", at.String())
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", at, err)
	}
	p.opened()
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, bufferSize)}, nil
}

func (p *Pool) put(at netip.AddrPort, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[at]) >= p.config.Most {
		_ = c.Close()
		return
	}
	p.idle[at] = append(p.idle[at], c)
}

// quiet tells whether nothing came on an idle connection: neither its end nor
// bytes that belong to no request.
func (c *conn) quiet() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Drop closes the idle connections to an upstream that left.
func (p *Pool) Drop(at netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[at] {
		_ = c.Close()
	}
	delete(p.idle, at)
}

// Sweep closes the connections whose time is over.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for at, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		p.idle[at] = kept
		if len(kept) == 0 {
			delete(p.idle, at)
		}
	}
}
