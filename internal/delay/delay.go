// Package delay provides waiting that ends with its context.
package delay

import (
	"context"
	"time"
)

// Wait waits for d. It tells whether ctx is still open; if ctx is done before,
// it returns at once.
func Wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
