package logs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/delay"
)

// AppendConfig sets up an Appender.
type AppendConfig struct {
	Client *Client
	Sink   Sink
	Every  time.Duration // least time between two appends to a stream
	Most   int           // records waiting for a stream; more are dropped
}

// Appender appends records with group commit: those that arrive while an
// append is under way, or before the next may begin, go together.
type Appender struct {
	config  AppendConfig
	ctx     context.Context //nolint:containedctx // the lifetime of the workers
	mu      sync.Mutex
	streams map[string]*commit
}

type commit struct {
	owner   *Appender
	stream  string
	waiting [][]byte
}

// NewAppender returns an appender that works until ctx is done.
func NewAppender(ctx context.Context, c AppendConfig) *Appender {
	return &Appender{config: c, ctx: ctx, streams: map[string]*commit{}}
}

// Append takes a record. A failure is told to the sink; whether the record was
// appended shows only in the stream.
func (a *Appender) Append(stream string, data []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, ok := a.streams[stream]
	if !ok {
		c = &commit{owner: a, stream: stream}
		a.streams[stream] = c
		go c.loop(a.ctx)
	}
	if len(c.waiting) < a.config.Most {
		c.waiting = append(c.waiting, data)
	}
}

// take returns the waiting records. If there are none the worker ends.
func (c *commit) take() [][]byte {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	records := c.waiting
	c.waiting = nil
	if len(records) == 0 {
		delete(c.owner.streams, c.stream)
	}
	return records
}

func (c *commit) loop(ctx context.Context) {
	for {
		records := c.take()
		if len(records) == 0 || ctx.Err() != nil {
			return
		}
		if err := c.append(ctx, records); err != nil {
			c.owner.config.Sink.LogFailed(c.stream, err)
		}
		delay.Wait(ctx, c.owner.config.Every)
	}
}

// appendTries is how often records are appended whose answer was lost.
const appendTries = 3

// append appends records, again if the answer was lost: readers take a record
// that they read twice only once. After a timeout it gives up.
func (c *commit) append(ctx context.Context, records [][]byte) error {
	var err error
	for range appendTries {
		if _, err = c.owner.config.Client.Append(ctx, c.stream, records); err == nil {
			return nil
		}
		c.owner.config.Client.Fresh()
		if errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		delay.Wait(ctx, c.owner.config.Every)
	}
	return err
}
