package bench

import (
	"math"
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

// least returns the least of a figure among baselines.
func least(baselines []*result, figure func(*result) float64) float64 {
	best := math.Inf(1)
	for _, b := range baselines {
		best = min(best, figure(b))
	}
	return best
}

func stallOf(r *result) float64 { return ms(r.meanStall()) }

func fillOf(r *result) float64 { return r.fill() }

// Pasta Kopiena weighs load stalls: the target is half of the best baseline's,
// with batch fill no worse than that of any baseline.
func TestPasta(t *testing.T) {
	us, baselines := sideBySide(t, pasta, seed)
	if limit := 0.5 * least(baselines, stallOf); stallOf(us) > limit {
		t.Errorf("stall mean %.1f ms, want at most %.1f ms", stallOf(us), limit)
	}
	if limit := -least(baselines, func(r *result) float64 { return -fillOf(r) }); fillOf(us) < limit {
		t.Errorf("fill %.3f, want at least %.3f", fillOf(us), limit)
	}
}

// Qureshi Mela weighs batch fill: the target is 1.25 times the best baseline's,
// with load stalls no worse than those of any baseline.
func TestQureshi(t *testing.T) {
	us, baselines := sideBySide(t, qureshi, seed)
	if limit := -1.25 * least(baselines, func(r *result) float64 { return -fillOf(r) }); fillOf(us) < limit {
		t.Errorf("fill %.3f, want at least %.3f", fillOf(us), limit)
	}
	if limit := least(baselines, stallOf); stallOf(us) > limit {
		t.Errorf("stall mean %.1f ms, want at most %.1f ms", stallOf(us), limit)
	}
}
