package slots

import (
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const (
	reserveDivisor = 32                    // one batch place in 32, rounded down, is reserved for urgent requests
	reserveWindow  = 30 * time.Second      // how long places stay reserved after the last urgent request arrived
	expireInterval = 20 * time.Millisecond // minimum time between checks for requests that cannot meet their deadline
	// weightUpdateStep sets when a pending permit request is repeated: once the
	// load weight has grown by weightUpdateStep times Weights.Batch, which is the
	// weight of one waiting request. A Weights.Batch below 1 counts as 1.
	weightUpdateStep = 2
)

// Next returns the actions that are due at now. Call it after each change, and
// also periodically: a waiting request whose deadline passes is refused only by
// Next.
func (s *Scheduler) Next(now time.Time) []Action {
	s.sweep(now)
	actions := s.releases
	s.releases = nil
	actions = append(actions, s.expire(now)...)
	actions = append(actions, s.start(now)...)
	actions = append(actions, s.load(now)...)
	return append(actions, s.requestPermit(now)...)
}

// expire refuses waiting requests that can no longer meet their deadline.
func (s *Scheduler) expire(now time.Time) []Action {
	if now.Sub(s.lastExpiry) < expireInterval {
		return nil
	}
	s.lastExpiry = now
	var actions []Action
	for _, name := range s.waitingAdapters() {
		a := s.queued[name]
		for index := 0; index < len(a.waiting); {
			reason := s.infeasible(now, name, a, a.waiting[index])
			if reason == "" {
				index++
				continue
			}
			r := s.remove(a, index)
			actions = append(actions, Refuse{Request: *r, Reason: reason, RetryAfter: minRetryAfter})
		}
	}
	return actions
}

// infeasible returns the reason why a request that is not running yet cannot
// start before its deadline, or "" if it may still be possible.
func (s *Scheduler) infeasible(now time.Time, name spec.Adapter, a *adapter, r *Request) Reason {
	switch {
	case !now.Before(r.Deadline):
		return DeadlinePassed
	case s.HasAdapter(name):
		return ""
	case a.retryAt.After(r.Deadline):
		return LoadFailing
	case now.Add(s.config.LoadTime).After(r.Deadline):
		return LoadTooSlow
	default:
		return ""
	}
}

// waitingAdapters returns the adapters with waiting requests, sorted.
func (s *Scheduler) waitingAdapters() []spec.Adapter {
	waitingAdapters := make([]spec.Adapter, 0, len(s.queued))
	for name := range s.queued {
		waitingAdapters = append(waitingAdapters, name)
	}
	slices.SortFunc(waitingAdapters, compareAdapters)
	return waitingAdapters
}

func compareAdapters(a, b spec.Adapter) int {
	if c := strings.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return strings.Compare(a.Version, b.Version)
}

// start starts waiting requests whose adapters are ready while the batch has
// free places.
func (s *Scheduler) start(now time.Time) []Action {
	var actions []Action
	for s.freePlaces() > 0 {
		a, index := s.pick(now)
		if a == nil {
			break
		}
		actions = append(actions, s.run(now, a, index))
	}
	return actions
}

// pick returns the next request to start, as its adapter and its index in that
// adapter's queue. The adapter is nil if no request can start.
func (s *Scheduler) pick(now time.Time) (*adapter, int) {
	var best *adapter
	bestIndex := 0
	for name, a := range s.queued {
		if i, ok := s.readyInstance(name); !ok || i.draining {
			continue
		}
		index := slices.IndexFunc(a.waiting, func(r *Request) bool { return s.mayStart(now, r) })
		if index >= 0 && (best == nil || compareRequests(a.waiting[index], best.waiting[bestIndex]) < 0) {
			best, bestIndex = a, index
		}
	}
	return best, bestIndex
}

func (s *Scheduler) mayStart(now time.Time, r *Request) bool {
	if (r.Suspect && s.runningSuspects > 0) || !now.Before(r.Deadline) {
		return false
	}
	return r.Urgency == spec.Urgent || s.freePlaces() > s.reserved(now)
}

// reserved returns the number of batch places reserved for urgent requests.
func (s *Scheduler) reserved(now time.Time) int {
	if s.lastUrgent.IsZero() || now.Sub(s.lastUrgent) > reserveWindow {
		return 0
	}
	return s.config.BatchSize / reserveDivisor
}

func (s *Scheduler) run(now time.Time, a *adapter, index int) Action {
	r := s.remove(a, index)
	i := s.instances[r.Adapter]
	s.running[r.ID] = r
	s.startedAt[r.ID] = now
	i.running++
	if r.Suspect {
		s.runningSuspects++
	}
	return Start{Request: *r, Instance: i.Instance, LoadWait: max(i.readySince.Sub(r.Arrived), 0)}
}

// load uses a granted permit. If a slot is free, it loads an adapter; otherwise
// it first unloads an idle instance. If no adapter can be loaded now or no
// instance can be unloaded, it releases the permit.
func (s *Scheduler) load(now time.Time) []Action {
	if s.permit != permitGranted {
		return nil
	}
	name, _, ok := s.candidate(now)
	if !ok {
		return s.releasePermit()
	}
	if len(s.instances) < s.config.Slots {
		s.permit = permitUsed
		i := &instance{Instance: Instance{Adapter: name, FencingToken: s.config.FencingToken}, phase: loading}
		s.instances[name] = i
		return []Action{Load{Instance: i.Instance}}
	}
	if s.unloadCount() > 0 {
		return nil
	}
	v := s.victim(now)
	if v == nil {
		return s.releasePermit()
	}
	v.phase, v.draining = unloading, false
	return []Action{Unload{Instance: v.Instance}}
}

func (s *Scheduler) releasePermit() []Action {
	s.permit = permitNone
	return []Action{ReleasePermit{}}
}

func (s *Scheduler) unloadCount() int {
	count := 0
	for _, i := range s.instances {
		if i.phase == unloading {
			count++
		}
	}
	return count
}

// victim returns the instance to unload, or nil. It is the instance with the
// lowest demand among those that run no request and that either have no waiting
// requests or are being drained.
func (s *Scheduler) victim(now time.Time) *instance {
	return s.leastDemand(now, func(i *instance) bool {
		_, hasWaiting := s.queued[i.Adapter]
		return i.running == 0 && (!hasWaiting || i.draining)
	})
}

// leastDemand returns the instance with the lowest demand, or nil. It considers
// only the eligible instances that are ready and neither foreign nor lost.
func (s *Scheduler) leastDemand(now time.Time, eligible func(i *instance) bool) *instance {
	var least *instance
	lowest := 0.0
	for name, i := range s.instances {
		if i.phase != ready || i.foreign || i.lost || !eligible(i) {
			continue
		}
		d := s.demand(now, name)
		if least == nil || d < lowest || (d == lowest && compareAdapters(name, least.Adapter) < 0) {
			least, lowest = i, d
		}
	}
	return least
}

// requestPermit requests a permit if an adapter waits for a load and a slot is
// free or can be freed. It repeats a pending permit request once the load
// weight has grown enough (weightUpdateStep), and cancels the request when no
// adapter is left to load.
func (s *Scheduler) requestPermit(now time.Time) []Action {
	if s.permit != permitNone && s.permit != permitRequested {
		return nil
	}
	_, weight, ok := s.candidate(now)
	switch {
	case !ok && s.permit == permitRequested:
		return s.releasePermit()
	case !ok || !s.makeRoom(now):
		return nil
	case s.permit == permitRequested && weight-s.requestedWeight < weightUpdateStep*max(s.config.Weights.Batch, 1):
		return nil
	}
	s.permit, s.requestedWeight = permitRequested, weight
	return []Action{RequestPermit{Weight: weight}}
}

// candidate returns the adapter to load next and its load weight. It is the
// adapter with the highest load weight among those that have waiting requests,
// are not on the engine and are not in the delay after a failed load.
func (s *Scheduler) candidate(now time.Time) (spec.Adapter, float64, bool) {
	var best spec.Adapter
	top := -1.0
	for name, a := range s.queued {
		if _, held := s.instances[name]; held || now.Before(a.retryAt) {
			continue
		}
		w := s.loadWeight(now, a)
		if w > top || (w == top && compareAdapters(name, best) < 0) {
			best, top = name, w
		}
	}
	return best, top, top >= 0
}

// urgencyStep is the difference in load weight between two neighbouring levels
// of urgency. It exceeds the summed weight of all waiting requests of one
// adapter, so the adapter with the most urgent request is always loaded first.
const urgencyStep = 1e9

// loadWeight returns the load weight of an adapter. The urgency of its most
// urgent request comes first, then the number of its waiting requests and how
// long they have waited.
func (s *Scheduler) loadWeight(now time.Time, a *adapter) float64 {
	first := a.waiting[0].Urgency
	sum := urgencyStep * float64(spec.Patient-first)
	for _, r := range a.waiting {
		waited := now.Sub(r.Arrived).Seconds() / s.config.StarvationTimeout.Seconds()
		sum += s.config.Weights.Batch + s.config.Weights.Stall*waited
	}
	return sum
}

// makeRoom reports whether a slot is free, is being freed or can be freed now.
// If not, and a request has waited too long for a slot (see starving), makeRoom
// starts to drain the instance with the lowest demand.
func (s *Scheduler) makeRoom(now time.Time) bool {
	if len(s.instances) < s.config.Slots || s.unloadCount() > 0 || s.victim(now) != nil {
		return true
	}
	for name, a := range s.queued {
		if _, held := s.instances[name]; !held && s.starving(now, a.waiting[0]) {
			s.drain(now)
			break
		}
	}
	return false
}

// starving reports whether a request has waited for a slot so long that a busy
// instance must be drained for it: longer than StarvationTimeout if it is
// urgent, twice that if normal, three times that if patient.
func (s *Scheduler) starving(now time.Time, r *Request) bool {
	return now.Sub(r.Arrived) > s.config.StarvationTimeout*time.Duration(1+r.Urgency)
}

// drain starts to drain the instance with the lowest demand, unless an instance
// is being drained already.
func (s *Scheduler) drain(now time.Time) {
	for _, i := range s.instances {
		if i.draining {
			return
		}
	}
	if least := s.leastDemand(now, func(*instance) bool { return true }); least != nil {
		least.draining = true
	}
}
