package reuse

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the weighing.
const (
	// halfLife is the time after which half of what engines have read is assumed to
	// be evicted. An engine that reads 9,000 tokens a second, as under the load of
	// docs/plan.md, fills its KV cache of 174,404 tokens once in 19 s.
	halfLife = 10 * time.Second
	// DefaultWait is assumed for an engine whose wait is not known. It is about the
	// wait at an engine that is running requests but has free slots.
	DefaultWait = 150 * time.Millisecond
	// MaxWaitAge is the age up to which a reported wait is used.
	MaxWaitAge = time.Second
	// defaultRate is the number of prompt tokens that an engine is assumed to read in
	// a millisecond if its holder has not told.
	defaultRate = 20.0
	// loadTime is the expected time to load an adapter: 288 ms measured, in round
	// figures.
	loadTime = 300 * time.Millisecond
	// roomWait is the expected time until running requests make room in a full KV
	// cache: about the time that a request runs.
	roomWait = time.Second
	// minLeft is the shortest time to a request's objective by which waits are
	// divided.
	minLeft = 20 * time.Millisecond
)

// Candidate is an engine that may run a request.
type Candidate struct {
	Wait     time.Duration // expected time to the first token of a short prompt, as reported
	WaitAge  time.Duration // age of Wait; MaxWaitAge or more if Wait is not known
	Rate     float64       // prompt tokens read per millisecond; 0 if not known
	Reserved int           // tokens that running requests have reserved in the KV cache
	Capacity int           // capacity of the KV cache in tokens; 0 if not known
	Held     int           // tokens of the prompt's beginning that the engine is known to hold
	HeldAge  time.Duration // age of that knowledge
	Home     float64       // share of the shared beginning that the engine is expected to hold without such knowledge
	Loaded   bool          // the engine is assumed to have the adapter
	Used     bool          // the engine had the adapter some time ago
	UsedAge  time.Duration // how long ago that was
}

// Cost is what a request is expected to cost at an engine.
type Cost struct {
	Held  float64       // tokens that need not be read
	Read  time.Duration // time to read the other tokens
	Wait  time.Duration // wait, including that for room in the KV cache and for the adapter, and its weight
	Saved time.Duration // time that reading the held tokens would take
}

// Total is the sum of all times.
func (c Cost) Total() time.Duration { return c.Read + c.Wait }

// Order returns the indices of the candidates by rising cost for a prompt whose first
// token is due after the given time, and the costs. Typical is the wait that is assumed
// where none is known. The candidates are given in the order in which they are asked
// without regard to what engines hold; of equal ones, the first stays the first. Random
// is between 0 and 1, and differs between callers so that they do not all move to one
// engine at a time.
func Order(p Prompt, left, typical time.Duration, candidates []Candidate, random float64) ([]int, []Cost) {
	order, costs := make([]int, len(candidates)), make([]Cost, len(candidates))
	for i, c := range candidates {
		order[i], costs[i] = i, c.cost(p, left, typical)
		if i > 0 {
			// What is not known of the wait counts against an engine to which all callers
			// of the prompt may move at once.
			costs[i].Wait += time.Duration(random * c.waitDoubt() * float64(typical))
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(costs[a].Total(), costs[b].Total()) })
	return order, costs
}

// cost returns what a prompt is expected to cost at an engine. A wait weighs more
// the more of the time to the objective it takes: at an engine where requests wait
// long, a small error of the estimate makes them late.
func (c Candidate) cost(p Prompt, left, typical time.Duration) Cost {
	held := max(remaining(c.HeldAge)*float64(c.Held), c.Home*float64(p.Shared()))
	rate := c.Rate
	if rate <= 0 {
		rate = defaultRate
	}
	doubt := c.waitDoubt()
	wait := time.Duration((1-doubt)*float64(c.Wait) + doubt*float64(typical))
	switch {
	case c.Loaded:
	case c.Used:
		wait += time.Duration((1 - remaining(c.UsedAge)) * float64(loadTime))
	default:
		wait += loadTime
	}
	if need := float64(p.Tokens+p.MaxTokens) - held; c.Capacity > 0 && need > 0 {
		missing := min(max(need-float64(c.Capacity-c.Reserved), 0), need)
		wait += time.Duration(missing / need * float64(roomWait))
	}
	wait += time.Duration(float64(wait) * float64(wait) / float64(max(left, minLeft)))
	return Cost{Held: held, Read: milliseconds(max(float64(p.Tokens)-held, 1) / rate), Wait: wait, Saved: milliseconds(held / rate)}
}

// waitDoubt returns how little is known of the wait: from 0 to 1, as its age grows.
func (c Candidate) waitDoubt() float64 {
	return min(max(float64(c.WaitAge)/float64(MaxWaitAge), 0), 1)
}

// remaining returns the probability that an engine still holds what it held some
// time ago.
func remaining(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
