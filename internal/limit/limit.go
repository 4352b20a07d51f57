// Package limit keeps what the clients of HTTP servers hold within a budget of memory and
// descriptors. Package budget decides who gives way.
package limit

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/pkg/budget"
)

// Config holds the limits of a Limiter and what it uses.
type Config struct {
	Name     string // of the servers, in logs and metrics
	Budget   budget.Config
	Forwards bool // requests in progress need a descriptor for a connection to an upstream
	Metrics  *metric.Set
	Logger   *zap.Logger
}

// Limiter keeps what the clients of one or several servers hold within a budget.
type Limiter struct {
	config  Config
	mu      sync.Mutex
	budget  *budget.Budget
	refused map[string]*refusals
	// overdrawn is the only connection whose answer may take memory beside the budget. Answers that
	// each hold a part of the memory and wait for the rest would otherwise wait for each other.
	overdrawn *conn
}

// refusals counts refusals of a kind for the log.
type refusals struct {
	logged time.Time
	count  int // since then
}

// logInterval is the least time between two log lines on refusals of one kind.
const logInterval = 10 * time.Second

// New returns a limiter without connections.
func New(c Config) *Limiter {
	return &Limiter{config: c, budget: budget.New(c.Budget), refused: map[string]*refusals{}}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Protect limits what the clients of a server hold, which must not run yet, and returns the
// listener to serve.
func (l *Limiter) Protect(s *http.Server, from net.Listener) net.Listener {
	state, next := s.ConnState, s.Handler
	s.ConnState = func(c net.Conn, to http.ConnState) {
		if state != nil {
			state(c, to)
		}
		l.trackState(connOf(c), to)
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(next, w, r) })
	return listener{Listener: from, limiter: l}
}

// connOf returns the connection that another one may wrap; nil if there is none.
func connOf(c net.Conn) *conn {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = w.NetConn()
	}
	limited, _ := c.(*conn)
	return limited
}

func (l *Limiter) trackState(c *conn, to http.ConnState) {
	if c == nil {
		return
	}
	switch to {
	case http.StateIdle:
		c.wait()
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.endOverdraft(c)
		l.budget.Close(c.holder)
	case http.StateNew, http.StateActive:
	}
}

// serve passes a request on, within the budget.
func (l *Limiter) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || c == nil {
		next.ServeHTTP(w, r)
		return
	}
	c.begin(r)
	if r.Body != nil && r.ContentLength != 0 {
		// A copy, as http.Server decides by the type of its own request's body whether to read the rest
		// of it before an answer.
		limited := *r
		limited.Body = &body{ReadCloser: r.Body, conn: c, length: r.ContentLength}
		r = &limited
	} else if !c.run(0) {
		refuse(w)
		return
	}
	next.ServeHTTP(w, r)
	// http.Server may keep the connection for 500 ms, so that its client can read a refusal.
	c.end()
}

// Refusal is the error of a read of a body, or of an answer, for which there is no room.
type Refusal struct{}

var errRefused error = Refusal{}

// Error implements error.
func (Refusal) Error() string { return "no room for what clients hold" }

// RetryAfter returns after what time the client may try again. It differs between clients, so that
// they do not come back together.
func (Refusal) RetryAfter() time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(time.Second)) //nolint:gosec // only spreads retries
}

// retryAfter returns this time for a header.
func (r Refusal) retryAfter() string {
	return strconv.FormatFloat(r.RetryAfter().Seconds(), 'f', 3, 64)
}

// refuse answers a request that was not passed on.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", Refusal{}.retryAfter())
	http.Error(w, Refusal{}.Error(), http.StatusServiceUnavailable)
}

// body is the body of a request. Memory is reserved piece by piece, before it is read.
type body struct {
	io.ReadCloser
	conn   *conn
	length int64 // -1 if it is not known
	size   int64 // read so far
	left   int64 // reserved and not read
	err    error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.left == 0 {
		b.left = min(max(minPiece, b.size/pieceDivisor), maxPiece)
		if b.length >= 0 {
			b.left = max(1, min(b.left, b.length-b.size))
		}
		// The reader joins its pieces at the end, for which it needs the size once more.
		if !b.conn.reserve(2 * b.left) {
			b.err = errRefused
			return 0, b.err
		}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.size += int64(n)
	b.left -= int64(n)
	switch {
	case errors.Is(err, io.EOF):
		b.err = err
		if !b.conn.run(b.size) {
			b.err = errRefused
		}
	case err != nil:
		b.err = err
		if b.conn.expired.Load() {
			b.err = errRefused
		}
	}
	return n, b.err
}

// holdPause is the time between two tries to get memory for an answer.
const holdPause = 10 * time.Millisecond

// Hold reserves memory for the answer to the request with a context, and waits for it until the
// context ends.
func Hold(ctx context.Context, size int64) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil {
		return nil
	}
	for !c.reserve(size) {
		if c.expired.Load() {
			return errRefused
		}
		if c.limiter.overdraw(c) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errRefused
		case <-time.After(holdPause):
		}
	}
	return nil
}

// HeadSize returns the size of the request line and the header lines as sent. If they arrived
// before the answer to the request before them, it is the least size that they can have.
func HeadSize(r *http.Request) int {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || c == nil {
		return leastSize(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.size
}

// leastSize returns the least number of bytes of the head of a request.
func leastSize(r *http.Request) int {
	const line, field = len("  HTTP/1.1\n"), len(":\n")
	total := line + len(r.Method) + len(r.RequestURI)
	if r.Host != "" {
		total += len("Host:\n") + len(r.Host)
	}
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + field + len(value)
		}
	}
	return total
}

