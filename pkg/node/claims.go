package node

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// StoreName is what the granter of the weight store's permits claims.
const StoreName = "store"

// claimAgain is the time after which a claim that was not read is appended
// again.
const claimAgain = time.Second

// reference is an engine as a document describes it.
type reference struct {
	service string
	engine  spec.Engine
}

// EngineName returns the name of a service's engine within the system.
func EngineName(service, engine string) string { return service + "/" + engine }

// refer collects the engines of the documents in force.
func (n *Node) refer() {
	clear(n.known)
	for service, e := range n.documents.Editions() {
		for _, engine := range e.Document.Engines {
			n.known[EngineName(service, engine.Name)] = reference{service: service, engine: engine}
		}
	}
}

// claim claims the engines that this VM should own and releases those that it
// should not.
func (n *Node) claim(now time.Time) []Action {
	if !n.caught[claim.Stream] || !n.readable(claim.Stream) {
		return nil
	}
	var actions []Action
	live := n.able(now)
	claimable := append(slices.Sorted(maps.Keys(n.known)), StoreName)
	for _, name := range claimable {
		actions = append(actions, n.claimOne(now, name, live)...)
	}
	for _, name := range slices.Sorted(maps.Keys(n.engines)) {
		actions = append(actions, n.release(now, name, live)...)
	}
	return append(actions, n.releaseStore(now, live)...)
}

// releaseStore gives up the granting of permits when this VM leaves, or when
// another should do it for long enough.
func (n *Node) releaseStore(now time.Time, live []string) []Action {
	if n.granter == nil || !n.misplaced(now, StoreName, live) || !n.granter.Close(now) {
		return nil
	}
	free := claim.Claim{
		Engine: StoreName,
		VM:     n.config.Self.Name,
		Boot:   n.config.Self.Boot,
		Prev:   n.granterFor,
		Free:   true,
	}
	n.granter = nil
	return appendClaim(free)
}

// misplaced tells whether a claim of this VM should be given up: at once when
// it leaves, else when another VM should have had it for long enough.
func (n *Node) misplaced(now time.Time, name string, live []string) bool {
	if n.firstOf(name, live) == n.config.Self.Name {
		delete(n.preferred, name)
		return false
	}
	if n.preferred[name].IsZero() {
		n.preferred[name] = now
	}
	return n.members.Leaving() || now.Sub(n.preferred[name]) >= n.config.Timing.Settle
}

// firstOf returns the VM that should own a name. It remembers the answer while
// the live VMs stay the same.
func (n *Node) firstOf(name string, live []string) string {
	if !slices.Equal(live, n.rankedFor) {
		n.rankedFor = slices.Clone(live)
		clear(n.ranked)
	}
	first, ok := n.ranked[name]
	if !ok {
		first = rank.First(name, live)
		n.ranked[name] = first
	}
	return first
}

func (n *Node) claimOne(now time.Time, name string, live []string) []Action {
	if n.firstOf(name, live) != n.config.Self.Name || now.Sub(n.claiming[name]) < claimAgain {
		return nil
	}
	h, ok := n.claims.Of(name)
	if ok && !h.Free && n.inForce(h, live) {
		return nil
	}
	n.claiming[name] = now
	return appendClaim(claim.Claim{Engine: name, VM: n.config.Self.Name, Boot: n.config.Self.Boot, Prev: h.Fence})
}

// inForce tells whether the owner of a claim may still act on it.
func (n *Node) inForce(h claim.Holding, live []string) bool {
	if n.members.Gone(h.Boot) {
		return false
	}
	if h.VM == n.config.Self.Name {
		return h.Boot == n.config.Self.Boot
	}
	return slices.Contains(live, h.VM) || n.members.LeavingNow(h.VM)
}

// release gives up an engine when this VM leaves, when the engine is in no
// document any more, or when another VM should own it for long enough.
func (n *Node) release(now time.Time, name string, live []string) []Action {
	o := n.engines[name]
	if now.Sub(o.released) < claimAgain {
		return nil
	}
	if _, referred := n.known[name]; referred && !n.misplaced(now, name, live) {
		return nil
	}
	o.closing = true
	actions := n.refuseWaiting(now, o, Handover)
	if o.sched.Ordered() {
		return actions
	}
	o.released = now
	free := claim.Claim{
		Engine: name,
		VM:     n.config.Self.Name,
		Boot:   n.config.Self.Boot,
		Prev:   o.holding.Fence,
		Free:   true,
		Until:  n.longest(now, name),
		Dirty:  o.dirty,
	}
	return append(actions, appendClaim(free)...)
}

