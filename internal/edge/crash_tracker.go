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
	t.control.poison.arrivals.add(now, causes)
	if b := t.Blocked(now, causes); b.Remaining > 0 {
		return b
	}
	watched := *t.control.poison.watched.Load()
	for _, c := range causes {
		if watched[c.Print].IsZero() { // too few crashes
			continue
		}
		if remaining := t.control.poison.trials.begin(now, c); remaining > 0 {
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
	mu   sync.Mutex
	ends map[crash.Fingerprint]time.Time // when a trial of each cause is over
}

// begin returns 0 if a cause may be tried, and otherwise the time left until its last
// trial is over.
func (t *trials) begin(now time.Time, c crash.Cause) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for old, end := range t.ends {
		if !now.Before(end) {
			delete(t.ends, old)
		}
	}
	if end, ok := t.ends[c.Print]; ok {
		return end.Sub(now)
	}
	t.ends[c.Print] = now.Add(trialTime)
	return 0
}

// ReportBroken implements relay.CrashTracker.
func (t crashTracker) ReportBroken(r relay.BrokenRun) { t.control.post(requestBroken{r}) }

// ReportUnreachable implements relay.CrashTracker.
func (t crashTracker) ReportUnreachable(upstream string) {
	t.control.post(unreachable{upstream: upstream, learned: learnedByDial})
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

// arrivals counts requests by part of their prompts, for the last completionTime and the
// one before.
type arrivals struct {
	mu          sync.Mutex
	begun       time.Time                 // begin of the current time
	now, before map[crash.Fingerprint]int // requests with each part
	all, old    int                       // requests with any part, in the current time and in the one before
}

// add counts a request that has arrived.
func (a *arrivals) add(now time.Time, causes []crash.Cause) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.now == nil || now.Sub(a.begun) >= completionTime {
		a.before, a.old = a.now, a.all
		a.now, a.all, a.begun = map[crash.Fingerprint]int{}, 0, now
	}
	if causes[len(causes)-1].Kind != crash.Part {
		return
	}
	a.all++
	for _, c := range causes {
		if _, known := a.now[c.Print]; c.Kind == crash.Part && (known || len(a.now) < maxCompletions) {
			a.now[c.Print]++
		}
	}
}

// share returns the share of the requests with prompts that have a part, from 0 to 1.
func (a *arrivals) share(part crash.Fingerprint) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.all+a.old == 0 {
		return 0
	}
	return float64(a.now[part]+a.before[part]) / float64(a.all+a.old)
}

// ReportCompleted implements relay.CrashTracker.
func (t crashTracker) ReportCompleted(now time.Time, r relay.CompletedRun) {
	p := t.control.poison
	watched := *p.watched.Load()
	suspected := slices.ContainsFunc(r.Causes, func(c crash.Cause) bool { _, ok := watched[c.Print]; return ok })
	if !r.Framed {
		if suspected || slices.ContainsFunc(r.Causes, func(c crash.Cause) bool { return c.Kind == crash.Part && !p.isProved(now, c.Kind, c.Print) }) {
			t.control.post(connectionEnded{r})
		}
		return
	}
	p.noteWhole(now, r.Causes)
	if suspected {
		t.control.post(requestCompleted{r})
	}
}