func countLines(h http.Header) int {
	lines := 1
	for _, values := range h {
		lines += len(values)
	}
	return lines
}

func (l *Limiter) headCost(size, lines int) int64 { return int64(size) + int64(lines)*lineBytes }

// open returns the connection for one that was accepted, or nil if there is no room for it.
func (l *Limiter) open(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, limiter: l}
	now := time.Now()
	l.mu.Lock()
	h, decision := l.budget.Open(now, clientOf(accepted), connBytes, c)
	c.holder = h
	ok, victims := l.note(now, decision, "connection")
	l.mu.Unlock()
	closeAll(victims)
	if !ok {
		return nil
	}
	return c
}

// reserve reserves memory and descriptors for the request of a connection, whose mu is locked.
func (l *Limiter) reserve(c *conn, size int64, descriptors int, first bool) bool {
	now := time.Now()
	l.mu.Lock()
	if first && !l.budget.Enter(now, c.holder, budget.Reading) {
		l.mu.Unlock()
		return false
	}
	ok, victims := l.charge(now, c, l.budget.Reserve(now, c.holder, size, descriptors), size, descriptors)
	l.mu.Unlock()
	closeAll(victims)
	return ok
}

// charge notes a decision on what the request of a connection asks for, and what it holds from then
// on. l.mu and the connection's mu are locked.
func (l *Limiter) charge(now time.Time, c *conn, d budget.Decision, size int64, descriptors int) (bool, []*budget.Holder) {
	ok, victims := l.note(now, d, "request")
	if ok {
		c.charged += size
		c.upstream += descriptors
	}
	return ok, victims
}

// overdraw lets the answer on a connection take memory beside the budget if no other one does.
func (l *Limiter) overdraw(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.overdrawn == nil {
		l.overdrawn = c
	}
	return l.overdrawn == c
}

// endOverdraft lets others exceed the budget after the end of a connection's request. l.mu is
// locked.
func (l *Limiter) endOverdraft(c *conn) {
	if l.overdrawn == c {
		l.overdrawn = nil
	}
}

// reserveBulk reserves memory for a part of a body or an answer of a connection, whose mu is locked.
func (l *Limiter) reserveBulk(c *conn, size int64) bool {
	now := time.Now()
	l.mu.Lock()
	ok, victims := l.charge(now, c, l.budget.ReserveBulk(now, c.holder, size), size, 0)
	l.mu.Unlock()
	closeAll(victims)
	return ok
}

// run reserves what a request in progress needs, for a connection whose mu is locked.
func (l *Limiter) run(c *conn, size int64) bool {
	now := time.Now()
	descriptors := 0
	if l.config.Forwards {
		descriptors = 1
	}
	l.mu.Lock()
	ok, victims := l.charge(now, c, l.budget.Reserve(now, c.holder, size, descriptors), size, descriptors)
	if ok {
		l.budget.Enter(now, c.holder, budget.Running)
	}
	l.mu.Unlock()
	closeAll(victims)
	return ok
}

// release releases what a connection holds for its request beside the head, which http.Server keeps;
// its mu is locked.
func (l *Limiter) release(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endOverdraft(c)
	kept := min(c.charged, l.headCost(c.head.size, c.head.lines))
	l.budget.Release(c.holder, c.charged-kept, c.upstream)
	c.charged, c.upstream = kept, 0
}

// wait releases what a connection held for its request; its mu is locked.
func (l *Limiter) wait(c *conn, size int64, descriptors int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endOverdraft(c)
	l.budget.Release(c.holder, size, descriptors)
	l.budget.Enter(time.Now(), c.holder, budget.Waiting)
}

// enter records a phase of a connection, and returns false if the connection is to be closed.
func (l *Limiter) enter(now time.Time, c *conn, p budget.Phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Enter(now, c.holder, p)
}

// note counts and logs a decision. It reports whether what was asked for is granted, and returns
// the connections to close. l.mu is locked.
func (l *Limiter) note(now time.Time, d budget.Decision, what string) (bool, []*budget.Holder) {
	ok := false
	var victims []*budget.Holder
	switch d := d.(type) {
	case budget.Granted:
		ok, victims = true, d.Close
	case budget.Refused:
		victims = d.Close
		l.refusal(now, what, d.Reason)
	}
	for range victims {
		l.refusal(now, "gave way", budget.Closing)
	}
	return ok, victims
}

// refusal counts a refusal, and logs the first of its kind in a while.
func (l *Limiter) refusal(now time.Time, what string, reason budget.Reason) {
	kind := l.config.Name + " " + what + " " + string(reason)
	l.config.Metrics.ClientRefused(l.config.Name, what, string(reason))
	r := l.refused[kind]
	if r == nil {
		r = &refusals{}
		l.refused[kind] = r
	}
	r.count++
	if now.Sub(r.logged) < logInterval {
		return
	}
	held, descriptors := l.budget.Held()
	l.config.Logger.Warn("client: refused", zap.String("port", l.config.Name), zap.String("what", what), zap.String("reason", string(reason)),
		zap.Int("count", r.count), zap.Int64("heldBytes", held), zap.Int("heldDescriptors", descriptors))
	r.logged, r.count = now, 0
}

func closeAll(holders []*budget.Holder) {
	for _, h := range holders {
		if c, ok := h.Conn().(*conn); ok {
			c.giveWay()
		}
	}
}
