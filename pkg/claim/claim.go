// Package claim decides which VM owns which engine in `tanagerlb serve`; package
// fence does so in `tanagerlb edge`. VMs append claims to a log stream, and the
// order of the records decides. Only the owner gives the engine orders (to load or
// unload an adapter) and starts requests on it. It may act so under a read lease,
// which this package also provides.
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

// Claim is the body of a claim record. A new claim takes effect only if
// PrevFencingToken is the fencing token of the engine's claim in force at the
// record's position in the log (compare-and-swap). A claim that is appended again
// is recognised by its FencingToken and follows other rules (see applyRepeated).
type Claim struct {
	Engine           string `json:"engine"`
	VM               string `json:"vm"`
	Boot             string `json:"boot"`           // incarnation of the VM's process
	PrevFencingToken int64  `json:"prev"`           // fencing token of the claim that this one replaces; 0 for none
	Released         bool   `json:"free,omitempty"` // marks a release: the owner gives no more orders and starts no more requests

	// Remaining is set in a release. It is the longest time for which requests
	// that the owner started may still run.
	Remaining time.Duration `json:"until,omitempty"`

	// InDoubt is set in a release if an order that the owner gave may still
	// take effect.
	InDoubt      bool  `json:"dirty,omitempty"`
	FencingToken int64 `json:"fence,omitempty"` // fencing token of this claim; set only when a claim in force is appended again
}

// YieldKind is the record kind of a yield.
const YieldKind = "yield"

// Yield is the body of a yield record. In it an incarnation that lost an engine
// states that it gives the engine no more orders and starts no more requests on
// it. This is final for the claim that the incarnation held.
type Yield struct {
	Engine    string        `json:"engine"`
	Boot      string        `json:"boot"`
	Remaining time.Duration `json:"until,omitempty"` // longest time for which the previous owner's requests may still run
}

// Ownership is a claim in force, with what is known about the previous owner of the
// engine.
type Ownership struct {
	Claim
	FencingToken int64     // fencing token: the offset of the claim's first record
	ReadAt       time.Time // when this VM read the claim
	Clean        bool      // no other incarnation acts on the engine: there was no previous owner, or it yielded the engine or released it without InDoubt
	PrevBoot     string    // incarnation of the previous owner
	DrainedAt    time.Time // when all requests of the previous owner have ended at the latest; valid if Clean
	LatestOffset int64     // offset of the newest record of the claim
}

// Table holds the claims in force, by engine. It is not safe for concurrent
// use.
type Table struct {
	ownerships map[string]Ownership
}

// New returns an empty table.
func New() *Table { return &Table{ownerships: map[string]Ownership{}} }

// Apply applies the next claim record of the stream, read at now. It returns the
// claim and whether this claim is in force afterwards.
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
// The claim is ignored if its token is older than that of the current claim, and
// replaces the current claim if its token is newer. If the tokens are equal, only
// LatestOffset changes.
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

// ApplyYield applies a yield that was read from the stream or received from a
// peer's heartbeat at now. If the incarnation that yields is the previous owner of
// the engine (PrevBoot), the claim in force becomes clean. Otherwise the yield has
// no effect and ApplyYield returns false.
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

// Lease is a read lease: it allows a VM to act on its claims because the VM has
// recently read the claim stream up to the tail. It is valid for Length after the
// VM sent the last read that reached the tail.
type Lease struct {
	Length    time.Duration
	Drift     time.Duration // bound on clock drift and scheduling delays during Length
	confirmed time.Time     // when the last confirmed read was sent; zero if there was none
}

// Confirm renews the lease after a read returned all records up to the tail. The
// lease counts from sent, the time at which that read was sent.
func (l *Lease) Confirm(sent time.Time) {
	if sent.After(l.confirmed) {
		l.confirmed = sent
	}
}

// Valid reports whether the lease is valid at now, so that its holder may act.
func (l *Lease) Valid(now time.Time) bool {
	return !l.confirmed.IsZero() && now.Sub(l.confirmed) < l.Length
}

// Ready returns the time from which a new owner may give orders. If its claim is
// clean, this is the time at which the claim was read. Otherwise it is Length plus
// Drift later, when the lease of the previous owner has certainly expired.
func (l *Lease) Ready(o Ownership) time.Time {
	if o.Clean {
		return o.ReadAt
	}
	return o.ReadAt.Add(l.Length + l.Drift)
}
