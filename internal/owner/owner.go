// Package owner provides the running of model calls at the VM that owns their
// engine.
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

// ErrOrder tells that a token came out of order.
var ErrOrder = errors.New("token out of order")

// Control is the port to the control thread.
type Control interface {
	Post(e node.Event)
	Ask(id string, e node.Event) <-chan node.Action
	Forget(id string)
}

// Request is a model call for one engine.
type Request struct {
	ID       string // unique among all attempts of all calls
	Service  string
	Engine   string
	Adapter  spec.Adapter
	Prompt   string
	Tokens   int
	Offset   int // tokens that the caller has already
	Urgency  spec.Urgency
	Arrived  time.Time
	Deadline time.Time
	Print    crash.Fingerprint
	Suspect  bool
	Demand   float64 // requests a second for the adapter on the engine
}

// Sink takes what a call yields, from one goroutine.
type Sink interface {
	// Started takes that the engine is given the request.
	Started()
	// Token takes the next token. An error ends the call.
	Token(offset int, text string) error
}

// Result is how a call ended. It is whole if Reason is empty.
type Result struct {
	Tokens  int
	Reason  node.Reason
	After   time.Duration // when to come back
	Started bool          // the engine was given the request
}

// Reasons for failure of a call that an engine was given.
const (
	EngineCut    node.Reason = "engine-cut"    // the answer broke off
	EngineSilent node.Reason = "engine-silent" // no progress
	EngineEmpty  node.Reason = "engine-empty"  // the adapter was not on the engine
	Canceled     node.Reason = "canceled"      // the caller went away, or its deadline passed
)

// Config sets up an Owner.
type Config struct {
	Control Control
	Engines infer.Engines
	Metrics *metric.Set
}

// Owner runs model calls on the engines of this VM.
type Owner struct{ config Config }

// New returns an owner.
func New(c Config) *Owner { return &Owner{config: c} }

// Complete runs a model call.
func (o *Owner) Complete(ctx context.Context, r Request, sink Sink) Result {
	arrived := node.Arrived{Request: slots.Request{
		ID:       r.ID,
		Adapter:  r.Adapter,
		Urgency:  r.Urgency,
		Arrived:  r.Arrived,
		Deadline: r.Deadline,
		Suspect:  r.Suspect,
		Demand:   r.Demand,
	}, Engine: r.Engine, Print: r.Print}
	reply := o.config.Control.Ask(r.ID, arrived)
	select {
	case a := <-reply:
		return o.decided(ctx, r, sink, a)
	case <-ctx.Done():
		return o.withdraw(ctx, r, sink, reply)
	}
}

func (o *Owner) decided(ctx context.Context, r Request, sink Sink, a node.Action) Result {
	switch a := a.(type) {
	case node.Start:
		return o.start(ctx, r, sink, a)
	case node.Refuse:
		return Result{Reason: a.Reason, After: a.After}
	default:
		return Result{Reason: Canceled}
	}
}

// withdraw gives up a call that waits. If it was started meanwhile, it must be
// ended.
func (o *Owner) withdraw(ctx context.Context, r Request, sink Sink, reply <-chan node.Action) Result {
	o.config.Control.Post(node.Withdrawn{ID: r.ID})
	o.config.Control.Forget(r.ID)
	select {
	case a := <-reply:
		return o.decided(ctx, r, sink, a)
	default:
		go (&straggler{control: o.config.Control, id: r.ID, reply: reply}).run()
		return Result{Reason: Canceled}
	}
}

// straggleFor is longer than the control thread takes to see a withdrawal.
const straggleFor = 10 * time.Second

// straggler ends a call that was started while it was withdrawn.
type straggler struct {
	control Control
	id      string
	reply   <-chan node.Action
}

func (s *straggler) run() {
	timer := time.NewTimer(straggleFor)
	defer timer.Stop()
	select {
	case a := <-s.reply:
		if _, started := a.(node.Start); started {
			s.control.Post(node.Ended{ID: s.id, Result: node.Canceled})
		}
	case <-timer.C:
	}
}

func (o *Owner) start(ctx context.Context, r Request, sink Sink, s node.Start) Result {
	o.config.Metrics.LoadStall(r.Urgency.String(), s.Stalled)
	o.config.Metrics.BatchFill(s.Fill)
	sink.Started()
	c := infer.Completion{
		ID:       r.ID,
		Instance: s.Instance.String(),
		Prompt:   r.Prompt,
		Tokens:   r.Tokens,
		Offset:   r.Offset,
		Urgency:  int(r.Urgency),
	}
	tokens, err := o.config.Engines.Complete(ctx, s.Address, c, sink.Token)
	result, reason := o.classify(ctx, s, err)
	o.config.Control.Post(node.Ended{ID: r.ID, Result: result})
	return Result{Tokens: tokens, Reason: reason, Started: true}
}

// classify tells a crashed engine from a cut link by asking the engine for its
// incarnation on a fresh connection.
func (o *Owner) classify(ctx context.Context, s node.Start, err error) (node.Result, node.Reason) {
	switch {
	case err == nil:
		return node.Finished, ""
	case ctx.Err() != nil:
		return node.Canceled, Canceled
	case errors.Is(err, infer.ErrMissing):
		return node.Missing, EngineEmpty
	}
	o.config.Engines.Fresh()
	report, asked := o.config.Engines.Report(ctx, s.Address)
	switch {
	case ctx.Err() != nil:
		return node.Canceled, Canceled
	case asked != nil || report.Boot != s.Boot:
		return node.Crashed, node.EngineCrashed
	case errors.Is(err, infer.ErrSilent):
		return node.Failed, EngineSilent
	default:
		return node.Failed, EngineCut
	}
}
