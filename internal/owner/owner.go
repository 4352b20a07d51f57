// Package owner runs model calls on engines, at the VM that owns the engine.
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

// Control is the control loop of this VM.
type Control interface {
	Post(e node.Event)
	Ask(id string, e node.Event) <-chan node.Action
	Forget(id string)
}

// Request is a model call for one engine.
type Request struct {
	ID           string // unique among all attempts of all calls
	Service      string
	Engine       string
	Adapter      spec.Adapter
	Prompt       string
	MaxTokens    int
	Offset       int // tokens that the caller has received, to resume a streamed answer
	Urgency      spec.Urgency
	Arrived      time.Time
	Deadline     time.Time
	Fingerprint  crash.Fingerprint // fingerprint of the content, to recognise requests that crash engines
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

// Result is the result of a call. The answer is complete if Reason is empty.
type Result struct {
	Tokens     int // tokens of the whole answer, including those skipped by Request.Offset
	Reason     node.Reason
	RetryAfter time.Duration // delay after which a retry makes sense
	Started    bool          // the engine may have received the request
}

// Reasons why a call fails after it was sent to an engine.
const (
	AnswerIncomplete node.Reason = "engine-cut"    // the answer ended early
	EngineTimeout    node.Reason = "engine-silent" // the engine sent no token for too long
	AdapterNotLoaded node.Reason = "engine-empty"  // the adapter is not loaded on the engine
	Canceled         node.Reason = "canceled"      // the caller disconnected or the deadline passed
)

// Config configures an Owner.
type Config struct {
	Control Control
	Engines infer.Engines
	Metrics *metric.Set
}

// Owner runs model calls on the engines of this VM.
type Owner struct{ config Config }

// New returns an Owner.
func New(c Config) *Owner { return &Owner{config: c} }

// Complete runs a model call, once the scheduler of its engine starts it.
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

// handle acts on the decision of the engine's scheduler about a call.
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

// withdraw abandons a waiting call. The scheduler may have started it in the
// meantime; the call must then be reported as ended, to free its place in the
// engine's batch.
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

// lateStartWait is longer than the control loop takes to process a withdrawal.
const lateStartWait = 10 * time.Second

// lateStart ends a call that the scheduler started while it was withdrawn.
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

// run sends a call to its engine and reports the end to the control loop.
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
// connection, it asks the engine for its incarnation on a new connection.
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
	case reportErr != nil || report.Boot != s.Boot:
		return node.Crashed, node.EngineCrashed
	case errors.Is(err, infer.ErrTimeout):
		return node.Failed, EngineTimeout
	default:
		return node.Failed, AnswerIncomplete
	}
}
