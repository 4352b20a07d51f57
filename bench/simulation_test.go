package bench

import (
	"container/heap"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// simEvent is an event at a virtual time.
type simEvent struct {
	at     time.Time
	serial int // order among events at the same time
	fn     func(now time.Time)
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// engine is a fake engine: the adapters that are resident and the requests that
// run on it.
type engine struct {
	residentSince map[spec.Adapter]time.Time // time at which each resident adapter was loaded
	slots         int                        // slots in use by adapters that are resident, loading or unloading
	running       map[string]request
	runningOn     map[spec.Adapter]int // number of running requests by adapter
	changed       time.Time            // time up to which usage is in the result
}

// simulation runs a trace against a policy, collects the result, and records
// violations of the rules for engines and the weight store.
type simulation struct {
	workload   workload
	queue      eventQueue
	serial     int
	engines    []*engine
	result     *result
	loading    int       // loads in progress at the weight store
	tokens     float64   // token bucket of the weight store, in loads
	refilled   time.Time // last refill of the token bucket
	violations []string  // rules that the policy violated
}

// policy makes the scheduling decisions. Its methods handle events, and carry out
// decisions with the simulation's start, refuse, load and unload.
type policy interface {
	arrive(now time.Time, r request)
	finished(now time.Time, engine int, r request)
	loaded(now time.Time, engine int, a spec.Adapter)
	unloaded(now time.Time, engine int, a spec.Adapter)
	tick(now time.Time)
}

const (
	tickEvery  = 50 * time.Millisecond
	unloadTime = 10 * time.Millisecond
)

func newSimulation(w workload, name string) *simulation {
	simulation := &simulation{workload: w, result: &result{name: name, refused: map[string]int{}, batch: w.batch, windows: map[int]*window{}}}
	for range w.engines {
		simulation.engines = append(simulation.engines, &engine{
			residentSince: map[spec.Adapter]time.Time{},
			running:       map[string]request{},
			runningOn:     map[spec.Adapter]int{},
		})
	}
	return simulation
}

// at schedules an event.
func (s *simulation) at(at time.Time, fn func(now time.Time)) {
	s.serial++
	heap.Push(&s.queue, simEvent{at: at, serial: s.serial, fn: fn})
}

// run simulates a trace until the end of the measured period.
func (s *simulation) run(trace []request, p policy) *result {
	end := epoch.Add(s.workload.warmup + s.workload.run)
	for _, r := range trace {
		s.at(r.Arrived, func(now time.Time) {
			if s.isMeasured(now) {
				s.result.requests++
				s.result.arrivedBy[r.Urgency]++
			}
			p.arrive(now, r)
		})
	}
	for at := epoch; at.Before(end); at = at.Add(tickEvery) {
		s.at(at, p.tick)
	}
	for s.queue.Len() > 0 {
		event := heap.Pop(&s.queue).(simEvent)
		if event.at.After(end) {
			break
		}
		event.fn(event.at)
	}
	return s.result
}

// isMeasured reports whether the warm-up is over.
func (s *simulation) isMeasured(now time.Time) bool { return !now.Before(epoch.Add(s.workload.warmup)) }

// check records a violation unless the rule holds.
func (s *simulation) check(holds bool, text string) {
	if !holds {
		s.violations = append(s.violations, text)
	}
}

// addUsage adds the usage of an engine since its last change to the result.
func (s *simulation) addUsage(now time.Time, e *engine) {
	if s.isMeasured(now) && len(e.running) > 0 {
		from := e.changed
		if warmup := epoch.Add(s.workload.warmup); from.Before(warmup) {
			from = warmup
		}
		s.result.busy += now.Sub(from)
		s.result.running += now.Sub(from) * time.Duration(len(e.running))
	}
	e.changed = now
}

// start runs a request on an engine.
func (s *simulation) start(now time.Time, number int, r request, p policy) {
	e := s.engines[number]
	since, resident := e.residentSince[r.Adapter]
	s.check(resident, "started on an engine without the adapter")
	s.check(len(e.running) < s.workload.batch, "batch overfilled")
	s.addUsage(now, e)
	e.running[r.ID] = r
	e.runningOn[r.Adapter]++
	if s.isMeasured(r.Arrived) {
		s.recordStart(now, r, max(since.Sub(r.Arrived), 0))
	}
	s.at(now.Add(r.serviceTime), func(now time.Time) {
		s.addUsage(now, e)
		delete(e.running, r.ID)
		e.runningOn[r.Adapter]--
		p.finished(now, number, r)
	})
}

// recordStart records the start of a request that waited for an adapter load for
// the time stall.
func (s *simulation) recordStart(now time.Time, r request, stall time.Duration) {
	s.result.done++
	s.result.stalls = append(s.result.stalls, stall)
	s.result.waits[r.Urgency] = append(s.result.waits[r.Urgency], now.Sub(r.Arrived))
	slot := int(r.Arrived.Sub(epoch.Add(s.workload.warmup)) / (10 * time.Second))
	if s.result.windows[slot] == nil {
		s.result.windows[slot] = &window{}
	}
	s.result.windows[slot].stall += stall
	s.result.windows[slot].count++
}

func (s *simulation) refuse(r request, reason string) {
	if s.isMeasured(r.Arrived) {
		s.result.refused[reason]++
		s.result.refusedBy[r.Urgency]++
	}
}

// takeLoadToken takes a token from the token bucket that models the rate limit of
// the weight store, and reports whether there was one. The bucket holds at most two
// tokens, as two loads may run at once.
func (s *simulation) takeLoadToken(now time.Time) bool {
	if s.refilled.IsZero() {
		s.tokens = 2
	}
	s.tokens = min(2, s.tokens+now.Sub(s.refilled).Seconds()*s.workload.loadRate) - 1
	s.refilled = now
	return s.tokens >= 0
}

// load loads an adapter on an engine.
func (s *simulation) load(now time.Time, number int, a spec.Adapter, p policy) {
	e := s.engines[number]
	e.slots++
	s.loading++
	s.check(e.slots <= s.workload.slots, "slots overfilled")
	s.check(s.loading <= 2, "more than 2 loads at once")
	s.check(s.takeLoadToken(now), "loads above the rate")
	if s.isMeasured(now) {
		s.result.loads++
	}
	s.at(now.Add(s.workload.loadTime), func(now time.Time) {
		s.loading--
		e.residentSince[a] = now
		p.loaded(now, number, a)
	})
}

// unload unloads an adapter from an engine.
func (s *simulation) unload(now time.Time, number int, a spec.Adapter, p policy) {
	e := s.engines[number]
	s.check(e.runningOn[a] == 0, "evicted under a running request")
	if s.isMeasured(now) {
		s.result.evictions++
	}
	delete(e.residentSince, a)
	s.at(now.Add(unloadTime), func(now time.Time) {
		e.slots--
		p.unloaded(now, number, a)
	})
}
