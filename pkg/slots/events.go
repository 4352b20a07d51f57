package slots

import (
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const (
	maxBackoffs   = 6               // doublings of the pause between failed loads
	minRetryAfter = 1 * time.Second // shortest advice when to come back
	smoothing     = 0.1             // share of the newest run in the smoothed time
)

// Add takes a request. It returns a Refuse if the request cannot be run in
// time, or if another has to make room for it in the queue.
func (e *Engine) Add(now time.Time, r Request) []Action {
	a := e.adapter(r.Adapter)
	a.meter.Add(now, e.config.Demand)
	a.rate = r.Demand
	if r.Urgency == spec.Urgent {
		e.urgent = now
	}
	if reason, after := e.admit(now, r, a); reason != "" {
		return []Action{Refuse{Request: r, Reason: reason, After: after}}
	}
	var actions []Action
	if e.Waiting() >= e.config.Queue {
		actions = e.displace()
	}
	at, _ := slices.BinarySearchFunc(a.waiting, &r, order)
	a.waiting = slices.Insert(a.waiting, at, &r)
	e.queued[r.Adapter] = a
	e.waiting[r.Urgency]++
	return actions
}

// lesser tells whether a request waits that is less urgent.
func (e *Engine) lesser(urgency spec.Urgency) bool {
	for u := urgency + 1; u <= spec.Patient; u++ {
		if e.waiting[u] > 0 {
			return true
		}
	}
	return false
}

// displace refuses the request that would start last, to make room in the
// queue for a more urgent one.
func (e *Engine) displace() []Action {
	var last *adapter
	for _, a := range e.queued {
		if last == nil || order(a.waiting[len(a.waiting)-1], last.waiting[len(last.waiting)-1]) > 0 {
			last = a
		}
	}
	r := e.remove(last, len(last.waiting)-1)
	after := max(e.expected(r.Urgency), minRetryAfter)
	return []Action{Refuse{Request: *r, Reason: QueueFull, After: after}}
}

// order is the order in which requests are to start: the most urgent and then
// the oldest first.
func order(a, b *Request) int {
	if a.Urgency != b.Urgency {
		return int(a.Urgency) - int(b.Urgency)
	}
	if c := a.Arrived.Compare(b.Arrived); c != 0 {
		return c
	}
	return strings.Compare(a.ID, b.ID)
}

func (e *Engine) admit(now time.Time, r Request, a *adapter) (Reason, time.Duration) {
	wait := e.expected(r.Urgency)
	switch {
	case e.Waiting() >= e.config.Queue && !e.lesser(r.Urgency):
		return QueueFull, max(wait, minRetryAfter)
	case now.Add(wait).After(r.Deadline):
		return Overload, max(wait, minRetryAfter)
	default:
		reason := e.hopeless(now, r.Adapter, a, &r)
		return reason, max(a.retry.Sub(now), minRetryAfter)
	}
}

// expected estimates how long a request waits behind those that go first.
func (e *Engine) expected(urgency spec.Urgency) time.Duration {
	ahead := 1
	for u := spec.Urgent; u <= urgency; u++ {
		ahead += e.waiting[u]
	}
	if len(e.running)+ahead <= e.config.Batch {
		return 0
	}
	return time.Duration(float64(e.service) * float64(ahead) / float64(e.config.Batch))
}

// remove takes a request out of the queue.
func (e *Engine) remove(a *adapter, at int) *Request {
	r := a.waiting[at]
	a.waiting = slices.Delete(a.waiting, at, at+1)
	e.waiting[r.Urgency]--
	if len(a.waiting) == 0 {
		delete(e.queued, r.Adapter)
	}
	return r
}

// Cancel forgets a waiting request. One that runs must be finished instead.
func (e *Engine) Cancel(id string) {
	for _, a := range e.queued {
		at := slices.IndexFunc(a.waiting, func(r *Request) bool { return r.ID == id })
		if at >= 0 {
			e.remove(a, at)
			return
		}
	}
}

// Flush gives up all waiting requests and the wish for a permit, because they
// are to go elsewhere. It returns the requests, the first to start first.
func (e *Engine) Flush() ([]Request, []Action) {
	var flushed []Request
	for _, name := range e.names() {
		for a := e.queued[name]; len(a.waiting) > 0; {
			flushed = append(flushed, *e.remove(a, 0))
		}
	}
	slices.SortFunc(flushed, func(a, b Request) int { return order(&a, &b) })
	if e.permit != wanted && e.permit != granted {
		return flushed, nil
	}
	e.permit = none
	return flushed, []Action{Drop{}}
}

// Finish takes that a request no longer runs.
func (e *Engine) Finish(now time.Time, id string) {
	r, ok := e.running[id]
	if !ok {
		return
	}
	delete(e.running, id)
	if i, ok := e.instances[r.Adapter]; ok && i.running > 0 {
		i.running--
		if i.lost && i.running == 0 {
			delete(e.instances, r.Adapter)
		}
	}
	if r.Suspect {
		e.suspects--
	}
	e.measure(now.Sub(e.began[id]))
	delete(e.began, id)
}

func (e *Engine) measure(run time.Duration) {
	if e.service == 0 {
		e.service = run
		return
	}
	e.service += time.Duration(smoothing * float64(run-e.service))
}

// Grant takes a permit.
func (e *Engine) Grant() {
	if e.permit != wanted {
		e.drops = append(e.drops, Drop{})
		return
	}
	e.permit = granted
}

// Loaded takes how a load ended. The permit is spent.
func (e *Engine) Loaded(now time.Time, loaded Instance, ok bool) {
	i, known := e.instances[loaded.Adapter]
	if !known || i.phase != loading || i.Instance != loaded {
		return
	}
	e.permit = none
	a := e.adapter(loaded.Adapter)
	if ok {
		i.phase, i.usable, i.since = ready, true, now
		a.failures, a.retry = 0, time.Time{}
		return
	}
	delete(e.instances, loaded.Adapter)
	pause := e.config.Backoff << min(a.failures, maxBackoffs)
	a.failures++
	a.retry = now.Add(pause)
}

// Unloaded takes that an instance was unloaded, or that an order to unload it
// failed for good.
func (e *Engine) Unloaded(gone Instance, ok bool) {
	i, known := e.instances[gone.Adapter]
	if !known || i.phase != unloading || i.Instance != gone {
		return
	}
	if ok {
		delete(e.instances, gone.Adapter)
		return
	}
	i.phase = ready
}

// Reset takes that the engine restarted empty. It returns the requests that
// were running; those that wait stay.
func (e *Engine) Reset() []Request {
	var lost []Request
	for id, r := range e.running {
		lost = append(lost, *r)
		delete(e.running, id)
	}
	if e.permit != none {
		e.permit = none
		e.drops = append(e.drops, Drop{})
	}
	clear(e.instances)
	clear(e.began)
	e.suspects = 0
	return lost
}

// Adopt takes an instance that an owner before loaded. A usable one runs
// requests; a foreign one is never unloaded.
func (e *Engine) Adopt(now time.Time, found Instance, usable, foreign bool) {
	if i, known := e.instances[found.Adapter]; known {
		if i.Instance == found {
			i.usable, i.foreign = usable && !i.lost, foreign
		}
		return
	}
	e.instances[found.Adapter] = &instance{Instance: found, phase: ready, since: now, usable: usable, foreign: foreign}
}

// Lost takes that the engine no longer holds an instance.
func (e *Engine) Lost(gone Instance) {
	i, known := e.instances[gone.Adapter]
	if !known || i.Instance != gone || i.phase != ready {
		return
	}
	i.lost, i.usable = true, false
	if i.running == 0 {
		delete(e.instances, gone.Adapter)
	}
}

// sweep forgets adapters without demand, so that memory follows use.
func (e *Engine) sweep(now time.Time) {
	if now.Sub(e.swept) < e.config.Demand.Young {
		return
	}
	e.swept = now
	for name, a := range e.adapters {
		_, held := e.instances[name]
		idle := len(a.waiting) == 0 && !held && !now.Before(a.retry)
		if idle && now.Sub(a.meter.Last()) > e.config.Demand.Half {
			delete(e.adapters, name)
		}
	}
}
