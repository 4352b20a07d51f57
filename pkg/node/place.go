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

// PlaceAsked asks for the engine of a request, at the VM that is the directory
// of its adapter.
type PlaceAsked struct {
	ID      string
	Service string
	Adapter spec.Adapter
	Tried   []string // engines that failed the request
}

// BidsTaken brings the bids that were asked for.
type BidsTaken struct {
	Service string
	Adapter spec.Adapter
	Bids    []place.Bid
}

// Evicted tells the directory of an adapter that an engine does not hold it
// any more.
type Evicted struct {
	Service string
	Adapter spec.Adapter
	Engine  string
}

// Placed answers a PlaceAsked. Without an engine, none could take the request.
type Placed struct {
	ID     string
	Engine string
	Owner  member.VM
	Demand float64 // requests a second for the adapter on the engine
}

// AskBids asks the owners of engines for bids.
type AskBids struct {
	Service string
	Adapter spec.Adapter
	Owners  []BidOwner
}

// BidOwner is an owner with the engines for which it is asked.
type BidOwner struct {
	VM      member.VM
	Engines []string
}

// TellEvicted tells a directory of an eviction.
type TellEvicted struct {
	Directory member.VM
	Evicted   Evicted
}

func (PlaceAsked) event()   {}
func (BidsTaken) event()    {}
func (Evicted) event()      {}
func (Placed) action()      {}
func (AskBids) action()     {}
func (TellEvicted) action() {}

// placeKey names an adapter of a service.
type placeKey struct {
	service string
	adapter spec.Adapter
}

// DirectoryOf returns the VM that is the directory of an adapter.
func DirectoryOf(service string, a spec.Adapter, live []string) string {
	return rank.First("home "+service+" "+a.String(), live)
}

// Directory returns the VM that is the directory of an adapter.
func (v *View) Directory(service string, a spec.Adapter) (member.VM, bool) {
	vm, ok := v.Known[DirectoryOf(service, a, v.Able)]
	return vm, ok
}

func (n *Node) home(service string) *place.Home {
	h, ok := n.homes[service]
	if !ok {
		t := n.config.Timing
		h = place.NewHome(place.HomeConfig{
			Candidates: t.Bids,
			Demand:     t.Demand,
			Quick:      t.Quick,
			Fill:       t.Fill,
			Fresh:      t.Fresh,
		})
		n.homes[service] = h
	}
	return h
}

func (n *Node) placeAsked(now time.Time, e PlaceAsked) []Action {
	edition, ok := n.documents.Editions()[e.Service]
	if !ok {
		return []Action{Placed{ID: e.ID}}
	}
	eligible := slices.DeleteFunc(n.eligible(edition), func(engine string) bool { return slices.Contains(e.Tried, engine) })
	placed := n.home(e.Service).Place(now, e.Adapter, eligible)
	if placed.Engine != "" || len(placed.Ask) == 0 {
		return []Action{n.placed(e.ID, placed)}
	}
	key := placeKey{service: e.Service, adapter: e.Adapter}
	n.placing[key] = append(n.placing[key], e.ID)
	if len(n.placing[key]) > 1 {
		return nil
	}
	return []Action{AskBids{Service: e.Service, Adapter: e.Adapter, Owners: n.owners(placed.Ask)}}
}

func (n *Node) placed(id string, p place.Placement) Action {
	owner, ok := n.ownerOf(p.Engine)
	if !ok {
		return Placed{ID: id}
	}
	return Placed{ID: id, Engine: p.Engine, Owner: owner, Demand: p.Demand}
}

// eligible returns the engines of a document that have an owner.
func (n *Node) eligible(edition *docs.Edition) []string {
	var eligible []string
	for _, engine := range edition.Document.Engines {
		name := EngineName(edition.Service, engine.Name)
		if h, ok := n.claims.Of(name); ok && !h.Free {
			eligible = append(eligible, name)
		}
	}
	return eligible
}

// owners groups engines by their owners.
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

// ownerOf returns the VM whose claim on a name is in force.
func (n *Node) ownerOf(name string) (member.VM, bool) {
	h, ok := n.claims.Of(name)
	if !ok || h.Free {
		return member.VM{}, false
	}
	if h.VM == n.config.Self.Name {
		return n.config.Self, h.Boot == n.config.Self.Boot
	}
	return n.members.Find(h.VM, h.Boot)
}

func (n *Node) bidsTaken(now time.Time, e BidsTaken) []Action {
	key := placeKey{service: e.Service, adapter: e.Adapter}
	waiting := n.placing[key]
	delete(n.placing, key)
	home := n.home(e.Service)
	var actions []Action
	for i, id := range waiting {
		placed := home.Bids(now, e.Adapter, e.Bids)
		if i > 0 {
			placed = home.Again(now, e.Adapter)
		}
		actions = append(actions, n.placed(id, placed))
	}
	return actions
}

// Bids returns the bids of this VM's engines for an adapter.
func (n *Node) Bids(now time.Time, a spec.Adapter, engines []string) []place.Bid {
	var bids []place.Bid
	for _, name := range engines {
		o, ok := n.engines[name]
		if !ok || n.actable(now, o) != "" {
			continue
		}
		b := o.sched.Bid(now, a)
		bids = append(bids, place.Bid{
			Engine:  name,
			Holds:   b.Holds,
			Cost:    b.Cost,
			Queue:   b.Queue,
			Batch:   o.ref.engine.Batch,
			Service: b.Service,
		})
	}
	return bids
}

// evicted tells the directory of an adapter that an engine of this VM unloads
// it.
func (n *Node) evicted(now time.Time, o *owned, i slots.Instance) []Action {
	e := Evicted{Service: o.ref.service, Adapter: i.Adapter, Engine: o.name}
	directory := DirectoryOf(o.ref.service, i.Adapter, n.able(now))
	if directory == n.config.Self.Name {
		n.home(e.Service).Evicted(e.Adapter, e.Engine)
		return nil
	}
	for _, vm := range n.members.Known() {
		if vm.Name == directory {
			return []Action{TellEvicted{Directory: vm, Evicted: e}}
		}
	}
	return nil
}
