// Package claim provides the ownership of engines, as the order of the log
// decides it, and the read lease under which an owner may act on its claim.
package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// Stream is the log stream of claims.
const Stream = "claims"

// Kind is the kind of a claim's record.
const Kind = "claim"

// Claim is the body of a claim's record. It counts if and only if Prev is the
// fence of the claim in force at its place in the log.
type Claim struct {
	Engine string `json:"engine"`
	VM     string `json:"vm"`
	Boot   string `json:"boot"`           // incarnation of the VM's process
	Prev   int64  `json:"prev"`           // fence of the claim that it replaces; 0 for none
	Free   bool   `json:"free,omitempty"` // the owner gives no more orders and starts nothing more

	// Until bounds, in a release, the time that the last request of the owner
	// runs on.
	Until time.Duration `json:"until,omitempty"`

	// Dirty tells, in a release, that an order of the owner may still take
	// effect.
	Dirty bool  `json:"dirty,omitempty"`
	Fence int64 `json:"fence,omitempty"` // set when a claim in force is stated again
}

// YieldKind is the kind of a record by which an owner that lost an engine says
// that it no longer acts on it.
const YieldKind = "yield"

// Yield tells that an incarnation gives no more orders to an engine and starts
// nothing more on it, for good under its fence.
type Yield struct {
	Engine string        `json:"engine"`
	Boot   string        `json:"boot"`
	Until  time.Duration `json:"until,omitempty"` // bound on the time that its last request runs on
}

// Holding is a claim in force.
type Holding struct {
	Claim
	Fence  int64     // offset of the claim's record, used as fencing number
	Seen   time.Time // when this reader read the claim
	Clean  bool      // the owner before released the engine or never was
	Before string    // incarnation of the owner before
	Drain  time.Time // when the last request of the owner before has ended, if Clean
	Stated int64     // offset of the newest record that states it
}

// Table holds the claims in force, by engine. Its methods must not be called
// at the same time.
type Table struct {
	holdings map[string]Holding
}

// New returns an empty table.
func New() *Table { return &Table{holdings: map[string]Holding{}} }

// Apply takes the next record of the stream, read at now. It tells whether the
// claim counts.
func (t *Table) Apply(now time.Time, r record.Record) (Claim, bool, error) {
	var c Claim
	if err := record.Decode(r.Data, Kind, &c); err != nil {
		return c, false, err
	}
	held, ok := t.holdings[c.Engine]
	if c.Fence != 0 {
		return c, t.restate(now, r, c, held), nil
	}
	if c.Prev != held.Fence {
		return c, false, nil
	}
	t.holdings[c.Engine] = Holding{
		Claim:  c,
		Fence:  r.Offset,
		Seen:   now,
		Clean:  !ok || (held.Free && !held.Dirty) || (held.VM == c.VM && held.Boot == c.Boot),
		Before: held.Boot,
		Drain:  now.Add(held.Until),
		Stated: r.Offset,
	}
	return c, true, nil
}

func (t *Table) restate(now time.Time, r record.Record, c Claim, held Holding) bool {
	switch {
	case c.Fence < held.Fence:
		return false
	case c.Fence == held.Fence:
		held.Stated = r.Offset
		t.holdings[c.Engine] = held
		return true
	default:
		t.holdings[c.Engine] = Holding{Claim: c, Fence: c.Fence, Seen: now, Stated: r.Offset}
		return true
	}
}

// Of returns the claim in force for an engine. A released engine has a holding
// with Free set.
func (t *Table) Of(engine string) (Holding, bool) {
	h, ok := t.holdings[engine]
	return h, ok
}

// ApplyYield takes a yield that was learned at now, from the stream or from the
// VM itself. It makes the claim that followed a clean one.
func (t *Table) ApplyYield(now time.Time, y Yield) bool {
	h, ok := t.holdings[y.Engine]
	if !ok || h.Before != y.Boot {
		return false
	}
	if drain := now.Add(y.Until); !h.Clean || drain.Before(h.Drain) {
		h.Drain = drain
	}
	h.Clean = true
	t.holdings[y.Engine] = h
	return true
}

// Names returns the names of all engines that were ever claimed.
func (t *Table) Names() []string {
	return slices.Sorted(maps.Keys(t.holdings))
}

// Lease is a read lease: it is valid while its holder has confirmed the tail
// of the claim stream within Length.
type Lease struct {
	Length    time.Duration
	Drift     time.Duration // bound on clock drift and scheduling over Length
	confirmed time.Time
}

// Confirm notes that a read sent at the given time returned all records up to
// the tail.
func (l *Lease) Confirm(sent time.Time) {
	if sent.After(l.confirmed) {
		l.confirmed = sent
	}
}

// Valid tells whether the holder may act at now.
func (l *Lease) Valid(now time.Time) bool {
	return !l.confirmed.IsZero() && now.Sub(l.confirmed) < l.Length
}

// Ready returns when the owner may give its first order: at once after a clean
// change, else when the owner before can no longer hold a valid lease.
func (l *Lease) Ready(h Holding) time.Time {
	if h.Clean {
		return h.Seen
	}
	return h.Seen.Add(l.Length + l.Drift)
}
