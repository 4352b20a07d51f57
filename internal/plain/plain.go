// Package plain provides the client for plain services, whose upstreams are ordinary
// HTTP servers and not model engines.
package plain

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/answer"
	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
)

// Errors that a Client returns. ErrNotSent means that the call certainly did not
// run, ErrIncomplete that it may have run.
var (
	ErrNotSent    = errors.New("call was not sent to the upstream")
	ErrIncomplete = errors.New("incomplete response from the upstream")
)

// maxReply is the maximum size of a reply's body, in bytes.
const maxReply = 1 << 20

// Services sends calls to the upstreams of plain services. Client and Watcher implement
// it.
type Services interface {
	Call(ctx context.Context, address netip.AddrPort, c Call) (Reply, error)
}

// Call is a call to a plain service.
type Call struct {
	Name string
	Key  string // idempotency key, if any
	Body string
	// Fingerprint is a hash of the call's content, by which calls that crash upstreams
	// are recognized.
	Fingerprint crash.Fingerprint
}

// Reply is the response of a plain service.
type Reply struct {
	Status int
	Body   string
}

// Config holds the settings of a Client.
type Config struct {
	DialTimeout time.Duration // timeout of connecting
}

// Client sends calls to the upstreams of plain services over HTTP.
type Client struct {
	http   *http.Client
	dialer net.Dialer
}

// NewClient returns a Client that opens a new connection for each call. A call thus
// never fails on a stale connection. If its connection could not be opened, the call
// certainly did not run.
func NewClient(c Config) *Client {
	return &Client{dialer: net.Dialer{Timeout: c.DialTimeout}, http: link.NewClient(link.Config{DialTimeout: c.DialTimeout})}
}

// Call sends a call to an upstream and returns the reply. It never sends a call
// twice.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, call Call) (Reply, error) {
	url := "http://" + address.String() + "/calls/" + call.Name
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(call.Body))
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Reply{}, classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	if answer.IsEncoded(response) {
		return Reply{}, fmt.Errorf("%w: the body is encoded", ErrIncomplete)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil || len(body) > maxReply {
		return Reply{}, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return Reply{Status: response.StatusCode, Body: string(body)}, nil
}

// Check opens a connection to an upstream and closes it. It returns an error if the
// upstream accepts none.
func (c *Client) Check(ctx context.Context, address netip.AddrPort) error {
	conn, err := c.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return fmt.Errorf("check upstream: %w", err)
	}
	_ = conn.Close() // nothing was sent
	return nil
}

// classify wraps an error with ErrNotSent if the connection could not be opened,
// and with ErrIncomplete otherwise.
func classify(err error) error {
	if errors.Is(err, link.ErrNotSent) {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}
