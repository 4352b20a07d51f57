// Package claim decides which VM owns which engine in `tanagerlb serve`; package
// fence does so in `tanagerlb edge`. VMs append claims to a log stream, and the
// order of the records decides which claim to an engine is in force. Only the VM
// that made this claim, the owner, gives the engine orders (to load or unload an
// adapter) and starts requests on it. To do so it needs a read lease, which this
// package also provides. Package node makes an exception while the log is down.
package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// Stream is the log stream of claims.
const Stream = "claims"

// Kind is the value of the kind field in a log record whose body is a Claim.
const Kind = "claim"

// Claim is the body of a claim record, with which a VM claims or releases an engine.
// A new claim takes effect only if PrevFencingToken is the fencing token of the claim
// that is in force before the record (compare-and-swap). A record with a
// FencingToken repeats an earlier claim and follows other rules (see
// applyRepeated).
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

// YieldKind is the value of the kind field in a log record whose body is a Yield.
const YieldKind = "yield"

// Yield is the body of a yield record. With it, an incarnation that lost or gave up
// an engine states that it gives the engine no more orders and starts no more
// requests on it. This is final for the claim that the incarnation held.
type Yield struct {
	Engine    string        `json:"engine"`
	Boot      string        `json:"boot"`
	Remaining time.Duration `json:"until,omitempty"` // longest time for which requests that this incarnation started may still run
}

// Ownership is a claim in force, with what is known about the previous owner of the
// engine.
type Ownership struct {
	Claim
	FencingToken int64     // fencing token: the offset of the claim's first record
	ReadAt       time.Time // when this VM read the claim

	// Clean reports that no other incarnation gives the engine orders or starts
	// requests on it any more: there was no previous owner, the previous owner is the
	// same incarnation, or it yielded the engine or released it without InDoubt.
	Clean        bool
	PrevBoot     string    // incarnation of the previous owner
	DrainedAt    time.Time // latest time at which requests of the previous owner end; valid if Clean
	LatestOffset int64     // offset of the claim's newest record: the first one or a repetition
}

// Table holds the claim in force for each engine. It is not safe for concurrent
// use.
type Table struct {
	ownerships map[string]Ownership
}

// New returns an empty table.
func New() *Table { return &Table{ownerships: map[string]Ownership{}} }

// Apply applies the next claim record of the stream, which was read at now. It
// returns the claim and whether this claim is in force afterwards.
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

// applyRepeated applies a record that repeats an earlier claim with its fencing
// token. It ignores the record if the claim in force has a higher token. If the
// tokens are equal, only LatestOffset changes. If the claim in force has a lower
// token, the repeated claim replaces it.
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

// ApplyYield applies a yield that arrived at now, from the stream or in a peer's
// heartbeat. If the incarnation that yields is the previous owner of the engine
// (PrevBoot), ApplyYield sets Clean in the Ownership and returns true. Otherwise
// the yield has no effect and ApplyYield returns false.
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

// Lease is a read lease: it allows a VM to give orders and start requests on its
// engines because the VM has recently read the claim stream up to the tail. It is
// valid for Length after the VM sent the last read that reached the tail.
type Lease struct {
	Length    time.Duration
	Drift     time.Duration // bound on clock drift and scheduling delays during Length
	confirmed time.Time     // when the last confirmed read was sent; zero if there was none
}

// Confirm renews the lease after a read that returned all records up to the tail.
// The lease is then valid for Length from sent, the time at which the read was sent.
func (l *Lease) Confirm(sent time.Time) {
	if sent.After(l.confirmed) {
		l.confirmed = sent
	}
}

// Valid reports whether the lease is valid at now: less than Length has passed since
// the last confirmed read was sent.
func (l *Lease) Valid(now time.Time) bool {
	return !l.confirmed.IsZero() && now.Sub(l.confirmed) < l.Length
}

// Ready returns the time from which a new owner may give orders and start requests.
// If o.Clean is set, this is o.ReadAt, the time at which the owner read its claim.
// Otherwise it is Length plus Drift after o.ReadAt, when the lease of the previous
// owner has certainly expired.
func (l *Lease) Ready(o Ownership) time.Time {
	if o.Clean {
		return o.ReadAt
	}
	return o.ReadAt.Add(l.Length + l.Drift)
}
