package node

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// View is what traffic reads of the VM's state. It is never changed.
type View struct {
	Self     member.VM
	Leaving  bool
	Ready    bool // has read the documents and the claims
	Log      bool // the log can be read
	Live     []member.VM
	Able     []string             // live VMs that are not cut off from the log
	Known    map[string]member.VM // by name, with this VM
	Boots    map[string]member.VM // by incarnation, with this VM
	States   map[string]string    // of the known VMs, by name
	Editions map[string]*docs.Edition
	Owners   map[string]Owner // by engine
	Yields   []claim.Yield
}

// Owner is the owner of an engine.
type Owner struct {
	VM    member.VM
	Fence int64
	Known bool // its address is known and it may act
}

// refreshEvery is the time after which a view is made anew for what changes
// with time alone.
const refreshEvery = 500 * time.Millisecond

func (n *Node) refresh(now time.Time) {
	if now.Sub(n.looked) >= refreshEvery {
		n.dirty = true
	}
}

// View returns the present view, and whether it changed since it was asked for
// last.
func (n *Node) View(now time.Time) (*View, bool) {
	if n.view != nil && !n.dirty {
		return n.view, false
	}
	n.dirty = false
	n.looked = now
	n.view = n.look(now)
	return n.view, true
}

func (n *Node) look(now time.Time) *View {
	v := &View{
		Self:     n.config.Self,
		Leaving:  n.members.Leaving(),
		Log:      n.readable(docs.Stream),
		Live:     n.members.Live(now),
		Able:     n.able(now),
		Known:    map[string]member.VM{n.config.Self.Name: n.config.Self},
		Boots:    map[string]member.VM{n.config.Self.Boot: n.config.Self},
		States:   map[string]string{},
		Editions: n.documents.Editions(),
		Owners:   map[string]Owner{},
		Yields:   n.Yields(now),
	}
	v.Ready = (n.caught[docs.Stream] || len(v.Editions) > 0) && !v.Leaving
	for _, vm := range n.members.Known() {
		v.Known[vm.Name] = vm
		v.Boots[vm.Boot] = vm
		v.States[vm.Name] = n.members.State(now, vm.Name)
	}
	for name := range n.known {
		h, ok := n.claims.Of(name)
		if !ok || h.Free {
			continue
		}
		vm, known := v.Known[h.VM]
		v.Owners[name] = Owner{VM: vm, Fence: h.Fence, Known: known && vm.Boot == h.Boot}
	}
	return v
}

// Keeper returns the VM that keeps the keys of a stream.
func (v *View) Keeper(stream string) (member.VM, bool) {
	name := rank.First(stream, v.Able)
	vm, ok := v.Known[name]
	return vm, ok
}

// EngineNames returns the names of the engines with an owner, in order.
func (v *View) EngineNames() []string { return slices.Sorted(maps.Keys(v.Owners)) }

// PeerState describes a VM as this one sees it.
type PeerState struct {
	VM       member.VM
	State    string
	Versions map[string]int64
}

// Peers returns the state of all VMs, this one first.
func (n *Node) Peers(now time.Time) []PeerState {
	self := PeerState{VM: n.config.Self, State: "live", Versions: n.documents.Versions()}
	if n.members.Leaving() {
		self.State = "leaving"
	}
	states := []PeerState{self}
	for _, vm := range n.members.Known() {
		states = append(states, PeerState{
			VM:       vm,
			State:    n.members.State(now, vm.Name),
			Versions: n.versions[vm.Name],
		})
	}
	return states
}

// InForce counts the live VMs, and those of them that have a version of a
// service's document or a newer one.
func (n *Node) InForce(now time.Time, service string, version int64) (have, live int) {
	for _, vm := range n.members.Live(now) {
		live++
		versions := n.versions[vm.Name]
		if vm.Name == n.config.Self.Name {
			versions = n.documents.Versions()
		}
		if versions[service] >= version {
			have++
		}
	}
	return have, live
}

// Lend returns records of the documents that a peer does not have.
func (n *Node) Lend(have map[string]int64) ([]record.Record, error) {
	return n.documents.Newer(have)
}

// EngineState describes an owned engine.
type EngineState struct {
	Name     string
	Fence    int64
	Resident []string
	Running  int
	Waiting  int
}

// Owned returns the state of the engines that this VM owns.
func (n *Node) Owned() []EngineState {
	states := make([]EngineState, 0, len(n.engines))
	for _, name := range slices.Sorted(maps.Keys(n.engines)) {
		o := n.engines[name]
		s := EngineState{Name: name, Fence: o.holding.Fence, Running: o.sched.Running(), Waiting: o.sched.Waiting()}
		for _, i := range o.sched.Resident() {
			s.Resident = append(s.Resident, i.String())
		}
		slices.Sort(s.Resident)
		states = append(states, s)
	}
	return states
}
