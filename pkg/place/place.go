// Package place chooses the engine for a request. A Directory assigns adapters to
// engines by bids: the owner of each engine states what it would cost to serve an
// adapter on that engine. One VM runs the directory of an adapter. While this VM does
// not answer, the VM that received the request chooses the engine with a Fallback.
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

// NewFallback returns a Fallback that avoids no engine.
func NewFallback() *Fallback { return &Fallback{avoided: map[string]time.Time{}} }

// Avoid makes Pick return an engine only as a last resort for the given duration.
func (f *Fallback) Avoid(now time.Time, engine string, duration time.Duration) {
	f.avoided[engine] = now.Add(duration)
}

// minUntried is the minimum number of untried engines that Pick considers. If fewer
// are left, it considers all of them.
const minUntried = 4

// Pick returns the first engine in the adapter's rendezvous order that was not tried
// and is not avoided at now. If all untried engines that it considers (see
// minUntried) are avoided, it returns the first of them. If all engines were
// tried, it returns "".
func (f *Fallback) Pick(now time.Time, adapter string, engines []string, tried map[string]bool) string {
	last := ""
	for _, engine := range rank.Top(adapter, engines, minUntried+len(tried)) {
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
