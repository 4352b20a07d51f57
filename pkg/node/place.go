package node

import (
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// PlaceRequested asks this VM to choose an engine for a request. This VM is the
// directory of the adapter: the VM that decides which engines serve the adapter.
type PlaceRequested struct {
	ID      string
	Service string
	Adapter spec.Adapter
	Tried   []string // engines on which the request has failed
}

// BidsReceived brings the bids that the node asked for with RequestBids.
type BidsReceived struct {
	Service string
	Adapter spec.Adapter
	Bids    []place.Bid
}

// Evicted tells this VM, as the directory of an adapter, that an engine unloads the
// adapter.
type Evicted struct {
	Service string
	Adapter spec.Adapter
	Engine  string
}

// Placed answers a PlaceRequested. Engine is empty if no engine can take the
// request.
type Placed struct {
	ID           string
	Engine       string
	Owner        member.VM
	ExpectedRate float64 // expected requests per second for the adapter on the engine
}

// RequestBids asks the owners of engines for bids on an adapter (see place.Bid).
type RequestBids struct {
	Service string
	Adapter spec.Adapter
	Owners  []BidOwner
}

// BidOwner names a VM and those of its engines for which it is to bid.
type BidOwner struct {
	VM      member.VM
	Engines []string
}

// NotifyEvicted sends an Evicted event to the VM that is the adapter's directory.
type NotifyEvicted struct {
	Directory member.VM
	Evicted   Evicted
}

func (PlaceRequested) event() {}
func (BidsReceived) event()   {}
func (Evicted) event()        {}
func (Placed) action()        {}
func (RequestBids) action()   {}
func (NotifyEvicted) action() {}

// placeKey identifies an adapter of a service.
type placeKey struct {
	service string
	adapter spec.Adapter
}

// DirectoryOf returns the name of the VM that is the directory of an adapter:
// the first of the candidates in rendezvous order. The prefix "home " of the hashed
// name must stay: VMs of different releases must agree on the directory.
func DirectoryOf(service string, a spec.Adapter, candidates []string) string {
	return rank.First("home "+service+" "+a.String(), candidates)
}

// Directory returns the VM that is the directory of an adapter. It returns false if
// no VM is eligible.
func (v *View) Directory(service string, a spec.Adapter) (member.VM, bool) {
	vm, ok := v.ByName[DirectoryOf(service, a, v.Eligible)]
	return vm, ok
}

func (n *Node) directory(service string) *place.Directory {
	d, ok := n.directories[service]
	if !ok {
		t := n.config.Timing
		d = place.NewDirectory(place.DirectoryConfig{
			Candidates:  t.BidCount,
			Demand:      t.Demand,
			ShortDemand: t.ShortDemand,
			MaxFill:     t.MaxFill,
			QueueTTL:    t.QueueTTL,
		})
		n.directories[service] = d
	}
	return d
}

func (n *Node) placeRequested(now time.Time, e PlaceRequested) []Action {
	revision, ok := n.documents.Revisions()[e.Service]
	if !ok {
		return []Action{Placed{ID: e.ID}}
	}
	eligible := slices.DeleteFunc(n.eligible(revision), func(engine string) bool { return slices.Contains(e.Tried, engine) })
	placed := n.directory(e.Service).Place(now, e.Adapter, eligible)
	if placed.Engine != "" || len(placed.Candidates) == 0 {
		return []Action{n.placed(e.ID, placed)}
	}
	key := placeKey{service: e.Service, adapter: e.Adapter}
	n.awaitingBids[key] = append(n.awaitingBids[key], e.ID)
	if len(n.awaitingBids[key]) > 1 {
		return nil
	}
	return []Action{RequestBids{Service: e.Service, Adapter: e.Adapter, Owners: n.owners(placed.Candidates)}}
}

func (n *Node) placed(id string, p place.Placement) Action {
	owner, ok := n.ownerOf(p.Engine)
	if !ok {
		return Placed{ID: id}
	}
	return Placed{ID: id, Engine: p.Engine, Owner: owner, ExpectedRate: p.ExpectedRate}
}

// eligible returns the names of a document's engines that have an owner.
func (n *Node) eligible(revision *docs.Revision) []string {
	var eligible []string
	for _, engine := range revision.Document.Engines {
		name := EngineName(revision.Service, engine.Name)
		if ownership, ok := n.claims.Lookup(name); ok && !ownership.Released {
			eligible = append(eligible, name)
		}
	}
	return eligible
}

// owners groups engines by their owners. It leaves out engines without a known owner
// (see ownerOf).
func (n *Node) owners(engines []string) []BidOwner {
	var owners []BidOwner
	for _, name := range engines {
		vm, ok := n.ownerOf(name)
		if !ok {
			continue
		}
		at := slices.IndexFunc(owners, func(o BidOwner) bool { return o.VM.Name == vm.Name })
		if at < 0 {
			at = len(owners)
			owners = append(owners, BidOwner{VM: vm})
		}
		owners[at].Engines = append(owners[at].Engines, name)
	}
	return owners
}

// ownerOf returns the VM that holds the claim to a name (of an engine or the role of
// granter), if the VM still runs the incarnation that made the claim.
func (n *Node) ownerOf(name string) (member.VM, bool) {
	ownership, ok := n.claims.Lookup(name)
	if !ok || ownership.Released {
		return member.VM{}, false
	}
	if ownership.VM == n.config.Self.Name {
		return n.config.Self, ownership.Boot == n.config.Self.Boot
	}
	return n.members.Find(ownership.VM, ownership.Boot)
}

func (n *Node) bidsReceived(now time.Time, e BidsReceived) []Action {
	key := placeKey{service: e.Service, adapter: e.Adapter}
	waiting := n.awaitingBids[key]
	delete(n.awaitingBids, key)
	directory := n.directory(e.Service)
	var actions []Action
	for i, id := range waiting {
		placed := directory.PlaceWithBids(now, e.Adapter, e.Bids)
		if i > 0 {
			placed = directory.PlaceNext(now, e.Adapter)
		}
		actions = append(actions, n.placed(id, placed))
	}
	return actions
}

// Bids returns this VM's bids on an adapter, one for each of the given engines. It
// leaves out engines that this VM does not own or cannot use now.
func (n *Node) Bids(now time.Time, a spec.Adapter, engines []string) []place.Bid {
	var bids []place.Bid
	for _, name := range engines {
		o, ok := n.engines[name]
		if !ok || n.refusalReason(now, o) != "" {
			continue
		}
		estimate := o.sched.Estimate(now, a)
		bids = append(bids, place.Bid{
			Engine:       name,
			HasAdapter:   estimate.HasAdapter,
			EvictionCost: estimate.EvictionCost,
			Outstanding:  estimate.Outstanding,
			BatchSize:    o.doc.engine.BatchSize,
			ServiceTime:  estimate.ServiceTime,
		})
	}
	return bids
}

// notifyEvicted tells the directory of an adapter that an engine of this VM
// unloads the adapter.
func (n *Node) notifyEvicted(now time.Time, o *ownedEngine, i slots.Instance) []Action {
	e := Evicted{Service: o.doc.service, Adapter: i.Adapter, Engine: o.name}
	target := DirectoryOf(o.doc.service, i.Adapter, n.eligibleVMs(now))
	if target == n.config.Self.Name {
		n.directory(e.Service).Evicted(e.Adapter, e.Engine)
		return nil
	}
	for _, vm := range n.members.Peers() {
		if vm.Name == target {
			return []Action{NotifyEvicted{Directory: vm, Evicted: e}}
		}
	}
	return nil
}
