package relay

import (
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// pauses holds until when upstreams that rejected a request want none from this VM. It is
// safe for concurrent use.
type pauses struct {
	mu    sync.Mutex
	until map[roster.Run]time.Time
}

func runOf(u roster.Upstream) roster.Run { return roster.Run{ID: u.ID, StartTime: u.StartTime} }

// note records that an upstream wants no requests for a time.
func (p *pauses) note(now time.Time, u roster.Upstream, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until == nil {
		p.until = map[roster.Run]time.Time{}
	}
	if end := now.Add(wait); end.After(p.until[runOf(u)]) {
		p.until[runOf(u)] = end
	}
}

// remaining returns how long an upstream still wants no requests, or 0.
func (p *pauses) remaining(now time.Time, u roster.Upstream) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.until[runOf(u)].Sub(now), 0)
}

// shortest returns the shortest time for which one of the upstreams still wants no
// requests, and those that want none, by id.
func (p *pauses) shortest(now time.Time, upstreams []roster.Upstream) (wait time.Duration, paused map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.until) == 0 {
		return 0, nil
	}
	for _, u := range upstreams {
		remaining := p.until[runOf(u)].Sub(now)
		if remaining <= 0 {
			continue
		}
		if paused == nil {
			paused = map[string]bool{}
		}
		paused[u.ID] = true
		if wait == 0 || remaining < wait {
			wait = remaining
		}
	}
	return wait, paused
}

// expire forgets the times that are over.
func (p *pauses) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for r, until := range p.until {
		if !now.Before(until) {
			delete(p.until, r)
		}
	}
}
