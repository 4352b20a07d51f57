package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// choice picks an engine for a request.
type choice func(b *baseline, r request) int

// baseline sends each request to an engine by a simple rule. Each engine
// serves the oldest request that it can, and loads the adapter of the oldest
// that waits in place of the idle one used least recently.
type baseline struct {
	world   *world
	choose  choice
	random  *rand.Rand
	granter *permit.Granter
	engines []*lruEngine
}

type lruEngine struct {
	queue  []request
	ready  map[spec.Adapter]bool
	used   map[spec.Adapter]time.Time
	asked  *spec.Adapter // waits for a permit or a load
	permit bool
	slots  int
}

func newBaseline(w *world, choose choice) *baseline {
	b := &baseline{
		world:   w,
		choose:  choose,
		random:  rand.New(rand.NewPCG(7, 7)),
		granter: permit.New(permit.Config{Rate: w.workload.loads, Most: 2, Hold: time.Hour, Wait: time.Hour}, epoch),
	}
	for range w.workload.engines {
		b.engines = append(b.engines, &lruEngine{ready: map[spec.Adapter]bool{}, used: map[spec.Adapter]time.Time{}})
	}
	return b
}

func randomEngine(b *baseline, _ request) int { return b.random.IntN(len(b.engines)) }

func leastLoaded(b *baseline, _ request) int {
	best, least := 0, -1
	for i, e := range b.engines {
		if load := len(e.queue) + len(b.world.engines[i].running); least < 0 || load < least {
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
	b.next(now, number)
}

func (b *baseline) next(now time.Time, number int) {
	e := b.engines[number]
	kept := e.queue[:0]
	for _, r := range e.queue {
		switch {
		case now.After(r.Deadline):
			b.world.refuse(r, "late")
		case e.ready[r.Adapter] && len(b.world.engines[number].running) < b.world.workload.batch:
			e.used[r.Adapter] = now
			b.world.start(now, number, r, b)
		default:
			kept = append(kept, r)
		}
	}
	e.queue = kept
	b.ask(now, number, e)
	b.load(now, number, e)
}

// ask asks for a permit for the oldest request whose adapter is not resident.
func (b *baseline) ask(now time.Time, number int, e *lruEngine) {
	if e.asked != nil {
		return
	}
	for _, r := range e.queue {
		if e.ready[r.Adapter] {
			continue
		}
		adapter := r.Adapter
		e.asked = &adapter
		ids := b.granter.Ask(now, permit.Ask{ID: permit.ID{VM: strconv.Itoa(number)}, Weight: -float64(r.Arrived.UnixNano())})
		b.grant(now, ids)
		return
	}
}

func (b *baseline) grant(now time.Time, ids []permit.ID) {
	for _, id := range ids {
		number, _ := strconv.Atoi(id.VM)
		b.engines[number].permit = true
		b.load(now, number, b.engines[number])
	}
}

func (b *baseline) load(now time.Time, number int, e *lruEngine) {
	if e.asked == nil || !e.permit {
		return
	}
	if e.slots < b.world.workload.slots {
		e.permit = false
		e.slots++
		b.world.load(now, number, *e.asked, b)
		return
	}
	if victim, ok := b.victim(number, e); ok {
		delete(e.ready, victim)
		e.slots--
		e.permit = false
		b.world.unload(now, number, victim, b)
	}
}

func (b *baseline) victim(number int, e *lruEngine) (spec.Adapter, bool) {
	var victim spec.Adapter
	found := false
	for a := range e.ready {
		if b.world.engines[number].on[a] > 0 {
			continue
		}
		if !found || e.used[a].Before(e.used[victim]) || (e.used[a].Equal(e.used[victim]) && a.Name < victim.Name) {
			victim, found = a, true
		}
	}
	return victim, found
}

func (b *baseline) finished(now time.Time, number int, _ request) { b.next(now, number) }

func (b *baseline) loaded(now time.Time, number int, a spec.Adapter) {
	e := b.engines[number]
	e.ready[a] = true
	e.used[a] = now
	e.asked = nil
	b.grant(now, b.granter.Release(now, permit.ID{VM: strconv.Itoa(number)}))
	b.next(now, number)
}

func (b *baseline) unloaded(now time.Time, number int, _ spec.Adapter) {
	b.engines[number].permit = true
	b.next(now, number)
}

func (b *baseline) tick(now time.Time) {
	b.grant(now, b.granter.Next(now))
	for number := range b.engines {
		b.next(now, number)
	}
}
