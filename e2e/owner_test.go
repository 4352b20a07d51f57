package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/internal/stand"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

var adapters = []string{"school-1@v1", "school-2@v1", "parish-1@v3", "clinic-1@v2", "clinic-2@v2", "choir-1@v9"}

// fencingModes holds the values of FleetConfig.Fencing by subtest name: "fencing"
// engines refuse load and unload requests with old fencing tokens, and "ignoring"
// engines do not look at fencing tokens.
var fencingModes = map[string]bool{"fencing": true, "ignoring": false}

// leastLoadedOwner returns the VM that owns the fewest engines, among the VMs that
// own at least one.
func leastLoadedOwner(f *testlib.Fleet) *testlib.VM {
	counts := map[string]int{}
	for _, vm := range f.AwaitOwned() {
		counts[vm]++
	}
	least := ""
	for vm, count := range counts {
		if least == "" || count < counts[least] || (count == counts[least] && vm < least) {
			least = vm
		}
	}
	return f.VMByName(least)
}

// awaitTakeover waits until every VM except formerOwner reports that all engines
// have an owner and that formerOwner owns none.
func awaitTakeover(f *testlib.Fleet, formerOwner *testlib.VM) {
	f.T.Helper()
	for _, vm := range f.VMs {
		if vm == formerOwner {
			continue
		}
		testlib.Await(f.T, "engines are taken over", func() bool {
			owners := vm.Owners()
			for _, owner := range owners {
				if owner == formerOwner.Name {
					return false
				}
			}
			return len(owners) == len(f.Engines)
		})
	}
}

// When a VM that owns engines is killed, no call is lost, and other VMs take over
// the engines.
func TestOwnerKilled(t *testing.T) {
	for name, fences := range fencingModes {
		t.Run(name, func(t *testing.T) {
			f := testlib.NewFleet(t, testlib.FleetConfig{Fencing: fences, Slots: 4})
			f.MustPublish(f.ModelDocument(adapters...))
			owner := leastLoadedOwner(f)
			l := startLoad(f, 6, 10, adapters...)
			l.awaitDone(50)
			owner.Kill()
			f.SetVMList(owner.Name)
			awaitTakeover(f, owner)
			l.awaitDone(100)
			l.finish(t)
		})
	}
}

// When a VM that owns engines is suspended for longer than its lease, other VMs take
// over the engines. After the VM is resumed, it unloads no adapter that a request
// uses.
func TestOwnerFrozen(t *testing.T) {
	for name, fences := range fencingModes {
		t.Run(name, func(t *testing.T) {
			f := testlib.NewFleet(t, testlib.FleetConfig{Fencing: fences, Slots: 4, Engines: 6})
			f.MustPublish(f.ModelDocument(adapters...))
			owner := leastLoadedOwner(f)
			l := startLoad(f, 6, 10, adapters...)
			l.awaitDone(50)
			for range 2 {
				owner.Signal(syscall.SIGSTOP)
				awaitTakeover(f, owner)
				l.awaitDone(20)
				owner.Signal(syscall.SIGCONT)
				l.awaitDone(50)
				testlib.Await(t, "resumed VM is heard again", func() bool {
					for _, vm := range f.VMs {
						if len(vm.Status().Vms) != len(f.VMs) {
							return false
						}
					}
					return true
				})
			}
			l.finish(t)
		})
	}
}

// When a VM that owns engines loses its connection to the log, but not its other
// connections, the other VMs, which can read the log, take over the engines.
func TestOwnerCutFromLog(t *testing.T) {
	f := testlib.NewFleet(t, testlib.FleetConfig{Slots: 4})
	f.MustPublish(f.ModelDocument(adapters...))
	owner := leastLoadedOwner(f)
	l := startLoad(f, 6, 10, adapters...)
	l.awaitDone(50)
	owner.LogProxy.SetMode(testlib.Blackhole)
	awaitTakeover(f, owner)
	l.awaitDone(100)
	owner.LogProxy.SetMode(testlib.Refuse)
	l.awaitDone(50)
	owner.LogProxy.SetMode(testlib.Forward)
	l.awaitDone(50)
	l.finish(t)
}

// When the other VMs cannot connect to a VM that owns engines, they take over the
// engines.
func TestOwnerCutFromPeers(t *testing.T) {
	f := testlib.NewFleet(t, testlib.FleetConfig{Slots: 4})
	f.MustPublish(f.ModelDocument(adapters...))
	owner := leastLoadedOwner(f)
	l := startLoad(f, 6, 10, adapters...)
	l.awaitDone(50)
	owner.PeerProxy.SetMode(testlib.Blackhole)
	awaitTakeover(f, owner)
	l.awaitDone(100)
	owner.PeerProxy.SetMode(testlib.Refuse)
	l.awaitDone(50)
	l.finish(t)
}

