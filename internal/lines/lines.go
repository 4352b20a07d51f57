// Package lines provides the output of log lines: it never blocks who logs, and
// drops lines when whoever reads them is too slow.
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

// Config sets up a Writer.
type Config struct {
	Out  io.Writer
	Most int // lines that wait to be written
}

// Writer writes lines to an output from a loop of its own.
type Writer struct {
	config  Config
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// most is the number of lines that wait in a process: some seconds of a busy
// VM, in a few MB.
const most = 8192

// New returns a writer whose loop runs until ctx ends.
func New(ctx context.Context, c Config) *Writer {
	w := &Writer{config: c, lines: make(chan []byte, c.Most), done: make(chan struct{})}
	go w.loop(ctx)
	return w
}

// Write queues a line, or drops it if too many wait. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, since it must not wait for the output.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Wait returns when the loop has ended, or after a while.
func (w *Writer) Wait(bound time.Duration) {
	select {
	case <-w.done:
	case <-time.After(bound):
	}
}

func (w *Writer) loop(ctx context.Context) {
	defer close(w.done)
	told := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ctx.Done():
			w.drain()
			return
		}
		if dropped := w.dropped.Load(); dropped > told && len(w.lines) == 0 {
			w.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log: lines were dropped\",\"lines\":%d}\n", dropped-told))
			told = dropped
		}
	}
}

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

// write writes a line. Without an output there is nobody to tell of a failure.
func (w *Writer) write(line []byte) { _, _ = w.config.Out.Write(line) }

// Logger returns a logger of JSON lines to standard output, at a least level
// that is one of zap's names, and its writer.
func Logger(ctx context.Context, level string) (*zap.Logger, *Writer, error) {
	var least zapcore.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return nil, nil, fmt.Errorf("set log level %q: %w", level, err)
	}
	w := New(ctx, Config{Out: os.Stdout, Most: most})
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, least)), w, nil
}
