package slots

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const (
	maxBackoffs   = 6               // doublings of the pause between failed loads
	minRetryAfter = 1 * time.Second // shortest advice when to come back
	smoothing     = 0.1             // share of the newest run in the smoothed time
	forget        = 0.01            // demand below which an adapter is forgotten
)

// Add takes a request. It returns a Refuse if the request cannot be run in
// time.
func (e *Engine) Add(now time.Time, r Request) []Action {
	a := e.adapter(now, r.Adapter)
	a.age(now, e.config.Memory)
	a.demand++
	if r.Urgency == spec.Urgent {
		e.urgent = now
	}
	if reason, after := e.admit(now, r, a); reason != "" {
		return []Action{Refuse{Request: r, Reason: reason, After: after}}
	}
	a.waiting = append(a.waiting, &r)
	e.waiting++
	if _, ok := e.ready(r.Adapter); !ok && a.blocked.IsZero() {
		a.blocked = now
	}
	return nil
}

func (e *Engine) admit(now time.Time, r Request, a *adapter) (Reason, time.Duration) {
	wait := e.expected(r)
	_, resident := e.ready(r.Adapter)
	switch {
	case e.waiting >= e.config.Queue:
		return QueueFull, max(wait, minRetryAfter)
	case now.Add(wait).After(r.Deadline):
		return Overload, max(wait, minRetryAfter)
	case resident:
		return "", 0
	case now.Before(a.retry) && a.retry.After(r.Deadline):
		return LoadFailing, max(a.retry.Sub(now), minRetryAfter)
	case now.Add(e.config.Load).After(r.Deadline):
		return LoadLate, minRetryAfter
	default:
		return "", 0
	}
}

// expected estimates how long a request waits behind those that go first.
func (e *Engine) expected(r Request) time.Duration {
	if e.service == 0 || len(e.running)+e.waiting < e.config.Batch {
		return 0
	}
	ahead := 1
	for _, a := range e.adapters {
		for _, w := range a.waiting {
			if w.Urgency <= r.Urgency {
				ahead++
			}
		}
	}
	return time.Duration(float64(e.service) * float64(ahead) / float64(e.config.Batch))
}

// Cancel forgets a waiting request. One that runs must be finished instead.
func (e *Engine) Cancel(id string) {
	for _, a := range e.adapters {
		at := slices.IndexFunc(a.waiting, func(r *Request) bool { return r.ID == id })
		if at >= 0 {
			a.waiting = slices.Delete(a.waiting, at, at+1)
			e.waiting--
			return
		}
	}
}

// Flush gives up all waiting requests and wishes for permits, because they
// are to go elsewhere. It returns the requests, the oldest first.
func (e *Engine) Flush() ([]Request, []Action) {
	var flushed []Request
	var actions []Action
	for _, name := range e.names() {
		a := e.adapters[name]
		for _, r := range a.waiting {
			flushed = append(flushed, *r)
		}
		a.waiting, a.blocked = nil, time.Time{}
		if _, held := e.instances[name]; a.permit != none && !held {
			a.permit = none
			e.loads--
			actions = append(actions, Drop{Adapter: name})
		}
	}
	e.waiting = 0
	slices.SortFunc(flushed, func(a, b Request) int {
		if c := a.Arrived.Compare(b.Arrived); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	return flushed, actions
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

// Grant takes a permit to load an adapter.
func (e *Engine) Grant(name spec.Adapter) {
	a, ok := e.adapters[name]
	if !ok || a.permit != wanted {
		e.drops = append(e.drops, Drop{Adapter: name})
		return
	}
	a.permit = granted
}

// Loaded takes how a load ended. The permit is spent.
func (e *Engine) Loaded(now time.Time, loaded Instance, ok bool) {
	i, known := e.instances[loaded.Adapter]
	if !known || i.phase != loading || i.Instance != loaded {
		return
	}
	e.loads--
	a := e.adapter(now, loaded.Adapter)
	a.permit = none
	if ok {
		i.phase, i.usable = ready, true
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
	for _, name := range e.names() {
		if a := e.adapters[name]; a.permit != none {
			a.permit = none
			e.drops = append(e.drops, Drop{Adapter: name})
		}
	}
	clear(e.instances)
	clear(e.began)
	e.loads, e.suspects = 0, 0
	return lost
}

// Adopt takes an instance that an owner before loaded. A usable one runs
// requests; a foreign one is never unloaded.
func (e *Engine) Adopt(found Instance, usable, foreign bool) {
	if i, known := e.instances[found.Adapter]; known {
		if i.Instance == found {
			i.usable, i.foreign = usable && !i.lost, foreign
		}
		return
	}
	e.instances[found.Adapter] = &instance{Instance: found, phase: ready, usable: usable, foreign: foreign}
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

// age halves the demand each half-life.
func (a *adapter) age(now time.Time, half time.Duration) {
	if passed := now.Sub(a.updated); passed > 0 {
		a.demand *= math.Exp2(-float64(passed) / float64(half))
		a.updated = now
	}
}

// sweep forgets adapters without demand, so that memory follows use.
func (e *Engine) sweep(now time.Time) {
	if now.Sub(e.swept) < e.config.Memory {
		return
	}
	e.swept = now
	for name, a := range e.adapters {
		a.age(now, e.config.Memory)
		idle := len(a.waiting) == 0 && a.permit == none && !now.Before(a.retry)
		if _, held := e.instances[name]; idle && !held && a.demand < forget {
			delete(e.adapters, name)
		}
	}
}
