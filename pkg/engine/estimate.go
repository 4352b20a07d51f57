package engine

import (
	"math"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/demand"
)

// Queued means that the request waits in the queue. Wait is the expected time to
// its first token.
type Queued struct{ Wait time.Duration }

func (s *Scheduler) countDemand(now time.Time, n Name) {
	if n.Adapter == "" {
		return
	}
	m, ok := s.meters[n]
	if !ok {
		if len(s.meters) >= maxMeters {
			clear(s.meters)
		}
		m = &demand.Meter{}
		s.meters[n] = m
	}
	m.Add(now, meterConfig)
	s.want(now, n)
}

// minSpreadAge is the time over which an engine must have counted the requests for an
// adapter before it tells another spread. An engine to which the requests have just been
// spread would otherwise tell that a single engine is enough.
const minSpreadAge = 2 * time.Second

// Spread returns the number of engines across which the requests for an adapter
// should be divided. They are divided across spread engines now, so the demand
// measured here is one of that many parts. With the returned number, each engine's
// part takes no more than spreadShare of its batch and of its prefill capacity; the
// number is at most maxSpread.
func (s *Scheduler) Spread(now time.Time, n Name, spread int) int {
	m, ok := s.meters[n]
	if !ok || n.Adapter == "" {
		return 1
	}
	if spread > 1 && m.Age(now) < minSpreadAge {
		return spread
	}
	rate := m.LowerBound(now, meterConfig)
	batch := rate * s.avgDuration.Seconds() / float64(max(s.config.BatchSize, 1))
	prefill := rate * s.avgPrefill / prefillRate / 1000
	engines := math.Ceil(float64(max(spread, 1)) * max(batch, prefill) / spreadShare)
	return int(min(max(engines, 1), maxSpread))
}

// ttft returns the expected time to first token of a request that is sent now and
// has the given number of tokens to prefill. It takes the slowdown of the engine and
// the prefill backlog into account.
func (s *Scheduler) ttft(prefill int) time.Duration {
	return time.Duration(s.slowdown * float64(nominalTTFT(s.prefillBacklog+prefill)))
}

// nominalTTFT returns the time to first token, including the prefill of the given
// number of tokens, at an engine that prefills at prefillRate.
func nominalTTFT(tokens int) time.Duration {
	return baseTTFT + time.Duration(float64(tokens)/prefillRate*float64(time.Millisecond))
}

// estimateTTFT returns the expected time to first token of a request, including
// its time in the queue and the load of its adapter.
func (s *Scheduler) estimateTTFT(now time.Time, r *Request) time.Duration {
	prefillAhead, requestsAhead := 0, 0
	for _, q := range s.queue {
		if q.ID != r.ID && q.admitBy().Before(r.admitBy()) {
			prefillAhead += q.prefill
			requestsAhead++
		}
	}
	ttft := s.ttft(r.prefill+prefillAhead) + s.batchWait(requestsAhead)
	return ttft + max(s.loadDelay(now, r.Name), s.limitWait(now, requestsAhead))
}

// limitWait returns the time until the engine's limit allows a request that has the given
// number of queued requests ahead of it.
func (s *Scheduler) limitWait(now time.Time, ahead int) time.Duration {
	if s.gate == nil {
		return 0
	}
	return s.gate.Wait(now, ahead)
}

// loadDelay returns the expected time until an adapter is usable: 0 if it is usable
// now.
func (s *Scheduler) loadDelay(now time.Time, n Name) time.Duration {
	if s.usable(now, n) {
		return 0
	}
	return s.loadWait(now, n)
}

// batchWait returns the expected time until the batch has room for a request that
// has the given number of queued requests ahead of it.
func (s *Scheduler) batchWait(ahead int) time.Duration {
	excess := len(s.inflight) + ahead + 1 - s.config.BatchSize
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess) * s.avgDuration / time.Duration(max(s.config.BatchSize, 1))
}

// usefulUntil returns the time after which a first token is useless: UsefulUntil,
// extended if the engine needs longer even without other requests, but never after
// the deadline. The extension counts from when the request was queued.
func (s *Scheduler) usefulUntil(now time.Time, r *Request) time.Time {
	allowed := time.Duration(lateFactor * s.slowdown * float64(nominalTTFT(r.prefill)))
	if !s.usable(now, r.Name) {
		allowed += s.loadTime(r.Name) + s.modelWait(now, r.Name.Model)
	}
	arrived := now
	if !r.queued.IsZero() {
		arrived = r.queued
	}
	usefulUntil := r.UsefulUntil
	if t := arrived.Add(allowed); t.After(usefulUntil) {
		usefulUntil = t
	}
	if usefulUntil.After(r.Deadline) {
		return r.Deadline
	}
	return usefulUntil
}

