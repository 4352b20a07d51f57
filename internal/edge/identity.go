package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/link"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/platform"
)

// checkTimeout is the timeout of a check of an upstream: a dial and a short request. A busy
// upstream may answer later.
const checkTimeout = 2 * dialTimeout

var (
	// errReplaced is the error of a check of an upstream whose address another process uses.
	errReplaced = errors.New("another process uses the address")
	// errNoAnswer is the error of a check that did not show whether the upstream's process runs.
	errNoAnswer = errors.New("upstream accepts connections but does not answer")
	// errSilent is the error of a check of an upstream that neither accepted nor refused a connection.
	errSilent = errors.New("upstream is silent")
)

// checker checks whether an upstream's process still runs.
type checker struct{ pool *link.Pool }

// check returns an error if the upstream refuses connections, errSilent if it does not even do
// that, errReplaced if another process answers at its address, and errNoAnswer if none answers in
// time. healthPath is the path of its health check; if it is empty, only a connection is opened.
func (c checker) check(ctx context.Context, u roster.Upstream, healthPath string) error {
	if healthPath == "" {
		return dialError(c.pool.Check(ctx, u.Address))
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	e, err := c.pool.Do(ctx, u.Address, link.Request{
		Method: http.MethodGet, Target: healthPath, Host: u.Address.String(), Header: platform.HealthHeader(u.ID), NewConn: true,
		IsAnswer: func(h http.Header) bool { return platform.ResponseID(h) == "" },
	})
	switch {
	case errors.Is(err, link.ErrNotSent):
		return dialError(err)
	case err != nil:
		return errNoAnswer
	}
	// The connection is not reused: a late copy of the answer, which has no id, could not be told
	// from the answer to the next request.
	e.Close(time.Now(), false)
	switch {
	case platform.ResponseID(e.Response.Header) != "": // an answer to an earlier request on the connection
		return errNoAnswer
	case platform.AnsweredByAnother(u.ID, e.Response.StatusCode, e.Response.Header):
		return errReplaced
	}
	return nil
}

// dialError returns the error of a check whose dial failed with err, or nil.
func dialError(err error) error {
	switch {
	case err == nil, isRefused(err):
		return err
	case isReset(err):
		return errNoAnswer
	default:
		return fmt.Errorf("%w: %w", errSilent, err)
	}
}

// isRefused reports whether a dial failed because no process listens at the address. Any other
// failure, such as a timeout, may be one of the network.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isReset reports whether a dial failed because the connection was reset once it was open, as an
// upstream does that has enough connections.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// healthPath returns the path of the health check of a service, or "" if it is not known.
func (c *control) healthPath(service string) string {
	if c.table == nil {
		return ""
	}
	s := c.table.Service(service)
	if s == nil {
		return ""
	}
	return s.HealthPath
}
