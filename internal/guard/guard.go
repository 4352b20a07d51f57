// Package guard provides the bounds on what an HTTP interface takes from its
// clients, so that hostile input costs bounded memory and time.
package guard

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Config sets up a Guard.
type Config struct {
	Handler http.Handler
	Body    int64         // bytes of a request's body
	Time    time.Duration // for a request's body to arrive
	Reads   int           // bodies that are read at once
	Calls   int           // requests in progress at once
	Refused func(status int)
}

// Guard reads the whole body of a request before it calls its handler, within
// bounds of size, time and number.
type Guard struct {
	config Config
	reads  chan struct{}
	calls  chan struct{}
}

// New returns a guard.
func New(c Config) *Guard {
	return &Guard{config: c, reads: make(chan struct{}, c.Reads), calls: make(chan struct{}, c.Calls)}
}

// ServeHTTP serves a request or refuses it at once.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case g.calls <- struct{}{}:
		defer func() { <-g.calls }()
	default:
		g.refuse(w, http.StatusServiceUnavailable)
		return
	}
	body, status := g.read(w, r)
	if status != 0 {
		g.refuse(w, status)
		drain(w, r)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	g.config.Handler.ServeHTTP(w, r)
}

// read returns the whole body, or the status of a refusal.
func (g *Guard) read(w http.ResponseWriter, r *http.Request) ([]byte, int) {
	if r.ContentLength > g.config.Body {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ContentLength == 0 {
		return nil, 0
	}
	select {
	case g.reads <- struct{}{}:
		defer func() { <-g.reads }()
	default:
		return nil, http.StatusServiceUnavailable
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.config.Time))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.config.Body))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, 0
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	default:
		return nil, http.StatusBadRequest
	}
}

const (
	drainBytes = 16 << 20    // of a refused body that are read and dropped
	drainTime  = time.Second // for which they are
)

// drain drops the rest of a refused body after the answer was sent: a
// connection that is closed with bytes unread is reset, and the client may
// never see the answer.
func drain(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(drainTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, drainBytes)
}

// refuse answers at once. The request was not run.
func (g *Guard) refuse(w http.ResponseWriter, status int) {
	g.config.Refused(status)
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	http.Error(w, http.StatusText(status), status)
}
