// Package health picks an upstream of a plain service (one without engines) for
// `tanagerlb edge`, by the results of earlier requests: passive health checks with
// outlier ejection. An upstream is ejected after several consecutive requests with
// the outcome Failed, and then gets only a single trial request from time to time.
// An upstream that is slow, or whose requests sometimes fail or end with an error
// although its health check passes, gets fewer requests.
package health

import "time"

// Config holds the ejection rules of a Tracker and its preference for the local
// zone.
type Config struct {
	MaxFailures int           // consecutive requests with the outcome Failed that eject an upstream
	Ejection    time.Duration // length of the first ejection, after which a trial request may be sent; doubled after each failed trial
	MaxEjection time.Duration // upper limit of the ejection time
	LocalLimit  int           // an upstream of the local zone is preferred while it has fewer than this many requests in flight
}

// Outcome is how a request ended at an upstream.
type Outcome int

// Outcomes of a request.
const (
	Success     Outcome = iota // answered without an error of the upstream
	ServerError                // answered with an error of the upstream
	Refused                    // not run, as the upstream was at capacity
	Failed                     // connection broke, upstream was unreachable, or no answer in time; only this outcome counts towards ejection
	Abandoned                  // given up by the caller; changes neither the moving averages nor the count of failures
)

// Candidate is an upstream that may be picked.
type Candidate struct {
	ID   string
	Zone string
}

// stats holds the results and the ejection state of one upstream.
type stats struct {
	inFlight  int           // requests in flight
	failures  int           // consecutive requests with the outcome Failed
	ejection  time.Duration // length of the last ejection; 0 once the upstream answers
	retryAt   time.Time     // end of the ejection
	trial     bool          // a trial request is in flight
	latency   float64       // moving average of the latency, in seconds
	errorRate float64       // moving average of the error rate
}

// Tracker holds the results of upstreams. It is not safe for concurrent use.
type Tracker struct {
	config    Config
	upstreams map[string]*stats
}

// New returns a tracker without results.
func New(c Config) *Tracker { return &Tracker{config: c, upstreams: map[string]*stats{}} }

const (
	// smoothing is the weight of a new result in the moving averages, and of the
	// initial value in each call of Decay.
	smoothing = 0.15
	// errorPenalty is the cost, in seconds of latency, that an error rate of 1
	// adds to an upstream.
	errorPenalty = 0.5
	// defaultLatency is the latency, in seconds, assumed for an upstream without
	// results.
	defaultLatency = 0.02
	// zonePenalty is the additional cost, in seconds of latency, of an upstream
	// that is in another zone or has reached LocalLimit.
	zonePenalty = 0.015
)

func (t *Tracker) get(id string) *stats {
	s, ok := t.upstreams[id]
	if !ok {
		s = &stats{latency: defaultLatency}
		t.upstreams[id] = s
	}
	return s
}

// Pick returns the upstream with the lowest cost (expected latency plus penalties)
// and counts the request as in flight there. It skips the upstreams in tried, and
// ejected upstreams unless their next trial request is due. It returns false if none
// is left.
func (t *Tracker) Pick(now time.Time, zone string, candidates []Candidate, tried map[string]bool) (string, bool) {
	best, lowest := "", 0.0
	for _, c := range candidates {
		s := t.get(c.ID)
		if tried[c.ID] || (s.failures >= t.config.MaxFailures && (now.Before(s.retryAt) || s.trial)) {
			continue
		}
		cost := s.latency*float64(1+s.inFlight) + s.errorRate*errorPenalty
		if c.Zone != zone || s.inFlight >= t.config.LocalLimit {
			cost += zonePenalty
		}
		if best == "" || cost < lowest {
			best, lowest = c.ID, cost
		}
	}
	if best == "" {
		return "", false
	}
	s := t.get(best)
	s.inFlight++
	s.trial = s.failures >= t.config.MaxFailures
	return best, true
}

// End records the outcome of a request at the upstream that Pick returned for it.
func (t *Tracker) End(now time.Time, id string, o Outcome, latency time.Duration) {
	s := t.get(id)
	s.inFlight = max(s.inFlight-1, 0)
	s.trial = false
	failed := 0.0
	switch o {
	case Success:
		s.failures, s.ejection = 0, 0
		s.latency += smoothing * (latency.Seconds() - s.latency)
	case ServerError, Refused:
		failed = 1
		s.failures, s.ejection = 0, 0
	case Failed:
		failed = 1
		t.countFailure(now, s)
	case Abandoned:
		return
	}
	s.errorRate += smoothing * (failed - s.errorRate)
}

// Silent records that an upstream does not acknowledge a request, which stays in flight. It counts
// as the outcome Failed does; if the request fails later, it ends with the outcome Abandoned.
func (t *Tracker) Silent(now time.Time, id string) {
	s := t.get(id)
	s.trial = false
	t.countFailure(now, s)
	s.errorRate += smoothing * (1 - s.errorRate)
}

func (t *Tracker) countFailure(now time.Time, s *stats) {
	s.failures++
	if s.failures >= t.config.MaxFailures {
		s.ejection = min(max(2*s.ejection, t.config.Ejection), t.config.MaxEjection)
		s.retryAt = now.Add(s.ejection)
	}
}

// Decay moves all averages towards their initial values, so that an upstream with
// bad results gets requests again. It must be called once a second.
func (t *Tracker) Decay() {
	for _, s := range t.upstreams {
		s.errorRate -= smoothing * s.errorRate
		s.latency += smoothing * (defaultLatency - s.latency)
	}
}

// Remove drops the results of an upstream that is gone.
func (t *Tracker) Remove(id string) { delete(t.upstreams, id) }
