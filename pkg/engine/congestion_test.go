package engine_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// weightStore is a weight store that loads some adapters at once at full speed; more slow each
// other down in proportion.
type weightStore struct {
	parallel int
	loadTime time.Duration
	loads    []*storeLoad
}

type storeLoad struct {
	engine *congestedEngine
	name   engine.Name
	left   time.Duration // at full speed
}

func (w *weightStore) advance(tick time.Duration) {
	speed := min(1, float64(w.parallel)/float64(max(len(w.loads), 1)))
	var rest []*storeLoad
	for _, l := range w.loads {
		l.left -= time.Duration(speed * float64(tick))
		if l.left > 0 {
			rest = append(rest, l)
			continue
		}
		delete(l.engine.coming, l.name)
		l.engine.present[l.name] = true
	}
	w.loads = rest
}

// congestedEngine is an engine and its scheduler.
type congestedEngine struct {
	scheduler *engine.Scheduler
	store     *weightStore
	present   map[engine.Name]bool
	coming    map[engine.Name]bool
	orders    int64
	running   map[string]time.Time // when each request ends
	waiting   map[string]engine.Request
	requests  int
	arrivals  int // sends that reached the engine
	rejected  int // of these, those whose adapter was not loaded
	refused   int
}

// send sends an admitted request to the engine.
func (e *congestedEngine) send(now time.Time, r engine.Request) {
	e.arrivals++
	if !e.present[r.Name] {
		e.rejected++
		e.scheduler.End(now, r.ID, engine.NotRun)
		r.ID += "+"
		e.admit(now, r)
		return
	}
	e.running[r.ID] = now.Add(400 * time.Millisecond)
	e.scheduler.FirstToken(r.ID, 100*time.Millisecond)
}

func (e *congestedEngine) admit(now time.Time, r engine.Request) {
	switch e.scheduler.Admit(now, r).(type) {
	case engine.Admitted:
		e.send(now, r)
	case engine.Queued:
		e.waiting[r.ID] = r
	default:
		e.refused++
	}
}

// advance runs a scheduling round.
func (e *congestedEngine) advance(now time.Time) {
	for id, end := range e.running {
		if !now.Before(end) {
			delete(e.running, id)
			e.scheduler.End(now, id, engine.Done)
		}
	}
	for _, a := range e.scheduler.Next(now) {
		switch a := a.(type) {
		case engine.Reply:
			r, ok := e.waiting[a.ID]
			delete(e.waiting, a.ID)
			if _, admitted := a.Decision.(engine.Admitted); ok && admitted {
				e.send(now, r)
			} else if ok {
				e.refused++
			}
		case engine.Load:
			e.orders++
			e.coming[a.Name] = true
			e.store.loads = append(e.store.loads, &storeLoad{engine: e, name: a.Name, left: e.store.loadTime})
			e.scheduler.OrderDone(now, a, engine.Accepted)
		case engine.Unload:
			e.orders++
			delete(e.present, a.Name)
			e.scheduler.OrderDone(now, a, engine.NoChange)
		case engine.Poll:
			var adapters []roster.Adapter
			for n := range e.present {
				adapters = append(adapters, roster.Adapter{Name: n.Adapter})
			}
			var coming []engine.Name
			for n := range e.coming {
				coming = append(coming, n)
			}
			e.scheduler.Reported(now, models(adapters...), coming, e.orders)
		}
	}
}

// Guards against requests that are sent before their adapter is loaded, as many engines that
// start empty load from one weight store at once, and each load takes several times as long. Each
// such send counts against the limit on retries, and what exceeds it is refused.
func TestLoadsAtACongestedStore(t *testing.T) {
	const retryRatio = 0.2 // the platform's limit on sends beyond the first
	for _, c := range []struct {
		name              string
		engines, parallel int
		rate              float64 // requests per second
	}{
		{name: "18 engines, 8 at once", engines: 18, parallel: 8, rate: 106},
		{name: "12 engines, 16 at once", engines: 12, parallel: 16, rate: 139},
		{name: "124 engines, 80 at once", engines: 124, parallel: 80, rate: 766},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(20261205, 1))
			popular := rand.NewZipf(random, 1.1, 20, 2999)
			store := &weightStore{parallel: c.parallel, loadTime: 250 * time.Millisecond}
			settings := config()
			settings.BatchSize, settings.AdapterSlots, settings.ColdLoad, settings.WarmLoad, settings.KVCapacity = 48, 19, 270*time.Millisecond, 30*time.Millisecond, 1_000_000
			engines := map[string]*congestedEngine{}
			var ids []string
			for i := range c.engines {
				id := fmt.Sprint("u-", i)
				ids = append(ids, id)
				engines[id] = &congestedEngine{scheduler: engine.New(settings, start), store: store, present: map[engine.Name]bool{}, coming: map[engine.Name]bool{}, running: map[string]time.Time{}, waiting: map[string]engine.Request{}}
			}
			const tick = 5 * time.Millisecond
			number := 0
			next := start.Add(100 * time.Millisecond)
			for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(tick) {
				store.advance(tick)
				for !next.After(now) {
					n := name(fmt.Sprint("a", popular.Uint64()))
					number++
					r := request(strconv.Itoa(number), n.Adapter, now)
					r.UsefulUntil = r.Deadline
					e := engines[rank.First(n.Adapter, ids)]
					e.requests++
					e.admit(now, r)
					next = next.Add(time.Duration(random.ExpFloat64() / c.rate * float64(time.Second)))
				}
				for _, id := range ids {
					engines[id].advance(now)
				}
			}
			requests, arrivals, rejected, refused := 0, 0, 0, 0
			for _, e := range engines {
				requests, arrivals, rejected, refused = requests+e.requests, arrivals+e.arrivals, rejected+e.rejected, refused+e.refused
			}
			t.Logf("%d requests, %d sends, %d rejected, %d refused", requests, arrivals, rejected, refused)
			is.True(float64(rejected) <= retryRatio*float64(requests))
		})
	}
}

// Guards against requests that wait for an adapter that is loaded already: after the weight store was
// congested, the estimate of a load stayed long for dozens of loads (worst seconds of scale-2 on grown
// jmc-repair).
func TestLoadsAfterACongestedStore(t *testing.T) {
	is := is.New(t)
	settings := config()
	settings.ColdLoad, settings.ReportLag = 270*time.Millisecond, 300*time.Millisecond
	store := &weightStore{parallel: 1, loadTime: 4 * time.Second} // the loads of other engines slow this one down
	e := &congestedEngine{scheduler: engine.New(settings, start), store: store, present: map[engine.Name]bool{}, coming: map[engine.Name]bool{}, running: map[string]time.Time{}, waiting: map[string]engine.Request{}}
	now := start
	play := func(d time.Duration) {
		const tick = 5 * time.Millisecond
		for end := now.Add(d); now.Before(end); now = now.Add(tick) {
			store.advance(tick)
			e.advance(now)
		}
	}
	ask := func(adapter string) {
		r := request(adapter, adapter, now)
		r.Objective, r.Deadline = now.Add(time.Second), now.Add(15*time.Second)
		r.UsefulUntil, r.MayQueue = r.Deadline, true
		e.admit(now, r)
	}
	play(100 * time.Millisecond)
	ask("a0")
	play(6 * time.Second)
	is.Equal(len(e.waiting), 0) // it was served in the end

	store.loadTime = 250 * time.Millisecond
	ask("a1")
	play(time.Second)
	is.Equal(len(e.waiting), 0) // within its objective
	ask("a2")
	play(time.Second)
	is.Equal(len(e.waiting), 0)
	is.Equal(e.refused, 0)
}
