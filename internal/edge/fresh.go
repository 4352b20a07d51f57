package edge

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// freshShare is the share of Bounds.Drain after which what this VM has read of the
	// upstreams is too old: one of them may have been draining for long.
	freshShare = 0.9
	// freshWait is how long a request waits for a read of the upstreams.
	freshWait = 250 * time.Millisecond
	// freshPoll is the interval at which a waiting request checks for one.
	freshPoll = 10 * time.Millisecond
)

// fresh tells the request path whether the upstreams were read recently. They were not if
// this VM was frozen or is short of processor time. In an outage of the store the last read
// counts, whatever its age; an outage is a failed read that began after it.
type fresh struct {
	feed   *feed
	bound  atomic.Int64 // longest age of a read, in nanoseconds; 0 for none
	readAt atomic.Int64 // start of the newest read that was applied, as time since the boot of the machine in nanoseconds; 0 for none
	asked  atomic.Int64 // when a read was last asked for, in the same way
}

// setBound sets the longest age of a read from Bounds.Drain.
func (f *fresh) setBound(drain, interval time.Duration) {
	f.bound.Store(int64(max(time.Duration(freshShare*float64(drain)), interval+storeTimeout)))
}

// note records that a read which started at a time was applied.
func (f *fresh) note(began time.Duration) {
	if int64(began) > f.readAt.Load() {
		f.readAt.Store(int64(began))
	}
}

// await returns true if the upstreams were read recently. If they were not, it requests a
// read and waits for it; it returns false if that takes too long.
func (f *fresh) await(ctx context.Context) bool {
	if f.current(sinceBoot()) {
		return true
	}
	now := sinceBoot()
	if last := f.asked.Load(); int64(now)-last > int64(freshWait) && f.asked.CompareAndSwap(last, int64(now)) {
		f.feed.refresh()
	}
	ctx, cancel := context.WithTimeout(ctx, freshWait)
	defer cancel()
	ticker := time.NewTicker(freshPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if f.current(sinceBoot()) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// awaitSince requests a read of the upstreams and waits until one that began at the given time
// or later was applied. It returns false if that takes too long.
func (f *fresh) awaitSince(ctx context.Context, began time.Duration) bool {
	f.feed.refresh()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ticker := time.NewTicker(freshPoll)
	defer ticker.Stop()
	for f.readAt.Load() < int64(began) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// readWithin reports whether the last read that was applied began less than d before a time.
func (f *fresh) readWithin(at, d time.Duration) bool {
	readAt := f.readAt.Load()
	return readAt > 0 && int64(at)-readAt < int64(d)
}

// current reports whether the upstreams were read recently, or cannot be read. A read of a peer shows
// that the store answers others, so that a failure before it excuses nothing.
func (f *fresh) current(now time.Duration) bool {
	bound, readAt := f.bound.Load(), f.readAt.Load()
	return bound == 0 || readAt == 0 || int64(now)-readAt <= bound || f.feed.failedAfter(time.Duration(readAt)) || f.feed.restored()
}