// usable reports whether requests for an adapter or base model can be sent now: the
// base model is loaded; the adapter is loaded, or its load should have ended, and no
// newer version was published longer ago than staleShare allows.
func (s *Scheduler) usable(now time.Time, n Name) bool {
	if !s.known {
		return false
	}
	if n.Adapter == "" {
		return s.models[n.Model]
	}
	a, ok := s.adapters[n]
	if !ok || !a.loaded(now) {
		return false
	}
	return a.staleSince.IsZero() || now.Sub(a.staleSince) < time.Duration(staleShare*float64(s.config.MaxStale))
}

// loadWait returns the expected time until an adapter that is not usable yet is
// loaded, including the wait for other loads that come first.
func (s *Scheduler) loadWait(now time.Time, n Name) time.Duration {
	if a, ok := s.adapters[n]; ok && a.state == loading {
		return max(a.readyAt.Sub(now), 0)
	}
	wait := max(s.ordersFrom.Sub(now), 0) + s.modelWait(now, n.Model)
	loads := s.loadCount(now)
	for _, q := range s.queue {
		if _, ok := s.adapters[q.Name]; !ok && q.Name != n {
			loads++
		}
	}
	ownLoad := s.loadTime(n)
	if loads >= s.config.MaxLoads {
		wait += time.Duration(loads/s.config.MaxLoads) * ownLoad
	}
	return wait + ownLoad
}

// loadTime returns the expected duration of the load of an adapter. For a base
// model it returns 0, as modelWait covers the load of the model.
func (s *Scheduler) loadTime(n Name) time.Duration {
	if n.Adapter == "" {
		return 0
	}
	if _, ok := s.unloadedAt[n]; ok {
		return s.warm.duration()
	}
	return s.cold.duration()
}

// loadTiming estimates the duration of a load: the configured duration multiplied
// by a factor that follows past loads.
type loadTiming struct {
	expected        time.Duration
	factor          float64 // multiple of expected that a load is estimated to take
	rise, maxFactor float64 // what factor is multiplied by after each load that took longer than estimated; upper bound of factor
}

func (t *loadTiming) duration() time.Duration { return time.Duration(t.factor * float64(t.expected)) }

// tookLonger records a load that took longer than estimated, and has not ended after the given
// time.
func (t *loadTiming) tookLonger(elapsed time.Duration) {
	t.factor = min(max(t.factor, float64(elapsed)/float64(t.expected))*t.rise, t.maxFactor)
}

// endedEarly records a load that has ended within the given time, sooner than estimated.
func (t *loadTiming) endedEarly(within time.Duration) {
	t.factor = max(min(t.factor, endedMargin*float64(within)/float64(t.expected)), 1)
}

// inTime records a load that took no longer than estimated.
func (t *loadTiming) inTime() { t.factor = max(t.factor*loadFactorDecay, 1) }

func (s *Scheduler) loadTiming(warm bool) *loadTiming {
	if warm {
		return &s.warm
	}
	return &s.cold
}

// Usage is a snapshot of how busy an engine is.
type Usage struct {
	Running, Queued, Adapters               int           // requests in flight; queued requests; adapters that are loaded, loading or unloading
	AdaptersInUse, AdaptersLoading, Blocked int           // adapters with requests in flight; adapters whose load is in progress; queued requests whose adapter is not usable
	PrefillBacklog                          int           // prompt tokens waiting for prefill
	Slowdown                                float64       // moving average of the observed divided by the expected time to first token
	FirstTokenWait                          time.Duration // expected time to the first token of a short prompt
}

// failingPenalty is added to Usage.FirstTokenWait of a failing engine (see
// failureLimit), so that the engine does not look idle.
const failingPenalty = 5 * time.Second

// Usage returns how busy the engine is at now.
func (s *Scheduler) Usage(now time.Time) Usage {
	u := Usage{
		Running: len(s.inflight), Queued: len(s.queue), Adapters: len(s.adapters),
		PrefillBacklog: s.prefillBacklog, Slowdown: s.slowdown, FirstTokenWait: s.ttft(0) + s.batchWait(len(s.queue)) + s.limitWait(now, len(s.queue)),
	}
	u.AdaptersLoading = s.loadCount(now)
	for _, a := range s.adapters {
		if a.refs > 0 {
			u.AdaptersInUse++
		}
	}
	if s.failures >= failureLimit {
		u.FirstTokenWait += failingPenalty
	}
	for _, r := range s.queue {
		if !s.usable(now, r.Name) {
			u.Blocked++
		}
	}
	return u
}

// QueueLen returns the number of queued requests.
func (s *Scheduler) QueueLen() int { return len(s.queue) }
