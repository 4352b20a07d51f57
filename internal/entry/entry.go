// Package entry provides what the VM does that a caller connected to: it
// admits a call under the document in force, sends it to the VM in charge, and
// alone decides on further attempts.
package entry

import (
	"context"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerlb/tanagerlb/internal/keeper"
	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/internal/owner"
	"github.com/tanagerlb/tanagerlb/internal/plain"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/place"
	"github.com/tanagerlb/tanagerlb/pkg/retry"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// Peers is the port to the other VMs.
type Peers interface {
	Place(ctx context.Context, vm member.VM, ask node.PlaceAsked) (node.Placed, error)
	Complete(ctx context.Context, vm member.VM, r owner.Request, sink owner.Sink) owner.Result
	Invoke(ctx context.Context, vm member.VM, r keeper.Request) (keys.Answer, error)
}

// Config sets up an Entry.
type Config struct {
	View     func() *node.View
	Place    func(ctx context.Context, ask node.PlaceAsked) (node.Placed, error) // as a directory
	Peers    Peers
	Owner    *owner.Owner   // for the engines of this VM
	Keeper   *keeper.Keeper // for the keys of this VM
	Services plain.Services // for calls that may be repeated
	Metrics  *metric.Set
	Retry    retry.Config
	Streams  int // partitions of plain keys
	Boot     string
}

// Entry serves the callers of one VM.
type Entry struct {
	config Config
	mu     sync.Mutex   // guards table and budget
	table  *place.Table // for when a directory does not answer
	budget *retry.Budget
	serial atomic.Uint64
	active atomic.Int64
}

// New returns an entry.
func New(c Config) *Entry {
	return &Entry{config: c, table: place.New(), budget: retry.New(c.Retry)}
}

// Active returns the number of calls that have no answer yet.
func (e *Entry) Active() int { return int(e.active.Load()) }

// NewID returns an id that no other call has.
func (e *Entry) NewID() string {
	return e.config.Boot + "-" + strconv.FormatUint(e.serial.Add(1), 36)
}

// Class is what kind of refusal a caller gets.
type Class string

// Classes of refusals.
const (
	Invalid  Class = "invalid"  // the call can never be served as it is
	Conflict Class = "conflict" // the key is in use with another request
	Refused  Class = "refused"  // not run; come back later
	Unknown  Class = "unknown"  // it is not known whether the call ran
)

// Refusal is the final answer to a call that was not answered by an upstream.
type Refusal struct {
	Class   Class
	Outcome keys.Outcome
	Reason  string
	After   time.Duration // when to come back
	Other   string        // another address to use, if any
}

// Error returns the reason.
func (r *Refusal) Error() string { return string(r.Outcome) + ": " + r.Reason }

// Seconds returns the time after which to come back, in whole seconds.
func (r *Refusal) Seconds() int { return int(math.Ceil(r.After.Seconds())) }

// Reasons for refusing a call before it is sent to the VM in charge.
const (
	NoDocument    = "no-document"    // the service has no document
	NoAdapter     = "no-adapter"     // the document does not name the adapter
	NoCall        = "no-call"        // the document does not name the kind of call
	WrongKind     = "wrong-kind"     // a model call to a plain service, or the reverse
	NeedsKey      = "needs-key"      // the call may not be repeated and has no key
	BadKey        = "key-malformed"  // the key has not the right form
	VMLeaving     = "leaving"        // this VM is leaving
	NotReady      = "not-ready"      // this VM has not read the documents yet
	NoEngine      = "no-engine"      // no engine could take the call
	NoKeeper      = "no-keeper"      // no VM keeps the key
	KeeperSilent  = "keeper-silent"  // the VM that keeps the key did not answer
	UpstreamsDown = "upstreams-down" // no upstream answered
)

const (
	shortRetry   = time.Second
	invalidRetry = 0
)

// refuse counts a refusal and names another address if coming back here would
// not help.
func (e *Entry) refuse(class Class, outcome keys.Outcome, reason string, after time.Duration) *Refusal {
	e.config.Metrics.Refused(reason)
	r := &Refusal{Class: class, Outcome: outcome, Reason: reason, After: after}
	view := e.config.View()
	for _, vm := range member.Answer(view.Live, view.Self.Zone, reason, len(view.Live)) {
		if vm.Name != view.Self.Name {
			r.Other = vm.Caller.String()
			break
		}
	}
	return r
}

// admit finds the document and the kind of call.
func (e *Entry) admit(service, call string, kind spec.Kind) (*docs.Edition, spec.Call, *Refusal) {
	view := e.config.View()
	edition, ok := view.Editions[service]
	switch {
	case !ok && !view.Ready:
		return nil, spec.Call{}, e.refuse(Refused, keys.NotRun, NotReady, shortRetry)
	case !ok:
		return nil, spec.Call{}, e.refuse(Invalid, keys.NotRun, NoDocument, invalidRetry)
	case edition.Document.Kind != kind:
		return nil, spec.Call{}, e.refuse(Invalid, keys.NotRun, WrongKind, invalidRetry)
	}
	described, ok := edition.Document.FindCall(call)
	if !ok {
		return nil, spec.Call{}, e.refuse(Invalid, keys.NotRun, NoCall, invalidRetry)
	}
	return edition, described, nil
}

// fingerprint returns the fingerprint of a request's content.
func fingerprint(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(strconv.Itoa(len(p)))
		_, _ = d.WriteString(":")
		_, _ = d.WriteString(p)
	}
	return d.Sum64()
}

// next decides on a further attempt.
func (e *Entry) next(now time.Time, a retry.Attempt, names ...string) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Decide(now, a, names...)
}

func (e *Entry) earn(names ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.Deposit(names...)
}
