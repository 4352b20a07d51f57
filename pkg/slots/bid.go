package slots

import (
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// Bid is what it would take to serve an adapter on this engine.
type Bid struct {
	Holds   bool          // the adapter is loaded or being loaded
	Cost    float64       // requests a second for the adapter that would have to go; 0 with a free slot
	Queue   int           // requests that run or wait
	Service time.Duration // smoothed time that a request runs
}

// Bid returns the bid for an adapter. Adapters that wait to be loaded take
// their slots before it.
func (e *Engine) Bid(now time.Time, name spec.Adapter) Bid {
	b := Bid{Holds: e.Holds(name), Queue: len(e.running) + e.Waiting(), Service: e.service}
	if b.Holds {
		return b
	}
	ahead := 0
	for other := range e.queued {
		if _, held := e.instances[other]; !held && other != name {
			ahead++
		}
	}
	ahead -= e.config.Slots - len(e.instances)
	if ahead < 0 {
		return b
	}
	demands := make([]float64, 0, len(e.instances))
	for other, i := range e.instances {
		if i.foreign || i.lost {
			continue
		}
		demands = append(demands, e.demand(now, other))
	}
	slices.Sort(demands)
	switch {
	case ahead < len(demands):
		b.Cost = demands[ahead]
	case len(demands) > 0:
		b.Cost = demands[len(demands)-1] * float64(ahead)
	default:
		b.Cost = noRoom
	}
	return b
}

// noRoom is the cost where no instance may be unloaded.
const noRoom = 1e9
