// Package place chooses the engine for a request. A Directory assigns
// adapters to engines by the bids of the engines' owners. A Fallback chooses the
// engine at the VM that received the request, while the directory does not
// answer.
package place

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// Fallback chooses engines without a Directory, and remembers the engines that
// failed recently. It is not safe for concurrent use.
type Fallback struct {
	avoided map[string]time.Time // until when, by engine
}

// NewFallback returns a Fallback without failed engines.
func NewFallback() *Fallback { return &Fallback{avoided: map[string]time.Time{}} }

// Avoid makes an engine the last choice for the given time.
func (f *Fallback) Avoid(now time.Time, engine string, duration time.Duration) {
	f.avoided[engine] = now.Add(duration)
}

// maxUntried is the number of untried engines that Pick considers.
const maxUntried = 4

// Pick returns the first engine in the adapter's rendezvous order that was not
// tried and is not avoided. If all considered engines are avoided it returns the
// first untried one, and "" if all were tried.
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
