package slots

import (
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const (
	maxBackoffDoublings = 6               // maximum doublings of the delay after failed loads
	minRetryAfter       = 1 * time.Second // minimum of Refuse.RetryAfter
	serviceSmoothing    = 0.1             // weight of the newest request in the moving average of running times
)

// Enqueue queues a request, or returns a Refuse for it if its deadline cannot
// be met or the queue is full. If the queue is full but holds a less urgent
// request, Enqueue queues the new request and returns a Refuse for the waiting
// request that would start last.
func (s *Scheduler) Enqueue(now time.Time, r Request) []Action {
	a := s.adapter(r.Adapter)
	a.meter.Add(now, s.config.Demand)
	a.rate = r.ExpectedRate
	if r.Urgency == spec.Urgent {
		s.lastUrgent = now
	}
	if reason, retryAfter := s.admit(now, r, a); reason != "" {
		return []Action{Refuse{Request: r, Reason: reason, RetryAfter: retryAfter}}
	}
	var actions []Action
	if s.Waiting() >= s.config.MaxQueue {
		actions = s.displace()
	}
	index, _ := slices.BinarySearchFunc(a.waiting, &r, compareRequests)
	a.waiting = slices.Insert(a.waiting, index, &r)
	s.queued[r.Adapter] = a
	s.waiting[r.Urgency]++
	return actions
}

// hasLessUrgent reports whether a waiting request is less urgent than the given
// urgency.
func (s *Scheduler) hasLessUrgent(urgency spec.Urgency) bool {
	for u := urgency + 1; u <= spec.Patient; u++ {
		if s.waiting[u] > 0 {
			return true
		}
	}
	return false
}

// displace refuses the waiting request that would start last, to make room in
// the queue for a more urgent one.
func (s *Scheduler) displace() []Action {
	var last *adapter
	for _, a := range s.queued {
		if last == nil || compareRequests(a.waiting[len(a.waiting)-1], last.waiting[len(last.waiting)-1]) > 0 {
			last = a
		}
	}
	r := s.remove(last, len(last.waiting)-1)
	retryAfter := max(s.expectedWait(r.Urgency), minRetryAfter)
	return []Action{Refuse{Request: *r, Reason: QueueFull, RetryAfter: retryAfter}}
}

// compareRequests compares requests by start order: more urgent requests first,
// then older ones, then by ID.
func compareRequests(a, b *Request) int {
	if a.Urgency != b.Urgency {
		return int(a.Urgency) - int(b.Urgency)
	}
	if c := a.Arrived.Compare(b.Arrived); c != 0 {
		return c
	}
	return strings.Compare(a.ID, b.ID)
}

// admit returns the reason to refuse a new request, and the delay after which
// the caller may retry. The reason is "" if the request can be queued.
func (s *Scheduler) admit(now time.Time, r Request, a *adapter) (Reason, time.Duration) {
	wait := s.expectedWait(r.Urgency)
	switch {
	case s.Waiting() >= s.config.MaxQueue && !s.hasLessUrgent(r.Urgency):
		return QueueFull, max(wait, minRetryAfter)
	case now.Add(wait).After(r.Deadline):
		return Overload, max(wait, minRetryAfter)
	default:
		reason := s.infeasible(now, r.Adapter, a, &r)
		return reason, max(a.retryAt.Sub(now), minRetryAfter)
	}
}

// expectedWait estimates how long a new request of the given urgency waits for
// the requests that start before it.
func (s *Scheduler) expectedWait(urgency spec.Urgency) time.Duration {
	ahead := 1
	for u := spec.Urgent; u <= urgency; u++ {
		ahead += s.waiting[u]
	}
	if len(s.running)+ahead <= s.config.BatchSize {
		return 0
	}
	return time.Duration(float64(s.serviceTime) * float64(ahead) / float64(s.config.BatchSize))
}

// remove removes the request at an index of an adapter's queue and returns it.
func (s *Scheduler) remove(a *adapter, index int) *Request {
	r := a.waiting[index]
	a.waiting = slices.Delete(a.waiting, index, index+1)
	s.waiting[r.Urgency]--
	if len(a.waiting) == 0 {
		delete(s.queued, r.Adapter)
	}
	return r
}

// Cancel removes a waiting request. A running request is not affected; it ends
// with Finish.
func (s *Scheduler) Cancel(id string) {
	for _, a := range s.queued {
		index := slices.IndexFunc(a.waiting, func(r *Request) bool { return r.ID == id })
		if index >= 0 {
			s.remove(a, index)
			return
		}
	}
}

// Flush removes all waiting requests and returns them in start order, so that
// they can be sent to other engines. It also releases an unused permit or cancels
// a pending permit request.
func (s *Scheduler) Flush() ([]Request, []Action) {
	var flushed []Request
	for _, name := range s.waitingAdapters() {
		for a := s.queued[name]; len(a.waiting) > 0; {
			flushed = append(flushed, *s.remove(a, 0))
		}
	}
	slices.SortFunc(flushed, func(a, b Request) int { return compareRequests(&a, &b) })
	if s.permit != permitRequested && s.permit != permitGranted {
		return flushed, nil
	}
	s.permit = permitNone
	return flushed, []Action{ReleasePermit{}}
}

// Finish records that a running request has ended.
func (s *Scheduler) Finish(now time.Time, id string) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	if i, ok := s.instances[r.Adapter]; ok && i.running > 0 {
		i.running--
		if i.lost && i.running == 0 {
			delete(s.instances, r.Adapter)
		}
	}
	if r.Suspect {
		s.runningSuspects--
	}
	s.observeServiceTime(now.Sub(s.startedAt[id]))
	delete(s.startedAt, id)
}

