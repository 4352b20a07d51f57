package edge

import (
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
)

// crashTracker gives the request path access to the detection of poison
// requests.
type crashTracker struct{ control *control }

// Admit implements relay.CrashTracker.
func (t crashTracker) Admit(now time.Time, f crash.Fingerprint) time.Duration {
	until := (*t.control.poison.watched.Load())[f]
	switch {
	case until.IsZero(): // too few crashes
		return 0
	case now.Before(until):
		return until.Sub(now)
	default:
		return t.control.poison.trials.begin(now, f)
	}
}

// BlockedFor implements relay.CrashTracker.
func (t crashTracker) BlockedFor(now time.Time, f crash.Fingerprint) time.Duration {
	return max((*t.control.poison.watched.Load())[f].Sub(now), 0)
}

// trials holds the runs of requests that were blocked until a moment ago. A run that
// ends well lifts the suspicion; another crash blocks the request again.
type trials struct {
	mu    sync.Mutex
	begun map[crash.Fingerprint]time.Time
}

// begin returns 0 if a request may be tried, and otherwise the time left until its last
// trial is over.
func (t *trials) begin(now time.Time, f crash.Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for old, begun := range t.begun {
		if now.Sub(begun) >= trialTime {
			delete(t.begun, old)
		}
	}
	if begun, ok := t.begun[f]; ok {
		return begun.Add(trialTime).Sub(now)
	}
	t.begun[f] = now
	return 0
}

// ReportBroken implements relay.CrashTracker.
func (t crashTracker) ReportBroken(r relay.BrokenRun) { t.control.post(requestBroken{r}) }

// ReportUnreachable implements relay.CrashTracker.
func (t crashTracker) ReportUnreachable(upstream string) {
	t.control.post(unreachable{upstream: upstream})
}

// completions has the requests that ran to their end during the last completionTime, at
// least, and the last two of these times at most.
type completions struct {
	mu          sync.Mutex
	begun       time.Time                      // begin of the current time
	now, before map[crash.Fingerprint]struct{} // requests of the current time and of the one before
}

const (
	completionTime = 30 * time.Second
	// maxCompletions bounds the requests of one completionTime.
	maxCompletions = 10_000
)

// add adds a request that has run to its end.
func (c *completions) add(now time.Time, f crash.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	if len(c.now) < maxCompletions {
		c.now[f] = struct{}{}
	}
}

// has reports whether a request ran to its end shortly before now.
func (c *completions) has(now time.Time, f crash.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	_, current := c.now[f]
	_, before := c.before[f]
	return current || before
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

// ReportCompleted implements relay.CrashTracker.
func (t crashTracker) ReportCompleted(now time.Time, r relay.CompletedRun) {
	t.control.poison.complete.add(now, r.Fingerprint)
	if _, suspected := (*t.control.poison.watched.Load())[r.Fingerprint]; suspected {
		t.control.post(requestCompleted{r})
	}
}