// longest returns how long the running requests of an engine may run on.
func (n *Node) longest(now time.Time, name string) time.Duration {
	var longest time.Duration
	for _, c := range n.calls {
		if c.engine == name && c.running {
			longest = max(longest, c.deadline.Sub(now))
		}
	}
	return longest
}

func appendClaim(c claim.Claim) []Action {
	data, err := record.Encode(claim.Kind, c)
	if err != nil {
		return nil // cannot happen: a Claim always encodes
	}
	return []Action{Append{Stream: claim.Stream, Data: data}}
}

func (n *Node) readClaims(now time.Time, records []record.Record) []Action {
	var actions []Action
	for _, r := range records {
		if kind, err := record.Kind(r.Data); err == nil && kind == claim.YieldKind {
			var y claim.Yield
			if err := record.Decode(r.Data, claim.YieldKind, &y); err != nil {
				actions = append(actions, ignored(claim.Stream, err)...)
				continue
			}
			n.yielded(now, y)
			continue
		}
		c, counts, err := n.claims.Apply(now, r)
		if err != nil {
			actions = append(actions, ignored(claim.Stream, err)...)
			continue
		}
		if counts {
			n.dirty = true
			actions = append(actions, n.claimed(now, c)...)
		}
	}
	return actions
}

// yielded takes that the owner before of an engine of this VM acts no more.
func (n *Node) yielded(now time.Time, y claim.Yield) {
	if !n.claims.ApplyYield(now, y) {
		return
	}
	if o, ok := n.engines[y.Engine]; ok {
		o.holding, _ = n.claims.Of(y.Engine)
	}
}

// yield says of the engines that this VM lost that it acts on them no more, as
// soon as no order is in progress, and again when its last request there has
// ended.
func (n *Node) yield(now time.Time) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(n.retired)) {
		o := n.retired[name]
		running := n.runningOn(name)
		if o.dirty {
			delete(n.retired, name) // it can never be sure
			continue
		}
		if o.sched.Ordered() || (running && !o.released.IsZero()) {
			continue
		}
		o.released = now
		if !running {
			delete(n.retired, name)
		}
		y := claim.Yield{Engine: name, Boot: n.config.Self.Boot, Until: n.longest(now, name)}
		if data, err := record.Encode(claim.YieldKind, y); err == nil {
			actions = append(actions, Append{Stream: claim.Stream, Data: data})
		}
	}
	return actions
}

// runningOn tells whether a request that this VM started runs on an engine.
func (n *Node) runningOn(name string) bool {
	for _, c := range n.calls {
		if c.engine == name && c.running {
			return true
		}
	}
	return false
}

// Yields returns the engines on which this VM, cut off from the log for long
// enough, acts no more, for its peers.
func (n *Node) Yields(now time.Time) []claim.Yield {
	var yields []claim.Yield
	for _, name := range slices.Sorted(maps.Keys(n.engines)) {
		o := n.engines[name]
		if o.yielded && !o.sched.Ordered() && !o.dirty {
			yields = append(yields, claim.Yield{Engine: name, Boot: n.config.Self.Boot, Until: n.longest(now, name)})
		}
	}
	return yields
}

// claimed follows a change of ownership.
func (n *Node) claimed(now time.Time, c claim.Claim) []Action {
	h, _ := n.claims.Of(c.Engine)
	delete(n.claiming, c.Engine)
	mine := !h.Free && h.VM == n.config.Self.Name && h.Boot == n.config.Self.Boot
	if c.Engine == StoreName {
		n.claimedStore(h, mine)
		return nil
	}
	o, owned := n.engines[c.Engine]
	switch {
	case mine && owned:
		o.holding = h
		return nil
	case mine:
		n.own(h)
		return nil
	case owned:
		return n.disown(now, o)
	default:
		return nil
	}
}

func (n *Node) claimedStore(h claim.Holding, mine bool) {
	switch {
	case !mine:
		n.granter = nil
	case n.granterFor != h.Fence || n.granter == nil:
		quiet := h.Seen
		if !h.Clean {
			quiet = n.lease.Ready(h).Add(n.config.Timing.PermitOK)
		}
		n.granterFor = h.Fence
		n.granter = permit.New(permit.Config{
			Rate: n.config.Store.Rate,
			Most: n.config.Store.Most,
			Hold: n.config.Timing.PermitOK,
			Wait: permitWait,
		}, quiet)
	}
}
