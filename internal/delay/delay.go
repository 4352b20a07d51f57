// Package delay provides a sleep that a context can cancel.
package delay

import (
	"context"
	"time"
)

// Wait sleeps for d, or until ctx ends. It reports whether d elapsed before ctx
// ended. If d is zero or negative, Wait does not sleep and returns false only if ctx
// has already ended.
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
