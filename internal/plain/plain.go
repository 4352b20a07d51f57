// Package plain provides the client of plain services.
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
)

// Errors of the client. After ErrNotSent the call certainly did not run.
var (
	ErrNotSent = errors.New("call was not sent")
	ErrBroken  = errors.New("no whole answer came")
)

// maxReply bounds the body of a reply, in bytes.
const maxReply = 1 << 20

// Services is the port to plain services.
type Services interface {
	Call(ctx context.Context, address netip.AddrPort, c Call) (Reply, error)
}

// Call is a call of a plain service.
type Call struct {
	Name string
	Key  string
	Body string
}

// Reply is the answer of a plain service.
type Reply struct {
	Status int
	Body   string
}

// Config sets up a Client.
type Config struct {
	Dial time.Duration // bound on connecting
}

// Client sends calls to plain services.
type Client struct{ http *http.Client }

// NewClient returns a client. It opens a connection for each call, so that a
// connection that has gone silent is never taken for a new call, and a call
// that could not be sent is known not to have run.
func NewClient(c Config) *Client {
	dialer := &net.Dialer{Timeout: c.Dial}
	return &Client{http: &http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call runs a call once.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, call Call) (Reply, error) {
	url := "http://" + address.String() + "/calls/" + call.Name
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(call.Body))
	if err != nil {
		return Reply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	request.GetBody = nil // never send it twice
	response, err := c.http.Do(request)
	if err != nil {
		return Reply{}, classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply+1))
	if err != nil || len(body) > maxReply {
		return Reply{}, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return Reply{Status: response.StatusCode, Body: string(body)}, nil
}

// classify tells whether a failed call was surely not sent.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
