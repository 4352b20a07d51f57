package edge

import (
	"context"
	"sync"
	"time"
)

// breakerFailures is the number of calls in a row that fail before the breaker holds others back:
// the answer to one may be lost while the store is up.
const breakerFailures = 2

// breaker holds calls to the store back while it does not answer: one of them at a time finds out
// whether it does again, for all readers and writers of this VM. It is safe for concurrent use.
type breaker struct {
	mu       sync.Mutex
	failures int           // calls in a row that have failed
	probing  bool          // a call is in progress that is to find out
	backoff  time.Duration // after the last failure
	retryAt  time.Time     // when the next call may begin
	changed  chan struct{} // closed when a call ends; nil if nobody waits for it
}

// storeCall is a call to the store that has begun.
type storeCall struct{ probe bool }

// callResult is the result of a call to the store.
type callResult int

const (
	callAnswered callResult = iota
	callFailed
	callCanceled // by this VM, so that it tells nothing of the store
)

// backoffRange bounds the backoff after a failed call.
type backoffRange struct{ least, most time.Duration }

// begin reports whether a call may begin. If not, it returns how long to wait, and a channel that
// is closed when another call ends before that. The wait is 0 if only such an end matters.
func (b *breaker) begin(now time.Time) (call storeCall, ok bool, wait time.Duration, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return storeCall{}, true, 0, nil
	}
	if !b.probing && !now.Before(b.retryAt) {
		b.probing = true
		return storeCall{probe: true}, true, 0, nil
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	if b.probing {
		return storeCall{}, false, 0, b.changed
	}
	return storeCall{}, false, b.retryAt.Sub(now), b.changed
}

// end notes the result of a call. It returns the time after which to call again.
func (b *breaker) end(now time.Time, call storeCall, r callResult, bounds backoffRange) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
	b.probing = b.probing && !call.probe
	switch r {
	case callAnswered:
		b.failures, b.backoff = 0, 0
		return 0
	case callFailed:
		b.failures++
		if b.backoff == 0 || call.probe {
			b.backoff = min(max(2*b.backoff, bounds.least), bounds.most)
			b.retryAt = now.Add(b.backoff)
		}
		return max(b.retryAt.Sub(now), bounds.least)
	default:
		return 0
	}
}

// await waits until a call may begin. It returns false if the context ended first.
func (b *breaker) await(ctx context.Context) (storeCall, bool) {
	for {
		call, ok, wait, changed := b.begin(time.Now())
		if ok {
			return call, true
		}
		var expired <-chan time.Time
		if wait > 0 {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-expired:
		case <-changed:
		case <-ctx.Done():
			return storeCall{}, false
		}
	}
}
