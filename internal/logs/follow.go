package logs

import (
	"context"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/delay"
	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// Sink takes what was read of a stream and tells of failures. Its methods are
// called by several goroutines.
type Sink interface {
	LogRead(stream string, sent time.Time, batch record.Batch)
	LogFailed(stream string, err error)
}

// FollowConfig sets up a Follower.
type FollowConfig struct {
	Client *Client
	Stream string
	Sink   Sink
	Wait   time.Duration // for which a read waits at the tail
	Pause  time.Duration // after a failed read
}

// Follower reads a stream from its oldest record on.
type Follower struct {
	config FollowConfig
	cancel context.CancelFunc
}

// Follow begins to read a stream.
func Follow(ctx context.Context, c FollowConfig) *Follower {
	ctx, cancel := context.WithCancel(ctx)
	f := &Follower{config: c, cancel: cancel}
	go f.loop(ctx)
	return f
}

// Stop ends the reading.
func (f *Follower) Stop() { f.cancel() }

func (f *Follower) loop(ctx context.Context) {
	var from int64
	wait := time.Duration(0)
	for ctx.Err() == nil {
		sent := time.Now()
		batch, err := f.config.Client.Read(ctx, f.config.Stream, from, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.config.Client.Fresh()
			f.config.Sink.LogFailed(f.config.Stream, err)
			delay.Wait(ctx, f.config.Pause)
			wait = 0
			continue
		}
		f.config.Sink.LogRead(f.config.Stream, sent, batch)
		from = batch.Next
		wait = f.config.Wait
	}
}
