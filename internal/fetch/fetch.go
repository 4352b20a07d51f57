// Package fetch makes HTTP calls whose responses are bounded in size, and that end when no
// bytes arrive instead of after a fixed time, so that a slow link is told from a dead one.
package fetch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Errors that Do returns.
var (
	ErrTooLong = errors.New("response is too long")
	ErrStalled = errors.New("no bytes arrived in time")
)

// TransferTime is the longest time that a response may take to arrive, however steadily.
const TransferTime = 30 * time.Second

// Limits bounds a call.
type Limits struct {
	Bytes int64         // size of the response's body
	Stall time.Duration // longest time until the first byte of the body, and between two of them; 0 for no limit
	Wait  time.Duration // time that the server may wait before it responds, in addition to Stall
}

// Response is the response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request and returns its response.
func Do(client *http.Client, request *http.Request, l Limits) (Response, error) {
	ctx, stop := context.WithCancelCause(request.Context())
	defer stop(nil)
	progress := func() {}
	if l.Stall > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, l.Wait+TransferTime)
		defer cancel()
		timer := time.AfterFunc(l.Wait+l.Stall, func() { stop(ErrStalled) })
		defer timer.Stop()
		progress = func() { timer.Reset(l.Stall) }
	}
	response, err := exchange(client, request.WithContext(ctx), l.Bytes, progress)
	if err != nil && errors.Is(context.Cause(ctx), ErrStalled) {
		err = fmt.Errorf("%w: %w", ErrStalled, err)
	}
	return response, err
}

func exchange(client *http.Client, request *http.Request, limit int64, progress func()) (Response, error) {
	response, err := client.Do(request)
	if err != nil {
		return Response{}, fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close() //nolint:errcheck // the body is already read
	body, err := io.ReadAll(io.LimitReader(&progressReader{reader: response.Body, progress: progress}, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = ErrTooLong
	}
	if err != nil {
		return Response{}, fmt.Errorf("read response body after %d bytes: %w", len(body), err)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// progressReader tells when bytes were read.
type progressReader struct {
	reader   io.Reader
	progress func()
}

// progressBytes is the number of bytes that are read at a time. The reader of a chunked body
// returns only when it has filled the buffer.
const progressBytes = 8 << 10

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p[:min(len(p), progressBytes)])
	if n > 0 {
		r.progress()
	}
	return n, err //nolint:wrapcheck // it stands in for the other reader
}
