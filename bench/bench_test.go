package bench

import (
	"math"
	"testing"
)

const seed = 20261203

// simulate runs a policy over a trace and returns the result. It fails the test if
// the policy violates a rule of the simulation, such as the size of a batch.
func simulate(t testing.TB, w workload, trace []request, name string, build func(*simulation) policy) *result {
	t.Helper()
	simulation := newSimulation(w, name)
	r := simulation.run(trace, build(simulation))
	if len(simulation.violations) > 0 {
		t.Errorf("%s on %s: %d violations of rules, first: %s", name, w.name, len(simulation.violations), simulation.violations[0])
	}
	return r
}

func buildTanager(s *simulation) policy { return newTanagerPolicy(s) }

func buildBaseline(c chooser) func(*simulation) policy {
	return func(s *simulation) policy { return newBaseline(s, c) }
}

// compareAll runs all policies over the same trace and returns their results. It
// logs the results and the lower bounds that offline returns.
func compareAll(t testing.TB, w workload, seed uint64) (tanager *result, baselines []*result) {
	t.Helper()
	trace := w.trace(seed)
	tanager = simulate(t, w, trace, w.name+" tanagerlb", buildTanager)
	for _, b := range []struct {
		name   string
		choose chooser
	}{{"random+lru", randomEngine}, {"least-loaded+lru", leastLoaded}, {"rendezvous+lru", rendezvous}} {
		baselines = append(baselines, simulate(t, w, trace, w.name+" "+b.name, buildBaseline(b.choose)))
	}
	loads, mean := offline(w, trace)
	t.Log(tanager)
	for _, b := range baselines {
		t.Log(b)
	}
	t.Logf("%-22s stall mean %7.1fms  loads/1000 %6.1f", w.name+" offline bound", ms(mean), 1000*float64(loads)/float64(tanager.requests))
	return tanager, baselines
}

// lowest returns the lowest value of a metric among the baselines.
func lowest(baselines []*result, metric func(*result) float64) float64 {
	best := math.Inf(1)
	for _, b := range baselines {
		best = min(best, metric(b))
	}
	return best
}

func stallOf(r *result) float64 { return ms(r.meanStall()) }

func fillOf(r *result) float64 { return r.fill() }

// The user Pasta Kopiena needs short load stalls (times that requests wait until their
// adapter is loaded). The target is a mean stall of at most half that of the best
// baseline, with a batch fill (see result.fill) no lower than that of any baseline.
func TestPasta(t *testing.T) {
	tanager, baselines := compareAll(t, pasta, seed)
	if limit := 0.5 * lowest(baselines, stallOf); stallOf(tanager) > limit {
		t.Errorf("stall mean %.1f ms, want at most %.1f ms", stallOf(tanager), limit)
	}
	if limit := -lowest(baselines, func(r *result) float64 { return -fillOf(r) }); fillOf(tanager) < limit {
		t.Errorf("fill %.3f, want at least %.3f", fillOf(tanager), limit)
	}
}

// The user Qureshi Mela needs full batches. The target is a batch fill (see result.fill)
// of at least 1.25 times that of the best baseline, with a mean load stall (the time that
// a request waits until its adapter is loaded) no longer than that of any baseline.
func TestQureshi(t *testing.T) {
	tanager, baselines := compareAll(t, qureshi, seed)
	if limit := -1.25 * lowest(baselines, func(r *result) float64 { return -fillOf(r) }); fillOf(tanager) < limit {
		t.Errorf("fill %.3f, want at least %.3f", fillOf(tanager), limit)
	}
	if limit := lowest(baselines, stallOf); stallOf(tanager) > limit {
		t.Errorf("stall mean %.1f ms, want at most %.1f ms", stallOf(tanager), limit)
	}
}
