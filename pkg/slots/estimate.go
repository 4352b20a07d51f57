package slots

import (
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// Estimate is the estimated cost of serving an adapter on this engine.
type Estimate struct {
	HasAdapter   bool          // the adapter is loaded or being loaded
	EvictionCost float64       // expected requests per second of the adapter that would be unloaded to free a slot; 0 if none needs to be unloaded
	Outstanding  int           // running and waiting requests
	ServiceTime  time.Duration // smoothed running time of a request
}

// Estimate returns the estimate for an adapter. It assumes that each other
// adapter that waits for a load first takes a free slot, or else the slot of
// the instance with the lowest demand. If no instance is left to unload after
// that, EvictionCost is the highest demand among the instances, times the
// number of other waiting adapters that got no free slot.
func (s *Scheduler) Estimate(now time.Time, name spec.Adapter) Estimate {
	e := Estimate{HasAdapter: s.HasAdapter(name), Outstanding: len(s.running) + s.Waiting(), ServiceTime: s.serviceTime}
	if e.HasAdapter {
		return e
	}
	ahead := 0
	for other := range s.queued {
		if _, held := s.instances[other]; !held && other != name {
			ahead++
		}
	}
	ahead -= s.config.Slots - len(s.instances)
	if ahead < 0 {
		return e
	}
	demands := make([]float64, 0, len(s.instances))
	for other, i := range s.instances {
		if i.foreign || i.lost {
			continue
		}
		demands = append(demands, s.demand(now, other))
	}
	slices.Sort(demands)
	switch {
	case ahead < len(demands):
		e.EvictionCost = demands[ahead]
	case len(demands) > 0:
		e.EvictionCost = demands[len(demands)-1] * float64(ahead)
	default:
		e.EvictionCost = noVictimCost
	}
	return e
}

// noVictimCost is the EvictionCost if no instance may be unloaded.
const noVictimCost = 1e9