// A VM that owns engines cannot reach the log, and no other VM can connect to it. The
// other VMs take over its engines. The VM rejoins the fleet when its connections are
// restored.
func TestOwnerCutFromBoth(t *testing.T) {
	f := testlib.NewFleet(t, testlib.FleetConfig{Slots: 4, Engines: 6})
	f.MustPublish(f.ModelDocument(adapters...))
	owner := leastLoadedOwner(f)
	l := startLoad(f, 6, 10, adapters...)
	l.awaitDone(50)
	owner.LogProxy.SetMode(testlib.Refuse)
	owner.PeerProxy.SetMode(testlib.Refuse)
	awaitTakeover(f, owner)
	l.awaitDone(100)
	owner.LogProxy.SetMode(testlib.Forward)
	owner.PeerProxy.SetMode(testlib.Forward)
	f.AwaitLive(len(f.VMs))
	l.awaitDone(50)
	l.finish(t)
}

// The owners of engines keep serving calls while no VM can reach the log.
func TestOwnersWithoutLog(t *testing.T) {
	is := is.New(t)
	f := testlib.NewFleet(t, testlib.FleetConfig{Slots: 4})
	f.MustPublish(f.ModelDocument(adapters...))
	f.AwaitOwned()
	l := startLoad(f, 6, 10, adapters...)
	l.awaitDone(50)
	for _, vm := range f.VMs {
		vm.LogProxy.SetMode(testlib.Blackhole)
	}
	time.Sleep(6 * time.Second) // longer than a lease plus the allowed clock drift
	before := l.Done()
	l.awaitDone(100)
	for _, vm := range f.VMs {
		is.Equal(vm.Status().Log, "down")
		vm.LogProxy.SetMode(testlib.Forward)
	}
	l.awaitDone(50)
	l.finish(t)
	is.True(before > 0)
}

// No call is lost when engines restart under load. An engine loses its resident
// adapters when it restarts.
func TestEngineRestarts(t *testing.T) {
	f := testlib.NewFleet(t, testlib.FleetConfig{Slots: 4})
	f.MustPublish(f.ModelDocument(adapters...))
	f.AwaitOwned()
	l := startLoad(f, 6, 20, adapters...)
	for i := range 6 {
		l.awaitDone(30)
		f.Engines[i%len(f.Engines)].SetFaults(stand.EngineFaults{Restart: true, DowntimeMs: 100 * (i % 3)})
	}
	l.awaitDone(50)
	l.finish(t)
}

// No call is lost even if adapter loads fail, the answers to load and unload requests
// are lost after the requests took effect, and the engines' status reports are old.
func TestLoadsFail(t *testing.T) {
	f := testlib.NewFleet(t, testlib.FleetConfig{Slots: 2})
	f.MustPublish(f.ModelDocument(adapters...))
	f.AwaitOwned()
	for _, e := range f.Engines {
		e.SetFaults(stand.EngineFaults{FailLoads: 5, ReportLagMs: 700, Faults: stand.Faults{LoseAnswers: 10}})
	}
	l := startLoad(f, 6, 10, adapters...)
	l.awaitDone(100)
	l.finish(t)
}

// When open connections stop carrying data without being closed, the VMs open new
// connections.
func TestSilentConnections(t *testing.T) {
	f := testlib.NewFleet(t, testlib.FleetConfig{Slots: 4})
	f.MustPublish(f.ModelDocument(adapters...))
	f.AwaitOwned()
	l := startLoad(f, 6, 10, adapters...)
	l.awaitDone(50)
	for range 2 {
		for _, vm := range f.VMs {
			vm.PeerProxy.SetMode(testlib.StallOpen)
			vm.LogProxy.SetMode(testlib.StallOpen)
		}
		for _, p := range f.EngineProxies {
			p.SetMode(testlib.StallOpen)
		}
		l.awaitDone(100)
	}
	f.AwaitLive(len(f.VMs))
	l.finish(t)
}

// A request that crashes every engine that runs it causes at most two crashes. After
// the second crash, all VMs refuse this request, and still serve other requests.
func TestPoison(t *testing.T) {
	is := is.New(t)
	f := testlib.NewFleet(t, testlib.FleetConfig{Slots: 4, Engines: 3})
	f.MustPublish(f.ModelDocument(adapters...))
	f.AwaitOwned()
	for _, e := range f.Engines {
		e.SetFaults(stand.EngineFaults{CrashPrompt: "arsenic", DowntimeMs: 200})
	}
	l := startLoad(f, 6, 10, adapters...)
	l.awaitDone(50)
	crashes := func() int {
		sum := 0
		for _, e := range f.Engines {
			sum += e.Counts().Crashes
		}
		return sum
	}
	for i := range 12 {
		a := testlib.Complete(f.VMs[i%len(f.VMs)].Caller, "school-1", "arsenic", 10)
		is.True(!a.Succeeded())
		if i > 2 {
			is.Equal(a.Reason, "condemned")
		}
	}
	is.True(crashes() <= 2)
	l.awaitDone(50)
	l.finish(t)
	for reason := range l.refused {
		is.True(reason != "unknown condemned" && reason != "not-run condemned") // no other request is refused because of the crashes
	}
}
