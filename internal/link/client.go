package link

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// NewClient returns an HTTP client that reads answers as a Pool does. It sends each request once and
// follows no redirects. The hosts of its requests are IP addresses with ports. Its errors wrap
// ErrNotSent or ErrBroken.
func NewClient(c Config) *http.Client {
	return &http.Client{
		Transport:     &transport{pool: NewPool(c, func() {}), config: c},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// transport is an http.RoundTripper that sends requests on the connections of a pool.
type transport struct {
	pool   *Pool
	config Config
	mu     sync.Mutex
	swept  time.Time // when expired connections were closed last
}

// sweepInterval is the least time between two searches for expired connections.
const sweepInterval = time.Second

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.sweep(time.Now())
	request, address, err := t.request(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	x, err := t.pool.Do(r.Context(), address, request)
	if err != nil {
		return nil, err
	}
	response := *x.Response
	response.Request = r
	response.Body = &exchangeBody{exchange: x, request: r}
	return &response, nil
}

// request returns a request with its whole body in memory, and the address of its server.
func (t *transport) request(r *http.Request) (Request, netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return Request{}, address, fmt.Errorf("address of the server: %w", err)
	}
	var body []byte
	if r.Body != nil {
		body, err = io.ReadAll(r.Body)
		if err = errors.Join(err, r.Body.Close()); err != nil {
			return Request{}, address, fmt.Errorf("read the body of the request: %w", err)
		}
	}
	header := r.Header
	if t.config.MaxIdle == 0 {
		header = header.Clone()
		header.Set("Connection", "close")
	}
	return Request{
		Method: cmp.Or(r.Method, http.MethodGet), Target: r.URL.RequestURI(), Host: cmp.Or(r.Host, r.URL.Host),
		Header: header, Body: body, MaxIdleTime: t.config.IdleTimeout,
	}, address, nil
}

// sweep closes expired connections, unless it has done so a short time ago.
func (t *transport) sweep(now time.Time) {
	t.mu.Lock()
	due := now.Sub(t.swept) >= sweepInterval
	if due {
		t.swept = now
	}
	t.mu.Unlock()
	if due {
		t.pool.CloseExpired(now)
	}
}

// CloseIdleConnections is called by http.Client.
func (t *transport) CloseIdleConnections() { t.pool.closeAllIdle() }

// exchangeBody is the body of an answer that ends its exchange when it is closed.
type exchangeBody struct {
	exchange *Exchange
	request  *http.Request
	ended    bool // it was read to its end
	once     sync.Once
}

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.exchange.Response.Body.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	if err != nil && !b.ended {
		if end := b.request.Context().Err(); end != nil {
			err = end // why the connection was closed
		}
	}
	return n, err //nolint:wrapcheck // an io.Reader
}

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	b.once.Do(func() { b.exchange.Close(time.Now(), b.ended) })
	return nil
}
