// Package health provides the choice among the upstreams of a plain service by
// first-hand results: upstreams that fail, are slow, or fail a part of their
// requests while their health check passes are left out and tried again now
// and then.
package health

import "time"

// Config sets up a Tracker.
type Config struct {
	Failures int           // failures in a row that take an upstream out
	Pause    time.Duration // until it is tried again; doubled with each failed trial
	Longest  time.Duration // bound on the pause
	Near     int           // requests under way up to which the own zone is preferred
}

// Outcome tells how a request ended at an upstream.
type Outcome int

// Outcomes of a request.
const (
	Fine    Outcome = iota // answered
	Errored                // answered with a failure of the upstream
	Refused                // not run: the upstream was full
	Failed                 // broke off, could not be reached or stayed silent
	Dropped                // given up by the caller
)

// Candidate is an upstream that may be picked.
type Candidate struct {
	ID   string
	Zone string
}

type state struct {
	busy     int
	failures int
	pause    time.Duration
	until    time.Time
	trial    bool
	latency  float64 // seconds, smoothed
	errors   float64 // share of requests that failed, smoothed
}

// Tracker holds the results of upstreams. Its methods must not be called at
// the same time.
type Tracker struct {
	config Config
	states map[string]*state
}

// New returns a tracker without results.
func New(c Config) *Tracker { return &Tracker{config: c, states: map[string]*state{}} }

const (
	// weight is how much one result counts in the averages.
	weight = 0.15
	// penalty is the time in seconds that a certain failure counts like.
	penalty = 0.5
	// assumed is the latency in seconds of an upstream without results.
	assumed = 0.02
	// cross is the time in seconds that another zone counts like.
	cross = 0.015
)

func (t *Tracker) of(id string) *state {
	s, ok := t.states[id]
	if !ok {
		s = &state{latency: assumed}
		t.states[id] = s
	}
	return s
}

// Pick returns the upstream for a request and counts the request there. It
// passes over those in tried; false tells that none can be asked.
func (t *Tracker) Pick(now time.Time, zone string, candidates []Candidate, tried map[string]bool) (string, bool) {
	best, least := "", 0.0
	for _, c := range candidates {
		s := t.of(c.ID)
		if tried[c.ID] || (s.failures >= t.config.Failures && (now.Before(s.until) || s.trial)) {
			continue
		}
		cost := s.latency*float64(1+s.busy) + s.errors*penalty
		if c.Zone != zone || s.busy >= t.config.Near {
			cost += cross
		}
		if best == "" || cost < least {
			best, least = c.ID, cost
		}
	}
	if best == "" {
		return "", false
	}
	s := t.of(best)
	s.busy++
	s.trial = s.failures >= t.config.Failures
	return best, true
}

// End takes the end of a request that was picked for an upstream.
func (t *Tracker) End(now time.Time, id string, o Outcome, latency time.Duration) {
	s := t.of(id)
	s.busy = max(s.busy-1, 0)
	s.trial = false
	failed := 0.0
	switch o {
	case Fine:
		s.failures, s.pause = 0, 0
		s.latency += weight * (latency.Seconds() - s.latency)
	case Errored, Refused:
		failed = 1
		s.failures, s.pause = 0, 0
	case Failed:
		failed = 1
		s.failures++
		if s.failures >= t.config.Failures {
			s.pause = min(max(2*s.pause, t.config.Pause), t.config.Longest)
			s.until = now.Add(s.pause)
		}
	case Dropped:
		return
	}
	s.errors += weight * (failed - s.errors)
}

// Fade moves all averages towards those of an upstream without results, so
// that one that was bad is tried again. It is called once a second.
func (t *Tracker) Fade() {
	for _, s := range t.states {
		s.errors -= weight * s.errors
		s.latency += weight * (assumed - s.latency)
	}
}

// Forget drops an upstream that left.
func (t *Tracker) Forget(id string) { delete(t.states, id) }
