// Package lines provides an asynchronous writer of log lines. It never blocks the
// code that logs, and drops lines if the output is too slow.
package lines

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Config holds the output of a Writer and the limit of its queue.
type Config struct {
	Out       io.Writer
	MaxQueued int // maximum number of queued lines
}

// Writer queues lines and writes them to its output in a goroutine of its own.
type Writer struct {
	config  Config
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{} // closed when the loop has ended
}

// queueSize is the maximum number of lines that the writer of NewLogger queues. That
// is some seconds of a busy VM's output and takes a few MB of memory.
const queueSize = 8192

// New returns a running writer. When ctx ends, the writer writes the lines that are
// still queued and stops.
func New(ctx context.Context, c Config) *Writer {
	w := &Writer{config: c, lines: make(chan []byte, c.MaxQueued), done: make(chan struct{})}
	go w.loop(ctx)
	return w
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, because code that logs must not wait for the output.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Wait waits until the writer has stopped, but no longer than the timeout.
func (w *Writer) Wait(timeout time.Duration) {
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// loop writes the queued lines. If lines were dropped, it writes a warning with the
// number of dropped lines as soon as the queue is empty.
func (w *Writer) loop(ctx context.Context) {
	defer close(w.done)
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ctx.Done():
			w.drain()
			return
		}
		if dropped := w.dropped.Load(); dropped > reported && len(w.lines) == 0 {
			w.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log: lines were dropped\",\"lines\":%d}\n", dropped-reported))
			reported = dropped
		}
	}
}

// drain writes the lines that are still queued.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes a line. It ignores errors, as there is no other output to report
// them to.
func (w *Writer) write(line []byte) { _, _ = w.config.Out.Write(line) }

// NewLogger returns a logger that writes JSON lines to standard output, and the
// writer that the logger uses. The level is the name of the lowest zap level that is
// logged.
func NewLogger(ctx context.Context, level string) (*zap.Logger, *Writer, error) {
	var minLevel zapcore.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, nil, fmt.Errorf("set log level %q: %w", level, err)
	}
	w := New(ctx, Config{Out: os.Stdout, MaxQueued: queueSize})
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, minLevel)), w, nil
}
