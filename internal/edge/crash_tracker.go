package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
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
func (t crashTracker) ReportUnreachable(began time.Time, u roster.Upstream, err error) {
	switch {
	case isRefused(err):
		t.control.post(unreachable{upstream: u.ID, learned: learnedByDial})
	case isReset(err):
		t.control.post(unresponsive{upstream: u})
	default:
		t.control.post(unresponsive{upstream: u, since: began})
	}
}

// ReportWriting implements relay.CrashTracker.
func (t crashTracker) ReportWriting(now time.Time, r relay.CompletedRun) {
	p := t.control.poison
	p.whole.add(now, crash.Prints(r.Causes))
	if t.isSuspected(r.Causes) {
		t.control.post(requestCompleted{r})
	}
}

// isSuspected reports whether upstreams have crashed under a cause, or may have.
func (t crashTracker) isSuspected(causes []crash.Cause) bool {
	watched := *t.control.poison.watched.Load()
	return slices.ContainsFunc(causes, func(c crash.Cause) bool { _, ok := watched[c.Print]; return ok })
}

// ReportCompleted implements relay.CrashTracker.
func (t crashTracker) ReportCompleted(now time.Time, r relay.CompletedRun) {
	p := t.control.poison
	suspected := t.isSuspected(r.Causes)
	if !r.Framed {
		if suspected || slices.ContainsFunc(r.Causes, func(c crash.Cause) bool { return c.Kind == crash.Part && !p.isProved(now, c.Kind, c.Print) }) {
			t.control.post(connectionEnded{r})
		}
		return
	}
	p.noteComplete(now, r.Causes)
	if suspected {
		t.control.post(requestCompleted{r})
	}
}
