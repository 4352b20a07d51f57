package slots

import (
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const (
	reserveShare  = 8                // one place in so many is kept for urgent requests
	reserveMemory = 30 * time.Second // how long after an urgent request places are kept
)

// Next returns what there is to do at now. It must be called after each
// change and at least once in the shortest time that a refusal may be late.
func (e *Engine) Next(now time.Time) []Action {
	e.sweep(now)
	actions := e.drops
	e.drops = nil
	actions = append(actions, e.expire(now)...)
	actions = append(actions, e.start(now)...)
	actions = append(actions, e.load(now)...)
	return append(actions, e.want(now)...)
}

// expire refuses the waiting requests that can no longer be run in time.
func (e *Engine) expire(now time.Time) []Action {
	var actions []Action
	for _, name := range e.names() {
		a := e.adapters[name]
		kept := a.waiting[:0]
		for _, r := range a.waiting {
			reason := e.hopeless(now, name, a, r)
			if reason == "" {
				kept = append(kept, r)
				continue
			}
			e.waiting--
			actions = append(actions, Refuse{Request: *r, Reason: reason, After: minRetryAfter})
		}
		clear(a.waiting[len(kept):])
		a.waiting = kept
		if len(kept) == 0 {
			a.blocked = time.Time{}
		}
		if len(kept) == 0 && a.permit != none && !e.Holds(name) {
			a.permit = none
			e.loads--
			actions = append(actions, Drop{Adapter: name})
		}
	}
	return actions
}

func (e *Engine) hopeless(now time.Time, name spec.Adapter, a *adapter, r *Request) Reason {
	switch {
	case !now.Before(r.Deadline):
		return Late
	case e.Holds(name):
		return ""
	case a.retry.After(r.Deadline):
		return LoadFailing
	case now.Add(e.config.Load).After(r.Deadline):
		return LoadLate
	default:
		return ""
	}
}

// names returns the adapters with waiting requests or permits, in a fixed
// order.
func (e *Engine) names() []spec.Adapter {
	var names []spec.Adapter
	for name, a := range e.adapters {
		if len(a.waiting) > 0 || a.permit != none {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, compare)
	return names
}

func compare(a, b spec.Adapter) int {
	if c := strings.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return strings.Compare(a.Version, b.Version)
}

// start runs waiting requests whose adapters are ready, the most urgent and
// then the oldest first, while the batch has room.
func (e *Engine) start(now time.Time) []Action {
	var actions []Action
	for len(e.running) < e.config.Batch {
		r, i := e.pick(now)
		if r == nil {
			break
		}
		actions = append(actions, e.run(now, r, i))
	}
	return actions
}

func (e *Engine) pick(now time.Time) (*Request, *instance) {
	var best *Request
	var on *instance
	for name, a := range e.adapters {
		i, ok := e.ready(name)
		if !ok || i.drain {
			continue
		}
		for _, r := range a.waiting {
			if e.allowed(now, r) && (best == nil || before(r, best)) {
				best, on = r, i
			}
		}
	}
	return best, on
}

func (e *Engine) allowed(now time.Time, r *Request) bool {
	if r.Suspect && e.suspects > 0 {
		return false
	}
	room := e.config.Batch - len(e.running)
	return r.Urgency == spec.Urgent || room > e.reserved(now)
}

// reserved returns the places in the batch that only urgent requests may take.
func (e *Engine) reserved(now time.Time) int {
	if e.urgent.IsZero() || now.Sub(e.urgent) > reserveMemory {
		return 0
	}
	return e.config.Batch / reserveShare
}

func before(a, b *Request) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.ID < b.ID
}

func (e *Engine) run(now time.Time, r *Request, i *instance) Action {
	a := e.adapters[r.Adapter]
	at := slices.Index(a.waiting, r)
	a.waiting = append(a.waiting[:at:at], a.waiting[at+1:]...)
	e.waiting--
	e.running[r.ID] = r
	e.began[r.ID] = now
	i.running++
	if r.Suspect {
		e.suspects++
	}
	var stalled time.Duration
	if !a.blocked.IsZero() {
		stalled = now.Sub(laterOf(a.blocked, r.Arrived))
	}
	if len(a.waiting) == 0 {
		a.blocked = time.Time{}
	}
	return Start{Request: *r, Instance: i.Instance, Stalled: stalled}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// load begins the loads that are permitted, as far as there is room, and makes
// room for the others.
func (e *Engine) load(now time.Time) []Action {
	var actions []Action
	for _, name := range e.names() {
		a := e.adapters[name]
		if _, held := e.instances[name]; a.permit != granted || held {
			continue
		}
		if len(e.instances) < e.config.Slots {
			i := &instance{Instance: Instance{Adapter: name, Fence: e.config.Fence}, phase: loading}
			e.instances[name] = i
			actions = append(actions, Load{Instance: i.Instance})
			continue
		}
		if e.unloads() >= e.grants() {
			continue
		}
		if v := e.victim(now); v != nil {
			v.phase, v.drain = unloading, false
			actions = append(actions, Unload{Instance: v.Instance})
			continue
		}
		e.loads--
		a.permit = none
		actions = append(actions, Drop{Adapter: name})
	}
	return actions
}

func (e *Engine) unloads() int {
	count := 0
	for _, i := range e.instances {
		if i.phase == unloading {
			count++
		}
	}
	return count
}

// grants returns the number of permitted loads that have no slot yet.
func (e *Engine) grants() int {
	count := 0
	for name, a := range e.adapters {
		if _, held := e.instances[name]; a.permit == granted && !held {
			count++
		}
	}
	return count
}

// victim returns the idle instance with the least demand, or nil.
func (e *Engine) victim(now time.Time) *instance {
	var worst *instance
	least := 0.0
	for name, i := range e.instances {
		if i.phase != ready || i.foreign || i.lost || i.running > 0 {
			continue
		}
		a := e.adapter(now, name)
		if len(a.waiting) > 0 && !i.drain {
			continue
		}
		a.age(now, e.config.Memory)
		if worst == nil || a.demand < least || (a.demand == least && compare(name, worst.Adapter) < 0) {
			worst, least = i, a.demand
		}
	}
	return worst
}

// want asks for permits for the adapters that should be loaded next.
func (e *Engine) want(now time.Time) []Action {
	var actions []Action
	for e.loads < e.config.Loads {
		name, ok := e.candidate(now)
		if !ok {
			break
		}
		if !e.room(now, name) {
			break
		}
		a := e.adapters[name]
		a.permit = wanted
		e.loads++
		actions = append(actions, Want{Adapter: name, Urgency: a.urgency(), Since: a.blocked})
	}
	return actions
}

// candidate returns the adapter with waiting requests that is worth a load
// most.
func (e *Engine) candidate(now time.Time) (spec.Adapter, bool) {
	var best spec.Adapter
	top := -1.0
	for name, a := range e.adapters {
		if len(a.waiting) == 0 || a.permit != none || now.Before(a.retry) {
			continue
		}
		if _, held := e.instances[name]; held {
			continue
		}
		if a.blocked.IsZero() {
			a.blocked = now
		}
		s := e.worth(now, a)
		if s > top || (s == top && compare(name, best) < 0) {
			best, top = name, s
		}
	}
	return best, top >= 0
}

// worth weighs the work that a load would let run against the time that it
// has waited. A starving adapter comes first.
func (e *Engine) worth(now time.Time, a *adapter) float64 {
	waited := now.Sub(a.blocked)
	urgency := float64(spec.Urgencies - int(a.urgency()))
	stall := e.config.Weights.Stall * urgency * float64(waited) / float64(e.config.Load)
	batch := e.config.Weights.Batch * float64(len(a.waiting))
	if waited > e.config.Starve {
		return starving + stall
	}
	return stall + batch
}

// starving is above the worth of any adapter that does not starve.
const starving = 1e9

// room tells whether there is or soon will be a slot for an adapter. For one
// that starves it drains the instance with the least demand.
func (e *Engine) room(now time.Time, name spec.Adapter) bool {
	if len(e.instances)+e.grants() < e.config.Slots {
		return true
	}
	if e.victim(now) != nil {
		return true
	}
	if now.Sub(e.adapters[name].blocked) > e.config.Starve {
		e.drain(now)
	}
	return false
}

func (e *Engine) drain(now time.Time) {
	var worst *instance
	least := 0.0
	for name, i := range e.instances {
		if i.drain {
			return
		}
		if i.phase != ready || i.foreign || i.lost {
			continue
		}
		a := e.adapter(now, name)
		a.age(now, e.config.Memory)
		if worst == nil || a.demand < least || (a.demand == least && compare(name, worst.Adapter) < 0) {
			worst, least = i, a.demand
		}
	}
	if worst != nil {
		worst.drain = true
	}
}

func (a *adapter) urgency() spec.Urgency {
	most := spec.Patient
	for _, r := range a.waiting {
		most = min(most, r.Urgency)
	}
	return most
}
