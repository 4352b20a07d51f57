package entry

import (
	"context"
	"errors"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/delay"
	"github.com/tanagerlb/tanagerlb/internal/keeper"
	"github.com/tanagerlb/tanagerlb/internal/plain"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/retry"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// PlainCall is a call to a plain service, which has ordinary HTTP upstreams.
type PlainCall struct {
	Service      string
	Call         string
	Key          string // idempotency key, if any
	FirstAttempt bool   // the caller has not sent the key before
	Body         string
	Caller       string // name of the caller, for its retry budget
}

// PlainAnswer is the result of a PlainCall.
type PlainAnswer struct {
	Reply    keys.Reply
	Replayed bool // the reply was stored for an earlier call with the same key
}

// Invoke runs a call to a plain service. An idempotent call is tried at the
// service's upstreams in turn. Any other call runs at most once, at the VM that
// keeps its idempotency key.
func (e *Entry) Invoke(ctx context.Context, c PlainCall) (*PlainAnswer, *Refusal) {
	e.active.Add(1)
	defer e.active.Add(-1)
	revision, call, refusal := e.admit(c.Service, c.Call, spec.Plain)
	if refusal != nil {
		return nil, unknownIfResent(refusal, c)
	}
	content := crash.Fingerprint(fingerprint(c.Service, c.Call, c.Body))
	if refusal := e.refuseBlocked(time.Now(), content); refusal != nil {
		return nil, unknownIfResent(refusal, c)
	}
	deadline := time.Now().Add(call.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if call.AtMostOnce {
		return e.invokeOnce(ctx, c, deadline)
	}
	if e.config.View().Leaving {
		return nil, unknownIfResent(e.refuse(Refused, keys.NotRun, VMLeaving, retryDelay), c)
	}
	return e.invokeIdempotent(ctx, c, content, revision, deadline)
}

// refuseBlocked refuses a call that crashes the upstreams that run it. It returns nil if
// the call may run.
func (e *Entry) refuseBlocked(now time.Time, content crash.Fingerprint) *Refusal {
	if remaining := e.config.View().BlockedFor(now, content); remaining > 0 {
		return e.refuse(Refused, keys.NotRun, string(node.Blocked), remaining)
	}
	return nil
}

// unknownIfResent adjusts a refusal that was decided without asking the VM that
// keeps the key. If the caller may have sent the key before, an earlier attempt
// may have run, so the outcome of the call is unknown.
func unknownIfResent(r *Refusal, c PlainCall) *Refusal {
	if c.Key != "" && !c.FirstAttempt {
		r.Class, r.Outcome = Unknown, keys.Unknown
	}
	return r
}

// invokeIdempotent runs a call that may be repeated. Each attempt goes to the next
// of the service's upstreams.
func (e *Entry) invokeIdempotent(ctx context.Context, c PlainCall, content crash.Fingerprint, revision *docs.Revision, deadline time.Time) (*PlainAnswer, *Refusal) {
	budgets := e.creditBudgets(c.Caller, c.Service)
	addresses := keeper.Upstreams(revision, e.NewID())
	sent := false
	for number := 1; ; number++ {
		address := addresses[(number-1)%len(addresses)]
		reply, err := e.config.Services.Call(ctx, address, plain.Call{Name: c.Call, Key: c.Key, Body: c.Body, Fingerprint: content})
		if err == nil {
			e.config.Metrics.Answered("plain")
			return &PlainAnswer{Reply: keys.Reply(reply)}, nil
		}
		sent = sent || !errors.Is(err, plain.ErrNotSent)
		attempt := retry.Attempt{Number: number, Unsent: !sent, Final: ctx.Err() != nil, Deadline: deadline}
		switch d := e.nextAttempt(time.Now(), attempt, budgets...).(type) {
		case retry.TryAgain:
			e.config.Metrics.Retried(UpstreamsDown)
			if sent {
				e.config.Metrics.FurtherAttempt(c.Service)
			}
			delay.Wait(ctx, d.After)
		case retry.GiveUp:
			e.config.Metrics.GaveUp(string(d.Reason))
			if sent {
				return nil, e.refuse(Unknown, keys.Unknown, string(keys.UpstreamBroken), retryDelay)
			}
			return nil, e.refuse(Refused, keys.NotRun, UpstreamsDown, retryDelay)
		}
	}
}

// invokeOnce runs a call that may not be repeated, at the VM that keeps its
// idempotency key. If that VM does not answer, the attempt is retried. The retry is
// safe because that VM runs the call of each key at most once.
func (e *Entry) invokeOnce(ctx context.Context, c PlainCall, deadline time.Time) (*PlainAnswer, *Refusal) {
	if c.Key == "" {
		return nil, e.refuse(Invalid, keys.NotRun, NeedsKey, noDelay)
	}
	key, err := keys.Parse(c.Key)
	if err != nil {
		return nil, e.refuse(Invalid, keys.NotRun, BadKey, noDelay)
	}
	r := keeper.Request{
		Service:      c.Service,
		Call:         c.Call,
		Key:          key,
		Body:         c.Body,
		Fingerprint:  fingerprint(c.Service, c.Call, c.Body),
		FirstAttempt: c.FirstAttempt,
		Deadline:     deadline,
	}
	budgets := e.creditBudgets(c.Caller, c.Service)
	for number := 1; ; number++ {
		answer, err := e.invokeKeeper(ctx, r)
		if err == nil {
			return e.answer(answer)
		}
		sent := !errors.Is(err, errNoKeeper)
		if sent {
			r.FirstAttempt = false // the attempt may have reached the keeper
		}
		attempt := retry.Attempt{Number: number, Free: true, Final: ctx.Err() != nil, Deadline: deadline}
		switch d := e.nextAttempt(time.Now(), attempt, budgets...).(type) {
		case retry.TryAgain:
			e.config.Metrics.Retried(KeeperTimeout)
			delay.Wait(ctx, d.After)
		case retry.GiveUp:
			e.config.Metrics.GaveUp(string(d.Reason))
			return nil, e.refuseKeyed(r.FirstAttempt)
		}
	}
}

// errNoKeeper is returned if no VM is known to keep a key.
var errNoKeeper = errors.New("no VM is known to keep the key")

// refuseKeyed refuses a call that got no answer from the VM that keeps its key. If
// first is set, no attempt with the key can have reached such a VM, so the call
// did not run.
func (e *Entry) refuseKeyed(first bool) *Refusal {
	if first {
		return e.refuse(Refused, keys.NotRun, NoKeeper, retryDelay)
	}
	return e.refuse(Unknown, keys.Unknown, KeeperTimeout, retryDelay)
}

// invokeKeeper runs one attempt at the VM that keeps the key. A key that is bound
// to an incarnation of a VM's process is kept by that process. Any other key is
// kept by the VM that keeps the key's partition.
func (e *Entry) invokeKeeper(ctx context.Context, r keeper.Request) (keys.Answer, error) {
	view := e.config.View()
	var vm member.VM
	var ok bool
	if r.Key.Boot != "" {
		if vm, ok = view.ByBoot[r.Key.Boot]; !ok {
			return keys.Answer{Outcome: keys.Unknown, Reason: keys.IncarnationGone, RetryAfter: retryDelay}, nil
		}
	} else {
		vm, ok = view.Keeper(keys.StreamName(r.Key.Partition(e.config.Partitions)))
	}
	if !ok {
		return keys.Answer{}, errNoKeeper
	}
	r.ID = e.NewID()
	if vm.Name == view.Self.Name {
		return e.config.Keeper.Invoke(ctx, r), nil
	}
	return e.config.Peers.Invoke(ctx, vm, r)
}

// answer converts the answer of the VM that keeps the key to the result of the
// call.
func (e *Entry) answer(a keys.Answer) (*PlainAnswer, *Refusal) {
	switch {
	case a.Outcome == keys.Ran:
		e.config.Metrics.Answered("keyed")
		return &PlainAnswer{Reply: a.Reply, Replayed: a.Replayed}, nil
	case a.Reason == keys.Conflict:
		return nil, e.refuse(Conflict, keys.NotRun, string(a.Reason), noDelay)
	case a.Outcome == keys.NotRun:
		return nil, e.refuse(Refused, keys.NotRun, string(a.Reason), max(a.RetryAfter, retryDelay))
	default:
		return nil, e.refuse(Unknown, keys.Unknown, string(a.Reason), max(a.RetryAfter, retryDelay))
	}
}
