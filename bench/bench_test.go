package bench

import (
	"testing"
)

const seed = 20261203

// play runs one policy over a trace and fails if it broke a rule.
func play(t testing.TB, w workload, trace []request, name string, build func(*world) policy) *result {
	t.Helper()
	world := newWorld(w, name)
	r := world.run(trace, build(world))
	if len(world.broken) > 0 {
		t.Errorf("%s on %s: %d rules broken, first: %s", name, w.name, len(world.broken), world.broken[0])
	}
	return r
}

func ourPolicy(w *world) policy { return newOurs(w) }

func baselineOf(c choice) func(*world) policy {
	return func(w *world) policy { return newBaseline(w, c) }
}

// sideBySide runs all policies over the same trace.
func sideBySide(t testing.TB, w workload, seed uint64) (us *result, baselines []*result) {
	t.Helper()
	trace := w.trace(seed)
	us = play(t, w, trace, w.name+" tanagerlb", ourPolicy)
	for _, b := range []struct {
		name   string
		choose choice
	}{{"random+lru", randomEngine}, {"least-loaded+lru", leastLoaded}, {"rendezvous+lru", rendezvous}} {
		baselines = append(baselines, play(t, w, trace, w.name+" "+b.name, baselineOf(b.choose)))
	}
	loads, mean := offline(w, trace)
	t.Log(us)
	for _, b := range baselines {
		t.Log(b)
	}
	t.Logf("%-22s stall mean %7.1fms  loads/1000 %6.1f", w.name+" offline bound", ms(mean), 1000*float64(loads)/float64(us.requests))
	return us, baselines
}

func TestPasta(t *testing.T) { sideBySide(t, pasta, seed) }

func TestQureshi(t *testing.T) { sideBySide(t, qureshi, seed) }
