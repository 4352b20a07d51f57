// Package claim decides which VM owns which engine. VMs append claims to a log
// stream, and the order of the records decides. It also provides the read lease
// under which an owner may act on its claim.
package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// Stream is the log stream of claims.
const Stream = "claims"

// Kind is the record kind of a claim.
const Kind = "claim"

// Claim is the body of a claim record. It takes effect if and only if PrevFence
// is the fencing token of the claim in force at its position in the log
// (compare-and-swap).
type Claim struct {
	Engine           string `json:"engine"`
	VM               string `json:"vm"`
	Boot             string `json:"boot"`           // incarnation of the VM's process
	PrevFencingToken int64  `json:"prev"`           // fencing token of the claim that it replaces; 0 for none
	Released         bool   `json:"free,omitempty"` // marks a release: the owner gives no more orders and starts no more requests

	// Remaining is set in a release. It bounds the time for which requests of
	// the owner may still run.
	Remaining time.Duration `json:"until,omitempty"`

	// InDoubt is set in a release if an order of the owner may still take
	// effect.
	InDoubt      bool  `json:"dirty,omitempty"`
	FencingToken int64 `json:"fence,omitempty"` // fencing token; set only when a claim in force is appended again
}

// YieldKind is the record kind of a yield.
const YieldKind = "yield"

// Yield is the body of a yield record. An owner that lost an engine states in it
// that its incarnation gives no more orders to the engine and starts no more
// requests on it. This is final for the claim that it held.
type Yield struct {
	Engine    string        `json:"engine"`
	Boot      string        `json:"boot"`
	Remaining time.Duration `json:"until,omitempty"` // bound on the time for which its requests may still run
}

// Ownership is a claim in force.
type Ownership struct {
	Claim
	FencingToken int64     // fencing token: the offset of the claim's first record
	ReadAt       time.Time // when this VM read the claim
	Clean        bool      // no previous owner acts on the engine any more: it released or yielded the engine, or there was none
	PrevBoot     string    // incarnation of the previous owner
	DrainedAt    time.Time // when the last request of the previous owner has ended; valid if Clean
	LatestOffset int64     // offset of the newest record of the claim
}

// Table holds the claims in force, by engine. It is not safe for concurrent
// use.
type Table struct {
	ownerships map[string]Ownership
}

// New returns an empty table.
func New() *Table { return &Table{ownerships: map[string]Ownership{}} }

// Apply applies the next claim record of the stream, read at now. It reports
// whether the claim is in force after that.
func (t *Table) Apply(now time.Time, r record.Record) (Claim, bool, error) {
	var c Claim
	if err := record.Decode(r.Data, Kind, &c); err != nil {
		return c, false, err
	}
	current, ok := t.ownerships[c.Engine]
	if c.FencingToken != 0 {
		return c, t.applyRepeated(now, r, c, current), nil
	}
	if c.PrevFencingToken != current.FencingToken {
		return c, false, nil
	}
	t.ownerships[c.Engine] = Ownership{
		Claim:        c,
		FencingToken: r.Offset,
		ReadAt:       now,
		Clean:        !ok || (current.Released && !current.InDoubt) || (current.VM == c.VM && current.Boot == c.Boot),
		PrevBoot:     current.Boot,
		DrainedAt:    now.Add(current.Remaining),
		LatestOffset: r.Offset,
	}
	return c, true, nil
}

// applyRepeated applies a claim that was appended again with its fencing token.
func (t *Table) applyRepeated(now time.Time, r record.Record, c Claim, current Ownership) bool {
	switch {
	case c.FencingToken < current.FencingToken:
		return false
	case c.FencingToken == current.FencingToken:
		current.LatestOffset = r.Offset
		t.ownerships[c.Engine] = current
		return true
	default:
		t.ownerships[c.Engine] = Ownership{Claim: c, FencingToken: c.FencingToken, ReadAt: now, LatestOffset: r.Offset}
		return true
	}
}

// Lookup returns the claim in force for an engine. After a release this is the
// release itself, with Released set.
func (t *Table) Lookup(engine string) (Ownership, bool) {
	o, ok := t.ownerships[engine]
	return o, ok
}

// ApplyYield applies a yield that was received at now, from the stream or from
// the VM itself. It marks the claim that replaced the yielded one as clean. It
// reports whether there is such a claim.
func (t *Table) ApplyYield(now time.Time, y Yield) bool {
	o, ok := t.ownerships[y.Engine]
	if !ok || o.PrevBoot != y.Boot {
		return false
	}
	if drain := now.Add(y.Remaining); !o.Clean || drain.Before(o.DrainedAt) {
		o.DrainedAt = drain
	}
	o.Clean = true
	t.ownerships[y.Engine] = o
	return true
}

// Names returns the sorted names of all engines that were ever claimed.
func (t *Table) Names() []string {
	return slices.Sorted(maps.Keys(t.ownerships))
}

// Lease is a read lease. It is valid for Length after its holder last confirmed
// that it had read the claim stream up to the tail.
type Lease struct {
	Length    time.Duration
	Drift     time.Duration // bound on clock drift and scheduling delays during Length
	confirmed time.Time
}

// Confirm records that a read that was sent at the given time returned all
// records up to the tail.
func (l *Lease) Confirm(sent time.Time) {
	if sent.After(l.confirmed) {
		l.confirmed = sent
	}
}

// Valid reports whether the holder may act at now.
func (l *Lease) Valid(now time.Time) bool {
	return !l.confirmed.IsZero() && now.Sub(l.confirmed) < l.Length
}

// Ready returns the time from which a new owner may give orders: at once if the
// claim is clean, otherwise when the previous owner's lease has expired for
// certain.
func (l *Lease) Ready(o Ownership) time.Time {
	if o.Clean {
		return o.ReadAt
	}
	return o.ReadAt.Add(l.Length + l.Drift)
}
