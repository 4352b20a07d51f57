package place

import (
	"math"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/demand"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// Bid is the offer of an engine's owner to serve an adapter on that engine. It
// states the cost of making room for the adapter and how busy the engine is.
type Bid struct {
	Engine       string
	HasAdapter   bool          // the adapter is loaded or being loaded
	EvictionCost float64       // expected requests per second for the adapter that would be evicted; 0 if the engine has a free adapter slot
	Outstanding  int           // requests that run on the engine or wait for it
	BatchSize    int           // requests that can run at once
	ServiceTime  time.Duration // smoothed run time of a request
}

// DirectoryConfig sets how a Directory asks for bids and spreads adapters over
// engines.
type DirectoryConfig struct {
	Candidates  int           // number of engines that are asked for bids on an adapter
	Demand      demand.Config // long-term demand estimate; gives Placement.ExpectedRate, by which engines decide which adapters stay loaded
	ShortDemand demand.Config // short-term demand estimate; decides over how many engines an adapter is spread
	MaxFill     float64       // share of an engine's batch that one adapter may fill before it is spread over more engines
	QueueTTL    time.Duration // time for which the queue length in a bid is trusted
}

// Directory chooses the engines that serve each adapter, by the bids of the engines'
// owners. An adapter stays on an engine until the engine evicts it or is no longer
// eligible, fewer engines are enough, or requests for the adapter cease. The state
// of a Directory can be rebuilt from bids at any time. Directory is not safe for
// concurrent use.
type Directory struct {
	config      DirectoryConfig
	assignments map[spec.Adapter]*assignment
	engines     map[string]*engineUsage
	sweptAt     time.Time
}

// assignment holds the engines that serve an adapter.
type assignment struct {
	engines   []string
	changedAt time.Time    // when an engine was last added or removed
	longTerm  demand.Meter // long-term demand
	shortTerm demand.Meter // short-term demand
}

// engineUsage tells how busy an engine is: the figures of its last bid, and the
// requests placed on it since that bid. Without a bid, the figures are 0.
type engineUsage struct {
	queue      int           // requests that ran or waited at the time of the bid
	placed     int           // requests placed on the engine since the bid
	batch      int           // requests that can run at once
	service    time.Duration // smoothed run time of a request
	reportedAt time.Time     // when the bid was received; zero if there was none
}

// NewDirectory returns an empty directory.
func NewDirectory(c DirectoryConfig) *Directory {
	return &Directory{config: c, assignments: map[spec.Adapter]*assignment{}, engines: map[string]*engineUsage{}}
}

// Placement is the engine chosen for a request or, if bids are needed before the
// choice, the engines to ask for them. It is empty if no engine can take the request.
type Placement struct {
	Engine       string
	ExpectedRate float64  // expected requests per second for the adapter on the engine
	Candidates   []string // engines to ask, if Engine is empty
}

// Place chooses one of the eligible engines for a new request for an adapter. If
// bids are needed first, the Placement names the engines to ask for them.
func (d *Directory) Place(now time.Time, a spec.Adapter, eligible []string) Placement {
	d.sweep(now)
	assigned := d.assignment(a)
	assigned.longTerm.Add(now, d.config.Demand)
	assigned.shortTerm.Add(now, d.config.ShortDemand)
	assigned.engines = slices.DeleteFunc(assigned.engines, func(e string) bool { return !slices.Contains(eligible, e) })
	if len(eligible) == 0 {
		return Placement{}
	}
	d.shrink(now, assigned, len(eligible))
	if len(assigned.engines) < d.neededEngines(now, assigned, len(eligible)) || d.stale(now, assigned) {
		return Placement{Candidates: rank.Top(a.String(), eligible, d.config.Candidates)}
	}
	return d.pick(now, assigned)
}

// PlaceWithBids processes the bids for an adapter and chooses the engine for a
// request that waited for them. First it adds engines to the adapter if its demand
// needs more (neededEngines), or one engine if all its engines are full. If there is
// no bid and no engine serves the adapter yet, it returns an empty Placement.
func (d *Directory) PlaceWithBids(now time.Time, a spec.Adapter, bids []Bid) Placement {
	assigned := d.assignment(a)
	for _, b := range bids {
		d.engines[b.Engine] = &engineUsage{queue: b.Outstanding, batch: b.BatchSize, service: b.ServiceTime, reportedAt: now}
		if b.HasAdapter && !slices.Contains(assigned.engines, b.Engine) {
			assigned.engines = append(assigned.engines, b.Engine)
		}
	}
	for len(assigned.engines) < d.neededEngines(now, assigned, len(bids)) {
		engine := cheapest(bids, assigned.engines)
		if engine == "" {
			break
		}
		d.addEngine(now, assigned, engine)
	}
	if d.full(assigned) {
		if engine := cheapest(bids, assigned.engines); engine != "" && d.engines[engine].fill() < crowdedFill {
			d.addEngine(now, assigned, engine)
		}
	}
	if len(assigned.engines) == 0 {
		return Placement{}
	}
	return d.pick(now, assigned)
}

// PlaceNext chooses the engine for a further request that waited for the same bids,
// after PlaceWithBids has processed them. It adds no engine to the adapter.
func (d *Directory) PlaceNext(now time.Time, a spec.Adapter) Placement {
	assigned := d.assignment(a)
	if len(assigned.engines) == 0 {
		return Placement{}
	}
	return d.pick(now, assigned)
}

// Evicted records that an engine no longer holds an adapter.
func (d *Directory) Evicted(a spec.Adapter, engine string) {
	if assigned, ok := d.assignments[a]; ok {
		assigned.engines = slices.DeleteFunc(assigned.engines, func(e string) bool { return e == engine })
	}
}

func (d *Directory) assignment(a spec.Adapter) *assignment {
	assigned, ok := d.assignments[a]
	if !ok {
		assigned = &assignment{}
		d.assignments[a] = assigned
	}
	return assigned
}

// neededEngines returns the number of engines over which an adapter should be
// spread, at most limit. It computes the number from the adapter's short-term demand
// and the last bid of its first engine. Without that bid it returns the current
// number of engines.
func (d *Directory) neededEngines(now time.Time, assigned *assignment, limit int) int {
	if len(assigned.engines) == 0 {
		return min(1, limit)
	}
	usage, ok := d.engines[assigned.engines[0]]
	if !ok || usage.batch == 0 {
		return len(assigned.engines)
	}
	utilisation := assigned.shortTerm.Rate(now, d.config.ShortDemand) * usage.service.Seconds() / float64(usage.batch)
	needed := max(1, int(math.Ceil(utilisation/d.config.MaxFill)))
	return min(needed, limit)
}

func (d *Directory) addEngine(now time.Time, assigned *assignment, engine string) {
	assigned.engines = append(assigned.engines, engine)
	assigned.changedAt = now
}

// shrink removes the last engine of an adapter that needs fewer engines, if no
// engine was added or removed for ShortDemand.HalfLife and not all of them are full.
// The removed engine keeps the adapter loaded until it evicts the adapter.
func (d *Directory) shrink(now time.Time, assigned *assignment, limit int) {
	if len(assigned.engines) > d.neededEngines(now, assigned, limit) && now.Sub(assigned.changedAt) > d.config.ShortDemand.HalfLife && !d.full(assigned) {
		assigned.engines = assigned.engines[:len(assigned.engines)-1]
		assigned.changedAt = now
	}
}

// full reports whether an adapter has engines and all of them have at least as many
// running and waiting requests as their batch size. An engine without a bid does not
// count as full.
func (d *Directory) full(assigned *assignment) bool {
	for _, e := range assigned.engines {
		if usage, ok := d.engines[e]; !ok || usage.fill() < 1 {
			return false
		}
	}
	return len(assigned.engines) > 0
}

// fill returns the number of running and waiting requests as a share of the batch
// size. It exceeds 1 if requests wait for a full batch.
func (u *engineUsage) fill() float64 {
	if u.batch == 0 {
		return 0
	}
	return float64(u.queue+u.placed) / float64(u.batch)
}

// stale reports whether new bids are needed because the queue length of an engine of
// the adapter is unknown or older than QueueTTL. Queue lengths matter only for an
// adapter that is served by several engines or whose only engine is full.
func (d *Directory) stale(now time.Time, assigned *assignment) bool {
	if len(assigned.engines) < 2 && !d.full(assigned) {
		return false
	}
	for _, e := range assigned.engines {
		if usage, ok := d.engines[e]; !ok || now.Sub(usage.reportedAt) > d.config.QueueTTL {
			return true
		}
	}
	return false
}

// pick chooses the engine with the fewest running and waiting requests among those
// that serve an adapter, and counts the new request on it (engineUsage.placed).
func (d *Directory) pick(now time.Time, assigned *assignment) Placement {
	chosen, lowest := "", 0
	for _, e := range assigned.engines {
		usage, ok := d.engines[e]
		if !ok {
			usage = &engineUsage{}
			d.engines[e] = usage
		}
		if q := usage.queue + usage.placed; chosen == "" || q < lowest {
			chosen, lowest = e, q
		}
	}
	d.engines[chosen].placed++
	rate := assigned.longTerm.Rate(now, d.config.Demand) / float64(len(assigned.engines))
	return Placement{Engine: chosen, ExpectedRate: rate}
}

// crowdedFill is the share of an engine's batch size above which running and waiting
// requests raise the cost of the engine's bid. An adapter whose engines are
// all full gets a further engine only if the further engine is below this share.
const crowdedFill = 0.7

// queueCost is the cost of Bid.BatchSize outstanding requests above crowdedFill, in
// the unit of Bid.EvictionCost (requests per second for the evicted adapter). Other
// numbers of requests cost in proportion.
const queueCost = 1

// cheapest returns, of the engines with a bid that are not in used, the one whose bid
// costs least. It returns "" if there is none. The cost of a bid is its EvictionCost
// plus queueCost for requests above crowdedFill.
func cheapest(bids []Bid, used []string) string {
	chosen, lowest := "", 0.0
	for _, b := range bids {
		if slices.Contains(used, b.Engine) {
			continue
		}
		cost := b.EvictionCost + queueCost*max(0, float64(b.Outstanding)/float64(b.BatchSize)-crowdedFill)
		if chosen == "" || cost < lowest {
			chosen, lowest = b.Engine, cost
		}
	}
	return chosen
}

// sweep deletes the state of adapters that have had no request for Demand.HalfLife.
// It runs at most once per Demand.MinAge.
func (d *Directory) sweep(now time.Time) {
	if now.Sub(d.sweptAt) < d.config.Demand.MinAge {
		return
	}
	d.sweptAt = now
	for a, assigned := range d.assignments {
		if now.Sub(assigned.longTerm.LastAdded()) > d.config.Demand.HalfLife {
			delete(d.assignments, a)
		}
	}
}
