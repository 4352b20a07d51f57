package slots

import (
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// Bid is the estimated cost of serving an adapter on this engine.
type Bid struct {
	Holds   bool          // the adapter is loaded or being loaded
	Cost    float64       // expected requests per second of the adapter that would be unloaded; 0 with a free slot
	Queue   int           // running and waiting requests
	Service time.Duration // smoothed running time of a request
}

// Bid returns the estimate for an adapter. Adapters that already wait for a
// load get their slots first.
func (e *Engine) Bid(now time.Time, name spec.Adapter) Bid {
	b := Bid{Holds: e.Holds(name), Queue: len(e.running) + e.Waiting(), Service: e.serviceTime}
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
		b.Cost = noVictimCost
	}
	return b
}

// noVictimCost is the cost if no instance may be unloaded.
const noVictimCost = 1e9
