package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/delay"
	"github.com/tanagerlb/tanagerlb/internal/owner"
	"github.com/tanagerlb/tanagerlb/internal/peer"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/retry"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// ModelCall is a caller's request to a model service.
type ModelCall struct {
	Service string
	Call    string
	Adapter string
	Prompt  string
	Tokens  int
	Caller  string // whose retry budget is used
}

// ModelAnswer is the whole answer.
type ModelAnswer struct {
	Text    string
	Tokens  int
	Adapter spec.Adapter
	Version int64 // of the document
}

// Emit takes a token of a streamed answer.
type Emit func(offset int, text string) error

// avoidFor is how long an engine is the last choice after it failed.
const avoidFor = time.Second

// Complete runs a model call. If emit is nil the answer is collected; else
// each token is emitted once, in order.
func (e *Entry) Complete(ctx context.Context, c ModelCall, emit Emit) (*ModelAnswer, *Refusal) {
	e.active.Add(1)
	defer e.active.Add(-1)
	if e.config.View().Leaving {
		return nil, e.refuse(Refused, keys.NotRun, VMLeaving, shortRetry)
	}
	edition, call, refusal := e.admit(c.Service, c.Call, spec.Model)
	if refusal != nil {
		return nil, refusal
	}
	adapter, ok := edition.Adapter(c.Adapter)
	if !ok {
		return nil, e.refuse(Invalid, keys.NotRun, NoAdapter, invalidRetry)
	}
	now := time.Now()
	m := &modelRun{
		entry:    e,
		call:     c,
		edition:  edition,
		collect:  emit == nil,
		emit:     emit,
		tried:    map[string]bool{},
		deadline: now.Add(call.Deadline),
	}
	m.request = owner.Request{
		Service:  c.Service,
		Adapter:  adapter,
		Prompt:   c.Prompt,
		Tokens:   c.Tokens,
		Urgency:  call.Rank(),
		Arrived:  now,
		Deadline: m.deadline,
		Print:    crash.Fingerprint(fingerprint(c.Service, c.Adapter, c.Prompt)),
	}
	ctx, cancel := context.WithDeadline(ctx, m.deadline)
	defer cancel()
	e.earn(m.budgets()...)
	return m.run(ctx)
}

// modelRun is one model call with its attempts.
type modelRun struct {
	entry    *Entry
	call     ModelCall
	edition  *docs.Edition
	request  owner.Request
	collect  bool
	emit     Emit
	tried    map[string]bool // engines that failed
	deadline time.Time
	engine   string
	text     strings.Builder
	got      int   // tokens received
	ran      bool  // an engine may have been given the request
	broken   error // the caller went away
}

func (m *modelRun) budgets() []string {
	return []string{"caller " + m.call.Caller, "service " + m.call.Service}
}

// run makes attempts until one yields the whole answer.
func (m *modelRun) run(ctx context.Context) (*ModelAnswer, *Refusal) {
	for number := 1; ; number++ {
		result := m.attempt(ctx)
		if result.Reason == "" && result.Tokens == m.got {
			m.entry.config.Metrics.Answered("model")
			return &ModelAnswer{Text: m.text.String(), Tokens: m.got, Adapter: m.request.Adapter, Version: m.edition.Version}, nil
		}
		m.ran = m.ran || result.Started || result.Reason == peer.PeerSilent
		if result.Reason == "" {
			result.Reason = owner.EngineCut
		}
		decision := m.entry.next(time.Now(), retry.Attempt{
			Number:   number,
			Free:     free(result.Reason),
			Final:    m.final(ctx, result.Reason),
			Deadline: m.deadline,
		}, m.budgets()...)
		switch d := decision.(type) {
		case retry.TryAgain:
			m.entry.config.Metrics.Retried(string(result.Reason))
			if !delay.Wait(ctx, d.After) {
				return nil, m.give(owner.Canceled, result.After)
			}
		case retry.GiveUp:
			m.entry.config.Metrics.GaveUp(string(d.Reason))
			return nil, m.give(result.Reason, result.After)
		}
	}
}

// give returns the final answer to a call that is given up. It was not run
// only if no engine can have been given it.
func (m *modelRun) give(reason node.Reason, after time.Duration) *Refusal {
	class, outcome := Refused, keys.NotRun
	if m.ran {
		class, outcome = Unknown, keys.Unknown
	}
	if reason == node.Condemned {
		class = Invalid
	}
	return m.entry.refuse(class, outcome, string(reason), max(after, shortRetry))
}

// free tells whether a failure is due to a change of ownership, which costs no
// retry budget as nothing ran.
func free(reason node.Reason) bool {
	switch reason {
	case node.NotOwner, node.OwnerNotReady, node.Handover, node.NoLease:
		return true
	default:
		return false
	}
}

