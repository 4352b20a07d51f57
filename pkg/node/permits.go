package node

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

const (
	permitWait = 2 * time.Second        // how long the granter remembers a wish
	askAgain   = 700 * time.Millisecond // after which a wish is repeated
)

// wish is a permit that this VM wants or holds.
type wish struct {
	engine  string
	adapter spec.Adapter
	ask     permit.Ask
	asked   time.Time
	granted bool
}

func (n *Node) wishID(engine string, a spec.Adapter) permit.ID {
	return permit.ID{VM: n.config.Self.Name, Name: engine + " " + a.String()}
}

// askPermit notes a scheduler's wish; grant asks for it.
func (n *Node) askPermit(engine string, w slots.Want) {
	id := n.wishID(engine, w.Adapter)
	n.wishes[id] = &wish{
		engine:  engine,
		adapter: w.Adapter,
		ask:     permit.Ask{ID: id, Urgency: w.Urgency, Since: w.Since},
	}
}

func (n *Node) returnPermit(engine string, a spec.Adapter) []Action {
	id := n.wishID(engine, a)
	if _, ok := n.wishes[id]; !ok {
		return nil
	}
	delete(n.wishes, id)
	n.returns = append(n.returns, id)
	return nil
}

func (n *Node) dropPermits(o *owned) {
	for _, w := range n.sortedWishes() {
		if w.engine == o.name {
			n.returnPermit(o.name, w.adapter)
		}
	}
}

// sortedWishes returns the wishes in a fixed order.
func (n *Node) sortedWishes() []*wish {
	return slices.SortedFunc(maps.Values(n.wishes), func(a, b *wish) int {
		return strings.Compare(a.ask.Name, b.ask.Name)
	})
}

// granterVM returns the VM that grants permits.
func (n *Node) granterVM() (member.VM, bool) {
	h, ok := n.claims.Of(StoreName)
	if !ok || h.Free {
		return member.VM{}, false
	}
	if h.VM == n.config.Self.Name {
		return n.config.Self, h.Boot == n.config.Self.Boot
	}
	for _, vm := range n.members.Known() {
		if vm.Name == h.VM && vm.Boot == h.Boot {
			return vm, true
		}
	}
	return member.VM{}, false
}

// grant sends wishes to the granter and, if this VM is the granter, grants
// those that are due.
func (n *Node) grant(now time.Time) []Action {
	granter, ok := n.granterVM()
	if !ok {
		return nil
	}
	local := granter.Name == n.config.Self.Name
	var actions []Action
	for _, id := range n.returns {
		if local {
			actions = append(actions, n.permitReleased(now, PermitReleased{ID: id})...)
			continue
		}
		actions = append(actions, ReturnPermit{Granter: granter, ID: id})
	}
	n.returns = nil
	for _, w := range n.sortedWishes() {
		if w.granted || now.Sub(w.asked) < askAgain {
			continue
		}
		w.asked = now
		if local {
			actions = append(actions, n.permitAsked(now, PermitAsked{Ask: w.ask})...)
			continue
		}
		actions = append(actions, AskPermit{Granter: granter, Ask: w.ask})
	}
	if local && n.granter != nil && n.mayAct(now) {
		actions = append(actions, n.granted(now, n.granter.Next(now))...)
	}
	return actions
}

func (n *Node) permitAsked(now time.Time, e PermitAsked) []Action {
	if n.granter == nil || !n.mayAct(now) {
		return nil
	}
	return n.granted(now, n.granter.Ask(now, e.Ask))
}

func (n *Node) permitReleased(now time.Time, e PermitReleased) []Action {
	if n.granter == nil || !n.mayAct(now) {
		return nil
	}
	return n.granted(now, n.granter.Release(now, e.ID))
}

// granted passes permits on to those who asked for them.
func (n *Node) granted(now time.Time, ids []permit.ID) []Action {
	var actions []Action
	for _, id := range ids {
		if id.VM != n.config.Self.Name {
			actions = append(actions, Grant{ID: id})
			continue
		}
		actions = append(actions, n.useGrant(now, id)...)
	}
	return actions
}

func (n *Node) useGrant(now time.Time, id permit.ID) []Action {
	w, ok := n.wishes[id]
	if !ok {
		n.returns = append(n.returns, id)
		return nil
	}
	w.granted = true
	o, ok := n.engines[w.engine]
	if !ok || n.actable(now, o) != "" {
		return n.returnPermit(w.engine, w.adapter)
	}
	o.sched.Grant(w.adapter)
	return n.advance(now, o)
}
