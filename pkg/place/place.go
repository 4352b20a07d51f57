// Package place provides the choice of the engine for a request: the adapter's
// rendezvous order of engines, of which as many are used as the adapter's
// demand needs.
package place

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// Table holds what an entry VM was told by engine owners. Its methods must not
// be called at the same time.
type Table struct {
	config  Config
	spreads map[string]spread
	engines map[string]engine
	swept   time.Time
}

type spread struct {
	count int
	until time.Time
}

type engine struct {
	queue int
	told  time.Time
	avoid time.Time
}

// Config sets up a Table.
type Config struct {
	Keep time.Duration // how long hints are used
}

// New returns a table without hints.
func New(c Config) *Table {
	return &Table{config: c, spreads: map[string]spread{}, engines: map[string]engine{}}
}

// Hint takes what an owner said with an answer: over how many engines the
// adapter is spread, and how many requests the engine has.
func (t *Table) Hint(now time.Time, adapter string, count int, name string, queue int) {
	t.sweep(now)
	if count > 1 {
		t.spreads[adapter] = spread{count: count, until: now.Add(t.config.Keep)}
	}
	e := t.engines[name]
	e.queue, e.told = queue, now
	t.engines[name] = e
}

// Avoid makes the engine the last choice for a while.
func (t *Table) Avoid(now time.Time, name string, during time.Duration) {
	e := t.engines[name]
	e.avoid = now.Add(during)
	t.engines[name] = e
}

// Pick returns the engine for the next attempt: within the spread the one with
// the shortest queue, then on along the adapter's order. It returns "" if all
// engines were tried.
func (t *Table) Pick(now time.Time, adapter string, engines []string, tried map[string]bool) string {
	count := 1
	if s, ok := t.spreads[adapter]; ok && now.Before(s.until) {
		count = s.count
	}
	order := rank.Top(adapter, engines, count+len(tried)+fallbacks)
	best, least := "", 0
	for _, name := range order[:min(count, len(order))] {
		e := t.engines[name]
		if tried[name] || now.Before(e.avoid) {
			continue
		}
		if q := t.queue(now, e); best == "" || q < least {
			best, least = name, q
		}
	}
	if best != "" {
		return best
	}
	return t.fallback(now, order, tried)
}

// fallbacks is the number of engines looked at beyond the spread.
const fallbacks = 4

func (t *Table) fallback(now time.Time, order []string, tried map[string]bool) string {
	last := ""
	for _, name := range order {
		if tried[name] {
			continue
		}
		if !now.Before(t.engines[name].avoid) {
			return name
		}
		if last == "" {
			last = name
		}
	}
	return last
}

func (t *Table) queue(now time.Time, e engine) int {
	if now.Sub(e.told) > t.config.Keep {
		return 0
	}
	return e.queue
}

func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < t.config.Keep {
		return
	}
	t.swept = now
	for name, s := range t.spreads {
		if !now.Before(s.until) {
			delete(t.spreads, name)
		}
	}
}
