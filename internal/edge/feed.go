package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/platform"
)

// feed follows one topic of the store.
type feed struct {
	topic  platform.Topic
	store  *platform.Store
	post   func(event)
	logger *zap.Logger
	wait   time.Duration // for new records
	pause  time.Duration // between two reads
	mu     sync.Mutex
	cancel context.CancelFunc // of the read under way
	down   bool
	onUp   func() // called when the store is back
}

// listed is all that a topic holds.
type listed struct {
	topic platform.Topic
	batch platform.Batch
	after bool // reads had failed before
}

// read is what was appended to a topic.
type read struct {
	topic platform.Topic
	batch platform.Batch
	after bool // reads had failed before
}

// retryPause is the time between two failed calls of the store.
const retryPause = 200 * time.Millisecond

func (f *feed) loop(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		batch, err := f.call(ctx, next)
		switch {
		case errors.Is(err, platform.ErrTrimmed):
			f.logger.Info("store: records were trimmed, listing", zap.String("topic", string(f.topic)))
			next = -1
			continue
		case errors.Is(err, errRestarted):
			continue
		case err != nil:
			f.failed(err)
			f.sleep(ctx, retryPause)
			continue
		}
		after := f.worked()
		if next < 0 {
			f.post(listed{topic: f.topic, batch: batch, after: after})
		} else if len(batch.Records) > 0 || after {
			f.post(read{topic: f.topic, batch: batch, after: after})
		}
		next = batch.Next
		f.sleep(ctx, f.pause)
	}
}

var errRestarted = errors.New("read was started anew")

func (f *feed) call(ctx context.Context, next int64) (platform.Batch, error) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancel = cancel
	f.mu.Unlock()
	if next < 0 {
		return f.store.Newest(bounded, f.topic)
	}
	batch, err := f.store.Read(bounded, f.topic, next, f.wait)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return batch, errRestarted
	}
	return batch, err
}

// restart starts the read under way anew, since its connection may be silent.
func (f *feed) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

func (f *feed) failed(err error) {
	if !f.down {
		f.logger.Warn("store: lost", zap.String("topic", string(f.topic)), zap.Error(err))
	}
	f.down = true
	f.store.Reconnect()
}

// worked tells whether calls had failed before.
func (f *feed) worked() bool {
	was := f.down
	if was {
		f.logger.Info("store: regained", zap.String("topic", string(f.topic)))
		if f.onUp != nil {
			f.onUp()
		}
	}
	f.down = false
	return was
}

func (f *feed) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
