package bench

import (
	"fmt"
	"strconv"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// ours drives the packages that the daemon runs.
type ours struct {
	world   *world
	names   []string
	index   map[string]int
	hints   *place.Table
	scheds  []*slots.Engine
	granter *permit.Granter
	waiting map[string]request
}

func newOurs(w *world) *ours {
	timing := node.Defaults()
	o := &ours{
		world:   w,
		index:   map[string]int{},
		hints:   place.New(place.Config{Keep: 5 * time.Second}),
		granter: permit.New(permit.Config{Rate: w.workload.loads, Most: 2, Hold: timing.PermitOK, Wait: time.Hour}, epoch),
		waiting: map[string]request{},
	}
	for i := range w.workload.engines {
		name := fmt.Sprintf("lm/e%d", i)
		o.index[name] = i
		o.names = append(o.names, name)
		o.scheds = append(o.scheds, slots.New(slots.Config{
			Slots:   w.workload.slots,
			Batch:   w.workload.batch,
			Loads:   1,
			Queue:   timing.Queue,
			Weights: w.workload.weights,
			Load:    w.workload.load,
			Starve:  timing.Starve,
			Backoff: timing.Backoff,
			Memory:  timing.Memory,
			Fence:   1,
		}))
	}
	return o
}

func (o *ours) arrive(now time.Time, r request) {
	number := o.index[o.hints.Pick(now, r.Adapter.String(), o.names, nil)]
	o.waiting[r.ID] = r
	o.do(now, number, o.scheds[number].Add(now, r.Request))
	o.next(now, number)
}

func (o *ours) next(now time.Time, number int) { o.do(now, number, o.scheds[number].Next(now)) }

func (o *ours) do(now time.Time, number int, actions []slots.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case slots.Start:
			r := o.waiting[a.Request.ID]
			delete(o.waiting, a.Request.ID)
			sched := o.scheds[number]
			o.hints.Hint(now, r.Adapter.String(), sched.Spread(r.Adapter), o.names[number], sched.Running()+sched.Waiting())
			o.world.start(now, number, r, o)
		case slots.Refuse:
			o.world.refuse(o.waiting[a.Request.ID], string(a.Reason))
			delete(o.waiting, a.Request.ID)
		case slots.Load:
			o.world.load(now, number, a.Instance.Adapter, o)
		case slots.Unload:
			o.world.unload(now, number, a.Instance.Adapter, o)
		case slots.Want:
			ask := permit.Ask{ID: id(number, a.Adapter), Urgency: a.Urgency, Since: a.Since}
			o.granted(now, o.granter.Ask(now, ask))
		case slots.Drop:
			o.granted(now, o.granter.Release(now, id(number, a.Adapter)))
		}
	}
}

func id(number int, a spec.Adapter) permit.ID {
	return permit.ID{VM: strconv.Itoa(number), Name: a.Name}
}

func (o *ours) granted(now time.Time, ids []permit.ID) {
	for _, id := range ids {
		number, _ := strconv.Atoi(id.VM)
		o.scheds[number].Grant(spec.Adapter{Name: id.Name, Version: "v1"})
		o.next(now, number)
	}
}

func (o *ours) finished(now time.Time, number int, r request) {
	o.scheds[number].Finish(now, r.ID)
	o.next(now, number)
}

func (o *ours) loaded(now time.Time, number int, a spec.Adapter) {
	o.granted(now, o.granter.Release(now, id(number, a)))
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
