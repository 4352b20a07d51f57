// Package entry handles calls at the entry VM, the VM that the caller connected
// to. It belongs to `tanagerlb serve`. It admits a call under the service document
// in force and forwards the call to the responsible VM: the owner of an engine or
// the keeper of an idempotency key. Only the entry VM retries calls, so that
// retries do not multiply between VMs.
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

// Peers sends requests to the other VMs.
type Peers interface {
	// Place asks the directory of the request's adapter to choose an engine. The
	// directory is the VM that chooses the engines for the adapter's requests.
	Place(ctx context.Context, vm member.VM, request node.PlaceRequested) (node.Placed, error)
	// Complete runs a model call at the VM that owns the engine.
	Complete(ctx context.Context, vm member.VM, r owner.Request, sink owner.Sink) owner.Result
	// Invoke runs a call at the VM that keeps its idempotency key. The call may
	// have run even if Invoke returns an error.
	Invoke(ctx context.Context, vm member.VM, r keeper.Request) (keys.Answer, error)
}

// Config holds the settings and dependencies of an Entry.
type Config struct {
	View       func() *node.View
	Place      func(ctx context.Context, request node.PlaceRequested) (node.Placed, error) // used if this VM is the directory of the adapter
	Peers      Peers
	Owner      *owner.Owner   // runs calls on engines that this VM owns
	Keeper     *keeper.Keeper // runs calls whose keys this VM keeps
	Services   plain.Services // runs idempotent calls
	Metrics    *metric.Set
	Retry      retry.Config
	RetryLimit retry.Limit // limit on the retries of a service or caller, over all VMs
	Partitions int         // number of partitions of the idempotency keys; the log has one stream for each
	Boot       string      // incarnation of this VM's process: an ID that is new after each start
}

// Entry runs the calls of the callers that are connected to this VM.
type Entry struct {
	config   Config
	mu       sync.Mutex      // guards fallback, budget and mostVMs
	fallback *place.Fallback // chooses engines while a directory does not answer
	budget   *retry.Budget
	mostVMs  int           // largest number of live VMs seen; VMs that are cut off may go on sending requests
	serial   atomic.Uint64 // last number used in an ID
	active   atomic.Int64  // calls in progress
}

// New returns an Entry that has recorded no failed engines and no retries.
func New(c Config) *Entry {
	return &Entry{config: c, fallback: place.NewFallback(), budget: retry.New(time.Now(), c.Retry)}
}

// Active returns the number of calls in progress.
func (e *Entry) Active() int { return int(e.active.Load()) }

// NewID returns an ID that is unique across VMs and restarts.
func (e *Entry) NewID() string {
	return e.config.Boot + "-" + strconv.FormatUint(e.serial.Add(1), 36)
}

// Class is the class of a refusal. It tells the caller whether a retry makes sense.
type Class string

// Classes of refusals.
const (
	Invalid  Class = "invalid"  // the call would fail again if repeated unchanged
	Conflict Class = "conflict" // the idempotency key was used with another request
	Refused  Class = "refused"  // the call did not run and may be retried later
	Unknown  Class = "unknown"  // the call may have run
)

// Refusal is the final answer to a call that got no complete response from an
// engine or upstream.
type Refusal struct {
	Class      Class
	Outcome    keys.Outcome
	Reason     string
	RetryAfter time.Duration // delay after which the caller may retry
	AltAddress string        // address of another VM to retry at, if any
}

// Error returns the outcome and the reason.
func (r *Refusal) Error() string { return string(r.Outcome) + ": " + r.Reason }

// RetrySeconds returns the retry delay in seconds, rounded up.
func (r *Refusal) RetrySeconds() int { return int(math.Ceil(r.RetryAfter.Seconds())) }

// Reasons why the entry VM refuses a call.
const (
	NoDocument    = "no-document"    // no document is known for the service
	NoAdapter     = "no-adapter"     // the document does not list the adapter
	NoCall        = "no-call"        // the document does not list the call
	WrongKind     = "wrong-kind"     // a model call to a plain service, or a plain call to a model service
	NeedsKey      = "needs-key"      // the call is not idempotent and has no idempotency key
	BadKey        = "key-malformed"  // the idempotency key cannot be parsed
	VMLeaving     = "leaving"        // this VM is shutting down
	NotReady      = "not-ready"      // this VM has not read the documents yet
	NoEngine      = "no-engine"      // no engine can take the call
	NoKeeper      = "no-keeper"      // no VM is known to keep the key
	KeeperTimeout = "keeper-silent"  // the VM that keeps the key did not answer
	UpstreamsDown = "upstreams-down" // no upstream answered
)

const (
	retryDelay = time.Second // for refusals whose cause may be gone soon
	noDelay    = 0           // for refusals of calls that would fail again
)

// refuse counts a refusal and returns it. If there is another live VM, the refusal
// names one at which the caller may retry, preferably in this VM's zone.
func (e *Entry) refuse(class Class, outcome keys.Outcome, reason string, after time.Duration) *Refusal {
	e.config.Metrics.Refused(reason)
	r := &Refusal{Class: class, Outcome: outcome, Reason: reason, RetryAfter: after}
	view := e.config.View()
	for _, vm := range member.SelectForCaller(view.Live, view.Self.Zone, reason, len(view.Live)) {
		if vm.Name != view.Self.Name {
			r.AltAddress = vm.Caller.String()
			break
		}
	}
	return r
}

// admit returns the document in force for a service and the document's entry for
// the call. It refuses a call that the document does not allow.
func (e *Entry) admit(service, call string, kind spec.Kind) (*docs.Revision, spec.Call, *Refusal) {
	view := e.config.View()
	revision, ok := view.Revisions[service]
	switch {
	case !ok && !view.Ready:
		return nil, spec.Call{}, e.refuse(Refused, keys.NotRun, NotReady, retryDelay)
	case !ok:
		return nil, spec.Call{}, e.refuse(Invalid, keys.NotRun, NoDocument, noDelay)
	case revision.Document.Kind != kind:
		return nil, spec.Call{}, e.refuse(Invalid, keys.NotRun, WrongKind, noDelay)
	}
	callSpec, ok := revision.Document.FindCall(call)
	if !ok {
		return nil, spec.Call{}, e.refuse(Invalid, keys.NotRun, NoCall, noDelay)
	}
	return revision, callSpec, nil
}

// fingerprint returns a hash of a request's content. The length of each part is
// hashed too, so that ("ab", "c") and ("a", "bc") differ.
func fingerprint(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(strconv.Itoa(len(p)))
		_, _ = d.WriteString(":")
		_, _ = d.WriteString(p)
	}
	return d.Sum64()
}

// nextAttempt decides whether a failed attempt is retried. A retry costs a token of
// each of the named retry budgets, unless Attempt.Free is set.
func (e *Entry) nextAttempt(now time.Time, a retry.Attempt, names ...string) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Decide(now, a, names...)
}

// creditBudgets credits the retry budgets of a caller and a service for the first
// attempt of a call, and returns their names.
func (e *Entry) creditBudgets(caller, service string) []string {
	names := []string{"caller " + caller, "service " + service}
	e.config.Metrics.FirstAttempt(service)
	now, vms := time.Now(), len(e.config.View().Live)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mostVMs = max(e.mostVMs, vms)
	e.budget.Divide(now, retry.Share{Limit: e.config.RetryLimit, VMs: e.mostVMs})
	e.budget.Deposit(now, names...)
	return names
}
