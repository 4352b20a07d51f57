package bench

import (
	"fmt"
	"strconv"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/demand"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const (
	directoryCount = 6  // number of simulated VMs; each has a directory, which chooses the engines for a share of the adapters
	candidates     = 12 // maximum number of engines that are asked for a bid (see place.Bid) on an adapter
)

// tanagerPolicy is the policy of tanagerlb. It uses the packages that make the
// scheduling decisions in `tanagerlb serve`: place, slots and permit.
type tanagerPolicy struct {
	simulation  *simulation
	names       []string
	index       map[string]int     // position in names, by engine name
	directories []*place.Directory // adapter directories, one for each simulated VM
	schedulers  []*slots.Scheduler // one for each engine
	granter     *permit.Granter
	waiting     map[string]request // requests that have not started, by ID
}

func newTanagerPolicy(s *simulation) *tanagerPolicy {
	timing := node.Defaults()
	p := &tanagerPolicy{
		simulation: s,
		index:      map[string]int{},
		granter:    permit.New(permit.Config{Rate: s.workload.loadRate, MaxActive: 2, PermitTTL: timing.PermitTTL, RequestTTL: time.Hour}, epoch),
		waiting:    map[string]request{},
	}
	for range directoryCount {
		p.directories = append(p.directories, place.NewDirectory(place.DirectoryConfig{
			Candidates:  candidates,
			Demand:      timing.Demand,
			ShortDemand: demand.Config{HalfLife: 30 * time.Second, MinAge: 10 * time.Second},
			MaxFill:     0.6,
			QueueTTL:    200 * time.Millisecond,
		}))
	}
	for i := range s.workload.engines {
		name := fmt.Sprintf("lm/e%d", i)
		p.index[name] = i
		p.names = append(p.names, name)
		p.schedulers = append(p.schedulers, slots.New(slots.Config{
			Slots:             s.workload.slots,
			BatchSize:         s.workload.batch,
			MaxQueue:          timing.MaxQueue,
			Weights:           s.workload.weights,
			LoadTime:          s.workload.loadTime,
			StarvationTimeout: timing.StarvationTimeout,
			LoadBackoff:       timing.LoadBackoff,
			Demand:            timing.Demand,
			FencingToken:      1,
		}))
	}
	return p
}

func (p *tanagerPolicy) arrive(now time.Time, r request) {
	directory := p.directory(r.Adapter)
	placed := directory.Place(now, r.Adapter, p.names)
	if placed.Engine == "" {
		placed = directory.PlaceWithBids(now, r.Adapter, p.bids(now, r.Adapter, placed.Candidates))
	}
	number := p.index[placed.Engine]
	r.ExpectedRate = placed.ExpectedRate
	p.waiting[r.ID] = r
	p.apply(now, number, p.schedulers[number].Enqueue(now, r.Request))
	p.dispatch(now, number)
}

// directory returns the directory that chooses the engine for each request for an
// adapter.
func (p *tanagerPolicy) directory(a spec.Adapter) *place.Directory {
	return p.directories[rank.Score("home", a.String())%directoryCount]
}

func (p *tanagerPolicy) bids(now time.Time, a spec.Adapter, engines []string) []place.Bid {
	var bids []place.Bid
	for _, name := range engines {
		estimate := p.schedulers[p.index[name]].Estimate(now, a)
		bids = append(bids, place.Bid{
			Engine: name, HasAdapter: estimate.HasAdapter, EvictionCost: estimate.EvictionCost, Outstanding: estimate.Outstanding, BatchSize: p.simulation.workload.batch, ServiceTime: estimate.ServiceTime,
		})
	}
	return bids
}

func (p *tanagerPolicy) dispatch(now time.Time, number int) {
	p.apply(now, number, p.schedulers[number].Next(now))
}

// apply carries out the actions that an engine's scheduler returned.
func (p *tanagerPolicy) apply(now time.Time, number int, actions []slots.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case slots.Start:
			r := p.waiting[a.Request.ID]
			delete(p.waiting, a.Request.ID)
			p.simulation.start(now, number, r, p)
		case slots.Refuse:
			p.simulation.refuse(p.waiting[a.Request.ID], string(a.Reason))
			delete(p.waiting, a.Request.ID)
		case slots.Load:
			p.simulation.load(now, number, a.Instance.Adapter, p)
		case slots.Unload:
			p.directory(a.Instance.Adapter).Evicted(a.Instance.Adapter, p.names[number])
			p.simulation.unload(now, number, a.Instance.Adapter, p)
		case slots.RequestPermit:
			p.grantPermits(now, p.granter.Request(now, permit.Request{ID: id(number), Weight: a.Weight}))
		case slots.ReleasePermit:
			p.grantPermits(now, p.granter.Release(now, id(number)))
		}
	}
}

func id(number int) permit.ID { return permit.ID{VM: strconv.Itoa(number)} }

func (p *tanagerPolicy) grantPermits(now time.Time, ids []permit.ID) {
	for _, id := range ids {
		number, _ := strconv.Atoi(id.VM)
		p.schedulers[number].GrantPermit()
		p.dispatch(now, number)
	}
}

func (p *tanagerPolicy) finished(now time.Time, number int, r request) {
	p.schedulers[number].Finish(now, r.ID)
	p.dispatch(now, number)
}

func (p *tanagerPolicy) loaded(now time.Time, number int, a spec.Adapter) {
	p.grantPermits(now, p.granter.Release(now, id(number)))
	p.schedulers[number].FinishLoad(now, slots.Instance{Adapter: a, FencingToken: 1}, true)
	p.dispatch(now, number)
}

func (p *tanagerPolicy) unloaded(now time.Time, number int, a spec.Adapter) {
	p.schedulers[number].FinishUnload(slots.Instance{Adapter: a, FencingToken: 1}, true)
	p.dispatch(now, number)
}

func (p *tanagerPolicy) tick(now time.Time) {
	for number := range p.schedulers {
		p.dispatch(now, number)
	}
	p.grantPermits(now, p.granter.Next(now))
}
