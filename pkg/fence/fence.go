// Package fence decides which VM of `tanagerlb edge` may send an engine orders to
// load and unload base models and adapters. A VM claims an engine by appending a
// claim to the store. To take over an engine that another VM held, it appends the
// claim on the condition that it has read all earlier records. So every claim in the
// store is valid, and the newest one for an engine is in force. The position of a
// claim in the store is its fencing token.
//
// The store may come back from an older copy, in a new era. A claim names the era in
// which it was written, and only one of the present era lets a VM begin to hold an
// engine: an older one may have been taken over by a claim that is gone.
package fence

import (
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/cursor"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// Claim is the record by which a VM claims an engine, or releases it.
type Claim struct {
	Engine   string `json:"engine"`
	VM       string `json:"vm"`
	Boot     int64  `json:"boot"`           // start time of the VM's process, in Unix milliseconds
	Era      int64  `json:"era,omitempty"`  // era of the store in which the VM wrote the claim; see cursor.Position
	Released bool   `json:"free,omitempty"` // the VM releases the engine and sends no more orders
}

// ActiveClaim is the claim in force for an engine: the newest one. Unless the claim
// releases the engine, its VM is the holder. Only the holder may send orders.
type ActiveClaim struct {
	Claim
	Position cursor.Position // era in which the claim was written, and its offset
	Token    int64           // fencing token, which rises with each claim
	Previous string          // previous holder; if no other VM held the engine, empty or the name of the claim's own VM
	Unproven bool            // there may have been another holder, whose claim is gone
	ReadAt   time.Time       // time at which the local VM read the claim, or the first of several consecutive claims by the same VM
}

// Table holds the claims in force. It is not safe for concurrent use.
type Table struct {
	claims  map[string]ActiveClaim
	era     int64     // present era of the store
	settled time.Time // time from which on holders have written claims of this era, if they live
}

// New returns an empty table.
func New() *Table { return &Table{claims: map[string]ActiveClaim{}} }

// BeginEra tells the table the era of the store, before the first claim that was read in
// it. Holders have written their claims again by the time settled. In era 0, which a store
// that was never restored may have, nothing is gone.
func (t *Table) BeginEra(era int64, settled time.Time) {
	if era > t.era {
		t.era, t.settled = era, settled
	}
}

// Apply records a claim that was read from the store at the time now, and reports
// whether the claim is new. A claim that is read again changes nothing.
func (t *Table) Apply(now time.Time, offset int64, c Claim) bool {
	current, ok := t.claims[c.Engine]
	position := cursor.Position{Era: c.Era, Offset: offset}
	if ok && position.Compare(current.Position) <= 0 {
		return false
	}
	next := ActiveClaim{Claim: c, Position: position, Token: position.Number(), Previous: current.VM, ReadAt: now}
	// An older claim doesn't show who held the engine at the end of its era, unless it is
	// by the same process, which then holds it still.
	sameEra := ok && current.Position.Era == position.Era
	sameProcess := ok && current.VM == c.VM && current.Boot == c.Boot
	next.Unproven = !sameEra && !sameProcess && now.Before(t.settled)
	if current.VM == c.VM {
		// The same VM claims the engine again: the wait for the previous
		// holder's lease still counts from the first of these claims.
		next.Previous = current.Previous
		if current.Previous == "" {
			next.Previous = c.VM
		}
		if !next.Unproven {
			next.ReadAt, next.Unproven = current.ReadAt, current.Unproven
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
// takeover from another VM, or from one that may have been, it is one lease after ReadAt,
// because the previous holder may have sent an order just before the claim.
func (a ActiveClaim) OrdersFrom(lease time.Duration) time.Time {
	if !a.Unproven && (a.Previous == "" || a.Previous == a.VM) {
		return a.ReadAt
	}
	return a.ReadAt.Add(lease)
}

// Present reports whether the claim was written in the present era of the store, so that
// its VM may begin to hold the engine.
func (t *Table) Present(a ActiveClaim) bool { return a.Position.Era == t.era }

// Outdated returns the engines that self claimed in an earlier era, sorted by id: their
// claims are to be written again.
func (t *Table) Outdated(self VM) []string {
	var engines []string
	for id, a := range t.claims {
		if a.VM == self.Name && a.Boot == self.Boot && !a.Released && a.Position.Era < t.era {
			engines = append(engines, id)
		}
	}
	slices.Sort(engines)
	return engines
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
