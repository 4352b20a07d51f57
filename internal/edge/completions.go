package edge

import (
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
)

// completions has the causes with which requests ran to their end during the last
// completionTime, at least, and the last two of these times at most.
type completions struct {
	mu          sync.Mutex
	begun       time.Time                      // begin of the current time
	now, before map[crash.Fingerprint]struct{} // causes of the current time and of the one before
}

const (
	completionTime = 30 * time.Second
	// maxCompletions bounds the causes of one completionTime.
	maxCompletions = 20_000
)

// add adds the causes of a request that has run to its end.
func (c *completions) add(now time.Time, causes []crash.Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	for _, cause := range causes {
		if len(c.now) < maxCompletions {
			c.now[cause.Print] = struct{}{}
		}
	}
}

// has reports whether a request with a cause ran to its end shortly before now.
func (c *completions) has(now time.Time, f crash.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	_, current := c.now[f]
	_, before := c.before[f]
	return current || before
}

// empty reports whether no request ran to its end shortly before now.
func (c *completions) empty(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	return len(c.now)+len(c.before) == 0
}

func (c *completions) expire(now time.Time) {
	elapsed := now.Sub(c.begun)
	if elapsed < completionTime && c.now != nil {
		return
	}
	c.before, c.now = c.now, map[crash.Fingerprint]struct{}{}
	if elapsed >= 2*completionTime {
		c.before = nil
	}
	c.begun = now
}
