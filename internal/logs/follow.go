package logs

import (
	"context"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/delay"
	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// Sink receives the records read from streams and the errors of reads and appends.
// Its methods must be safe for concurrent use.
type Sink interface {
	// LogRead receives a batch of records from a stream. The parameter sent is the
	// time at which the request for the batch was sent.
	LogRead(stream string, sent time.Time, batch record.Batch)
	// LogFailed receives the error of a failed read or append.
	LogFailed(stream string, err error)
}

// FollowConfig holds the settings and dependencies of a Follower.
type FollowConfig struct {
	Client     *Client
	Stream     string
	Sink       Sink
	ReadWait   time.Duration // maximum time that a read at the end of the stream waits for new records
	RetryPause time.Duration // pause after a failed read
}

// Follower reads a stream continuously from its oldest record.
type Follower struct {
	config FollowConfig
	cancel context.CancelFunc
}

// Follow starts to read a stream in the background. The Follower reads until Stop
// is called or ctx is done.
func Follow(ctx context.Context, c FollowConfig) *Follower {
	ctx, cancel := context.WithCancel(ctx)
	f := &Follower{config: c, cancel: cancel}
	go f.run(ctx)
	return f
}

// Stop stops reading the stream.
func (f *Follower) Stop() { f.cancel() }

func (f *Follower) run(ctx context.Context) {
	var offset int64
	wait := time.Duration(0)
	for ctx.Err() == nil {
		sent := time.Now()
		batch, err := f.config.Client.Read(ctx, f.config.Stream, offset, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.config.Client.CloseIdle()
			f.config.Sink.LogFailed(f.config.Stream, err)
			delay.Wait(ctx, f.config.RetryPause)
			wait = 0
			continue
		}
		f.config.Sink.LogRead(f.config.Stream, sent, batch)
		offset = batch.Next
		wait = f.config.ReadWait
	}
}
