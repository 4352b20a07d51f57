package pace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/pace"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against bursts beyond the limit of an upstream: in any 4 s, the platform allows one
// and a half times the limit, and 5 requests. The gate moves to a new VM now and then, which
// knows nothing of the requests before.
func TestGateKeepsTheLimit(t *testing.T) {
	const window = 4 * time.Second
	for _, c := range []struct {
		rate, demand float64       // requests per second
		move         time.Duration // time between two moves of the gate; 0 for none
	}{
		{3.7, 60, 0},
		{2, 2, 0},
		{2, 60, 700 * time.Millisecond},
		{0.2, 10, 0},
		{0, 10, 0},
		{120, 1000, 0},
		{120, 100, 300 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%v of %v a second, moved every %s", c.rate, c.demand, c.move), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			gate := pace.NewGate(start, c.rate)
			var passed []time.Time
			moved := start
			const length = time.Minute
			for now := start; now.Sub(start) < length; now = now.Add(time.Millisecond) {
				if c.move > 0 && now.Sub(moved) >= c.move {
					gate, moved = pace.NewGate(now, c.rate), now
				}
				if random.Float64() < c.demand/1000 && gate.Take(now) == 0 {
					passed = append(passed, now)
				}
			}
			allowed := int(1.5*c.rate*window.Seconds()) + 5
			for i := allowed; i < len(passed); i++ {
				is.True(passed[i].Sub(passed[i-allowed]) > window)
			}
			if c.move == 0 {
				is.True(float64(len(passed)) >= 0.5*min(c.rate, c.demand)*length.Seconds()) // the limit is used
			}
		})
	}
}

func TestCallersOfAGateGetTurns(t *testing.T) {
	is := is.New(t)
	gate := pace.NewGate(start, 2)
	is.Equal(gate.Take(start), 500*time.Millisecond)
	is.Equal(gate.Take(start), time.Second)
	is.Equal(gate.Take(start), 1500*time.Millisecond)
	is.Equal(gate.Take(at(500)), time.Duration(0))
	for range 20 {
		gate.Take(at(500))
	}
	is.Equal(gate.Take(at(500)), 5*time.Second) // the longest wait
}

func TestLimitEndsWithAnAnswerToALaterRequest(t *testing.T) {
	named := func(rate float64, sent, answered int) pace.Observation {
		return pace.Observation{Limit: pace.Limit{Named: true, Rate: rate}, Sent: at(sent), At: at(answered)}
	}
	none := func(sent, answered int) pace.Observation {
		return pace.Observation{Sent: at(sent), At: at(answered)}
	}
	for _, c := range []struct {
		name    string
		answers []pace.Observation
		changed []bool
		limit   pace.Limit
	}{
		{"no limit", []pace.Observation{none(0, 10)}, []bool{false}, pace.Limit{}},
		{"a limit", []pace.Observation{named(3, 0, 10), named(3, 10, 20)}, []bool{true, false}, pace.Limit{Named: true, Rate: 3}},
		{"another one", []pace.Observation{named(3, 0, 10), named(2, 10, 20)}, []bool{true, true}, pace.Limit{Named: true, Rate: 2}},
		{"answers overtake each other", []pace.Observation{named(3, 10, 30), named(2, 0, 20)}, []bool{true, false}, pace.Limit{Named: true, Rate: 3}},
		{"a stream that began before", []pace.Observation{named(3, 10, 30), none(20, 40)}, []bool{true, false}, pace.Limit{Named: true, Rate: 3}},
		{"the end", []pace.Observation{named(3, 10, 30), none(31, 40)}, []bool{true, true}, pace.Limit{}},
		{"again", []pace.Observation{named(3, 10, 30), none(31, 40), named(3, 41, 50)}, []bool{true, true, true}, pace.Limit{Named: true, Rate: 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := pace.NewTable()
			for i, o := range c.answers {
				is.Equal(table.Observe("u", o), c.changed[i])
			}
			is.Equal(table.Get("u").Limit, c.limit)
			_, ok := table.Named()["u"]
			is.Equal(ok, c.limit.Named)
			table.Forget("u")
			is.Equal(table.Get("u"), pace.Observation{})
		})
	}
}

func ExampleGate() {
	now := time.Unix(0, 0)
	gate := pace.NewGate(now, 2) // two requests per second
	fmt.Println(gate.Take(now))
	fmt.Println(gate.Take(now.Add(time.Second)))
	// Output:
	// 500ms
	// 0s
}
