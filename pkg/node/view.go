package node

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// View is an immutable snapshot of a Node's state. The handlers of requests read it
// instead of the Node.
type View struct {
	Self      member.VM
	Leaving   bool
	Ready     bool // the VM is not leaving, and it has read the document stream up to its tail or knows a document
	LogUp     bool // the document stream can be read
	Live      []member.VM
	Eligible  []string                        // names of the VMs that may own engines, keep keys or be directories (see eligibleVMs)
	ByName    map[string]member.VM            // known VMs and this one, by name
	ByBoot    map[string]member.VM            // known VMs and this one, by incarnation
	States    map[string]string               // membership states of the other VMs, by name
	Revisions map[string]*docs.Revision       // documents in force, by service
	Owners    map[string]Owner                // owners of engines, by engine name
	Crashes   map[crash.Fingerprint]time.Time // requests under which upstreams have crashed; until when each is blocked, zero if it is not
	Yields    []claim.Yield                   // yields that this VM announces in its heartbeats
}

// Owner tells which VM holds the claim to an engine. The field VM is zero if the owner
// is not among the known VMs.
type Owner struct {
	VM           member.VM
	FencingToken int64 // fencing token of the owner's claim
	Current      bool  // the VM still runs the incarnation that made the claim
}

// viewMaxAge is the age at which a view is rebuilt even if no event changed the
// state, because some fields of the view change with time alone.
const viewMaxAge = 500 * time.Millisecond

func (n *Node) expireView(now time.Time) {
	if now.Sub(n.viewBuiltAt) >= viewMaxAge {
		n.viewStale = true
	}
}

// View returns the current view, and whether this call rebuilt it.
func (n *Node) View(now time.Time) (*View, bool) {
	if n.view != nil && !n.viewStale {
		return n.view, false
	}
	n.viewStale = false
	n.viewBuiltAt = now
	n.view = n.buildView(now)
	return n.view, true
}

func (n *Node) buildView(now time.Time) *View {
	v := &View{
		Self:      n.config.Self,
		Leaving:   n.members.Leaving(),
		LogUp:     n.readable(docs.StreamName),
		Live:      n.members.Live(now),
		Eligible:  n.eligibleVMs(now),
		ByName:    map[string]member.VM{n.config.Self.Name: n.config.Self},
		ByBoot:    map[string]member.VM{n.config.Self.Boot: n.config.Self},
		States:    map[string]string{},
		Revisions: n.documents.Revisions(),
		Owners:    map[string]Owner{},
		Crashes:   n.crashes.Blocked(nil),
		Yields:    n.Yields(now),
	}
	v.Ready = (n.caughtUp[docs.StreamName] || len(v.Revisions) > 0) && !v.Leaving
	for _, vm := range n.members.Peers() {
		v.ByName[vm.Name] = vm
		v.ByBoot[vm.Boot] = vm
		v.States[vm.Name] = n.members.State(now, vm.Name)
	}
	for name := range n.known {
		ownership, ok := n.claims.Lookup(name)
		if !ok || ownership.Released {
			continue
		}
		vm, known := v.ByName[ownership.VM]
		v.Owners[name] = Owner{VM: vm, FencingToken: ownership.FencingToken, Current: known && vm.Boot == ownership.Boot}
	}
	return v
}

// BlockedFor returns how long after now a request is refused because upstreams crash
// when they run it; 0 if it may run.
func (v *View) BlockedFor(now time.Time, f crash.Fingerprint) time.Duration {
	return max(v.Crashes[f].Sub(now), 0)
}

// Keeper returns the VM that keeps the idempotency keys of a key partition, given the
// name of the partition's log stream. It returns false if no VM is eligible.
func (v *View) Keeper(stream string) (member.VM, bool) {
	name := rank.First(stream, v.Eligible)
	vm, ok := v.ByName[name]
	return vm, ok
}

// EngineNames returns the sorted names of the engines that have an owner.
func (v *View) EngineNames() []string { return slices.Sorted(maps.Keys(v.Owners)) }

// PeerState is what this VM knows about the membership state (see member.Table.State)
// and the documents of a VM.
type PeerState struct {
	VM       member.VM
	State    string
	Versions map[string]int64 // document versions that the VM has, by service
}

// Peers returns the states of all known VMs, this VM first.
func (n *Node) Peers(now time.Time) []PeerState {
	self := PeerState{VM: n.config.Self, State: "live", Versions: n.documents.Versions()}
	if n.members.Leaving() {
		self.State = "leaving"
	}
	states := []PeerState{self}
	for _, vm := range n.members.Peers() {
		states = append(states, PeerState{
			VM:       vm,
			State:    n.members.State(now, vm.Name),
			Versions: n.versions[vm.Name],
		})
	}
	return states
}

// CountVersion returns the number of live VMs, and how many of them have the given
// version of a service's document or a newer one.
func (n *Node) CountVersion(now time.Time, service string, version int64) (have, live int) {
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

// NewerDocuments returns the document records that a peer lacks. The argument holds
// the peer's document versions, by service.
func (n *Node) NewerDocuments(have map[string]int64) ([]record.Record, error) {
	return n.documents.RecordsNewerThan(have)
}

// EngineState is the state of an engine that this VM owns.
type EngineState struct {
	Name         string
	FencingToken int64    // fencing token of this VM's claim
	Resident     []string // names of the adapter instances that can run requests
	Running      int      // requests that run on the engine
	Waiting      int      // requests that wait for the engine
}

// OwnedEngines returns the states of the engines that this VM owns.
func (n *Node) OwnedEngines() []EngineState {
	states := make([]EngineState, 0, len(n.engines))
	for _, name := range slices.Sorted(maps.Keys(n.engines)) {
		o := n.engines[name]
		s := EngineState{Name: name, FencingToken: o.ownership.FencingToken, Running: o.sched.Running(), Waiting: o.sched.Waiting()}
		for _, i := range o.sched.UsableInstances() {
			s.Resident = append(s.Resident, i.String())
		}
		slices.Sort(s.Resident)
		states = append(states, s)
	}
	return states
}
