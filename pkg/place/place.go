// Package place provides the choice of the engine for a request. Home is the
// directory of adapters, which places them by the bids of engine owners; Table
// is what an entry VM goes by when a directory does not answer.
package place

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// Table remembers the engines that failed of late. Its methods must not be
// called at the same time.
type Table struct {
	avoided map[string]time.Time
}

// New returns a table that knows no failure.
func New() *Table { return &Table{avoided: map[string]time.Time{}} }

// Avoid makes the engine the last choice for a while.
func (t *Table) Avoid(now time.Time, engine string, during time.Duration) {
	t.avoided[engine] = now.Add(during)
}

// choices is the number of engines looked at beyond those that were tried.
const choices = 4

// Pick returns the first engine in the adapter's rendezvous order that was not
// tried and did not fail of late. It returns "" if all were tried.
func (t *Table) Pick(now time.Time, adapter string, engines []string, tried map[string]bool) string {
	last := ""
	for _, engine := range rank.Top(adapter, engines, choices+len(tried)) {
		if tried[engine] {
			continue
		}
		if !now.Before(t.avoided[engine]) {
			return engine
		}
		if last == "" {
			last = engine
		}
	}
	return last
}
