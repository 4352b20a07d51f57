package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
)

// completions has the causes with which requests ran to their end during the last
// completionTime, at least, and the last two of these times at most.
type completions struct {
	mu          sync.Mutex
	begun       time.Time    // begin of the current time
	now, before completeRuns // of the current time and of the one before
}

const (
	completionTime = 30 * time.Second
	// maxCompletions bounds the causes of one completionTime.
	maxCompletions = 20_000
	// maxFrequent is the number of causes that completeRuns keeps as the most frequent ones.
	maxFrequent = 4
)

// completeRuns counts the requests that ran to their end, by cause.
type completeRuns struct {
	counts   map[crash.Fingerprint]int
	frequent []crash.Fingerprint // those with the highest counts, in no particular order
}

func (r *completeRuns) add(f crash.Fingerprint) {
	if _, known := r.counts[f]; !known && len(r.counts) >= maxCompletions {
		return
	}
	r.counts[f]++
	if slices.Contains(r.frequent, f) {
		return
	}
	if len(r.frequent) < maxFrequent {
		r.frequent = append(r.frequent, f)
		return
	}
	rarest := 0
	for i, other := range r.frequent {
		if r.counts[other] < r.counts[r.frequent[rarest]] {
			rarest = i
		}
	}
	if r.counts[f] > r.counts[r.frequent[rarest]] {
		r.frequent[rarest] = f
	}
}

// add adds the causes of a request that has run to its end.
func (c *completions) add(now time.Time, causes []crash.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	for _, f := range causes {
		c.now.add(f)
	}
}

// has reports whether a request with a cause ran to its end shortly before now.
func (c *completions) has(now time.Time, f crash.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	return c.now.counts[f]+c.before.counts[f] > 0
}

// mostFrequent returns the causes with which most requests ran to their end shortly before now,
// at most maxFrequent.
func (c *completions) mostFrequent(now time.Time) []crash.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	list := slices.Clone(c.now.frequent)
	for _, f := range c.before.frequent {
		if len(list) < maxFrequent && !slices.Contains(list, f) {
			list = append(list, f)
		}
	}
	return list
}

// empty reports whether no request ran to its end shortly before now.
func (c *completions) empty(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	return len(c.now.counts)+len(c.before.counts) == 0
}

func (c *completions) expire(now time.Time) {
	elapsed := now.Sub(c.begun)
	if elapsed < completionTime && c.now.counts != nil {
		return
	}
	c.before, c.now = c.now, completeRuns{counts: map[crash.Fingerprint]int{}}
	if elapsed >= 2*completionTime {
		c.before = completeRuns{}
	}
	c.begun = now
}
