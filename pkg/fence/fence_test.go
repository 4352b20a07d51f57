package fence_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/fence"
)

var start = time.Unix(1_000_000, 0)

func TestOrdersFrom(t *testing.T) {
	const lease = 3 * time.Second
	a, b := fence.Claim{Engine: "e", VM: "a", Boot: 1}, fence.Claim{Engine: "e", VM: "b", Boot: 1}
	restarted := fence.Claim{Engine: "e", VM: "a", Boot: 2}
	released := a
	released.Released = true
	for _, c := range []struct {
		name   string
		claims []fence.Claim // one second apart
		wait   time.Duration // time from the last claim to the first order
	}{
		{"first", []fence.Claim{a}, 0},
		{"restarted", []fence.Claim{a, restarted}, -time.Second}, // no wait: the time counts from the first claim of VM a
		{"taken over", []fence.Claim{a, b}, lease},
		{"taken over after a release", []fence.Claim{a, released, b}, lease},
		{"restarted while it waits", []fence.Claim{b, a, restarted}, lease - time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := fence.New()
			now := start
			for i, claim := range c.claims {
				now = start.Add(time.Duration(i) * time.Second)
				is.True(table.Apply(now, int64(i), claim))
			}
			h, ok := table.Get("e")
			is.True(ok)
			is.Equal(h.Token, int64(len(c.claims)))
			is.Equal(h.OrdersFrom(lease), now.Add(c.wait))
		})
	}
}

func TestClaimReadAgainChangesNothing(t *testing.T) {
	is := is.New(t)
	table := fence.New()
	is.True(table.Apply(start, 5, fence.Claim{Engine: "e", VM: "a"}))
	is.True(!table.Apply(start, 5, fence.Claim{Engine: "e", VM: "a"}))
	is.True(!table.Apply(start, 4, fence.Claim{Engine: "e", VM: "b"}))
	h, _ := table.Get("e")
	is.Equal(h.VM, "a")
}

func TestClaimableSpreadsEngines(t *testing.T) {
	is := is.New(t)
	vms := []fence.VM{{Name: "a", Boot: 1}, {Name: "b", Boot: 1}, {Name: "c", Boot: 1}}
	engines := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
	table := fence.New()
	claimants := map[string]string{}
	for _, vm := range vms {
		claimable := table.Claimable(vm, vms, engines)
		is.Equal(len(claimable), 2)
		for _, e := range claimable {
			_, claimed := claimants[e]
			is.True(!claimed) // VMs with the same view claim different engines
			claimants[e] = vm.Name
		}
	}
}

func TestClaimableOnlyWhenTheHolderIsGone(t *testing.T) {
	is := is.New(t)
	table := fence.New()
	table.Apply(start, 1, fence.Claim{Engine: "e1", VM: "a", Boot: 1})
	table.Apply(start, 2, fence.Claim{Engine: "e2", VM: "b", Boot: 1})
	a, b := fence.VM{Name: "a", Boot: 1}, fence.VM{Name: "b", Boot: 1}
	is.Equal(len(table.Claimable(a, []fence.VM{a, b}, []string{"e1", "e2"})), 0)
	is.Equal(table.Claimable(a, []fence.VM{a}, []string{"e1", "e2"}), []string{"e2"})
	b.Boot = 2 // b has restarted and claims its engine again
	is.Equal(len(table.Claimable(a, []fence.VM{a, b}, []string{"e1", "e2"})), 0)
	is.Equal(table.Claimable(b, []fence.VM{a, b}, []string{"e1", "e2"}), []string{"e2"})
}
