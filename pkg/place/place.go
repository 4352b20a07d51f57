// Package place chooses the engine for a request. A Directory assigns adapters to
// engines by bids, in which the owners of engines state what it would cost to
// serve an adapter there. While the directory of an adapter does not answer, the
// VM that received the request chooses the engine with a Fallback.
package place

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// Fallback chooses engines without a Directory, and remembers the engines that
// failed recently. It is not safe for concurrent use.
type Fallback struct {
	avoided map[string]time.Time // time until which an engine is avoided, by engine
}

// NewFallback returns a Fallback without failed engines.
func NewFallback() *Fallback { return &Fallback{avoided: map[string]time.Time{}} }

// Avoid makes an engine the last choice for the given duration.
func (f *Fallback) Avoid(now time.Time, engine string, duration time.Duration) {
	f.avoided[engine] = now.Add(duration)
}

// maxUntried is the least number of untried engines that Pick considers, if there
// are so many.
const maxUntried = 4

// Pick returns the first engine in the adapter's rendezvous order that was not
// tried and is not avoided. If all untried engines that it considers are avoided,
// it returns the first of them. If all engines were tried, it returns "".
func (f *Fallback) Pick(now time.Time, adapter string, engines []string, tried map[string]bool) string {
	last := ""
	for _, engine := range rank.Top(adapter, engines, maxUntried+len(tried)) {
		if tried[engine] {
			continue
		}
		if !now.Before(f.avoided[engine]) {
			return engine
		}
		if last == "" {
			last = engine
		}
	}
	return last
}
