package relay

import (
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// pauses holds until when upstreams that rejected a request want none from this VM. It is
// safe for concurrent use.
type pauses struct {
	mu sync.Mutex
	of map[string]pause // by id
}

type pause struct {
	noted, until time.Time
	startTime    int64 // of the upstream, as this VM knew it
}

// maxClockSkew is how far the clocks of an upstream and this VM may be apart.
const maxClockSkew = 10 * time.Second

// remaining returns how long an upstream still wants no requests, or 0. If it has started
// anew since, it has not asked for that; but the VM may have learned of the start later than
// of the pause, and the clocks may differ. So after a start that may have been before the
// pause, the pause goes on for maxClockSkew at most.
func (p pause) remaining(now time.Time, u roster.Upstream) time.Duration {
	until := p.until
	if started := time.UnixMilli(u.StartTime); u.StartTime != p.startTime && started.After(p.noted) {
		if started.Sub(p.noted) > maxClockSkew {
			return 0
		}
		until = earlier(until, p.noted.Add(maxClockSkew))
	}
	return max(until.Sub(now), 0)
}

// note records that an upstream wants no requests for a time.
func (p *pauses) note(now time.Time, u roster.Upstream, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.of == nil {
		p.of = map[string]pause{}
	}
	if next := (pause{noted: now, until: now.Add(wait), startTime: u.StartTime}); next.until.After(p.of[u.ID].until) || p.of[u.ID].remaining(now, u) == 0 {
		p.of[u.ID] = next
	}
}

// remaining returns how long an upstream still wants no requests, or 0.
func (p *pauses) remaining(now time.Time, u roster.Upstream) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of[u.ID].remaining(now, u)
}

// shortest returns the shortest time for which one of the upstreams still wants no
// requests, and those that want none, by id.
func (p *pauses) shortest(now time.Time, upstreams []roster.Upstream) (wait time.Duration, paused map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.of) == 0 {
		return 0, nil
	}
	for _, u := range upstreams {
		remaining := p.of[u.ID].remaining(now, u)
		if remaining == 0 {
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
	for id, one := range p.of {
		if !now.Before(one.until) {
			delete(p.of, id)
		}
	}
}
