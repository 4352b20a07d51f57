package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
)

// crashTracker gives the request path access to the detection of poison
// requests.
type crashTracker struct{ control *control }

// Admit implements relay.CrashTracker.
func (t crashTracker) Admit(now time.Time, causes []crash.Cause) relay.Block {
	if b := t.Blocked(now, causes); b.Remaining > 0 {
		return b
	}
	watched := *t.control.poison.watched.Load()
	for _, c := range causes {
		if watched[c.Print].IsZero() { // too few crashes
			continue
		}
		if remaining := t.control.poison.trials.begin(now, c.Print); remaining > 0 {
			return relay.Block{Remaining: remaining, Cause: c}
		}
	}
	return relay.Block{}
}

// Blocked implements relay.CrashTracker. Of several causes it names the one that is blocked
// for longest.
func (t crashTracker) Blocked(now time.Time, causes []crash.Cause) relay.Block {
	watched := *t.control.poison.watched.Load()
	var longest relay.Block
	for _, c := range causes {
		if remaining := watched[c.Print].Sub(now); remaining > longest.Remaining {
			longest = relay.Block{Remaining: remaining, Cause: c}
		}
	}
	return longest
}

// noteWhole notes that a request with these causes ran to its end.
func (p *poison) noteWhole(now time.Time, causes []crash.Cause) {
	parts := slices.IndexFunc(causes, func(c crash.Cause) bool { return c.Kind == crash.Part })
	if parts < 0 {
		parts = len(causes)
	}
	p.complete.add(now, causes[:parts])
	p.whole.add(now, causes[parts:])
}

// isProved reports whether a cause is a part of prompts that was in a whole answer shortly
// before: it cannot have crashed an upstream. All requests of a route may share it.
func (p *poison) isProved(now time.Time, kind crash.Kind, f crash.Fingerprint) bool {
	return kind == crash.Part && p.whole.has(now, f)
}

// trials holds the runs of requests with causes that were blocked until a moment ago. A run
// that ends well lifts the suspicion; another crash blocks the cause again.
type trials struct {
	mu    sync.Mutex
	begun map[crash.Fingerprint]time.Time
}

// begin returns 0 if a cause may be tried, and otherwise the time left until its last
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
	t.control.poison.noteWhole(now, r.Causes)
	watched := *t.control.poison.watched.Load()
	if slices.ContainsFunc(r.Causes, func(c crash.Cause) bool { _, ok := watched[c.Print]; return ok }) {
		t.control.post(requestCompleted{r})
	}
}
