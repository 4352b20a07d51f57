// Package bench measures the scheduling decisions in a simulation in virtual time,
// with small fakes of engines and the weight store, and compares them with
// baselines. It reads no real clock, so the same seed gives the same results.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// workload describes the load of one user of the project, which is an
// organisation. Values that its requirements do not state are chosen here.
type workload struct {
	name       string
	engines    int
	slots      int // adapters resident on an engine at once
	batch      int // requests running on an engine at once
	adapters   int
	skew       float64       // exponent of the Zipf distribution of adapter popularity
	rate       float64       // requests per second
	tokens     int           // mean number of tokens in an answer
	tokenTime  time.Duration // time of one token
	loadRate   float64       // loads per second that the weight store allows
	loadTime   time.Duration // time to load an adapter, with two loads at once
	weights    slots.Weights
	warmup     time.Duration // period at the start that is not measured
	run        time.Duration // period after the warm-up that is measured
	shiftAfter time.Duration // time after the warm-up when popularity is reassigned; 0 for never
}

var (
	// pasta is the load of the user Pasta Kopiena: many rarely used adapters,
	// so loads of rare ones take most of the weight store's rate.
	pasta = workload{
		name: "pasta", engines: 12, slots: 8, batch: 16, adapters: 3000, skew: 1.1, rate: 14,
		tokens: 60, tokenTime: 30 * time.Millisecond, loadRate: 5, loadTime: 400 * time.Millisecond,
		weights: slots.Weights{Stall: 2, Batch: 1}, warmup: 5 * time.Minute, run: 10 * time.Minute,
	}
	// qureshi is the peak load of the user Qureshi Mela: demand concentrates on
	// few adapters and needs the full capacity of the engines.
	qureshi = workload{
		name: "qureshi", engines: 9, slots: 8, batch: 16, adapters: 3000, skew: 1.5, rate: 80,
		tokens: 60, tokenTime: 30 * time.Millisecond, loadRate: 7, loadTime: 285 * time.Millisecond,
		weights: slots.Weights{Stall: 1, Batch: 2}, warmup: 5 * time.Minute, run: 10 * time.Minute,
	}
)

var epoch = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

// deadlines holds the time from arrival to deadline by urgency.
var deadlines = [spec.UrgencyLevels]time.Duration{10 * time.Second, 30 * time.Second, 2 * time.Minute}

// request is a request in a trace.
type request struct {
	slots.Request
	serviceTime time.Duration // time that the request runs on an engine
}

// trace returns random requests of the workload in order of arrival.
func (w workload) trace(seed uint64) []request {
	random := rand.New(rand.NewPCG(seed, 1))
	sums := cumulative(w.adapters, w.skew)
	ranks := random.Perm(w.adapters)
	var trace []request
	shifted := w.shiftAfter == 0
	end := w.warmup + w.run
	for at := time.Duration(0); at < end; {
		at += time.Duration(random.ExpFloat64() / w.rate * float64(time.Second))
		if !shifted && at >= w.warmup+w.shiftAfter {
			shifted = true
			ranks = random.Perm(w.adapters)
		}
		trace = append(trace, w.request(random, len(trace), epoch.Add(at), ranks[draw(random, sums)]))
	}
	return trace
}

func (w workload) request(random *rand.Rand, number int, at time.Time, adapter int) request {
	urgency := spec.Patient
	switch p := random.Float64(); {
	case p < 0.2:
		urgency = spec.Urgent
	case p < 0.5:
		urgency = spec.Normal
	}
	tokens := 1 + random.IntN(2*w.tokens-1)
	return request{
		Request: slots.Request{
			ID:       fmt.Sprintf("r%07d", number),
			Adapter:  spec.Adapter{Name: fmt.Sprintf("a%04d", adapter), Version: "v1"},
			Urgency:  urgency,
			Arrived:  at,
			Deadline: at.Add(deadlines[urgency]),
		},
		serviceTime: time.Duration(tokens) * w.tokenTime,
	}
}

// cumulative returns the running sums of the weights of a Zipf distribution.
func cumulative(count int, skew float64) []float64 {
	sums := make([]float64, count)
	total := 0.0
	for i := range sums {
		total += math.Pow(float64(i+1), -skew)
		sums[i] = total
	}
	return sums
}

// draw returns a random index, distributed by weights with the given running sums.
func draw(random *rand.Rand, sums []float64) int {
	return sort.SearchFloat64s(sums, random.Float64()*sums[len(sums)-1])
}

// result holds the measurements of a simulation.
type result struct {
	name      string
	requests  int
	done      int
	refused   map[string]int
	stalls    []time.Duration                     // time waited for an adapter load, by started request
	waits     [spec.UrgencyLevels][]time.Duration // times from arrival to start, by urgency
	refusedBy [spec.UrgencyLevels]int
	arrivedBy [spec.UrgencyLevels]int
	loads     int
	evictions int
	running   time.Duration // total running time of all requests
	busy      time.Duration // total time, over all engines, with at least one request
	batch     int
	windows   map[int]*window // by arrival time, in steps of 10 s since the end of the warm-up
}

// window sums up the stalls of the requests that arrived within 10 s.
type window struct {
	stall time.Duration
	count int
}

func (r *result) meanStall() time.Duration {
	var sum time.Duration
	for _, s := range r.stalls {
		sum += s
	}
	return sum / time.Duration(max(len(r.stalls), 1))
}

// stalledShare returns the share of requests that waited for an adapter load.
func (r *result) stalledShare() float64 {
	count := 0
	for _, s := range r.stalls {
		if s > 0 {
			count++
		}
	}
	return float64(count) / float64(max(len(r.stalls), 1))
}

// fill returns the mean share of the batch that busy engines use.
func (r *result) fill() float64 {
	return float64(r.running) / float64(r.busy) / float64(r.batch)
}

func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(share*float64(len(sorted)-1))]
}

func (r *result) String() string {
	per := func(n int) float64 { return 1000 * float64(n) / float64(max(r.requests, 1)) }
	return fmt.Sprintf("%-22s done %6d/%6d  stall mean %7.1fms p99 %8.1fms share %5.1f%%  fill %5.3f  loads/1000 %6.1f evictions/1000 %6.1f  wait p99 urgent %6.0fms normal %6.0fms patient %6.0fms  refused %v",
		r.name, r.done, r.requests, ms(r.meanStall()), ms(percentile(r.stalls, 0.99)), 100*r.stalledShare(), r.fill(),
		per(r.loads), per(r.evictions), ms(percentile(r.waits[0], 0.99)), ms(percentile(r.waits[1], 0.99)), ms(percentile(r.waits[2], 0.99)), r.refused)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
