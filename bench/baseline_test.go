package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// chooser chooses the engine for a request, and returns the engine's index.
type chooser func(b *baseline, r request) int

// baseline is a policy that chooses the engine for each request by a simple rule.
// An engine starts its waiting requests whose adapter is resident, the oldest first.
// For the oldest of the remaining requests, it then loads the adapter. If no slot is
// free, it first unloads the least recently used (LRU) of the adapters that have no
// running request.
type baseline struct {
	simulation *simulation
	choose     chooser
	random     *rand.Rand
	granter    *permit.Granter
	engines    []*baselineEngine
}

type baselineEngine struct {
	queue    []request
	resident map[spec.Adapter]bool
	used     map[spec.Adapter]time.Time // time at which the adapter was loaded or a request for it last started, whichever is later
	pending  *spec.Adapter              // adapter that waits for a permit or a free slot, or is being loaded
	permit   bool                       // whether the engine holds a permit to load an adapter from the weight store
	slots    int                        // number of adapters that are resident or loading
}

func newBaseline(s *simulation, choose chooser) *baseline {
	b := &baseline{
		simulation: s,
		choose:     choose,
		random:     rand.New(rand.NewPCG(7, 7)),
		granter:    permit.New(permit.Config{Rate: s.workload.loadRate, MaxActive: 2, PermitTTL: time.Hour, RequestTTL: time.Hour}, epoch),
	}
	for range s.workload.engines {
		b.engines = append(b.engines, &baselineEngine{resident: map[spec.Adapter]bool{}, used: map[spec.Adapter]time.Time{}})
	}
	return b
}

func randomEngine(b *baseline, _ request) int { return b.random.IntN(len(b.engines)) }

func leastLoaded(b *baseline, _ request) int {
	best, least := 0, -1
	for i, e := range b.engines {
		if load := len(e.queue) + len(b.simulation.engines[i].running); least < 0 || load < least {
			best, least = i, load
		}
	}
	return best
}

func rendezvous(b *baseline, r request) int {
	names := make([]string, len(b.engines))
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	number, _ := strconv.Atoi(rank.First(r.Adapter.Name, names))
	return number
}

func (b *baseline) arrive(now time.Time, r request) {
	number := b.choose(b, r)
	b.engines[number].queue = append(b.engines[number].queue, r)
	b.dispatch(now, number)
}

// dispatch starts the waiting requests that an engine can run now, and refuses those
// whose deadline has passed. It then requests a permit for the next load or, if the
// engine has the permit, starts the load or the unload that must precede it.
func (b *baseline) dispatch(now time.Time, number int) {
	e := b.engines[number]
	kept := e.queue[:0]
	for _, r := range e.queue {
		switch {
		case now.After(r.Deadline):
			b.simulation.refuse(r, "late")
		case e.resident[r.Adapter] && len(b.simulation.engines[number].running) < b.simulation.workload.batch:
			e.used[r.Adapter] = now
			b.simulation.start(now, number, r, b)
		default:
			kept = append(kept, r)
		}
	}
	e.queue = kept
	b.requestPermit(now, number, e)
	b.load(now, number, e)
}

// requestPermit requests a permit to load the adapter of the oldest waiting request
// whose adapter is not resident. An engine has at most one such load pending.
func (b *baseline) requestPermit(now time.Time, number int, e *baselineEngine) {
	if e.pending != nil {
		return
	}
	for _, r := range e.queue {
		if e.resident[r.Adapter] {
			continue
		}
		adapter := r.Adapter
		e.pending = &adapter
		ids := b.granter.Request(now, permit.Request{ID: permit.ID{VM: strconv.Itoa(number)}, Weight: -float64(r.Arrived.UnixNano())})
		b.grantPermits(now, ids)
		return
	}
}

func (b *baseline) grantPermits(now time.Time, ids []permit.ID) {
	for _, id := range ids {
		number, _ := strconv.Atoi(id.VM)
		b.engines[number].permit = true
		b.load(now, number, b.engines[number])
	}
}

func (b *baseline) load(now time.Time, number int, e *baselineEngine) {
	if e.pending == nil || !e.permit {
		return
	}
	if e.slots < b.simulation.workload.slots {
		e.permit = false
		e.slots++
		b.simulation.load(now, number, *e.pending, b)
		return
	}
	if victim, ok := b.victim(number, e); ok {
		delete(e.resident, victim)
		e.slots--
		e.permit = false
		b.simulation.unload(now, number, victim, b)
	}
}

// victim returns the adapter to unload from an engine: of those without a running
// request, the one that was used least recently.
func (b *baseline) victim(number int, e *baselineEngine) (spec.Adapter, bool) {
	var victim spec.Adapter
	found := false
	for a := range e.resident {
		if b.simulation.engines[number].runningOn[a] > 0 {
			continue
		}
		if !found || e.used[a].Before(e.used[victim]) || (e.used[a].Equal(e.used[victim]) && a.Name < victim.Name) {
			victim, found = a, true
		}
	}
	return victim, found
}

func (b *baseline) finished(now time.Time, number int, _ request) { b.dispatch(now, number) }

func (b *baseline) loaded(now time.Time, number int, a spec.Adapter) {
	e := b.engines[number]
	e.resident[a] = true
	e.used[a] = now
	e.pending = nil
	b.grantPermits(now, b.granter.Release(now, permit.ID{VM: strconv.Itoa(number)}))
	b.dispatch(now, number)
}

func (b *baseline) unloaded(now time.Time, number int, _ spec.Adapter) {
	b.engines[number].permit = true
	b.dispatch(now, number)
}

func (b *baseline) tick(now time.Time) {
	b.grantPermits(now, b.granter.Next(now))
	for number := range b.engines {
		b.dispatch(now, number)
	}
}
