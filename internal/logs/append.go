package logs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/delay"
	"github.com/tanagerlb/tanagerlb/internal/fetch"
)

// AppendConfig holds the settings and dependencies of an Appender.
type AppendConfig struct {
	Client     *Client
	Sink       Sink          // notified of failed appends
	Interval   time.Duration // minimum time between two appends to a stream
	MaxPending int           // maximum records that wait to be appended to a stream; further ones are dropped
}

// Appender appends records to streams with group commit. Records of a stream that
// arrive during an append, or during the interval after it, are appended together
// in the next request.
type Appender struct {
	config  AppendConfig
	ctx     context.Context //nolint:containedctx // the lifetime of the workers
	mu      sync.Mutex
	streams map[string]*streamWriter
}

// streamWriter appends the records of one stream. It ends when no records are
// pending.
type streamWriter struct {
	appender *Appender
	stream   string
	pending  [][]byte // guarded by the appender's mutex
}

// NewAppender returns an Appender that appends records until ctx is done.
func NewAppender(ctx context.Context, c AppendConfig) *Appender {
	return &Appender{config: c, ctx: ctx, streams: map[string]*streamWriter{}}
}

// Append queues a record. Only a read of the stream shows whether the record was
// appended. The sink is notified if the append fails, but not if the record is
// dropped because MaxPending records are queued already.
func (a *Appender) Append(stream string, data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.streams[stream]
	if !ok {
		w = &streamWriter{appender: a, stream: stream}
		a.streams[stream] = w
		go w.run(a.ctx)
	}
	if len(w.pending) < a.config.MaxPending {
		w.pending = append(w.pending, data)
	}
}

// take removes the pending records and returns them. If there are none, it removes
// the writer from the appender.
func (w *streamWriter) take() [][]byte {
	w.appender.mu.Lock()
	defer w.appender.mu.Unlock()
	records := w.pending
	w.pending = nil
	if len(records) == 0 {
		delete(w.appender.streams, w.stream)
	}
	return records
}

func (w *streamWriter) run(ctx context.Context) {
	for {
		records := w.take()
		if len(records) == 0 || ctx.Err() != nil {
			return
		}
		if err := w.append(ctx, records); err != nil {
			w.appender.config.Sink.LogFailed(w.stream, err)
		}
		delay.Wait(ctx, w.appender.config.Interval)
	}
}

// appendAttempts is the maximum number of times that the same records are sent.
const appendAttempts = 3

// append appends records. It retries after a failure, but not after a timeout. A
// retry after a lost response may append a record twice. This is harmless, because
// readers ignore duplicates.
func (w *streamWriter) append(ctx context.Context, records [][]byte) error {
	var err error
	for range appendAttempts {
		if _, err = w.appender.config.Client.Append(ctx, w.stream, records); err == nil {
			return nil
		}
		w.appender.config.Client.CloseIdle()
		if errors.Is(err, fetch.ErrStalled) || errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		delay.Wait(ctx, w.appender.config.Interval)
	}
	return err
}
