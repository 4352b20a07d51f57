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
	directoryCount = 6
	candidates     = 12
)

// tanagerPolicy is the policy that uses the scheduling packages of the daemon.
type tanagerPolicy struct {
	simulation  *simulation
	names       []string
	index       map[string]int     // engine numbers by engine name
	directories []*place.Directory // adapter directories, one for each simulated VM
	schedulers  []*slots.Scheduler
	granter     *permit.Granter
	waiting     map[string]request // by request ID
}

func newTanagerPolicy(s *simulation) *tanagerPolicy {
	timing := node.Defaults()
	o := &tanagerPolicy{
		simulation: s,
		index:      map[string]int{},
		granter:    permit.New(permit.Config{Rate: s.workload.loads, MaxActive: 2, PermitTTL: timing.PermitTTL, RequestTTL: time.Hour}, epoch),
		waiting:    map[string]request{},
	}
	for range directoryCount {
		o.directories = append(o.directories, place.NewDirectory(place.DirectoryConfig{
			Candidates:  candidates,
			Demand:      timing.Demand,
			ShortDemand: demand.Config{Half: 30 * time.Second, Young: 10 * time.Second},
			MaxFill:     0.6,
			QueueTTL:    200 * time.Millisecond,
		}))
	}
	for i := range s.workload.engines {
		name := fmt.Sprintf("lm/e%d", i)
		o.index[name] = i
		o.names = append(o.names, name)
		o.schedulers = append(o.schedulers, slots.New(slots.Config{
			Slots:             s.workload.slots,
			BatchSize:         s.workload.batch,
			MaxQueue:          timing.MaxQueue,
			Weights:           s.workload.weights,
			LoadTime:          s.workload.load,
			StarvationTimeout: timing.StarvationTimeout,
			LoadBackoff:       timing.LoadBackoff,
			Demand:            timing.Demand,
			FencingToken:      1,
		}))
	}
	return o
}

func (o *tanagerPolicy) arrive(now time.Time, r request) {
	directory := o.directory(r.Adapter)
	placed := directory.Place(now, r.Adapter, o.names)
	if placed.Engine == "" {
		placed = directory.PlaceWithBids(now, r.Adapter, o.bids(now, r.Adapter, placed.Candidates))
	}
	number := o.index[placed.Engine]
	r.ExpectedRate = placed.Demand
	o.waiting[r.ID] = r
	o.apply(now, number, o.schedulers[number].Enqueue(now, r.Request))
	o.dispatch(now, number)
}

// directory returns the directory that places an adapter's requests.
func (o *tanagerPolicy) directory(a spec.Adapter) *place.Directory {
	return o.directories[rank.Score("home", a.String())%directoryCount]
}

func (o *tanagerPolicy) bids(now time.Time, a spec.Adapter, engines []string) []place.Bid {
	var bids []place.Bid
	for _, name := range engines {
		b := o.schedulers[o.index[name]].Estimate(now, a)
		bids = append(bids, place.Bid{
			Engine: name, HasAdapter: b.HasAdapter, EvictionCost: b.EvictionCost, Outstanding: b.Outstanding, BatchSize: o.simulation.workload.batch, ServiceTime: b.ServiceTime,
		})
	}
	return bids
}

func (o *tanagerPolicy) dispatch(now time.Time, number int) {
	o.apply(now, number, o.schedulers[number].Next(now))
}

// apply carries out the actions of an engine's scheduler.
func (o *tanagerPolicy) apply(now time.Time, number int, actions []slots.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case slots.Start:
			r := o.waiting[a.Request.ID]
			delete(o.waiting, a.Request.ID)
			o.simulation.start(now, number, r, o)
		case slots.Refuse:
			o.simulation.refuse(o.waiting[a.Request.ID], string(a.Reason))
			delete(o.waiting, a.Request.ID)
		case slots.Load:
			o.simulation.load(now, number, a.Instance.Adapter, o)
		case slots.Unload:
			o.directory(a.Instance.Adapter).Evicted(a.Instance.Adapter, o.names[number])
			o.simulation.unload(now, number, a.Instance.Adapter, o)
		case slots.RequestPermit:
			o.grantPermits(now, o.granter.Request(now, permit.Request{ID: id(number), Weight: a.Weight}))
		case slots.ReleasePermit:
			o.grantPermits(now, o.granter.Release(now, id(number)))
		}
	}
}

func id(number int) permit.ID { return permit.ID{VM: strconv.Itoa(number)} }

func (o *tanagerPolicy) grantPermits(now time.Time, ids []permit.ID) {
	for _, id := range ids {
		number, _ := strconv.Atoi(id.VM)
		o.schedulers[number].GrantPermit()
		o.dispatch(now, number)
	}
}

func (o *tanagerPolicy) finished(now time.Time, number int, r request) {
	o.schedulers[number].Finish(now, r.ID)
	o.dispatch(now, number)
}

func (o *tanagerPolicy) loaded(now time.Time, number int, a spec.Adapter) {
	o.grantPermits(now, o.granter.Release(now, id(number)))
	o.schedulers[number].FinishLoad(now, slots.Instance{Adapter: a, FencingToken: 1}, true)
	o.dispatch(now, number)
}

func (o *tanagerPolicy) unloaded(now time.Time, number int, a spec.Adapter) {
	o.schedulers[number].FinishUnload(slots.Instance{Adapter: a, FencingToken: 1}, true)
	o.dispatch(now, number)
}

func (o *tanagerPolicy) tick(now time.Time) {
	for number := range o.schedulers {
		o.dispatch(now, number)
	}
	o.grantPermits(now, o.granter.Next(now))
}
