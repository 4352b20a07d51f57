package bench

import (
	"container/heap"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// moment is something that happens at a virtual time.
type moment struct {
	at     time.Time
	serial int
	do     func(now time.Time)
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	if !m[i].at.Equal(m[j].at) {
		return m[i].at.Before(m[j].at)
	}
	return m[i].serial < m[j].serial
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// engine is the fake of an engine: it knows what is resident and runs, and
// checks that no policy breaks its rules.
type engine struct {
	ready   map[spec.Adapter]time.Time // since when resident
	slots   int                        // resident, loading and unloading
	running map[string]request
	on      map[spec.Adapter]int // running requests by adapter
	changed time.Time
}

// world runs a trace against a policy and counts what comes of it.
type world struct {
	workload workload
	queue    moments
	serial   int
	engines  []*engine
	result   *result
	loading  int     // at the weight store
	tokens   float64 // loads that the weight store allows now
	drawn    time.Time
	broken   []string // rules that the policy broke
}

// policy decides. Its methods call back the world's start, load and unload.
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

func newWorld(w workload, name string) *world {
	world := &world{workload: w, result: &result{name: name, refused: map[string]int{}, batch: w.batch, windows: map[int]*window{}}}
	for range w.engines {
		world.engines = append(world.engines, &engine{
			ready:   map[spec.Adapter]time.Time{},
			running: map[string]request{},
			on:      map[spec.Adapter]int{},
		})
	}
	return world
}

func (w *world) at(at time.Time, do func(now time.Time)) {
	w.serial++
	heap.Push(&w.queue, moment{at: at, serial: w.serial, do: do})
}

// run plays a trace.
func (w *world) run(trace []request, p policy) *result {
	end := epoch.Add(w.workload.warm + w.workload.run)
	for _, r := range trace {
		w.at(r.Arrived, func(now time.Time) {
			if w.counts(now) {
				w.result.requests++
				w.result.arrivedBy[r.Urgency]++
			}
			p.arrive(now, r)
		})
	}
	for at := epoch; at.Before(end); at = at.Add(tickEvery) {
		w.at(at, p.tick)
	}
	for w.queue.Len() > 0 {
		m := heap.Pop(&w.queue).(moment)
		if m.at.After(end) {
			break
		}
		m.do(m.at)
	}
	return w.result
}

func (w *world) counts(now time.Time) bool { return !now.Before(epoch.Add(w.workload.warm)) }

func (w *world) rule(holds bool, text string) {
	if !holds {
		w.broken = append(w.broken, text)
	}
}

// account adds up the time until now of what runs on an engine.
func (w *world) account(now time.Time, e *engine) {
	if w.counts(now) && len(e.running) > 0 {
		from := e.changed
		if warm := epoch.Add(w.workload.warm); from.Before(warm) {
			from = warm
		}
		w.result.busy += now.Sub(from)
		w.result.running += now.Sub(from) * time.Duration(len(e.running))
	}
	e.changed = now
}

// start runs a request on an engine.
func (w *world) start(now time.Time, number int, r request, p policy) {
	e := w.engines[number]
	since, resident := e.ready[r.Adapter]
	w.rule(resident, "started on an engine without the adapter")
	w.rule(len(e.running) < w.workload.batch, "batch overfilled")
	w.account(now, e)
	e.running[r.ID] = r
	e.on[r.Adapter]++
	if w.counts(r.Arrived) {
		w.started(now, r, max(since.Sub(r.Arrived), 0))
	}
	w.at(now.Add(r.serve), func(now time.Time) {
		w.account(now, e)
		delete(e.running, r.ID)
		e.on[r.Adapter]--
		p.finished(now, number, r)
	})
}

func (w *world) started(now time.Time, r request, stall time.Duration) {
	w.result.done++
	w.result.stalls = append(w.result.stalls, stall)
	w.result.waits[r.Urgency] = append(w.result.waits[r.Urgency], now.Sub(r.Arrived))
	slot := int(r.Arrived.Sub(epoch.Add(w.workload.warm)) / (10 * time.Second))
	if w.result.windows[slot] == nil {
		w.result.windows[slot] = &window{}
	}
	w.result.windows[slot].stall += stall
	w.result.windows[slot].count++
}

func (w *world) refuse(r request, reason string) {
	if w.counts(r.Arrived) {
		w.result.refused[reason]++
		w.result.refusedBy[r.Urgency]++
	}
}

// withinRate takes a load from the weight store's allowance: a token bucket
// that holds the two loads that may run at once.
func (w *world) withinRate(now time.Time) bool {
	if w.drawn.IsZero() {
		w.tokens = 2
	}
	w.tokens = min(2, w.tokens+now.Sub(w.drawn).Seconds()*w.workload.loads) - 1
	w.drawn = now
	return w.tokens >= 0
}

// load loads an adapter on an engine.
func (w *world) load(now time.Time, number int, a spec.Adapter, p policy) {
	e := w.engines[number]
	e.slots++
	w.loading++
	w.rule(e.slots <= w.workload.slots, "slots overfilled")
	w.rule(w.loading <= 2, "more than 2 loads at once")
	w.rule(w.withinRate(now), "loads above the rate")
	if w.counts(now) {
		w.result.loads++
	}
	w.at(now.Add(w.workload.load), func(now time.Time) {
		w.loading--
		e.ready[a] = now
		p.loaded(now, number, a)
	})
}

// unload unloads an adapter from an engine.
func (w *world) unload(now time.Time, number int, a spec.Adapter, p policy) {
	e := w.engines[number]
	w.rule(e.on[a] == 0, "evicted under a running request")
	if w.counts(now) {
		w.result.evictions++
	}
	delete(e.ready, a)
	w.at(now.Add(unloadTime), func(now time.Time) {
		e.slots--
		p.unloaded(now, number, a)
	})
}
