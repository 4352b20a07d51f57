// Package fence decides which VM of `tanagerlb edge` may send an engine orders to
// load and unload base models and adapters. A VM claims an engine by appending a
// claim to the store. To take over an engine that another VM held, it appends the
// claim on the condition that it has read all earlier records. So every claim in the
// store is valid, and the newest one for an engine is in force. The position of a
// claim in the store is its fencing token.
package fence

import (
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// Claim is the record by which a VM claims an engine, or releases it.
type Claim struct {
	Engine   string `json:"engine"`
	VM       string `json:"vm"`
	Boot     int64  `json:"boot"`           // start time of the VM's process, in Unix milliseconds
	Released bool   `json:"free,omitempty"` // the VM releases the engine and sends no more orders
}

// ActiveClaim is the claim in force for an engine: the newest one. Unless the claim
// releases the engine, its VM is the holder. Only the holder may send orders.
type ActiveClaim struct {
	Claim
	Token    int64     // fencing token, which rises with each claim
	Previous string    // previous holder; if no other VM held the engine, empty or the name of the claim's own VM
	ReadAt   time.Time // time at which the local VM read the claim, or the first of several consecutive claims by the same VM
}

// Table holds the claims in force. It is not safe for concurrent use.
type Table struct{ claims map[string]ActiveClaim }

// New returns an empty table.
func New() *Table { return &Table{claims: map[string]ActiveClaim{}} }

// Apply records a claim that was read from the store at the time now, and reports
// whether the claim is new. A claim that is read again changes nothing.
func (t *Table) Apply(now time.Time, token int64, c Claim) bool {
	current, ok := t.claims[c.Engine]
	if ok && token <= current.Token {
		return false
	}
	next := ActiveClaim{Claim: c, Token: token, Previous: current.VM, ReadAt: now}
	if current.VM == c.VM {
		// The same VM claims the engine again: the wait for the previous
		// holder's lease still counts from the first of these claims.
		next.Previous, next.ReadAt = current.Previous, current.ReadAt
		if current.Previous == "" {
			next.Previous = c.VM
		}
	}
	t.claims[c.Engine] = next
	return true
}

// Get returns the claim in force for an engine.
func (t *Table) Get(engine string) (ActiveClaim, bool) {
	a, ok := t.claims[engine]
	return a, ok
}

// Remove drops the claim of an engine that is gone.
func (t *Table) Remove(engine string) { delete(t.claims, engine) }

// OrdersFrom returns the time from which the holder may send orders. After a
// takeover from another VM, it is one lease after ReadAt, because the previous
// holder may have sent an order just before the claim.
func (a ActiveClaim) OrdersFrom(lease time.Duration) time.Time {
	if a.Previous == "" || a.Previous == a.VM {
		return a.ReadAt
	}
	return a.ReadAt.Add(lease)
}

// VM identifies one run of the process of a VM that may claim engines.
type VM struct {
	Name string
	Boot int64 // start time of its process, in Unix milliseconds
}

// Claimable returns the engines that self should claim. Engines that no live VM
// holds are divided among the live VMs by rendezvous hashing, with at most an
// equal share for each VM. A VM that restarted gets back the engines that it held.
func (t *Table) Claimable(self VM, live []VM, engines []string) []string {
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
	var unheld []string
	for _, e := range engines {
		a, ok := t.claims[e]
		if boot, alive := boots[a.VM]; ok && !a.Released && alive && boot == a.Boot {
			count[a.VM]++
			continue
		}
		unheld = append(unheld, e)
	}
	slices.Sort(unheld)
	share := (len(engines) + len(names) - 1) / len(names)
	var claimable []string
	for _, e := range unheld {
		to := t.assign(e, names, count, share)
		count[to]++
		if to == self.Name {
			claimable = append(claimable, e)
		}
	}
	return claimable
}

// assign returns the VM that should claim the engine. It prefers the last holder if
// that VM has restarted: a VM need not wait for the lease of its own earlier run.
func (t *Table) assign(engine string, names []string, count map[string]int, share int) string {
	if a, ok := t.claims[engine]; ok && !a.Released && slices.Contains(names, a.VM) {
		return a.VM
	}
	order := rank.Order(engine, names)
	for _, name := range order {
		if count[name] < share {
			return name
		}
	}
	return order[0]
}
