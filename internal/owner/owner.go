// Package owner runs model calls at the VM that owns the engine: the only VM that
// schedules calls on that engine.
package owner

import (
	"context"
	"errors"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/infer"
	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// ErrOutOfOrder is returned by a Sink for a token that is out of order.
var ErrOutOfOrder = errors.New("token out of order")

// Control is the control loop of this VM, which schedules the calls on its engines.
type Control interface {
	Post(e node.Event)
	Ask(id string, e node.Event) <-chan node.Action
	Forget(id string)
}

// Request is one attempt to run a model call on an engine.
type Request struct {
	ID           string // unique among all attempts of all calls
	Service      string
	Engine       string
	Adapter      spec.Adapter
	Prompt       string
	MaxTokens    int
	Offset       int // number of tokens that the caller has received; a streamed answer resumes after them
	Urgency      spec.Urgency
	Arrived      time.Time
	Deadline     time.Time
	Fingerprint  crash.Fingerprint // hash of the content, to recognise requests that crash engines
	Suspect      bool              // an engine crashed while it ran the request
	ExpectedRate float64           // expected requests per second for the adapter on the engine; 0 if unknown
}

// Sink receives the output of a call. Its methods are called by one goroutine.
type Sink interface {
	// Started is called before the request is sent to the engine.
	Started()
	// Token receives the next token. An error ends the call.
	Token(offset int, text string) error
}

// Result is the result of a call. The answer is complete if Reason is empty;
// otherwise Reason tells why the call failed.
type Result struct {
	Tokens     int // tokens of the whole answer, including the first Request.Offset ones
	Reason     node.Reason
	RetryAfter time.Duration // delay after which a retry makes sense
	Started    bool          // the engine may have received the request
}

// Reasons why a call fails, in addition to those of package node.
const (
	AnswerIncomplete node.Reason = "engine-cut"    // the answer ended early
	EngineTimeout    node.Reason = "engine-silent" // the engine sent no token for too long
	AdapterNotLoaded node.Reason = "engine-empty"  // the adapter is not loaded on the engine
	Canceled         node.Reason = "canceled"      // the caller disconnected or the deadline passed
)

// Config holds the dependencies of an Owner.
type Config struct {
	Control Control
	Engines infer.Engines
	Metrics *metric.Set
}

// Owner runs model calls on the engines of this VM.
type Owner struct{ config Config }

// New returns an Owner that schedules calls with c.Control and sends them to
// engines with c.Engines.
func New(c Config) *Owner { return &Owner{config: c} }

// Complete waits until the engine's scheduler starts a model call, and then runs
// the call. If ctx is done first, it withdraws the call.
func (o *Owner) Complete(ctx context.Context, r Request, sink Sink) Result {
	call := node.CallArrived{Request: slots.Request{
		ID:           r.ID,
		Adapter:      r.Adapter,
		Urgency:      r.Urgency,
		Arrived:      r.Arrived,
		Deadline:     r.Deadline,
		Suspect:      r.Suspect,
		ExpectedRate: r.ExpectedRate,
	}, Engine: r.Engine, Fingerprint: r.Fingerprint}
	reply := o.config.Control.Ask(r.ID, call)
	select {
	case a := <-reply:
		return o.handle(ctx, r, sink, a)
	case <-ctx.Done():
		return o.withdraw(ctx, r, sink, reply)
	}
}

// handle runs a call that the engine's scheduler started, or returns the refusal
// of a call that the scheduler refused.
func (o *Owner) handle(ctx context.Context, r Request, sink Sink, a node.Action) Result {
	switch a := a.(type) {
	case node.Start:
		return o.run(ctx, r, sink, a)
	case node.Refuse:
		return Result{Reason: a.Reason, RetryAfter: a.RetryAfter}
	default:
		return Result{Reason: Canceled}
	}
}

// withdraw withdraws a waiting call from the engine's scheduler. The scheduler may
// have started the call in the meantime. The call must then be reported as ended,
// to free its place in the engine's batch.
func (o *Owner) withdraw(ctx context.Context, r Request, sink Sink, reply <-chan node.Action) Result {
	o.config.Control.Post(node.CallWithdrawn{ID: r.ID})
	o.config.Control.Forget(r.ID)
	select {
	case a := <-reply:
		return o.handle(ctx, r, sink, a)
	default:
		go (&lateStart{control: o.config.Control, id: r.ID, reply: reply}).run()
		return Result{Reason: Canceled}
	}
}

// lateStartWait is how long lateStart waits for the start of a withdrawn call. It
// is longer than the control loop takes to process a withdrawal.
const lateStartWait = 10 * time.Second

// lateStart reports a call as ended if the scheduler started the call while it was
// being withdrawn.
type lateStart struct {
	control Control
	id      string
	reply   <-chan node.Action
}

func (s *lateStart) run() {
	timer := time.NewTimer(lateStartWait)
	defer timer.Stop()
	select {
	case a := <-s.reply:
		if _, started := a.(node.Start); started {
			s.control.Post(node.CallEnded{ID: s.id, Result: node.Canceled})
		}
	case <-timer.C:
	}
}

// run sends a call to its engine and reports to the control loop how the call
// ended.
func (o *Owner) run(ctx context.Context, r Request, sink Sink, s node.Start) Result {
	o.config.Metrics.LoadStall(r.Urgency.String(), s.LoadWait)
	o.config.Metrics.BatchFill(s.BatchFill)
	sink.Started()
	c := infer.Completion{
		ID:        r.ID,
		Instance:  s.Instance.String(),
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Offset:    r.Offset,
		Urgency:   int(r.Urgency),
	}
	tokens, err := o.config.Engines.Complete(ctx, s.Address, c, sink.Token)
	result, reason := o.classify(ctx, s, err)
	o.config.Control.Post(node.CallEnded{ID: r.ID, Result: result})
	return Result{Tokens: tokens, Reason: reason, Started: true}
}

// classify determines why a call failed. To tell a crashed engine from a broken
// connection, it requests the engine's incarnation on a new connection. An engine
// that has another incarnation, or fails without an answer, counts as crashed. One
// whose answer broke off may still run if it is silent or answers with an error; one
// that was silent for all of the time until the next token and is silent now has crashed.
func (o *Owner) classify(ctx context.Context, s node.Start, err error) (node.Result, node.Reason) {
	switch {
	case err == nil:
		return node.Finished, ""
	case ctx.Err() != nil:
		return node.Canceled, Canceled
	case errors.Is(err, infer.ErrNotLoaded):
		return node.Missing, AdapterNotLoaded
	}
	o.config.Engines.CloseIdle()
	report, reportErr := o.config.Engines.Report(ctx, s.Address)
	switch {
	case ctx.Err() != nil:
		return node.Canceled, Canceled
	case errors.Is(reportErr, context.DeadlineExceeded) && !errors.Is(err, infer.ErrTimeout):
		return node.Failed, EngineTimeout
	case errors.Is(reportErr, infer.ErrStatus), errors.Is(reportErr, infer.ErrNotLoaded), errors.Is(reportErr, infer.ErrOldFencingToken):
		return node.Failed, AnswerIncomplete
	case reportErr != nil || report.Boot != s.Boot:
		return node.Crashed, node.EngineCrashed
	case errors.Is(err, infer.ErrTimeout):
		return node.Failed, EngineTimeout
	default:
		return node.Failed, AnswerIncomplete
	}
}
