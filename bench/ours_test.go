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
	directories = 6
	candidates  = 12
)

// ours drives the packages that the daemon runs.
type ours struct {
	world   *world
	names   []string
	index   map[string]int
	homes   []*place.Home // directories, one for each VM
	scheds  []*slots.Engine
	granter *permit.Granter
	waiting map[string]request
}

func newOurs(w *world) *ours {
	timing := node.Defaults()
	o := &ours{
		world:   w,
		index:   map[string]int{},
		granter: permit.New(permit.Config{Rate: w.workload.loads, Most: 2, Hold: timing.PermitOK, Wait: time.Hour}, epoch),
		waiting: map[string]request{},
	}
	for range directories {
		o.homes = append(o.homes, place.NewHome(place.HomeConfig{
			Candidates: candidates,
			Demand:     timing.Demand,
			Quick:      demand.Config{HalfLife: 30 * time.Second, MinAge: 10 * time.Second},
			Fill:       0.6,
			Fresh:      200 * time.Millisecond,
		}))
	}
	for i := range w.workload.engines {
		name := fmt.Sprintf("lm/e%d", i)
		o.index[name] = i
		o.names = append(o.names, name)
		o.scheds = append(o.scheds, slots.New(slots.Config{
			Slots:   w.workload.slots,
			Batch:   w.workload.batch,
			Queue:   timing.Queue,
			Weights: w.workload.weights,
			Load:    w.workload.load,
			Starve:  timing.Starve,
			Backoff: timing.Backoff,
			Demand:  timing.Demand,
			Fence:   1,
		}))
	}
	return o
}

func (o *ours) arrive(now time.Time, r request) {
	home := o.home(r.Adapter)
	placed := home.Place(now, r.Adapter, o.names)
	if placed.Engine == "" {
		placed = home.Bids(now, r.Adapter, o.bids(now, r.Adapter, placed.Ask))
	}
	number := o.index[placed.Engine]
	r.Demand = placed.Demand
	o.waiting[r.ID] = r
	o.do(now, number, o.scheds[number].Add(now, r.Request))
	o.next(now, number)
}

func (o *ours) home(a spec.Adapter) *place.Home {
	return o.homes[rank.Score("home", a.String())%directories]
}

func (o *ours) bids(now time.Time, a spec.Adapter, engines []string) []place.Bid {
	var bids []place.Bid
	for _, name := range engines {
		b := o.scheds[o.index[name]].Bid(now, a)
		bids = append(bids, place.Bid{
			Engine: name, Holds: b.Holds, Cost: b.Cost, Queue: b.Queue, Batch: o.world.workload.batch, Service: b.Service,
		})
	}
	return bids
}

func (o *ours) next(now time.Time, number int) { o.do(now, number, o.scheds[number].Next(now)) }

func (o *ours) do(now time.Time, number int, actions []slots.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case slots.Start:
			r := o.waiting[a.Request.ID]
			delete(o.waiting, a.Request.ID)
			o.world.start(now, number, r, o)
		case slots.Refuse:
			o.world.refuse(o.waiting[a.Request.ID], string(a.Reason))
			delete(o.waiting, a.Request.ID)
		case slots.Load:
			o.world.load(now, number, a.Instance.Adapter, o)
		case slots.Unload:
			o.home(a.Instance.Adapter).Evicted(a.Instance.Adapter, o.names[number])
			o.world.unload(now, number, a.Instance.Adapter, o)
		case slots.Want:
			o.granted(now, o.granter.Ask(now, permit.Ask{ID: id(number), Weight: a.Weight}))
		case slots.Drop:
			o.granted(now, o.granter.Release(now, id(number)))
		}
	}
}

func id(number int) permit.ID { return permit.ID{VM: strconv.Itoa(number)} }

func (o *ours) granted(now time.Time, ids []permit.ID) {
	for _, id := range ids {
		number, _ := strconv.Atoi(id.VM)
		o.scheds[number].Grant()
		o.next(now, number)
	}
}

func (o *ours) finished(now time.Time, number int, r request) {
	o.scheds[number].Finish(now, r.ID)
	o.next(now, number)
}

func (o *ours) loaded(now time.Time, number int, a spec.Adapter) {
	o.granted(now, o.granter.Release(now, id(number)))
	o.scheds[number].Loaded(now, slots.Instance{Adapter: a, Fence: 1}, true)
	o.next(now, number)
}

func (o *ours) unloaded(now time.Time, number int, a spec.Adapter) {
	o.scheds[number].Unloaded(slots.Instance{Adapter: a, Fence: 1}, true)
	o.next(now, number)
}

func (o *ours) tick(now time.Time) {
	for number := range o.scheds {
		o.next(now, number)
	}
	o.granted(now, o.granter.Next(now))
}