// final tells whether no other attempt can do better.
func (m *modelRun) final(ctx context.Context, reason node.Reason) bool {
	if ctx.Err() != nil || m.broken != nil {
		return true
	}
	switch reason {
	case node.Condemned, owner.Canceled, node.Reason(slots.Late), node.Reason(slots.LoadLate), node.Reason(slots.Overload):
		return true
	default:
		return false
	}
}

func (m *modelRun) attempt(ctx context.Context) owner.Result {
	now := time.Now()
	view := m.entry.config.View()
	charge, ok := m.place(ctx, now, view)
	if m.engine == "" {
		clear(m.tried)
		return owner.Result{Reason: NoEngine}
	}
	if !ok {
		return owner.Result{Reason: node.NotOwner}
	}
	m.begin()
	result := m.send(ctx, view, charge)
	m.learn(now, result.Reason)
	return result
}

// begin prepares an attempt: a collected answer starts anew, a streamed one
// goes on where it broke off.
func (m *modelRun) begin() {
	m.request.ID = m.entry.NewID()
	m.request.Engine = m.engine
	if m.collect {
		m.got = 0
		m.text.Reset()
	}
	m.request.Offset = m.got
}

func (m *modelRun) send(ctx context.Context, view *node.View, charge member.VM) owner.Result {
	if charge.Name == view.Self.Name {
		return m.entry.config.Owner.Complete(ctx, m.request, m)
	}
	return m.entry.config.Peers.Complete(ctx, charge, m.request, m)
}

// place finds the engine of the next attempt and its owner: it asks the
// directory of the adapter, and goes by rendezvous order if that does not
// answer.
func (m *modelRun) place(ctx context.Context, now time.Time, view *node.View) (member.VM, bool) {
	placed, err := m.ask(ctx, view)
	if err == nil {
		m.engine, m.request.Demand = placed.Engine, placed.Demand
		return placed.Owner, true
	}
	m.entry.config.Metrics.DependencyFailed("directory")
	m.request.Demand = 0
	engines := Engines(m.edition)
	m.entry.mu.Lock()
	defer m.entry.mu.Unlock()
	m.engine = m.entry.table.Pick(now, m.request.Adapter.String(), engines, m.tried)
	charge := view.Owners[m.engine]
	return charge.VM, charge.Known
}

// placeTimeout bounds the wait for a directory.
const placeTimeout = 500 * time.Millisecond

// errNoDirectory tells that no VM is the directory of an adapter.
var errNoDirectory = errors.New("no directory")

func (m *modelRun) ask(ctx context.Context, view *node.View) (node.Placed, error) {
	directory, ok := view.Directory(m.call.Service, m.request.Adapter)
	if !ok {
		return node.Placed{}, errNoDirectory
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	ask := node.PlaceAsked{
		ID:      m.entry.NewID(),
		Service: m.call.Service,
		Adapter: m.request.Adapter,
		Tried:   slices.Sorted(maps.Keys(m.tried)),
	}
	if directory.Name == view.Self.Name {
		return m.entry.config.Place(ctx, ask)
	}
	return m.entry.config.Peers.Place(ctx, directory, ask)
}

// Engines returns the names of the engines of a document.
func Engines(e *docs.Edition) []string {
	names := make([]string, len(e.Document.Engines))
	for i, engine := range e.Document.Engines {
		names[i] = node.EngineName(e.Service, engine.Name)
	}
	return names
}

// learn remembers what a failed attempt tells of its engine.
func (m *modelRun) learn(now time.Time, reason node.Reason) {
	if reason == "" || free(reason) || reason == owner.Canceled {
		return
	}
	if reason == node.EngineCrashed {
		m.request.Suspect = true
	}
	m.tried[m.engine] = true
	if unreachable(reason) {
		m.entry.mu.Lock()
		m.entry.table.Avoid(now, m.engine, avoidFor)
		m.entry.mu.Unlock()
	}
}

// unreachable tells whether a failure makes the engine the last choice.
func unreachable(reason node.Reason) bool {
	switch reason {
	case node.EngineDown, node.EngineCrashed, owner.EngineSilent, peer.PeerSilent:
		return true
	default:
		return false
	}
}

// Started takes that the engine is given the request.
func (m *modelRun) Started() { m.ran = true }

// Token takes the next token. One that is out of order belongs to no whole
// answer.
func (m *modelRun) Token(offset int, text string) error {
	if offset != m.got {
		m.entry.config.Metrics.AnswerDropped("token")
		return owner.ErrOrder
	}
	m.got++
	if m.collect {
		m.text.WriteString(text)
		return nil
	}
	if err := m.emit(offset, text); err != nil {
		m.broken = err
		return err
	}
	return nil
}
