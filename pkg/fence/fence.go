// Package fence provides which VM gives orders to an engine. Claims are records
// that were appended on the condition that the claimant had read all records
// before, so each one in the store counts, and its offset is the fencing token.
package fence

import (
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// Claim says who gives orders to an engine.
type Claim struct {
	Engine string `json:"engine"`
	VM     string `json:"vm"`
	Boot   int64  `json:"boot"`           // run of the VM's process
	Free   bool   `json:"free,omitempty"` // it gives no more orders
}

// Holding is the claim in force for an engine.
type Holding struct {
	Claim
	Token  int64     // rises with each claim
	Before string    // the VM that held the engine before; empty for none
	Seen   time.Time // when this VM read the claim
}

// Table holds the claims in force. Its methods must not be called at the same
// time.
type Table struct{ holdings map[string]Holding }

// New returns an empty table.
func New() *Table { return &Table{holdings: map[string]Holding{}} }

// Apply takes a claim that was read at now. A claim that is read again changes
// nothing.
func (t *Table) Apply(now time.Time, token int64, c Claim) bool {
	held, ok := t.holdings[c.Engine]
	if ok && token <= held.Token {
		return false
	}
	h := Holding{Claim: c, Token: token, Before: held.VM, Seen: now}
	if held.VM == c.VM {
		// The wait that a former holder asks for goes on.
		h.Before, h.Seen = held.Before, held.Seen
		if held.Before == "" {
			h.Before = c.VM
		}
	}
	t.holdings[c.Engine] = h
	return true
}

// Of returns the claim in force for an engine.
func (t *Table) Of(engine string) (Holding, bool) {
	h, ok := t.holdings[engine]
	return h, ok
}

// Forget drops an engine that left.
func (t *Table) Forget(engine string) { delete(t.holdings, engine) }

// Opens returns when the holder may give its first order: a former holder may
// have given one just before the claim.
func (h Holding) Opens(lease time.Duration) time.Time {
	if h.Before == "" || h.Before == h.VM {
		return h.Seen
	}
	return h.Seen.Add(lease)
}

// VM is a VM that may claim.
type VM struct {
	Name string
	Boot int64
}

// Due returns the engines that self should claim: those whose holder is not
// among the live VMs, in so far as they fall to self by rendezvous order. No VM
// takes more than its share.
func (t *Table) Due(self VM, live []VM, engines []string) []string {
	boots := make(map[string]int64, len(live))
	names := make([]string, 0, len(live))
	for _, vm := range live {
		boots[vm.Name] = vm.Boot
		names = append(names, vm.Name)
	}
	if len(names) == 0 {
		return nil
	}
	count := map[string]int{}
	var open []string
	for _, e := range engines {
		h, ok := t.holdings[e]
		if boot, lives := boots[h.VM]; ok && !h.Free && lives && boot == h.Boot {
			count[h.VM]++
			continue
		}
		open = append(open, e)
	}
	slices.Sort(open)
	most := (len(engines) + len(names) - 1) / len(names)
	var due []string
	for _, e := range open {
		to := t.assign(e, names, count, most)
		count[to]++
		if to == self.Name {
			due = append(due, e)
		}
	}
	return due
}

// assign prefers the VM that held the engine before, which needs no wait.
func (t *Table) assign(engine string, names []string, count map[string]int, most int) string {
	if h, ok := t.holdings[engine]; ok && !h.Free && slices.Contains(names, h.VM) {
		return h.VM
	}
	order := rank.Order(engine, names)
	for _, name := range order {
		if count[name] < most {
			return name
		}
	}
	return order[0]
}
