package edge

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// Guards against a holder that counts the requests of a VM's killed process as running until their
// deadlines, so that its engine looks full (review/3).
func TestRequestsOfAKilledProcessEndWhenItsVMIsBack(t *testing.T) {
	for _, c := range []struct {
		name    string
		update  func(vm gossip.VM) gossip.Update
		running int
	}{
		{"the same process", func(vm gossip.VM) gossip.Update { return gossip.Update{VM: vm, Status: gossip.Alive} }, 2},
		{"it leaves", func(vm gossip.VM) gossip.Update { return gossip.Update{VM: vm, Status: gossip.Leaving, Beat: 1} }, 2},
		{"another process", func(vm gossip.VM) gossip.Update {
			vm.Boot++
			return gossip.Update{VM: vm, Status: gossip.Alive}
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			vms, _ := storeVMs(t, "a", "b.1", "c")
			holder, sender := vms[0], vms[1]
			scheduler := engine.New(engine.Config{BatchSize: 8, KVCapacity: 1000, Models: []engine.Model{{Name: "m"}}}, start)
			scheduler.Next(start)
			scheduler.Reported(start, []roster.Model{{Name: "m"}}, nil, 0)
			h := &heldEngine{scheduler: scheduler, waiters: map[string]netip.AddrPort{}}
			holder.held["u"] = h
			for _, vm := range []*control{sender, vms[2]} {
				holder.handleSlotRequest(t.Context(), start, vm.self.Peer, &slotRequest{Engine: "u", ID: vm.dispatcher.newID(), Model: "m", Objective: 1e9, UsefulUntil: 2e9, Deadline: 3e9, MayQueue: true})
			}
			is.Equal(scheduler.Usage(start).Running, 2)
			holder.endRestarted()
			holder.gossip.ApplyDirect(start, c.update(sender.self))
			holder.endRestarted()
			is.Equal(scheduler.Usage(start).Running, c.running)
		})
	}
}
