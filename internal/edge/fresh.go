package edge

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	// freshShare is the share of Bounds.Drain after which what this VM has read of the
	// upstreams is too old: one of them may have been draining for long.
	freshShare = 0.9
	// freshWait is how long a request waits for a read of the upstreams.
	freshWait = 250 * time.Millisecond
	// freshInterval is the time between two looks at whether one has come.
	freshInterval = 10 * time.Millisecond
)

var errStaleUpstreams = errors.New("upstreams were not read in time")

// fresh tells the request path whether the upstreams were read recently. It is not the case
// if this VM was frozen or is short of processor time. In an outage of the store the last
// read counts, whatever its age.
type fresh struct {
	feed   *feed
	bound  atomic.Int64 // longest age of a read, in nanoseconds; 0 for none
	readAt atomic.Int64 // begin of the newest read that was applied, as time since the boot of the machine in nanoseconds; 0 for none
	asked  atomic.Int64 // when a read was last asked for, in the same way
}

// setBound sets the longest age of a read from Bounds.Drain.
func (f *fresh) setBound(drain, interval time.Duration) {
	f.bound.Store(int64(max(time.Duration(freshShare*float64(drain)), interval+storeTimeout)))
}

// note records that a read which began at a time was applied.
func (f *fresh) note(began time.Duration) {
	if int64(began) > f.readAt.Load() {
		f.readAt.Store(int64(began))
	}
}

// await returns nil once the upstreams were read recently. It asks for a read if they were
// not.
func (f *fresh) await(ctx context.Context) error {
	if f.current(sinceBoot()) {
		return nil
	}
	now := sinceBoot()
	if last := f.asked.Load(); int64(now)-last > int64(freshWait) && f.asked.CompareAndSwap(last, int64(now)) {
		f.feed.refresh()
	}
	ctx, cancel := context.WithTimeout(ctx, freshWait)
	defer cancel()
	ticker := time.NewTicker(freshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if f.current(sinceBoot()) {
				return nil
			}
		case <-ctx.Done():
			return errStaleUpstreams
		}
	}
}

// current reports whether the upstreams were read recently, or cannot be read.
func (f *fresh) current(now time.Duration) bool {
	bound, readAt := f.bound.Load(), f.readAt.Load()
	return bound == 0 || readAt == 0 || int64(now)-readAt <= bound || f.feed.down.Load() || f.feed.listing()
}
