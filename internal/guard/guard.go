// Package guard limits the size, time and number of requests that an HTTP server
// accepts, so that hostile clients can use only a limited amount of memory and
// time.
package guard

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Config holds the limits of a Limiter and the handler that it protects.
type Config struct {
	Handler      http.Handler
	MaxBodyBytes int64            // maximum size of a request body in bytes
	BodyTimeout  time.Duration    // timeout for reading a request body
	MaxReads     int              // maximum number of bodies that are read concurrently
	MaxRequests  int              // maximum number of requests in progress
	OnRefusal    func(status int) // called for each refused request
}

// Limiter is an HTTP handler that reads the whole body of a request, within limits
// of size, time and number, before it calls the configured handler.
type Limiter struct {
	config       Config
	readSlots    chan struct{}
	requestSlots chan struct{}
}

// New returns a limiter that enforces the limits of c.
func New(c Config) *Limiter {
	return &Limiter{config: c, readSlots: make(chan struct{}, c.MaxReads), requestSlots: make(chan struct{}, c.MaxRequests)}
}

// ServeHTTP serves a request, or refuses it without queueing if a limit is
// exceeded.
func (l *Limiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case l.requestSlots <- struct{}{}:
		defer func() { <-l.requestSlots }()
	default:
		l.refuse(w, http.StatusServiceUnavailable)
		return
	}
	body, status := l.read(w, r)
	if status != 0 {
		l.refuse(w, status)
		drain(w, r)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	l.config.Handler.ServeHTTP(w, r)
}

// read returns the whole body and status 0, or the HTTP status with which the
// request must be refused.
func (l *Limiter) read(w http.ResponseWriter, r *http.Request) ([]byte, int) {
	if r.ContentLength > l.config.MaxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ContentLength == 0 {
		return nil, 0
	}
	select {
	case l.readSlots <- struct{}{}:
		defer func() { <-l.readSlots }()
	default:
		return nil, http.StatusServiceUnavailable
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(l.config.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, l.config.MaxBodyBytes))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, 0
	}
	var tooLarge *http.MaxBytesError
	var full interface{ RetryAfter() time.Duration } // there is no room for it; see package limit
	switch {
	case errors.As(err, &full):
		return nil, http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	default:
		return nil, http.StatusBadRequest
	}
}

const (
	maxDrainBytes = 16 << 20    // maximum number of bytes of a refused body that are read and discarded
	drainTimeout  = time.Second // timeout for reading the rest of a refused body
)

// drain reads and discards the rest of a refused body after the answer was sent. If
// the connection were closed with unread bytes, it would be reset and the client
// might lose the answer.
func drain(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxDrainBytes)
}

// refuse answers a request with an error status. The configured handler is never
// called for such a request.
func (l *Limiter) refuse(w http.ResponseWriter, status int) {
	l.config.OnRefusal(status)
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	http.Error(w, http.StatusText(status), status)
}