func (s *Scheduler) observeServiceTime(elapsed time.Duration) {
	if s.serviceTime == 0 {
		s.serviceTime = elapsed
		return
	}
	s.serviceTime += time.Duration(serviceSmoothing * float64(elapsed-s.serviceTime))
}

// GrantPermit records that a permit was granted. If no permit request is pending,
// the next call of Next releases the permit.
func (s *Scheduler) GrantPermit() {
	if s.permit != permitRequested {
		s.releases = append(s.releases, ReleasePermit{})
		return
	}
	s.permit = permitGranted
}

// FinishLoad records the result of a load, which also ends the load's permit.
func (s *Scheduler) FinishLoad(now time.Time, loaded Instance, ok bool) {
	i, known := s.instances[loaded.Adapter]
	if !known || i.phase != loading || i.Instance != loaded {
		return
	}
	s.permit = permitNone
	a := s.adapter(loaded.Adapter)
	if ok {
		i.phase, i.usable, i.readySince = ready, true, now
		a.failures, a.retryAt = 0, time.Time{}
		return
	}
	delete(s.instances, loaded.Adapter)
	pause := s.config.LoadBackoff << min(a.failures, maxBackoffDoublings)
	a.failures++
	a.retryAt = now.Add(pause)
}

// FinishUnload records the result of an unload. If ok is false, the unload
// failed and the owner does not retry it; the instance counts as loaded again.
func (s *Scheduler) FinishUnload(unloaded Instance, ok bool) {
	i, known := s.instances[unloaded.Adapter]
	if !known || i.phase != unloading || i.Instance != unloaded {
		return
	}
	if ok {
		delete(s.instances, unloaded.Adapter)
		return
	}
	i.phase = ready
}

// Reset records that the engine restarted without adapters. It returns the
// requests that were running. Waiting requests stay queued, and the next call of
// Next releases the permit or cancels the permit request.
func (s *Scheduler) Reset() []Request {
	var interrupted []Request
	for id, r := range s.running {
		interrupted = append(interrupted, *r)
		delete(s.running, id)
	}
	if s.permit != permitNone {
		s.permit = permitNone
		s.releases = append(s.releases, ReleasePermit{})
	}
	clear(s.instances)
	clear(s.startedAt)
	s.runningSuspects = 0
	return interrupted
}

// Adopt adds or updates an instance that a previous owner loaded. If usable is
// true, the instance may run requests. If foreign is true, the previous owner
// may still use the instance, so it is not unloaded until a later Adopt clears
// the flag. Adopt does nothing if the scheduler has another instance of the
// same adapter.
func (s *Scheduler) Adopt(now time.Time, found Instance, usable, foreign bool) {
	if i, known := s.instances[found.Adapter]; known {
		if i.Instance == found {
			i.usable, i.foreign = usable && !i.lost, foreign
		}
		return
	}
	s.instances[found.Adapter] = &instance{Instance: found, phase: ready, readySince: now, usable: usable, foreign: foreign}
}

// MarkLost records that an instance is no longer loaded on the engine. The
// instance is removed from the scheduler when its last running request ends.
func (s *Scheduler) MarkLost(missing Instance) {
	i, known := s.instances[missing.Adapter]
	if !known || i.Instance != missing || i.phase != ready {
		return
	}
	i.lost, i.usable = true, false
	if i.running == 0 {
		delete(s.instances, missing.Adapter)
	}
}

// sweep bounds memory. It removes the state of each adapter that has had no
// request for Demand.HalfLife, is not on the engine and is not in the delay
// after a failed load.
func (s *Scheduler) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < s.config.Demand.MinAge {
		return
	}
	s.lastSweep = now
	for name, a := range s.adapters {
		_, held := s.instances[name]
		idle := len(a.waiting) == 0 && !held && !now.Before(a.retryAt)
		if idle && now.Sub(a.meter.LastAdded()) > s.config.Demand.HalfLife {
			delete(s.adapters, name)
		}
	}
}
