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

// ReportCompleted implements relay.CrashTracker.
func (t crashTracker) ReportCompleted(f crash.Fingerprint) {
	if _, suspected := (*t.control.poison.watched.Load())[f]; suspected {
		t.control.post(requestCompleted{fingerprint: f})
	}
}
