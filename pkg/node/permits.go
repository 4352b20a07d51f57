package node

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
)

const (
	permitWait = 2 * time.Second        // how long the granter remembers a wish
	askAgain   = 700 * time.Millisecond // after which a wish is repeated
	tellEvery  = 100 * time.Millisecond // least time between two weights told
)

// wish is a permit that an engine of this VM wants or holds.
type wish struct {
	engine  string
	ask     permit.Ask
	asked   time.Time
	news    bool // the weight has grown since
	granted bool
}

func (n *Node) wishID(engine string) permit.ID {
	return permit.ID{VM: n.config.Self.Name, Name: engine}
}

// wishFor notes a scheduler's wish; grant asks for it.
func (n *Node) wishFor(engine string, weight float64) {
	id := n.wishID(engine)
	w, ok := n.wishes[id]
	if !ok {
		w = &wish{engine: engine, ask: permit.Ask{ID: id}}
		n.wishes[id] = w
	}
	w.ask.Weight, w.news = weight, true
}

// returnPermit gives an engine's permit back, or withdraws its wish.
func (n *Node) returnPermit(engine string) {
	id := n.wishID(engine)
	if _, ok := n.wishes[id]; ok {
		delete(n.wishes, id)
		n.returns = append(n.returns, id)
	}
}

// sortedWishes returns the wishes in a fixed order.
func (n *Node) sortedWishes() []*wish {
	return slices.SortedFunc(maps.Values(n.wishes), func(a, b *wish) int {
		return strings.Compare(a.engine, b.engine)
	})
}

// granterVM returns the VM that grants permits.
func (n *Node) granterVM() (member.VM, bool) {
	return n.ownerOf(StoreName)
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
		if w.granted || !w.due(now) {
			continue
		}
		w.asked, w.news = now, false
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

// due tells whether a wish is to be told to the granter now.
func (w *wish) due(now time.Time) bool {
	since := now.Sub(w.asked)
	return since >= askAgain || (w.news && since >= tellEvery)
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
		n.returnPermit(w.engine)
		return nil
	}
	o.sched.Grant()
	return n.advance(now, o)
}
