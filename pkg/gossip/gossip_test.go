package gossip_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/gossip"
)

var start = time.Unix(1_000_000, 0)

const tick = 100 * time.Millisecond

func config() gossip.Config {
	return gossip.Config{ProbeTimeout: 200 * time.Millisecond, SuspicionTimeout: time.Second, MaxUpdates: 6, MaxTickGap: 400 * time.Millisecond}
}

func vm(i int) gossip.VM { return gossip.VM{Name: fmt.Sprintf("vm%03d", i), Boot: 1} }

// fleet simulates a fleet of VMs that probe each other. All packets to and from
// the VMs in cut are lost.
type fleet struct {
	tables map[string]*gossip.Table
	cut    map[string]bool // names of the VMs that are cut off
	now    time.Time
	probes int
}

func newFleet(size int) *fleet {
	f := &fleet{tables: map[string]*gossip.Table{}, cut: map[string]bool{}, now: start}
	for i := range size {
		t := gossip.New(config(), vm(i))
		for j := range size {
			t.Apply(start, gossip.Update{VM: vm(j)})
		}
		f.tables[vm(i).Name] = t
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for name, t := range f.tables {
			probes, _ := t.Tick(f.now)
			for _, to := range probes {
				f.probes++
				f.exchange(name, to.Name)
			}
		}
	}
}

func (f *fleet) exchange(from, to string) {
	if f.cut[from] || f.cut[to] {
		return
	}
	a, b := f.tables[from], f.tables[to]
	for _, d := range []struct{ from, to *gossip.Table }{{a, b}, {b, a}} {
		d.to.ApplyDirect(f.now, d.from.Self())
		for _, u := range d.from.Updates() {
			d.to.Apply(f.now, u)
		}
	}
}

func (f *fleet) count(target string, s gossip.Status) int {
	count := 0
	for name, t := range f.tables {
		if name == target || f.cut[name] {
			continue
		}
		for _, u := range t.Members() {
			if u.VM.Name == target && u.Status == s {
				count++
			}
		}
	}
	return count
}

func TestDeadVMIsFoundByAllAndNoOtherIs(t *testing.T) {
	for _, size := range []int{2, 9, 100} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(size)
			f.run(time.Duration(size+20) * tick) // enough for each VM to probe all others
			f.cut[vm(0).Name] = true
			f.run(5 * time.Second)
			is.Equal(f.count(vm(0).Name, gossip.Dead), size-1)
			for i := 1; i < size; i++ {
				is.Equal(f.count(vm(i).Name, gossip.Alive), size-2) // all VMs but the cut-off VM and VM i itself
			}
			f.cut[vm(0).Name] = false
			f.run(time.Duration(size+40) * tick)
			is.Equal(f.count(vm(0).Name, gossip.Alive), size-1)
		})
	}
}

// The number of probes that a VM sends must not grow with the size of the fleet.
func TestProbesPerVMDoNotGrow(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{9, 90} {
		f := newFleet(size)
		f.run(5 * time.Second)
		is.Equal(f.probes, size*50)
	}
}

func TestRestartedVMIsAliveAtOnce(t *testing.T) {
	is := is.New(t)
	table := gossip.New(config(), vm(0))
	table.ApplyDirect(start, gossip.Update{VM: vm(1), Status: gossip.Alive})
	is.True(table.Apply(start, gossip.Update{VM: vm(1), Status: gossip.Dead}))
	restarted := vm(1)
	restarted.Boot = 2
	is.True(table.ApplyDirect(start.Add(time.Second), gossip.Update{VM: restarted, Status: gossip.Alive}))
	is.True(!table.Apply(start, gossip.Update{VM: vm(1), Status: gossip.Dead, Beat: 9})) // update about the earlier run
	is.Equal(table.Members()[0].Status, gossip.Alive)
}

func TestPausedVMSuspectsNoOtherVM(t *testing.T) {
	is := is.New(t)
	table := gossip.New(config(), vm(0))
	table.ApplyDirect(start, gossip.Update{VM: vm(1), Status: gossip.Alive})
	table.Tick(start)
	now := start
	for range 5 {
		now = now.Add(10 * time.Second) // this process was paused meanwhile
		_, changed := table.Tick(now)
		is.Equal(len(changed), 0)
	}
}

func TestSuspectedVMRefutesSuspicion(t *testing.T) {
	is := is.New(t)
	table := gossip.New(config(), vm(0))
	table.Apply(start, gossip.Update{VM: vm(0), Status: gossip.Suspect, Beat: 3})
	is.Equal(table.Self().Beat, uint32(4))
	is.Equal(table.Self().Status, gossip.Alive)
}

// A list may name VMs that left long ago. Callers must not be sent to a listed VM
// before any VM has heard from it. A fault once sent callers to such a VM until a
// probe found it dead.
func TestListedVMIsNotReachableUntilItIsHeard(t *testing.T) {
	is := is.New(t)
	table := gossip.New(config(), vm(0))
	status := func() gossip.Status { return table.Members()[0].Status }
	is.True(table.Apply(start, gossip.Update{VM: vm(1)}))
	is.True(!status().Reachable())
	is.True(table.Apply(start, gossip.Update{VM: vm(1), Status: gossip.Alive})) // another VM has heard from it
	is.True(status().Reachable())
	is.True(!table.Apply(start, gossip.Update{VM: vm(1)})) // the list is read again
	is.True(status().Reachable())

	table = gossip.New(config(), vm(0))
	table.Apply(start, gossip.Update{VM: vm(1)})
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(tick) {
		table.Tick(now)
		is.True(!status().Reachable())
	}
	is.Equal(status(), gossip.Dead)
}
